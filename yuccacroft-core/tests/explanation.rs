//! Tests of the explanation of placements, without a network.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::HashMap,
    yuccacroft_core::{
        flow::{AgentId, FlowKey},
        ids::{Domain, Incarnation, Instance},
        pool::{
            AgentEntry, AgentLoad, AgentPhase, Exclusion, Measures, Pool,
            explanation::{Answer, Explanation, NewFlow, Outcome, Side},
            snapshot::MemberState,
        },
        requirements::Requirements,
        route::{ServiceName, Target, TrafficClass},
        spill_over::{Plan, Terms},
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
    },
};

const NOW: Moment = Moment::new(60_000_000);
const REQUIREMENTS: Requirements = Requirements { health: true, places: true };
const MAX_OFFERS: usize = 8;

fn home() -> Domain {
    Domain::new("a").unwrap()
}

fn target() -> Target {
    ServiceName::new("booking").target()
}

fn entry(number: u8) -> AgentEntry {
    let instance = Instance::new(std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7000));
    AgentEntry {
        agent_id: AgentId { instance, incarnation: Incarnation::new(1) },
        entry_version: 1,
        target: target(),
        domain: Domain::new(["a", "b", "c"][usize::from(number) % 3]).unwrap(),
        slots: Slots::new(2),
        phase: AgentPhase::Ready,
        succeeds: false,
    }
}

fn load(active: u32) -> AgentLoad {
    AgentLoad {
        accepting: true,
        active,
        busy: Percent::new(active * 100),
        service_time: Span::from_millis(30),
        ..AgentLoad::default()
    }
}

fn explain(pool: &Pool, key: FlowKey) -> Explanation {
    let (class, domain) = (TrafficClass::default(), home());
    let flow = NewFlow { target: target(), class, key, domain: &domain, max_offers: MAX_OFFERS };
    pool.explain(&flow, NOW)
}

fn states(pool: &Pool) -> Vec<MemberState> {
    let mut states = Vec::new();
    pool.for_each(|member| states.push(member.state(NOW)));
    states
}

/// Returns a pool with members in all states that the placement distinguishes.
fn random_pool(seed: u64) -> Pool {
    let mut random = StdRng::seed_from_u64(seed);
    let pool = Pool::new().with_requirements(REQUIREMENTS);
    for number in 1..=24 {
        let phase = if number % 7 == 0 { AgentPhase::Draining } else { AgentPhase::Ready };
        pool.upsert(AgentEntry { phase, ..entry(number) }, NOW - Span::from_secs(20));
    }
    let terms =
        [(target(), Terms { objective: Span::from_millis(250), ..Terms::default() })].into();
    for step in (0..100).rev() {
        let now = NOW - Span::from_millis(100 * step);
        for number in 1..=24 {
            let agent_id = entry(number).agent_id;
            // Members at home are full, and some members have never reported.
            let active = if number % 3 == 0 { 2 } else { random.random_range(0..2) };
            let accepting = number % 11 != 0;
            let failures = Percent::new(if number == 4 { 80 } else { 0 });
            let wait = Span::from_millis(random.random_range(0..40));
            if number % 5 != 0 {
                pool.record_query(agent_id.instance, now);
                pool.record_answer(
                    agent_id,
                    AgentLoad { accepting, ..load(active) },
                    now + Span::from_millis(2),
                );
                pool.record_load(agent_id, AgentLoad { accepting, ..load(active) }, now);
                pool.record_measures(agent_id, Measures { wait, failures, room: None }, now);
            }
        }
        pool.review_outliers(now);
        pool.update_spill_over(&home(), &terms, now);
    }
    pool.record_offer(entry(1).agent_id.instance, NOW);
    pool.record_query(entry(2).agent_id.instance, NOW - Span::from_millis(400));
    pool
}

/// Guards against an explanation that differs from the placement, and against a snapshot that loses
/// something which the placement rests on.
#[test]
fn an_explanation_shows_the_choice_of_the_pool() {
    for seed in 0..5 {
        let pool = random_pool(seed);
        let plans: HashMap<Target, Plan> = pool.spill_over_plans().as_ref().clone();
        assert!(plans[&target()].share.get() > 0, "{plans:?}");
        let restored = Pool::restore(REQUIREMENTS, states(&pool), plans, NOW).unwrap();
        let mut sides = Vec::new();
        for key in (0..500).map(FlowKey::new) {
            let explanation = explain(&restored, key);
            let candidates = explanation.candidates.iter().map(|candidate| candidate.instance);
            let chosen = pool.choose(target(), &home(), key, usize::MAX, NOW);
            assert_eq!(candidates.collect::<Vec<_>>(), chosen, "seed {seed} key {key}");
            assert_eq!(explanation, explain(&pool, key), "seed {seed} key {key}");
            sides.push(explanation.side);
        }
        assert!(sides.contains(&Side::Home) && sides.contains(&Side::Receivers));
    }
}

/// Guards against a member that is left out without a cause, or with a wrong one.
#[test]
fn each_member_is_a_candidate_or_has_a_cause() {
    let pool = random_pool(1);
    let ejected = entry(4).agent_id.instance;
    for key in (0..100).map(FlowKey::new) {
        let explanation = explain(&pool, key);
        for member in &explanation.excluded {
            let number = member.instance.address().ip().octets()[3];
            let cause = match number {
                _ if number % 7 == 0 => Exclusion::Phase(AgentPhase::Draining),
                _ if number % 11 == 0 => Exclusion::NotAccepting,
                _ => Exclusion::Outlier,
            };
            assert_eq!(member.cause, cause, "{number}");
            assert!(cause != Exclusion::Outlier || member.instance == ejected);
        }
    }
}

/// Returns a pool whose members at home have these waits, in the order of their numbers.
fn waiting_pool(waits: &[(u8, u64)]) -> Pool {
    let pool = Pool::new().with_requirements(REQUIREMENTS);
    for (number, wait) in waits {
        let agent_id = entry(*number).agent_id;
        pool.upsert(entry(*number), NOW);
        // Without a mean use the waits decide the order.
        pool.record_load(agent_id, AgentLoad { busy: Percent::default(), ..load(2) }, NOW);
        let wait = Span::from_millis(*wait);
        let measures = Measures { wait, room: Some(Connections::new(9)), ..Measures::default() };
        pool.record_measures(agent_id, measures, NOW);
    }
    pool
}

/// Guards against answers that agents would not give: one passes a flow on that would wait for longer
/// than it takes while a better one may follow, and refuses it only past its timeout.
#[test]
fn answers_follow_the_admission_of_agents() {
    let answers = |waits: &[(u8, u64)]| {
        let explanation = explain(&waiting_pool(waits), FlowKey::new(1));
        let answers = explanation.candidates.iter().map(|candidate| candidate.answer);
        (answers.collect::<Vec<_>>(), explanation.outcome)
    };
    let instance = |number| entry(number).agent_id.instance;
    assert_eq!(answers(&[(3, 10)]), (vec![Answer::Takes], Outcome::Placed(instance(3))));
    // The wait is longer than a request takes, so the first two pass the flow on.
    let (passed, outcome) = answers(&[(3, 40), (6, 80), (9, 120), (12, 160)]);
    let expected = [Answer::PassesOn, Answer::PassesOn, Answer::Takes, Answer::NotOffered];
    assert_eq!((passed, outcome), (expected.to_vec(), Outcome::Placed(instance(9))));
    // The default timeout is 3 s.
    let refused = answers(&[(3, 4_000), (6, 5_000)]);
    assert_eq!(refused, (vec![Answer::PassesOn, Answer::Refuses], Outcome::Refused));
    assert_eq!(answers(&[]), (vec![], Outcome::NoMember));
}

/// Guards against an outcome that names an agent which gets no flow or does not answer.
#[test]
fn evacuated_and_silent_members_take_no_flow() {
    let pool = waiting_pool(&[(3, 0), (6, 0)]);
    let mut members = states(&pool);
    members.iter_mut().for_each(|member| member.unanswered = Some(Span::from_secs(2)));
    let restore = |members: &[MemberState]| {
        Pool::restore(REQUIREMENTS, members.to_vec(), HashMap::new(), NOW).unwrap()
    };
    let silent = explain(&restore(&members), FlowKey::new(1));
    assert_eq!(silent.outcome, Outcome::Unanswered(silent.candidates[0].instance));
    assert_eq!(silent.candidates[0].answer, Answer::None);
    members.iter_mut().for_each(|member| member.is_evacuated = true);
    let evacuated = explain(&restore(&members), FlowKey::new(1));
    assert_eq!((evacuated.outcome, evacuated.candidates.len()), (Outcome::Evacuated, 0));
    assert!(evacuated.excluded.iter().all(|member| member.cause == Exclusion::Evacuated));
}
