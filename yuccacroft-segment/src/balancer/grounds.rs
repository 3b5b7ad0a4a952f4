//! The grounds of a reset or of a search without an owner, for logs.

use {
    slog::{KV, Record, Serializer},
    std::fmt::{Display, Formatter},
    yuccacroft_core::{
        ids::Instance,
        pool::{Pool, ReachabilityCounts},
        search::{Evidence, Finding},
        steering::CachedFlow,
        time::{Moment, Span},
    },
};

/// Limit of agents that one field names.
const MAX_NAMED_AGENTS: usize = 16;
/// The findings whose agents are named. The others have denied or are not reached by the search
/// yet.
const NAMED_FINDINGS: [Finding; 6] = [
    Finding::Unsure,
    Finding::UnsureLost,
    Finding::Lost,
    Finding::Absent,
    Finding::Unanswered,
    Finding::Removed,
];

/// What the outcome of a segment rests on, besides its cause.
#[derive(Clone, Debug)]
pub enum Grounds {
    /// Nothing that the cause does not say.
    None,
    /// The evidence of a search.
    Search {
        /// The evidence at the end of the search.
        evidence: Evidence,
        /// The agent that was offered the flow or owned it before, if this balancer knew one.
        last_agent: Option<Instance>,
    },
    /// The silence of the owner.
    OwnerLost {
        /// The owner.
        owner: Instance,
        /// The time since its last message, or `None` if there was none.
        last_message: Option<Span>,
        /// The number of queries and offers that it has not answered.
        unanswered: u32,
        /// The time since the first of them.
        silence: Option<Span>,
    },
    /// An earlier verdict about the flow.
    FlowLost {
        /// The time since the verdict.
        verdict_age: Span,
    },
}

/// The numbers of members by reachability, for logs.
#[derive(Clone, Copy, Debug)]
pub struct Members(pub ReachabilityCounts);

/// The addresses of the agents with one finding.
struct Names<'a> {
    evidence: &'a Evidence,
    finding: Finding,
}

impl Grounds {
    /// Returns the grounds for the reset of a flow that is cached as `cached`.
    pub fn of_cached(cached: Option<CachedFlow>, pool: &Pool, now: Moment) -> Self {
        match cached {
            Some(CachedFlow::Owned { owner, .. }) => {
                let member = pool.get(owner.instance);
                let member = member.as_ref();
                Self::OwnerLost {
                    owner: owner.instance,
                    last_message: member.and_then(|m| m.load(now)).map(|(_, age)| age),
                    unanswered: member.map_or(0, |m| m.unanswered_queries()),
                    silence: member.and_then(|m| m.unanswered_since()).map(|at| now.since(at)),
                }
            }
            Some(CachedFlow::Lost { detected_at, .. }) => {
                Self::FlowLost { verdict_age: now.since(detected_at) }
            }
            Some(CachedFlow::Offered { .. }) | None => Self::None,
        }
    }
}

impl KV for Grounds {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        match self {
            Self::None => Ok(()),
            Self::Search { evidence, last_agent } => {
                serialize_evidence(evidence, *last_agent, serializer)
            }
            Self::OwnerLost { owner, last_message, unanswered, silence } => {
                serializer.emit_arguments("owner", &format_args!("{owner}"))?;
                emit_span(serializer, "owner_last_message", *last_message)?;
                serializer.emit_u32("owner_unanswered", *unanswered)?;
                emit_span(serializer, "owner_silence", *silence)
            }
            Self::FlowLost { verdict_age } => {
                emit_span(serializer, "verdict_age", Some(*verdict_age))
            }
        }
    }
}

impl KV for Members {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let ReachabilityCounts { good, suspect, lost } = self.0;
        serializer.emit_usize("agents", good + suspect + lost)?;
        serializer.emit_usize("good", good)?;
        serializer.emit_usize("suspect", suspect)?;
        serializer.emit_usize("lost", lost)
    }
}

impl Display for Names<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (position, instance) in self.evidence.agents_with(self.finding).enumerate() {
            match position {
                0 => write!(f, "{instance}")?,
                MAX_NAMED_AGENTS => return write!(f, ",..."),
                _ => write!(f, ",{instance}")?,
            }
        }
        Ok(())
    }
}

fn serialize_evidence(
    evidence: &Evidence,
    last_agent: Option<Instance>,
    serializer: &mut dyn Serializer,
) -> slog::Result {
    emit_span(serializer, "search_time", Some(evidence.elapsed))?;
    serializer.emit_u32("queries", evidence.queries)?;
    serializer.emit_u32("retries", evidence.retries)?;
    serializer.emit_u32("skipped_ticks", evidence.skipped_ticks)?;
    for finding in Finding::ALL {
        serializer.emit_usize(finding.name(), evidence.count(finding))?;
    }
    for finding in NAMED_FINDINGS {
        if evidence.count(finding) > 0 {
            let names = Names { evidence, finding };
            serializer.emit_arguments(names_key(finding), &format_args!("{names}"))?;
        }
    }
    emit_span(serializer, "oldest_denial", evidence.oldest_denial())?;
    emit_span(serializer, "longest_silence", evidence.longest_silence())?;
    serializer.emit_bool("all_fresh", evidence.all_fresh)?;
    serializer.emit_bool("list_incomplete", evidence.list_incomplete)?;
    let Some(last_agent) = last_agent else { return Ok(()) };
    serializer.emit_arguments("last_agent", &format_args!("{last_agent}"))?;
    let finding = evidence.finding(last_agent).map_or("unknown", Finding::name);
    serializer.emit_str("last_agent_finding", finding)
}

/// Returns the key of the field with the addresses of the agents with this finding.
fn names_key(finding: Finding) -> &'static str {
    match finding {
        Finding::Denied => "denied_agents",
        Finding::Unsure => "unsure_agents",
        Finding::UnsureLost => "unsure_lost_agents",
        Finding::Lost => "lost_agents",
        Finding::Absent => "absent_agents",
        Finding::Unanswered => "unanswered_agents",
        Finding::Deferred => "deferred_agents",
        Finding::Removed => "removed_agents",
    }
}

fn emit_span(
    serializer: &mut dyn Serializer,
    key: &'static str,
    span: Option<Span>,
) -> slog::Result {
    match span {
        Some(span) => serializer.emit_arguments(key, &format_args!("{span}")),
        None => Ok(()),
    }
}
