//! Days of whole deployments in virtual time: what is served, how late, and what the store is asked.

use {
    crate::figure::{Report, Target},
    std::path::Path,
    yuccacroft_core::time::Span,
    yuccacroft_emulator::world::{
        self, Summary,
        day::{Day, Event, EventKind},
    },
};

/// Balancers and agents of the calm days.
const SIZES: [(u8, u8); 3] = [(4, 6), (10, 40), (20, 120)];
/// Callers for each agent, so that all days load their upstreams alike.
const CALLERS_AN_AGENT: u32 = 5;
/// Agents of one day at most; addresses of machines have one number.
const MAX_AGENTS: u8 = 150;

/// Runs the case: calm days of growing deployments, and a day with a loss of power.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("platform");
    for (balancers, agents) in SIZES {
        let callers = u32::from(agents) * CALLERS_AN_AGENT;
        let day = Day { balancers, agents, callers, ..Day::new(seed) };
        add(&mut report, &format!("calm, {balancers} + {agents} machines"), &day);
    }
    let at = Span::from_secs(8);
    let duration = Span::from_secs(1);
    let power = Event { at, duration, count: 0, kind: EventKind::LosePower };
    add(&mut report, "loss of power for 1 s", &Day::new(seed).with_events(vec![power]));
    report
}

/// Plays the day of a file. `trace` selects the lines of its trace that are printed.
pub fn run_file(file: &Path, trace: Option<&str>) -> Result<Report, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    let day = Day::parse(&name, &text).map_err(|error| error.to_string())?;
    if day.agents > MAX_AGENTS {
        return Err(format!("{name}: at most {MAX_AGENTS} agents"));
    }
    let mut report = Report::new("platform");
    let summary = add(&mut report, &name, &day);
    if let Some(text) = trace {
        let lines = summary.trace.lines();
        lines.iter().filter(|line| line.contains(text)).for_each(|line| println!("{line}"));
    }
    summary.violations.iter().for_each(|breach| println!("broken: {breach:?}"));
    Ok(report)
}

fn add(report: &mut Report, variant: &str, day: &Day) -> Summary {
    let summary = world::run(day);
    let outcomes = &summary.outcomes;
    let asked = (outcomes.served + outcomes.failed).max(1) as f64;
    let milliseconds = |quantile| outcomes.latency.value_at_quantile(quantile) as f64 / 1e3;
    let processes = f64::from(day.balancers) + f64::from(day.agents);
    let seconds = day.length.as_millis() as f64 / 1e3;
    let calls = summary.store_calls as f64 / seconds / processes;
    let broken = summary.violations.len() as f64;
    report.add(variant, "rules_broken", broken, Target::AtMost(0.0));
    report.add(variant, "served_share", outcomes.served as f64 / asked, Target::None);
    report.add(variant, "requests_per_s", asked / seconds, Target::None);
    report.add(variant, "p50_ms", milliseconds(0.5), Target::None);
    report.add(variant, "p99_ms", milliseconds(0.99), Target::None);
    report.add(variant, "store_calls_per_process_and_s", calls, Target::None);
    summary
}
