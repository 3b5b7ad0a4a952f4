//! The controllers of a balancer: configuration, members and their reach.

use {
    super::{chain, relay::Relay},
    crate::{
        dump,
        follower::{Follower, Sink},
        host::Host,
        platform::{ParsedConfig, Platform, Readiness, Socket},
    },
    slog::{info, warn},
    std::{
        collections::HashSet,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::MissedTickBehavior},
    yuccacroft_core::{
        ids::Instance,
        pool::{Change, Entry, Reach},
        time::{Moment, Span},
    },
    yuccacroft_store::store::{Changes, Item, Listing},
};

/// The store's keys of agents begin with this; the address of the agent follows.
pub const AGENT_KEY_PREFIX: &str = "yuccacroft/agents/";
/// The metric of the flows that are remembered.
const FLOWS: &str = "yuccacroft_balancer_flows";
/// The metric of the agents that are known.
const MEMBERS_KNOWN: &str = "yuccacroft_balancer_members";
/// The metric of the searches under way.
const SEARCHES: &str = "yuccacroft_balancer_searches";
/// The metric of the version of the configuration in force.
const CONFIGURATION_VERSION: &str = "yuccacroft_balancer_configuration_version";
/// The metric of the age of the oldest load of an agent.
const LOAD_AGE: &str = "yuccacroft_balancer_load_age_seconds";
/// Pause between changes of members: agents that start together cost one call.
const MEMBERS_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two steps of the searches.
const TICK: Duration = Duration::from_millis(25);
/// Steps between two checks of the members that owe an answer.
const CHECK_TICKS: u64 = 4;
/// Steps between two questions to every member.
const PING_TICKS: u64 = 40;
/// Time between two steps after which this process itself stood still.
const STALL: Span = Span::from_millis(400);
/// Time from the first listing on after which the list of agents counts as complete: entries that
/// lapsed are back within about two seconds.
const CERTAINTY: Span = Span::from_millis(2_000);

/// What a balancer believes and how it keeps up.
pub struct Controllers<P: Platform> {
    platform: P,
    relay: Arc<Relay<P::Format, Socket<P>>>,
    stopping: AtomicBool,
    isolated: AtomicBool,
    listed: AtomicBool,
    configured: Notify,
    reach: Mutex<std::collections::HashMap<Instance, Reach>>,
}

struct Configuration<'a, P: Platform>(&'a Controllers<P>);

struct Members<'a, P: Platform>(&'a Controllers<P>);

impl<P: Platform> Controllers<P> {
    /// Creates the controllers of a packet path.
    pub fn new(platform: P, relay: Arc<Relay<P::Format, Socket<P>>>) -> Self {
        Self {
            platform,
            relay,
            stopping: AtomicBool::new(false),
            isolated: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            configured: Notify::new(),
            reach: Mutex::default(),
        }
    }

    /// Keeps up with the configuration for ever.
    pub async fn follow_configuration(&self, store: &P::Store) {
        let follower = Follower {
            prefix: self.platform.config_key(),
            pause: Duration::ZERO,
            refresh: &self.relay.outdated,
            seed: self.platform.host().seed(),
            log: self.relay.journal.log(),
        };
        follower.run(store, &Configuration(self)).await;
    }

    /// Keeps up with the members for ever, once there is a configuration: until then one of the two
    /// is enough to learn that the store is there.
    pub async fn follow_members(&self, store: &P::Store) {
        self.configured.notified().await;
        let refresh = Notify::new();
        let follower = Follower {
            prefix: AGENT_KEY_PREFIX,
            pause: MEMBERS_PAUSE,
            refresh: &refresh,
            seed: self.platform.host().seed(),
            log: self.relay.journal.log(),
        };
        follower.run(store, &Members(self)).await;
    }

    /// Moves searches on and watches the reach of members for ever.
    pub async fn tick(&self) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = self.relay.clock.now();
        let mut count: u64 = 0;
        loop {
            interval.tick().await;
            let now = self.relay.clock.now();
            if now.since(last) >= STALL {
                warn!(self.relay.journal.log(), "process stood still"; "for" => %now.since(last));
                self.relay.pool.excuse(now);
            }
            last = now;
            count += 1;
            self.relay.retry(now);
            self.relay.tick_searches(now);
            if count.is_multiple_of(CHECK_TICKS) {
                self.check(count.is_multiple_of(PING_TICKS), now);
            }
        }
    }

    /// Begins the shutdown: routers are told to send packets elsewhere.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns what the process believes.
    pub fn dump(&self) -> dump::Balancer {
        let (relay, now) = (&self.relay, self.relay.clock.now());
        let routes = chain::current(&relay.current);
        let mut members = Vec::with_capacity(relay.pool.len());
        relay.pool.each(|member| {
            let load = member.load(now);
            members.push(dump::Member {
                entry: member.entry.clone(),
                listed: member.is_listed(),
                reach: format!("{:?}", member.reach(now)).into(),
                load: load.map(|(load, _)| load),
                load_age: load.map(|(_, age)| age),
            });
        });
        members.sort_by_key(|member| member.entry.hop.instance);
        let (flows, lost_flows) = relay.table.owners();
        dump::Balancer {
            ready: self.is_ready(),
            isolated: self.isolated.load(Ordering::Relaxed),
            version: relay.version(),
            routes: routes.map_or(0, |routes| routes.len()),
            members,
            flows,
            lost_flows,
            searches: relay.searches.len(),
            early: relay.early(),
        }
    }

    /// Shows the sizes of what the process remembers.
    fn gauge(&self) {
        let relay = &self.relay;
        metrics::gauge!(FLOWS).set(relay.table.len() as f64);
        metrics::gauge!(MEMBERS_KNOWN).set(relay.pool.len() as f64);
        metrics::gauge!(SEARCHES).set(relay.searches.len() as f64);
        metrics::gauge!(CONFIGURATION_VERSION).set(relay.version().get() as f64);
        let mut oldest = Span::ZERO;
        let now = relay.clock.now();
        relay.pool.each(|member| {
            let age = member.load(now).map_or(Span::ZERO, |(_, age)| age);
            oldest = oldest.max(age);
        });
        metrics::gauge!(LOAD_AGE).set(Duration::from(oldest).as_secs_f64());
    }

    fn check(&self, ping_all: bool, now: Moment) {
        let mut due = Vec::new();
        let mut changes = Vec::new();
        {
            let mut known = self.reach.lock().unwrap_or_else(PoisonError::into_inner);
            self.relay.pool.each(|member| {
                let (instance, reach) = (member.entry.hop.instance, member.reach(now));
                let quiet = Span::from(TICK).times(CHECK_TICKS);
                if ping_all || member.owes(quiet, now) {
                    due.push(instance);
                }
                if known.insert(instance, reach).unwrap_or(Reach::Good) != reach {
                    changes.push((instance, reach));
                }
            });
        }
        for (instance, reach) in changes {
            info!(self.relay.journal.log(), "reach changed"; "agent" => %instance,
                "reach" => ?reach);
        }
        due.into_iter().for_each(|instance| self.relay.ping(instance, now));
        for hop in self.relay.pool.expire(now) {
            self.reach.lock().unwrap_or_else(PoisonError::into_inner).remove(&hop.instance);
            info!(self.relay.journal.log(), "agent gone"; "agent" => %hop.instance,
                "incarnation" => %hop.incarnation);
        }
        if ping_all {
            let idle = chain::current(&self.relay.current).and_then(|routes| routes.idle);
            self.relay.table.expire(idle, now);
            self.relay.searches.expire(now);
            self.gauge();
        }
        let isolated = self.relay.pool.is_isolated(now);
        if self.isolated.swap(isolated, Ordering::Relaxed) != isolated {
            warn!(self.relay.journal.log(), "isolation changed"; "isolated" => isolated);
        }
    }

    fn apply_configuration(&self, item: &Item) {
        let log = self.relay.journal.log();
        let ParsedConfig { routes: table, route_errors } =
            match self.platform.parse_config(&item.value) {
                Ok(document) => document,
                Err(error) => {
                    warn!(log, "configuration unreadable"; "cause" => %error,
                    "revision" => %item.revision);
                    return;
                }
            };
        for fault in &route_errors {
            warn!(log, "route left out"; "cause" => &**fault, "version" => %table.version);
        }
        let mut current = self.relay.current.write().unwrap_or_else(PoisonError::into_inner);
        let known = current.as_ref().map_or_else(Default::default, |routes| routes.version);
        if current.is_some() && table.version <= known {
            return;
        }
        info!(log, "configuration in force"; "version" => %table.version, "before" => %known,
            "routes" => table.len(), "revision" => %item.revision);
        if current.replace(Arc::new(table)).is_none() {
            self.configured.notify_one();
        }
    }

    fn apply_entry(&self, item: &Item, now: Moment) -> Option<Instance> {
        let log = self.relay.journal.log();
        let entry: Entry = match serde_json::from_str(&item.value) {
            Ok(entry) => entry,
            Err(error) => {
                warn!(log, "entry unreadable"; "key" => &*item.key, "cause" => %error);
                return None;
            }
        };
        let (hop, phase, edition) = (entry.hop, entry.phase, entry.edition);
        let change = self.relay.pool.list(entry, now);
        if change != Change::None {
            info!(log, "member listed"; "agent" => %hop.instance, "change" => ?change,
                "incarnation" => %hop.incarnation, "edition" => edition, "phase" => ?phase,
                "revision" => %item.revision);
        }
        if change == Change::Joined {
            self.relay.ping(hop.instance, now);
        }
        Some(hop.instance)
    }
}

impl<P: Platform> Readiness for Controllers<P> {
    fn is_ready(&self) -> bool {
        let current = self.relay.current.read().unwrap_or_else(PoisonError::into_inner);
        current.is_some()
            && self.listed.load(Ordering::Relaxed)
            && !self.isolated.load(Ordering::Relaxed)
            && !self.stopping.load(Ordering::Relaxed)
    }
}

impl<P: Platform> Sink for Configuration<'_, P> {
    fn listed(&self, listing: Listing) {
        let own = |item: &&Item| *item.key == *self.0.platform.config_key();
        listing.items.iter().filter(own).for_each(|item| self.0.apply_configuration(item));
    }

    fn changed(&self, changes: Changes) {
        let own = |item: &&Item| *item.key == *self.0.platform.config_key();
        changes.items.iter().filter(own).for_each(|item| self.0.apply_configuration(item));
    }
}

impl<P: Platform> Sink for Members<'_, P> {
    fn listed(&self, listing: Listing) {
        let control = self.0;
        let now = control.relay.clock.now();
        let entries = listing.items.iter();
        let listed: HashSet<Instance> =
            entries.filter_map(|item| control.apply_entry(item, now)).collect();
        control.relay.pool.retain_listed(|instance| listed.contains(&instance), now);
        if !control.listed.swap(true, Ordering::Relaxed) {
            control.relay.set_certain_from(now + CERTAINTY);
        }
        control.relay.retry(now);
    }

    fn changed(&self, changes: Changes) {
        let control = self.0;
        let now = control.relay.clock.now();
        for item in &changes.items {
            control.apply_entry(item, now);
        }
        for key in &changes.removed {
            let instance = key.strip_prefix(AGENT_KEY_PREFIX).and_then(|text| text.parse().ok());
            let Some(instance) = instance else { continue };
            info!(control.relay.journal.log(), "member unlisted"; "agent" => %instance,
                "revision" => %changes.revision);
            control.relay.pool.unlist(instance, now);
            control.relay.ping(instance, now);
        }
    }
}
