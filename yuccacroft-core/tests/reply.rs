//! Selection of the balancer for replies when balancers become silent.

use {
    std::net::SocketAddrV4,
    yuccacroft_core::{
        reply::RecentBalancers,
        time::{Moment, Span},
    },
};

fn balancer(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), number)
}

fn at(millis: u64) -> Moment {
    Moment::default() + Span::from_millis(millis)
}

/// Guards against replies through a dead balancer while others are active.
#[test]
fn replies_avoid_a_silent_balancer() {
    let balancers = RecentBalancers::new();
    balancers.record_packet(balancer(1), at(0));
    balancers.record_packet(balancer(2), at(900));
    balancers.record_packet(balancer(3), at(800));
    assert_eq!(balancers.choose(balancer(1), at(1_000)), balancer(1));
    assert_eq!(balancers.choose(balancer(1), at(1_001)), balancer(2));
}

/// Guards against changing the balancer when all are silent because the service receives no
/// traffic.
#[test]
fn replies_keep_their_balancer_when_all_are_silent() {
    let balancers = RecentBalancers::new();
    balancers.record_packet(balancer(1), at(0));
    balancers.record_packet(balancer(2), at(900));
    assert_eq!(balancers.choose(balancer(1), at(5_000)), balancer(1));
}
