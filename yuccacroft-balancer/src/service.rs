//! What the packet path knows of each service.

use {
    siphasher::sip::SipHasher24,
    std::{
        fmt::{Debug, Formatter},
        hash::Hasher,
        net::SocketAddr,
        sync::Arc,
    },
    yuccacroft_core::{
        contract::{Accepted, Contract, Terms},
        flow::Key,
        ids::{Customer, Revision, Service as Name},
        key::Digest,
        placement::{Candidate, History, Table},
        shards::Shards,
        tag::Cipher,
    },
    yuccacroft_wire::capsule::Seal,
};

/// One service as the packet path uses it. It is replaced as a whole when it changes.
#[derive(Clone)]
pub struct Service {
    /// The customer whose service it is.
    pub customer: Customer,
    /// The name of the service.
    pub name: Name,
    /// Its name in capsules.
    pub digest: Digest,
    /// The revision of the contract.
    pub revision: Revision,
    /// Decodes owner tags.
    pub cipher: Cipher,
    /// Authenticates capsules.
    pub seal: Seal,
    /// The members that take new flows, with earlier generations.
    pub history: History,
    flow: SipHasher24,
}

/// All services, found by the address that callers use or by the digest in capsules.
#[derive(Debug, Default)]
pub struct Routes {
    addresses: Shards<SocketAddr, Arc<Service>>,
    digests: Shards<Digest, Arc<Service>>,
}

impl Service {
    /// Derives the keys of a service from its contract.
    pub fn new(contract: &Contract<Accepted>, terms: &Terms) -> Self {
        let (customer, name) = (contract.customer().clone(), terms.service.clone());
        let derive = |purpose| contract.key().derive(purpose, &customer, &name);
        Self {
            digest: Digest::new(&customer, &name),
            revision: contract.revision(),
            cipher: Cipher::new(&derive("tag")),
            seal: Seal::new(&derive("capsule")),
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

impl Routes {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Finds the service behind an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Arc<Service>> {
        self.addresses.get(&address)
    }

    /// Finds the service that a capsule names.
    pub fn by_digest(&self, digest: Digest) -> Option<Arc<Service>> {
        self.digests.get(&digest)
    }

    /// Puts a contract in force and takes out the addresses that it no longer has.
    pub fn apply(&self, contract: &Contract<Accepted>, replaced: Option<&Contract<Accepted>>) {
        for terms in contract.terms() {
            let mut service = Service::new(contract, terms);
            if let Some(known) = self.by_digest(service.digest) {
                service.history = known.history.clone();
            }
            let service = Arc::new(service);
            self.digests.insert(service.digest, service.clone());
            for address in &terms.addresses {
                self.addresses.insert(*address, service.clone());
            }
        }
        if let Some(replaced) = replaced {
            self.withdraw(replaced, contract);
        }
    }

    /// Makes a set of members the current generation of a service.
    pub fn rebuild(&self, contract: &Contract<Accepted>, name: &Name, candidates: &[Candidate]) {
        let Some(terms) = contract.service(name) else { return };
        let digest = Digest::new(contract.customer(), name);
        let Some(known) = self.by_digest(digest) else { return };
        let mut service = Service::clone(&known);
        service.history.push(Table::new(candidates));
        let service = Arc::new(service);
        self.digests.insert(digest, service.clone());
        for address in &terms.addresses {
            self.addresses.insert(*address, service.clone());
        }
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
                self.digests.remove(&Digest::new(replaced.customer(), &terms.service));
            }
        }
    }
}
