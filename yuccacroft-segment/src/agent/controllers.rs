//! The controllers of an agent: they process the upstream's reports and check that it answers.

use {
    super::relay::Relay,
    crate::{
        host::Host,
        platform::{Platform, Readiness, ReportHandler, Socket},
        ticker::Ticker,
    },
    slog::{info, warn},
    std::{net::SocketAddrV4, sync::Arc, time::Duration},
    tokio::sync::Notify,
    yuccacroft_core::{
        ids::Incarnation,
        time::{Moment, Span},
        upstream::{ReportOutcome, Silence, UpstreamId, UpstreamReport},
    },
};

/// Time between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two ticks from which on the agent itself counts as late: then its upstream seems
/// slower than it is.
const LATE_TICK: Span = Span::from_millis(60);
/// Ticks between updates of the metrics and of the count of suppressed log lines.
const METRICS_TICKS: u64 = 50;
/// Ticks between load messages to balancers.
const LOAD_TICKS: u64 = 10;

/// The controllers of one agent.
pub struct Controllers<P: Platform> {
    host: P::Host,
    relay: Arc<Relay<P::Format, Socket<P>>>,
    upstream: SocketAddrV4,
    /// Notified when the entry must be written because the upstream has changed.
    pub entry_changed: Notify,
}

impl<P: Platform> Controllers<P> {
    /// Creates the controllers over the state of `relay`.
    pub fn new(
        host: P::Host,
        relay: Arc<Relay<P::Format, Socket<P>>>,
        upstream: SocketAddrV4,
    ) -> Self {
        Self { host, relay, upstream, entry_changed: Notify::new() }
    }

    /// Runs the timers of the agent. It does not return.
    pub async fn run_timers(&self) {
        let mut ticker = Ticker::new(TICK_INTERVAL, self.relay.clock.clone());
        let mut sent = None;
        loop {
            let tick = ticker.tick(self.relay.flow_log.log()).await;
            let now = tick.now;
            if tick.is_stalled {
                self.relay.state.monitor().restart_timeouts(now);
            }
            if tick.pause >= LATE_TICK {
                self.relay.state.outcomes().record_pause(now);
            }
            self.relay.tick(now);
            if tick.is_every(METRICS_TICKS) {
                self.relay.update_metrics(now);
                self.relay.flow_log.flush(now);
            }
            self.update_silence();
            if tick.is_every(LOAD_TICKS) {
                let state = (self.relay.load(now), self.relay.measures(now));
                if sent.replace(state) != Some(state) {
                    self.relay.send_load(now);
                }
            }
        }
    }

    fn update_silence(&self) {
        let now = self.relay.clock.now();
        let (before, after, check_due) = {
            let mut monitor = self.relay.state.monitor();
            let before = monitor.silence();
            let check_due = monitor.update_silence(now);
            (before, monitor.silence(), check_due)
        };
        if after != before {
            info!(self.relay.flow_log.log(), "upstream judged"; "silence" => ?after,
                "before" => ?before);
            if after == Silence::Doubtful {
                self.relay.pass_on_unaccepted(now);
                self.relay.send_load(now);
            }
        }
        if check_due {
            self.check_port(now);
        }
    }

    fn check_port(&self, now: Moment) {
        let (host, relay, upstream) = (self.host.clone(), self.relay.clone(), self.upstream);
        tokio::spawn(async move {
            let result = host.check_port(upstream).await;
            relay.apply_port_check(now, result, relay.clock.now());
        });
    }
}

impl<P: Platform> ReportHandler for Controllers<P> {
    fn handle_report(&self, report: UpstreamReport) -> ReportOutcome {
        let now = self.relay.clock.now();
        let (id, incarnation, number) = (report.id.clone(), report.incarnation, report.number);
        let phase = report.phase;
        // Both times are from the machine's wall clock, which may have been set back in between.
        let (wall_clock, started) = (self.host.wall_clock(), Span::from_millis(incarnation.get()));
        let age = (wall_clock >= started).then(|| wall_clock - started);
        let (outcome, before, begun_after) = {
            let mut monitor = self.relay.state.monitor();
            let before = monitor.silence();
            (monitor.handle_report(report, age, now), before, monitor.begun_after())
        };
        if outcome == ReportOutcome::Unchanged && before == Silence::None {
            return outcome;
        }
        info!(self.relay.flow_log.log(), "upstream reported"; "outcome" => ?outcome, "id" => %id,
            "born" => %incarnation, "number" => %number, "phase" => ?phase);
        match outcome {
            ReportOutcome::Unchanged => self.relay.send_load(now),
            ReportOutcome::Foreign => {}
            // A run that appears to be older than the known one is believed only if its port answers.
            ReportOutcome::Late => {
                let is_due = self.relay.state.monitor().start_check(now);
                if is_due {
                    self.check_port(now);
                }
            }
            ReportOutcome::Changed => {
                self.relay.send_load(now);
                self.entry_changed.notify_one();
            }
            ReportOutcome::Reborn => {
                // Flows of which it is unknown to which incarnation they belong stay. If the new one
                // does not hold them, it bounces their next segment, which ends them.
                self.relay.reset_lost_flows("upstream restarted", begun_after, now);
                self.relay.send_load(now);
                self.entry_changed.notify_one();
            }
        }
        outcome
    }

    fn handle_departure(&self, id: &UpstreamId, incarnation: Option<Incarnation>) {
        let now = self.relay.clock.now();
        let is_current = {
            let mut monitor = self.relay.state.monitor();
            let current = monitor.last_report().map(|report| report.incarnation);
            (incarnation.is_none() || incarnation == current) && monitor.mark_departed(id)
        };
        info!(self.relay.flow_log.log(), "upstream leaves"; "id" => %id, "known" => is_current);
        if is_current {
            self.relay.send_load(now);
            self.entry_changed.notify_one();
        }
    }

    fn handle_unreadable(&self, cause: &str) {
        if let Some(log) = self.relay.flow_log.failure(self.relay.clock.now()) {
            warn!(log, "report unreadable"; "cause" => cause);
        }
    }
}

impl<P: Platform> Readiness for Controllers<P> {
    fn is_ready(&self) -> bool {
        !self.relay.state.is_stopping()
    }
}
