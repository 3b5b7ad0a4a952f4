//! The queries of one round of ticks, which share messages.
//!
//! After a common loss of power nearly all flows of a balancer are unknown, and each of them is asked
//! of every agent. With a message for each question, the searches of a large deployment outlast
//! their callers' deadlines. Agents have few flows then, so the list of all flows of an agent often
//! costs less than the questions, see `docs/design/recovery-after-power-loss.md`.

use {
    std::collections::BTreeMap,
    yuccacroft_core::{ids::Instance, search::budget, time::Moment, units::Connections},
    yuccacroft_wire::relay::{FlowQuery, MAX_FLOW_QUERIES, Request},
};

/// The queries that wait for the end of the round, by agent.
#[derive(Debug, Default)]
pub struct QueryBatch {
    queries: BTreeMap<Instance, Vec<BatchedQuery>>,
    /// The tokens that were deducted when queries were added.
    paid: i64,
}

/// A message with queries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryMessage {
    /// The agent that is asked.
    pub to: Instance,
    /// The queries.
    pub request: Request,
    /// Whether it repeats earlier queries only.
    pub retry: bool,
}

/// The questions for all flows of agents that replace single queries.
#[derive(Debug, Default)]
pub struct ListRequests {
    /// The messages.
    pub messages: Vec<QueryMessage>,
    /// The tokens that they cost.
    pub cost: i64,
}

#[derive(Clone, Copy, Debug)]
struct BatchedQuery {
    query: FlowQuery,
    retry: bool,
    /// Whether the flow is in the list of the agent's flows, which does not tell their positions.
    listed: bool,
}

impl QueryBatch {
    /// Adds a query, which may repeat an earlier one. Returns true if it shares a message with
    /// others in the batch.
    pub fn add(&mut self, to: Instance, query: FlowQuery, retry: bool) -> bool {
        let queries = self.queries.entry(to).or_default();
        let shares_message = !queries.len().is_multiple_of(MAX_FLOW_QUERIES);
        queries.push(BatchedQuery { query, retry, listed: false });
        shares_message
    }

    /// Adds a query about a flow that the agent has listed.
    pub fn add_listed(&mut self, to: Instance, query: FlowQuery) -> bool {
        let shares_message = self.add(to, query, false);
        if let Some(added) = self.queries.get_mut(&to).and_then(|queries| queries.last_mut()) {
            added.listed = true;
        }
        shares_message
    }

    /// Replaces the queries to an agent by the question for all its flows where that costs less.
    /// `flows` returns the number of an agent's flows, or `None` if it is not to be asked for them.
    pub fn take_list_requests(
        &mut self,
        flows: impl Fn(Instance) -> Option<Connections>,
        now: Moment,
    ) -> ListRequests {
        let mut requests = ListRequests::default();
        self.queries.retain(|to, queries| {
            let replaceable = queries.iter().filter(|batched| !batched.listed).count();
            let Some(flows) = flows(*to) else { return true };
            let queries_cost = budget::cost_of_queries(replaceable, MAX_FLOW_QUERIES);
            let list_cost = budget::cost_of_list(flows);
            if queries_cost <= list_cost {
                return true;
            }
            requests.cost += list_cost;
            let retry = queries.iter().all(|batched| batched.retry);
            let request = Request::ListFlows { asked_at: now };
            requests.messages.push(QueryMessage { to: *to, request, retry });
            queries.retain(|batched| batched.listed);
            !queries.is_empty()
        });
        requests
    }

    /// Records tokens that were deducted for queries of the batch.
    pub fn record_paid(&mut self, tokens: i64) {
        self.paid = self.paid.saturating_add(tokens);
    }

    /// Returns the tokens that were deducted for queries of the batch.
    pub fn paid(&self) -> i64 {
        self.paid
    }

    /// Returns the tokens that the queries cost.
    pub fn cost(&self) -> i64 {
        let lens = self.queries.values().map(Vec::len);
        lens.map(|queries| budget::cost_of_queries(queries, MAX_FLOW_QUERIES)).sum()
    }

    /// Removes all queries and returns the messages with them.
    pub fn take_messages(&mut self) -> Vec<QueryMessage> {
        let mut messages = Vec::new();
        self.paid = 0;
        for (to, queries) in std::mem::take(&mut self.queries) {
            messages.extend(queries.chunks(MAX_FLOW_QUERIES).map(|chunk| QueryMessage {
                to,
                request: request(chunk),
                retry: chunk.iter().all(|batched| batched.retry),
            }));
        }
        messages
    }
}

/// Returns the message with these queries. Agents of earlier releases know the one about one flow.
fn request(queries: &[BatchedQuery]) -> Request {
    match queries {
        [BatchedQuery { query: FlowQuery { key, acknowledged }, .. }] => {
            Request::Search { key: *key, acknowledged: *acknowledged }
        }
        _ => Request::SearchMany(queries.iter().map(|batched| batched.query).collect()),
    }
}
