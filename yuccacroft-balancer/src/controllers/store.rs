//! Reads and writes of the store.

use {
    super::{Controllers, locked},
    slog::warn,
    std::{collections::VecDeque, sync::Arc, sync::Mutex, time::Duration},
    tokio::sync::Notify,
    yuccacroft_core::{
        contract::{
            Accepted, Checked, Contract,
            change::Stored,
            store_reader::{Action, Event},
            writer::{self, WriteOutcome, WriteRequest, Writer},
        },
        controller::Controller,
        ids::{ChangeId, Revision},
        time::Span,
    },
    yuccacroft_store::{
        errors::{Error, Result as StoreResult},
        store::{Changes, Item, Listing, Outcome, Store, Watch, WatchEvent},
    },
};

/// The store's keys of contracts begin with this; the customer's name follows.
pub const CONTRACT_KEY_PREFIX: &str = "/yuccacroft/contracts/";
/// The store answers in milliseconds; after this time the operator is told that it does not.
const WRITE_DEADLINE: Span = Span::from_secs(3);
const WRITE_TICK: Duration = Duration::from_millis(100);

/// What the follower asks of the store, in order.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    queue: Mutex<VecDeque<Action>>,
    ready: Notify,
}

/// What an operator submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The new contract.
    pub contract: Contract<Checked>,
    /// The revision that the operator saw; `None` takes whatever is there.
    pub base: Option<Revision>,
    /// The id of the change. A repeated submission with the same id is safe.
    pub change: ChangeId,
    /// Whether a service may be removed.
    pub force: bool,
}

impl ReadQueue {
    pub(super) fn push(&self, action: Action) {
        locked(&self.queue).push_back(action);
        self.ready.notify_one();
    }

    async fn next(&self) -> Action {
        loop {
            if let Some(action) = locked(&self.queue).pop_front() {
                return action;
            }
            self.ready.notified().await;
        }
    }
}

impl Controllers {
    /// Reads contracts from the store whenever the follower wants it.
    pub async fn follow<S: Store>(self: &Arc<Self>, store: &S) {
        let mut watch: Option<Watch> = None;
        loop {
            tokio::select! {
                action = self.reading.next() => watch = self.read(store, action, watch).await,
                notice = next(&mut watch) => {
                    if !self.noticed(notice) {
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
                    Ok(listing) => self.listed(listing),
                    Err(error) => self.store_failed(&error),
                }
                watch
            }
            Action::Watch(from) => match store.watch(CONTRACT_KEY_PREFIX, from).await {
                Ok(watch) => Some(watch),
                Err(error) => {
                    self.store_failed(&error);
                    None
                }
            },
            Action::Stop => None,
            Action::Learned(_) => watch,
        }
    }

    /// Takes a notice; false means that the watch has ended.
    fn noticed(self: &Arc<Self>, notice: Option<StoreResult<WatchEvent>>) -> bool {
        match notice {
            Some(Ok(WatchEvent::Changed(Changes { revision, items, removed: _ }))) => {
                // A contract is never removed; its absence would not end it.
                let contracts = self.parse_all(&items);
                self.step_follower(Event::Changed { contracts, revision });
                return true;
            }
            Some(Ok(WatchEvent::Compacted(_))) => self.step_follower(Event::Compacted),
            Some(Err(error)) => self.store_failed(&error),
            None => self.step_follower(Event::Failed),
        }
        false
    }

    fn listed(self: &Arc<Self>, listing: Listing) {
        let contracts = self.parse_all(&listing.items);
        self.step_follower(Event::Listed { contracts, revision: listing.revision });
    }

    fn store_failed(self: &Arc<Self>, error: &Error) {
        warn!(self.log, "store_failed"; "error" => %error);
        self.step_follower(Event::Failed);
    }

    /// Parses contracts. An invalid one is logged and the one in force stays.
    fn parse_all(&self, items: &[Item]) -> Vec<Arc<Contract<Accepted>>> {
        let mut contracts = Vec::with_capacity(items.len());
        for item in items {
            match Stored::parse(&item.key, &item.value, item.revision) {
                Ok(stored) => contracts.push(Arc::new(stored.contract)),
                Err(error) => warn!(self.log, "contract_invalid"; "error" => %error),
            }
        }
        contracts
    }

    /// Carries out the write of an operator.
    pub async fn submit<S: Store>(
        self: &Arc<Self>,
        store: &S,
        submission: Submission,
    ) -> WriteOutcome {
        let Submission { contract, base, change, force } = submission;
        let key = format!("{CONTRACT_KEY_PREFIX}{}", contract.customer());
        let until = self.clock.now() + WRITE_DEADLINE;
        let accepted = contract.clone();
        let order = WriteRequest { contract, base, change, force, until };
        let mut writer = Writer::new(order);
        let mut event = writer::Event::Begin;
        loop {
            let action = writer.step(event, self.clock.now()).pop();
            event = match action {
                Some(writer::Action::Read) => read_back(store, &key).await,
                Some(writer::Action::Write { value, base }) => {
                    write(store, &key, &value, base).await
                }
                Some(writer::Action::Done(verdict)) => {
                    self.spread(accepted, change, &verdict);
                    return verdict;
                }
                None => {
                    tokio::time::sleep(WRITE_TICK).await;
                    writer::Event::Tick
                }
            };
        }
    }

    /// Puts an accepted contract in force here at once, without waiting for the watch.
    fn spread(
        self: &Arc<Self>,
        contract: Contract<Checked>,
        change: ChangeId,
        verdict: &WriteOutcome,
    ) {
        if let WriteOutcome::Accepted { revision, latest: true } = verdict {
            self.learn(Arc::new(contract.accept(*revision, change)));
        }
    }
}

async fn next(watch: &mut Option<Watch>) -> Option<StoreResult<WatchEvent>> {
    match watch {
        Some(watch) => watch.next().await,
        None => std::future::pending().await,
    }
}

async fn read_back<S: Store>(store: &S, key: &str) -> writer::Event {
    match store.get(key).await {
        Ok(item) => parse(item).map_or(writer::Event::Unreachable, writer::Event::Read),
        // A read has no effect, whatever became of it.
        Err(_) => writer::Event::Unreachable,
    }
}

async fn write<S: Store>(store: &S, key: &str, value: &str, base: Revision) -> writer::Event {
    match store.put(key, value, base).await {
        Ok(Outcome::Accepted(revision)) => writer::Event::Accepted(revision),
        Ok(Outcome::Conflict(item)) => {
            parse(item).map_or(writer::Event::Unreachable, writer::Event::Conflict)
        }
        Err(Error::Unreachable(_)) => writer::Event::Unreachable,
        Err(Error::Uncertain(_) | Error::Protocol(_)) => writer::Event::Lost,
    }
}

/// Parses what the store holds; `None` means that it holds no valid contract.
fn parse(item: Option<Item>) -> Option<Option<Box<Stored>>> {
    let Some(item) = item else { return Some(None) };
    Stored::parse(&item.key, &item.value, item.revision).ok().map(|s| Some(Box::new(s)))
}
