//! Keeps up with the keys of the store that have a prefix.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
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

/// Pause between the calls of a process that knows nothing yet and cannot serve before it does.
const EAGER_PAUSE: Duration = Duration::from_millis(110);

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
    /// The seed of the jitter of pauses.
    pub seed: u64,
    /// Where lost and regained access is logged.
    pub log: &'a Logger,
}

/// Pauses with jitter, so that processes do not call a returning store at once.
#[derive(Debug)]
pub struct Jitter(StdRng);

/// How far a follower has come.
#[derive(Debug)]
struct Progress {
    failures: u32,
    knows: bool,
    jitter: Jitter,
}

impl Follower<'_> {
    /// Reads for ever.
    pub async fn run<S: Store>(&self, store: &S, sink: &impl Sink) {
        let jitter = Jitter::new(self.seed);
        let mut progress = Progress { failures: 0, knows: false, jitter };
        loop {
            match self.read(store, sink, &mut progress).await {
                Ok(()) => progress.failures = 0,
                Err(error) => {
                    if progress.failures == 0 {
                        warn!(self.log, "store lost"; "prefix" => self.prefix, "cause" => %error);
                    }
                    progress.failures += 1;
                    let pause = if progress.knows {
                        progress.jitter.pause(progress.failures)
                    } else {
                        progress.jitter.eager_pause()
                    };
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Lists and then watches until a new listing is due.
    async fn read<S: Store>(
        &self,
        store: &S,
        sink: &impl Sink,
        progress: &mut Progress,
    ) -> Result<(), Error> {
        let listing = store.list(self.prefix).await?;
        let revision = listing.revision;
        progress.knows = true;
        if std::mem::take(&mut progress.failures) > 0 {
            info!(self.log, "store regained"; "prefix" => self.prefix, "revision" => %revision);
        }
        sink.listed(listing);
        let mut watch = store.watch(self.prefix, Revision::new(revision.get() + 1)).await?;
        loop {
            let notice = tokio::select! {
                biased;
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
                    tokio::time::sleep(progress.jitter.pause(1)).await;
                    return Ok(());
                }
                None => return Ok(()),
            }
        }
    }
}

impl Jitter {
    /// Creates the jitter of one process.
    pub fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Returns the pause after so many failed calls in a row.
    pub fn pause(&mut self, failures: u32) -> Duration {
        let doubled = FIRST_PAUSE * 2u32.saturating_pow(failures.saturating_sub(1).min(8));
        self.vary(doubled.min(LONGEST_PAUSE))
    }

    /// Returns the pause of a process that cannot serve before its call succeeds.
    pub fn eager_pause(&mut self) -> Duration {
        self.vary(EAGER_PAUSE)
    }

    fn vary(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.0.random_range(0.7..1.3))
    }
}
