//! The removal of entries: on timeouts, when the upstream takes no more flows, and when it ends.

use {
    super::{
        action::{Action, LostFlow},
        open_flow::{OpenFlow, Request},
        state::State,
        table::{BOUNCE_TIMEOUT, FlowTable},
    },
    crate::time::{Moment, Span},
};

/// Time within which a running upstream usually accepts or returns an opening segment. Then the
/// flow is offered to the next agent as well; a later answer of the upstream still counts.
const ACCEPT_TIMEOUT: Span = Span::from_millis(60);
/// Time for which an accepted flow is kept without a segment of its caller. Callers give up after
/// 1.4 s.
const FIRST_SEGMENT_TIMEOUT: Span = Span::from_secs(3);
/// Time for which a flow that the upstream does not hold is remembered as absent.
const ABSENT_TTL: Span = Span::from_secs(10);
/// Idle time after which a flow is removed: the maximum lifetime of a flow.
const FLOW_IDLE_TIMEOUT: Span = Span::from_secs(60);
/// Number of mean service times after which a request without a response no longer counts as in
/// progress. Long requests take seven times the mean.
const STALE_REQUEST_FACTOR: u64 = 8;
/// Lower bound of the time after which a request without a response no longer counts as in
/// progress.
const MIN_STALE_REQUEST_AGE: Span = Span::from_millis(150);
/// Upper bound of the time after which a request without a response no longer counts as in
/// progress. It is longer than the longest request.
const MAX_STALE_REQUEST_AGE: Span = Span::from_millis(400);

impl FlowTable {
    /// Handles timeouts: passes on opening segments that were not accepted in time, ends probes and
    /// removes idle flows.
    pub fn tick(&self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        // The agent may not see the end of a request that its caller has abandoned or that the
        // upstream received before the agent started.
        let stale_age = self.service_time().saturating_mul(STALE_REQUEST_FACTOR);
        let stale_age = stale_age.clamp(MIN_STALE_REQUEST_AGE, MAX_STALE_REQUEST_AGE);
        self.retain(|entry| {
            let flow = entry.flow;
            match &mut entry.state {
                State::Accepted { sequence, changed_at } => {
                    let is_kept = now.since(*changed_at) < FIRST_SEGMENT_TIMEOUT;
                    if !is_kept {
                        actions.push(Action::Expire { flow, accepted: *sequence });
                    }
                    is_kept
                }
                State::Offered { offer, datagram, changed_at } => {
                    if now.since(*changed_at) < ACCEPT_TIMEOUT {
                        return true;
                    }
                    actions.push(Action::pass_or_refuse(flow, offer, datagram));
                    false
                }
                State::Probed { origin, changed_at, .. } => {
                    if now.since(*changed_at) >= BOUNCE_TIMEOUT {
                        actions.push(Action::Confirm { flow, origin: *origin });
                        entry.state = State::Open(OpenFlow::new(None, false, now, &self.counts));
                    }
                    true
                }
                State::Open(open) => {
                    open.expire_request(stale_age, now, &self.counts);
                    if open.becomes_overdue(stale_age, MAX_STALE_REQUEST_AGE, now) {
                        actions.push(Action::Overdue { flow });
                    }
                    let is_kept = now.since(open.last_seen) < FLOW_IDLE_TIMEOUT;
                    if !is_kept {
                        open.end(&self.counts);
                    }
                    is_kept
                }
                State::Closed(closed) => !closed.has_expired(now),
                State::Absent { changed_at } => now.since(*changed_at) < ABSENT_TTL,
            }
        });
        self.passed.expire(now);
        self.record_passed(&actions, now);
        actions
    }

    /// Passes every opening segment that is not accepted yet to its next candidate, because the
    /// upstream no longer takes new flows.
    pub fn release_unaccepted(&self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.retain(|entry| {
            let State::Offered { offer, datagram, .. } = &entry.state else {
                return true;
            };
            actions.push(Action::pass_or_refuse(entry.flow, offer, datagram));
            false
        });
        self.record_passed(&actions, now);
        actions
    }

    fn record_passed(&self, actions: &[Action], now: Moment) {
        for action in actions {
            if let Action::Pass { flow, .. } | Action::Refuse { flow, .. } = action {
                self.passed.record(flow.key(), now);
            }
        }
    }

    /// Removes and returns the open flows that began before the given end of an upstream. Later
    /// flows belong to its next incarnation, which takes flows before its first report.
    pub fn remove_begun_before(&self, before: Moment) -> Vec<LostFlow> {
        let mut lost = Vec::new();
        self.retain(|entry| match &mut entry.state {
            State::Open(open) if open.started_at < before => {
                // Without a segment of the caller no position is known, so any will do.
                let acknowledged = open.acknowledged.unwrap_or_default();
                let busy = open.request.is_some() || open.is_held;
                let was_overdue = open.request.as_ref().is_some_and(Request::is_overdue);
                let (flow, started_at) = (entry.flow, open.started_at);
                let source = entry.opening.map(|opening| opening.source);
                // Without a segment of this upstream the flow may be that of another one.
                if open.is_proven {
                    lost.push(LostFlow {
                        flow,
                        acknowledged,
                        busy,
                        was_overdue,
                        source,
                        started_at,
                    });
                }
                open.end(&self.counts);
                false
            }
            State::Accepted { changed_at, .. } => *changed_at >= before,
            State::Offered { .. } | State::Open(_) => true,
            State::Probed { .. } | State::Closed(_) | State::Absent { .. } => false,
        });
        lost
    }
}
