//! The agent's claim on its customer's capacity.

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
        flow::Hop,
        ids::Customer,
        key::Secret,
        time::Moment,
        units::Slots,
    },
    yuccacroft_rpc::{client::Client, clock::Clock},
    yuccacroft_wire::capacity::{PATH, Query, Reply},
};

/// Longer than a balancer needs for its tries when many agents claim at once.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Claims slots through any balancer and tells how many may be used.
#[derive(Debug)]
pub struct Claimant {
    client: Client,
    balancers: Box<[SocketAddr]>,
    customer: Customer,
    key: Secret,
    hop: Hop,
    clock: Clock,
    number: AtomicU32,
    grant: Mutex<Option<Holder<Granted>>>,
    log: Logger,
}

impl Claimant {
    /// Creates the claimant of an agent that has no grant yet.
    pub fn new(settings: &Settings, hop: Hop, clock: Clock, log: Logger) -> Self {
        Self {
            client: Client::new(TIMEOUT),
            balancers: settings.balancers.clone(),
            customer: settings.customer.clone(),
            key: settings.key.clone(),
            hop,
            clock,
            number: AtomicU32::new(0),
            grant: Mutex::new(None),
            log,
        }
    }

    /// Returns the slots that may be used now.
    pub fn allowed(&self) -> Slots {
        let now = self.clock.now();
        self.grant().as_ref().map_or(Slots::default(), |holder| holder.usable_slots(now))
    }

    /// Notes that a balancer answered a message sent at `asked`.
    pub fn contact(&self, asked: Moment) {
        if let Some(holder) = self.grant().as_mut() {
            holder.record_contact(asked);
        }
    }

    /// Claims the agent's portion when it has not got it yet, and returns whether it has got it
    /// now. The caller repeats this.
    pub async fn claim(&self, terms: &Terms) -> bool {
        let want = share_per_agent(terms.share, terms.upstreams_max);
        if self.allowed() == want {
            return true;
        }
        if let Some(holder) = self.grant().as_mut() {
            holder.shrink(want);
        }
        let asked = self.clock.now();
        if let Some(Reply::Granted(slots)) = self.ask(terms, Claim::Hold(want)).await {
            self.note(slots, asked);
            info!(self.log, "capacity_granted"; "slots" => %slots, "wanted" => %want);
        }
        self.allowed() == want
    }

    /// Gives the grant back. Nothing may run any more.
    pub async fn release(&self, terms: &Terms) {
        *self.grant() = None;
        self.ask(terms, Claim::Release).await;
    }

    /// Asks one balancer after another until one answers.
    async fn ask(&self, terms: &Terms, claim: Claim) -> Option<Reply> {
        let number = ClaimNumber::new(self.number.fetch_add(1, Ordering::Relaxed) + 1);
        let (customer, service) = (self.customer.clone(), terms.service.clone());
        let query = Query { customer, service, hop: self.hop, number, claim };
        let start = number.get() as usize;
        for offset in 0..self.balancers.len() {
            let balancer = self.balancers[(start + offset) % self.balancers.len()];
            match self.client.call(balancer, PATH, &self.key, &query).await {
                Ok(reply) => return Some(reply),
                Err(error) => {
                    warn!(self.log, "claim_failed"; "error" => %error, "balancer" => balancer);
                }
            }
        }
        None
    }

    fn note(&self, slots: Slots, asked: Moment) {
        let mut grant = self.grant();
        match grant.as_mut() {
            Some(holder) => holder.renew(slots, asked),
            None => *grant = Some(Holder::new().grant(slots, asked)),
        }
    }

    fn grant(&self) -> MutexGuard<'_, Option<Holder<Granted>>> {
        self.grant.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
