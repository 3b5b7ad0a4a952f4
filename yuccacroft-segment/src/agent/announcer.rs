//! Publishes the entry of an agent in the store and keeps it there.

use {
    super::{
        controllers::Controllers, process::Settings, relay::Relay, rewrite_limit::RewriteLimit,
    },
    crate::{
        balancer::controllers::AGENT_KEY_PREFIX,
        host::Host,
        platform::{Platform, Socket},
        prefix_watcher::Backoff,
    },
    serde::{Deserialize, Serialize},
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
    yuccacroft_core::{
        clocks::Reading,
        ids::Domain,
        lease::Id,
        pool::{AgentEntry, AgentPhase},
        time::Span,
        upstream,
    },
    yuccacroft_store::{
        errors::{Error, Result},
        store::{Store, WriteResult},
    },
};

/// Term of the lease of the entry. It is longer than an outage of the store or a restart of many
/// machines, so that restarted balancers find the agents in the store at once. An entry that
/// outlives its agent costs balancers one query without an answer.
const LEASE_TERM: Span = Span::from_secs(24);
/// Time between lease renewals: two of them can fail within the term.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(7);
/// Time that the first write waits for a report of the upstream. Upstreams start seconds after
/// their machines.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest delay between failed calls: an entry that expired in an outage of the store is to be back
/// about two seconds after it.
const MAX_DELAY: Duration = Duration::from_millis(1_400);
/// Time after the departure of the upstream in which the agent is usually stopped, so that one call
/// removes the entry.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a store call during shutdown.
const SHUTDOWN_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The kind of the next call to the store.
#[derive(Clone, Copy, Debug)]
enum StoreCall {
    /// Writes the entry.
    Write,
    /// Renews the lease of the entry.
    Renew,
    /// Reads the entry, since it is missing in a balancer's listing.
    Check,
}

/// The entry of an agent as it stands in the store.
#[derive(Debug, Serialize, Deserialize)]
struct StoredEntry {
    #[serde(flatten)]
    entry: AgentEntry,
    /// The clocks of the machine at the start of the agent, for its next incarnation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    clocks: Option<Reading>,
}

/// Writes the entry of one agent and renews its lease.
pub struct Announcer<P: Platform> {
    relay: Arc<Relay<P::Format, Socket<P>>>,
    controllers: Arc<Controllers<P>>,
    store: P::Store,
    /// The clocks of the machine at the start of the agent.
    clocks: Reading,
    domain: Domain,
    log: Logger,
    lease: Option<Id>,
    entry_version: u32,
    /// Whether an entry of an earlier incarnation was listed; `None` until that is known.
    succeeds: Option<bool>,
    /// The number of failed calls in a row.
    failures: u32,
    backoff: Backoff,
    rewrites: RewriteLimit,
}

impl<P: Platform> Announcer<P> {
    /// Creates an announcer without an entry in the store.
    pub fn new(
        relay: Arc<Relay<P::Format, Socket<P>>>,
        controllers: Arc<Controllers<P>>,
        platform: &P,
        settings: &Settings,
    ) -> Self {
        Self {
            store: platform.store_client(settings.store.into()),
            clocks: Reading {
                wall: platform.host().wall_clock(),
                boot: platform.host().boot_clock(),
            },
            domain: settings.domain.clone(),
            log: relay.flow_log.log().clone(),
            backoff: Backoff::new(platform.host().seed(), MAX_DELAY),
            relay,
            controllers,
            lease: None,
            entry_version: 0,
            succeeds: None,
            failures: 0,
            rewrites: RewriteLimit::default(),
        }
    }

    /// Keeps the entry up to date. It does not return.
    pub async fn run(&mut self) {
        // An entry without a report of the upstream shows only that the agent exists.
        let first_report =
            tokio::time::timeout(FIRST_REPORT_TIMEOUT, self.controllers.entry_changed.notified());
        if first_report.await.is_err() {
            info!(self.log, "no report yet");
        }
        let mut next = StoreCall::Write;
        loop {
            let result = match next {
                StoreCall::Write => self.write_entry().await,
                StoreCall::Renew => self.renew_lease().await,
                StoreCall::Check => self.check_entry().await,
            };
            match result {
                Ok(published) => {
                    if std::mem::take(&mut self.failures) > 0 {
                        info!(self.log, "store regained"; "edition" => self.entry_version);
                    }
                    next = if published { StoreCall::Renew } else { StoreCall::Write };
                    if !published {
                        continue;
                    }
                }
                Err(error) => {
                    if self.failures == 0 {
                        warn!(self.log, "store lost"; "cause" => %error);
                    }
                    self.failures += 1;
                }
            }
            let delay = match self.failures {
                0 => RENEWAL_INTERVAL,
                failures => self.backoff.delay(failures),
            };
            tokio::select! {
                biased;
                () = tokio::time::sleep(delay) => {}
                () = self.controllers.entry_changed.notified() => {
                    next = StoreCall::Write;
                    if self.relay.state.monitor().has_departed() {
                        tokio::time::sleep(STOP_DELAY).await;
                    }
                }
                () = self.wait_until_unlisted() => {
                    if matches!(next, StoreCall::Renew) {
                        next = StoreCall::Check;
                    }
                }
            }
        }
    }

    /// Writes the entry again during the shutdown, since a balancer lacks it. Otherwise balancers that
    /// start meanwhile would not ask the agent for its flows.
    pub async fn write_again(&mut self) {
        self.rewrites.record(Instant::now());
        self.write_last().await;
    }

    /// Waits until a balancer lacks the entry and it may be checked.
    pub async fn wait_until_unlisted(&self) {
        tokio::time::sleep_until(self.rewrites.next_check(Instant::now())).await;
        self.relay.entry_unlisted.notified().await;
    }

    /// Writes the entry once more, so that balancers learn that the agent shuts down.
    pub async fn write_last(&mut self) {
        match tokio::time::timeout(SHUTDOWN_CALL_TIMEOUT, self.write_entry()).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => warn!(self.log, "last entry not written"; "cause" => %error),
            Err(_) => warn!(self.log, "last entry not written"; "cause" => "timeout"),
        }
    }

    /// Removes the entry by revoking its lease and retries failed calls while `in_time` returns
    /// true. An entry that stays makes balancers wait for answers of an agent that has exited.
    pub async fn remove(&mut self, in_time: impl Fn() -> bool) {
        let Some(lease) = self.lease else { return };
        for failures in 1.. {
            match tokio::time::timeout(SHUTDOWN_CALL_TIMEOUT, self.store.revoke(lease)).await {
                Ok(Ok(())) => return,
                Ok(Err(error)) => warn!(self.log, "entry not removed"; "cause" => %error),
                Err(_) => warn!(self.log, "entry not removed"; "cause" => "timeout"),
            }
            if !in_time() {
                return;
            }
            tokio::time::sleep(self.backoff.delay(failures)).await;
        }
    }

    /// Writes the entry. Returns false if the lease has expired.
    async fn write_entry(&mut self) -> Result<bool> {
        let lease = match self.lease {
            Some(lease) => lease,
            None => *self.lease.insert(self.store.grant(LEASE_TERM).await?),
        };
        if self.succeeds.is_none() && self.create_entry(lease).await? {
            return Ok(true);
        }
        let (entry, value) = self.next_entry()?;
        if !self.store.put_with_lease(&self.key(), &value, lease).await? {
            self.lease = None;
            return Ok(false);
        }
        self.record_written(&entry, lease);
        Ok(true)
    }

    /// Writes the first entry of this process, unless there is one for its address already, whose
    /// incarnation it succeeds then. Returns true if it was written.
    async fn create_entry(&mut self, lease: Id) -> Result<bool> {
        let (entry, value) = self.next_entry()?;
        let created = self.store.create_with_lease(&self.key(), &value, lease).await;
        // The lease may be the cause, so the next attempt creates another one.
        let created = created.inspect_err(|_| self.lease = None)?;
        let WriteResult::Conflict(found) = created else {
            self.succeeds = Some(false);
            self.record_written(&entry, lease);
            return Ok(true);
        };
        // The entry of this process exists if the answer to an earlier attempt was lost.
        let earlier = found.and_then(|item| self.decode_entry(&item.value));
        let earlier = earlier.filter(|found| found.entry.agent_id != entry.agent_id);
        self.succeeds = Some(earlier.is_some());
        if let Some(StoredEntry { entry: earlier, clocks }) = earlier {
            self.relay.succeed(earlier.incarnation());
            self.relay.state.note_slots(earlier.slots);
            if clocks.is_some_and(|clocks| self.clocks.is_steady_since(clocks)) {
                self.relay.state.monitor().record_steady_clock();
            }
        }
        Ok(false)
    }

    /// Returns the next version of the entry and its value in the store.
    fn next_entry(&mut self) -> Result<(AgentEntry, String)> {
        self.entry_version += 1;
        let entry = self.current_entry();
        let stored = StoredEntry { entry, clocks: Some(self.clocks) };
        let value = serde_json::to_string(&stored)
            .map_err(|error| Error::Protocol(error.to_string().into()))?;
        Ok((stored.entry, value))
    }

    fn record_written(&self, entry: &AgentEntry, lease: Id) {
        self.relay.set_written_entry(entry.entry_version);
        info!(self.log, "entry written"; "edition" => entry.entry_version, "phase" => ?entry.phase,
            "lease" => %lease);
    }

    fn key(&self) -> String {
        format!("{AGENT_KEY_PREFIX}{}", self.relay.agent_id().instance)
    }

    /// Checks whether the store has the entry and returns false if it does not. Keys can vanish
    /// although their lease is valid, and a late write of an earlier incarnation can replace them.
    async fn check_entry(&mut self) -> Result<bool> {
        let entry = self.read_entry().await?;
        let expected = (self.relay.agent_id(), self.entry_version);
        let present = entry.is_some_and(|entry| (entry.agent_id, entry.entry_version) == expected);
        if present {
            // The balancer whose listing lacks the entry has lost the connection to the store.
            self.relay.set_written_entry(self.entry_version);
        } else {
            info!(self.log, "entry missing"; "edition" => self.entry_version);
            self.rewrites.record(Instant::now());
            self.lease = None;
        }
        Ok(present)
    }

    /// Reads the stored entry for the address of the agent, and raises the agent's incarnation above
    /// that of an earlier process. Returns `None` for an entry that cannot be decoded, which the next
    /// write replaces.
    async fn read_entry(&self) -> Result<Option<AgentEntry>> {
        let found = self.store.get(&self.key()).await?;
        let entry = found.and_then(|item| self.decode_entry(&item.value)).map(|found| found.entry);
        if let Some(entry) = &entry {
            self.relay.succeed(entry.incarnation());
        }
        Ok(entry)
    }

    /// Renews the lease. Returns false if it has expired.
    async fn renew_lease(&mut self) -> Result<bool> {
        let Some(lease) = self.lease else { return Ok(false) };
        let held = self.store.renew(lease).await?;
        if !held {
            info!(self.log, "lease ended"; "lease" => %lease);
            self.lease = None;
        }
        Ok(held)
    }

    fn current_entry(&self) -> AgentEntry {
        let monitor = self.relay.state.monitor();
        let report = monitor.last_report();
        let ready = report.is_some_and(|report| report.phase == upstream::UpstreamPhase::Ready);
        let phase = if monitor.has_departed() {
            AgentPhase::Ended
        } else if self.relay.state.is_stopping() {
            AgentPhase::Stopping
        } else if ready && !monitor.is_gone() {
            AgentPhase::Ready
        } else {
            AgentPhase::Draining
        };
        AgentEntry {
            agent_id: self.relay.agent_id(),
            entry_version: self.entry_version,
            target: self.relay.state.target,
            domain: self.domain.clone(),
            slots: report.map(|report| report.slots).unwrap_or_default(),
            phase,
            succeeds: self.succeeds.unwrap_or_default(),
        }
    }

    /// Decodes a stored entry of this agent. Returns `None` for one that cannot be decoded or is of
    /// another agent, which the next write replaces.
    fn decode_entry(&self, value: &str) -> Option<StoredEntry> {
        let found: StoredEntry = serde_json::from_str(value).ok()?;
        (found.entry.agent_id.instance == self.relay.agent_id().instance).then_some(found)
    }
}
