//! The limits of the service on new flows.

use {
    super::Relay,
    crate::host::Socket,
    slog::info,
    std::sync::atomic::Ordering,
    yuccacroft_core::{
        limits::ServiceLimits,
        segment::Format,
        time::{Moment, Span},
    },
};

impl<F: Format, S: Socket> Relay<F, S> {
    /// Handles the limits that a balancer tells.
    pub(super) fn handle_limits(&self, limits: ServiceLimits, now: Moment) {
        if !self.state.requirements.places || !self.state.limiter().set_limits(limits) {
            return;
        }
        info!(self.flow_log.log(), "limits changed";
            "max_flows" => limits.max_flows.map(|max| max.get()),
            "warmup_rate" => limits.warmup_rate.map(|rate| rate.to_string()),
            "room" => self.state.room(now).map(|room| room.get()));
    }

    /// Logs the begin and the end of the upstream's warm-up, where its new flows may be limited.
    pub(super) fn log_warmup(&self, now: Moment) {
        if !self.state.requirements.places {
            return;
        }
        let remaining = self.state.monitor().remaining_warmup(now);
        let is_warming_up = remaining > Span::ZERO;
        if self.was_warming_up.swap(is_warming_up, Ordering::Relaxed) == is_warming_up {
            return;
        }
        let most_opened = self.state.limiter().take_most_counted();
        let room = self.state.room(now).map(|room| room.get());
        if is_warming_up {
            info!(self.flow_log.log(), "warm-up begins"; "remaining" => %remaining, "room" => room);
        } else {
            info!(self.flow_log.log(), "warm-up ends"; "most_opened" => most_opened, "room" => room);
        }
    }
}
