//! Injected faults of the store, and call counters.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

/// The kinds of calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads of a key or a range.
    Range,
    /// Transactions.
    Transaction,
    /// Watches, each counted when it is opened.
    Watch,
    /// Lease grants.
    Grant,
    /// Lease renewals.
    Renew,
    /// Lease revocations.
    Revoke,
}

const CALL_KINDS: usize = 6;

/// The active faults and the number of calls of each kind.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    delay_micros: AtomicU64,
    lose_answers: AtomicBool,
    /// Number of writes whose answers are still to be lost.
    answers_to_lose: AtomicU64,
    calls: [AtomicU64; CALL_KINDS],
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
        self.answers_to_lose.store(count, Ordering::SeqCst);
    }

    /// Returns whether the answer of the write that just took effect is lost; counts one of the answers
    /// to lose as used.
    pub fn take_answer_loss(&self) -> bool {
        let decrement = |count: u64| count.checked_sub(1);
        let is_counted = self
            .answers_to_lose
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok();
        is_counted || self.lose_answers.load(Ordering::SeqCst)
    }

    pub fn count_call(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::SeqCst);
    }

    pub fn calls(&self) -> u64 {
        self.calls.iter().map(|calls| calls.load(Ordering::SeqCst)).sum()
    }

    pub fn calls_of(&self, kind: CallKind) -> u64 {
        self.calls[kind as usize].load(Ordering::SeqCst)
    }
}
