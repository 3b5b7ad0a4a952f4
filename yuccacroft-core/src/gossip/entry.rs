//! The entries that gossip spreads, with their keys and versions.

use {
    super::peer::{NodeId, Peer},
    crate::{
        contract::{Accepted, Contract},
        ids::{Customer, Domain, Instance},
        member::{Liveness, MemberPhase, MemberRecord, Outage},
        rendezvous,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Number of low bits of a minor version that hold the liveness.
const LIVENESS_BITS: u32 = 2;
/// Approximate encoded size of a member, peer or outage entry without its names.
const BASE_BYTES: usize = 48;
/// Approximate encoded size of a contract without its services.
const CONTRACT_BYTES: usize = 128;
/// Approximate encoded size of the terms of one service without its addresses.
const TERMS_BYTES: usize = 96;
/// Approximate encoded size of one address.
const ADDRESS_BYTES: usize = 24;

/// A piece of state that is replicated to every balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipEntry {
    /// The contract of a customer.
    Contract(Arc<Contract<Accepted>>),
    /// A member with its liveness.
    Member(Arc<MemberRecord>),
    /// The entry of a balancer.
    Peer(Arc<Peer>),
    /// The state of a whole failure domain.
    Outage(Outage),
}

/// The subject of an entry. Entries with the same key are versions of each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKey {
    /// The contract of a customer.
    Contract(Customer),
    /// A member at an address.
    Member(Instance),
    /// A balancer at an address.
    Peer(NodeId),
    /// A failure domain.
    Outage(Domain),
}

/// The version of an entry. An entry is only replaced by one of a higher version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EntryVersion {
    /// The revision, incarnation or epoch.
    pub major: u64,
    /// The number of changes within `major`, with the liveness in the low bits.
    pub minor: u64,
}

impl EntryKey {
    /// Returns the digest that identifies the key in messages.
    pub fn digest(&self) -> u64 {
        rendezvous::digest(self)
    }
}

impl GossipEntry {
    /// Returns the key of the entry.
    pub fn key(&self) -> EntryKey {
        match self {
            Self::Contract(contract) => EntryKey::Contract(contract.customer().clone()),
            Self::Member(record) => EntryKey::Member(record.entry.instance),
            Self::Peer(peer) => EntryKey::Peer(peer.node),
            Self::Outage(outage) => EntryKey::Outage(outage.domain.clone()),
        }
    }

    /// Returns the version of the entry.
    pub fn version(&self) -> EntryVersion {
        let minor = |version: u32, liveness: Liveness| {
            u64::from(version) << LIVENESS_BITS | liveness as u64
        };
        match self {
            Self::Contract(contract) => EntryVersion { major: contract.revision().get(), minor: 0 },
            Self::Member(record) => EntryVersion {
                major: record.entry.incarnation.get(),
                minor: minor(record.entry.version, record.standing),
            },
            Self::Peer(peer) => EntryVersion {
                major: peer.incarnation.get(),
                minor: minor(peer.version, peer.standing),
            },
            Self::Outage(outage) => EntryVersion { major: outage.epoch, minor: 0 },
        }
    }

    /// Returns true if the entry is a tombstone: a member that has left or is lost, or a balancer
    /// that is lost.
    pub fn is_tombstone(&self) -> bool {
        match self {
            Self::Contract(_) | Self::Outage(_) => false,
            Self::Member(record) => {
                record.standing == Liveness::Lost || record.entry.phase == MemberPhase::Left
            }
            Self::Peer(peer) => peer.standing == Liveness::Lost,
        }
    }

    /// Estimates the encoded size in bytes, to limit messages before they are encoded.
    pub fn estimated_size(&self) -> usize {
        match self {
            Self::Contract(contract) => {
                let terms = contract.terms().iter();
                CONTRACT_BYTES
                    + terms.map(|t| TERMS_BYTES + t.addresses.len() * ADDRESS_BYTES).sum::<usize>()
            }
            Self::Member(record) => {
                let entry = &record.entry;
                let names =
                    [entry.customer.as_str(), entry.service.as_str(), entry.domain.as_str()];
                BASE_BYTES + names.iter().map(|name| name.len()).sum::<usize>()
            }
            Self::Peer(peer) => BASE_BYTES + peer.domain.as_str().len(),
            Self::Outage(outage) => BASE_BYTES + outage.domain.as_str().len(),
        }
    }
}
