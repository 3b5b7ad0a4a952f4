//! The number of pushes of an entry by one balancer.

mod contracts;

use {
    contracts::entry,
    std::sync::Arc,
    yuccacroft_core::{
        controller::Controller,
        gossip::{
            entry::GossipEntry,
            exchange::{Action, Event, Exchange, GossipSettings},
            message::{GossipMessage, KeyVersion},
            peer::Peer,
        },
        ids::Incarnation,
        member::{Liveness, MemberEntry, MemberRecord},
        time::{Moment, Span},
    },
    yuccacroft_fakes::fleet::{self, FleetConfig},
};

fn exchange() -> Exchange {
    let own = Peer {
        node: FleetConfig::node(0),
        domain: fleet::domain(0),
        incarnation: Incarnation::new(1),
        version: 0,
        standing: Liveness::Trusted,
    };
    Exchange::new(own, &[FleetConfig::node(1)], GossipSettings::default(), 1)
}

fn member(version: u32) -> GossipEntry {
    let entry = MemberEntry { version, ..entry(1, 1) };
    GossipEntry::Member(Arc::new(MemberRecord { entry, standing: Liveness::Trusted }))
}

fn key_version(item: &GossipEntry) -> KeyVersion {
    KeyVersion { key: item.key().digest(), version: item.version() }
}

/// Counts the pushes of an entry within a minute. The peer responds to each push that it knows
/// `known` already.
fn count_pushes(exchange: &mut Exchange, item: &GossipEntry, known: &KeyVersion) -> usize {
    let mut count = 0;
    for tick in 0..300 {
        let now = Moment::default() + Span::from_millis(200 * tick);
        for action in exchange.step(Event::Tick, now) {
            if let Action::Send { to, message: GossipMessage::Push(items) } = action {
                count += items.iter().filter(|pushed| *pushed == item).count();
                let message = GossipMessage::Known(vec![*known]);
                exchange.step(Event::Answer { from: to, message }, now);
            }
        }
    }
    count
}

/// Guards against a response about an earlier version that reduces the pushes of the present one.
#[test]
fn response_about_earlier_version_saves_no_pushes() {
    let mut exchange = exchange();
    exchange.step(Event::Local(member(2)), Moment::default());
    let earlier = key_version(&member(1));
    assert_eq!(count_pushes(&mut exchange, &member(2), &earlier), 6);
}

/// Guards against further pushes of an entry that the peers know already. The test above shows that
/// the responses are what ends them.
#[test]
fn response_about_same_version_saves_pushes() {
    let mut exchange = exchange();
    exchange.step(Event::Local(member(2)), Moment::default());
    assert_eq!(count_pushes(&mut exchange, &member(2), &key_version(&member(2))), 2);
}
