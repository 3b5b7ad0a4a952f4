//! The time of day of a backend's machine is ahead when the backend starts, and is set right again.
//! The backend crashes soon after its start and starts again. Later it leaves as planned.

use {
    crate::{
        backend::{Backend, unix_ms},
        consumer::Outcome,
        packet::Record,
        system::{ROUTE, System},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// The step of the clock, that of `clock_step`.
const STEP_MS: u64 = 2_000;
/// The life of the boot that starts while the clock is ahead.
const FIRST_LIFE: Duration = Duration::from_millis(1_000);
/// The time for which the backend is down.
const DOWN: Duration = Duration::from_millis(300);
/// `bounds.contactMs` and `bounds.drainMs` of the site.
const CONTACT: Duration = Duration::from_secs(4);
const DRAIN: Duration = Duration::from_secs(3);
const BUDGET: Duration = Duration::from_millis(2_500);
const FLOWS: usize = 40;

pub fn run(record: &Arc<Record>, with_trouble: bool) -> Option<bool> {
    let mut system = System::start(2, &["service-a", "service-a"], record.clone())?;
    let mut consumer = system.consumer();
    let place = system.places[0].clone();
    // The backend of the first machine is started again as part of both runs.
    system.backends[0].crash();
    thread::sleep(Duration::from_secs(5));
    let ahead = if with_trouble { STEP_MS } else { 0 };
    let mut leaving = Backend::start(&place, unix_ms() + ahead, record);
    if with_trouble {
        record.add("the time of day of the machine is 2000 ms ahead; it is set back now");
        thread::sleep(FIRST_LIFE);
        leaving.crash();
        thread::sleep(DOWN);
        leaving = Backend::start(&place, unix_ms(), record);
    }
    thread::sleep(CONTACT + Duration::from_secs(2));
    let before = open(&mut consumer, record);
    leaving.drain();
    let started = Instant::now();
    while leaving.draining_confirmed_ms.load(Ordering::SeqCst) == 0 {
        if started.elapsed() > Duration::from_secs(5) {
            return None;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let confirmed = leaving.draining_confirmed_ms.load(Ordering::SeqCst) as f64 / 1e3;
    record.add(&format!("draining confirmed at {confirmed:.3}"));
    thread::sleep(DRAIN + Duration::from_millis(500));
    let late_from = record.seconds();
    let after = open(&mut consumer, record);
    let accepted = leaving.accepted.lock().unwrap();
    let late = accepted.iter().filter(|(at, _)| *at > late_from).count();
    record.add(&format!(
        "flows served: {before} before, {after} later than {DRAIN:?} after the confirmation; \
         {late} of these opened at the draining backend"
    ));
    if before == 0 { None } else { Some(late > 0) }
}

/// Sends requests in flows of their own, and returns the number of served ones.
fn open(consumer: &mut crate::consumer::Consumer, record: &Record) -> usize {
    record.add("requests in flows of their own");
    let requests = (0..FLOWS).map(|_| consumer.request_once(ROUTE, BUDGET));
    requests.filter(|outcome| matches!(outcome, Outcome::Served(_))).count()
}
