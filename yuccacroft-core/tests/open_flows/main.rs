//! Property tests of searches over a pool: no flow is reset while its agent runs, and one whose
//! agent has failed is reset in time.

mod network;

use {
    crate::network::{Case, Disruption, Network, Reset},
    proptest::prelude::*,
};

/// Time for which a case runs, in milliseconds.
const DURATION_MS: u64 = 14_000;
/// Time without disruptions at the start, in which the balancer gets to know its agents.
const WARMUP_MS: u64 = 2_500;
const LAST_DISRUPTION_MS: u64 = 11_000;
const MAX_AGENTS: u8 = 12;
const MAX_DELAY_MS: u64 = 30;
/// Time within which a flow whose agent has failed is reset on a sound path: up to a second until
/// the next ping, and 1.375 s of silence with a quarter of the agents.
const MAX_LOSS_TIME_MS: u64 = 2_600;

fn disruption(agents: u8) -> impl Strategy<Value = Disruption> {
    let other = 1..agents;
    prop_oneof![
        4 => (100..4_000u64, 30..3_000u64)
            .prop_map(|(duration, delay)| Disruption::Slow { duration, delay }),
        3 => (50..5_000u64).prop_map(|duration| Disruption::Cut { duration }),
        3 => (1_000..5_000u64, 1..agents)
            .prop_map(|(duration, agents)| Disruption::SlowPaths { duration, agents }),
        2 => other.clone().prop_map(Disruption::Fail),
        2 => (other.clone(), 100..4_000u64).prop_map(|(n, time)| Disruption::Pause(n, time)),
        2 => other.clone().prop_map(Disruption::Restart),
        2 => other.prop_map(Disruption::Leave),
        1 => (agents..MAX_AGENTS + 4).prop_map(Disruption::Join),
        2 => (0..agents, 100..4_000u64).prop_map(|(n, time)| Disruption::Unlist(n, time)),
        1 => (200..8_000u64).prop_map(|gap| Disruption::RestartOwner { gap }),
        2 => (100..5_000u64, 80..600u64)
            .prop_map(|(duration, pause)| Disruption::StandStill { duration, pause }),
        1 => Just(Disruption::RestartBalancer),
    ]
}

fn case() -> impl Strategy<Value = Case> {
    (2..=MAX_AGENTS).prop_flat_map(|agents| {
        let delays = proptest::collection::vec(1..=MAX_DELAY_MS, usize::from(agents));
        let disruptions =
            proptest::collection::vec((WARMUP_MS..LAST_DISRUPTION_MS, disruption(agents)), 0..8);
        (delays, 0..12u64, any::<u64>(), disruptions).prop_map(
            |(mut delays, loss_percent, seed, disruptions)| {
                // The path to the owner is no worse than that to the other agents.
                delays.sort_unstable();
                Case { delays, loss_percent, seed, disruptions, duration: DURATION_MS }
            },
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against resets of open flows: while the agent of a flow runs, and its path is no worse
    /// than that to the other agents, no search ends without an owner and the agent does not count
    /// as lost, whatever happens to the link of the balancer and to the other agents.
    #[test]
    fn no_flow_of_a_running_agent_is_reset(case in case()) {
        let reset = Network::new(case).run();
        prop_assert!(reset.is_none(), "{reset:?}");
    }

    /// Guards against callers that wait for the flow of a failed agent: on a path that loses nothing
    /// it is reset within a stated time, also when up to a quarter of the agents fail together.
    #[test]
    fn the_flow_of_a_failed_agent_is_reset(
        agents in 4..=MAX_AGENTS,
        failed_at in WARMUP_MS..8_000,
        seed in any::<u64>(),
    ) {
        let failures = (0..agents / 4).map(|number| (failed_at, Disruption::Fail(number)));
        let delays = (0..u64::from(agents)).map(|number| 1 + number).collect();
        let duration = failed_at + MAX_LOSS_TIME_MS;
        let disruptions = failures.collect();
        let reset =
            Network::new(Case { delays, loss_percent: 0, seed, disruptions, duration }).run();
        match reset {
            Some(Reset::NotFound { at, .. } | Reset::OwnerLost { at, .. }) => {
                prop_assert!(at > failed_at);
            }
            None => prop_assert!(false, "no reset within {MAX_LOSS_TIME_MS} ms"),
        }
    }
}

/// Guards against a reset during a rolling restart (found by the property test): agent 1 has just
/// restarted and the owner is about to return, so that a balancer that starts meanwhile gets fresh
/// agents only and takes the owner for one that did not return after a loss of power.
#[test]
fn an_owner_that_restarts_is_not_absent() {
    let disruptions = vec![
        (2_500, Disruption::Restart(1)),
        (6_701, Disruption::RestartOwner { gap: 3_700 }),
        (9_895, Disruption::RestartBalancer),
    ];
    let (delays, duration) = (vec![1, 1], DURATION_MS);
    let reset =
        Network::new(Case { delays, loss_percent: 0, seed: 0, disruptions, duration }).run();
    assert!(reset.is_none(), "{reset:?}");
}

/// Guards against a reset of the flow of an agent that restarts while the store does not list it
/// (found by the property test): it left the list of members, so that no search asked it.
#[test]
fn an_owner_that_is_unlisted_while_it_restarts_stays_a_member() {
    let disruptions = vec![
        (5_437, Disruption::RestartOwner { gap: 7_689 }),
        (5_437, Disruption::Unlist(0, 2_564)),
    ];
    let (delays, duration) = (vec![1, 1], DURATION_MS);
    let reset =
        Network::new(Case { delays, loss_percent: 0, seed: 0, disruptions, duration }).run();
    assert!(reset.is_none(), "{reset:?}");
}

/// Guards against a reset after a short cut of the link (found by the property test): the silence of
/// the agents on slow paths began in the cut, but counted in full a second after it.
#[test]
fn silence_during_a_cut_does_not_count() {
    let disruptions = vec![
        (3_301, Disruption::SlowPaths { duration: 2_225, agents: 3 }),
        (3_112, Disruption::Cut { duration: 864 }),
    ];
    let (delays, seed) = (vec![1; 5], 8_851_447_770_281_272_044);
    let case = Case { delays, loss_percent: 9, seed, disruptions, duration: DURATION_MS };
    let reset = Network::new(case).run();
    assert!(reset.is_none(), "{reset:?}");
}

/// Guards against a reset by a balancer that starts while its link is cut (found by the property
/// test): the first agent that it reached made it count the silence of the others from the cut.
#[test]
fn silence_before_the_first_answers_does_not_count() {
    let disruptions = vec![
        (3_355, Disruption::SlowPaths { duration: 4_821, agents: 2 }),
        (4_258, Disruption::RestartBalancer),
        (4_263, Disruption::Cut { duration: 3_838 }),
        (7_601, Disruption::Restart(2)),
    ];
    let (delays, duration) = (vec![1; 3], DURATION_MS);
    let reset =
        Network::new(Case { delays, loss_percent: 0, seed: 0, disruptions, duration }).run();
    assert!(reset.is_none(), "{reset:?}");
}

/// Guards against a reset after a delay that several agents shared (found by the property test):
/// when the others answered again, the silence of the owner counted as that of a single agent.
#[test]
fn a_shared_silence_does_not_count_against_the_last_silent_agent() {
    let disruptions = vec![(7_601, Disruption::SlowPaths { duration: 1_300, agents: 4 })];
    let (delays, seed) = (vec![1; 10], 5_178_725_836_561_492_424);
    let case = Case { delays, loss_percent: 7, seed, disruptions, duration: DURATION_MS };
    let reset = Network::new(case).run();
    assert!(reset.is_none(), "{reset:?}");
}

/// Guards against property tests that prove nothing, because no search ends.
#[test]
fn searches_find_the_owner() {
    let delays = vec![1; 6];
    let case = Case { delays, loss_percent: 5, seed: 1, disruptions: Vec::new(), duration: 5_000 };
    let mut network = Network::new(case);
    assert!(network.run().is_none());
    assert!(network.owner_found >= 14, "{}", network.owner_found);
}
