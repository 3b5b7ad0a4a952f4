//! The way of replies when balancers fall silent.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        reply::Balancers,
        time::{Moment, Span},
    },
};

fn balancer(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), number)
}

fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

/// Guards against replies that go to a dead balancer while others live.
#[test]
fn replies_leave_a_silent_balancer() {
    let balancers = Balancers::new();
    balancers.record_packet(balancer(1), at(0));
    balancers.record_packet(balancer(2), at(900));
    balancers.record_packet(balancer(3), at(800));
    assert_eq!(balancers.choose(balancer(1), at(1_000)), balancer(1));
    assert_eq!(balancers.choose(balancer(1), at(1_001)), balancer(2));
}

/// Guards against a quiet service that takes all balancers for dead.
#[test]
fn replies_stay_when_all_are_silent() {
    let balancers = Balancers::new();
    balancers.record_packet(balancer(1), at(0));
    balancers.record_packet(balancer(2), at(900));
    assert_eq!(balancers.choose(balancer(1), at(5_000)), balancer(1));
}
