//! Keeps up with the keys of the store that have a prefix.

use {
    rand::RngExt,
    slog::{Logger, info, warn},
    std::time::Duration,
    tokio::sync::Notify,
    yuccacroft_core::ids::Revision,
    yuccacroft_store::{
        errors::Error,
        store::{Changes, Listing, Notice, Store},
    },
};

/// Pause after the first failed call; it doubles up to [`LONGEST_PAUSE`]. Refused calls are paid
/// for too.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause between failed calls: a change of the configuration must be in force seconds after
/// the store has returned.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Takes what a follower reads.
pub trait Sink: Send + Sync {
    /// Takes everything that is stored under the prefix.
    fn listed(&self, listing: Listing);

    /// Takes what has changed since.
    fn changed(&self, changes: Changes);
}

/// What a follower reads and how.
#[derive(Debug)]
pub struct Follower<'a> {
    /// The prefix of the keys.
    pub prefix: &'a str,
    /// Pause after a change, so that one call brings the changes that come together.
    pub pause: Duration,
    /// Asks for a new listing.
    pub refresh: &'a Notify,
    /// Where lost and regained access is logged.
    pub log: &'a Logger,
}

impl Follower<'_> {
    /// Reads for ever.
    pub async fn run<S: Store>(&self, store: &S, sink: &impl Sink) {
        let mut failures = 0;
        loop {
            match self.read(store, sink, &mut failures).await {
                Ok(()) => failures = 0,
                Err(error) => {
                    if failures == 0 {
                        warn!(self.log, "store lost"; "prefix" => self.prefix, "cause" => %error);
                    }
                    failures += 1;
                    tokio::time::sleep(pause(failures)).await;
                }
            }
        }
    }

    /// Lists and then watches until a new listing is due.
    async fn read<S: Store>(
        &self,
        store: &S,
        sink: &impl Sink,
        failures: &mut u32,
    ) -> Result<(), Error> {
        let listing = store.list(self.prefix).await?;
        let revision = listing.revision;
        if std::mem::take(failures) > 0 {
            info!(self.log, "store regained"; "prefix" => self.prefix, "revision" => %revision);
        }
        sink.listed(listing);
        let mut watch = store.watch(self.prefix, Revision::new(revision.get() + 1)).await?;
        loop {
            let notice = tokio::select! {
                notice = watch.next() => notice,
                () = self.refresh.notified() => return Ok(()),
            };
            match notice {
                Some(Ok(Notice::Changed(changes))) => {
                    sink.changed(changes);
                    tokio::time::sleep(self.pause).await;
                }
                Some(Ok(Notice::Compacted(revision))) => {
                    info!(self.log, "history gone"; "prefix" => self.prefix, "revision" => %revision);
                    return Ok(());
                }
                // A watch that was cut may have missed something.
                Some(Err(error)) => {
                    info!(self.log, "watch ended"; "prefix" => self.prefix, "cause" => %error);
                    tokio::time::sleep(pause(1)).await;
                    return Ok(());
                }
                None => return Ok(()),
            }
        }
    }
}

/// Returns a pause with jitter, so that processes do not call a returning store at once.
pub fn pause(failures: u32) -> Duration {
    let doubled = FIRST_PAUSE * 2u32.saturating_pow(failures.saturating_sub(1).min(8));
    let longest = doubled.min(LONGEST_PAUSE);
    longest.mul_f64(rand::rng().random_range(0.7..1.3))
}
