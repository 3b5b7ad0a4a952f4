//! Filter chain of capsules: identity, ownership.

use {
    std::{
        cmp::Ordering,
        net::SocketAddr,
        sync::{
            Arc, PoisonError, RwLock,
            atomic::{self, AtomicU64},
        },
    },
    yuccacroft_core::{
        contract::{Accepted, Contract, Terms},
        filter::{Filter, FilterChain, Verdict},
        flow::AgentId,
        ids::Revision,
        key::ServiceDigest,
        ownership::{self, OwnershipTable},
        time::Moment,
    },
    yuccacroft_wire::capsule::{CapsuleKind, Header},
};

/// An authenticated capsule.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedCapsule {
    /// The capsule header.
    pub header: Header,
    /// Time of arrival.
    pub now: Moment,
}

/// What the socket does with the packet of a capsule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Deliver it to the QUIC endpoint, which has its connection or accepts a new one.
    Deliver,
    /// Deliver it to the QUIC endpoint, which does not know its connection and sends a stateless
    /// reset.
    Reset,
    /// Hold it and start a claim at the homes of its key.
    Claim,
    /// Hold it until the claim in progress for its key ends.
    Wait,
    /// Forward it to another agent with the given header.
    Pass(AgentId, Box<Header>),
    /// Drop it and count it with the given cause.
    Drop(&'static str),
}

/// The service of the agent with its addresses from the contract in force.
#[derive(Debug)]
pub struct ServiceScope {
    digest: ServiceDigest,
    own: AgentId,
    revision: AtomicU64,
    addresses: RwLock<Box<[SocketAddr]>>,
}

impl ServiceScope {
    /// Creates the scope of an agent that has no contract yet.
    pub fn new(digest: ServiceDigest, own: AgentId) -> Self {
        Self { digest, own, revision: AtomicU64::new(0), addresses: RwLock::default() }
    }

    /// Applies a contract that has the service.
    pub fn apply_contract(&self, contract: &Contract<Accepted>, terms: &Terms) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = terms.addresses.clone();
        self.revision.store(contract.revision().get(), atomic::Ordering::Release);
    }

    /// Applies a contract that no longer has the service.
    pub fn remove_service(&self, contract: &Contract<Accepted>) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = Box::new([]);
        self.revision.store(contract.revision().get(), atomic::Ordering::Release);
    }

    /// Returns the revision of the contract in force.
    pub fn revision(&self) -> Revision {
        Revision::new(self.revision.load(atomic::Ordering::Acquire))
    }

    /// Returns the digest that identifies the service in capsules.
    pub fn digest(&self) -> ServiceDigest {
        self.digest
    }

    /// Returns the address and incarnation of the agent.
    pub fn own_id(&self) -> AgentId {
        self.own
    }

    fn serves_address(&self, address: SocketAddr) -> bool {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).contains(&address)
    }
}

/// Creates the filter chain of an agent.
pub fn build_chain(
    scope: Arc<ServiceScope>,
    table: Arc<OwnershipTable>,
) -> FilterChain<ReceivedCapsule, Decision> {
    FilterChain::new(vec![Box::new(Identity { scope }), Box::new(Ownership { table })])
}

/// Returns the header with which a packet is forwarded to another agent.
pub fn forwarded_header(
    header: &Header,
    next: AgentId,
    step: yuccacroft_core::placement::ChainPosition,
    load: Option<ownership::FlowLoad>,
) -> Header {
    let kind = match header.kind {
        CapsuleKind::Untagged { key, phase, chain, hops, .. } => {
            CapsuleKind::Untagged { key, phase, chain, step, hops: hops.saturating_add(1), load }
        }
        kind => kind,
    };
    Header { kind, incarnation: next.incarnation, ..*header }
}

/// Drops capsules of other services. Resets a tagged packet of an earlier process at this address
/// and drops one of a later process, which may serve its flow elsewhere by now; passes untagged
/// packets on to the next filter, which starts no flow for an earlier incarnation.
struct Identity {
    scope: Arc<ServiceScope>,
}

/// Decides about untagged packets by the flow table.
struct Ownership {
    table: Arc<OwnershipTable>,
}

impl Filter<ReceivedCapsule> for Identity {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "identity"
    }

    fn apply(&self, capsule: &mut ReceivedCapsule) -> Verdict<Decision> {
        let header = &capsule.header;
        if header.digest != self.scope.digest {
            return Verdict::Done(Decision::Drop("service"));
        }
        // A balancer with an older contract may still route an address that now belongs to another
        // service. One with a newer contract may route an address that is not known here yet.
        if header.revision <= self.scope.revision() && !self.scope.serves_address(header.service) {
            return Verdict::Done(Decision::Drop("address"));
        }
        match header.kind {
            CapsuleKind::Reply => Verdict::Done(Decision::Drop("kind")),
            CapsuleKind::Tagged => {
                Verdict::Done(match header.incarnation.cmp(&self.scope.own.incarnation) {
                    // The flow ended with the earlier process; a reset notifies its caller.
                    Ordering::Less => Decision::Reset,
                    Ordering::Equal => Decision::Deliver,
                    Ordering::Greater => Decision::Drop("incarnation"),
                })
            }
            CapsuleKind::Untagged { .. } => Verdict::Continue,
        }
    }
}

impl Filter<ReceivedCapsule> for Ownership {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "ownership"
    }

    fn apply(&self, capsule: &mut ReceivedCapsule) -> Verdict<Decision> {
        let header = &capsule.header;
        let CapsuleKind::Untagged { key, phase, chain, step, hops, load } = header.kind else {
            return Verdict::Continue;
        };
        let expected = header.incarnation;
        let packet =
            ownership::UntaggedPacket { key, phase, chain: &chain, step, expected, hops, load };
        Verdict::Done(match self.table.decide(&packet, capsule.now) {
            ownership::Decision::Deliver => Decision::Deliver,
            ownership::Decision::Accept => {
                self.table.claim_won(key, capsule.now);
                Decision::Deliver
            }
            ownership::Decision::Claim => Decision::Claim,
            ownership::Decision::Wait => Decision::Wait,
            ownership::Decision::Reset => Decision::Reset,
            ownership::Decision::Drop(cause) => Decision::Drop(cause),
            ownership::Decision::Pass(next, step, load) => {
                Decision::Pass(next, Box::new(forwarded_header(header, next, step, load)))
            }
        })
    }
}
