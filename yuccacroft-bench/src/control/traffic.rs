//! The control traffic of one balancer at the change rates of the planned fleet size.
//!
//! The traffic of a balancer depends on the change rates of the whole fleet and on the number of
//! agents per balancer, but not on the number of balancers. It is therefore measured on a smaller
//! fleet that has the same ratio of agents to balancers and the change rates of the whole fleet.

use {
    super::{MAX_BYTES_PER_SECOND, NETWORK_DELAY, contract},
    crate::figure::{Report, Target},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::net::{Ipv4Addr, SocketAddrV4},
    yuccacroft_core::{
        ids::{Incarnation, Instance, Revision},
        member::{MemberEntry, MemberPhase, membership::FailureTimeouts},
        time::Span,
        units::Weight,
    },
    yuccacroft_fakes::fleet::{Fleet, FleetConfig, domain},
};

const BALANCERS: usize = 170;
/// The planned size is 15,000 upstreams with 1,700 balancers; the ratio is the same here.
const AGENTS: usize = 1_500;
const DOMAINS: usize = 13;
const ANNOUNCE_INTERVAL: Span = Span::from_secs(4);
const MINUTES: u32 = 3;
/// 3,900 instances are replaced per day, each with eight versions of its entry: three phases and five
/// weights during the warm-up.
const MEMBER_CHANGES_PER_MINUTE: f64 = 3_900.0 * 8.0 / 1_440.0;
/// 2,500 changes per day.
const CONTRACT_CHANGES_PER_MINUTE: f64 = 2_500.0 / 1_440.0;
const STEP: Span = Span::from_millis(500);
const STEPS_PER_MINUTE: u32 = 120;

/// Measures the bytes per second that one balancer sends and receives.
pub fn measure(seed: u64) -> Report {
    let mut report = Report::new(super::CASE);
    let mut fleet = Fleet::new(plan(seed));
    fleet.add_known_agents((0..AGENTS).map(entry).collect());
    fleet.run(Span::from_secs(30));
    let before: Vec<u64> = fleet.traffic_bytes().collect();
    apply_changes(&mut fleet, seed);
    let seconds = f64::from(MINUTES) * 60.0;
    let bytes =
        fleet.traffic_bytes().zip(before).map(|(now, before)| (now - before) as f64 / seconds);
    let rates: Vec<f64> = bytes.collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let bound = Target::AtMost(MAX_BYTES_PER_SECOND);
    report.add("coming_rates", "bytes_per_s_mean", mean, bound);
    let worst = rates.iter().copied().fold(0.0, f64::max);
    report.add("coming_rates", "bytes_per_s_worst", worst, bound);
    report
}

fn plan(seed: u64) -> FleetConfig {
    // Twice the timeouts used with announcements every two seconds.
    let failure_timeouts = FailureTimeouts {
        suspect_after: Span::from_secs(10),
        lost_after: Span::from_secs(20),
        ..FailureTimeouts::default()
    };
    let (max_delay, max_update_delay) = (NETWORK_DELAY, NETWORK_DELAY);
    FleetConfig {
        balancers: BALANCERS,
        domains: DOMAINS,
        announce_interval: ANNOUNCE_INTERVAL,
        max_delay,
        max_update_delay,
        failure_timeouts,
        seed,
        ..FleetConfig::default()
    }
}

/// Applies changes of members and contracts at random, at the rates given above.
fn apply_changes(fleet: &mut Fleet, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut revision = 0;
    let steps = f64::from(STEPS_PER_MINUTE);
    for _ in 0..MINUTES * STEPS_PER_MINUTE {
        if rng.random_bool(MEMBER_CHANGES_PER_MINUTE / steps) {
            let instance = entry(rng.random_range(0..AGENTS)).instance;
            fleet.change_agent(instance, |entry| {
                entry.weight = Weight::new(rng.random_range(1..100))
            });
        }
        if rng.random_bool(CONTRACT_CHANGES_PER_MINUTE / steps) {
            revision += 1;
            let balancer = rng.random_range(0..BALANCERS);
            fleet.submit(balancer, contract(Revision::new(revision)));
        }
        fleet.run(STEP);
    }
}

fn entry(index: usize) -> MemberEntry {
    let ip = Ipv4Addr::from_bits(0x0a80_0000 + index as u32);
    MemberEntry {
        customer: "kampvuur".parse().expect("the name is well-formed"),
        service: "booking".parse().expect("the name is well-formed"),
        instance: Instance::new(SocketAddrV4::new(ip, 9_000)),
        incarnation: Incarnation::new(1_700_000_000_000),
        version: 1,
        domain: domain(index % DOMAINS),
        weight: Weight::new(100),
        phase: MemberPhase::Serving,
    }
}
