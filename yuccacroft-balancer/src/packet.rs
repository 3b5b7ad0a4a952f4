//! The filter chain of packets from callers: address, tag, placement.

use {
    crate::service::{Service, ServiceIndex, TableSnapshot},
    std::{
        net::{SocketAddr, SocketAddrV4},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
    },
    yuccacroft_core::{
        filter::{Chain, Filter, Verdict},
        flow::{Hop, Packet},
        placement::Step,
    },
    yuccacroft_wire::{
        capsule::{Header, Kind},
        invariant::InvariantHeader,
    },
};

/// A packet from a caller, without its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketInfo {
    /// The caller.
    pub caller: SocketAddr,
    /// The address that the caller sent to.
    pub service: SocketAddr,
    /// Where replies are sent: the fabric or the caller.
    pub via: SocketAddr,
    /// What the packet shows without decryption.
    pub invariant: InvariantHeader,
    found: Option<ServiceIndex>,
}

/// Why a packet goes nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No contract covers its destination.
    Address,
    /// The service has no member.
    Members,
}

/// What becomes of a packet.
#[expect(clippy::large_enum_variant, reason = "a box would allocate for each packet")]
#[derive(Clone, Debug)]
pub enum Decision {
    /// It goes to an agent.
    Forward {
        /// The agent.
        target: Hop,
        /// How the target was found.
        kind: Kind,
        /// The service in the view of the chain.
        slot: ServiceIndex,
    },
    /// It is dropped and counted.
    Drop(Cause),
}

impl Cause {
    /// Returns a short name for metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Address => "address",
            Self::Members => "members",
        }
    }
}

impl PacketInfo {
    /// Describes a packet.
    pub fn new(
        caller: SocketAddr,
        service: SocketAddr,
        via: SocketAddr,
        invariant: InvariantHeader,
    ) -> Self {
        Self { caller, service, via, invariant, found: None }
    }

    /// Builds the capsule header for a forwarded packet.
    pub fn header(
        &self,
        target: Hop,
        kind: Kind,
        service: &Service,
        balancer: SocketAddrV4,
    ) -> Header {
        Header {
            kind,
            digest: service.digest,
            incarnation: target.incarnation,
            revision: service.revision,
            caller: self.caller,
            service: self.service,
            via: self.via,
            balancer,
        }
    }
}

/// Creates the chain over the services of one moment.
pub fn chain(view: Arc<TableSnapshot>) -> Chain<PacketInfo, Decision> {
    Chain::new(vec![
        Box::new(Address { view: view.clone() }),
        Box::new(Tag { view: view.clone() }),
        Box::new(Placement { view, turn: AtomicU32::new(0) }),
    ])
}

/// Finds the service, and with it the keys, from the destination alone.
struct Address {
    view: Arc<TableSnapshot>,
}

/// Sends a packet with a valid tag to its owner.
struct Tag {
    view: Arc<TableSnapshot>,
}

/// Names the candidates of a packet without a tag.
struct Placement {
    view: Arc<TableSnapshot>,
    turn: AtomicU32,
}

impl Filter<PacketInfo> for Address {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "address"
    }

    fn apply(&self, item: &mut PacketInfo) -> Verdict<Decision> {
        item.found = self.view.by_address(item.service);
        if item.found.is_some() {
            Verdict::Continue
        } else {
            Verdict::Done(Decision::Drop(Cause::Address))
        }
    }
}

impl Filter<PacketInfo> for Tag {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "tag"
    }

    fn apply(&self, item: &mut PacketInfo) -> Verdict<Decision> {
        let Some(slot) = item.found else { return Verdict::Continue };
        match self.view.service(slot).cipher.decode(item.invariant.id()) {
            Some(owner) => {
                Verdict::Done(Decision::Forward { target: owner.into(), kind: Kind::Tagged, slot })
            }
            None => Verdict::Continue,
        }
    }
}

impl Filter<PacketInfo> for Placement {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "placement"
    }

    fn apply(&self, item: &mut PacketInfo) -> Verdict<Decision> {
        let Some(slot) = item.found else { return Verdict::Continue };
        let service = self.view.service(slot);
        let packet =
            Packet::Untagged { key: service.key(item.invariant.id()), phase: item.invariant.phase };
        let turn = self.turn.fetch_add(1, Ordering::Relaxed) as usize;
        Verdict::Done(place(service, slot, packet, turn))
    }
}

fn place(service: &Service, slot: ServiceIndex, packet: Packet, turn: usize) -> Decision {
    let Packet::Untagged { key, phase } = packet else { return Decision::Drop(Cause::Address) };
    let chain = service.history.chain(key).rotated(turn);
    let Some(target) = chain.first() else { return Decision::Drop(Cause::Members) };
    let kind = Kind::Untagged { key, phase, chain, step: Step::First, hops: 0, load: None };
    Decision::Forward { target, kind, slot }
}
