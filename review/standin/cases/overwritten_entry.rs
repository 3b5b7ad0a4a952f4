//! Another writer replaces the entry of a running agent by bytes that are no entry. Later the
//! balancers are stopped and started in turn, while the open flows are idle.

use {
    crate::{
        consumer::{Consumer, Flow, Outcome},
        packet::Record,
        platform::GRACE,
        system::{ROUTE, System},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const FLOWS: usize = 18;
const BUDGET: Duration = Duration::from_millis(2_500);
/// `bounds.contactMs` of the site.
const CONTACT: Duration = Duration::from_secs(4);
/// `limits.idleTimeoutMs` of the configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two restarts of a planned series.
const GAP: Duration = Duration::from_secs(1);

pub fn run(record: &Arc<Record>, with_trouble: bool) -> Option<bool> {
    let mut system = System::start(2, &["service-a", "service-a", "service-a"], record.clone())?;
    let key = format!("yuccacroft/agents/{}:{}", system.ports.side(1), system.ports.datagram);
    let mut flows = Vec::new();
    for _ in 0..FLOWS {
        let mut consumer = system.consumer();
        let flow = consumer.open(ROUTE).ok()?;
        flows.push((consumer, flow));
    }
    if with_trouble {
        system.store.write(&key, b"\xff\xfe no entry");
        record.add(&format!("another writer writes unreadable bytes to {key}"));
    }
    thread::sleep(CONTACT);
    let before = request_all(&mut flows);
    let idle_since = Instant::now();
    for node in &mut system.fronts {
        node.signal("TERM");
        node.wait(GRACE);
        node.restart();
        thread::sleep(GAP);
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    record.add("all machines are in touch again");
    if idle_since.elapsed() >= IDLE_TIMEOUT || before.iter().any(|outcome| !is_served(outcome)) {
        return None;
    }
    let after = request_all(&mut flows);
    let resets = after.iter().filter(|outcome| **outcome == Outcome::Reset).count();
    record.add(&format!(
        "flows idle for {:?}, then {} of {FLOWS} served and {resets} reset; no backend has ended",
        idle_since.elapsed(),
        after.iter().filter(|outcome| is_served(outcome)).count()
    ));
    Some(resets > 0)
}

fn is_served(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Served(_))
}

/// Sends a request in each flow at the same time.
fn request_all(flows: &mut [(Consumer, Flow)]) -> Vec<Outcome> {
    thread::scope(|scope| {
        let threads: Vec<_> = flows
            .iter_mut()
            .map(|(consumer, flow)| scope.spawn(|| consumer.request(flow, false, BUDGET)))
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    })
}
