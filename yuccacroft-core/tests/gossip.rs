//! The pushes of one balancer.

mod contracts;

use {
    contracts::entry,
    std::sync::Arc,
    yuccacroft_core::{
        controller::Controller,
        gossip::{
            entry::Item,
            exchange::{Action, Event, Exchange, Settings},
            message::{KeyVersion, Message},
            peer::Peer,
        },
        ids::Incarnation,
        member::{Entry, Record, Standing},
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
        standing: Standing::Trusted,
    };
    Exchange::new(own, &[FleetConfig::node(1)], Settings::default(), 1)
}

fn member(version: u32) -> Item {
    let entry = Entry { version, ..entry(1, 1) };
    Item::Member(Arc::new(Record { entry, standing: Standing::Trusted }))
}

fn line(item: &Item) -> KeyVersion {
    KeyVersion { key: item.key().digest(), version: item.version() }
}

/// Counts the pushes of an entry over a minute, while the peer answers each push with `answer`.
fn pushes(exchange: &mut Exchange, item: &Item, answer: &KeyVersion) -> usize {
    let mut count = 0;
    for tick in 0..300 {
        let now = Moment::default() + Span::from_millis(200 * tick);
        for action in exchange.step(Event::Tick, now) {
            if let Action::Send { to, message: Message::Push(items) } = action {
                count += items.iter().filter(|pushed| *pushed == item).count();
                let message = Message::Known(vec![*answer]);
                exchange.step(Event::Answer { from: to, message }, now);
            }
        }
    }
    count
}

/// Guards against an answer about an earlier version that ends the pushes of the present one.
#[test]
fn answer_about_an_earlier_version_saves_nothing() {
    let mut other = exchange();
    other.step(Event::Local(member(2)), Moment::default());
    let earlier = line(&member(1));
    assert_eq!(pushes(&mut other, &member(2), &earlier), 6);
}

/// Guards against pushes that go on although everybody knows the entry. The test above shows that
/// the answers are what ends them.
#[test]
fn answer_about_the_same_version_saves_pushes() {
    let mut exchange = exchange();
    exchange.step(Event::Local(member(2)), Moment::default());
    assert_eq!(pushes(&mut exchange, &member(2), &line(&member(2))), 2);
}
