//! The controllers of an agent: reports of the upstream and the watch over its silence.

use {
    super::relay::Relay,
    crate::{
        host::Host,
        platform::{Platform, Readiness, ReportHandler, Socket},
    },
    slog::{info, warn},
    std::{net::SocketAddrV4, sync::Arc, time::Duration},
    tokio::{sync::Notify, time::MissedTickBehavior},
    yuccacroft_core::{
        ids::Incarnation,
        time::Span,
        upstream::{Id, Outcome, Report, Silence},
    },
};

/// Pause between two steps.
const TICK: Duration = Duration::from_millis(20);
/// Steps between two updates of the metrics that show sizes.
const GAUGE_TICKS: u64 = 50;
/// Steps between two messages about the load.
const LOAD_TICKS: u64 = 10;
/// Time between two steps after which this process itself stood still.
const STALL: Span = Span::from_millis(400);

/// The controllers.
pub struct Controllers<P: Platform> {
    host: P::Host,
    relay: Arc<Relay<P::Format, Socket<P>>>,
    upstream: SocketAddrV4,
    /// Asks for the entry to be written, since the upstream has changed.
    pub changed: Notify,
}

impl<P: Platform> Controllers<P> {
    /// Creates the controllers of a packet path.
    pub fn new(
        host: P::Host,
        relay: Arc<Relay<P::Format, Socket<P>>>,
        upstream: SocketAddrV4,
    ) -> Self {
        Self { host, relay, upstream, changed: Notify::new() }
    }

    /// Lets time pass for ever.
    pub async fn tick(&self) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = self.relay.clock.now();
        let mut told = None;
        let mut count: u64 = 0;
        loop {
            interval.tick().await;
            let now = self.relay.clock.now();
            if now.since(last) >= STALL {
                warn!(self.relay.journal.log(), "process stood still"; "for" => %now.since(last));
                self.relay.beliefs.monitor().excuse(now);
            }
            last = now;
            count += 1;
            self.relay.tick(now);
            if count.is_multiple_of(GAUGE_TICKS) {
                self.relay.gauge();
            }
            self.judge();
            let load = self.relay.load(now);
            if count.is_multiple_of(LOAD_TICKS) && told != Some(load) {
                told = Some(load);
                self.relay.tell_load(now);
            }
        }
    }

    fn judge(&self) {
        let now = self.relay.clock.now();
        let (before, after, check) = {
            let mut monitor = self.relay.beliefs.monitor();
            let before = monitor.silence();
            let check = monitor.judge(now);
            (before, monitor.silence(), check)
        };
        if after != before {
            info!(self.relay.journal.log(), "upstream judged"; "silence" => ?after,
                "before" => ?before);
            if after == Silence::Doubtful {
                self.relay.release(now);
                self.relay.tell_load(now);
            }
        }
        if check {
            let (host, relay, upstream) = (self.host.clone(), self.relay.clone(), self.upstream);
            tokio::spawn(async move {
                let result = host.check_port(upstream).await;
                relay.checked(result, relay.clock.now());
            });
        }
    }
}

impl<P: Platform> ReportHandler for Controllers<P> {
    fn handle_report(&self, report: Report) {
        let now = self.relay.clock.now();
        let (id, born, number) = (report.id.clone(), report.born, report.number);
        let phase = report.phase;
        // Both ends of the machine's wall clock, which may have been set back between them.
        let (wall, birth) = (self.host.wall_clock(), Span::from_millis(born.get()));
        let age = (wall >= birth).then(|| wall - birth);
        let (outcome, before) = {
            let mut monitor = self.relay.beliefs.monitor();
            let before = monitor.silence();
            (monitor.report(report, age, now), before)
        };
        if outcome == Outcome::Unchanged && before == Silence::None {
            return;
        }
        info!(self.relay.journal.log(), "upstream reported"; "outcome" => ?outcome, "id" => %id,
            "born" => %born, "number" => %number, "phase" => ?phase);
        match outcome {
            Outcome::Unchanged => self.relay.tell_load(now),
            Outcome::Late | Outcome::Foreign => {}
            Outcome::Changed => {
                self.relay.tell_load(now);
                self.changed.notify_one();
            }
            Outcome::Reborn => {
                // After a step of the wall clock, flows stay that the upstream returns with their
                // next segment.
                self.relay.lose("upstream restarted", now - age.unwrap_or_default(), now);
                self.relay.tell_load(now);
                self.changed.notify_one();
            }
        }
    }

    fn handle_departure(&self, id: &Id, born: Option<Incarnation>) {
        let now = self.relay.clock.now();
        let left = {
            let mut monitor = self.relay.beliefs.monitor();
            let known = monitor.last().map(|report| report.born);
            (born.is_none() || born == known) && monitor.leave(id)
        };
        info!(self.relay.journal.log(), "upstream leaves"; "id" => %id, "known" => left);
        if left {
            self.relay.tell_load(now);
            self.changed.notify_one();
        }
    }

    fn handle_unreadable(&self, cause: &str) {
        if let Some(log) = self.relay.journal.trouble(self.relay.clock.now()) {
            warn!(log, "report unreadable"; "cause" => cause);
        }
    }
}

impl<P: Platform> Readiness for Controllers<P> {
    fn is_ready(&self) -> bool {
        !self.relay.beliefs.is_stopping()
    }
}
