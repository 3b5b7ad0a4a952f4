//! The search for the owner of a flow.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        controller::Controller,
        flow::Hop,
        ids::{Incarnation, Instance},
        search::{Action, Answer, Budget, Candidate, Event, Search},
        time::{Moment, Span},
    },
};

const START: Moment = Moment::new(1_000_000);
const OLD: Span = Span::from_secs(60);
const YOUNG: Span = Span::from_secs(1);

fn hop(number: u8) -> Hop {
    let instance = Instance::new(std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7000));
    Hop { instance, incarnation: Incarnation::new(1) }
}

fn candidate(number: u8) -> Candidate {
    Candidate { hop: hop(number), lost: false, absent: false, restarted: true, preferred: true }
}

fn candidates(numbers: std::ops::Range<u8>, lost: &[u8]) -> Event {
    let all = numbers.map(|n| Candidate { lost: lost.contains(&n), ..candidate(n) });
    Event::Tick(all.collect())
}

const UNSURE: Answer = Answer::Unsure { age: OLD };

fn denial(number: u8) -> Event {
    Event::Answered(hop(number), Answer::Denies { age: OLD })
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Guards against a reset of a living flow: it takes the denial of every agent.
#[test]
fn a_flow_is_lost_when_all_have_denied_it() {
    let mut search = Search::new(START, START);
    let asked = search.step(candidates(0..3, &[]), START);
    assert_eq!(asked, [Action::Query(hop(0)), Action::Query(hop(1)), Action::Query(hop(2))]);
    assert!(search.step(denial(0), at(1)).is_empty());
    assert!(search.step(denial(1), at(1)).is_empty());
    assert_eq!(search.step(denial(2), at(1)), [Action::NotFound]);
}

/// Guards against a reset of the flows of an agent that is only slow to answer.
#[test]
fn a_silent_agent_is_asked_again_and_may_own_the_flow() {
    let mut search = Search::new(START, START);
    search.step(candidates(0..2, &[]), START);
    search.step(denial(0), at(1));
    assert_eq!(search.step(candidates(0..2, &[]), at(70)), [Action::Query(hop(1))]);
    assert!(search.step(candidates(0..2, &[]), at(90)).is_empty());
    let owns = search.step(Event::Answered(hop(1), Answer::Owns), at(100));
    assert_eq!(owns, [Action::Found(hop(1))]);
}

/// Guards against searches that add to the load which delays their answers: after a loss of power of
/// 64 machines, balancers asked so much that nobody was heard for 15 s.
#[test]
fn questions_are_repeated_ever_more_seldom() {
    let mut search = Search::new(START, START);
    search.step(candidates(0..2, &[]), START);
    search.step(denial(0), at(1));
    let repeats = (1..120).filter(|step| {
        let actions = search.step(candidates(0..2, &[]), at(step * 25));
        actions.contains(&Action::Query(hop(1)))
    });
    assert!((4..=6).contains(&repeats.count()));
}

/// Guards against as many questions as there are unknown flows times agents.
#[test]
fn questions_have_a_budget() {
    let mut budget = Budget::default();
    let mut asked = 0;
    for step in 0..400 {
        while budget.has_tokens(at(step * 25)) {
            budget.spend(64);
            asked += 64;
        }
    }
    // Ten seconds, the burst and one search that goes over what is left in each step.
    assert!((25_000..55_000).contains(&asked), "{asked}");
    let mut small = Budget::default();
    assert!((0..10).all(|_| {
        small.spend(10);
        small.has_tokens(START)
    }));
}

/// Guards against callers that wait for the flows of a machine that is gone.
#[test]
fn a_lost_agent_has_no_say() {
    let mut search = Search::new(START, START);
    search.step(candidates(0..2, &[]), START);
    search.step(denial(0), at(1));
    assert_eq!(search.step(candidates(0..2, &[1]), at(40)), [Action::NotFound]);
}

/// Guards against a balancer that is cut off and resets every flow.
#[test]
fn without_any_denial_nothing_is_lost() {
    let mut search = Search::new(START, START);
    search.step(candidates(0..2, &[0, 1]), START);
    assert!(!search.step(candidates(0..2, &[0, 1]), at(40)).contains(&Action::NotFound));
    assert_eq!(search.step(candidates(0..2, &[0, 1]), at(3_100)), [Action::TimedOut]);
}

/// Guards against a reset right after a cut: the first denial shows that the balancer was the one
/// that was cut off, so that the others may answer too (day 1219 of the emulator).
#[test]
fn the_end_of_a_cut_gives_all_agents_time() {
    let mut search = Search::new(START, START);
    let silent = |number| Candidate { lost: true, absent: true, ..candidate(number) };
    search.step(Event::Tick([silent(0), silent(1)].into()), START);
    let young = Event::Answered(hop(0), Answer::Denies { age: YOUNG });
    assert!(search.step(young, at(1)).is_empty());
    let owns = search.step(Event::Answered(hop(1), Answer::Owns), at(2));
    assert_eq!(owns, [Action::Found(hop(1))]);
}

/// Guards against a reset while the list of agents lacks one whose entry has lapsed.
#[test]
fn denials_of_an_incomplete_list_prove_nothing() {
    let mut search = Search::new(at(2_000), START);
    search.step(candidates(0..1, &[]), START);
    assert!(search.step(denial(0), at(1)).is_empty());
    assert_eq!(search.step(candidates(0..1, &[]), at(2_000)), [Action::NotFound]);
}

/// Guards against callers that wait for nothing after a restart of the whole system: when all
/// agents are young, no older one can be missing.
#[test]
fn denials_of_young_agents_are_certain() {
    let mut search = Search::new(at(2_000), START);
    search.step(candidates(0..2, &[]), START);
    let young = |number| Event::Answered(hop(number), Answer::Denies { age: YOUNG });
    search.step(young(0), at(1));
    assert_eq!(search.step(young(1), at(1)), [Action::NotFound]);
    // A new agent beside a new upstream says nothing of agents whose entries are missing (day 2316 of
    // the emulator).
    let mut added = Search::new(at(2_000), START);
    added.step(Event::Tick([Candidate { restarted: false, ..candidate(0) }].into()), START);
    assert!(added.step(young(0), at(1)).is_empty());
    let mut mixed = Search::new(at(2_000), START);
    mixed.step(candidates(0..2, &[]), START);
    mixed.step(young(0), at(1));
    assert!(mixed.step(denial(1), at(1)).is_empty());
}

/// Guards against callers that wait after a restart of the whole system for an agent that did not
/// come back, and against a verdict on a silent agent when others have lived on.
#[test]
fn an_absent_agent_has_no_say_when_all_others_are_young() {
    let absent = || Event::Tick([candidate(0), Candidate { absent: true, ..candidate(1) }].into());
    let verdict = |age| {
        let mut search = Search::new(START, START);
        search.step(candidates(0..2, &[]), START);
        search.step(Event::Answered(hop(0), Answer::Denies { age }), at(1));
        search.step(absent(), at(40)).contains(&Action::NotFound)
    };
    assert!(verdict(YOUNG));
    assert!(!verdict(OLD));
    let mut alone = Search::new(START, START);
    alone.step(candidates(0..2, &[]), START);
    assert!(!alone.step(absent(), at(40)).contains(&Action::NotFound), "nobody has answered");
}

/// Guards against a question to every agent for each flow that a balancer does not know, and against
/// a flow that is given up although it began when its route named another service.
#[test]
fn agents_of_other_services_are_asked_last() {
    let candidates = || {
        let all = (0..4).map(|n| Candidate { preferred: n < 2, ..candidate(n) });
        Event::Tick(all.collect())
    };
    let mut search = Search::new(START, START);
    assert_eq!(search.step(candidates(), START), [Action::Query(hop(0)), Action::Query(hop(1))]);
    assert!(search.step(denial(0), at(1)).is_empty());
    assert_eq!(search.step(denial(1), at(1)), [Action::Query(hop(2)), Action::Query(hop(3))]);
    assert!(search.step(denial(2), at(2)).is_empty());
    let mut moved = search.clone();
    assert_eq!(search.step(denial(3), at(2)), [Action::NotFound]);
    let owns = moved.step(Event::Answered(hop(3), Answer::Owns), at(2));
    assert_eq!(owns, [Action::Found(hop(3))]);
}

/// Guards against segments at wrong upstreams: agents that cannot tell ask theirs only when all
/// others have denied.
#[test]
fn probes_come_last() {
    let mut search = Search::new(START, START);
    search.step(candidates(0..3, &[]), START);
    assert!(search.step(Event::Answered(hop(0), UNSURE), at(1)).is_empty());
    assert!(search.step(denial(1), at(1)).is_empty());
    let probed = search.step(Event::Answered(hop(2), UNSURE), at(1));
    assert_eq!(probed, [Action::Probe(hop(0)), Action::Probe(hop(2))]);
    assert!(search.step(denial(0), at(2)).is_empty());
    assert_eq!(search.step(denial(2), at(2)), [Action::NotFound]);
}

/// Guards against searches that wait for an agent which could not tell and was stopped before its
/// upstream answered (kampvuur scale-1: 79 requests failed in ten seconds).
#[test]
fn an_unsure_agent_that_is_lost_holds_no_verdict_up() {
    let mut search = Search::new(START, START);
    search.step(candidates(0..2, &[]), START);
    search.step(denial(0), at(1));
    let probed = search.step(Event::Answered(hop(1), UNSURE), at(1));
    assert_eq!(probed, [Action::Probe(hop(1))]);
    assert!(!search.step(candidates(0..2, &[]), at(400)).contains(&Action::NotFound));
    assert_eq!(search.step(candidates(0..2, &[1]), at(425)), [Action::NotFound]);
}

#[derive(Clone, Debug)]
enum Step {
    Answer(u8, u8),
    Tick(u64),
}

proptest! {
    /// Guards against a verdict without evidence: whatever the order of answers and their loss, a
    /// flow is given up for lost only when every agent that is not lost has denied it last.
    #[test]
    fn no_verdict_without_every_denial(
        steps in proptest::collection::vec(
            prop_oneof![
                (0..4u8, 0..2u8).prop_map(|(agent, kind)| Step::Answer(agent, kind)),
                (1..200u64).prop_map(Step::Tick),
            ],
            0..60,
        ),
        lost in proptest::collection::vec(0..4u8, 0..2),
    ) {
        let mut search = Search::new(START, START);
        let mut now = START;
        let mut denied = [false; 4];
        search.step(candidates(0..4, &lost), now);
        for step in steps {
            let actions = match step {
                Step::Answer(agent, 0) => {
                    denied[usize::from(agent)] = true;
                    search.step(denial(agent), now)
                }
                Step::Answer(agent, _) => {
                    search.step(Event::Answered(hop(agent), UNSURE), now)
                }
                Step::Tick(millis) => {
                    now = now + Span::from_millis(millis);
                    search.step(candidates(0..4, &lost), now)
                }
            };
            if actions.contains(&Action::NotFound) {
                let open = (0..4u8).filter(|agent| !lost.contains(agent));
                prop_assert!(open.into_iter().all(|agent| denied[usize::from(agent)]));
                return Ok(());
            }
            if actions.contains(&Action::TimedOut) {
                return Ok(());
            }
        }
    }
}
