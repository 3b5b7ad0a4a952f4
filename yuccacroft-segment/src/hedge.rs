//! A second attempt of a call that has not been answered in time.

use std::{future::Future, time::Duration};

/// Runs a call, and once more beside the first attempt if that has no result after `delay`. Returns
/// the first result. A lost segment of a connection holds an attempt up for 0.2 to 1 s, which the
/// callers of a process that has just started wait for. The call must be idempotent.
pub async fn hedged<T, F: Future<Output = T>>(call: impl Fn() -> F, delay: Duration) -> T {
    let first = call();
    tokio::pin!(first);
    tokio::select! {
        biased;
        result = &mut first => return result,
        () = tokio::time::sleep(delay) => {}
    }
    tokio::select! {
        biased;
        result = &mut first => result,
        result = call() => result,
    }
}
