//! What the packet path knows of each service.

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
        flow::{Hop, Key},
        ids::{Customer, Revision, Service as Name},
        key::ServiceDigest,
        placement::{Candidate, History},
        shards::Shards,
        tag::Cipher,
        time::Moment,
    },
    yuccacroft_wire::capsule::MacKey,
};

/// One service as the packet path uses it. It is replaced as a whole when it changes.
#[derive(Clone)]
pub struct Service {
    /// The customer whose service it is.
    pub customer: Customer,
    /// The name of the service.
    pub name: Name,
    /// Its name in capsules.
    pub digest: ServiceDigest,
    /// The revision of the contract.
    pub revision: Revision,
    /// Decodes owner tags.
    pub cipher: Cipher,
    /// Authenticates capsules.
    pub mac_key: MacKey,
    /// The members that take new flows, with earlier generations.
    pub history: History,
    flow: SipHasher24,
}

/// All services, found by the address that callers use or by the digest in capsules.
#[derive(Debug, Default)]
pub struct ServiceTable {
    addresses: Shards<SocketAddr, ServiceDigest>,
    digests: Shards<ServiceDigest, Arc<Service>>,
    generation: AtomicU64,
}

/// The services at one moment. A worker looks packets up in a view of its own, so that no packet
/// takes a lock or touches a count that other threads touch.
#[derive(Debug, Default)]
pub struct TableSnapshot {
    generation: u64,
    services: Vec<Arc<Service>>,
    addresses: HashMap<SocketAddr, ServiceIndex>,
    digests: HashMap<ServiceDigest, ServiceIndex>,
}

/// The place of a service in a [`TableSnapshot`]. It means nothing in another view.
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
            flow: SipHasher24::new_with_key(&derive("flow").halves().0),
            customer,
            name,
        }
    }

    /// Returns the flow key of an untagged packet.
    pub fn key(&self, id: &[u8]) -> Key {
        let mut hasher = self.flow;
        hasher.write(id);
        Key::new(hasher.finish())
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

    /// Finds the service behind an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Arc<Service>> {
        self.by_digest(self.addresses.get(&address)?)
    }

    /// Finds the service that a capsule names.
    pub fn by_digest(&self, digest: ServiceDigest) -> Option<Arc<Service>> {
        self.digests.get(&digest)
    }

    /// Returns a number that grows with every change.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Copies the tables. A change during the copy raises the generation above the one of the
    /// view, so that the next check finds it.
    pub fn view(&self) -> TableSnapshot {
        let mut view = TableSnapshot { generation: self.generation(), ..TableSnapshot::default() };
        view = self.digests.fold(view, |view, digest, service| view.with_digest(*digest, service));
        self.addresses.fold(view, |view, address, digest| view.with_address(*address, *digest))
    }

    /// Puts a contract in force and takes out the addresses that it no longer has.
    pub fn apply(&self, contract: &Contract<Accepted>, replaced: Option<&Contract<Accepted>>) {
        for terms in contract.terms() {
            let service = Service::new(contract, terms);
            let digest = service.digest;
            self.change(digest, |known| {
                let history = known.map(|known| known.history.clone()).unwrap_or_default();
                Some(Service { history, ..service.clone() })
            });
            for address in &terms.addresses {
                self.addresses.insert(*address, digest);
            }
        }
        if let Some(replaced) = replaced {
            self.withdraw(replaced, contract);
        }
        self.changed();
    }

    /// Makes a set of members the current generation of a service, and takes agents that left out
    /// of earlier ones.
    pub fn rebuild(
        &self,
        contract: &Contract<Accepted>,
        name: &Name,
        candidates: &[Candidate],
        left: &[Hop],
        now: Moment,
    ) {
        self.change(ServiceDigest::new(contract.customer(), name), |known| {
            let mut service = Service::clone(known?);
            let rebuilt = service.history.update(candidates, now);
            left.iter().for_each(|hop| service.history.remove_departed(*hop));
            rebuilt.then_some(service)
        });
    }

    /// Forgets earlier generations of a customer's services that were replaced long ago.
    pub fn expire(&self, contract: &Contract<Accepted>, now: Moment) {
        for terms in contract.terms() {
            self.change(ServiceDigest::new(contract.customer(), &terms.service), |known| {
                let known = known.filter(|known| known.history.has_previous_generation())?;
                let mut service = Service::clone(known);
                service.history.expire(now);
                Some(service)
            });
        }
    }

    /// Replaces a service. Tables are built outside of the lock that the packet path takes, so the
    /// change is repeated when another one came in between.
    fn change(
        &self,
        digest: ServiceDigest,
        next: impl Fn(Option<&Arc<Service>>) -> Option<Service>,
    ) {
        loop {
            let known = self.by_digest(digest);
            let Some(service) = next(known.as_ref()).map(Arc::new) else { return };
            let done = self.digests.update(digest, |slot| {
                let same = slot.as_ref().map(Arc::as_ptr) == known.as_ref().map(Arc::as_ptr);
                if same {
                    *slot = Some(service);
                }
                same
            });
            if done {
                return self.changed();
            }
        }
    }

    fn changed(&self) {
        self.generation.fetch_add(1, Ordering::Release);
    }

    fn withdraw(&self, replaced: &Contract<Accepted>, contract: &Contract<Accepted>) {
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
    /// Returns the generation of the routes from which the view was taken.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Finds the service behind an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<ServiceIndex> {
        self.addresses.get(&address).copied()
    }

    /// Finds the service that a capsule names.
    pub fn by_digest(&self, digest: ServiceDigest) -> Option<ServiceIndex> {
        self.digests.get(&digest).copied()
    }

    /// Returns a service of this view.
    pub fn service(&self, slot: ServiceIndex) -> &Service {
        &self.services[slot.0]
    }

    fn with_digest(mut self, digest: ServiceDigest, service: &Arc<Service>) -> Self {
        let slot = self.push(service);
        self.digests.insert(digest, slot);
        self
    }

    fn with_address(mut self, address: SocketAddr, digest: ServiceDigest) -> Self {
        // An address whose service is gone stays out.
        if let Some(slot) = self.by_digest(digest) {
            self.addresses.insert(address, slot);
        }
        self
    }

    fn push(&mut self, service: &Arc<Service>) -> ServiceIndex {
        self.services.push(service.clone());
        ServiceIndex(self.services.len() - 1)
    }
}
