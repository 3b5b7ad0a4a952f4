//! The case `control`: the time from the acceptance of a contract change until it is in force on
//! all balancers, with the network traffic and the store calls that this takes. The controllers of
//! the processes run in virtual time.

mod traffic;

use {
    crate::figure::{Report, Target},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Instant},
    yuccacroft_core::{
        contract::{Accepted, Contract},
        gossip::exchange,
        ids::{ChangeId, Customer, Revision},
        key::Secret,
        time::{Moment, Span},
    },
    yuccacroft_fakes::fleet::{Fleet, FleetConfig},
};

const CASE: &str = "control";
/// The numbers of balancers and failure domains of each fleet, from the current size to the planned
/// one.
const FLEETS: [(usize, usize); 4] = [(3, 3), (30, 13), (300, 13), (1_700, 13)];
/// The largest number of balancers to which the bound of the current fleet applies.
const CURRENT_BALANCERS: usize = 30;
const CURRENT_BOUND_S: f64 = 5.0;
const PLANNED_BOUND_S: f64 = 12.0;
const MAX_UPDATE_DELAY: Span = Span::from_secs(5);
const LOSS_PROBABILITY: f64 = 0.2;
const NETWORK_DELAY: Span = Span::from_millis(100);
/// The number of changes in one run. Large fleets get fewer, so that the case takes less than a
/// minute.
const CHANGES_PER_RUN: usize = 20;
const CHANGES_PER_LARGE_RUN: usize = 6;
/// The time between two changes, which makes 2,500 changes per day.
const CHANGE_INTERVAL: Span = Span::from_millis(34_560);
const SETTLING_TIME: Span = Span::from_secs(20);
const MAX_BYTES_PER_SECOND: f64 = 4_000.0;
/// The store calls of each reader of a failure domain: a listing and a watch.
const CALLS_PER_READER: f64 = 2.0;
const READERS_PER_DOMAIN: usize = 2;

/// One way to distribute contracts to the balancers.
struct Variant {
    name: &'static str,
    /// Whether every balancer watches the store and none of them gossips.
    all_watch_store: bool,
    /// Whether updates are delayed and messages are lost.
    is_delayed: bool,
}

const VARIANTS: [Variant; 3] = [
    Variant { name: "gossip", all_watch_store: false, is_delayed: false },
    Variant { name: "gossip_late", all_watch_store: false, is_delayed: true },
    Variant { name: "all_watch_late", all_watch_store: true, is_delayed: true },
];

/// Runs the case.
pub fn run(seed: u64) -> Report {
    // The runs share no state and use virtual time, so running them in parallel changes none of
    // the figures except `run_s`.
    std::thread::scope(|scope| {
        let mut runs = Vec::new();
        for (balancers, domains) in FLEETS {
            for variant in &VARIANTS {
                runs.push(scope.spawn(move || measure(variant, balancers, domains, seed)));
            }
        }
        runs.push(scope.spawn(move || traffic::measure(seed)));
        let mut report = Report::new(CASE);
        for run in runs {
            report.append(run.join().expect("a run does not panic"));
        }
        report
    })
}

/// Measures one variant with one fleet.
fn measure(variant: &Variant, balancers: usize, domains: usize, seed: u64) -> Report {
    let mut report = Report::new(CASE);
    let begin = Instant::now();
    let mut fleet = Fleet::new(plan(variant, balancers, domains, seed));
    fleet.run(SETTLING_TIME);
    let calls = fleet.contract_store().calls().len();
    let before: Vec<u64> = fleet.traffic_bytes().collect();
    let since = fleet.now();
    let accepted = submit_changes(&mut fleet, balancers, seed);
    let seconds = fleet.now().since(since).as_micros() as f64 / 1e6;
    let times = convergence_seconds(&fleet, &accepted, balancers);
    let bytes = fleet.traffic_bytes().zip(before).map(|(now, before)| now - before);
    let rates: Vec<f64> = bytes.map(|bytes| bytes as f64 / seconds).collect();
    let later_calls = fleet.contract_store().calls().len() - calls;
    let name = format!("{}_{balancers}", variant.name);
    let bound = if balancers <= CURRENT_BALANCERS { CURRENT_BOUND_S } else { PLANNED_BOUND_S };
    let unless_baseline = |target| if variant.all_watch_store { Target::None } else { target };
    report.add(&name, "median_s", times[times.len() / 2], Target::None);
    report.add(&name, "worst_s", times[times.len() - 1], unless_baseline(Target::AtMost(bound)));
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    report.add(
        &name,
        "bytes_per_s_mean",
        mean,
        unless_baseline(Target::AtMost(MAX_BYTES_PER_SECOND)),
    );
    report.add(&name, "bytes_per_s_worst", rates.iter().copied().fold(0.0, f64::max), Target::None);
    let max_calls = (domains * READERS_PER_DOMAIN) as f64 * CALLS_PER_READER;
    report.add(
        &name,
        "store_calls_start",
        calls as f64,
        unless_baseline(Target::AtMost(max_calls)),
    );
    report.add(&name, "store_calls_per_s", later_calls as f64 / seconds, Target::None);
    report.add(&name, "run_s", begin.elapsed().as_secs_f64(), Target::None);
    report
}

fn plan(variant: &Variant, balancers: usize, domains: usize, seed: u64) -> FleetConfig {
    let (max_update_delay, loss) = if variant.is_delayed {
        (MAX_UPDATE_DELAY, LOSS_PROBABILITY)
    } else {
        (NETWORK_DELAY, 0.0)
    };
    FleetConfig {
        balancers,
        domains,
        max_delay: NETWORK_DELAY,
        max_update_delay,
        loss,
        all_watch_store: variant.all_watch_store,
        exchange: exchange_settings(variant),
        seed,
        ..FleetConfig::default()
    }
}

/// Returns the settings of the exchange. In the baseline the balancers send no contracts to each
/// other.
fn exchange_settings(variant: &Variant) -> exchange::GossipSettings {
    let settings = exchange::GossipSettings::default();
    if variant.all_watch_store {
        exchange::GossipSettings {
            urgent_pushes: 0,
            other_pushes: 0,
            repair_interval: Span::ZERO,
            ..settings
        }
    } else {
        settings
    }
}

/// Submits changes at a fixed interval and returns the time at which each was accepted.
fn submit_changes(fleet: &mut Fleet, balancers: usize, seed: u64) -> BTreeMap<Revision, Moment> {
    let mut rng = StdRng::seed_from_u64(seed);
    let changes = if balancers >= 300 { CHANGES_PER_LARGE_RUN } else { CHANGES_PER_RUN };
    let mut accepted = BTreeMap::new();
    for number in 0..changes {
        let revision = Revision::new(1 + number as u64);
        accepted.insert(revision, fleet.now());
        fleet.submit(rng.random_range(0..balancers), contract(revision));
        fleet.run(CHANGE_INTERVAL);
    }
    accepted
}

/// Returns the sorted times, in seconds, from the acceptance of each change until all balancers have
/// that change or a later one of the same customer in force. For a balancer that has not received
/// it, the time until now counts.
fn convergence_seconds(
    fleet: &Fleet,
    accepted: &BTreeMap<Revision, Moment>,
    balancers: usize,
) -> Vec<f64> {
    let mut times: Vec<f64> = Vec::new();
    for (revision, at) in accepted {
        let mut first: Vec<Option<Moment>> = vec![None; balancers];
        for (applied, index, moment) in fleet.applied() {
            if applied >= revision && first[*index].is_none_or(|known| known > *moment) {
                first[*index] = Some(*moment);
            }
        }
        let last = first.into_iter().map(|moment| moment.unwrap_or(fleet.now())).max();
        times.push(last.unwrap_or(fleet.now()).since(*at).as_micros() as f64 / 1e6);
    }
    times.sort_by(f64::total_cmp);
    times
}

/// Builds a contract of typical size: three services with four addresses each.
pub fn contract(revision: Revision) -> Contract<Accepted> {
    contract_of(&"kampvuur".parse().expect("the name is well-formed"), revision)
}

/// Builds a contract of the same size for the given customer.
pub fn contract_of(customer: &Customer, revision: Revision) -> Contract<Accepted> {
    let key = Secret::new([7; 32]);
    let mut text = format!("[customer]\nname = {customer}\nkey = {key}\ncapacity = 300\n");
    for service in 0..3 {
        let addresses: Vec<_> = (0..4).map(|host| format!("10.40.{service}.{host}:4433")).collect();
        text += &format!(
            "\n[service service-{service}]\naddresses = {}\nslots = 4\nconnections = 2000\n\
             upstreams_max = 7\nshare = 28\n",
            addresses.join(", ")
        );
    }
    let checked = Contract::parse("bench", &text).and_then(|draft| draft.check("bench"));
    checked.expect("the contract is valid").accept(revision, ChangeId::new(revision.get().into()))
}
