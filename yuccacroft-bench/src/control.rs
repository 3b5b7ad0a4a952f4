//! The time from the acceptance of a contract change until it is in force on the last balancer,
//! and what that costs, with the controllers of the processes under virtual time.

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
/// Sizes of the fleet with the failure domains of each: today, in between, and to come.
const FLEETS: [(usize, usize); 4] = [(3, 3), (30, 13), (300, 13), (1_700, 13)];
/// Balancers up to which the bound of today applies.
const TODAY: usize = 30;
const BOUND_TODAY_S: f64 = 5.0;
const BOUND_COMING_S: f64 = 12.0;
const LATE: Span = Span::from_secs(5);
const LOSS: f64 = 0.2;
const NETWORK: Span = Span::from_millis(100);
/// Changes of one run. The largest fleet gets fewer, so that the case stays under a minute.
const CHANGES: usize = 20;
const CHANGES_LARGE: usize = 6;
/// Time between two changes: 2,500 a day.
const BETWEEN: Span = Span::from_millis(34_560);
const SETTLE: Span = Span::from_secs(20);
const BYTES_PER_SECOND: f64 = 4_000.0;
/// Calls that two readers of each failure domain need: a listing and a watch each.
const CALLS_PER_READER: f64 = 2.0;
const READERS_PER_DOMAIN: usize = 2;

/// One way to spread contracts.
struct Variant {
    name: &'static str,
    everyone: bool,
    late: bool,
}

const VARIANTS: [Variant; 3] = [
    Variant { name: "gossip", everyone: false, late: false },
    Variant { name: "gossip_late", everyone: false, late: true },
    Variant { name: "all_watch_late", everyone: true, late: true },
];

/// Runs the case.
pub fn run(seed: u64) -> Report {
    // The runs share nothing and follow virtual time, so that running them side by side changes no
    // figure but their own duration.
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
            report.append(run.join().expect("a run ends without a panic"));
        }
        report
    })
}

fn measure(variant: &Variant, balancers: usize, domains: usize, seed: u64) -> Report {
    let mut report = Report::new(CASE);
    let begin = Instant::now();
    let mut fleet = Fleet::new(plan(variant, balancers, domains, seed));
    fleet.run(SETTLE);
    let calls = fleet.contract_store().calls().len();
    let before: Vec<u64> = fleet.traffic_bytes().collect();
    let since = fleet.now();
    let accepted = change(&mut fleet, balancers, seed);
    let seconds = fleet.now().since(since).as_micros() as f64 / 1e6;
    let times = last_times(&fleet, &accepted, balancers);
    let bytes = fleet.traffic_bytes().zip(before).map(|(now, before)| now - before);
    let rates: Vec<f64> = bytes.map(|bytes| bytes as f64 / seconds).collect();
    let later = fleet.contract_store().calls().len() - calls;
    let name = format!("{}_{balancers}", variant.name);
    let bound = if balancers <= TODAY { BOUND_TODAY_S } else { BOUND_COMING_S };
    let judged = |target| if variant.everyone { Target::None } else { target };
    report.add(&name, "median_s", times[times.len() / 2], Target::None);
    report.add(&name, "worst_s", times[times.len() - 1], judged(Target::AtMost(bound)));
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    report.add(&name, "bytes_per_s_mean", mean, judged(Target::AtMost(BYTES_PER_SECOND)));
    report.add(&name, "bytes_per_s_worst", rates.iter().copied().fold(0.0, f64::max), Target::None);
    let most = (domains * READERS_PER_DOMAIN) as f64 * CALLS_PER_READER;
    report.add(&name, "store_calls_start", calls as f64, judged(Target::AtMost(most)));
    report.add(&name, "store_calls_per_s", later as f64 / seconds, Target::None);
    report.add(&name, "run_s", begin.elapsed().as_secs_f64(), Target::None);
    report
}

fn plan(variant: &Variant, balancers: usize, domains: usize, seed: u64) -> FleetConfig {
    let (max_update_delay, loss) = if variant.late { (LATE, LOSS) } else { (NETWORK, 0.0) };
    FleetConfig {
        balancers,
        domains,
        max_delay: NETWORK,
        max_update_delay,
        loss,
        all_watch_store: variant.everyone,
        exchange: settings(variant),
        seed,
        ..FleetConfig::default()
    }
}

/// The baseline spreads nothing between processes.
fn settings(variant: &Variant) -> exchange::Settings {
    let settings = exchange::Settings::default();
    if variant.everyone {
        exchange::Settings {
            urgent_pushes: 0,
            other_pushes: 0,
            repair_interval: Span::ZERO,
            ..settings
        }
    } else {
        settings
    }
}

/// Submits changes one after the other and returns when each was accepted.
fn change(fleet: &mut Fleet, balancers: usize, seed: u64) -> BTreeMap<Revision, Moment> {
    let mut rng = StdRng::seed_from_u64(seed);
    let changes = if balancers >= 300 { CHANGES_LARGE } else { CHANGES };
    let mut accepted = BTreeMap::new();
    for number in 0..changes {
        let revision = Revision::new(1 + number as u64);
        accepted.insert(revision, fleet.now());
        fleet.submit(rng.random_range(0..balancers), contract(revision));
        fleet.run(BETWEEN);
    }
    accepted
}

/// Returns, in order, the time of each change until the last balancer had it or a later one of the
/// same customer in force. A balancer that never got it counts with the time until now.
fn last_times(fleet: &Fleet, accepted: &BTreeMap<Revision, Moment>, balancers: usize) -> Vec<f64> {
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

/// Builds a contract of the expected size: three services with four addresses each.
pub fn contract(revision: Revision) -> Contract<Accepted> {
    contract_of(&"kampvuur".parse().expect("the name is well-formed"), revision)
}

/// Builds the contract of a customer.
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
