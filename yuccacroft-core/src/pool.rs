//! The agents that a balancer can send flows to, and the choice among them.
//!
//! Members come from a listing. Their load comes from themselves, on messages that go anyway.
//! A member that leaves the listing stays while it answers: a store that was away must not take
//! the members away with it.

use {
    crate::{
        flow::{Hop, Key},
        ids::{Domain, Incarnation, Instance},
        placement::noise,
        route::Target,
        shards::Shards,
        time::{Moment, Span},
        units::{Connections, Percent, Slots},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        sync::{PoisonError, RwLock},
    },
};

/// Time without an answer after which new flows avoid a member: many round trips between failure
/// domains, and longer than a process on a small share of a core waits for its turn.
const SUSPICION: Span = Span::from_millis(300);
/// Time without an answer after which the flows of a member are taken to be lost.
const LOSS: Span = Span::from_millis(1_000);
/// Time without an answer after which a member is taken not to have come back with all others:
/// machines that get power together start within 0.3 s, and a process needs 0.1 s.
const ABSENCE: Span = Span::from_millis(500);
/// Time for which a member that said that it stops or restarts is not taken to be lost.
const RESTART_GRACE: Span = Span::from_secs(15);
/// Time for which a member that left the listing is kept although it does not answer. Entries that
/// lapsed are back within two seconds after the store has returned.
const UNLISTED_GRACE: Span = Span::from_millis(2_500);
/// Time from the offer of a flow until its first request counts in the load of the member: a round
/// trip to the caller.
const OFFER_DELAY: Span = Span::from_millis(10);
/// Offers to one member that are kept; beyond them it is avoided anyway.
const MAX_PENDING: usize = 256;
/// Members that one choice compares, so that its cost does not grow with the service.
const COMPARED: usize = 16;
/// Cost of a member in another failure domain, in hundredths of one in the own domain.
const REMOTE_PERCENT: u64 = 115;
/// Cost of a member that warms up, in hundredths of one that is warm.
const COLD_PERCENT: u64 = 160;
/// Times by which the cost of a member grows when its upstream is busy all the time.
const BUSY_WEIGHT: u64 = 6;
/// Time for one request that is assumed of a member that has not answered any.
const DEFAULT_SERVICE_TIME: Span = Span::from_millis(20);

/// What an agent publishes of itself and its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The address and the life of the agent.
    pub hop: Hop,
    /// The number of the entry within the life of the agent.
    pub edition: u32,
    /// The service of its upstream.
    pub target: Target,
    /// Its failure domain.
    pub domain: Domain,
    /// The requests that its upstream runs at the same time.
    pub slots: Slots,
    /// What it does with flows.
    pub phase: Phase,
    /// Whether an earlier life of the agent was listed when this one wrote its first entry.
    #[serde(default)]
    pub succeeds: bool,
}

/// What an agent does with flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It takes new flows.
    Ready,
    /// It keeps the flows that it has.
    Draining,
    /// Its upstream has said that it ends, so that no flow is left. The machine may go next.
    Ended,
    /// It ends soon, while its upstream may go on and come back with another life of the agent.
    Stopping,
}

/// The load of an agent, as it says itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Whether it takes new flows now.
    pub accepting: bool,
    /// The requests in progress at its upstream.
    pub active: u32,
    /// The mean of the requests in progress over the last second, in hundredths.
    pub busy: Percent,
    /// The open flows.
    pub open: Connections,
    /// The time that its upstream takes for a request up to the first byte of the answer.
    pub service_time: Span,
    /// How much longer its upstream is slow after its start.
    pub warmup: Span,
    /// Whether it ends soon, while its upstream may go on.
    pub stopping: bool,
}

/// One agent as a balancer knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it published last.
    pub entry: Entry,
    load: Option<(Load, Moment)>,
    /// When flows were offered whose requests the load does not count yet.
    pending: VecDeque<Moment>,
    unanswered: Option<Moment>,
    unlisted: Option<Moment>,
    stopped: Option<Moment>,
    /// Whether a later life answered than the one that was listed first.
    revived: bool,
}

/// How well a member can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// It answers, or owes no answer.
    Good,
    /// It owes an answer for longer than usual.
    Suspect,
    /// It owes an answer for so long that its flows are lost.
    Lost,
}

/// What became of a listed entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The member is new or began a new life.
    Joined,
    /// It published something else than before.
    Updated,
    /// Nothing.
    None,
}

/// The members.
#[derive(Debug, Default)]
pub struct Pool {
    members: Shards<Instance, Member>,
    /// The members of each service, in order.
    services: RwLock<HashMap<Target, Vec<Instance>>>,
}

impl Member {
    fn new(entry: Entry, now: Moment) -> Self {
        let stopped = (entry.phase == Phase::Stopping).then_some(now);
        let revived = entry.succeeds;
        Self {
            entry,
            load: None,
            pending: VecDeque::new(),
            unanswered: None,
            unlisted: None,
            stopped,
            revived,
        }
    }

    /// Returns how well the member can be reached.
    pub fn reach(&self, now: Moment) -> Reach {
        match self.unanswered.map(|since| now.since(since)) {
            Some(waited) if waited >= LOSS => Reach::Lost,
            Some(waited) if waited >= SUSPICION => Reach::Suspect,
            _ => Reach::Good,
        }
    }

    /// Returns true when the flows of the member are lost for certain enough to tell the callers.
    pub fn is_lost(&self, now: Moment) -> bool {
        let restarts = self.stopped.is_some_and(|at| now.since(at) < RESTART_GRACE);
        match self.entry.phase {
            Phase::Ended => self.reach(now) >= Reach::Suspect,
            _ => self.reach(now) == Reach::Lost && !restarts,
        }
    }

    /// Returns true when the member has never answered, though it would have by now if it had started
    /// with all others.
    pub fn is_absent(&self, now: Moment) -> bool {
        self.load.is_none() && self.is_answer_overdue(ABSENCE, now)
    }

    /// Returns true when the listing showed an earlier life of the member than the one that lives.
    pub fn has_restarted(&self) -> bool {
        self.revived
    }

    /// Returns the load and its age, if the member ever told it.
    pub fn load(&self, now: Moment) -> Option<(Load, Span)> {
        self.load.map(|(load, at)| (load, now.since(at)))
    }

    /// Returns true while the member is listed.
    pub fn is_listed(&self) -> bool {
        self.unlisted.is_none()
    }

    /// Returns true when the member owes an answer for longer than `span`.
    pub fn is_answer_overdue(&self, span: Span, now: Moment) -> bool {
        self.unanswered.is_some_and(|since| now.since(since) >= span)
    }

    /// Returns how much a new flow would cost here; `None` when it takes none.
    fn cost(&self, domain: &Domain, key: Key, now: Moment) -> Option<(Reach, u64)> {
        let load = self.load.map(|(load, _)| load);
        let open = load.is_none_or(|load| load.accepting);
        if self.entry.phase != Phase::Ready || !open {
            return None;
        }
        let (load, known) = load.map_or((Load::default(), false), |load| (load, true));
        let time = if known && load.service_time > Span::ZERO {
            load.service_time
        } else {
            DEFAULT_SERVICE_TIME
        };
        let slots = u64::from(self.entry.slots.get().max(1));
        let work = u64::from(load.active) + self.pending.len() as u64 + 1;
        let mut cost = time.as_micros() * (slots + work) / slots;
        // A flow stays for many requests, so that the demand of its neighbours counts more than the
        // work of this moment, the more the closer the upstream is to its limit.
        let busy = u64::from(load.busy.get()) / slots;
        cost += cost * BUSY_WEIGHT * busy * busy / (100 * 100);
        if self.entry.domain != *domain {
            cost = cost * REMOTE_PERCENT / 100;
        }
        if load.warmup > Span::ZERO {
            cost = cost * COLD_PERCENT / 100;
        }
        // Balancers with the same knowledge must not all choose the same member.
        cost += cost * (noise(key, self.entry.hop.instance) % 16) / 100;
        Some((self.reach(now), cost))
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an entry of the listing. An entry of an earlier life or edition changes nothing.
    pub fn upsert(&self, entry: Entry, now: Moment) -> Change {
        let (instance, target) = (entry.hop.instance, entry.target);
        let change = self.members.update(instance, |slot| {
            let Some(member) = slot else {
                *slot = Some(Member::new(entry, now));
                return Change::Joined;
            };
            let order = |e: &Entry| (e.hop.incarnation, e.edition);
            if order(&entry) < order(&member.entry) {
                return Change::None;
            }
            member.unlisted = None;
            if entry == member.entry {
                return Change::None;
            }
            if entry.hop.incarnation > member.entry.hop.incarnation {
                let stopped = member.stopped;
                *member = Member::new(entry, now);
                member.stopped = member.stopped.or(stopped);
                member.revived = true;
                return Change::Joined;
            }
            if entry.phase == Phase::Stopping {
                member.stopped = Some(now);
            }
            member.entry = entry;
            Change::Updated
        });
        if change == Change::Joined {
            self.index(target, instance);
        }
        change
    }

    /// Notes that an entry is not listed any more.
    pub fn mark_unlisted(&self, instance: Instance, now: Moment) {
        self.members.update(instance, |slot| {
            if let Some(member) = slot {
                member.unlisted.get_or_insert(now);
            }
        });
    }

    /// Notes which of the members a whole listing lacks.
    pub fn sync_listing(&self, listed: impl Fn(Instance) -> bool, now: Moment) {
        self.members.retain(|instance, member| {
            if !listed(*instance) {
                member.unlisted.get_or_insert(now);
            }
            true
        });
    }

    /// Notes a message that a living member answers.
    pub fn record_query(&self, instance: Instance, now: Moment) {
        self.with(instance, |member| {
            member.unanswered.get_or_insert(now);
        });
    }

    /// Notes an offer, which adds to the load of a member before it tells so.
    pub fn record_offer(&self, instance: Instance, now: Moment) {
        self.with(instance, |member| {
            member.unanswered.get_or_insert(now);
            if member.pending.len() < MAX_PENDING {
                member.pending.push_back(now);
            }
        });
    }

    /// Notes a message of a member. Returns false for one that is not in the pool.
    pub fn record_load(&self, hop: Hop, load: Load, now: Moment) -> bool {
        let was_lost =
            |member: Option<&Member>| member.is_some_and(|member| member.reach(now) == Reach::Lost);
        // The end of a cut: what the others owe was asked while this process reached nobody.
        if self.members.read(&hop.instance, was_lost) && self.is_isolated(now) {
            self.restart_timeouts(now);
        }
        self.members.update(hop.instance, |slot| {
            let Some(member) = slot else { return false };
            if hop.incarnation < member.entry.hop.incarnation {
                return true;
            }
            member.unanswered = None;
            member.revived |= hop.incarnation > member.entry.hop.incarnation;
            member.load = Some((load, now));
            if load.stopping {
                member.stopped = Some(now);
            }
            member.pending.retain(|at| now.since(*at) < OFFER_DELAY);
            true
        })
    }

    /// Forgets how long answers are due, after a time in which this process itself stood still or was
    /// cut off.
    pub fn restart_timeouts(&self, now: Moment) {
        self.members.retain(|_, member| {
            member.unanswered = member.unanswered.map(|_| now);
            true
        });
    }

    /// Removes members that are not listed and do not answer, and returns them.
    pub fn expire(&self, now: Moment) -> Vec<Hop> {
        let mut gone = Vec::new();
        self.members.retain(|_, member| {
            let unlisted = member.unlisted.is_some_and(|at| now.since(at) >= UNLISTED_GRACE);
            let keep = !unlisted || member.reach(now) == Reach::Good;
            if !keep {
                gone.push(member.entry.hop);
            }
            keep
        });
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        for hop in &gone {
            services.values_mut().for_each(|list| list.retain(|member| *member != hop.instance));
        }
        gone
    }

    /// Returns up to `count` members of a service for a new flow, the best first. Members that may
    /// be unreachable come last.
    pub fn choose(
        &self,
        target: Target,
        domain: &Domain,
        key: Key,
        count: usize,
        now: Moment,
    ) -> Vec<Instance> {
        let compared = self.sample(target, key);
        let mut costs: Vec<_> = compared
            .into_iter()
            .filter_map(|instance| {
                let cost = |member: &Member| member.cost(domain, key, now);
                // An address can serve another service by now.
                let own = |member: &&Member| member.entry.target == target;
                Some((self.members.read(&instance, |m| m.filter(own).and_then(cost))?, instance))
            })
            .collect();
        costs.sort_unstable();
        costs.into_iter().map(|(_, instance)| instance).take(count).collect()
    }

    /// Returns a copy of a member.
    pub fn get(&self, instance: Instance) -> Option<Member> {
        self.members.get(&instance)
    }

    /// Calls `look` for every member.
    pub fn for_each(&self, mut look: impl FnMut(&Member)) {
        self.members.fold((), |(), _, member| look(member));
    }

    /// Returns true when no member that owes an answer gave one: then this process is the one that
    /// is cut off.
    pub fn is_isolated(&self, now: Moment) -> bool {
        let (lost, rest) = self.members.fold((0, 0), |(lost, rest), _, member| {
            if member.reach(now) == Reach::Lost { (lost + 1, rest) } else { (lost, rest + 1) }
        });
        lost > 0 && rest == 0
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns true when there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn with(&self, instance: Instance, change: impl FnOnce(&mut Member)) {
        self.members.update(instance, |slot| {
            if let Some(member) = slot {
                change(member);
            }
        });
    }

    /// Returns the members of a service that a choice compares.
    fn sample(&self, target: Target, key: Key) -> Vec<Instance> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let Some(members) = services.get(&target) else { return Vec::new() };
        let start = key.get() as usize % members.len().max(1);
        let (before, after) = members.split_at(start);
        after.iter().chain(before).take(COMPARED).copied().collect()
    }

    /// Adds a member to its service. One that served another service before stays listed there,
    /// where a choice passes over it.
    fn index(&self, target: Target, instance: Instance) {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        let members = services.entry(target).or_default();
        if let Err(position) = members.binary_search(&instance) {
            members.insert(position, instance);
        }
    }
}

impl Entry {
    /// Returns the life of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.hop.incarnation
    }
}
