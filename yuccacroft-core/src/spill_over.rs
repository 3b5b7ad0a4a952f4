//! Spill-over between failure domains: the share of the new flows of a service that a balancer
//! sends to upstreams in other domains. See `docs/design/spill-over.md`.
//!
//! Each balancer decides alone, from the load that the agents report. It compares the demand of its
//! own domain with the utilization up to which a caller is served better at home, and moves the
//! share towards the excess in bounded steps. It never sends more than the other domains have room
//! for.

use {
    crate::{
        flow::FlowKey,
        ids::Domain,
        rendezvous::digest,
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
};

/// Utilization up to which a domain serves its own callers only at home, and up to which it takes
/// flows of other domains. The rest is kept for changes of its own demand until reports show them.
const ROOM_UTILIZATION: f64 = 0.75;
/// Part of the latency objective that a flow has to gain before it leaves its domain. A smaller
/// gain makes no difference to the caller.
const MIN_GAIN_DIVISOR: u64 = 20;
/// Utilization below which another domain begins to get flows. A domain that sends some of its own
/// stays above it, so that no flow crosses for one that crosses back.
const MAX_NEW_RECEIVER_UTILIZATION: f64 = 0.65;
/// Utilization from which on a domain gets no more flows of other domains. Below it a domain without
/// room keeps its part of a share, which is withdrawn in steps.
const MAX_RECEIVER_UTILIZATION: f64 = 0.9;
/// Utilization that is assumed of a domain with all its upstreams while its demand is not known.
const ASSUMED_UTILIZATION: f64 = 0.5;
/// Time over which the usual number of slots follows a lower one: a domain that has not got its
/// upstreams back by then is not expected to.
const USUAL_SLOTS_TIME: Span = Span::from_secs(30);
/// Part of what it sends that a domain gives up for others that lack capacity as well. It leaves a little room
/// unused, so that a domain that began to send late gets an equal part of it.
const YIELD_FRACTION: f64 = 0.1;
/// Time after which reported loads reflect a change of the share: loads are means over a second.
const SETTLING_TIME: Span = Span::from_millis(1_000);
/// Time over which the share moves towards its target.
const RESPONSE_TIME: Span = Span::from_millis(500);
/// Maximum change of the share per second. With reports one second old, what is sent too much stays
/// below the room that the other domains keep.
const MAX_RATE_PER_SECOND: f64 = 0.25;
/// Share below which nothing is sent.
const MIN_SHARE: f64 = 0.005;
/// Limit of the settled share, so that the estimated demand stays finite.
const MAX_SETTLED_SHARE: f64 = 0.95;
/// Longest time between two updates that counts, so that a pause causes no large step.
const MAX_UPDATE_INTERVAL: Span = Span::from_millis(250);
const THOUSAND: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

newtype! {
    /// A share of the new flows of a service, in thousandths.
    Share(u32), "a number of thousandths"
}

/// What the upstreams of one failure domain have to offer to the callers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Supply {
    /// The number of requests that the upstreams process at the same time.
    pub slots: f64,
    /// The mean number of slots in use.
    pub busy: f64,
    /// The mean service time of a request.
    pub service_time: Span,
    /// The mean wait that the agents measure now; zero if they report none.
    pub wait: Span,
    /// The round trip between this balancer and the agents.
    pub round_trip: Span,
}

/// The terms of the callers and operators for leaving the domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// The strictest latency objective of the routes to the service.
    pub objective: Span,
    /// The time that a flow has to gain to be worth the bytes that cross between domains.
    pub crossing_price: Span,
}

/// The present decision for one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The share of the new flows that leaves the domain.
    pub share: Share,
    /// The domains that have room for them.
    pub receivers: Box<[Domain]>,
    /// What the decision rests on.
    pub inputs: Inputs,
}

/// What a decision rests on, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Inputs {
    /// The expected wait at home; `None` if no upstream at home takes flows.
    pub home_wait: Option<Span>,
    /// The lowest expected wait among the other domains with room, including the longer way.
    pub remote_wait: Option<Span>,
    /// The utilization of the upstreams at home.
    pub home_utilization: f64,
    /// The number of requests in progress for which the other domains have room.
    pub room: f64,
}

/// The share of one service on one balancer.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    share: f64,
    /// The share that the reported loads reflect.
    settled: f64,
    receivers: Vec<Domain>,
    /// The number of slots at home while no upstream is missing.
    usual_slots: f64,
    started_at: Option<Moment>,
    updated_at: Option<Moment>,
}

/// The receivers taken together.
#[derive(Clone, Copy, Debug, Default)]
struct Destination {
    /// The lowest expected wait with all that a flow loses by the longer way, in microseconds.
    best_time: f64,
    /// The requests in progress that fit in. It is negative if the domains have too many.
    room: f64,
}

impl Supply {
    /// Returns the mean utilization, at most one.
    pub fn utilization(&self) -> f64 {
        (self.busy / self.slots).min(1.0)
    }

    /// Returns the utilization by which the domain is judged as a sender and a receiver: the mean one,
    /// or that at which requests wait for as long as they do now. Where upstreams differ in speed
    /// requests wait at the slow ones while others have free slots.
    fn load(&self) -> f64 {
        self.utilization().max(utilization_at(micros(self.wait), micros(self.service_time)))
    }

    /// Returns the expected wait of a new request, in microseconds.
    fn expected_wait(&self) -> f64 {
        wait_at(self.load(), micros(self.service_time))
    }

    /// Returns true if flows of other domains may be sent there, now or still. A domain that sends
    /// flows out does not receive any, so both decisions use the same utilization.
    fn is_receiver(&self, was_receiver: bool) -> bool {
        let limit =
            if was_receiver { MAX_RECEIVER_UTILIZATION } else { MAX_NEW_RECEIVER_UTILIZATION };
        self.load() < limit
    }

    /// Returns the number of requests in progress that fit in beside those of the domain's own
    /// callers. It uses the mean utilization, since requests that wait in a burst
    /// occupy no slot.
    fn room(&self) -> f64 {
        (ROOM_UTILIZATION - self.utilization()) * self.slots
    }
}

impl Plan {
    /// Returns true if a flow leaves the domain. Balancers with the same share agree about a flow.
    pub fn sends(&self, key: FlowKey) -> bool {
        let draw = digest(&("spill-over", key.get())) % THOUSAND as u64;
        draw < u64::from(self.share.get())
    }
}

impl Controller {
    /// Updates the share from the supply of the balancer's own domain and of the others. `home` is
    /// `None` if no upstream there takes flows.
    pub fn update(
        &mut self,
        home: Option<&Supply>,
        others: &[(&Domain, Supply)],
        terms: &Terms,
        now: Moment,
    ) -> Plan {
        let elapsed = self.elapsed(now);
        self.settled += (self.share - self.settled) * fraction(elapsed, SETTLING_TIME);
        self.receivers = self.choose_receivers(others);
        let destination = Destination::new(home, others, &self.receivers);
        let target = home.map_or(1.0, |home| self.target(home, &destination, others.len(), terms));
        let returning_share = self.returning_share(home, others, elapsed);
        let started_at = *self.started_at.get_or_insert(now);
        if now.since(started_at) < SETTLING_TIME {
            // No load shows the demand yet, so the slots at home decide.
            self.share = returning_share;
            return self.plan(home, &destination);
        }
        // The demand that returns with the upstreams does not show in their load before.
        let target = target.max(returning_share.min(self.share));
        let max_step = MAX_RATE_PER_SECOND * micros(elapsed) / MICROS_PER_SECOND;
        let step = (target - self.share) * fraction(elapsed, RESPONSE_TIME);
        self.share += step.clamp(-max_step, max_step);
        if target <= 0.0 && self.share < MIN_SHARE {
            self.share = 0.0;
        }
        self.plan(home, &destination)
    }

    /// Returns the share that has to leave while upstreams at home are missing, if the demand is as
    /// usual. A process that has just started compares the slots at home with those elsewhere.
    fn returning_share(
        &mut self,
        home: Option<&Supply>,
        others: &[(&Domain, Supply)],
        elapsed: Span,
    ) -> f64 {
        let slots = home.map_or(0.0, |home| home.slots);
        if self.started_at.is_none() {
            let others_slots: f64 = others.iter().map(|(_, supply)| supply.slots).sum();
            self.usual_slots = others_slots / others.len().max(1) as f64;
        }
        if home.is_some() {
            self.usual_slots *= 1.0 - fraction(elapsed, USUAL_SLOTS_TIME);
        }
        self.usual_slots = self.usual_slots.max(slots);
        let usual_demand = ASSUMED_UTILIZATION * self.usual_slots;
        if usual_demand <= 0.0 {
            return 0.0;
        }
        (1.0 - ROOM_UTILIZATION * slots / usual_demand).max(0.0)
    }

    fn choose_receivers(&self, others: &[(&Domain, Supply)]) -> Vec<Domain> {
        // Other domains may serve flows of this one since before this process started.
        let is_new = self.started_at.is_none();
        let receivers = others.iter().filter(|(domain, supply)| {
            supply.is_receiver(is_new || self.receivers.contains(domain))
        });
        receivers.map(|(domain, _)| (*domain).clone()).collect()
    }

    fn elapsed(&mut self, now: Moment) -> Span {
        let elapsed = self.updated_at.map_or(Span::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        elapsed.min(MAX_UPDATE_INTERVAL)
    }

    /// Returns the share at which the home domain is as busy as is best for its callers, as far as
    /// the others have room.
    fn target(
        &self,
        home: &Supply,
        destination: &Destination,
        others: usize,
        terms: &Terms,
    ) -> f64 {
        let settled = self.settled.min(MAX_SETTLED_SHARE);
        let demand = home.load() * home.slots / (1.0 - settled);
        if demand <= 0.0 {
            return 0.0;
        }
        let min_gain =
            micros(terms.crossing_price) + micros(terms.objective) / MIN_GAIN_DIVISOR as f64;
        let max_wait = (destination.best_time + min_gain).max(0.0);
        let best_utilization =
            utilization_at(max_wait, micros(home.service_time)).max(ROOM_UTILIZATION);
        let excess = demand - best_utilization * home.slots;
        // All other domains may need the same room, and each decides alone.
        let kept = settled * demand * (1.0 - YIELD_FRACTION);
        let limit = kept + destination.room / others.max(1) as f64;
        (excess.min(limit) / demand).clamp(0.0, 1.0)
    }

    fn plan(&self, home: Option<&Supply>, destination: &Destination) -> Plan {
        let remote_wait =
            destination.best_time + home.map_or(0.0, |home| micros(home.service_time));
        let inputs = Inputs {
            home_wait: home.map(|home| span(home.expected_wait())),
            remote_wait: (!self.receivers.is_empty()).then(|| span(remote_wait.max(0.0))),
            home_utilization: home.map_or(0.0, Supply::load),
            room: destination.room,
        };
        let share = Share::new((self.share * THOUSAND).round() as u32);
        Plan { share, receivers: self.receivers.clone().into(), inputs }
    }
}

impl Destination {
    fn new(home: Option<&Supply>, others: &[(&Domain, Supply)], receivers: &[Domain]) -> Self {
        let home = home.copied().unwrap_or_default();
        let time = |supply: &Supply| {
            let way = micros(supply.round_trip) - micros(home.round_trip);
            let work = micros(supply.service_time) - micros(home.service_time);
            supply.expected_wait() + way.max(0.0) + work
        };
        if receivers.is_empty() {
            // What was sent before is withdrawn.
            let room = others.iter().map(|(_, supply)| supply.room().min(0.0)).sum();
            return Self { best_time: f64::INFINITY, room };
        }
        let supplies = || others.iter().filter(|(domain, _)| receivers.contains(domain));
        Self {
            best_time: supplies().map(|(_, supply)| time(supply)).fold(f64::INFINITY, f64::min),
            room: supplies().map(|(_, supply)| supply.room()).sum(),
        }
    }
}

/// Returns the expected wait at upstreams of this utilization, for exponential service times.
fn wait_at(utilization: f64, service_time: f64) -> f64 {
    // Keeps the wait finite.
    const MAX_UTILIZATION: f64 = 0.99;
    let utilization = utilization.min(MAX_UTILIZATION);
    service_time * utilization * utilization / (1.0 - utilization)
}

/// Returns the utilization at which the expected wait is this one: the inverse of [`wait_at`].
fn utilization_at(wait: f64, service_time: f64) -> f64 {
    if wait <= 0.0 || service_time <= 0.0 {
        return 0.0;
    }
    if wait.is_infinite() {
        return 1.0;
    }
    let ratio = wait / service_time;
    ((ratio * ratio + 4.0 * ratio).sqrt() - ratio) / 2.0
}

/// Returns the part of a difference by which a first-order filter moves in a time.
fn fraction(elapsed: Span, time_constant: Span) -> f64 {
    1.0 - (-micros(elapsed) / micros(time_constant)).exp()
}

fn micros(span: Span) -> f64 {
    span.as_micros() as f64
}

fn span(micros: f64) -> Span {
    Span::from_micros(micros as u64)
}
