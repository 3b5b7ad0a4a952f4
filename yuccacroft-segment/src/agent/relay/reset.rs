//! The end of the upstream: passes on its unaccepted flows and resets its open ones.

use {
    super::Relay,
    crate::{host::Socket, traffic::Kind},
    slog::info,
    yuccacroft_core::{
        handshake::LostFlow,
        outcome::Outcome,
        segment::{Flow, Format, Sequence},
        time::{Moment, Span},
        upstream::{ConnectResult, Silence},
    },
};

impl<F: Format, S: Socket> Relay<F, S> {
    /// Passes the opening segments that the upstream has not accepted yet on to other agents.
    pub fn pass_on_unaccepted(&self, now: Moment) {
        for action in self.state.table.release_unaccepted(now) {
            self.perform(action, now);
        }
    }

    /// Applies the result of a check of the upstream's port that was started at `started_at`. A dead
    /// upstream loses the flows that are older than the check.
    pub fn apply_port_check(&self, started_at: Moment, result: ConnectResult, now: Moment) {
        let (before, after) = {
            let mut monitor = self.state.monitor();
            let before = monitor.silence();
            monitor.record_check(started_at, result, now);
            (before, monitor.silence())
        };
        if before != after {
            info!(self.flow_log.log(), "upstream judged"; "silence" => ?after, "before" => ?before,
                "check" => ?result);
        }
        if after == Silence::Dead && before != Silence::Dead {
            self.pass_on_unaccepted(now);
            self.reset_lost_flows("upstream dead", started_at, now);
            self.send_load(now);
        }
    }

    /// Removes the flows that were opened before `before`, the time at which the upstream exited,
    /// and resets them, so that their callers need not wait for a timeout.
    pub fn reset_lost_flows(&self, cause: &'static str, before: Moment, now: Moment) {
        let lost = self.state.table.remove_begun_before(before);
        if !lost.is_empty() {
            info!(self.flow_log.log(), "flows lost"; "count" => lost.len(), "cause" => cause,
                "busy" => lost.iter().filter(|flow| flow.busy).count());
        }
        for LostFlow { flow, acknowledged, started_at, busy, was_overdue, source } in lost {
            if busy {
                self.record_failed_request(source, was_overdue, Outcome::Lost, now);
            }
            self.state.backlog().remove(flow.key());
            self.reset(flow, acknowledged, cause, Some(now.since(started_at)), now);
        }
    }

    /// Resets a flow. `age` is its age, if it is known.
    pub(super) fn reset(
        &self,
        flow: Flow,
        sequence: Sequence,
        cause: &'static str,
        age: Option<Span>,
        now: Moment,
    ) {
        self.log_reset(flow, cause, age, now);
        let datagram = self.format.encode_reset(flow, sequence);
        self.send_to_caller(Kind::Reset, flow, &datagram);
    }
}
