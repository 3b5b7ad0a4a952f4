//! The running owner searches of a balancer, with the segments that wait for their results.

use {
    super::{
        grounds::Grounds,
        query_batch::{ListRequests, QueryBatch, QueryMessage},
    },
    std::{
        ops::RangeInclusive,
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    yuccacroft_core::{
        controller::Controller,
        flow::{AgentId, FlowKey},
        ids::Instance,
        pool::{EvidenceVersion, Member, Pool, SEARCH_WINDOW},
        route::{Target, TrafficClass},
        search::{self, Action, Event, QueryAnswer, QueryBudget, Search, budget},
        segment::{Segment, Sequence},
        shards::Shards,
        time::{Moment, Span},
        units::Connections,
    },
    yuccacroft_wire::relay::FlowQuery,
};

/// Limit of waiting segments of one flow. A sender has at most 16 in flight and retransmits the
/// rest.
const MAX_SEGMENTS_PER_FLOW: usize = 8;
/// Time after a search without a result during which no other search for the same flow is started:
/// callers retransmit segments more often than the result can change.
const RETRY_DELAY: Span = Span::from_millis(1_000);
/// Number of running searches up to which a new one queries agents at once, with a message for each.
/// With more of them it waits for the next round, whose messages are shared.
const MAX_DIRECT_SEARCHES: usize = 8;
/// Limit of running searches, so that untrusted senders cannot exhaust the memory.
const MAX_SEARCHES: usize = 4_096;

/// A running search for the owner of a flow.
#[derive(Debug)]
pub struct RunningSearch {
    started: Moment,
    /// The latest segment of the flow.
    pub segment: Segment,
    /// The waiting segments, oldest first. Agents are sent the first one with a probe.
    pub datagrams: Vec<Box<[u8]>>,
    /// The position that the first segment acknowledges.
    acknowledged: Sequence,
    params: SearchParams,
    search: Search,
    /// The version of the evidence at the last tick, on which a verdict rests.
    evidence: EvidenceVersion,
}

/// The parameters of a search, which are fixed at its start.
#[derive(Clone, Copy, Debug)]
pub struct SearchParams {
    /// The service of the flow, if its address has a route.
    pub target: Option<Target>,
    /// The class of the flow's requests.
    pub class: TrafficClass,
    /// The agent that was offered the flow or owned it before, if this balancer knew one.
    pub last_agent: Option<Instance>,
}

/// An action that the relay performs for a search.
#[derive(Debug)]
pub enum Step {
    /// Query an agent at once.
    Query(Query),
    /// The owner was found. Send it the waiting segments.
    Found(AgentId, TrafficClass, Vec<Box<[u8]>>),
    /// No agent owns the flow, by this version of the evidence. Reset it towards the caller.
    NotFound(Segment, EvidenceVersion, Grounds),
    /// Read the changes of the list of agents: the owner may be missing from it.
    ReadList,
    /// The search ended without a result. Drop the segment.
    TimedOut(Segment, Grounds),
}

/// A query or probe of a search.
#[derive(Debug)]
pub struct Query {
    /// The agent that is asked.
    pub to: AgentId,
    /// What it is asked.
    pub kind: QueryKind,
    /// Whether it repeats an earlier query or probe.
    pub retry: bool,
}

/// What a search asks an agent.
#[derive(Debug)]
pub enum QueryKind {
    /// Whether it owns the flow whose segment acknowledges this position.
    Ownership(Sequence),
    /// To probe its upstream with this segment of a flow of this class.
    Probe(TrafficClass, Box<[u8]>),
}

/// How the queries of a step are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// At once, for the sake of the waiting segment.
    Direct,
    /// At the end of the round, with the queries of other searches.
    Batched,
}

/// The flows of an agent whose keys are in a range.
#[derive(Clone, Debug)]
pub struct FlowList {
    /// The agent.
    pub from: AgentId,
    /// The time at which the agent was asked.
    pub asked_at: Moment,
    /// The range.
    pub range: RangeInclusive<FlowKey>,
    /// The keys of the flows, in ascending order.
    pub keys: Vec<FlowKey>,
    /// The answer of the agent about all other flows of the range.
    pub answer: QueryAnswer,
}

/// All running searches.
#[derive(Debug, Default)]
pub struct Searches {
    running: Shards<FlowKey, RunningSearch>,
    /// The flows whose last search ended without a result, and the time of its end.
    unresolved: Shards<FlowKey, Moment>,
    budget: Mutex<QueryBudget>,
    batch: Mutex<QueryBatch>,
    /// The number of ticks that were skipped because the query budget was used up.
    skipped_ticks: AtomicU64,
    /// Whether searches wait for the query budget.
    has_backlog: AtomicBool,
    /// Whether agents may be asked for all their flows.
    uses_lists: bool,
    /// Whether the searches of this round query all agents at once.
    is_sweep: AtomicBool,
}

impl RunningSearch {
    /// Returns the event of a tick with the present list of agents.
    fn tick(&mut self, key: FlowKey, pool: &Pool, is_sweep: bool, now: Moment) -> Event {
        // Read before the state of the members, so that no change between both is missed.
        self.evidence = pool.evidence_version();
        let candidates = search::list_candidates(pool, self.params.target, key, now);
        if is_sweep { Event::Sweep(candidates) } else { Event::Tick(candidates) }
    }
}

impl Searches {
    /// Lets searches ask agents for all their flows where that costs less than single queries.
    pub fn with_lists(self, uses_lists: bool) -> Self {
        Self { uses_lists, ..self }
    }

    /// Starts a search for the owner of a segment's flow, or adds the segment to the running one.
    /// Returns false if there are too many searches, or when a search for this flow has recently
    /// ended without a result.
    pub fn add(
        &self,
        key: FlowKey,
        segment: Segment,
        datagram: &[u8],
        params: SearchParams,
        pool: &Pool,
        now: Moment,
    ) -> bool {
        if self.unresolved.get(&key).is_some_and(|at| now.since(at) < RETRY_DELAY) {
            return false;
        }
        let is_full = self.running.shard_len(&key) >= MAX_SEARCHES / self.running.shard_count();
        self.running.update(key, |slot| {
            if slot.is_none() && is_full {
                return false;
            }
            let running = slot.get_or_insert_with(|| RunningSearch {
                started: now,
                segment,
                datagrams: Vec::new(),
                acknowledged: segment.acknowledged,
                params,
                search: Search::new(pool.list_complete_at(), now),
                evidence: EvidenceVersion::default(),
            });
            running.segment = segment;
            if running.datagrams.len() < MAX_SEGMENTS_PER_FLOW {
                running.datagrams.push(datagram.into());
            }
            true
        })
    }

    /// Applies the answer of an agent and returns the next steps; `None` when no search for this
    /// flow is running.
    pub fn apply_answer(
        &self,
        key: FlowKey,
        from: AgentId,
        answer: QueryAnswer,
        pool: &Pool,
        now: Moment,
    ) -> Option<Vec<Step>> {
        self.step(key, |_| Event::Answered(from, answer), Delivery::Batched, pool, now)
    }

    /// Returns the first steps of a new search, unless older ones wait for the query budget: they
    /// would end without a query if new searches used it up.
    pub fn begin(&self, key: FlowKey, pool: &Pool, now: Moment) -> Vec<Step> {
        if self.has_backlog.load(Ordering::Relaxed) || !self.budget().has_tokens(now) {
            return self.skip_tick(key, pool, now);
        }
        if self.uses_lists && self.running.len() > MAX_DIRECT_SEARCHES {
            return Vec::new();
        }
        let tick = |running: &mut RunningSearch| running.tick(key, pool, false, now);
        self.step(key, tick, Delivery::Direct, pool, now).unwrap_or_default()
    }

    /// Runs the timers of one search in a round and returns its next steps. While the query budget
    /// of all searches is used up, it only ends a search that has reached its time limit.
    pub fn tick(&self, key: FlowKey, pool: &Pool, now: Moment) -> Vec<Step> {
        if !self.budget().has_round_tokens() {
            return self.skip_tick(key, pool, now);
        }
        let is_sweep = self.is_sweep.load(Ordering::Relaxed);
        let tick = |running: &mut RunningSearch| running.tick(key, pool, is_sweep, now);
        self.step(key, tick, Delivery::Batched, pool, now).unwrap_or_default()
    }

    /// Ends a round and returns the messages with the queries of all searches since the last one.
    pub fn end_round(&self, pool: &Pool, now: Moment) -> Vec<QueryMessage> {
        let mut batch = std::mem::take(&mut *self.batch());
        if !self.uses_lists {
            return batch.take_messages();
        }
        let flows = |instance| pool.get(instance).map(|member| flows_of(&member, now));
        let ListRequests { mut messages, cost } = batch.take_list_requests(flows, now);
        let unpaid = cost.saturating_add(batch.cost()).saturating_sub(batch.paid());
        self.budget().spend_tokens(unpaid);
        messages.extend(batch.take_messages());
        messages
    }

    /// Applies the list of an agent's flows to the searches that had begun when it was asked for, and
    /// returns the next steps of each. A listed flow may be an earlier one between the same addresses,
    /// so the agent is queried about it.
    pub fn apply_list(
        &self,
        list: &FlowList,
        pool: &Pool,
        now: Moment,
    ) -> Vec<(FlowKey, Vec<Step>)> {
        let FlowList { from, asked_at, ref range, ref keys, answer } = *list;
        // The answer to an earlier process at this address may name a time that has not come yet.
        if asked_at > now {
            return Vec::new();
        }
        let open = self.running.fold(Vec::new(), |mut open, key, running| {
            let is_covered = running.started <= asked_at && range.contains(key);
            if is_covered && running.search.awaits(from.instance) {
                open.push((*key, running.acknowledged));
            }
            open
        });
        let mut steps = Vec::with_capacity(open.len());
        for (key, acknowledged) in open {
            if keys.binary_search(&key).is_ok() {
                self.query_listed(from.instance, FlowQuery { key, acknowledged });
                continue;
            }
            let event = |_: &mut RunningSearch| Event::Listed(from, answer);
            let next = self.step(key, event, Delivery::Batched, pool, now);
            steps.push((key, next.unwrap_or_default()));
        }
        steps
    }

    fn query_listed(&self, to: Instance, query: FlowQuery) {
        let mut batch = self.batch();
        let cost = budget::cost_of_query(batch.add_listed(to, query));
        batch.record_paid(cost);
        drop(batch);
        self.budget().spend_tokens(cost);
    }

    /// Removes the records of searches whose retry delay is over.
    pub fn expire(&self, now: Moment) {
        self.unresolved.retain(|_, at| now.since(*at) < RETRY_DELAY);
    }

    /// Returns the number of skipped ticks since the last call.
    pub fn take_skipped_ticks(&self) -> u64 {
        self.skipped_ticks.swap(0, Ordering::Relaxed)
    }

    fn skip_tick(&self, key: FlowKey, pool: &Pool, now: Moment) -> Vec<Step> {
        self.skipped_ticks.fetch_add(1, Ordering::Relaxed);
        self.has_backlog.store(true, Ordering::Relaxed);
        self.step(key, |_| Event::SkippedTick, Delivery::Batched, pool, now).unwrap_or_default()
    }

    fn batch(&self) -> MutexGuard<'_, QueryBatch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> MutexGuard<'_, QueryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a round of ticks and returns the flow keys of all running searches, oldest first.
    pub fn start_round(&self, pool: &Pool, now: Moment) -> Vec<FlowKey> {
        self.budget().start_round(now);
        let is_sweep = self.uses_lists && is_sweep_worthwhile(self.running.len(), pool, now);
        self.is_sweep.store(is_sweep, Ordering::Relaxed);
        self.has_backlog.store(false, Ordering::Relaxed);
        let mut keys = self.running.fold(Vec::new(), |mut keys, key, running| {
            keys.push((running.started, *key));
            keys
        });
        keys.sort_unstable();
        keys.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the number of running searches.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns true if no search is running.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    fn step(
        &self,
        key: FlowKey,
        event: impl FnOnce(&mut RunningSearch) -> Event,
        delivery: Delivery,
        pool: &Pool,
        now: Moment,
    ) -> Option<Vec<Step>> {
        let steps = self.running.update(key, |slot| {
            let running = slot.as_mut()?;
            running.search.set_list_outdated(pool.is_list_outdated());
            let event = event(running);
            let is_answer = matches!(event, Event::Answered(..) | Event::Listed(..));
            let mut actions = running.search.step(event, now);
            if is_answer && actions.contains(&Action::NotFound) {
                // Agents may have joined since the last tick, so the result needs the present list.
                let tick = running.tick(key, pool, false, now);
                actions = running.search.step(tick, now);
            }
            let class = running.params.class;
            let query =
                |to: AgentId, kind| Query { to, kind, retry: running.search.is_retry(to.instance) };
            let grounds = || Grounds::Search {
                evidence: running
                    .search
                    .evidence(now)
                    .with_indirect_reports(|instance| pool.indirect_report(instance, now)),
                last_agent: running.params.last_agent,
            };
            let mut steps = Vec::with_capacity(actions.len());
            for action in actions {
                match action {
                    Action::Query(agent_id) => {
                        let kind = QueryKind::Ownership(running.acknowledged);
                        steps.push(Step::Query(query(agent_id, kind)));
                    }
                    Action::Probe(agent_id) => {
                        let kind = QueryKind::Probe(class, running.datagrams[0].clone());
                        steps.push(Step::Query(query(agent_id, kind)));
                    }
                    Action::Found(agent_id) => {
                        let datagrams = std::mem::take(&mut running.datagrams);
                        *slot = None;
                        return Some(vec![Step::Found(agent_id, class, datagrams)]);
                    }
                    Action::NotFound => {
                        let step = Step::NotFound(running.segment, running.evidence, grounds());
                        *slot = None;
                        return Some(vec![step]);
                    }
                    Action::TimedOut => {
                        let step = Step::TimedOut(running.segment, grounds());
                        *slot = None;
                        return Some(vec![step]);
                    }
                }
            }
            if running.search.awaits_list() {
                steps.push(Step::ReadList);
            }
            Some(steps)
        })?;
        if steps.iter().any(|step| matches!(step, Step::TimedOut(..))) {
            self.unresolved.insert(key, now);
        }
        Some(self.pay_for_queries(key, steps, delivery))
    }

    /// Takes the tokens for all queries of a search. Queries that are not sent at once are moved to
    /// the batch. In a sweep lists replace most of them, so these are paid for at the end of the round.
    fn pay_for_queries(&self, key: FlowKey, steps: Vec<Step>, delivery: Delivery) -> Vec<Step> {
        let (mut messages, mut batched_cost) = (0, 0);
        let mut remaining = Vec::with_capacity(steps.len());
        let mut batch = self.batch();
        for step in steps {
            match step {
                Step::Query(Query { to, kind: QueryKind::Ownership(acknowledged), retry })
                    if delivery == Delivery::Batched =>
                {
                    let query = FlowQuery { key, acknowledged };
                    batched_cost += budget::cost_of_query(batch.add(to.instance, query, retry));
                }
                step => {
                    messages += usize::from(matches!(step, Step::Query(_)));
                    remaining.push(step);
                }
            }
        }
        if self.is_sweep.load(Ordering::Relaxed) {
            batched_cost = 0;
        }
        batch.record_paid(batched_cost);
        drop(batch);
        let mut budget = self.budget();
        budget.spend(messages);
        budget.spend_tokens(batched_cost);
        remaining
    }
}

/// Returns the number of flows that an agent has by its last report. One that has not reported may
/// have just started.
fn flows_of(member: &Member, now: Moment) -> Connections {
    member.load(now).map_or(Connections::new(0), |(load, _)| load.open)
}

/// Returns true if the lists of all agents cost less than the queries of the first waves of so many
/// searches.
fn is_sweep_worthwhile(searches: usize, pool: &Pool, now: Moment) -> bool {
    let first_wave = pool.len().min(SEARCH_WINDOW);
    let queries = i64::try_from(searches.saturating_mul(first_wave)).unwrap_or(i64::MAX);
    if queries == 0 {
        return false;
    }
    let mut lists = 0_i64;
    pool.for_each(|member| lists += budget::cost_of_list(flows_of(member, now)));
    lists < queries
}
