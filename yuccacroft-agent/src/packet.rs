//! The filter chain of capsules: identity, ownership.

use {
    std::sync::Arc,
    yuccacroft_core::{
        filter::{Chain, Filter, Verdict},
        flow::Hop,
        key::Digest,
        ownership::{self, Book},
        time::Moment,
    },
    yuccacroft_wire::capsule::{Header, Kind},
};

/// A capsule whose authenticator was checked.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// What it says about its packet.
    pub header: Header,
    /// When it arrived.
    pub now: Moment,
}

/// What becomes of the packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes to the QUIC endpoint, which owns its flow or begins one.
    Deliver,
    /// It goes to the QUIC endpoint, which does not know its flow and resets it.
    Reset,
    /// It goes to another agent, with this header.
    Pass(Hop, Box<Header>),
    /// It is dropped and counted under this cause.
    Drop(&'static str),
}

/// Creates the chain of an agent that serves the service with this digest.
pub fn chain(digest: Digest, book: Arc<Book>) -> Chain<Arrival, Decision> {
    let own = book.own();
    Chain::new(vec![Box::new(Identity { digest, own }), Box::new(Ownership { book })])
}

/// Drops what is meant for another service or an earlier process at this address.
struct Identity {
    digest: Digest,
    own: Hop,
}

/// Asks the book of flows.
struct Ownership {
    book: Arc<Book>,
}

impl Filter<Arrival> for Identity {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "identity"
    }

    fn apply(&self, arrival: &mut Arrival) -> Verdict<Decision> {
        let header = &arrival.header;
        if header.digest != self.digest {
            return Verdict::Done(Decision::Drop("service"));
        }
        match header.kind {
            Kind::Reply => Verdict::Done(Decision::Drop("kind")),
            // The flow died with the earlier process, and its caller has to learn that.
            Kind::Tagged if header.incarnation != self.own.incarnation => {
                Verdict::Done(Decision::Reset)
            }
            Kind::Tagged => Verdict::Done(Decision::Deliver),
            Kind::Untagged { .. } if header.incarnation != self.own.incarnation => {
                Verdict::Done(Decision::Drop("incarnation"))
            }
            Kind::Untagged { .. } => Verdict::Continue,
        }
    }
}

impl Filter<Arrival> for Ownership {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "ownership"
    }

    fn apply(&self, arrival: &mut Arrival) -> Verdict<Decision> {
        let Kind::Untagged { key, phase, chain, position } = arrival.header.kind else {
            return Verdict::Continue;
        };
        let position = usize::from(position);
        let packet = ownership::Packet { key, phase, chain: &chain, position };
        Verdict::Done(match self.book.decide(&packet, arrival.now) {
            ownership::Decision::Deliver | ownership::Decision::Accept => Decision::Deliver,
            ownership::Decision::Reset => Decision::Reset,
            ownership::Decision::Drop => Decision::Drop("room"),
            ownership::Decision::Pass(next) => {
                let position = position as u8 + 1;
                let kind = Kind::Untagged { key, phase, chain, position };
                let incarnation = next.incarnation;
                Decision::Pass(next, Box::new(Header { kind, incarnation, ..arrival.header }))
            }
        })
    }
}
