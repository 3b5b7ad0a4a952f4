//! Keeps the entry of an agent in the store.

use {
    super::{controllers::Controllers, process::Settings, relay::Relay},
    crate::{
        balancer::controllers::AGENT_KEY_PREFIX,
        follower::Jitter,
        host::Host,
        platform::{Platform, Socket},
    },
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    yuccacroft_core::{
        ids::Domain,
        lease::Id,
        pool::{Entry, Phase},
        time::Span,
        upstream,
    },
    yuccacroft_store::{
        errors::{Error, Result},
        store::Store,
    },
};

/// Term of the lease under which the entry stands: longer than an outage of the store or a restart
/// of many machines, after which balancers that know nothing must find the agents at once. An entry
/// that outlives its agent costs a question that stays without an answer.
const TERM: Span = Span::from_secs(24);
/// Pause between renewals, so that two of them can fail within the term.
const RENEWAL: Duration = Duration::from_secs(7);
/// Time after the start of an agent within which its upstream has reported, if it lives. Upstreams
/// start seconds after their machines.
const FIRST_REPORT: Duration = Duration::from_secs(5);
/// Time for one last call of a process that ends.
const LAST_CALL: Duration = Duration::from_millis(300);

/// The next call to the store.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// The entry is written.
    Write,
    /// Its lease is renewed.
    Renew,
    /// The entry is read, since a balancer does not see it.
    Check,
}

/// Writes the entry of one agent.
pub struct Announcer<P: Platform> {
    relay: Arc<Relay<P::Format, Socket<P>>>,
    control: Arc<Controllers<P>>,
    store: P::Store,
    domain: Domain,
    log: Logger,
    lease: Option<Id>,
    edition: u32,
    /// Whether an earlier life was listed, once that is known.
    succeeds: Option<bool>,
    failures: u32,
    jitter: Jitter,
}

impl<P: Platform> Announcer<P> {
    /// Creates an announcer that has written nothing.
    pub fn new(
        relay: Arc<Relay<P::Format, Socket<P>>>,
        control: Arc<Controllers<P>>,
        platform: &P,
        settings: &Settings,
    ) -> Self {
        Self {
            store: platform.store_client(settings.store.into()),
            domain: settings.domain.clone(),
            log: relay.journal.log().clone(),
            jitter: Jitter::new(platform.host().seed()),
            relay,
            control,
            lease: None,
            edition: 0,
            succeeds: None,
            failures: 0,
        }
    }

    /// Keeps the entry up to date for ever.
    pub async fn run(&mut self) {
        // Without a report there is nothing to tell but that the agent is there.
        let first = tokio::time::timeout(FIRST_REPORT, self.control.changed.notified());
        if first.await.is_err() {
            info!(self.log, "no report yet");
        }
        let mut next = Next::Write;
        loop {
            let result = match next {
                Next::Write => self.write().await,
                Next::Renew => self.renew().await,
                Next::Check => self.check().await,
            };
            match result {
                Ok(done) => {
                    if std::mem::take(&mut self.failures) > 0 {
                        info!(self.log, "store regained"; "edition" => self.edition);
                    }
                    next = if done { Next::Renew } else { Next::Write };
                    if !done {
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
            let pause = match self.failures {
                0 => RENEWAL,
                failures => self.jitter.pause(failures),
            };
            tokio::select! {
                biased;
                () = tokio::time::sleep(pause) => {}
                () = self.control.changed.notified() => next = Next::Write,
                () = self.relay.unlisted.notified() => {
                    if matches!(next, Next::Renew) {
                        next = Next::Check;
                    }
                }
            }
        }
    }

    /// Writes the entry for the last time, so that balancers know that the agent ends.
    pub async fn conclude(&mut self) {
        match tokio::time::timeout(LAST_CALL, self.write()).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => warn!(self.log, "last call failed"; "cause" => %error),
            Err(_) => warn!(self.log, "last call failed"; "cause" => "timeout"),
        }
    }

    /// Removes the entry, since nothing is left to be found here. It tries while `in_time` holds: an
    /// entry that stays makes balancers wait for an agent that is gone.
    pub async fn remove(&mut self, in_time: impl Fn() -> bool) {
        let Some(lease) = self.lease else { return };
        for failures in 1.. {
            match tokio::time::timeout(LAST_CALL, self.store.revoke(lease)).await {
                Ok(Ok(())) => return,
                Ok(Err(error)) => warn!(self.log, "entry not removed"; "cause" => %error),
                Err(_) => warn!(self.log, "entry not removed"; "cause" => "timeout"),
            }
            if !in_time() {
                return;
            }
            tokio::time::sleep(self.jitter.pause(failures)).await;
        }
    }

    /// Writes the entry; false means that the lease has ended.
    async fn write(&mut self) -> Result<bool> {
        let lease = match self.lease {
            Some(lease) => lease,
            None => *self.lease.insert(self.store.grant(TERM).await?),
        };
        if self.succeeds.is_none() {
            self.succeeds = Some(self.listed().await?.is_some());
        }
        self.edition += 1;
        let entry = self.entry();
        let value = serde_json::to_string(&entry)
            .map_err(|error| Error::Protocol(error.to_string().into()))?;
        let key = format!("{AGENT_KEY_PREFIX}{}", entry.hop.instance);
        if !self.store.publish(&key, &value, lease).await? {
            self.lease = None;
            return Ok(false);
        }
        self.relay.set_written(self.edition);
        info!(self.log, "entry written"; "edition" => self.edition, "phase" => ?entry.phase,
            "lease" => %lease);
        Ok(true)
    }

    /// Looks whether the entry is there; false means that it is not. Keys can vanish while their
    /// lease goes on, and a late write of an earlier life can replace them.
    async fn check(&mut self) -> Result<bool> {
        let entry = self.listed().await?;
        let own = (self.relay.own(), self.edition);
        let present = entry.is_some_and(|entry| (entry.hop, entry.edition) == own);
        if present {
            // The balancer that does not see it has lost the store.
            self.relay.set_written(self.edition);
        } else {
            info!(self.log, "entry missing"; "edition" => self.edition);
            self.lease = None;
        }
        Ok(present)
    }

    /// Reads the entry that is listed for the address of the agent. One that cannot be read is left to
    /// the next write.
    async fn listed(&self) -> Result<Option<Entry>> {
        let key = format!("{AGENT_KEY_PREFIX}{}", self.relay.own().instance);
        let found = self.store.get(&key).await?;
        Ok(found.and_then(|item| serde_json::from_str(&item.value).ok()))
    }

    /// Renews the lease; false means that it has ended.
    async fn renew(&mut self) -> Result<bool> {
        let Some(lease) = self.lease else { return Ok(false) };
        let held = self.store.renew(lease).await?;
        if !held {
            info!(self.log, "lease ended"; "lease" => %lease);
            self.lease = None;
        }
        Ok(held)
    }

    fn entry(&self) -> Entry {
        let monitor = self.relay.beliefs.monitor();
        let report = monitor.last();
        let ready = report.is_some_and(|report| report.phase == upstream::Phase::Ready);
        let phase = if monitor.has_left() {
            Phase::Ended
        } else if self.relay.beliefs.is_stopping() {
            Phase::Stopping
        } else if ready && !monitor.is_gone() {
            Phase::Ready
        } else {
            Phase::Draining
        };
        Entry {
            hop: self.relay.own(),
            edition: self.edition,
            target: self.relay.beliefs.target,
            domain: self.domain.clone(),
            slots: report.map(|report| report.slots).unwrap_or_default(),
            phase,
            succeeds: self.succeeds.unwrap_or_default(),
        }
    }
}
