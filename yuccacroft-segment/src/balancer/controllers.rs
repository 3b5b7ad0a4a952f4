//! The controllers of a balancer: they follow the configuration and the agents in the store, and
//! check which agents answer.

mod evacuation;
mod home;
mod limits;

use {
    super::{chain, relay::Relay},
    crate::{
        dump,
        host::Host,
        platform::{ParsedConfig, Platform, Readiness, Socket},
        prefix_watcher::{PrefixWatcher, WatchHandler},
        ticker::Ticker,
        unreadable_log::UnreadableLog,
    },
    slog::{info, warn},
    std::{
        collections::HashSet,
        fmt::Display,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
    yuccacroft_core::{
        ids::{Instance, Revision},
        pool::{AgentEntry, Reachability, UpsertResult, indirect::Report},
        time::{Moment, Span},
    },
    yuccacroft_store::store::{Changes, KeyValue, Listing, Unreadable},
};

/// The prefix of the store keys of agents. The address of the agent follows it.
pub const AGENT_KEY_PREFIX: &str = "yuccacroft/agents/";
/// Metric: number of known flows.
const FLOWS_METRIC: &str = "yuccacroft_balancer_flows";
/// Metric: number of known agents.
const MEMBERS_METRIC: &str = "yuccacroft_balancer_members";
/// Metric: number of running searches.
const SEARCHES_METRIC: &str = "yuccacroft_balancer_searches";
/// Metric: version of the configuration in force.
const CONFIGURATION_VERSION_METRIC: &str = "yuccacroft_balancer_configuration_version";
/// Metric: number of members that get a part of their flows only, because of their failures.
const EJECTED_MEMBERS_METRIC: &str = "yuccacroft_balancer_ejected_members";
/// Metric: number of changes of the part of the flows that a member gets, labelled with the cause.
const STANDING_CHANGES_METRIC: &str = "yuccacroft_balancer_standing_changes_total";
/// Metric: age of the oldest load report among the agents.
const LOAD_AGE_METRIC: &str = "yuccacroft_balancer_load_age_seconds";
/// Mean time between two reads of changed members in a series of changes. Agents refuse flows and report their load on
/// their own, so only new agents wait for it, until they get their share of the flows.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Mean time between two reads of the configuration in a series of changes, a fraction of the time in which it
/// must be in force.
const CONFIGURATION_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Longest delay between failed reads of the configuration: a change must be in force seconds after
/// the store is available again.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_millis(700);
/// Time after which a balancer that starts asks the store once more, without the end of the first call:
/// many response times of the store, and well below the second that early segments are kept.
const FIRST_LISTING_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between failed reads of the members, which stay in use meanwhile.
const MAX_MEMBERS_DELAY: Duration = Duration::from_millis(2_000);
/// Time between ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Ticks between checks for members with overdue answers.
const CHECK_TICKS: u64 = 4;
/// Ticks between pings of every member.
const PING_TICKS: u64 = 40;
/// Time after the first listing from which on the list of agents counts as complete: agents write
/// expired entries again within about two seconds.
const COMPLETION_DELAY: Span = Span::from_millis(2_000);
/// Time after which the list of agents is read again although its watch is open: a change takes less
/// than a second to arrive while the watch works.
const LIST_DELAY_TOLERANCE: Span = Span::from_millis(1_000);

/// The controllers of one balancer.
pub struct Controllers<P: Platform> {
    platform: P,
    relay: Arc<Relay<P::Format, Socket<P>>>,
    stopping: AtomicBool,
    isolated: AtomicBool,
    members_listed: AtomicBool,
    configured: Notify,
    unreadable_log: UnreadableLog,
    last_reachability: Mutex<std::collections::HashMap<Instance, Reachability>>,
    /// The members that answer through other members only.
    reached_by_others: Mutex<HashSet<Instance>>,
}

/// Applies changes of the configuration.
struct ConfigurationHandler<'a, P: Platform>(&'a Controllers<P>);

/// Applies changes of the agents' entries.
struct MembersHandler<'a, P: Platform>(&'a Controllers<P>);

/// Returns the agent whose entry has this key.
fn agent_of(key: &str) -> Option<Instance> {
    key.strip_prefix(AGENT_KEY_PREFIX)?.parse().ok()
}

impl<P: Platform> Controllers<P> {
    /// Creates the controllers over the state of `relay`.
    pub fn new(platform: P, relay: Arc<Relay<P::Format, Socket<P>>>) -> Self {
        Self {
            platform,
            relay,
            stopping: AtomicBool::new(false),
            isolated: AtomicBool::new(false),
            members_listed: AtomicBool::new(false),
            configured: Notify::new(),
            unreadable_log: UnreadableLog::default(),
            last_reachability: Mutex::default(),
            reached_by_others: Mutex::default(),
        }
    }

    /// Watches the configuration in the store. It does not return.
    pub async fn watch_configuration(&self, store: &P::Store) {
        let watcher = PrefixWatcher {
            prefix: self.configuration_prefix(),
            read_interval: CONFIGURATION_READ_INTERVAL,
            max_delay: MAX_CONFIGURATION_DELAY,
            urgent: &Notify::new(),
            refresh: &self.relay.config_outdated,
            hedge_delay: self.hedge_delay(),
            seed: self.platform.host().seed(),
            log: self.relay.flow_log.log(),
        };
        watcher.run(store, &ConfigurationHandler(self)).await;
    }

    /// Waits for the first configuration and then watches the members in the store. It does not
    /// return. Until then the configuration watcher's calls are enough to find out whether the
    /// store is reachable.
    pub async fn watch_members(&self, store: &P::Store) {
        if chain::current_routes(&self.relay.current_routes).is_none() {
            self.configured.notified().await;
        }
        let watcher = PrefixWatcher {
            prefix: AGENT_KEY_PREFIX,
            read_interval: MEMBERS_READ_INTERVAL,
            max_delay: MAX_MEMBERS_DELAY,
            urgent: &self.relay.list_needed,
            refresh: &self.relay.list_outdated,
            hedge_delay: self.hedge_delay(),
            seed: self.platform.host().seed(),
            log: self.relay.flow_log.log(),
        };
        watcher.run(store, &MembersHandler(self)).await;
    }

    /// Returns the time after which the first call to the store is repeated beside the unanswered one.
    fn hedge_delay(&self) -> Option<Duration> {
        self.relay.pool.requirements().health.then_some(FIRST_LISTING_HEDGE_DELAY)
    }

    /// Runs the timers of searches, waiting segments and members. It does not return.
    pub async fn run_timers(&self) {
        let mut ticker = Ticker::new(TICK_INTERVAL, self.relay.clock.clone());
        loop {
            let tick = ticker.tick(self.relay.flow_log.log()).await;
            let now = tick.now;
            self.relay.record_running(now);
            self.relay.retry_pending(now);
            self.relay.tick_searches(now);
            if tick.is_every(CHECK_TICKS) {
                self.check_members(tick.is_every(PING_TICKS), now);
            }
        }
    }

    /// Starts the shutdown: the readiness endpoint reports that the process is not ready.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns a dump of the balancer's state.
    pub fn dump(&self) -> dump::Balancer {
        let (relay, now) = (&self.relay, self.relay.clock.now());
        let routes = chain::current_routes(&relay.current_routes);
        let mut members = Vec::with_capacity(relay.pool.len());
        relay.pool.for_each(|member| {
            members.push(dump::Member {
                state: member.state(now),
                listed: member.is_listed(),
                reach: format!("{:?}", member.reachability(now)).into(),
            });
        });
        members.sort_by_key(|member| member.state.entry.agent_id.instance);
        let (flows, lost_flows) = relay.table.count_by_agent();
        dump::Balancer {
            ready: self.is_ready(),
            isolated: self.isolated.load(Ordering::Relaxed),
            version: relay.version(),
            evacuated: self.evacuated_times(now),
            routes: routes.as_ref().map_or(0, |routes| routes.len()),
            placement: dump::Placement {
                domain: relay.domain().clone(),
                requirements: relay.pool.requirements(),
                route_table: routes.iter().flat_map(|routes| routes.entries()).collect(),
                spill_over: relay.pool.spill_over_plans().as_ref().clone().into_iter().collect(),
                members,
            },
            flows,
            lost_flows,
            searches: relay.searches.len(),
            early: relay.pending_flows(),
        }
    }

    /// Updates the gauges.
    fn update_gauges(&self) {
        let relay = &self.relay;
        metrics::gauge!(FLOWS_METRIC).set(relay.table.len() as f64);
        metrics::gauge!(MEMBERS_METRIC).set(relay.pool.len() as f64);
        metrics::gauge!(SEARCHES_METRIC).set(relay.searches.len() as f64);
        self.update_evacuation_gauge();
        metrics::gauge!(CONFIGURATION_VERSION_METRIC).set(relay.version().get() as f64);
        let mut oldest = Span::ZERO;
        let mut ejected = 0_u32;
        let now = relay.clock.now();
        relay.pool.for_each(|member| {
            let age = member.load(now).map_or(Span::ZERO, |(_, age)| age);
            oldest = oldest.max(age);
            ejected += u32::from(!member.standing().is_admitted());
        });
        metrics::gauge!(EJECTED_MEMBERS_METRIC).set(f64::from(ejected));
        metrics::gauge!(LOAD_AGE_METRIC).set(Duration::from(oldest).as_secs_f64());
    }

    fn check_members(&self, ping_all: bool, now: Moment) {
        let mut to_ping = Vec::new();
        let mut changes = Vec::new();
        {
            let mut last_reachability =
                self.last_reachability.lock().unwrap_or_else(PoisonError::into_inner);
            self.relay.pool.for_each(|member| {
                let (instance, reachability) =
                    (member.entry.agent_id.instance, member.reachability(now));
                let max_wait = Span::from(TICK_INTERVAL).saturating_mul(CHECK_TICKS);
                if ping_all || member.is_answer_overdue(max_wait, now) {
                    to_ping.push(instance);
                }
                if last_reachability.insert(instance, reachability).unwrap_or(Reachability::Good)
                    != reachability
                {
                    changes.push((instance, reachability));
                }
            });
        }
        for (instance, reachability) in changes {
            info!(self.relay.flow_log.log(), "reach changed"; "agent" => %instance,
                "reach" => ?reachability);
        }
        self.review_outliers(now);
        to_ping.into_iter().for_each(|instance| self.relay.ping(instance, now));
        self.relay.ping_indirectly(now);
        self.relay.update_spill_over(now);
        self.log_indirect_reach(now);
        for agent_id in self.relay.pool.expire(now) {
            self.last_reachability
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .remove(&agent_id.instance);
            self.reached_by_others
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .remove(&agent_id.instance);
            info!(self.relay.flow_log.log(), "agent gone"; "agent" => %agent_id.instance,
                "incarnation" => %agent_id.incarnation);
        }
        if ping_all {
            self.repeat_notices();
            self.repeat_limits();
            self.repeat_home(now);
            let idle_timeout = chain::current_routes(&self.relay.current_routes)
                .and_then(|routes| routes.idle_timeout);
            self.relay.table.expire(idle_timeout, now);
            self.relay.openings.expire(now);
            self.relay.searches.expire(now);
            self.check_list(now);
            self.update_gauges();
            self.relay.log_traffic(now);
            self.relay.flow_log.flush(now);
        }
        let isolated = self.relay.pool.is_isolated(now);
        if self.isolated.swap(isolated, Ordering::Relaxed) != isolated {
            warn!(self.relay.flow_log.log(), "isolation changed"; "isolated" => isolated);
        }
    }

    /// Updates which members get all flows, and logs the changes.
    fn review_outliers(&self, now: Moment) {
        for change in self.relay.pool.review_outliers(now) {
            let cause = change.cause.name();
            metrics::counter!(STANDING_CHANGES_METRIC, "cause" => cause).increment(1);
            info!(self.relay.flow_log.log(), "upstream standing changed";
                "agent" => %change.instance, "cause" => cause,
                "flow_share" => %change.standing.share(), "failures" => %change.failures,
                "median" => %change.median, "limit" => %change.limit);
        }
    }

    /// Tells all agents the newest entry. Flows may be placed at its agent from now on, so balancers
    /// that have not listed it yet must learn of it.
    fn ping_all(&self, now: Moment) {
        let mut instances = Vec::with_capacity(self.relay.pool.len());
        self.relay.pool.for_each(|member| instances.push(member.entry.agent_id.instance));
        instances.into_iter().for_each(|instance| self.relay.ping(instance, now));
    }

    /// Requests a new listing if agents have known an agent for some time that is not listed here.
    fn check_list(&self, now: Moment) {
        let outdated_time = self.relay.pool.list_outdated_time(now);
        let Some(time) = outdated_time.filter(|time| *time >= LIST_DELAY_TOLERANCE) else { return };
        info!(self.relay.flow_log.log(), "agents not listed"; "time" => %time,
            self.relay.freshness.ages(now));
        self.relay.list_outdated.notify_one();
    }

    /// Logs which members have begun or ceased to answer through other members only.
    fn log_indirect_reach(&self, now: Moment) {
        let mut reached_by_others =
            self.reached_by_others.lock().unwrap_or_else(PoisonError::into_inner);
        let mut changes = Vec::new();
        self.relay.pool.for_each(|member| {
            let instance = member.entry.agent_id.instance;
            let is_reached = member.is_only_reached_by_others(now);
            if reached_by_others.contains(&instance) != is_reached {
                changes.push((instance, is_reached, member.indirect_report(now)));
            }
        });
        for (instance, is_reached, Report { pings, answers, via, .. }) in changes {
            if is_reached {
                reached_by_others.insert(instance);
            } else {
                reached_by_others.remove(&instance);
            }
            info!(self.relay.flow_log.log(), "indirect reach changed"; "agent" => %instance,
                "only_others_reach" => is_reached, "indirect_pings" => pings,
                "indirect_answers" => answers, "via" => via.map(|via| via.to_string()));
        }
    }

    fn apply_configuration(&self, item: &KeyValue, now: Moment) {
        let log = self.relay.flow_log.log();
        let ParsedConfig { routes: new_routes, route_errors, limits_error } =
            match self.platform.parse_config(&item.value) {
                Ok(config) => config,
                Err(error) => {
                    self.unreadable_log.record(log, &item.key, &error, now);
                    return;
                }
            };
        if let Some(error) = limits_error.filter(|_| self.relay.pool.requirements().places) {
            warn!(log, "configuration refused"; "cause" => &*error, "revision" => %item.revision);
            return;
        }
        for error in &route_errors {
            warn!(log, "route left out"; "cause" => &**error, "version" => %new_routes.version);
        }
        let mut current = self.relay.current_routes.write().unwrap_or_else(PoisonError::into_inner);
        let previous = current.as_ref().map_or_else(Default::default, |routes| routes.version);
        if current.is_some() && new_routes.version <= previous {
            return;
        }
        info!(log, "configuration in force"; "version" => %new_routes.version, "before" => %previous,
            "routes" => new_routes.len(), "revision" => %item.revision);
        self.relay.freshness.record_configuration_applied(now);
        let is_first = current.replace(Arc::new(new_routes)).is_none();
        drop(current);
        self.send_limits_to_all();
        if is_first {
            self.configured.notify_one();
        }
    }

    fn log_unreadable(&self, items: &[Unreadable], now: Moment) {
        for item in items {
            self.unreadable_log.record(self.relay.flow_log.log(), &item.key, &item.error, now);
        }
    }

    /// Leaves out an entry that cannot be read. The key names its agent, which may own flows.
    fn skip_entry(&self, key: &str, reason: &dyn Display, now: Moment) {
        self.unreadable_log.record(self.relay.flow_log.log(), key, reason, now);
        if let Some(instance) = agent_of(key) {
            self.relay.record_unreadable(instance, now);
        }
    }

    fn skip_entries(&self, items: &[Unreadable], now: Moment) {
        items.iter().for_each(|item| self.skip_entry(&item.key, &item.error, now));
    }

    fn apply_entry(&self, item: &KeyValue, now: Moment) -> Option<Instance> {
        let log = self.relay.flow_log.log();
        let entry: AgentEntry = match serde_json::from_str(&item.value) {
            Ok(entry) => entry,
            Err(error) => {
                self.skip_entry(&item.key, &error, now);
                return None;
            }
        };
        if agent_of(&item.key) != Some(entry.agent_id.instance) {
            self.skip_entry(&item.key, &"entry of another agent", now);
            return None;
        }
        let (agent_id, phase, entry_version) = (entry.agent_id, entry.phase, entry.entry_version);
        let change = self.relay.pool.upsert(entry, now);
        self.relay.pool.record_entry_created(item.created);
        if change != UpsertResult::None {
            info!(log, "member listed"; "agent" => %agent_id.instance, "change" => ?change,
                "incarnation" => %agent_id.incarnation, "edition" => entry_version, "phase" => ?phase,
                "revision" => %item.revision);
        }
        if change == UpsertResult::Joined {
            self.relay.ping(agent_id.instance, now);
            self.notify_if_evacuated(agent_id.instance);
            self.send_limits_to(agent_id.instance);
            self.relay.send_home(agent_id.instance);
        }
        Some(agent_id.instance)
    }
}

impl<P: Platform> Readiness for Controllers<P> {
    fn is_ready(&self) -> bool {
        let current = self.relay.current_routes.read().unwrap_or_else(PoisonError::into_inner);
        current.is_some()
            && self.members_listed.load(Ordering::Relaxed)
            && !self.isolated.load(Ordering::Relaxed)
            && !self.stopping.load(Ordering::Relaxed)
    }
}

impl<P: Platform> ConfigurationHandler<'_, P> {
    fn apply(&self, items: &[KeyValue], unreadable: &[Unreadable], revision: Revision) {
        let relay = &self.0.relay;
        let now = relay.clock.now();
        self.0.log_unreadable(unreadable, now);
        relay.freshness.record_configuration(revision, now);
        let is_config = |item: &&KeyValue| *item.key == *self.0.platform.config_key();
        items.iter().filter(is_config).for_each(|item| self.0.apply_configuration(item, now));
    }
}

impl<P: Platform> WatchHandler for ConfigurationHandler<'_, P> {
    fn handle_listing(&self, listing: Listing) {
        self.0.apply_listed_evacuations(&listing);
        self.apply(&listing.items, &listing.unreadable, listing.revision);
    }

    fn handle_changes(&self, changes: Changes) {
        self.0.apply_changed_evacuations(&changes);
        self.apply(&changes.items, &changes.unreadable, changes.revision);
    }

    fn is_outdated(&self) -> bool {
        let relay = &self.0.relay;
        relay.newest_version() > relay.version()
    }
}

impl<P: Platform> WatchHandler for MembersHandler<'_, P> {
    fn handle_listing(&self, listing: Listing) {
        let controllers = self.0;
        let now = controllers.relay.clock.now();
        controllers.relay.freshness.record_members(listing.revision, now);
        let entries = listing.items.iter();
        let listed: HashSet<Instance> =
            entries.filter_map(|item| controllers.apply_entry(item, now)).collect();
        controllers.relay.pool.sync_listing(|instance| listed.contains(&instance), now);
        controllers.skip_entries(&listing.unreadable, now);
        controllers.relay.pool.record_list_revision(listing.revision);
        if !controllers.members_listed.swap(true, Ordering::Relaxed) {
            controllers.relay.pool.set_list_complete_at(now + COMPLETION_DELAY);
        }
        controllers.relay.retry_pending(now);
    }

    fn handle_changes(&self, changes: Changes) {
        let controllers = self.0;
        let now = controllers.relay.clock.now();
        controllers.relay.freshness.record_members(changes.revision, now);
        let newest_entry = controllers.relay.pool.newest_entry();
        for item in &changes.items {
            controllers.apply_entry(item, now);
        }
        controllers.skip_entries(&changes.unreadable, now);
        if controllers.relay.pool.newest_entry() > newest_entry {
            controllers.ping_all(now);
        }
        controllers.relay.pool.record_list_revision(changes.revision);
        for key in &changes.removed {
            let Some(instance) = agent_of(key) else { continue };
            info!(controllers.relay.flow_log.log(), "member unlisted"; "agent" => %instance,
                "revision" => %changes.revision);
            controllers.relay.pool.mark_unlisted(instance, now);
            controllers.relay.ping(instance, now);
        }
    }

    fn is_outdated(&self) -> bool {
        self.0.relay.pool.is_list_outdated()
    }
}
