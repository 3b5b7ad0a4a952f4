//! Indirect pings: members that answer in time are asked to ping a member that does not.
//!
//! The silence that one process sees may have its cause on the path between it and the member. An
//! answer through another member shows that the member is alive, so its flows are not lost, though
//! this process cannot reach it. See "Silence of an agent" in `docs/platform.md`.

use {
    crate::{
        flow::FlowKey,
        ids::{Domain, Instance},
        placement::pair_hash,
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Time between two rounds of indirect pings for one member. Several rounds fit between the
/// suspicion of a member and its loss, so that no single lost datagram decides.
const ROUND_INTERVAL: Span = Span::from_millis(250);
/// Maximum number of members that are asked about one member in a round.
const MAX_RELAYS: usize = 3;
/// Mean time between two indirect pings of one process, however many members are silent. 200 a
/// second and their answers take less than two percent of either direction of a link of 10 Mbit/s.
const PING_INTERVAL: Span = Span::from_millis(5);
/// Maximum number of indirect pings that are sent at once.
const MAX_BURST_PINGS: u64 = 40;

/// A request to one member to ping another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ping {
    /// The member that is asked.
    pub via: Instance,
    /// The silent member.
    pub suspect: Instance,
}

/// The condition of an agent that answers through another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The agent runs.
    Running,
    /// The agent stops soon, while its upstream may continue.
    Stopping,
    /// The upstream has announced its end, so that no flow is left.
    Ended,
}

/// What the indirect pings of a member have shown, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The number of indirect pings since the last message of the member.
    pub pings: u32,
    /// The number of answers through other members since then.
    pub answers: u32,
    /// The time since the last of these answers.
    pub answer_age: Option<Span>,
    /// The member through which it came.
    pub via: Option<Instance>,
}

/// The indirect contact to one member since its last message.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    /// The time of the last ping and the member that was asked.
    last_ping: Option<(Moment, Instance)>,
    pings: u32,
    answers: u32,
    last_answer: Option<Answer>,
}

/// The limit of the indirect pings of one process.
#[derive(Debug, Default)]
pub(super) struct Limit {
    /// The time of the last call, in microseconds.
    last_call: AtomicU64,
}

/// A silent member.
#[derive(Debug)]
pub(super) struct Suspect {
    pub instance: Instance,
    pub contact: Contact,
}

/// A member that answers in time.
#[derive(Debug)]
pub(super) struct Relay {
    pub instance: Instance,
    pub domain: Domain,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Moment,
    via: Instance,
    condition: Condition,
}

impl Contact {
    /// Returns true if the next round of pings may start.
    fn is_ping_due(&self, now: Moment) -> bool {
        self.last_ping.is_none_or(|(at, _)| now.since(at) >= ROUND_INTERVAL)
    }

    pub fn record_ping(&mut self, via: Instance, now: Moment) {
        self.last_ping = Some((now, via));
        self.pings += 1;
    }

    pub fn record_answer(&mut self, via: Instance, condition: Condition, now: Moment) {
        self.answers += 1;
        self.last_answer = Some(Answer { at: now, via, condition });
    }

    /// Returns true if an answer within the last `span` shows that the flows of the member may
    /// live.
    pub fn is_alive(&self, span: Span, now: Moment) -> bool {
        self.last_answer.is_some_and(|answer| {
            answer.condition != Condition::Ended && now.since(answer.at) < span
        })
    }

    /// Returns true if the member has answered since its last message to this process.
    pub fn has_answered(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Extends the validity of the last answer by a time for which this process was paused and
    /// asked nobody.
    pub fn extend(&mut self, pause: Span, now: Moment) {
        if let Some(answer) = &mut self.last_answer {
            answer.at = now.min(answer.at + pause);
        }
    }

    pub fn report(&self, now: Moment) -> Report {
        let Self { pings, answers, last_answer, .. } = *self;
        let answer_age = last_answer.map(|answer| now.since(answer.at));
        Report { pings, answers, answer_age, via: last_answer.map(|answer| answer.via) }
    }
}

impl Limit {
    /// Returns the number of pings that may be sent now. Unused ones are not carried over.
    pub fn take(&self, now: Moment) -> usize {
        let last_call = Moment::new(self.last_call.swap(now.get(), Ordering::Relaxed));
        let pings = now.since(last_call).as_micros() / PING_INTERVAL.as_micros();
        pings.min(MAX_BURST_PINGS) as usize
    }
}

/// Chooses up to `limit` pings. Suspects that were pinged least recently come first, and the more
/// there are, the fewer pings each gets at once.
pub(super) fn choose(
    mut suspects: Vec<Suspect>,
    relays: &[Relay],
    own_domain: &Domain,
    limit: usize,
    now: Moment,
) -> Vec<Ping> {
    let relays_per_suspect = (limit / suspects.len().max(1)).clamp(1, MAX_RELAYS);
    suspects.retain(|suspect| suspect.contact.is_ping_due(now));
    suspects.sort_unstable_by_key(|suspect| (suspect.contact.last_ping, suspect.instance));
    let pings = suspects.iter().flat_map(|suspect| {
        let chosen = choose_relays(suspect, relays, own_domain, relays_per_suspect);
        chosen.into_iter().map(|via| Ping { via, suspect: suspect.instance })
    });
    pings.take(limit).collect()
}

/// Chooses up to `count` relays for a suspect, others in each round. Relays in failure domains
/// besides that of this process and of each other come first, since their paths to the suspect
/// have the least in common.
fn choose_relays(
    suspect: &Suspect,
    relays: &[Relay],
    own_domain: &Domain,
    count: usize,
) -> Vec<Instance> {
    // The address takes the low 48 bits.
    let key = suspect.instance.to_bits() ^ (u64::from(suspect.contact.pings) << 48);
    let key = FlowKey::new(key);
    // A relay of an earlier release does not know the request, so the next ping takes another one.
    let last_via = suspect.contact.last_ping.map(|(_, via)| via);
    let (mut chosen, mut domains) = (Vec::with_capacity(count), vec![own_domain]);
    for _ in 0..count {
        let unused = relays.iter().filter(|relay| !chosen.contains(&relay.instance));
        let best = unused.min_by_key(|relay| {
            let (is_last, instance) = (last_via == Some(relay.instance), relay.instance);
            (is_last, domains.contains(&&relay.domain), pair_hash(key, instance))
        });
        let Some(relay) = best else { break };
        chosen.push(relay.instance);
        domains.push(&relay.domain);
    }
    chosen
}
