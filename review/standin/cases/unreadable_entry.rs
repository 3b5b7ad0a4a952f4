//! Another writer's entry of the largest size, with bytes that are not text, stands among the
//! entries of agents when all processes are killed and started again.

use {
    crate::{
        consumer::Outcome,
        packet::Record,
        store::VALUE_BYTES,
        system::{ROUTE, System},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// `bounds.recoveryS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
const REQUESTS: usize = 40;
const BUDGET: Duration = Duration::from_millis(2_500);
/// Sorts before the keys of the agents, whose addresses begin with 127.20 or a higher number.
const FOREIGN_KEY: &str = "yuccacroft/agents/127.0.0.1:8172";

pub fn run(record: &Arc<Record>, with_trouble: bool) -> Option<bool> {
    let mut system = System::start(2, &["service-a", "service-a", "service-a"], record.clone())?;
    let before = served(&mut system);
    if before * 4 < REQUESTS {
        return None;
    }
    if with_trouble {
        system.store.write(FOREIGN_KEY, &vec![0xff; VALUE_BYTES]);
        record
            .add(&format!("another writer writes {VALUE_BYTES} unreadable bytes to {FOREIGN_KEY}"));
        thread::sleep(Duration::from_secs(2));
    }
    for node in system.fronts.iter_mut().chain(&mut system.sides) {
        node.signal("KILL");
    }
    for node in system.fronts.iter_mut().chain(&mut system.sides) {
        node.wait(Duration::from_secs(1));
    }
    for node in system.fronts.iter_mut().chain(&mut system.sides) {
        node.restart();
    }
    let back = Instant::now();
    record.add("all processes are back");
    let ranges = system.store.ranges();
    thread::sleep(RECOVERY);
    let calls = system.store.ranges() - ranges;
    record.add(&format!(
        "{calls} range calls since, {} of 2 balancers ready",
        system.routers.ready()
    ));
    let after = served(&mut system);
    record.add(&format!(
        "requests served: {before} of {REQUESTS} before, {after} of {REQUESTS} from {RECOVERY:?} to {:?} after",
        back.elapsed()
    ));
    Some(after * 4 < REQUESTS)
}

/// Returns the number of requests that are served, each in a flow of its own.
fn served(system: &mut System) -> usize {
    let consumers: Vec<_> = (0..4).map(|_| system.consumer()).collect();
    let threads: Vec<_> = consumers
        .into_iter()
        .map(|mut consumer| {
            thread::spawn(move || {
                let requests = (0..REQUESTS / 4).map(|_| consumer.request_once(ROUTE, BUDGET));
                requests.filter(|outcome| matches!(outcome, Outcome::Served(_))).count()
            })
        })
        .collect();
    threads.into_iter().map(|thread| thread.join().unwrap()).sum()
}
