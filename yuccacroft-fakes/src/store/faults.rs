//! The faults of the store and the count of its calls.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

/// The kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Reads of a key or of a range.
    Range,
    /// Conditional writes.
    Transaction,
    /// Watches, each counted once.
    Watch,
    /// Creations of leases.
    Grant,
    /// Renewals of leases.
    Renew,
    /// Ends of leases.
    Revoke,
}

const KINDS: usize = 6;

/// What goes wrong at present.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    delay_micros: AtomicU64,
    lose_answers: AtomicBool,
    lose_next: AtomicU64,
    calls: [AtomicU64; KINDS],
}

impl Faults {
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    pub fn set_delay(&self, delay: Duration) {
        self.delay_micros.store(delay.as_micros() as u64, Ordering::SeqCst);
    }

    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_micros.load(Ordering::SeqCst))
    }

    pub fn set_lose_answers(&self, lose: bool) {
        self.lose_answers.store(lose, Ordering::SeqCst);
    }

    pub fn lose_next_answers(&self, count: u64) {
        self.lose_next.store(count, Ordering::SeqCst);
    }

    /// Tells whether the answer of a write that took effect is lost.
    pub fn loses_answer(&self) -> bool {
        let less = |count: u64| count.checked_sub(1);
        let next = self.lose_next.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok();
        next || self.lose_answers.load(Ordering::SeqCst)
    }

    pub fn count(&self, kind: Kind) {
        self.calls[kind as usize].fetch_add(1, Ordering::SeqCst);
    }

    pub fn calls(&self) -> u64 {
        self.calls.iter().map(|calls| calls.load(Ordering::SeqCst)).sum()
    }

    pub fn calls_of(&self, kind: Kind) -> u64 {
        self.calls[kind as usize].load(Ordering::SeqCst)
    }
}
