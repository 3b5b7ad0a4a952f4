//! The filter chain for packets from callers: address, tag, placement.

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
        filter::{Filter, FilterChain, Verdict},
        flow::{AgentId, PacketClass},
        placement::ChainPosition,
    },
    yuccacroft_wire::{
        capsule::{CapsuleKind, Header},
        invariant::InvariantHeader,
    },
};

/// The properties of a packet from a caller by which it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketInfo {
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The address that the caller sent to.
    pub service: SocketAddr,
    /// The address that replies are sent to: the fabric, or the caller without one.
    pub via: SocketAddr,
    /// The unencrypted fields of the packet.
    pub invariant: InvariantHeader,
    service_index: Option<ServiceIndex>,
}

/// The reasons why the chain drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// No contract contains its destination address.
    Address,
    /// Its service has no member.
    Members,
}

/// The decision of the chain on a packet.
#[expect(clippy::large_enum_variant, reason = "a box would allocate for each packet")]
#[derive(Clone, Debug)]
pub enum Decision {
    /// The packet is forwarded to an agent.
    Forward {
        /// The agent.
        target: AgentId,
        /// How the agent was found.
        kind: CapsuleKind,
        /// The service in the snapshot of the chain.
        service_index: ServiceIndex,
    },
    /// The packet is dropped and counted.
    Drop(DropCause),
}

impl DropCause {
    /// Returns a short name for metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Address => "address",
            Self::Members => "members",
        }
    }
}

impl PacketInfo {
    /// Creates the properties of a packet.
    pub fn new(
        caller: SocketAddr,
        service: SocketAddr,
        via: SocketAddr,
        invariant: InvariantHeader,
    ) -> Self {
        Self { caller, service, via, invariant, service_index: None }
    }

    /// Builds the capsule header for a forwarded packet.
    pub fn header(
        &self,
        target: AgentId,
        kind: CapsuleKind,
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

/// Creates the chain over a snapshot of the services.
pub fn chain(snapshot: Arc<TableSnapshot>) -> FilterChain<PacketInfo, Decision> {
    FilterChain::new(vec![
        Box::new(Address { snapshot: snapshot.clone() }),
        Box::new(Tag { snapshot: snapshot.clone() }),
        Box::new(Placement { snapshot, rotation: AtomicU32::new(0) }),
    ])
}

/// Finds the service, and thereby the keys, from the destination address alone.
struct Address {
    snapshot: Arc<TableSnapshot>,
}

/// Forwards a packet with a valid owner tag to its owner.
struct Tag {
    snapshot: Arc<TableSnapshot>,
}

/// Chooses the candidate agents of a packet without a valid tag.
struct Placement {
    snapshot: Arc<TableSnapshot>,
    rotation: AtomicU32,
}

impl Filter<PacketInfo> for Address {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "address"
    }

    fn apply(&self, packet_info: &mut PacketInfo) -> Verdict<Decision> {
        packet_info.service_index = self.snapshot.by_address(packet_info.service);
        if packet_info.service_index.is_some() {
            Verdict::Continue
        } else {
            Verdict::Done(Decision::Drop(DropCause::Address))
        }
    }
}

impl Filter<PacketInfo> for Tag {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "tag"
    }

    fn apply(&self, packet_info: &mut PacketInfo) -> Verdict<Decision> {
        let Some(service_index) = packet_info.service_index else { return Verdict::Continue };
        match self.snapshot.service(service_index).cipher.decode(packet_info.invariant.id()) {
            Some(owner) => Verdict::Done(Decision::Forward {
                target: owner.into(),
                kind: CapsuleKind::Tagged,
                service_index,
            }),
            None => Verdict::Continue,
        }
    }
}

impl Filter<PacketInfo> for Placement {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "placement"
    }

    fn apply(&self, packet_info: &mut PacketInfo) -> Verdict<Decision> {
        let Some(service_index) = packet_info.service_index else { return Verdict::Continue };
        let service = self.snapshot.service(service_index);
        let packet = PacketClass::Untagged {
            key: service.flow_key(packet_info.invariant.id()),
            phase: packet_info.invariant.phase,
        };
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed) as usize;
        Verdict::Done(choose_target(service, service_index, packet, rotation))
    }
}

fn choose_target(
    service: &Service,
    service_index: ServiceIndex,
    packet: PacketClass,
    rotation: usize,
) -> Decision {
    let PacketClass::Untagged { key, phase } = packet else {
        return Decision::Drop(DropCause::Address);
    };
    let chain = service.history.chain(key).rotated(rotation);
    let Some(target) = chain.first() else { return Decision::Drop(DropCause::Members) };
    let kind = CapsuleKind::Untagged {
        key,
        phase,
        chain,
        step: ChainPosition::First,
        hops: 0,
        load: None,
    };
    Decision::Forward { target, kind, service_index }
}
