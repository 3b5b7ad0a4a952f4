//! Capacity grants: the sum of what all agents may use never exceeds the contract's share.

use {
    proptest::prelude::*,
    std::collections::BTreeSet,
    yuccacroft_core::{
        capacity::{
            Claim, ClaimDecision, ClaimNumber, Record,
            absence::AbsenceTracker,
            holder::{GRACE_PERIOD, Granted, Holder, ISOLATION_TIMEOUT},
            share_per_agent,
        },
        flow::Hop,
        ids::{Incarnation, Instance},
        time::{Moment, Span},
        units::Slots,
    },
};

const SHARE: Slots = Slots::new(28);
const AGENTS: usize = 9;
const UPSTREAMS_MAX: u32 = 7;

fn hop(agent: usize, life: u64) -> Hop {
    let instance = Instance::from_bits((0x7f00_0000 + agent as u64) << 16 | 9_000);
    Hop { instance, incarnation: Incarnation::new(life) }
}

/// A store with one value, whose writes may race and whose answers may be lost.
#[derive(Default)]
struct Store {
    record: Record,
    revision: u64,
}

impl Store {
    /// Writes if nobody else wrote in between, or always when `blind`.
    fn put(&mut self, record: Record, base: u64, blind: bool) -> bool {
        if base != self.revision && !blind {
            return false;
        }
        self.record = record;
        self.revision += 1;
        true
    }
}

#[derive(Clone, Default)]
struct Agent {
    life: u64,
    sent: u32,
    holder: Option<Holder<Granted>>,
}

/// A claim on its way: a balancer has read the record for it and not written yet.
struct Pending {
    agent: usize,
    hop: Hop,
    number: ClaimNumber,
    claim: Claim,
    asked: Moment,
    record: Record,
    base: u64,
}

#[derive(Clone, Debug)]
enum Action {
    Send { agent: usize, want: u32 },
    Release(usize),
    Arrive { position: usize, answer_lost: bool },
    Restart(usize),
    Pause(u64),
}

/// What is switched off to show that the property rests on it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    CompareAndSwap,
    Numbers,
}

struct World {
    store: Store,
    agents: Vec<Agent>,
    pending: Vec<Pending>,
    now: Moment,
    without: Without,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let agent = 0..AGENTS;
    let action = prop_oneof![
        4 => (agent.clone(), 0u32..12).prop_map(|(agent, want)| Action::Send { agent, want }),
        4 => (0usize..8, any::<bool>())
            .prop_map(|(position, answer_lost)| Action::Arrive { position, answer_lost }),
        1 => agent.clone().prop_map(Action::Release),
        1 => agent.prop_map(Action::Restart),
        1 => (1u64..400).prop_map(Action::Pause),
    ];
    proptest::collection::vec(action, 1..200)
}

impl World {
    fn new(without: Without) -> Self {
        let agents = vec![Agent { life: 1, ..Agent::default() }; AGENTS];
        let (store, now) = (Store::default(), Moment::new(1));
        Self { store, agents, pending: Vec::new(), now, without }
    }

    /// Runs a schedule and returns the largest sum that all agents could use at any moment.
    fn largest_sum(mut self, schedule: &[Action]) -> u32 {
        let mut largest = 0;
        for action in schedule {
            self.now = self.now + Span::from_millis(1);
            self.act(action);
            let allowed =
                |agent: &Agent| agent.holder.map_or(0, |h| h.usable_slots(self.now).get());
            largest = largest.max(self.agents.iter().map(allowed).sum());
        }
        largest
    }

    fn act(&mut self, action: &Action) {
        match *action {
            Action::Send { agent, want } => self.send(agent, Claim::Hold(Slots::new(want))),
            Action::Release(agent) => self.send(agent, Claim::Release),
            Action::Arrive { position, answer_lost } => self.arrive(position, answer_lost),
            Action::Restart(agent) => {
                let life = self.agents[agent].life + 1;
                self.agents[agent] = Agent { life, ..Agent::default() };
            }
            Action::Pause(seconds) => self.now = self.now + Span::from_secs(seconds),
        }
    }

    fn send(&mut self, index: usize, claim: Claim) {
        let agent = &mut self.agents[index];
        match (claim, &mut agent.holder) {
            (Claim::Hold(want), Some(holder)) => drop(holder.shrink(want)),
            (Claim::Release, _) => agent.holder = None,
            (Claim::Hold(_), None) => {}
        }
        agent.sent += 1;
        self.pending.push(Pending {
            agent: index,
            hop: hop(index, agent.life),
            number: ClaimNumber::new(agent.sent),
            claim,
            asked: self.now,
            record: self.store.record.clone(),
            base: self.store.revision,
        });
    }

    fn arrive(&mut self, position: usize, answer_lost: bool) {
        if position >= self.pending.len() {
            return;
        }
        let pending = self.pending.remove(position);
        let known = if self.without == Without::Numbers { 0 } else { pending.number.get() };
        let (hop, number) = (pending.hop, ClaimNumber::new(known));
        let step = pending.record.decide(hop, number, pending.claim, SHARE, &BTreeSet::new());
        let blind = self.without == Without::CompareAndSwap;
        let (accepted, slots) = match step {
            ClaimDecision::Keep(slots) => (true, slots),
            ClaimDecision::Write(record, slots) => {
                (self.store.put(record, pending.base, blind), slots)
            }
            ClaimDecision::Outdated => return,
        };
        let agent = &mut self.agents[pending.agent];
        let latest = agent.life == hop.incarnation.get() && agent.sent == pending.number.get();
        if !accepted || answer_lost || !latest || pending.claim == Claim::Release {
            return;
        }
        match &mut agent.holder {
            Some(holder) => holder.renew(slots, pending.asked),
            None => agent.holder = Some(Holder::new().grant(slots, pending.asked)),
        }
    }
}

fn largest_sum(schedule: &[Action], without: Without) -> u32 {
    World::new(without).largest_sum(schedule)
}

fn hold(record: &Record, hop: Hop, slots: u32, share: Slots) -> Option<Record> {
    let claim = Claim::Hold(Slots::new(slots));
    match record.decide(hop, ClaimNumber::new(1), claim, share, &BTreeSet::new()) {
        ClaimDecision::Write(record, _) => Some(record),
        ClaimDecision::Keep(_) | ClaimDecision::Outdated => None,
    }
}

proptest! {
    /// Guards against a customer that gets more than its contract says: races, lost answers,
    /// restarts and pauses in any order.
    #[test]
    fn sum_never_exceeds_the_share(schedule in actions()) {
        prop_assert!(largest_sum(&schedule, Without::Nothing) <= SHARE.get());
    }

    /// Guards against a record that cannot be read back.
    #[test]
    fn record_returns_from_text(wants in proptest::collection::vec(0u32..9, 0..AGENTS)) {
        let mut record = Record::new();
        for (index, want) in wants.into_iter().enumerate() {
            record = hold(&record, hop(index, 3), want, SHARE).unwrap_or(record);
        }
        prop_assert_eq!(record.to_string().parse::<Record>().unwrap(), record);
    }
}

/// Shows that the property rests on compare-and-swap: with blind writes two agents that read the
/// same record both get all of the share.
#[test]
fn blind_writes_exceed_the_share() {
    let send = |agent| Action::Send { agent, want: 28 };
    let arrive = Action::Arrive { position: 0, answer_lost: false };
    let schedule = [send(0), send(1), arrive.clone(), arrive];
    assert_eq!(largest_sum(&schedule, Without::Nothing), 28);
    assert_eq!(largest_sum(&schedule, Without::CompareAndSwap), 56);
}

/// Shows that the property rests on claim numbers: a smaller claim that was held up would lower
/// the record under an agent that was granted more in the meantime.
#[test]
fn late_claim_without_number_exceeds_the_share() {
    let arrive = |position| Action::Arrive { position, answer_lost: false };
    let schedule = [
        Action::Send { agent: 0, want: 28 },
        arrive(0),
        Action::Send { agent: 0, want: 2 },
        Action::Send { agent: 0, want: 28 },
        arrive(1),
        arrive(0),
        Action::Send { agent: 1, want: 28 },
        arrive(0),
    ];
    assert_eq!(largest_sum(&schedule, Without::Nothing), 28);
    assert_eq!(largest_sum(&schedule, Without::Numbers), 54);
}

/// Guards against an agent that still uses its grant when others may already take it for free.
#[test]
fn isolated_holder_stops_before_its_grant_is_freed() {
    let start = Moment::new(1);
    let holder = Holder::new().grant(Slots::new(4), start);
    assert_eq!(holder.usable_slots(start + ISOLATION_TIMEOUT - Span::from_millis(1)).get(), 4);
    assert_eq!(holder.usable_slots(start + ISOLATION_TIMEOUT).get(), 0);
}

/// Guards against an earlier life of an agent that takes the grant of the later one.
#[test]
fn earlier_life_gets_nothing() {
    let record = hold(&Record::new(), hop(0, 2), 4, SHARE).expect("an empty record grants");
    let claim = Claim::Hold(Slots::new(4));
    let step = record.decide(hop(0, 1), ClaimNumber::new(9), claim, SHARE, &BTreeSet::new());
    assert_eq!(step, ClaimDecision::Outdated);
}

/// Guards against a full fleet that leaves capacity unused or exceeds it through rounding.
#[test]
fn portions_use_the_whole_share() {
    for share in (1..60).map(Slots::new) {
        let want = share_per_agent(share, UPSTREAMS_MAX).get();
        let mut record = Record::new();
        for agent in 0..UPSTREAMS_MAX as usize {
            record = hold(&record, hop(agent, 1), want, share).unwrap_or(record);
        }
        assert_eq!(record.total(), share);
    }
}

/// Guards against text that would be taken for a record with other grants.
#[test]
fn refuses_unusable_records() {
    let twice = "127.0.0.1:1 2 3 4\n127.0.0.1:1 2 3 4";
    for text in ["x", "127.0.0.1:1 2 3", "127.0.0.1:1 2 3 4 5", twice] {
        assert!(text.parse::<Record>().is_err(), "{text}");
    }
}

/// Guards against capacity that stays lost when an agent dies without giving its grant back, and
/// against a grant that is freed while its holder may still use it.
#[test]
fn absent_holder_is_freed_after_the_grace_time() {
    let record = hold(&Record::new(), hop(0, 1), 28, SHARE).unwrap();
    let (absence, none) = (AbsenceTracker::new(), BTreeSet::new());
    let start = Moment::new(1);
    assert_eq!(absence.expired_holders(&record, &none, start), none);
    assert_eq!(
        absence.expired_holders(&record, &none, start + GRACE_PERIOD - Span::from_millis(1)),
        none
    );
    let gone = absence.expired_holders(&record, &none, start + GRACE_PERIOD);
    assert_eq!(gone, BTreeSet::from([hop(0, 1).instance]));
    let claim = Claim::Hold(Slots::new(4));
    let step = record.decide(hop(1, 1), ClaimNumber::new(1), claim, SHARE, &gone);
    assert!(matches!(step, ClaimDecision::Write(_, slots) if slots.get() == 4), "{step:?}");
}

/// Guards against a holder that is missed twice for short times and freed for their sum.
#[test]
fn holder_that_returns_is_missed_anew() {
    let record = hold(&Record::new(), hop(0, 1), 28, SHARE).unwrap();
    let (absence, none) = (AbsenceTracker::new(), BTreeSet::new());
    let start = Moment::new(1);
    absence.expired_holders(&record, &none, start);
    absence.expired_holders(
        &record,
        &BTreeSet::from([hop(0, 1).instance]),
        start + ISOLATION_TIMEOUT,
    );
    assert_eq!(absence.expired_holders(&record, &none, start + GRACE_PERIOD), none);
}
