//! Claims the agent's share of its customer's capacity.

use {
    crate::settings::Settings,
    slog::{Logger, info, warn},
    std::{
        net::SocketAddr,
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    yuccacroft_core::{
        capacity::{
            Claim, ClaimNumber,
            holder::{Granted, Holder},
            share_per_agent,
        },
        contract::Terms,
        flow::AgentId,
        ids::Customer,
        key::Secret,
        time::Moment,
        units::Slots,
    },
    yuccacroft_rpc::{client::Client, clock::Clock},
    yuccacroft_wire::capacity::{CAPACITY_PATH, CapacityQuery, CapacityReply},
};

/// Exceeds the time of a balancer's write retries when many agents claim at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Claims slots through any balancer and tracks how many are granted.
#[derive(Debug)]
pub struct CapacityClient {
    client: Client,
    balancers: Box<[SocketAddr]>,
    customer: Customer,
    key: Secret,
    agent_id: AgentId,
    clock: Clock,
    last_claim_number: AtomicU32,
    grant: Mutex<Option<Holder<Granted>>>,
    log: Logger,
}

impl CapacityClient {
    /// Creates a client without a grant.
    pub fn new(settings: &Settings, agent_id: AgentId, clock: Clock, log: Logger) -> Self {
        Self {
            client: Client::new(CALL_TIMEOUT),
            balancers: settings.balancers.clone(),
            customer: settings.customer.clone(),
            key: settings.key.clone(),
            agent_id,
            clock,
            last_claim_number: AtomicU32::new(0),
            grant: Mutex::new(None),
            log,
        }
    }

    /// Returns the number of slots that may be used now; zero without a grant.
    pub fn usable_slots(&self) -> Slots {
        let now = self.clock.now();
        self.grant().as_ref().map_or(Slots::default(), |holder| holder.usable_slots(now))
    }

    /// Extends the grant after a balancer answered a message that was sent at `sent_at`.
    pub fn record_contact(&self, sent_at: Moment) {
        if let Some(holder) = self.grant().as_mut() {
            holder.record_contact(sent_at);
        }
    }

    /// Claims the agent's share unless it is granted already. Returns true if the full share is
    /// granted; otherwise the caller repeats the claim later.
    pub async fn claim_share(&self, terms: &Terms) -> bool {
        let wanted = share_per_agent(terms.share, terms.upstreams_max);
        if self.usable_slots() == wanted {
            return true;
        }
        if let Some(holder) = self.grant().as_mut() {
            holder.shrink(wanted);
        }
        let sent_at = self.clock.now();
        if let Some(CapacityReply::Granted(slots)) =
            self.send_claim(terms, Claim::Hold(wanted)).await
        {
            self.store_grant(slots, sent_at);
            info!(self.log, "capacity granted"; "slots" => %slots, "wanted" => %wanted);
        }
        self.usable_slots() == wanted
    }

    /// Releases the grant. No request may run on it afterwards.
    pub async fn release(&self, terms: &Terms) {
        *self.grant() = None;
        self.send_claim(terms, Claim::Release).await;
    }

    /// Sends a claim to one balancer after another until one answers.
    async fn send_claim(&self, terms: &Terms, claim: Claim) -> Option<CapacityReply> {
        let number = ClaimNumber::new(self.last_claim_number.fetch_add(1, Ordering::Relaxed) + 1);
        let (customer, service) = (self.customer.clone(), terms.service.clone());
        let query = CapacityQuery { customer, service, agent_id: self.agent_id, number, claim };
        let start = number.get() as usize;
        for offset in 0..self.balancers.len() {
            let balancer = self.balancers[(start + offset) % self.balancers.len()];
            match self.client.call(balancer, CAPACITY_PATH, &self.key, &query).await {
                Ok(reply) => return Some(reply),
                Err(error) => {
                    warn!(self.log, "capacity claim failed"; "error" => %error,
                        "balancer" => balancer);
                }
            }
        }
        None
    }

    fn store_grant(&self, slots: Slots, sent_at: Moment) {
        let mut grant = self.grant();
        match grant.as_mut() {
            Some(holder) => holder.renew(slots, sent_at),
            None => *grant = Some(Holder::new().grant(slots, sent_at)),
        }
    }

    fn grant(&self) -> MutexGuard<'_, Option<Holder<Granted>>> {
        self.grant.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
