//! The counters of an agent: unopened and open flows, requests in progress and their mean service
//! time.

use {
    super::decision::Intake,
    crate::{time::Span, units::Connections},
    std::sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// Number of latest upstream reports that are compared with the count of requests in progress.
const TRACKED_REPORTS: usize = 4;
/// Window of the moving average of the service time: each request has a weight of one in this
/// number.
const MEAN_WINDOW: u64 = 16;

/// The counters of one agent.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// The flows that are offered or accepted, and not yet open.
    unopened: AtomicU32,
    open: AtomicU32,
    active: AtomicU32,
    mean_service_time: Mutex<Span>,
    overcount: Mutex<Overcount>,
}

/// By how much the count of requests in progress exceeded the number that the upstream reported,
/// for each of the latest reports. Requests whose end the agent did not see are part of every
/// difference; requests in transit are part of only a few.
#[derive(Debug, Default)]
struct Overcount {
    recent: [u32; TRACKED_REPORTS],
    next: usize,
}

impl Counts {
    pub fn open(&self) -> Connections {
        Connections::new(self.open.load(Ordering::Relaxed))
    }

    /// Returns the number of flows that are open or may open.
    pub fn held(&self) -> Connections {
        // A flow that opens is added to the open ones first, so it is counted at least once in this
        // order.
        let unopened = self.unopened.load(Ordering::Acquire);
        Connections::new(unopened.saturating_add(self.open.load(Ordering::Acquire)))
    }

    /// Counts a new flow if `intake` allows one more. Returns false if it does not.
    pub fn reserve(&self, intake: Intake) -> bool {
        let max = match intake {
            Intake::Closed => return false,
            Intake::Unlimited => u32::MAX,
            Intake::UpTo(max) => max.get(),
        };
        let add_one = |unopened: u32| {
            let held = unopened.saturating_add(self.open.load(Ordering::Acquire));
            (held < max).then_some(unopened + 1)
        };
        self.unopened.fetch_update(Ordering::AcqRel, Ordering::Acquire, add_one).is_ok()
    }

    pub fn add_unopened(&self) {
        self.unopened.fetch_add(1, Ordering::AcqRel);
    }

    pub fn remove_unopened(&self) {
        self.unopened.fetch_sub(1, Ordering::AcqRel);
    }

    pub fn add_open(&self) {
        self.open.fetch_add(1, Ordering::AcqRel);
    }

    pub fn remove_open(&self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of requests in progress, without those whose end the agent did not see.
    pub fn active(&self) -> u32 {
        let overcount = self.overcount.lock().unwrap_or_else(PoisonError::into_inner);
        let smallest = overcount.recent.iter().copied().min().unwrap_or_default();
        self.active.load(Ordering::Relaxed).saturating_sub(smallest)
    }

    pub fn add_active(&self) {
        self.active.fetch_add(1, Ordering::Relaxed);
    }

    pub fn remove_active(&self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
    }

    /// Compares the count of requests in progress with the number that the upstream reported.
    pub fn reconcile_active(&self, reported: u32) {
        let counted = self.active.load(Ordering::Relaxed);
        let mut overcount = self.overcount.lock().unwrap_or_else(PoisonError::into_inner);
        let next = overcount.next;
        overcount.recent[next] = counted.saturating_sub(reported);
        overcount.next = (next + 1) % TRACKED_REPORTS;
    }

    pub fn service_time(&self) -> Span {
        *self.mean_service_time.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the service time of one request to the mean.
    pub fn record_service_time(&self, service_time: Span) {
        let mut mean_service_time =
            self.mean_service_time.lock().unwrap_or_else(PoisonError::into_inner);
        let total = mean_service_time.as_micros() * (MEAN_WINDOW - 1) + service_time.as_micros();
        *mean_service_time = if *mean_service_time == Span::ZERO {
            service_time
        } else {
            Span::from_micros(total / MEAN_WINDOW)
        };
    }
}
