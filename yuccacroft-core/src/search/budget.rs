//! The budget of the queries of all searches of one balancer, and the costs that it is charged with.

use crate::{
    time::{Moment, Span},
    units::Connections,
};

/// Mean time between two queries of the searches of one balancer. 2,500 queries a second and their
/// answers take less than a fifth of either direction of a link of 10 Mbit/s.
const QUERY_INTERVAL: Span = Span::from_micros(400);
/// Maximum burst of queries after an idle time, and limit of the queries of one round: enough for a
/// hundred flows among ten agents.
const MAX_BURST_QUERIES: i64 = 1_000;
/// Number of further flows in a message that cost as much as a message about one flow. Such a
/// message and its answer have 147 bytes with the headers of IP and UDP, a further flow adds 23.
const FLOWS_PER_QUERY: i64 = 6;
/// Number of flows in a list of an agent's flows that cost as much as a further flow in a message with
/// queries: a key has eight bytes.
const LISTED_FLOWS_PER_TOKEN: i64 = 3;

/// A token bucket that limits the queries of all searches of one balancer. Queries that share a
/// message cost a fraction of single ones.
#[derive(Clone, Copy, Debug)]
pub struct QueryBudget {
    /// The number of flows that may be asked about in messages that are sent anyway; a message with
    /// one flow costs [`FLOWS_PER_QUERY`]. It is negative after a search that exceeded it.
    tokens: i64,
    /// What the present round may still cost.
    round_tokens: i64,
    refilled_at: Moment,
}

impl Default for QueryBudget {
    fn default() -> Self {
        let tokens = MAX_BURST_QUERIES * FLOWS_PER_QUERY;
        Self { tokens, round_tokens: 0, refilled_at: Moment::default() }
    }
}

impl QueryBudget {
    /// Refills the bucket and returns true if queries may be sent.
    pub fn has_tokens(&mut self, now: Moment) -> bool {
        let new_tokens = now.since(self.refilled_at).as_micros() / QUERY_INTERVAL.as_micros();
        // The rest of the last interval counts towards the next token.
        self.refilled_at = self.refilled_at + QUERY_INTERVAL.saturating_mul(new_tokens);
        let new_tokens = i64::try_from(new_tokens).unwrap_or(i64::MAX);
        let new_tokens = new_tokens.saturating_mul(FLOWS_PER_QUERY);
        let max_tokens = MAX_BURST_QUERIES * FLOWS_PER_QUERY;
        self.tokens = self.tokens.saturating_add(new_tokens).min(max_tokens);
        self.tokens > 0
    }

    /// Starts a round in which searches share messages. It may exceed the remaining tokens, since
    /// each further search costs little: a round with few searches would spend most tokens on the
    /// messages. The next round waits until the excess is made up for.
    pub fn start_round(&mut self, now: Moment) {
        let has_tokens = self.has_tokens(now);
        self.round_tokens = if has_tokens { MAX_BURST_QUERIES * FLOWS_PER_QUERY } else { 0 };
    }

    /// Returns true if a further search may send queries in this round.
    pub fn has_round_tokens(&self) -> bool {
        self.round_tokens > 0
    }

    /// Deducts queries that were sent with a message each. One search may exceed the remaining
    /// tokens, so that it can query all agents however many there are. The next one waits until the
    /// excess is made up for.
    pub fn spend(&mut self, queries: usize) {
        self.deduct(i64::try_from(queries).unwrap_or(i64::MAX).saturating_mul(FLOWS_PER_QUERY));
    }

    /// Deducts the tokens of messages whose cost has been computed. A negative number gives tokens
    /// back that were deducted before.
    pub fn spend_tokens(&mut self, tokens: i64) {
        self.deduct(tokens);
    }

    fn deduct(&mut self, tokens: i64) {
        self.tokens = self.tokens.saturating_sub(tokens);
        self.round_tokens = self.round_tokens.saturating_sub(tokens);
    }
}

/// Returns the tokens that one more query costs.
pub const fn cost_of_query(shares_message: bool) -> i64 {
    if shares_message { 1 } else { FLOWS_PER_QUERY }
}

/// Returns the tokens that this number of queries to one agent cost if they are sent in messages of
/// `per_message` flows.
pub fn cost_of_queries(queries: usize, per_message: usize) -> i64 {
    let messages = queries.div_ceil(per_message.max(1));
    let tokens = |count| i64::try_from(count).unwrap_or(i64::MAX);
    tokens(queries).saturating_add(tokens(messages).saturating_mul(FLOWS_PER_QUERY - 1))
}

/// Returns the tokens that the list of all flows of an agent costs that has this number of them.
pub fn cost_of_list(flows: Connections) -> i64 {
    FLOWS_PER_QUERY + i64::from(flows.get()).div_euclid(LISTED_FLOWS_PER_TOKEN)
}
