//! The load of the upstream: its slots, its service times and the requests that it has or is to get.

use {
    super::{AgentState, lock},
    std::sync::atomic::Ordering,
    yuccacroft_core::{
        admission::workload::{ServiceTime, Workload},
        time::{Moment, Span},
        units::{Percent, Slots},
        upstream::UpstreamReport,
    },
};

/// Ticks of the averaging window of open requests, about one second.
const MEAN_TICKS: u32 = 50;
/// Largest sample of open requests, so that the mean does not overflow.
const MAX_SAMPLE: u32 = 10_000;
/// Concurrent requests at an upstream in addition to its slots.
const EXTRA_REQUESTS: u32 = 1;
/// Slots that are assumed until the upstream reports its number. Responses report it as well, so the
/// number is known after the first one.
const DEFAULT_SLOTS: Slots = Slots::new(2);

impl AgentState {
    /// Returns the limit of concurrent requests that the agent has at the upstream: one more than its
    /// slots, so that a slot that becomes free has its next request at once. Requests that the agent
    /// does not know of take their part of it where the requirements ask for measured numbers.
    /// Without that requirement there is no limit before the first report.
    pub fn max_concurrent(&self, now: Moment) -> u32 {
        if !self.requirements.health {
            let slots = self.reported_slots();
            return slots.map_or(u32::MAX, |slots| slots.get().saturating_add(EXTRA_REQUESTS));
        }
        let unknown = lock(&self.unknown_requests).count(now);
        self.slots().get().saturating_add(EXTRA_REQUESTS).saturating_sub(unknown)
    }

    /// Returns the slots of the upstream, by its report if there is one.
    fn slots(&self) -> Slots {
        let noted = self.noted_slots.load(Ordering::Relaxed);
        let noted = (noted > 0).then_some(Slots::new(noted));
        self.reported_slots().or(noted).unwrap_or(DEFAULT_SLOTS)
    }

    fn reported_slots(&self) -> Option<Slots> {
        let slots = |report: &UpstreamReport| Slots::new(report.slots.get().max(1));
        self.monitor().last_report().map(slots)
    }

    /// Notes the slots of the upstream by a response or by an earlier entry of the agent.
    pub fn note_slots(&self, slots: Slots) {
        self.noted_slots.store(slots.get(), Ordering::Relaxed);
    }

    /// Records the number of requests in progress that the upstream has reported with a response,
    /// before the response itself is recorded.
    pub fn record_requests_in_progress(&self, reported: u32, now: Moment) {
        lock(&self.unknown_requests).record(reported, self.table.active_requests(), now);
        self.table.reconcile_active(reported);
    }

    /// Records the service time of one request.
    pub fn record_service_time(&self, service_time: Span, now: Moment) {
        lock(&self.service_times).record(service_time, now);
    }

    /// Returns the time that a request which arrives now is expected to wait for a slot.
    pub fn expected_wait(&self, now: Moment) -> Span {
        self.workload(self.service_time(), now).wait()
    }

    /// Returns the service time of the upstream by its latest requests.
    pub fn service_time(&self) -> ServiceTime {
        let mean = self.table.service_time();
        let measured = lock(&self.service_times).service_time();
        measured.unwrap_or(ServiceTime { mean, tail: mean })
    }

    pub(super) fn workload(&self, service: ServiceTime, now: Moment) -> Workload {
        let unknown = lock(&self.unknown_requests).count(now);
        let accepted = lock(&self.accepted_flows).count(now);
        let requests = self.open_requests().saturating_add(unknown).saturating_add(accepted);
        Workload::new(self.slots(), requests, service.mean)
    }

    /// Returns the number of open requests: those in progress and those that wait.
    pub fn open_requests(&self) -> u32 {
        self.table.active_requests() + self.backlog().len() as u32
    }

    /// Updates the mean of the open requests. It is called once per tick.
    pub fn update_mean_requests(&self) {
        let previous = self.mean_requests.load(Ordering::Relaxed);
        let sum = previous * (MEAN_TICKS - 1) + self.open_requests().min(MAX_SAMPLE) * 100;
        // Rounding up lets the mean reach the sampled value from below.
        self.mean_requests.store(sum.div_ceil(MEAN_TICKS), Ordering::Relaxed);
    }

    /// Returns the mean of the open requests over about the last second.
    pub fn mean_requests(&self) -> Percent {
        Percent::new(self.mean_requests.load(Ordering::Relaxed))
    }

    /// Records that the upstream gets the opening segment of a flow, whose first request follows.
    pub(in crate::agent) fn record_accepted_flow(&self, now: Moment) {
        lock(&self.accepted_flows).record(now);
    }
}
