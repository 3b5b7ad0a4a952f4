//! Capacity grants: the sum of the slots that all agents may use never exceeds the contract's
//! share.

use {
    proptest::prelude::*,
    std::collections::BTreeSet,
    yuccacroft_core::{
        capacity::{
            Claim, ClaimDecision, ClaimNumber, GrantRecord,
            absence::AbsenceTracker,
            holder::{GRACE_PERIOD, Granted, Holder, ISOLATION_TIMEOUT},
            share_per_agent,
        },
        flow::AgentId,
        ids::{Incarnation, Instance},
        time::{Moment, Span},
        units::Slots,
    },
};

const SHARE: Slots = Slots::new(28);
const AGENTS: usize = 9;
const UPSTREAMS_MAX: u32 = 7;

fn agent_id(agent: usize, incarnation: u64) -> AgentId {
    let instance = Instance::from_bits((0x7f00_0000 + agent as u64) << 16 | 9_000);
    AgentId { instance, incarnation: Incarnation::new(incarnation) }
}

/// A store with a single value. Writes may race, and their answers may be lost.
#[derive(Default)]
struct Store {
    record: GrantRecord,
    revision: u64,
}

impl Store {
    /// Writes the record if the revision is still `base`, or always if `unconditional`. Returns
    /// whether it was written.
    fn put(&mut self, record: GrantRecord, base: u64, unconditional: bool) -> bool {
        if base != self.revision && !unconditional {
            return false;
        }
        self.record = record;
        self.revision += 1;
        true
    }
}

#[derive(Clone, Default)]
struct Agent {
    incarnation: u64,
    claims_sent: u32,
    holder: Option<Holder<Granted>>,
}

/// A claim in progress: a balancer has read the record but not yet written it.
struct PendingClaim {
    agent: usize,
    agent_id: AgentId,
    number: ClaimNumber,
    claim: Claim,
    sent_at: Moment,
    record: GrantRecord,
    base: u64,
}

#[derive(Clone, Debug)]
enum Action {
    Send { agent: usize, wanted: u32 },
    Release(usize),
    Arrive { position: usize, answer_lost: bool },
    Restart(usize),
    Pause(u64),
}

/// The mechanism that is disabled to show that the property depends on it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disabled {
    Nothing,
    CompareAndSwap,
    Numbers,
}

struct Simulation {
    store: Store,
    agents: Vec<Agent>,
    pending: Vec<PendingClaim>,
    now: Moment,
    disabled: Disabled,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let agent = 0..AGENTS;
    let action = prop_oneof![
        4 => (agent.clone(), 0u32..12).prop_map(|(agent, wanted)| Action::Send { agent, wanted }),
        4 => (0usize..8, any::<bool>())
            .prop_map(|(position, answer_lost)| Action::Arrive { position, answer_lost }),
        1 => agent.clone().prop_map(Action::Release),
        1 => agent.prop_map(Action::Restart),
        1 => (1u64..400).prop_map(Action::Pause),
    ];
    proptest::collection::vec(action, 1..200)
}

impl Simulation {
    fn new(disabled: Disabled) -> Self {
        let agents = vec![Agent { incarnation: 1, ..Agent::default() }; AGENTS];
        let (store, now) = (Store::default(), Moment::new(1));
        Self { store, agents, pending: Vec::new(), now, disabled }
    }

    /// Runs a schedule and returns the highest total of usable slots at any moment.
    fn max_total_usable(mut self, schedule: &[Action]) -> u32 {
        let mut max_total = 0;
        for action in schedule {
            self.now = self.now + Span::from_millis(1);
            self.apply(action);
            let usable = |agent: &Agent| agent.holder.map_or(0, |h| h.usable_slots(self.now).get());
            max_total = max_total.max(self.agents.iter().map(usable).sum());
        }
        max_total
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Send { agent, wanted } => self.send(agent, Claim::Hold(Slots::new(wanted))),
            Action::Release(agent) => self.send(agent, Claim::Release),
            Action::Arrive { position, answer_lost } => self.arrive(position, answer_lost),
            Action::Restart(agent) => {
                let incarnation = self.agents[agent].incarnation + 1;
                self.agents[agent] = Agent { incarnation, ..Agent::default() };
            }
            Action::Pause(seconds) => self.now = self.now + Span::from_secs(seconds),
        }
    }

    fn send(&mut self, index: usize, claim: Claim) {
        let agent = &mut self.agents[index];
        match (claim, &mut agent.holder) {
            (Claim::Hold(wanted), Some(holder)) => drop(holder.shrink(wanted)),
            (Claim::Release, _) => agent.holder = None,
            (Claim::Hold(_), None) => {}
        }
        agent.claims_sent += 1;
        self.pending.push(PendingClaim {
            agent: index,
            agent_id: agent_id(index, agent.incarnation),
            number: ClaimNumber::new(agent.claims_sent),
            claim,
            sent_at: self.now,
            record: self.store.record.clone(),
            base: self.store.revision,
        });
    }

    fn arrive(&mut self, position: usize, answer_lost: bool) {
        if position >= self.pending.len() {
            return;
        }
        let pending = self.pending.remove(position);
        let claim_number =
            if self.disabled == Disabled::Numbers { 0 } else { pending.number.get() };
        let (agent_id, number) = (pending.agent_id, ClaimNumber::new(claim_number));
        let decision =
            pending.record.decide(agent_id, number, pending.claim, SHARE, &BTreeSet::new());
        let unconditional = self.disabled == Disabled::CompareAndSwap;
        let (accepted, slots) = match decision {
            ClaimDecision::Keep(slots) => (true, slots),
            ClaimDecision::Write(record, slots) => {
                (self.store.put(record, pending.base, unconditional), slots)
            }
            ClaimDecision::Outdated => return,
        };
        let agent = &mut self.agents[pending.agent];
        let is_latest = agent.incarnation == agent_id.incarnation.get()
            && agent.claims_sent == pending.number.get();
        if !accepted || answer_lost || !is_latest || pending.claim == Claim::Release {
            return;
        }
        match &mut agent.holder {
            Some(holder) => holder.renew(slots, pending.sent_at),
            None => agent.holder = Some(Holder::new().grant(slots, pending.sent_at)),
        }
    }
}

fn max_total_usable(schedule: &[Action], disabled: Disabled) -> u32 {
    Simulation::new(disabled).max_total_usable(schedule)
}

fn hold(record: &GrantRecord, agent_id: AgentId, slots: u32, share: Slots) -> Option<GrantRecord> {
    let claim = Claim::Hold(Slots::new(slots));
    match record.decide(agent_id, ClaimNumber::new(1), claim, share, &BTreeSet::new()) {
        ClaimDecision::Write(record, _) => Some(record),
        ClaimDecision::Keep(_) | ClaimDecision::Outdated => None,
    }
}

proptest! {
    /// Guards against a customer that uses more than its contract's share, with races, lost
    /// answers, restarts and pauses in any order.
    #[test]
    fn sum_never_exceeds_the_share(schedule in actions()) {
        prop_assert!(max_total_usable(&schedule, Disabled::Nothing) <= SHARE.get());
    }

    /// Guards against a record whose text does not parse to the same record.
    #[test]
    fn record_text_round_trip(wanted_slots in proptest::collection::vec(0u32..9, 0..AGENTS)) {
        let mut record = GrantRecord::new();
        for (index, wanted) in wanted_slots.into_iter().enumerate() {
            record = hold(&record, agent_id(index, 3), wanted, SHARE).unwrap_or(record);
        }
        prop_assert_eq!(record.to_string().parse::<GrantRecord>().unwrap(), record);
    }
}

/// Shows that the property depends on compare-and-swap: with unconditional writes, two agents whose
/// claims read the same record both get the whole share.
#[test]
fn unconditional_writes_exceed_the_share() {
    let send = |agent| Action::Send { agent, wanted: 28 };
    let arrive = Action::Arrive { position: 0, answer_lost: false };
    let schedule = [send(0), send(1), arrive.clone(), arrive];
    assert_eq!(max_total_usable(&schedule, Disabled::Nothing), 28);
    assert_eq!(max_total_usable(&schedule, Disabled::CompareAndSwap), 56);
}

/// Shows that the property depends on claim numbers: without them, a delayed smaller claim lowers
/// the recorded grant of an agent that was granted more in the meantime.
#[test]
fn delayed_claim_without_number_exceeds_the_share() {
    let arrive = |position| Action::Arrive { position, answer_lost: false };
    let schedule = [
        Action::Send { agent: 0, wanted: 28 },
        arrive(0),
        Action::Send { agent: 0, wanted: 2 },
        Action::Send { agent: 0, wanted: 28 },
        arrive(1),
        arrive(0),
        Action::Send { agent: 1, wanted: 28 },
        arrive(0),
    ];
    assert_eq!(max_total_usable(&schedule, Disabled::Nothing), 28);
    assert_eq!(max_total_usable(&schedule, Disabled::Numbers), 54);
}

/// Guards against an isolated agent that still uses its grant when it can already be freed.
#[test]
fn isolated_holder_stops_before_its_grant_is_freed() {
    let start = Moment::new(1);
    let holder = Holder::new().grant(Slots::new(4), start);
    assert_eq!(holder.usable_slots(start + ISOLATION_TIMEOUT - Span::from_millis(1)).get(), 4);
    assert_eq!(holder.usable_slots(start + ISOLATION_TIMEOUT).get(), 0);
}

/// Guards against an earlier incarnation of an agent that replaces the grant of a later one.
#[test]
fn earlier_incarnation_gets_no_grant() {
    let record =
        hold(&GrantRecord::new(), agent_id(0, 2), 4, SHARE).expect("an empty record grants");
    let claim = Claim::Hold(Slots::new(4));
    let decision =
        record.decide(agent_id(0, 1), ClaimNumber::new(9), claim, SHARE, &BTreeSet::new());
    assert_eq!(decision, ClaimDecision::Outdated);
}

/// Guards against rounding that leaves capacity unused or exceeds the share when the maximum number
/// of agents run.
#[test]
fn equal_claims_use_the_whole_share() {
    for share in (1..60).map(Slots::new) {
        let wanted = share_per_agent(share, UPSTREAMS_MAX).get();
        let mut record = GrantRecord::new();
        for agent in 0..UPSTREAMS_MAX as usize {
            record = hold(&record, agent_id(agent, 1), wanted, share).unwrap_or(record);
        }
        assert_eq!(record.total(), share);
    }
}

/// Guards against accepting malformed text as a record with other grants.
#[test]
fn rejects_malformed_records() {
    let twice = "127.0.0.1:1 2 3 4\n127.0.0.1:1 2 3 4";
    for text in ["x", "127.0.0.1:1 2 3", "127.0.0.1:1 2 3 4 5", twice] {
        assert!(text.parse::<GrantRecord>().is_err(), "{text}");
    }
}

/// Guards against capacity that is never freed after an agent dies without releasing its grant, and
/// against freeing a grant while its holder may still use it.
#[test]
fn missing_holder_is_freed_after_the_grace_period() {
    let record = hold(&GrantRecord::new(), agent_id(0, 1), 28, SHARE).unwrap();
    let (tracker, none) = (AbsenceTracker::new(), BTreeSet::new());
    let start = Moment::new(1);
    assert_eq!(tracker.expired_holders(&record, &none, start), none);
    assert_eq!(
        tracker.expired_holders(&record, &none, start + GRACE_PERIOD - Span::from_millis(1)),
        none
    );
    let expired = tracker.expired_holders(&record, &none, start + GRACE_PERIOD);
    assert_eq!(expired, BTreeSet::from([agent_id(0, 1).instance]));
    let claim = Claim::Hold(Slots::new(4));
    let decision = record.decide(agent_id(1, 1), ClaimNumber::new(1), claim, SHARE, &expired);
    assert!(matches!(decision, ClaimDecision::Write(_, slots) if slots.get() == 4), "{decision:?}");
}

/// Guards against adding up separate absences of a holder that returned in between.
#[test]
fn returning_holder_resets_its_absence() {
    let record = hold(&GrantRecord::new(), agent_id(0, 1), 28, SHARE).unwrap();
    let (tracker, none) = (AbsenceTracker::new(), BTreeSet::new());
    let start = Moment::new(1);
    tracker.expired_holders(&record, &none, start);
    tracker.expired_holders(
        &record,
        &BTreeSet::from([agent_id(0, 1).instance]),
        start + ISOLATION_TIMEOUT,
    );
    assert_eq!(tracker.expired_holders(&record, &none, start + GRACE_PERIOD), none);
}
