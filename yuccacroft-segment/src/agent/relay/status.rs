//! The state of the agent as gauges and as a dump.

use {
    super::Relay,
    crate::{dump, host::Socket},
    std::sync::atomic::Ordering,
    yuccacroft_core::{route::ConfigVersion, segment::Format, time::Moment},
};

/// Metric: number of open flows.
const OPEN_FLOWS_METRIC: &str = "yuccacroft_agent_open_flows";
/// Metric: number of requests in progress at the upstream.
const ACTIVE_REQUESTS_METRIC: &str = "yuccacroft_agent_active_requests";
/// Metric: number of requests that wait for the upstream.
const WAITING_REQUESTS_METRIC: &str = "yuccacroft_agent_waiting_requests";
/// Metric: 1 while the failure domain of the agent is evacuated.
const EVACUATED_METRIC: &str = "yuccacroft_agent_evacuated";
/// Metric: number of further flows that the upstream takes now; infinite without a limit.
const ROOM_METRIC: &str = "yuccacroft_agent_room";
/// Metric: number of datagrams, labelled with direction and kind.
const MESSAGES_METRIC: &str = "yuccacroft_agent_messages_total";
/// Metric: bytes of datagrams without the headers of IP and UDP, labelled with direction and kind.
const MESSAGE_BYTES_METRIC: &str = "yuccacroft_agent_message_bytes_total";

impl<F: Format, S: Socket> Relay<F, S> {
    /// Returns a dump of the agent's state.
    pub fn dump(&self) -> dump::Agent {
        let now = self.clock.now();
        let (entry_version, written) = *self.written_entry();
        let upstream = {
            let monitor = self.state.monitor();
            let silence = format!("{:?}", monitor.silence());
            monitor.last_report().map(|report| dump::Upstream {
                id: report.id.to_string().into(),
                born: report.incarnation,
                report: report.number.get(),
                phase: format!("{:?}", report.phase).into(),
                slots: report.slots,
                silence: silence.into(),
            })
        };
        // A guard in the expression below would be held while the load locks the same state again.
        let evacuated = self.state.evacuation().since().map(|since| now.since(since));
        dump::Agent {
            incarnation: self.agent_id().incarnation,
            uptime: now.since(Moment::default()),
            stopping: self.state.is_stopping(),
            accepting: self.state.is_accepting(),
            evacuated,
            room: self.state.room(now),
            version: ConfigVersion::new(self.config_version.load(Ordering::Relaxed)),
            entry_version,
            entry_age: now.since(written),
            upstream,
            load: self.load(now),
            waiting: self.state.backlog().len(),
            balancers: self.balancers.len(),
        }
    }

    /// Updates the gauges and the counters of messages.
    pub fn update_metrics(&self, now: Moment) {
        metrics::gauge!(OPEN_FLOWS_METRIC).set(f64::from(self.state.table.open_flows().get()));
        metrics::gauge!(ACTIVE_REQUESTS_METRIC).set(f64::from(self.state.table.active_requests()));
        metrics::gauge!(WAITING_REQUESTS_METRIC).set(self.state.backlog().len() as f64);
        if self.state.requirements.places {
            self.update_limit_gauges(now);
        }
        self.traffic.take(MESSAGES_METRIC, MESSAGE_BYTES_METRIC);
    }

    fn update_limit_gauges(&self, now: Moment) {
        let is_evacuated = self.state.evacuation().is_evacuated();
        metrics::gauge!(EVACUATED_METRIC).set(f64::from(u8::from(is_evacuated)));
        let room = self.state.room(now).map_or(f64::INFINITY, |room| f64::from(room.get()));
        metrics::gauge!(ROOM_METRIC).set(room);
    }
}
