//! Lists and watches the keys of the store that have a common prefix.

use {
    crate::hedge::hedged,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    slog::{Logger, info, warn},
    std::time::Duration,
    tokio::{sync::Notify, time::Instant},
    yuccacroft_core::ids::Revision,
    yuccacroft_store::{
        errors::Error,
        store::{Changes, Listing, Store, WatchEvent},
    },
};

/// Delay after the first failed call. It doubles with each failure, since rejected calls count
/// against the store's rate limits too.
const INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Delay between failed calls before the first listing, since the process cannot serve without it.
const STARTUP_DELAY: Duration = Duration::from_millis(110);
/// Time that an open watch has to deliver a change that other processes know, before the items are
/// listed again. A listing costs more calls than waiting for the watch.
const WATCH_TOLERANCE: Duration = Duration::from_millis(250);
/// Shortest time between two reads of changes, so that changes in quick succession arrive with one
/// call.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Number of reads of changes that may follow each other at [`BATCH_DELAY`], so that single changes
/// are read at once.
const MAX_BURST_READS: u32 = 4;

/// Receives the items that a watcher reads.
pub trait WatchHandler: Send + Sync {
    /// Handles a listing of all items under the prefix.
    fn handle_listing(&self, listing: Listing);

    /// Handles the changes since the last call.
    fn handle_changes(&self, changes: Changes);

    /// Returns true if other processes know a newer state of the items.
    fn is_outdated(&self) -> bool;
}

/// Reads the items under a prefix and their changes.
#[derive(Debug)]
pub struct PrefixWatcher<'a> {
    /// The prefix of the watched keys.
    pub prefix: &'a str,
    /// Mean time between two reads of changes. It bounds the calls of one process, whatever the number
    /// of items and the rate of their changes.
    pub read_interval: Duration,
    /// Longest delay between failed calls.
    pub max_delay: Duration,
    /// Ends the wait for the next read of changes when it is notified.
    pub urgent: &'a Notify,
    /// Requests a new listing when it is notified, unless the watch delivers the changes first.
    pub refresh: &'a Notify,
    /// Time after which the first listing is asked for once more, beside the call that has not been
    /// answered; `None` for one call at a time.
    pub hedge_delay: Option<Duration>,
    /// The seed of the random jitter of delays.
    pub seed: u64,
    /// The logger for changes of the store's availability.
    pub log: &'a Logger,
}

/// Retry delays with random jitter, so that not all processes call a recovering store at once.
#[derive(Debug)]
pub struct Backoff {
    random: StdRng,
    max_delay: Duration,
}

/// The state of a watcher.
#[derive(Debug)]
struct Progress {
    /// The number of failed calls in a row.
    failures: u32,
    has_listed: bool,
    backoff: Backoff,
    reads: ReadBudget,
}

/// A token bucket of reads of changes.
#[derive(Debug)]
struct ReadBudget {
    interval: Duration,
    /// The time at which the bucket has been full again or will be.
    full_at: Instant,
}

impl PrefixWatcher<'_> {
    /// Runs the watcher. It does not return.
    pub async fn run<S: Store>(&self, store: &S, handler: &impl WatchHandler) {
        let backoff = Backoff::new(self.seed, self.max_delay);
        let reads = ReadBudget::new(self.read_interval);
        let mut progress = Progress { failures: 0, has_listed: false, backoff, reads };
        loop {
            match self.list_and_watch(store, handler, &mut progress).await {
                Ok(()) => progress.failures = 0,
                Err(error) => {
                    if progress.failures == 0 {
                        warn!(self.log, "store lost"; "prefix" => self.prefix, "cause" => %error);
                    }
                    progress.failures += 1;
                    let delay = if progress.has_listed {
                        progress.backoff.delay(progress.failures)
                    } else {
                        progress.backoff.startup_delay()
                    };
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }

    /// Lists the items and then watches them until a new listing is needed.
    async fn list_and_watch<S: Store>(
        &self,
        store: &S,
        handler: &impl WatchHandler,
        progress: &mut Progress,
    ) -> Result<(), Error> {
        let hedge_delay = self.hedge_delay.filter(|_| !progress.has_listed);
        let listing = match hedge_delay {
            Some(delay) => hedged(|| store.list(self.prefix), delay).await?,
            None => store.list(self.prefix).await?,
        };
        let revision = listing.revision;
        progress.has_listed = true;
        if std::mem::take(&mut progress.failures) > 0 {
            info!(self.log, "store regained"; "prefix" => self.prefix, "revision" => %revision);
        }
        handler.handle_listing(listing);
        let mut watch = store.watch(self.prefix, Revision::new(revision.get() + 1)).await?;
        loop {
            let notice = tokio::select! {
                biased;
                notice = watch.next() => notice,
                () = self.wait_until_outdated(handler) => return Ok(()),
            };
            match notice {
                Some(Ok(WatchEvent::Changed(changes))) => {
                    handler.handle_changes(changes);
                    self.wait_for_more_changes(progress.reads.take()).await;
                }
                Some(Ok(WatchEvent::Compacted(revision))) => {
                    info!(self.log, "history gone"; "prefix" => self.prefix, "revision" => %revision);
                    return Ok(());
                }
                // An interrupted watch may have missed changes, so that a new listing is needed.
                Some(Err(error)) => {
                    info!(self.log, "watch ended"; "prefix" => self.prefix, "cause" => %error);
                    tokio::time::sleep(progress.backoff.delay(1)).await;
                    return Ok(());
                }
                None => return Ok(()),
            }
        }
    }

    /// Waits until changes may be read again.
    async fn wait_for_more_changes(&self, delay: Duration) {
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = self.urgent.notified() => {}
        }
    }

    /// Waits until the watch has failed to deliver changes that other processes know.
    async fn wait_until_outdated(&self, handler: &impl WatchHandler) {
        loop {
            self.refresh.notified().await;
            tokio::time::sleep(WATCH_TOLERANCE).await;
            if handler.is_outdated() {
                return;
            }
        }
    }
}

impl ReadBudget {
    fn new(interval: Duration) -> Self {
        Self { interval, full_at: Instant::now() }
    }

    /// Takes a token for a read that is over, and returns the time until the next one.
    fn take(&mut self) -> Duration {
        let now = Instant::now();
        self.full_at = self.full_at.max(now) + self.interval;
        let until_token = (self.full_at - now).saturating_sub(self.interval * MAX_BURST_READS);
        until_token.max(BATCH_DELAY)
    }
}

impl Backoff {
    /// Creates delays up to `max_delay`, with jitter that comes from `seed`.
    pub fn new(seed: u64, max_delay: Duration) -> Self {
        Self { random: StdRng::seed_from_u64(seed), max_delay }
    }

    /// Returns the delay after this number of failed calls in a row.
    pub fn delay(&mut self, failures: u32) -> Duration {
        let doubled = INITIAL_DELAY * 2u32.saturating_pow(failures.saturating_sub(1).min(8));
        self.add_jitter(doubled.min(self.max_delay))
    }

    /// Returns the delay for a process that cannot serve before the call succeeds.
    pub fn startup_delay(&mut self) -> Duration {
        self.add_jitter(STARTUP_DELAY)
    }

    fn add_jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.random.random_range(0.7..1.3))
    }
}
