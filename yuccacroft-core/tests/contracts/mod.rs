//! Sample contracts and members for the tests of the controllers.
#![allow(dead_code)]

use {
    std::net::{Ipv4Addr, SocketAddrV4},
    yuccacroft_core::{
        contract::{
            Accepted, Checked, Contract,
            change::{Origin, StoredContract},
        },
        ids::{ChangeId, Customer, Incarnation, Instance, Revision},
        key::Secret,
        member::{MemberEntry, MemberPhase},
        units::Weight,
    },
    yuccacroft_fakes::fleet,
};

pub fn customer() -> Customer {
    "kampvuur".parse().unwrap()
}

/// Creates a valid contract with the given services.
pub fn checked(services: &[&str]) -> Contract<Checked> {
    let key = Secret::new([7; 32]);
    let mut text = format!("[customer]\nname = kampvuur\nkey = {key}\ncapacity = 300\n");
    for (index, service) in services.iter().enumerate() {
        text += &format!(
            "\n[service {service}]\naddresses = 10.0.0.{index}:443\nslots = 4\n\
             connections = 2000\nupstreams_max = 7\nshare = 28\n"
        );
    }
    Contract::parse("test", &text).unwrap().check("test").unwrap()
}

pub fn accepted(revision: u64) -> Contract<Accepted> {
    checked(&["booking"]).accept(Revision::new(revision), ChangeId::new(revision.into()))
}

pub fn stored(
    services: &[&str],
    revision: u64,
    change: ChangeId,
    current: Option<&StoredContract>,
) -> StoredContract {
    let contract = checked(services).accept(Revision::new(revision), change);
    StoredContract { contract, origin: Origin::new(change, current) }
}

pub fn instance(index: usize) -> Instance {
    let ip = Ipv4Addr::from_bits(0x0a80_0000 + index as u32);
    Instance::new(SocketAddrV4::new(ip, 9_000))
}

/// Creates the entry of the agent with an index in a failure domain.
pub fn entry(index: usize, domain: usize) -> MemberEntry {
    MemberEntry {
        customer: customer(),
        service: "booking".parse().unwrap(),
        instance: instance(index),
        incarnation: Incarnation::new(1_000),
        version: 1,
        domain: fleet::domain(domain),
        weight: Weight::new(100),
        phase: MemberPhase::Serving,
    }
}
