//! The grounds of a reset or of a search without an owner, for logs.

use {
    slog::{KV, Record, Serializer},
    std::fmt::{Display, Formatter},
    yuccacroft_core::{
        ids::Instance,
        pool::{AgentPhase, AnswerCounts, Pool, ReachabilityCounts, indirect::Report},
        search::{Evidence, Finding},
        steering::CachedFlow,
        time::{Moment, Span},
    },
};

/// Limit of agents that one field names.
const MAX_NAMED_AGENTS: usize = 16;

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
        /// Its phase. An ended agent counts as lost after a shorter silence.
        phase: Option<AgentPhase>,
        /// The time since its last message, or `None` if there was none.
        last_message: Option<Span>,
        /// The number of queries and offers that it has not answered.
        unanswered: u32,
        /// The time since the first of them.
        silence: Option<Span>,
        /// What other agents have reported about it during its silence.
        indirect: Report,
    },
    /// An earlier verdict about the flow.
    FlowLost {
        /// The time since the verdict.
        verdict_age: Span,
    },
}

/// The state of all members, which tells a lost member from a congested link, for logs.
#[derive(Clone, Copy, Debug)]
pub struct Members {
    reachability: ReachabilityCounts,
    answers: AnswerCounts,
    loss_timeout: Option<Span>,
}

/// The addresses of some agents.
struct Names<I>(I);

impl Grounds {
    /// Returns the grounds for the reset of a flow that is cached as `cached`.
    pub fn of_cached(cached: Option<CachedFlow>, pool: &Pool, now: Moment) -> Self {
        match cached {
            Some(CachedFlow::Owned { owner, .. }) => {
                let member = pool.get(owner.instance);
                let member = member.as_ref();
                Self::OwnerLost {
                    owner: owner.instance,
                    phase: member.map(|m| m.entry.phase),
                    last_message: member.and_then(|m| m.load(now)).map(|(_, age)| age),
                    unanswered: member.map_or(0, |m| m.unanswered_queries()),
                    silence: member.and_then(|m| m.unanswered_since()).map(|at| now.since(at)),
                    indirect: member.map(|m| m.indirect_report(now)).unwrap_or_default(),
                }
            }
            Some(CachedFlow::Lost(verdict)) => {
                Self::FlowLost { verdict_age: now.since(verdict.detected_at) }
            }
            Some(CachedFlow::Offered { .. }) | None => Self::None,
        }
    }
}

impl Members {
    /// Returns the present state of the members of a pool.
    pub fn new(pool: &Pool, now: Moment) -> Self {
        Self {
            reachability: pool.count_by_reachability(now),
            answers: pool.answer_counts(now),
            loss_timeout: pool.loss_timeout(now),
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
            Self::OwnerLost { owner, phase, last_message, unanswered, silence, indirect } => {
                serializer.emit_arguments("owner", &format_args!("{owner}"))?;
                if let Some(phase) = phase {
                    serializer.emit_arguments("owner_phase", &format_args!("{phase:?}"))?;
                }
                emit_span(serializer, "owner_last_message", *last_message)?;
                serializer.emit_u32("owner_unanswered", *unanswered)?;
                emit_span(serializer, "owner_silence", *silence)?;
                serializer.emit_u32("owner_indirect_pings", indirect.pings)?;
                serializer.emit_u32("owner_indirect_answers", indirect.answers)?;
                emit_span(serializer, "owner_indirect_answer", indirect.answer_age)
            }
            Self::FlowLost { verdict_age } => {
                emit_span(serializer, "verdict_age", Some(*verdict_age))
            }
        }
    }
}

impl KV for Members {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let ReachabilityCounts { good, suspect, lost } = self.reachability;
        let AnswerCounts { prompt, late, silent } = self.answers;
        serializer.emit_usize("agents", good + suspect + lost)?;
        serializer.emit_usize("good", good)?;
        serializer.emit_usize("suspect", suspect)?;
        serializer.emit_usize("lost", lost)?;
        serializer.emit_usize("prompt", prompt)?;
        serializer.emit_usize("late", late)?;
        serializer.emit_usize("silent", silent)?;
        serializer.emit_bool("silence_conclusive", self.loss_timeout.is_some())?;
        emit_span(serializer, "loss_timeout", self.loss_timeout)
    }
}

impl<I: Iterator<Item = Instance> + Clone> Display for Names<I> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (position, instance) in self.0.clone().enumerate() {
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
    for finding in Finding::ALL.into_iter().filter(|finding| evidence.count(*finding) > 0) {
        if let Some(key) = names_key(finding) {
            let names = Names(evidence.agents_with(finding));
            serializer.emit_arguments(key, &format_args!("{names}"))?;
        }
    }
    if let Some(pings) = evidence.fewest_indirect_pings() {
        serializer.emit_u32("fewest_indirect_pings", pings)?;
    }
    emit_span(serializer, "latest_indirect_answer", evidence.latest_indirect_answer())?;
    let mut reached_by_others = evidence.only_reached_by_others().peekable();
    if reached_by_others.peek().is_some() {
        let names = Names(reached_by_others);
        serializer.emit_arguments("reached_by_others", &format_args!("{names}"))?;
    }
    emit_span(serializer, "oldest_denial", evidence.oldest_denial())?;
    emit_span(serializer, "longest_silence", evidence.longest_silence())?;
    serializer.emit_bool("all_fresh", evidence.all_fresh)?;
    serializer.emit_bool("list_incomplete", evidence.list_incomplete)?;
    serializer.emit_bool("list_outdated", evidence.list_outdated)?;
    let Some(last_agent) = last_agent else { return Ok(()) };
    serializer.emit_arguments("last_agent", &format_args!("{last_agent}"))?;
    let finding = evidence.finding(last_agent).map_or("unknown", Finding::name);
    serializer.emit_str("last_agent_finding", finding)
}

/// Returns the key of the field with the addresses of the agents with this finding. Agents that
/// have denied or that were not queried yet are not named.
fn names_key(finding: Finding) -> Option<&'static str> {
    match finding {
        Finding::Denied | Finding::Deferred => None,
        Finding::Unsure => Some("unsure_agents"),
        Finding::UnsureLost => Some("unsure_lost_agents"),
        Finding::Lost => Some("lost_agents"),
        Finding::Absent => Some("absent_agents"),
        Finding::Unanswered => Some("unanswered_agents"),
        Finding::Removed => Some("removed_agents"),
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
