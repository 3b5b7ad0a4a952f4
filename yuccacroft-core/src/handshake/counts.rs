//! What an agent counts of its flows: open ones, requests in progress and the time they take.

use {
    crate::{time::Span, units::Connections},
    std::sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// Answers of the upstream whose load is compared with the count of requests in progress.
const SURPLUS_REPORTS: usize = 4;
/// Part of the mean service time that one request replaces is one in this number.
const MEAN_WEIGHT: u64 = 16;

/// The counts of one agent.
#[derive(Debug, Default)]
pub(super) struct Counts {
    open: AtomicU32,
    active: AtomicU32,
    mean: Mutex<Span>,
    surplus: Mutex<Surplus>,
}

/// By how much the count of requests in progress exceeded what the upstream said of itself, in its
/// last answers. Requests that ended unseen exceed it all the time, requests on their way only now
/// and then.
#[derive(Debug, Default)]
struct Surplus {
    last: [u32; SURPLUS_REPORTS],
    next: usize,
}

impl Counts {
    pub fn open(&self) -> Connections {
        Connections::new(self.open.load(Ordering::Relaxed))
    }

    pub fn add_open(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    pub fn remove_open(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the requests in progress, without those that ended unseen.
    pub fn active(&self) -> u32 {
        let surplus = self.surplus.lock().unwrap_or_else(PoisonError::into_inner);
        let least = surplus.last.iter().copied().min().unwrap_or_default();
        self.active.load(Ordering::Relaxed).saturating_sub(least)
    }

    pub fn add_active(&self) {
        self.active.fetch_add(1, Ordering::Relaxed);
    }

    pub fn remove_active(&self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
    }

    /// Compares the requests in progress with what the upstream says of itself.
    pub fn compare(&self, reported: u32) {
        let counted = self.active.load(Ordering::Relaxed);
        let mut surplus = self.surplus.lock().unwrap_or_else(PoisonError::into_inner);
        let next = surplus.next;
        surplus.last[next] = counted.saturating_sub(reported);
        surplus.next = (next + 1) % SURPLUS_REPORTS;
    }

    pub fn service_time(&self) -> Span {
        *self.mean.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the time of one request to the mean.
    pub fn learn(&self, time: Span) {
        let mut mean = self.mean.lock().unwrap_or_else(PoisonError::into_inner);
        let total = mean.as_micros() * (MEAN_WEIGHT - 1) + time.as_micros();
        *mean = if *mean == Span::ZERO { time } else { Span::from_micros(total / MEAN_WEIGHT) };
    }
}
