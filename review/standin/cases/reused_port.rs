//! A consumer with few ports uses the port of a closed flow again, after the backend of that flow
//! has left as planned.

use {
    crate::{
        consumer::{Consumer, Outcome},
        packet::Record,
        system::{ROUTE, System},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// The ports of the consumer. They are used in turn, each after the flow before has closed.
const PORTS: std::ops::Range<u16> = 41_000..41_024;
/// Ports that are used for the first time, for comparison.
const OTHER_PORTS: std::ops::Range<u16> = 42_000..42_024;
/// `bounds.drainMs` of the site.
const DRAIN: Duration = Duration::from_secs(3);
const BUDGET: Duration = Duration::from_millis(2_500);

pub fn run(record: &Arc<Record>, with_trouble: bool) -> Option<bool> {
    let mut system = System::start(2, &["service-a", "service-a"], record.clone())?;
    let mut consumer = system.consumer();
    let before = request_each(&mut consumer, PORTS);
    let leaving = &system.backends[0];
    if with_trouble {
        leaving.drain();
        let started = Instant::now();
        while leaving.draining_confirmed_ms.load(Ordering::SeqCst) == 0 {
            if started.elapsed() > Duration::from_secs(3) {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
        record.add("draining confirmed");
    }
    thread::sleep(DRAIN + Duration::from_millis(300));
    let late_from = record.seconds();
    let other = request_each(&mut consumer, OTHER_PORTS);
    let again = request_each(&mut consumer, PORTS);
    let accepted = leaving.accepted.lock().unwrap();
    let late = |ports: std::ops::Range<u16>| {
        accepted.iter().filter(|(at, from)| *at > late_from && ports.contains(&from.port())).count()
    };
    let (late_again, late_other) = (late(PORTS), late(OTHER_PORTS));
    record.add(&format!(
        "served: {before} before, {other} on other ports and {again} on used ports more than \
         {DRAIN:?} after the confirmation; opened at the draining backend: {late_other} and \
         {late_again}"
    ));
    if before == 0 {
        return None;
    }
    Some(with_trouble && late_again + late_other > 0)
}

/// Sends a request in a flow from each port and closes it. Returns the number of served ones.
fn request_each(consumer: &mut Consumer, ports: std::ops::Range<u16>) -> usize {
    let requests = ports.map(|port| {
        consumer.use_port(port);
        consumer.request_once(ROUTE, BUDGET)
    });
    requests.filter(|outcome| matches!(outcome, Outcome::Served(_))).count()
}
