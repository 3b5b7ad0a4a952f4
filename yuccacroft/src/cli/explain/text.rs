//! The text form of an explanation.

use {
    std::fmt::Write,
    yuccacroft_core::{
        pool::explanation::{self, Candidate, Outcome, Side},
        time::Span,
    },
    yuccacroft_segment::explain::Answer,
};

/// Returns why the flow is not placed, or `None` if it is.
pub fn reason(answer: &Answer) -> Option<String> {
    match answer.explanation.outcome {
        Outcome::Placed(_) => None,
        Outcome::Unanswered(instance) => Some(format!("{instance} does not answer")),
        Outcome::Refused => Some("all agents refuse the flow".to_owned()),
        Outcome::Evacuated => Some("all domains of the service are evacuated".to_owned()),
        Outcome::NoMember => Some("no agent of the service takes flows".to_owned()),
    }
}

/// Formats an answer as lines.
pub fn format(answer: &Answer) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write(&mut text, answer);
    text
}

fn write(text: &mut String, answer: &Answer) -> std::fmt::Result {
    let explanation = &answer.explanation;
    writeln!(text, "flow {}>{} at a balancer in {}", answer.caller, answer.address, answer.domain)?;
    let class = &answer.class;
    writeln!(
        text,
        "service {}, priority {}, objective {}, timeout {}",
        answer.service, class.priority, class.objective, class.timeout
    )?;
    write_plan(text, explanation)?;
    match explanation.outcome {
        Outcome::Placed(instance) => writeln!(text, "goes to {instance}")?,
        _ => writeln!(text, "goes nowhere: {}", reason(answer).unwrap_or_default())?,
    }
    if !explanation.candidates.is_empty() {
        writeln!(text, "candidates in order:")?;
    }
    for candidate in &explanation.candidates {
        write_candidate(text, candidate)?;
    }
    if !explanation.excluded.is_empty() {
        writeln!(text, "left out:")?;
    }
    for member in &explanation.excluded {
        writeln!(text, "  {} in {}: {}", member.instance, member.domain, member.cause)?;
    }
    Ok(())
}

fn write_plan(text: &mut String, explanation: &explanation::Explanation) -> std::fmt::Result {
    let Some(plan) = &explanation.plan else {
        return writeln!(text, "no spill-over plan: all domains are compared by cost");
    };
    let side = match explanation.side {
        Side::Any => "is compared in all domains, since none has room",
        Side::Home => "stays in its domain if an agent there takes it",
        Side::Receivers => "leaves its domain",
    };
    let receivers: Vec<&str> = plan.receivers.iter().map(|domain| domain.as_str()).collect();
    let receivers = if receivers.is_empty() { "none".to_owned() } else { receivers.join(", ") };
    writeln!(
        text,
        "spill-over {} of 1000 flows, domains with room: {receivers}; this one {side}",
        plan.share
    )
}

fn write_candidate(text: &mut String, candidate: &Candidate) -> std::fmt::Result {
    let Candidate { instance, domain, cost, total, expectation, .. } = candidate;
    let side = if candidate.is_on_side { "" } else { ", other side" };
    writeln!(text, "  {instance} in {domain}{side}: {}", candidate.answer)?;
    let parts = [
        ("work", cost.work),
        ("wait", cost.wait),
        ("busy", cost.busy),
        ("failures", cost.failures),
        ("crossing", cost.crossing),
        ("warmup", cost.warmup),
        ("spread", cost.spread),
    ];
    let parts = parts.iter().filter(|(_, part)| *part > Span::ZERO);
    let parts: Vec<String> = parts.map(|(name, part)| format!("{name} {part}")).collect();
    writeln!(text, "    cost {total} = {}", parts.join(" + "))?;
    write!(
        text,
        "    expected wait {}, service time {}, {}",
        expectation.wait,
        expectation.service_time,
        expectation.outlook.name()
    )?;
    if let Some(room) = expectation.room {
        write!(text, ", room for {room} flows")?;
    }
    writeln!(text)
}
