//! The table of services that the packet path uses.

use {
    siphasher::sip::SipHasher24,
    std::{
        collections::HashMap,
        fmt::{Debug, Formatter},
        hash::Hasher,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    yuccacroft_core::{
        contract::{Accepted, Contract, Terms},
        flow::{AgentId, FlowKey},
        ids::{Customer, Revision, Service as Name},
        key::ServiceDigest,
        placement::{Candidate, History},
        shards::Shards,
        tag::Cipher,
        time::Moment,
    },
    yuccacroft_wire::capsule::MacKey,
};

/// A service as the packet path uses it. A change replaces it as a whole.
#[derive(Clone)]
pub struct Service {
    /// The customer that owns the service.
    pub customer: Customer,
    /// The name of the service.
    pub name: Name,
    /// The digest that names the service in capsules.
    pub digest: ServiceDigest,
    /// The revision of the contract in force.
    pub revision: Revision,
    /// The cipher that decodes owner tags.
    pub cipher: Cipher,
    /// The key that authenticates capsules.
    pub mac_key: MacKey,
    /// The members that accept new flows, in the current and earlier generations.
    pub history: History,
    flow_hasher: SipHasher24,
}

/// All services, by the address that callers use and by the digest in capsules.
#[derive(Debug, Default)]
pub struct ServiceTable {
    addresses: Shards<SocketAddr, ServiceDigest>,
    digests: Shards<ServiceDigest, Arc<Service>>,
    generation: AtomicU64,
}

/// A copy of the services at one moment. Each worker has its own snapshot, so that no packet takes
/// a lock or changes a reference count that other threads use.
#[derive(Debug, Default)]
pub struct TableSnapshot {
    generation: u64,
    services: Vec<Arc<Service>>,
    addresses: HashMap<SocketAddr, ServiceIndex>,
    digests: HashMap<ServiceDigest, ServiceIndex>,
}

/// The index of a service in a [`TableSnapshot`]; it is valid in that snapshot only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceIndex(usize);

impl Service {
    /// Derives the keys of a service from its contract.
    pub fn new(contract: &Contract<Accepted>, terms: &Terms) -> Self {
        let (customer, name) = (contract.customer().clone(), terms.service.clone());
        let derive = |purpose| contract.key().derive(purpose, &customer, &name);
        Self {
            digest: ServiceDigest::new(&customer, &name),
            revision: contract.revision(),
            cipher: Cipher::new(&derive("tag")),
            mac_key: MacKey::new(&derive("capsule")),
            history: History::new(),
            flow_hasher: SipHasher24::new_with_key(&derive("flow").halves().0),
            customer,
            name,
        }
    }

    /// Returns the flow key of an untagged packet.
    pub fn flow_key(&self, id: &[u8]) -> FlowKey {
        let mut hasher = self.flow_hasher;
        hasher.write(id);
        FlowKey::new(hasher.finish())
    }
}

impl Debug for Service {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "Service({}/{})", self.customer, self.name)
    }
}

impl ServiceTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the service with an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Arc<Service>> {
        self.by_digest(self.addresses.get(&address)?)
    }

    /// Returns the service with a digest.
    pub fn by_digest(&self, digest: ServiceDigest) -> Option<Arc<Service>> {
        self.digests.get(&digest)
    }

    /// Returns the generation of the table, which every change increases.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Returns a copy of the table. A change during the copy raises the generation above the one of
    /// the snapshot, so that the next check detects it.
    pub fn snapshot(&self) -> TableSnapshot {
        let mut snapshot =
            TableSnapshot { generation: self.generation(), ..TableSnapshot::default() };
        snapshot = self
            .digests
            .fold(snapshot, |snapshot, digest, service| snapshot.with_digest(*digest, service));
        self.addresses
            .fold(snapshot, |snapshot, address, digest| snapshot.with_address(*address, *digest))
    }

    /// Adds the services of a contract and removes the services and addresses that only the
    /// replaced contract has.
    pub fn apply_contract(
        &self,
        contract: &Contract<Accepted>,
        replaced: Option<&Contract<Accepted>>,
    ) {
        for terms in contract.terms() {
            let service = Service::new(contract, terms);
            let digest = service.digest;
            self.replace(digest, |known| {
                let history = known.map(|known| known.history.clone()).unwrap_or_default();
                Some(Service { history, ..service.clone() })
            });
            for address in &terms.addresses {
                self.addresses.insert(*address, digest);
            }
        }
        if let Some(replaced) = replaced {
            self.remove_withdrawn(replaced, contract);
        }
        self.advance_generation();
    }

    /// Makes a set of members the current generation of a service and removes departed agents from
    /// earlier ones.
    pub fn update_members(
        &self,
        contract: &Contract<Accepted>,
        name: &Name,
        candidates: &[Candidate],
        departed: &[AgentId],
        now: Moment,
    ) {
        self.replace(ServiceDigest::new(contract.customer(), name), |known| {
            let mut service = Service::clone(known?);
            let is_updated = service.history.update(candidates, now);
            departed.iter().for_each(|agent_id| service.history.remove_departed(*agent_id));
            is_updated.then_some(service)
        });
    }

    /// Removes expired generations from the services of a contract.
    pub fn expire(&self, contract: &Contract<Accepted>, now: Moment) {
        for terms in contract.terms() {
            self.replace(ServiceDigest::new(contract.customer(), &terms.service), |known| {
                let known = known.filter(|known| known.history.has_previous_generation())?;
                let mut service = Service::clone(known);
                service.history.expire(now);
                Some(service)
            });
        }
    }

    /// Replaces a service with the result of `next`, if any. Placement tables are built outside the
    /// lock that the packet path takes, so the change is repeated if another one happened in
    /// between.
    fn replace(
        &self,
        digest: ServiceDigest,
        next: impl Fn(Option<&Arc<Service>>) -> Option<Service>,
    ) {
        loop {
            let known = self.by_digest(digest);
            let Some(service) = next(known.as_ref()).map(Arc::new) else { return };
            let is_replaced = self.digests.update(digest, |entry| {
                let is_unchanged =
                    entry.as_ref().map(Arc::as_ptr) == known.as_ref().map(Arc::as_ptr);
                if is_unchanged {
                    *entry = Some(service);
                }
                is_unchanged
            });
            if is_replaced {
                return self.advance_generation();
            }
        }
    }

    fn advance_generation(&self) {
        self.generation.fetch_add(1, Ordering::Release);
    }

    fn remove_withdrawn(&self, replaced: &Contract<Accepted>, contract: &Contract<Accepted>) {
        for terms in replaced.terms() {
            let current = contract.service(&terms.service);
            for address in &terms.addresses {
                if !contract.terms().iter().any(|terms| terms.addresses.contains(address)) {
                    self.addresses.remove(address);
                }
            }
            if current.is_none() {
                self.digests.remove(&ServiceDigest::new(replaced.customer(), &terms.service));
            }
        }
    }
}

impl TableSnapshot {
    /// Returns the generation of the table when the snapshot was taken.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the service with an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<ServiceIndex> {
        self.addresses.get(&address).copied()
    }

    /// Returns the service with a digest.
    pub fn by_digest(&self, digest: ServiceDigest) -> Option<ServiceIndex> {
        self.digests.get(&digest).copied()
    }

    /// Returns a service of this snapshot.
    pub fn service(&self, index: ServiceIndex) -> &Service {
        &self.services[index.0]
    }

    fn with_digest(mut self, digest: ServiceDigest, service: &Arc<Service>) -> Self {
        let index = self.push(service);
        self.digests.insert(digest, index);
        self
    }

    fn with_address(mut self, address: SocketAddr, digest: ServiceDigest) -> Self {
        // An address whose service was removed is skipped.
        if let Some(index) = self.by_digest(digest) {
            self.addresses.insert(address, index);
        }
        self
    }

    fn push(&mut self, service: &Arc<Service>) -> ServiceIndex {
        self.services.push(service.clone());
        ServiceIndex(self.services.len() - 1)
    }
}
