//! A consumer with few ports uses the port of a closed flow again, and the new flow opens at another
//! backend. Later the balancers are stopped and started in turn, while the open flows are idle.

use {
    crate::{
        consumer::{Consumer, Flow, Outcome},
        packet::Record,
        platform::GRACE,
        system::{ROUTE, System},
    },
    std::{
        ops::Range,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// The ports of each consumer.
const PORTS: Range<u16> = 41_000..41_016;
/// Ports of flows that are the first ones from their ports, for comparison.
const OTHER_PORTS: Range<u16> = 42_000..42_016;
/// Time from the end of a flow until its port is used again.
const REST: Duration = Duration::from_secs(12);
const BUDGET: Duration = Duration::from_millis(2_500);
/// `bounds.contactMs` of the site.
const CONTACT: Duration = Duration::from_secs(4);
/// `limits.idleTimeoutMs` of the configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two restarts of a planned series.
const GAP: Duration = Duration::from_secs(1);

/// An open flow, the backend of its first response, and whether its port was used before.
struct Open {
    flow: Flow,
    backend: String,
    is_reused: bool,
}

pub fn run(record: &Arc<Record>, with_trouble: bool) -> Option<bool> {
    let services = ["service-a", "service-a", "service-a", "service-a"];
    let mut system = System::start(2, &services, record.clone())?;
    let mut consumers: Vec<Consumer> = (0..2).map(|_| system.consumer()).collect();
    for consumer in &mut consumers {
        for port in PORTS {
            consumer.use_port(port);
            if !matches!(consumer.request_once(ROUTE, BUDGET), Outcome::Served(_)) {
                return None;
            }
        }
    }
    record.add("all flows have closed");
    thread::sleep(REST);
    let mut open = Vec::new();
    for consumer in &mut consumers {
        open.push(open_all(consumer)?);
    }
    let idle_since = Instant::now();
    if with_trouble {
        for node in &mut system.fronts {
            node.signal("TERM");
            node.wait(GRACE);
            node.restart();
            thread::sleep(GAP);
        }
        thread::sleep(CONTACT + Duration::from_millis(500));
        record.add("all machines are in touch again");
    }
    if idle_since.elapsed() >= IDLE_TIMEOUT {
        return None;
    }
    let (mut flows, mut resets) = ([0, 0], [0, 0]);
    for (consumer, open) in consumers.iter().zip(&mut open) {
        for Open { flow, backend, is_reused } in open {
            let outcome = consumer.request(flow, false, BUDGET);
            flows[usize::from(*is_reused)] += 1;
            if outcome == Outcome::Reset {
                resets[usize::from(*is_reused)] += 1;
                record.add(&format!("flow at {backend} reset; this backend has not ended"));
            }
        }
    }
    record.add(&format!(
        "reset: {} of {} flows from ports that were used before, {} of {} others",
        resets[1], flows[1], resets[0], flows[0]
    ));
    Some(resets[0] + resets[1] > 0)
}

/// Opens a flow from each port and has one request served in it.
fn open_all(consumer: &mut Consumer) -> Option<Vec<Open>> {
    let mut open = Vec::new();
    for port in PORTS.chain(OTHER_PORTS) {
        consumer.use_port(port);
        let mut flow = consumer.open(ROUTE).ok()?;
        let Outcome::Served(backend) = consumer.request(&mut flow, false, BUDGET) else {
            return None;
        };
        open.push(Open { flow, backend, is_reused: PORTS.contains(&port) });
    }
    Some(open)
}
