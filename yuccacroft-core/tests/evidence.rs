//! Tests of the evidence that a search reports for logs.

use {
    proptest::prelude::*,
    yuccacroft_core::{
        controller::Controller,
        flow::AgentId,
        ids::{Incarnation, Instance},
        pool::indirect::Report,
        search::{
            Action, AgentFinding, Event, Finding, QueryAnswer, Search, SearchCandidate, Wave,
        },
        time::{Moment, Span},
    },
};

const START: Moment = Moment::new(1_000_000);
const OLD: Span = Span::from_secs(60);
const FRESH: Span = Span::from_secs(1);

fn instance(number: u8) -> Instance {
    Instance::new(std::net::SocketAddrV4::new([10, 0, 0, number].into(), 7000))
}

fn agent_id(number: u8) -> AgentId {
    AgentId { instance: instance(number), incarnation: Incarnation::new(1) }
}

fn candidate(number: u8) -> SearchCandidate {
    SearchCandidate {
        agent_id: agent_id(number),
        lost: false,
        absent: false,
        restarted: true,
        wave: Wave::Likely,
        unanswered_since: None,
        answered_at: None,
    }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn tick(search: &mut Search, candidates: &[SearchCandidate], millis: u64) -> Vec<Action> {
    search.step(Event::Tick(candidates.into()), at(millis))
}

fn answer(search: &mut Search, number: u8, answer: QueryAnswer, millis: u64) -> Vec<Action> {
    search.step(Event::Answered(agent_id(number), answer), at(millis))
}

fn deny(search: &mut Search, number: u8, millis: u64) -> Vec<Action> {
    answer(search, number, QueryAnswer::Denies { age: OLD }, millis)
}

/// Guards against logs that call silence a denial: each agent must appear with what is known about
/// it.
#[test]
fn each_agent_has_its_own_finding() {
    let silent = SearchCandidate { lost: true, unanswered_since: Some(at(0)), ..candidate(3) };
    let other_service = SearchCandidate { wave: Wave::Other, ..candidate(5) };
    let mut search = Search::new(START, START);
    let all: Vec<_> = (0..5).map(candidate).chain([other_service]).collect();
    tick(&mut search, &all, 0);
    deny(&mut search, 0, 10);
    answer(&mut search, 1, QueryAnswer::Unsure { age: OLD }, 10);
    // Agent 4 leaves the list of members, and agent 3 counts as lost.
    let rest = [candidate(0), candidate(1), candidate(2), silent, other_service];
    tick(&mut search, &rest, 50);
    let evidence = search.evidence(at(50));
    let findings = [
        Finding::Denied,
        Finding::Unsure,
        Finding::Unanswered,
        Finding::Lost,
        Finding::Removed,
        Finding::Deferred,
    ];
    for (number, finding) in (0..).zip(findings) {
        assert_eq!(evidence.finding(instance(number)), Some(finding), "agent {number}");
        assert_eq!(evidence.count(finding), 1, "{finding:?}");
    }
    assert_eq!(evidence.finding(instance(9)), None);
    assert_eq!(evidence.elapsed, Span::from_millis(50));
}

/// Guards against a lost agent that was unsure and that the logs count as a denial.
#[test]
fn an_unsure_agent_that_is_lost_has_not_denied() {
    let mut search = Search::new(START, START);
    tick(&mut search, &[candidate(0), candidate(1)], 0);
    deny(&mut search, 0, 1);
    answer(&mut search, 1, QueryAnswer::Unsure { age: OLD }, 2);
    let lost = SearchCandidate { lost: true, unanswered_since: Some(at(40)), ..candidate(1) };
    let actions = tick(&mut search, &[candidate(0), lost], 1_040);
    assert_eq!(actions.last(), Some(&Action::NotFound));
    let evidence = search.evidence(at(1_040));
    assert_eq!(evidence.finding(instance(1)), Some(Finding::UnsureLost));
    assert_eq!(evidence.count(Finding::Denied), 1);
    assert_eq!(evidence.longest_silence(), Some(Span::from_millis(1_000)));
}

/// Guards against agents that a search excludes after a power loss and that the logs do not tell
/// from lost ones.
#[test]
fn an_absent_agent_is_excluded_only_if_all_others_are_fresh() {
    let absent = SearchCandidate { absent: true, unanswered_since: Some(START), ..candidate(1) };
    let finding = |age| {
        let mut search = Search::new(START, START);
        tick(&mut search, &[candidate(0), absent], 0);
        answer(&mut search, 0, QueryAnswer::Denies { age }, 1);
        let evidence = search.evidence(at(1));
        (evidence.all_fresh, evidence.finding(instance(1)))
    };
    assert_eq!(finding(FRESH), (true, Some(Finding::Absent)));
    assert_eq!(finding(OLD), (false, Some(Finding::Unanswered)));
}

/// Guards against ages that hide on how old an answer a result rests.
#[test]
fn ages_are_those_of_the_oldest_denial_and_the_longest_silence() {
    let silent = |number: u8, since: u64| SearchCandidate {
        lost: true,
        unanswered_since: Some(at(since)),
        ..candidate(number)
    };
    let mut search = Search::new(START, START);
    tick(&mut search, &(0..4).map(candidate).collect::<Vec<_>>(), 0);
    deny(&mut search, 0, 100);
    deny(&mut search, 1, 300);
    let all = [candidate(0), candidate(1), silent(2, 200), silent(3, 150)];
    let actions = tick(&mut search, &all, 1_300);
    assert_eq!(actions.last(), Some(&Action::NotFound));
    let evidence = search.evidence(at(1_300));
    assert_eq!(evidence.oldest_denial(), Some(Span::from_millis(1_200)));
    assert_eq!(evidence.longest_silence(), Some(Span::from_millis(1_150)));
    let denied = AgentFinding {
        instance: instance(1),
        finding: Finding::Denied,
        answer_age: Some(Span::from_millis(1_000)),
        silence: None,
        indirect: Report::default(),
    };
    assert!(evidence.agents.contains(&denied), "{evidence:?}");
}

/// Guards against retries that the counts of traffic show as first queries, and against skipped
/// ticks that nothing shows.
#[test]
fn queries_retries_and_skipped_ticks_are_counted() {
    let mut search = Search::new(START, START);
    let all = [candidate(0), candidate(1)];
    tick(&mut search, &all, 0);
    assert!(!search.is_retry(instance(1)));
    deny(&mut search, 0, 10);
    assert!(search.step(Event::SkippedTick, at(20)).is_empty());
    assert_eq!(tick(&mut search, &all, 70), [Action::Query(agent_id(1))]);
    assert!(search.is_retry(instance(1)));
    assert!(!search.is_retry(instance(0)));
    answer(&mut search, 1, QueryAnswer::Unsure { age: OLD }, 80);
    assert!(!search.is_retry(instance(1)), "the first probe is no retry");
    let evidence = search.evidence(at(90));
    assert_eq!((evidence.queries, evidence.retries, evidence.skipped_ticks), (3, 1, 1));
}

/// Guards against agents that leave the list of members and that no log shows: the search no longer
/// waits for them, although they may own the flow.
#[test]
fn an_agent_that_leaves_the_list_is_shown_unless_it_has_denied() {
    let other_service = SearchCandidate { wave: Wave::Other, ..candidate(2) };
    let mut search = Search::new(START, START);
    tick(&mut search, &[candidate(0), candidate(1), other_service], 0);
    deny(&mut search, 0, 10);
    tick(&mut search, &[], 25);
    let evidence = search.evidence(at(25));
    let finding = |number| evidence.finding(instance(number));
    assert_eq!(finding(0), Some(Finding::Denied));
    assert_eq!(finding(1), Some(Finding::Removed));
    assert_eq!(finding(2), Some(Finding::Removed));
}

/// Guards against an agent that is counted twice after its entry has expired and was written again.
#[test]
fn an_agent_that_is_listed_again_appears_once() {
    let mut search = Search::new(START, START);
    tick(&mut search, &[candidate(0), candidate(1)], 0);
    tick(&mut search, &[candidate(0)], 25);
    assert_eq!(search.evidence(at(25)).finding(instance(1)), Some(Finding::Removed));
    tick(&mut search, &[candidate(0), candidate(1)], 50);
    let evidence = search.evidence(at(50));
    assert_eq!(evidence.finding(instance(1)), Some(Finding::Unanswered));
    assert_eq!(evidence.agents.len(), 2);
    tick(&mut search, &[candidate(0)], 75);
    let evidence = search.evidence(at(75));
    assert_eq!(evidence.finding(instance(1)), Some(Finding::Removed));
    assert_eq!(evidence.agents.len(), 2);
}

#[derive(Clone, Debug)]
enum Step {
    Answer(u8, bool),
    Tick { listed: Vec<bool>, lost: Vec<bool> },
}

fn step() -> impl Strategy<Value = Step> {
    let flags = || proptest::collection::vec(any::<bool>(), 4);
    prop_oneof![
        (0..4u8, any::<bool>()).prop_map(|(number, denies)| Step::Answer(number, denies)),
        (flags(), flags()).prop_map(|(listed, lost)| Step::Tick { listed, lost }),
    ]
}

proptest! {
    /// Guards against evidence that contradicts the result of a search: a flow without an owner
    /// has no agent whose answer is outstanding, and every agent appears once.
    #[test]
    fn evidence_agrees_with_the_result(steps in proptest::collection::vec(step(), 1..60)) {
        let mut search = Search::new(START, START);
        tick(&mut search, &[0, 1, 2, 3].map(candidate), 0);
        for (millis, step) in (1..).zip(steps) {
            let actions = match step {
                Step::Answer(number, true) => deny(&mut search, number, millis),
                Step::Answer(number, false) => {
                    answer(&mut search, number, QueryAnswer::Unsure { age: OLD }, millis)
                }
                Step::Tick { listed, lost } => {
                    let numbers = (0..4u8).filter(|n| listed[usize::from(*n)]);
                    let all: Vec<_> = numbers
                        .map(|n| SearchCandidate { lost: lost[usize::from(n)], ..candidate(n) })
                        .collect();
                    tick(&mut search, &all, millis)
                }
            };
            let evidence = search.evidence(at(millis));
            let mut instances: Vec<_> = evidence.agents.iter().map(|a| a.instance).collect();
            instances.sort_unstable();
            instances.dedup();
            prop_assert_eq!(instances.len(), evidence.agents.len());
            if actions.contains(&Action::NotFound) {
                prop_assert_eq!(evidence.count(Finding::Unanswered), 0);
                prop_assert_eq!(evidence.count(Finding::Deferred), 0);
                prop_assert_eq!(evidence.count(Finding::Unsure), 0);
                break;
            }
        }
    }
}
