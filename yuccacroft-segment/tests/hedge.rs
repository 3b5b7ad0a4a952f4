//! Tests of calls that are attempted twice.

use {
    std::{cell::Cell, time::Duration},
    yuccacroft_segment::hedge::hedged,
};

const DELAY: Duration = Duration::from_millis(250);
const LOST: Duration = Duration::from_millis(1_000);
const ANSWERED: Duration = Duration::from_millis(10);

/// Runs a call whose attempts take these times. Returns the number of the attempt that answered, the
/// number of attempts, and the time.
async fn run(times: [Duration; 2]) -> (usize, usize, Duration) {
    let attempts = Cell::new(0);
    let started = tokio::time::Instant::now();
    let call = || {
        let number = attempts.replace(attempts.get() + 1);
        async move {
            tokio::time::sleep(times[number]).await;
            number
        }
    };
    let answered = hedged(call, DELAY).await;
    (answered, attempts.get(), started.elapsed())
}

/// Guards against a balancer without a configuration for a second after a loss of power, because one
/// segment of its first call was lost.
#[tokio::test(start_paused = true)]
async fn a_lost_first_attempt_costs_the_delay_only() {
    assert_eq!(run([LOST, ANSWERED]).await, (1, 2, DELAY + ANSWERED));
}

/// Guards against twice as many calls to a store that answers.
#[tokio::test(start_paused = true)]
async fn an_answered_call_is_not_repeated() {
    assert_eq!(run([ANSWERED, ANSWERED]).await, (0, 1, ANSWERED));
}

/// Guards against a slow store whose first answer is thrown away.
#[tokio::test(start_paused = true)]
async fn the_first_answer_counts_however_late() {
    assert_eq!(run([DELAY * 2, LOST]).await, (0, 2, DELAY * 2));
}
