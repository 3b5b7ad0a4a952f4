//! Tests of agents' decisions about untagged packets. Where possible, a test also shows that its
//! property fails without the mechanism that ensures it.

#[allow(dead_code)]
mod support;

use {
    support::{Delivery, Fleet, agent_id, members},
    yuccacroft_core::{
        directory::ClaimOutcome,
        flow::{AgentId, FlowKey, FlowPhase},
        ids::Incarnation,
        ownership::{Decision, FlowLoad, MAX_HOPS, OwnershipTable, UntaggedPacket},
        placement::{Candidate, CandidateChain, ChainPosition, History, Homes},
        time::{Moment, Span},
        units::{Connections, Weight},
    },
};

fn keys(count: u64) -> impl Iterator<Item = FlowKey> {
    (0..count).map(|key| FlowKey::new(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

fn history(members: &[Candidate]) -> History {
    let mut history = History::new();
    history.update(members, Moment::default());
    history
}

fn packet(chain: &CandidateChain, key: FlowKey, phase: FlowPhase) -> UntaggedPacket<'_> {
    let expected = Incarnation::new(1);
    UntaggedPacket { key, phase, chain, step: ChainPosition::First, expected, hops: 0, load: None }
}

/// Opens a flow for each key and returns the owners.
fn open(
    fleet: &mut Fleet,
    history: &History,
    keys: impl Iterator<Item = FlowKey>,
) -> Vec<(FlowKey, AgentId)> {
    keys.map(|key| {
        let id = fleet.send(key, FlowPhase::First, history.chain(key));
        fleet.deliver_all();
        match fleet.results[id] {
            Delivery::Delivered(owner) => (key, owner),
            result => panic!("flow {key} was not opened: {result:?}"),
        }
    })
    .collect()
}

/// Sends a later packet of a flow and returns its result.
fn deliver(fleet: &mut Fleet, history: &History, key: FlowKey) -> Delivery {
    let id = fleet.send(key, FlowPhase::Middle, history.chain(key));
    fleet.deliver_all();
    fleet.results[id]
}

/// Guards against uneven loads if flows are placed by their keys alone: the largest load stays
/// within 1.10 of the mean with two choices, and is larger with one.
#[test]
fn two_choices_balance_the_load() {
    let spread = |two_choices: bool| {
        let (mut fleet, history) = (Fleet::new(0..7), history(&members(0..7)));
        for key in keys(7_000) {
            let chain = history.chain(key);
            let one = CandidateChain::new(chain.first(), chain.first());
            fleet.send(key, FlowPhase::First, if two_choices { chain } else { one });
            fleet.deliver_all();
        }
        let largest = fleet.agents.values().map(|agent| agent.table.open_connections().get()).max();
        f64::from(largest.unwrap()) / 1_000.0
    };
    let (one, two) = (spread(false), spread(true));
    assert!(two <= 1.10, "{two}");
    assert!(two < one, "{two} {one}");
}

/// Guards against a drain that breaks flows or still accepts new ones before the balancers know of
/// it.
#[test]
fn draining_agent_passes_first_packets_and_keeps_its_flows() {
    let (mut fleet, history) = (Fleet::new(0..5), history(&members(0..5)));
    let flows = open(&mut fleet, &history, keys(300));
    fleet.agent(2).table.drain();
    let later = open(&mut fleet, &history, keys(600).skip(300));
    assert!(later.iter().all(|(_, owner)| *owner != agent_id(2)));
    for (key, owner) in flows {
        assert_eq!(deliver(&mut fleet, &history, key), Delivery::Delivered(owner));
    }
}

/// Guards against the loss of flows while the members are replaced one by one: owners publish their
/// flows to new homes. Without publication, later packets find no owner.
#[test]
fn flows_survive_a_rolling_replacement() {
    let lost = |publish: bool| {
        let mut fleet = Fleet::new(0..14);
        let mut present = members(0..7);
        let mut view = history(&present);
        let flows = open(&mut fleet, &view, keys(400));
        for removed in 0..5 {
            let before = Homes::new(&present);
            present.retain(|member| member.agent_id != agent_id(removed));
            present.extend(members([7 + removed]));
            view = history(&present);
            fleet.remove_agent(removed);
            if publish {
                fleet.publish(&before, &Homes::new(&present));
            }
        }
        let alive = flows.iter().filter(|(_, owner)| *owner >= agent_id(5));
        alive
            .filter(|(key, owner)| deliver(&mut fleet, &view, *key) != Delivery::Delivered(*owner))
            .count()
    };
    assert!(lost(false) > 0);
    assert_eq!(lost(true), 0);
}

/// Guards against a directory entry that is lost with one home: a flow that was accepted out of
/// chain order survives the loss of any one agent but its owner. Without entries at homes it does
/// not.
#[test]
fn flow_survives_the_loss_of_any_other_agent() {
    let lost = |claims: bool, removed: u64| {
        let (mut fleet, view) = (Fleet::new(0..6), history(&members(0..6)));
        fleet.claims = claims;
        let flows = open(&mut fleet, &view, keys(200));
        fleet.remove_agent(removed);
        let view = history(&members((0..6).filter(|number| *number != removed)));
        let alive = flows.into_iter().filter(|(_, owner)| *owner != agent_id(removed));
        alive
            .filter(|(key, owner)| deliver(&mut fleet, &view, *key) != Delivery::Delivered(*owner))
            .count()
    };
    assert!((0..6).map(|removed| lost(false, removed)).sum::<usize>() > 0);
    assert_eq!((0..6).map(|removed| lost(true, removed)).sum::<usize>(), 0);
}

/// Guards against a later packet that opens a flow. A packet that is marked as the first one does.
#[test]
fn unknown_middle_ends_in_a_reset() {
    let (mut fleet, view) = (Fleet::new(0..6), history(&members(0..6)));
    fleet.settle(0..6);
    for key in keys(200) {
        assert_eq!(deliver(&mut fleet, &view, key), Delivery::Reset);
    }
    let key = FlowKey::new(5);
    let id = fleet.send(key, FlowPhase::First, view.chain(key));
    fleet.deliver_all();
    assert!(matches!(fleet.results[id], Delivery::Delivered(_)));
}

/// Guards against the reset of a live flow whose owner has not published it to a home yet. A single
/// home that may lack entries suffices, at any place of the search.
#[test]
fn unknown_middle_is_dropped_while_a_home_may_lack_entries() {
    let (mut fleet, view) = (Fleet::new(0..6), history(&members(0..6)));
    fleet.settle(0..5);
    let (mut dropped, mut reset) = (0, 0);
    for key in keys(200) {
        let includes_new = view.chain(key).homes().any(|home| home == agent_id(5));
        let expected =
            if includes_new { Delivery::Dropped("owner_unknown") } else { Delivery::Reset };
        *(if includes_new { &mut dropped } else { &mut reset }) += 1;
        assert_eq!(deliver(&mut fleet, &view, key), expected);
    }
    assert!(dropped > 0 && reset > 0, "{dropped} {reset}");
}

/// Guards against the reset of a flow for which balancers name no home that could know it.
#[test]
fn a_packet_without_homes_is_dropped() {
    let table = OwnershipTable::new(agent_id(1), Connections::new(10), Weight::new(1));
    let chain = CandidateChain::new(Some(agent_id(1)), Some(agent_id(2)));
    let packet = packet(&chain, FlowKey::new(7), FlowPhase::Middle);
    assert_eq!(table.decide(&packet, Moment::default()), Decision::Drop("owner_unknown"));
}

/// Guards against packets that loop between agents that consider each other the owner.
#[test]
fn hop_limit_ends_a_forwarding_loop() {
    let table = OwnershipTable::new(agent_id(1), Connections::new(10), Weight::new(1));
    let (key, chain) = (FlowKey::new(7), CandidateChain::new(Some(agent_id(1)), Some(agent_id(2))));
    table.record_entry(key, agent_id(2), agent_id(2), Moment::default());
    let packet =
        UntaggedPacket { step: ChainPosition::Owner, ..packet(&chain, key, FlowPhase::Middle) };
    let pass = Decision::Pass(agent_id(2), ChainPosition::Owner, None);
    let below = UntaggedPacket { hops: MAX_HOPS - 1, ..packet };
    assert_eq!(table.decide(&below, Moment::default()), pass);
    let at = UntaggedPacket { hops: MAX_HOPS, ..packet };
    assert_eq!(table.decide(&at, Moment::default()), Decision::Drop("hops"));
}

/// Guards against new flows at an agent to whose earlier incarnation they were addressed.
#[test]
fn stale_incarnation_accepts_no_flow() {
    let table = OwnershipTable::new(agent_id(1), Connections::new(10), Weight::new(1));
    let chain = CandidateChain::new(Some(agent_id(1)), Some(agent_id(2)));
    let fresh = packet(&chain, FlowKey::new(7), FlowPhase::First);
    let stale = UntaggedPacket { expected: Incarnation::new(9), ..fresh };
    let next = Decision::Pass(agent_id(2), ChainPosition::Second, Some(FlowLoad::FULL));
    assert_eq!(table.decide(&stale, Moment::default()), next);
    table.record_load(agent_id(2).instance, FlowLoad::FULL, Moment::default());
    assert_eq!(table.decide(&fresh, Moment::default()), Decision::Accept);
}

/// Guards against full agents that accept a flow, and against a packet that waits when all agents
/// are full.
#[test]
fn full_agents_drop_the_first_packet() {
    let (mut fleet, view) = (Fleet::new(0..3), history(&members(0..3)));
    (0..3).for_each(|number| fleet.agent(number).table.drain());
    let id = fleet.send(FlowKey::new(7), FlowPhase::First, view.chain(FlowKey::new(7)));
    fleet.deliver_all();
    assert_eq!(fleet.results[id], Delivery::Dropped("room"));
}

/// Guards against a delayed publication that undoes the claim of another agent, and against entries
/// of a dead agent that block a key permanently.
#[test]
fn entries_keep_the_first_claimant_until_it_is_gone() {
    let home = OwnershipTable::new(agent_id(0), Connections::new(10), Weight::new(1));
    let (key, now) = (FlowKey::new(7), Moment::default());
    assert_eq!(home.answer_claim(key, agent_id(1), now), ClaimOutcome::Granted);
    home.record_entry(key, agent_id(2), agent_id(2), now);
    assert_eq!(home.answer_claim(key, agent_id(2), now), ClaimOutcome::Held(agent_id(1)));
    home.expire(|owner| owner == agent_id(1), now);
    assert_eq!(home.answer_claim(key, agent_id(2), now), ClaimOutcome::Granted);
    home.expire(|_| false, now + Span::from_secs(61));
    assert_eq!(home.entry_count(), 0);
}

/// Guards against an agent that cannot claim a key after a restart because of its own earlier
/// entry.
#[test]
fn later_incarnation_replaces_the_entry_of_an_earlier_one() {
    let home = OwnershipTable::new(agent_id(0), Connections::new(10), Weight::new(1));
    let (key, now) = (FlowKey::new(7), Moment::default());
    let later = AgentId { incarnation: Incarnation::new(2), ..agent_id(1) };
    home.answer_claim(key, agent_id(1), now);
    assert_eq!(home.answer_claim(key, later, now), ClaimOutcome::Granted);
    assert_eq!(home.answer_claim(key, agent_id(1), now), ClaimOutcome::Held(later));
}

/// Guards against first packets that are repeatedly lost at a dead second choice.
#[test]
fn first_choice_stops_asking_a_dead_second_one() {
    let table = OwnershipTable::new(agent_id(1), Connections::new(10), Weight::new(1));
    let chain = CandidateChain::new(Some(agent_id(1)), Some(agent_id(2)));
    let at = |millis| Moment::default() + Span::from_millis(millis);
    let decide = |key, now| table.decide(&packet(&chain, FlowKey::new(key), FlowPhase::First), now);
    let pass = Decision::Pass(agent_id(2), ChainPosition::Second, Some(table.load()));
    assert_eq!(decide(1, at(0)), pass);
    assert_eq!(decide(1, at(19)), pass);
    assert_eq!(decide(1, at(20)), Decision::Accept);
    assert!(matches!(decide(2, at(500)), Decision::Pass(..)));
    assert_eq!(decide(2, at(520)), Decision::Accept);
    table.record_load(agent_id(2).instance, FlowLoad::FULL, at(521));
    assert!(matches!(decide(3, at(600)), Decision::Pass(..)));
}

/// Guards against later packets that are all sent to the same dead home.
#[test]
fn search_begins_at_any_home() {
    let table = OwnershipTable::new(agent_id(9), Connections::new(10), Weight::new(1));
    let view = history(&members(0..5));
    let chain = view.chain(FlowKey::new(7));
    let starts = (0..4).map(|micros| {
        match table.decide(&packet(&chain, FlowKey::new(7), FlowPhase::Middle), Moment::new(micros))
        {
            Decision::Pass(home, ..) => home,
            decision => panic!("{decision:?}"),
        }
    });
    let starts: std::collections::BTreeSet<_> = starts.collect();
    assert_eq!(starts, chain.homes().collect());
}

/// Guards against the loss of flows while all members drain.
#[test]
fn flows_are_found_when_all_members_drain() {
    let (mut fleet, view) = (Fleet::new(0..5), history(&members(0..5)));
    let flows = open(&mut fleet, &view, keys(100));
    let drained = members(0..5).into_iter().map(|m| Candidate { weight: Weight::new(0), ..m });
    let view = history(&drained.collect::<Vec<_>>());
    for (key, owner) in flows {
        assert_eq!(deliver(&mut fleet, &view, key), Delivery::Delivered(owner));
    }
}
