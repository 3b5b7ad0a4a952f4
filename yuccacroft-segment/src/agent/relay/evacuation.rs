//! The evacuation of the agent's failure domain.

use {
    super::Relay,
    crate::host::Socket,
    slog::info,
    std::net::SocketAddrV4,
    yuccacroft_core::{evacuation::Notice, segment::Format, time::Moment},
};

impl<F: Format, S: Socket> Relay<F, S> {
    /// Handles a notice of a balancer. When an evacuation begins, the openings that the upstream has
    /// not accepted go to other agents. Open flows stay.
    pub(super) fn handle_evacuation(&self, notice: Notice, from: SocketAddrV4, now: Moment) {
        if !self.state.requirements.places {
            return;
        }
        self.balancers.insert(from, now);
        if !self.state.evacuation().record(notice, now) {
            return;
        }
        info!(self.flow_log.log(), "evacuation changed"; "evacuated" => notice.is_evacuated,
            "revision" => %notice.revision, "from" => %from,
            "open" => %self.state.table.open_flows());
        if notice.is_evacuated {
            self.pass_on_unaccepted(now);
        }
        self.send_load(now);
    }
}
