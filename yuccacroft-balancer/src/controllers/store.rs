//! Reads contracts from the store and writes the changes of operators.

use {
    super::{Controllers, lock},
    slog::warn,
    std::{collections::VecDeque, sync::Arc, sync::Mutex, time::Duration},
    tokio::sync::Notify,
    yuccacroft_core::{
        contract::{
            Accepted, Checked, Contract,
            change::StoredContract,
            store_reader::{Action, Event},
            writer::{self, WriteOutcome, WriteRequest, Writer},
        },
        controller::Controller,
        ids::{ChangeId, Revision},
        time::Span,
    },
    yuccacroft_store::{
        errors::{Error, Result as StoreResult},
        store::{Changes, KeyValue, Listing, Store, Watch, WatchEvent, WriteResult},
    },
};

/// The prefix of the store keys of contracts. The name of the customer follows it.
pub const CONTRACT_KEY_PREFIX: &str = "/yuccacroft/contracts/";
/// Time after which a write without an answer is reported to the operator; the store usually
/// answers within milliseconds.
const WRITE_DEADLINE: Span = Span::from_secs(3);
const WRITE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The queue of the reads that the store reader requests, in order.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    queue: Mutex<VecDeque<Action>>,
    ready: Notify,
}

/// A change of a contract that an operator submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The new contract.
    pub contract: Contract<Checked>,
    /// The revision that the change is based on; `None` accepts any revision.
    pub base: Option<Revision>,
    /// The id of the change, which makes a repeated submission safe.
    pub change: ChangeId,
    /// Whether a service may be removed.
    pub force: bool,
}

impl ReadQueue {
    pub(super) fn push(&self, action: Action) {
        lock(&self.queue).push_back(action);
        self.ready.notify_one();
    }

    async fn next(&self) -> Action {
        loop {
            if let Some(action) = lock(&self.queue).pop_front() {
                return action;
            }
            self.ready.notified().await;
        }
    }
}

impl Controllers {
    /// Reads and watches contracts in the store as the store reader requests.
    pub async fn watch_contracts<S: Store>(self: &Arc<Self>, store: &S) {
        let mut watch: Option<Watch> = None;
        loop {
            tokio::select! {
                action = self.read_queue.next() => watch = self.read(store, action, watch).await,
                event = next_event(&mut watch) => {
                    if !self.handle_watch_event(event) {
                        watch = None;
                    }
                }
            }
        }
    }

    async fn read<S: Store>(
        self: &Arc<Self>,
        store: &S,
        action: Action,
        watch: Option<Watch>,
    ) -> Option<Watch> {
        match action {
            Action::List => {
                match store.list(CONTRACT_KEY_PREFIX).await {
                    Ok(listing) => self.handle_listing(listing),
                    Err(error) => self.handle_store_error(&error),
                }
                watch
            }
            Action::Watch(from) => match store.watch(CONTRACT_KEY_PREFIX, from).await {
                Ok(watch) => Some(watch),
                Err(error) => {
                    self.handle_store_error(&error);
                    None
                }
            },
            Action::Stop => None,
            Action::Learned(_) => watch,
        }
    }

    /// Handles an event of the watch. Returns false if the watch has ended.
    fn handle_watch_event(self: &Arc<Self>, event: Option<StoreResult<WatchEvent>>) -> bool {
        match event {
            Some(Ok(WatchEvent::Changed(Changes { revision, items, .. }))) => {
                // Contracts are never removed from the store; a missing one stays in force.
                let contracts = self.parse_all(&items);
                self.step_store_reader(Event::Changed { contracts, revision });
                return true;
            }
            Some(Ok(WatchEvent::Compacted(_))) => self.step_store_reader(Event::Compacted),
            Some(Err(error)) => self.handle_store_error(&error),
            None => self.step_store_reader(Event::Failed),
        }
        false
    }

    fn handle_listing(self: &Arc<Self>, listing: Listing) {
        let contracts = self.parse_all(&listing.items);
        self.step_store_reader(Event::Listed { contracts, revision: listing.revision });
    }

    fn handle_store_error(self: &Arc<Self>, error: &Error) {
        warn!(self.log, "store call failed"; "error" => %error);
        self.step_store_reader(Event::Failed);
    }

    /// Parses contracts. An invalid one is logged, and the contract in force stays.
    fn parse_all(&self, items: &[KeyValue]) -> Vec<Arc<Contract<Accepted>>> {
        let mut contracts = Vec::with_capacity(items.len());
        for item in items {
            match StoredContract::parse(&item.key, &item.value, item.revision) {
                Ok(stored) => contracts.push(Arc::new(stored.contract)),
                Err(error) => warn!(self.log, "contract invalid"; "error" => %error),
            }
        }
        contracts
    }

    /// Writes the change of an operator and returns the outcome.
    pub async fn submit<S: Store>(
        self: &Arc<Self>,
        store: &S,
        submission: Submission,
    ) -> WriteOutcome {
        let Submission { contract, base, change, force } = submission;
        let key = format!("{CONTRACT_KEY_PREFIX}{}", contract.customer());
        let until = self.clock.now() + WRITE_DEADLINE;
        let accepted = contract.clone();
        let request = WriteRequest { contract, base, change, force, until };
        let mut writer = Writer::new(request);
        let mut event = writer::Event::Begin;
        loop {
            let action = writer.step(event, self.clock.now()).pop();
            event = match action {
                Some(writer::Action::Read) => read_back(store, &key).await,
                Some(writer::Action::Write { value, base }) => {
                    write(store, &key, &value, base).await
                }
                Some(writer::Action::Done(outcome)) => {
                    self.publish_accepted(accepted, change, &outcome);
                    return outcome;
                }
                None => {
                    tokio::time::sleep(WRITE_POLL_INTERVAL).await;
                    writer::Event::Tick
                }
            };
        }
    }

    /// Puts an accepted contract in force on this balancer at once, without waiting for the watch.
    fn publish_accepted(
        self: &Arc<Self>,
        contract: Contract<Checked>,
        change: ChangeId,
        outcome: &WriteOutcome,
    ) {
        if let WriteOutcome::Accepted { revision, latest: true } = outcome {
            self.add_contract(Arc::new(contract.accept(*revision, change)));
        }
    }
}

async fn next_event(watch: &mut Option<Watch>) -> Option<StoreResult<WatchEvent>> {
    match watch {
        Some(watch) => watch.next().await,
        None => std::future::pending().await,
    }
}

async fn read_back<S: Store>(store: &S, key: &str) -> writer::Event {
    match store.get(key).await {
        Ok(item) => parse_stored(item).map_or(writer::Event::Unreachable, writer::Event::Read),
        // A failed read has no effect on the store.
        Err(_) => writer::Event::Unreachable,
    }
}

async fn write<S: Store>(store: &S, key: &str, value: &str, base: Revision) -> writer::Event {
    match store.put(key, value, base).await {
        Ok(WriteResult::Accepted(revision)) => writer::Event::Accepted(revision),
        Ok(WriteResult::Conflict(item)) => {
            parse_stored(item).map_or(writer::Event::Unreachable, writer::Event::Conflict)
        }
        Err(Error::Unreachable(_)) => writer::Event::Unreachable,
        Err(Error::Uncertain(_) | Error::Protocol(_)) => writer::Event::Lost,
    }
}

/// Parses the stored contract. The outer `None` means that the store holds an invalid one.
fn parse_stored(item: Option<KeyValue>) -> Option<Option<Box<StoredContract>>> {
    let Some(item) = item else { return Some(None) };
    StoredContract::parse(&item.key, &item.value, item.revision).ok().map(|s| Some(Box::new(s)))
}
