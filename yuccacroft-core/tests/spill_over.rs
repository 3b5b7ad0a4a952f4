//! Tests of the spill-over between failure domains, with loads as flows of a fluid and without a
//! network.

use {
    std::collections::VecDeque,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance},
        pool::{AgentEntry, AgentLoad, AgentPhase, Measures, Pool},
        route::{ServiceName, Target},
        spill_over::{Controller, Plan, Share, Supply, Terms},
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
    },
};

const DOMAINS: usize = 3;
const BALANCERS_PER_DOMAIN: usize = 4;
const STEP: Span = Span::from_millis(100);
const STEPS_PER_SECOND: usize = 10;
/// The time over which agents average the requests in progress, in steps.
const MEAN_STEPS: f64 = 10.0;
const SERVICE_TIME: Span = Span::from_millis(30);
const TERMS: Terms =
    Terms { objective: Span::from_millis(250), crossing_price: Span::from_millis(0) };

/// Failure domains whose balancers get the loads with a delay.
struct World {
    now: Moment,
    /// The requests in progress that the callers of each domain would cause at free upstreams.
    demand: [f64; DOMAINS],
    slots: [f64; DOMAINS],
    /// The mean requests in progress of the last second.
    busy: [f64; DOMAINS],
    /// The work that is offered to each domain.
    offered: [f64; DOMAINS],
    /// The loads that balancers do not know yet, oldest first.
    reports: VecDeque<[f64; DOMAINS]>,
    balancers: Vec<Vec<Controller>>,
    plans: Vec<Vec<Plan>>,
    /// The domains whose balancers do not see another domain, each with that one.
    hidden: Vec<(usize, usize)>,
}

fn domains() -> [Domain; DOMAINS] {
    ["a", "b", "c"].map(|name| Domain::new(name).unwrap())
}

impl World {
    fn new(demand: [f64; DOMAINS], slots: [f64; DOMAINS], report_age: usize) -> Self {
        let controllers = vec![Controller::default(); BALANCERS_PER_DOMAIN];
        Self {
            now: Moment::new(1_000_000),
            demand,
            slots,
            busy: [0.0; DOMAINS],
            offered: demand,
            reports: vec![[0.0; DOMAINS]; report_age].into(),
            balancers: vec![controllers; DOMAINS],
            plans: vec![vec![Plan::default(); BALANCERS_PER_DOMAIN]; DOMAINS],
            hidden: Vec::new(),
        }
    }

    /// Returns the mean share that a domain sends out.
    fn share(&self, domain: usize) -> f64 {
        let sum: u32 = self.plans[domain].iter().map(|plan| plan.share.get()).sum();
        f64::from(sum) / 1_000.0 / BALANCERS_PER_DOMAIN as f64
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.offered = self.offered_work();
        for domain in 0..DOMAINS {
            let in_progress = self.offered[domain].min(self.slots[domain]);
            self.busy[domain] += (in_progress - self.busy[domain]) / MEAN_STEPS;
        }
        self.reports.push_back(self.busy);
        let known = self.reports.pop_front().unwrap();
        let names = domains();
        let supply = |domain: usize| Supply {
            slots: self.slots[domain],
            busy: known[domain],
            service_time: SERVICE_TIME,
            wait: Span::ZERO,
            round_trip: Span::from_millis(1),
        };
        for home in 0..DOMAINS {
            let sees = |other: &usize| {
                *other != home && self.slots[*other] > 0.0 && !self.hidden.contains(&(home, *other))
            };
            let others = (0..DOMAINS).filter(sees);
            let others: Vec<_> = others
                .map(|other| {
                    (&names[other], Supply { round_trip: Span::from_millis(3), ..supply(other) })
                })
                .collect();
            let own = (self.slots[home] > 0.0).then(|| supply(home));
            for (controller, plan) in self.balancers[home].iter_mut().zip(&mut self.plans[home]) {
                *plan = controller.update(own.as_ref(), &others, &TERMS, self.now);
            }
        }
    }

    /// Distributes the work. Without an upstream at home all of it leaves.
    fn offered_work(&self) -> [f64; DOMAINS] {
        let names = domains();
        let mut offered = [0.0; DOMAINS];
        for home in 0..DOMAINS {
            for plan in &self.plans[home] {
                let work = self.demand[home] / BALANCERS_PER_DOMAIN as f64;
                let is_cut = self.slots[home] == 0.0;
                let alive = |domain: &usize| *domain != home && self.slots[*domain] > 0.0;
                let receivers: Vec<usize> = (0..DOMAINS)
                    .filter(alive)
                    .filter(|domain| is_cut || plan.receivers.contains(&names[*domain]))
                    .collect();
                let share = if is_cut { 1.0 } else { f64::from(plan.share.get()) / 1_000.0 };
                let sent = if receivers.is_empty() { 0.0 } else { work * share };
                offered[home] += work - sent;
                receivers.iter().for_each(|to| offered[*to] += sent / receivers.len() as f64);
            }
        }
        offered
    }

    fn run(&mut self, seconds: usize, mut check: impl FnMut(&Self)) {
        for _ in 0..seconds * STEPS_PER_SECOND {
            self.step();
            check(self);
        }
    }

    fn utilization(&self, domain: usize) -> f64 {
        self.offered[domain] / self.slots[domain]
    }

    fn senders(&self) -> usize {
        (0..DOMAINS).filter(|domain| self.share(*domain) > 0.0).count()
    }
}

/// Guards against crossing bytes on a day without a shortage, whatever the differences in load.
#[test]
fn nothing_leaves_while_each_domain_has_room() {
    for report_age in [0, 2, 10] {
        let mut world = World::new([65.0, 20.0, 40.0], [100.0; DOMAINS], report_age);
        world.run(20, |world| assert_eq!(world.senders(), 0));
    }
}

/// Guards against callers that wait in a full domain while the others have room, and against too
/// much in sum where many balancers decide alone with reports one second old.
#[test]
fn a_domain_that_is_short_sends_its_excess() {
    for report_age in [0, 2, 10] {
        let mut world = World::new([130.0, 40.0, 40.0], [100.0; DOMAINS], report_age);
        world.run(15, |world| {
            assert_eq!((world.share(1), world.share(2)), (0.0, 0.0));
            assert!(world.utilization(1).max(world.utilization(2)) < 1.0, "a receiver is full");
        });
        assert!(
            (0.7..0.95).contains(&world.utilization(0)),
            "{report_age}: {}",
            world.utilization(0)
        );
    }
}

/// Guards against flows that cross although no domain can serve them better.
#[test]
fn nothing_leaves_while_all_domains_are_short() {
    let mut world = World::new([130.0, 110.0, 120.0], [100.0; DOMAINS], 10);
    world.run(5, |_| ());
    world.run(20, |world| assert_eq!(world.senders(), 0));
}

/// Guards against a swing of the share after the callers of a domain have moved to another one, and
/// against two domains that send to each other.
#[test]
fn callers_that_move_cause_no_swing() {
    for report_age in [2, 10] {
        let mut world = World::new([60.0; DOMAINS], [100.0; DOMAINS], report_age);
        world.run(5, |_| ());
        world.demand = [105.0, 37.0, 38.0];
        world.run(10, |world| assert!(world.share(1) + world.share(2) == 0.0));
        let (mut least, mut most) = (1.0f64, 0.0f64);
        world.run(20, |world| {
            (least, most) = (least.min(world.share(0)), most.max(world.share(0)));
        });
        assert!(most - least < 0.05, "{report_age}: the share swings between {least} and {most}");
        world.demand = [60.0; DOMAINS];
        world.run(15, |_| ());
        assert_eq!(world.senders(), 0, "{report_age}");
    }
}

/// Guards against a domain that gets all its flows at once when it returns, and against flows that
/// keep crossing after that.
#[test]
fn a_domain_that_was_lost_returns_in_steps() {
    let mut world = World::new([50.0; DOMAINS], [100.0; DOMAINS], 10);
    world.run(5, |_| ());
    world.slots[2] = 0.0;
    world.run(8, |world| assert_eq!(world.share(0) + world.share(1), 0.0));
    assert_eq!(world.share(2), 1.0);
    world.slots[2] = 100.0;
    let mut last = world.share(2);
    world.run(15, |world| {
        assert!(last - world.share(2) <= 0.03, "{last} to {}", world.share(2));
        last = world.share(2);
    });
    assert_eq!(world.senders(), 0);
}

/// Guards against all flows of a domain at the first upstream that returns, also from balancers that
/// have just started there and know no earlier demand.
#[test]
fn upstreams_that_return_one_by_one_are_not_flooded() {
    for has_restarted in [false, true] {
        let mut world = World::new([50.0; DOMAINS], [100.0; DOMAINS], 2);
        world.run(5, |_| ());
        world.slots[2] = 0.0;
        world.run(6, |_| ());
        if has_restarted {
            world.balancers[2] = vec![Controller::default(); BALANCERS_PER_DOMAIN];
        }
        for returned in 1..=10 {
            world.slots[2] = 10.0 * f64::from(returned);
            // The first step still has the decisions of before.
            world.step();
            world.run(1, |world| {
                let utilization = world.utilization(2);
                assert!(utilization <= 1.0, "{has_restarted} {returned}: {utilization}");
            });
        }
        world.run(15, |_| ());
        assert_eq!(world.senders(), 0);
    }
}

/// Guards against two short domains that both fill the room of the third one.
#[test]
fn two_short_domains_share_the_room_of_the_third() {
    for report_age in [2, 10] {
        let mut world = World::new([120.0, 110.0, 30.0], [100.0; DOMAINS], report_age);
        world.run(10, |world| assert!(world.utilization(2) < 1.0));
        world.run(10, |world| {
            assert!((0.6..0.85).contains(&world.utilization(2)), "{}", world.utilization(2));
        });
        let [one, other] = [0, 1].map(|domain| world.share(domain) * world.demand[domain]);
        assert!((0.7..1.4).contains(&(one / other)), "{report_age}: {one} and {other} leave");
    }
}

/// Guards against a partition in which a domain that sees only some of the others overloads these or
/// gets flows back from them, or after which its share stays wrong.
#[test]
fn a_partition_overloads_no_domain() {
    let [a, ..] = domains();
    let cuts: [&[(usize, usize)]; 2] = [&[(0, 2)], &[(0, 1), (0, 2), (1, 0), (2, 0)]];
    for hidden in cuts {
        let mut world = World::new([130.0, 40.0, 40.0], [100.0; DOMAINS], 10);
        let check = |world: &World| {
            assert!(world.utilization(1).max(world.utilization(2)) < 1.0, "{hidden:?}");
            let returns = |plan: &Plan| plan.share > Share::new(0) && plan.receivers.contains(&a);
            assert!(!world.plans[1..].iter().flatten().any(returns), "{hidden:?}");
        };
        world.run(10, check);
        world.hidden = hidden.to_vec();
        world.run(20, check);
        world.hidden.clear();
        world.run(15, check);
        assert!((0.7..0.95).contains(&world.utilization(0)), "{}", world.utilization(0));
    }
}

/// Guards against flows that leave although the way costs more than the wait at home.
#[test]
fn a_price_or_a_long_way_keeps_flows_at_home() {
    let name = Domain::new("b").unwrap();
    let home = Supply { slots: 100.0, busy: 85.0, service_time: SERVICE_TIME, ..Supply::default() };
    let share = |round_trip: u64, price: u64| {
        let terms = Terms { crossing_price: Span::from_millis(price), ..TERMS };
        let remote = Supply { busy: 20.0, round_trip: Span::from_millis(round_trip), ..home };
        let mut controller = Controller::default();
        let update = |number: u64| {
            let now = Moment::default() + STEP.saturating_mul(number);
            controller.update(Some(&home), &[(&name, remote)], &terms, now).share
        };
        (0..100).map(update).last().unwrap()
    };
    assert!(share(3, 0) > Share::new(50));
    assert_eq!(share(400, 0), Share::new(0));
    assert_eq!(share(3, 400), Share::new(0));
}

/// Guards against a queue at home that is taken for demand for which no other domain has room, so that
/// nothing leaves (found with the bench case `segments`).
#[test]
fn a_long_queue_does_not_hold_flows_back() {
    let name = Domain::new("b").unwrap();
    let home =
        Supply { slots: 24.0, busy: 900.0, service_time: Span::from_secs(1), ..Supply::default() };
    let remote = Supply { busy: 10.0, service_time: SERVICE_TIME, ..home };
    let mut controller = Controller::default();
    let update = |number: u64| {
        let now = Moment::default() + STEP.saturating_mul(number);
        controller.update(Some(&home), &[(&name, remote)], &TERMS, now).share
    };
    let share = (0..50).map(update).last();
    assert!(share > Some(Share::new(200)), "{share:?}");
}

/// Guards against a share of flows that differs from the one of the plan.
#[test]
fn a_plan_sends_its_share_of_the_flows() {
    let plan = Plan { share: Share::new(250), ..Plan::default() };
    let sent = (0..10_000).filter(|key| plan.sends(FlowKey::new(*key))).count();
    assert!((2_300..2_700).contains(&sent), "{sent}");
}

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn entry(number: u8, domain: &str, phase: AgentPhase) -> AgentEntry {
    let instance = Instance::new(std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7000));
    AgentEntry {
        agent_id: AgentId { instance, incarnation: Incarnation::new(1) },
        entry_version: 1,
        target: target(),
        domain: Domain::new(domain).unwrap(),
        slots: Slots::new(2),
        phase,
        succeeds: false,
    }
}

/// Returns a pool with three members in domain `a`, of this phase and use, and three idle ones in
/// `b`, after ten seconds of spill-over from `a`.
fn pool(phase: AgentPhase, busy: u32) -> Pool {
    let pool = Pool::new();
    let entries = (1..=6).map(|number| match number {
        1..=3 => (entry(number, "a", phase), busy),
        _ => (entry(number, "b", AgentPhase::Ready), 0),
    });
    for (entry, busy) in entries {
        let load = AgentLoad {
            accepting: true,
            active: busy / 100,
            busy: Percent::new(busy),
            open: Connections::new(0),
            service_time: SERVICE_TIME,
            ..AgentLoad::default()
        };
        pool.upsert(entry.clone(), Moment::default());
        pool.record_load(entry.agent_id, load, Moment::default());
    }
    let terms = [(target(), TERMS)].into();
    for number in 0..100 {
        let now = Moment::default() + STEP.saturating_mul(number);
        pool.update_spill_over(&domains()[0], &terms, now);
    }
    pool
}

/// Returns the number of 1,000 flows that the pool places in domain `b` first.
fn leaving(pool: &Pool) -> usize {
    let is_in_b = |key: &u64| {
        let chosen = pool.choose(target(), &domains()[0], FlowKey::new(*key), 8, Moment::default());
        chosen[0].address().ip().octets()[3] > 3
    };
    (0..1_000).filter(is_in_b).count()
}

fn load(active: u32, service_time: Span) -> AgentLoad {
    let busy = Percent::new(active * 100);
    AgentLoad { accepting: true, active, busy, service_time, ..AgentLoad::default() }
}

/// Returns the plan of domain `a` after ten seconds in which its members are full. `report` reports
/// the loads of the members in `b`; it gets the number of the step.
fn plan_beside(report: impl Fn(&Pool, usize, Moment)) -> Plan {
    let pool = Pool::new();
    for number in 1..=6 {
        let domain = if number <= 3 { "a" } else { "b" };
        pool.upsert(entry(number, domain, AgentPhase::Ready), Moment::default());
    }
    let terms = [(target(), TERMS)].into();
    for step in 0..100 {
        let now = Moment::default() + STEP.saturating_mul(step as u64);
        for number in 1..=3 {
            let agent_id = entry(number, "a", AgentPhase::Ready).agent_id;
            pool.record_load(agent_id, load(2, SERVICE_TIME), now);
        }
        report(&pool, step, now);
        pool.update_spill_over(&domains()[0], &terms, now);
    }
    pool.spill_over_plans()[&target()].clone()
}

/// Guards against callers that wait at home because bursts make upstreams elsewhere look full: the
/// mean of their requests is above their slots, half of which are free (found with the bench case
/// `segments`).
#[test]
fn bursts_elsewhere_are_not_taken_for_full_use() {
    let plan = plan_beside(|pool, step, now| {
        let requests = if step % 4 < 2 { 6 } else { 0 };
        for number in 4..=6 {
            let load = AgentLoad { busy: Percent::new(300), ..load(requests, SERVICE_TIME) };
            pool.record_load(entry(number, "b", AgentPhase::Ready).agent_id, load, now);
        }
    });
    assert!(plan.share > Share::new(150), "{plan:?}");
}

/// Guards against callers that wait at home because a balancer knows the others by their answers to
/// offers, which come at busy moments (found with the bench case `segments`).
#[test]
fn answers_to_offers_do_not_count_as_mean_use() {
    let plan = plan_beside(|pool, step, now| {
        for number in 4..=6 {
            let agent_id = entry(number, "b", AgentPhase::Ready).agent_id;
            if step % 2 == 0 {
                pool.record_load(agent_id, load(0, SERVICE_TIME), now);
            }
            pool.record_answer(agent_id, load(2, SERVICE_TIME), now);
        }
    });
    assert!(plan.share > Share::new(250), "{plan:?}");
}

/// Guards against flows that leave for slow upstreams because others beside these have not reported.
#[test]
fn members_without_a_report_do_not_lower_the_service_time() {
    let slow = Span::from_millis(400);
    let plan = plan_beside(|pool, _, now| {
        let agent_id = entry(4, "b", AgentPhase::Ready).agent_id;
        pool.record_load(agent_id, load(0, slow), now);
    });
    assert!(plan.inputs.remote_wait >= Some(slow), "{plan:?}");
}

/// Guards against callers that wait at slow upstreams of their domain, and against waits that decide
/// although they are outdated.
#[test]
fn waits_at_home_count_while_they_are_fresh() {
    let plan = |measured_at: Moment| {
        let pool = Pool::new();
        let terms = [(target(), TERMS)].into();
        for number in 1..=6 {
            let domain = if number <= 3 { "a" } else { "b" };
            let entry = entry(number, domain, AgentPhase::Ready);
            let agent_id = entry.agent_id;
            pool.upsert(entry, Moment::default());
            pool.record_load(
                agent_id,
                load(u32::from(number <= 3), SERVICE_TIME),
                Moment::default(),
            );
            let wait = Span::from_millis(if number <= 3 { 120 } else { 0 });
            pool.record_measures(agent_id, Measures { wait, ..Measures::default() }, measured_at);
        }
        for step in 0..40 {
            let now = Moment::default() + STEP.saturating_mul(step);
            pool.update_spill_over(&domains()[0], &terms, now);
        }
        pool.spill_over_plans()[&target()].share
    };
    assert_eq!(plan(Moment::default()), Share::new(0));
    let fresh = plan(Moment::default() + Span::from_secs(4));
    assert!(fresh > Share::new(50), "{fresh}");
}

/// Guards against crossing bytes because the few members at home are a little busier than others.
#[test]
fn a_pool_keeps_flows_at_home_while_it_has_room() {
    assert_eq!(leaving(&pool(AgentPhase::Ready, 120)), 0);
}

/// Guards against flows that wait at home, and against a share that the placement does not follow.
#[test]
fn a_pool_sends_the_share_of_the_plan() {
    let pool = pool(AgentPhase::Ready, 200);
    let share = pool.spill_over_plans()[&target()].share;
    assert!(share > Share::new(200), "{share}");
    assert!(leaving(&pool).abs_diff(share.get() as usize) < 50, "{share}: {}", leaving(&pool));
}

/// Guards against flows that find no upstream when those at home drain or are evacuated.
#[test]
fn all_flows_of_a_pool_leave_without_an_upstream_at_home() {
    let pool = pool(AgentPhase::Draining, 0);
    assert_eq!(
        (leaving(&pool), pool.spill_over_plans()[&target()].share),
        (1_000, Share::new(1_000))
    );
}
