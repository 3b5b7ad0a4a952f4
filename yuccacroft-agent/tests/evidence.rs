//! What a home takes as evidence that a flow has no owner, and that an owner is gone.

use {
    std::sync::Arc,
    yuccacroft_agent::claims::{FlowClaims, Output},
    yuccacroft_core::{
        directory::ClaimOutcome,
        flow::{AgentId, FlowKey, FlowPhase},
        ids::{Incarnation, Instance},
        ownership::{Decision, FlowLoad, OwnershipTable, UntaggedPacket},
        placement::{CandidateChain, ChainPosition},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
    yuccacroft_wire::claim::{ClaimBody, OwnerEntry},
};

const KEY: FlowKey = FlowKey::new(7);
/// Time between two announcements, after each of which the agent learns its siblings.
const ANNOUNCE_SECS: usize = 2;
/// Time between two publications of an owner.
const PUBLISH_SECS: u64 = 20;

fn agent_id(number: u64) -> AgentId {
    AgentId {
        instance: Instance::from_bits(number << 16 | 9_000),
        incarnation: Incarnation::new(1),
    }
}

fn secs(secs: u64) -> Moment {
    Moment::default() + Span::from_secs(secs)
}

fn load() -> FlowLoad {
    FlowLoad::new(Connections::new(0), Weight::new(1))
}

/// A home and the siblings that reach it.
struct Home {
    table: Arc<OwnershipTable>,
    claims: FlowClaims,
}

impl Home {
    /// Creates agent 1.
    fn new() -> Self {
        let table =
            Arc::new(OwnershipTable::new(agent_id(1), Connections::new(10), Weight::new(1)));
        Self { claims: FlowClaims::new(table.clone()), table }
    }

    /// Announces the home from `from` to `to`. Balancers list the agents `listed`; the agents
    /// `reachable` answer and publish `entries`.
    fn run(
        &self,
        (from, to): (u64, u64),
        listed: &[u64],
        reachable: &[u64],
        entries: &[OwnerEntry],
    ) {
        let listed: Vec<_> = listed.iter().copied().map(agent_id).collect();
        for at in (from..to).step_by(ANNOUNCE_SECS) {
            let sent = self.claims.set_members(&listed, secs(at));
            for &sibling in reachable {
                let asked = |output: &Output| matches!(output, Output::Send(to, _) if *to == agent_id(sibling).instance);
                if sent.iter().any(asked) {
                    self.receive(sibling, ClaimBody::Load, at);
                }
                if at % PUBLISH_SECS == 0 {
                    self.receive(sibling, ClaimBody::Publish(entries.to_vec()), at);
                }
            }
        }
    }

    fn receive(&self, from: u64, body: ClaimBody, at: u64) {
        self.claims.receive(agent_id(from), load(), body, secs(at));
    }

    /// Decides about a later packet of an unknown flow that other homes did not know either.
    fn decide_last(&self, step: ChainPosition, at: u64) -> Decision {
        let mut chain = CandidateChain::new(Some(agent_id(2)), Some(agent_id(3)));
        (1..4).for_each(|number| chain.add_home(KEY, agent_id(number)));
        let (phase, expected) = (FlowPhase::Middle, agent_id(1).incarnation);
        let packet =
            UntaggedPacket { key: KEY, phase, chain: &chain, step, expected, hops: 3, load: None };
        self.table.decide(&packet, secs(at))
    }
}

/// Guards against a reset of a live flow by a home that has just started, to which its owner has
/// not published yet.
#[test]
fn a_home_that_has_just_started_resets_no_flow() {
    let home = Home::new();
    assert!(matches!(home.decide_last(ChainPosition::Home(0), 0), Decision::Drop(_)));
    home.run((0, 20), &[2, 3], &[2, 3], &[]);
    assert!(matches!(home.decide_last(ChainPosition::Home(0), 20), Decision::Drop(_)));
}

/// Guards against a reset of a live flow by a home that its owner cannot reach.
#[test]
fn a_home_that_was_cut_off_resets_no_flow() {
    let home = Home::new();
    home.run((0, 200), &[2, 3], &[2, 3], &[]);
    home.run((200, 300), &[2, 3], &[2], &[]);
    assert!(matches!(home.decide_last(ChainPosition::Home(0), 300), Decision::Drop(_)));
    home.run((300, 320), &[2, 3], &[2, 3], &[]);
    assert!(matches!(home.decide_last(ChainPosition::Home(0), 320), Decision::Drop(_)));
}

/// Guards against a reset while an agent that balancers do not list may still own the flow.
#[test]
fn an_unlisted_silent_owner_causes_no_reset() {
    let home = Home::new();
    home.run((0, 200), &[2, 3], &[2, 3], &[]);
    home.run((200, 400), &[2], &[2], &[]);
    assert!(matches!(home.decide_last(ChainPosition::Home(0), 400), Decision::Drop(_)));
}

/// Guards against homes that forget the flows of a live owner, and against homes that never become
/// complete, because each change of the members puts off the regular publication.
#[test]
fn publications_are_due_while_members_change() {
    let home = Home::new();
    let published = |output: &Output| matches!(output, Output::Send(to, ClaimBody::Publish(_)) if *to == agent_id(2).instance);
    let publications = (0..61).step_by(ANNOUNCE_SECS).filter(|&at| {
        let listed = [agent_id(2), agent_id(3 + at % 4)];
        home.claims.set_members(&listed, secs(at)).iter().any(published)
    });
    assert_eq!(publications.collect::<Vec<_>>(), [20, 40, 60]);
}

/// Guards against homes that forget the flows of an agent that only balancers cannot reach, and
/// against a home that takes the last list of siblings for complete while no balancer answers.
#[test]
fn publications_go_on_while_no_balancer_answers() {
    let home = Home::new();
    home.run((0, 200), &[2, 3], &[2, 3], &[]);
    let published = |at: &u64| {
        let outputs = home.claims.keep_members(secs(*at));
        let receivers = outputs.iter().filter_map(|output| match output {
            Output::Send(to, ClaimBody::Publish(_)) => Some(*to),
            _ => None,
        });
        let receivers: Vec<_> = receivers.collect();
        assert!(receivers.is_empty() || receivers == [agent_id(2).instance, agent_id(3).instance]);
        (2..4).for_each(|sibling| home.receive(sibling, ClaimBody::Publish(Vec::new()), *at));
        !receivers.is_empty()
    };
    let publications: Vec<_> = (200..241).step_by(ANNOUNCE_SECS).filter(published).collect();
    assert_eq!(publications, [200, 220, 240]);
    assert!(matches!(home.decide_last(ChainPosition::Home(0), 240), Decision::Drop(_)));
}

/// Guards against callers that learn of a lost flow only by their own timeout: homes that hear
/// from all agents of the service know that the flow has no owner.
#[test]
fn homes_that_hear_from_all_agents_reset_an_unknown_flow() {
    let home = Home::new();
    home.run((0, 200), &[2, 3], &[2, 3], &[]);
    assert_eq!(home.decide_last(ChainPosition::Home(0), 200), Decision::Reset);
    // The owner that a home names is the last authority on its own flows.
    assert_eq!(home.decide_last(ChainPosition::Owner, 200), Decision::Reset);
}

/// Guards against a key that another agent can claim while its owner lives: balancers that do not
/// hear from the owner for minutes are no evidence that it is gone.
#[test]
fn entries_of_an_unlisted_owner_that_answers_stay() {
    let home = Home::new();
    let entries = [OwnerEntry { key: KEY, owner: agent_id(2) }];
    home.run((0, 20), &[2, 3], &[2], &entries);
    home.run((20, 118), &[3], &[2, 3], &entries);
    assert_eq!(home.table.answer_claim(KEY, agent_id(3), secs(118)), held_by(2));
}

/// Guards against a home that is itself cut off and takes the silence of all agents as evidence
/// that an owner is gone.
#[test]
fn a_home_that_hears_from_no_agent_drops_no_entry() {
    let home = Home::new();
    let entries = [OwnerEntry { key: KEY, owner: agent_id(2) }];
    home.run((0, 20), &[2, 3], &[2, 3], &entries);
    home.run((20, 60), &[3], &[], &[]);
    assert_eq!(home.table.answer_claim(KEY, agent_id(3), secs(60)), held_by(2));
}

/// Guards against a home that was cut off for a while and counts the queries of that time as
/// evidence.
#[test]
fn queries_of_a_home_that_was_cut_off_do_not_count() {
    let home = Home::new();
    let entries = [OwnerEntry { key: KEY, owner: agent_id(2) }];
    home.run((0, 20), &[2, 3], &[2, 3], &entries);
    home.run((20, 54), &[3], &[], &[]);
    home.run((54, 58), &[3], &[3], &[]);
    assert_eq!(home.table.answer_claim(KEY, agent_id(3), secs(58)), held_by(2));
}

/// Guards against a key that stays blocked after its owner was lost: balancers do not list the
/// owner, and it does not answer while others do.
#[test]
fn entries_of_an_unlisted_silent_owner_are_removed() {
    let home = Home::new();
    let entries = [OwnerEntry { key: KEY, owner: agent_id(2) }];
    home.run((0, 20), &[2, 3], &[2, 3], &entries);
    home.run((20, 50), &[3], &[3], &[]);
    assert_eq!(home.table.answer_claim(KEY, agent_id(3), secs(50)), ClaimOutcome::Granted);
}

fn held_by(number: u64) -> ClaimOutcome {
    ClaimOutcome::Held(agent_id(number))
}
