//! One agent as a balancer knows it: its entry, its load and whether it answers.

use {
    super::{
        indirect::{Contact, Report},
        outlier::{Peer, Standing},
        path::{Answer, LOSS_TIMEOUT, Timeliness},
        usage::Usage,
    },
    crate::{
        flow::AgentId,
        ids::{Domain, Incarnation, Instance},
        route::Target,
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
    },
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Time without an answer after which new flows avoid a member: many round trips between failure
/// domains, and longer than a process with a small share of a core waits to be scheduled.
pub(super) const SUSPICION_TIMEOUT: Span = Span::from_millis(300);
/// Time without an answer after which a member that has never answered counts as absent after a
/// restart of the whole system: machines that get power together start within 0.3 s of each other,
/// and a process needs 0.1 s to start.
const ABSENCE_TIMEOUT: Span = Span::from_millis(500);
/// Time for which a member that announced a stop or restart does not count as lost.
const RESTART_GRACE_PERIOD: Span = Span::from_secs(15);
/// Time for which a member that disappeared from the listing is kept although it does not answer.
/// Expired entries are written again within two seconds after the store has recovered.
pub(super) const UNLISTED_GRACE_PERIOD: Span = Span::from_millis(2_500);

/// The entry of an agent in the store, which describes it and its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentEntry {
    /// The address and incarnation of the agent.
    #[serde(rename = "hop")]
    pub agent_id: AgentId,
    /// The version of the entry, which increases within one incarnation of the agent.
    #[serde(rename = "edition")]
    pub entry_version: u32,
    /// The service of its upstream.
    pub target: Target,
    /// Its failure domain.
    pub domain: Domain,
    /// The maximum number of requests that its upstream processes concurrently.
    pub slots: Slots,
    /// Its life-cycle phase.
    pub phase: AgentPhase,
    /// Whether an earlier incarnation of the agent was listed when this one wrote its first entry.
    #[serde(default)]
    pub succeeds: bool,
}

/// The life-cycle phase of an agent, which determines how it treats flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AgentPhase {
    /// The agent takes new flows.
    Ready,
    /// The agent keeps its flows and takes no new ones.
    Draining,
    /// The upstream has announced its end, so no flow is left. The machine may disappear next.
    Ended,
    /// The agent stops soon. Its upstream may continue and be served by the next incarnation of the
    /// agent.
    Stopping,
}

/// The load of an agent, as reported by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Whether the agent takes new flows now.
    pub accepting: bool,
    /// The number of requests in progress at the upstream.
    pub active: u32,
    /// The mean number of requests in progress over the last second, in hundredths.
    pub busy: Percent,
    /// The number of open flows.
    pub open: Connections,
    /// The mean time from a request to the first byte of its response.
    pub service_time: Span,
    /// The remaining warm-up time of the upstream.
    pub warmup: Span,
    /// Whether the agent stops soon, while its upstream may continue.
    pub stopping: bool,
}

/// What an agent has measured of its upstream, beside its load. Agents report it where the
/// requirements of the deployment ask for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measures {
    /// The expected wait of a request that arrives now, before the upstream begins to process it.
    pub wait: Span,
    /// The share of the latest requests that the upstream failed.
    pub failures: Percent,
    /// The number of further flows that the upstream takes now; `None` without a limit.
    pub room: Option<Connections>,
}

/// The state of one agent, as known to a balancer.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest entry of the agent.
    pub entry: AgentEntry,
    pub(super) load: Option<(AgentLoad, Moment)>,
    /// The mean use of the upstream's slots.
    pub(super) usage: Usage,
    /// The latest measures that the agent has reported, and when.
    pub(super) measures: Option<(Measures, Moment)>,
    /// The part of the flows that the member gets, by its failures.
    pub(super) standing: Standing,
    /// The latest answer to a message of this process.
    pub(super) answer: Option<Answer>,
    /// The times of offers whose requests the reported load does not include yet.
    pub(super) pending_offers: VecDeque<Moment>,
    pub(super) unanswered_since: Option<Moment>,
    /// The number of queries and offers since the last message of the member.
    pub(super) unanswered_queries: u32,
    pub(super) contact: Contact,
    pub(super) unlisted_since: Option<Moment>,
    pub(super) stopped_at: Option<Moment>,
    /// Whether the listing showed an earlier incarnation than the current one.
    pub(super) restarted: bool,
    /// Whether the failure domain of the member is evacuated.
    pub(super) is_evacuated: bool,
}

/// The reachability of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Reachability {
    /// The member answers, or no answer is outstanding.
    Good,
    /// An answer is overdue.
    Suspect,
    /// An answer has been overdue for so long that the flows of the member count as lost, if it is
    /// the only silent one.
    Lost,
}

impl Member {
    pub(super) fn new(entry: AgentEntry, now: Moment) -> Self {
        let stopped_at = (entry.phase == AgentPhase::Stopping).then_some(now);
        let restarted = entry.succeeds;
        Self {
            entry,
            load: None,
            usage: Usage::default(),
            measures: None,
            standing: Standing::ADMITTED,
            answer: None,
            pending_offers: VecDeque::new(),
            unanswered_since: None,
            unanswered_queries: 0,
            contact: Contact::default(),
            unlisted_since: None,
            stopped_at,
            restarted,
            is_evacuated: false,
        }
    }

    /// Creates a member of which only the address is known, since its entry cannot be read. It gets no
    /// new flow, and searches ask it. It counts as unlisted until its entry can be read again.
    pub(super) fn with_unreadable_entry(instance: Instance, domain: Domain, now: Moment) -> Self {
        let entry = AgentEntry {
            agent_id: AgentId { instance, incarnation: Incarnation::default() },
            entry_version: 0,
            target: Target::default(),
            domain,
            slots: Slots::default(),
            phase: AgentPhase::Draining,
            succeeds: false,
        };
        Self { unlisted_since: Some(now), ..Self::new(entry, now) }
    }

    /// Returns true if an entry of the member has been read.
    pub(super) fn has_entry(&self) -> bool {
        self.entry.entry_version > 0
    }

    /// Returns the reachability of the member.
    pub fn reachability(&self, now: Moment) -> Reachability {
        match self.unanswered_since.map(|since| now.since(since)) {
            Some(unanswered_time) if unanswered_time >= LOSS_TIMEOUT => Reachability::Lost,
            Some(unanswered_time) if unanswered_time >= SUSPICION_TIMEOUT => Reachability::Suspect,
            _ => Reachability::Good,
        }
    }

    /// Returns true if the member has been silent for so long that its flows count as lost, given
    /// the timeout of [`Pool::loss_timeout`](super::Pool::loss_timeout). Without a timeout silence proves nothing, nor does it
    /// if the member has answered through another one meanwhile.
    pub fn is_lost(&self, loss_timeout: Option<Span>, now: Moment) -> bool {
        let Some(loss_timeout) = loss_timeout else { return false };
        if self.has_ended() {
            return self.is_answer_overdue(SUSPICION_TIMEOUT, now);
        }
        self.is_silent_to_all(loss_timeout, now) && !self.may_restart(now)
    }

    /// Returns true if the member has owed an answer for at least `span` and no other member has
    /// reached it within that time.
    pub(super) fn is_silent_to_all(&self, span: Span, now: Moment) -> bool {
        self.is_answer_overdue(span, now) && !self.contact.is_alive(span, now)
    }

    /// Returns true if an answer of the member is overdue and it has recently answered through
    /// another member.
    pub fn is_only_reached_by_others(&self, now: Moment) -> bool {
        self.is_answer_overdue(SUSPICION_TIMEOUT, now) && self.contact.is_alive(LOSS_TIMEOUT, now)
    }

    /// Returns what the indirect pings have shown since the last message of the member.
    pub fn indirect_report(&self, now: Moment) -> Report {
        self.contact.report(now)
    }

    pub(super) fn timeliness(&self, now: Moment) -> Timeliness {
        let unanswered = self.unanswered_since.map(|since| now.since(since));
        Timeliness::new(self.answer, unanswered, now)
    }

    /// Returns true if the member has announced a stop or restart and has time left to return.
    pub(super) fn may_restart(&self, now: Moment) -> bool {
        self.stopped_at.is_some_and(|at| now.since(at) < RESTART_GRACE_PERIOD)
    }

    /// Returns true if the upstream of the member has announced its end. The load is newer than the
    /// entry while the store is out of reach, and shows whether another upstream has started since.
    pub(super) fn has_ended(&self) -> bool {
        let is_accepting = self.load.is_some_and(|(load, _)| load.accepting && !load.stopping);
        self.entry.phase == AgentPhase::Ended && !is_accepting
    }

    /// Returns true if the silence of the member has an explanation besides the path: its upstream
    /// has ended, or the store has not listed it for longer than an outage explains.
    pub(super) fn has_left(&self, now: Moment) -> bool {
        let is_gone = self.unlisted_since.is_some_and(|at| now.since(at) >= UNLISTED_GRACE_PERIOD);
        (self.has_ended() || is_gone) && self.is_silent_to_all(LOSS_TIMEOUT, now)
    }

    /// Returns true if the member has never answered, although it would have by now if it had
    /// started together with the other members. One that has announced a restart may come later.
    pub fn is_absent(&self, now: Moment) -> bool {
        let has_answered = self.load.is_some() || self.contact.has_answered();
        !has_answered && self.is_answer_overdue(ABSENCE_TIMEOUT, now) && !self.may_restart(now)
    }

    /// Returns true if the listing showed an earlier incarnation of the member than the current
    /// one.
    pub fn has_restarted(&self) -> bool {
        self.restarted
    }

    /// Returns the last reported load and its age, or `None` if the member has reported none.
    pub fn load(&self, now: Moment) -> Option<(AgentLoad, Span)> {
        self.load.map(|(load, at)| (load, now.since(at)))
    }

    /// Returns the part of the flows that the member gets, by its failures.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Returns the member as it is compared with the others of its service, or `None` if it takes no
    /// flows.
    pub(super) fn peer(&self) -> Option<Peer> {
        self.takes_flows().then(|| Peer {
            instance: self.entry.agent_id.instance,
            failures: self.measures.map(|(measures, _)| measures.failures),
            busy: self.load.map(|(load, _)| load.busy).unwrap_or_default(),
            slots: self.entry.slots,
            standing: self.standing,
        })
    }

    /// Returns true while the member is listed.
    pub fn is_listed(&self) -> bool {
        self.unlisted_since.is_none()
    }

    /// Returns true if an answer of the member has been outstanding for at least `span`.
    pub fn is_answer_overdue(&self, span: Span, now: Moment) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= span)
    }

    /// Returns the time since which the member has owed an answer, or `None` if it owes none.
    pub fn unanswered_since(&self) -> Option<Moment> {
        self.unanswered_since
    }

    /// Returns the time of the last answer to a message of this process.
    pub fn answered_at(&self) -> Option<Moment> {
        self.answer.map(|answer| answer.at)
    }

    /// Returns the number of queries and offers since the last message of the member.
    pub fn unanswered_queries(&self) -> u32 {
        self.unanswered_queries
    }

    /// Returns true if the member has been silent for so long that it may have been left out of the
    /// verdict about a flow.
    pub(super) fn may_be_excluded(&self, now: Moment) -> bool {
        let timeout =
            if self.has_ended() || self.load.is_none() { SUSPICION_TIMEOUT } else { LOSS_TIMEOUT };
        self.is_answer_overdue(timeout, now)
    }

    pub(super) fn record_usage(&mut self, load: &AgentLoad, now: Moment) {
        self.usage.record(load, self.slots() as f64, now);
    }

    pub(super) fn record_query(&mut self, now: Moment) {
        self.unanswered_since.get_or_insert(now);
        self.unanswered_queries += 1;
    }

    /// Returns true if the member takes new flows, as far as it has reported.
    pub fn takes_flows(&self) -> bool {
        self.exclusion().is_none()
    }
}

impl AgentEntry {
    /// Returns the incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.agent_id.incarnation
    }
}
