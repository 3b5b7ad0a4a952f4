//! The case `requests`: goodput and latency under overload, short requests mixed with long ones, and
//! outcomes under faults. The decisions run without I/O in virtual time; see `docs/requests.md`.

mod baseline;
mod faults;
mod load;
mod outcome;
mod overload;
mod policy;
mod queues;

use {
    self::{
        baseline::BaselineKind,
        load::{Arrival, Fleet, LoadProfile},
        outcome::{RunResult, Selection},
        policy::{Run, Terms},
        queues::{CLASS, QueueKind},
    },
    crate::figure::{Report, Target},
    rand::{SeedableRng, rngs::StdRng},
    yuccacroft_core::time::{Moment, Span},
};

/// The demands as multiples of the capacity, from `docs/design.md`, section 12.
const DEMANDS: [f64; 5] = [0.5, 0.9, 1.5, 4.0, 10.0];
/// The time before the measurement, in which the agents learn the service times.
const WARM_UP: Span = Span::from_secs(2);
const MEASURED_TIME: Span = Span::from_secs(10);
const TERMS: Terms = Terms { wait: Span::from_millis(500), deadline: Span::from_secs(5) };
/// The share of long requests.
const LONG_SHARE: f64 = 0.02;
/// The load of the short requests. The long requests increase the total load to 0.9.
const SHORT_LOAD: f64 = 0.445;
/// The length of the intervals for which the p99 after the swing is computed.
const RECOVERY_INTERVAL: Span = Span::from_millis(250);
const MAX_RECOVERY: Span = Span::from_secs(6);

const GOODPUT_TARGET: Target = Target::AtLeast(0.95);
const UNCONTENDED_RATIO_TARGET: Target = Target::AtMost(3.0);
const RECOVERY_TARGET: Target = Target::AtMost(2.0);
const MIXED_RATIO_TARGET: Target = Target::AtMost(1.5);

/// The policy or a baseline.
#[derive(Clone, Copy)]
enum Variant {
    Policy,
    Baseline(BaselineKind),
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("requests");
    for slots in [4, 3] {
        let fleet = Fleet::new(slots);
        let uncontended_p99_ms = measure_overload(&fleet, seed, &mut report);
        measure_swing(&fleet, seed, uncontended_p99_ms, &mut report);
        measure_mixed_load(&fleet, seed, &mut report);
        measure_agent_queues(&fleet, seed, &mut report);
    }
    faults::run(seed, &mut report);
    report
}

impl Variant {
    fn all() -> impl Iterator<Item = Self> {
        std::iter::once(Self::Policy).chain(BaselineKind::ALL.into_iter().map(Self::Baseline))
    }

    fn name(self, fleet: &Fleet) -> String {
        let name = match self {
            Self::Policy => "policy",
            Self::Baseline(kind) => kind.name(),
        };
        format!("{name}-{}", fleet.slots)
    }

    fn target(self, target: Target) -> Target {
        match self {
            Self::Policy => target,
            Self::Baseline(_) => Target::None,
        }
    }

    fn run(self, fleet: &Fleet, arrivals: &[Arrival], seed: u64) -> RunResult {
        let measured_from = Moment::default() + WARM_UP;
        match self {
            Self::Policy => Run::new(fleet, TERMS, arrivals, measured_from, seed).finish(),
            Self::Baseline(kind) => baseline::run(kind, fleet, arrivals, measured_from, seed),
        }
    }
}

/// Measures all variants at each demand. Returns the p99 of the service time of the policy at a demand
/// of 0.9, which is the latency without waiting, in milliseconds.
fn measure_overload(fleet: &Fleet, seed: u64, report: &mut Report) -> f64 {
    let mut uncontended_p99_ms = 0.0;
    let mut rows = Vec::new();
    for demand in DEMANDS {
        let profile: &LoadProfile =
            &[(WARM_UP, demand.min(0.9), demand.min(0.9)), (MEASURED_TIME, demand, demand)];
        let arrivals = fleet.generate_arrivals(profile, &mut StdRng::seed_from_u64(seed));
        for variant in Variant::all() {
            let result = variant.run(fleet, &arrivals, seed);
            let selection = Selection::new(&arrivals, &result, TERMS.deadline, is_measured);
            if demand == 0.9 && matches!(variant, Variant::Policy) {
                uncontended_p99_ms = selection.service_time_quantile_ms(0.99);
            }
            rows.push((demand, variant, OverloadFigures::new(&selection, fleet, &result)));
        }
    }
    for (demand, variant, figures) in rows {
        figures.report(demand, variant, fleet, uncontended_p99_ms, report);
    }
    uncontended_p99_ms
}

/// The figures of one variant at one demand.
struct OverloadFigures {
    goodput: f64,
    p50_ms: f64,
    p99_ms: f64,
    refused_share: f64,
    imbalance: f64,
}

impl OverloadFigures {
    fn new(selection: &Selection<'_>, fleet: &Fleet, result: &RunResult) -> Self {
        Self {
            goodput: selection.goodput(
                fleet,
                MEASURED_TIME,
                Moment::default() + WARM_UP + MEASURED_TIME,
            ),
            p50_ms: selection.latency_quantile_ms(0.5),
            p99_ms: selection.latency_quantile_ms(0.99),
            refused_share: selection.refused_share(),
            imbalance: result.imbalance(),
        }
    }

    fn report(
        &self,
        demand: f64,
        variant: Variant,
        fleet: &Fleet,
        uncontended_p99_ms: f64,
        report: &mut Report,
    ) {
        let name = variant.name(fleet);
        let mut add = |figure: &str, value, target| {
            report.add(&name, &format!("demand_{demand}_{figure}"), value, variant.target(target));
        };
        add("goodput", self.goodput, GOODPUT_TARGET);
        add("p50_ms", self.p50_ms, Target::None);
        add("p99_ms", self.p99_ms, Target::AtMost(TERMS.deadline.as_millis() as f64));
        add("p99_over_uncontended", self.p99_ms / uncontended_p99_ms, UNCONTENDED_RATIO_TARGET);
        add("refused_share", self.refused_share, Target::None);
        if demand <= 0.9 {
            add("imbalance", self.imbalance, Target::None);
        }
    }
}

/// Measures a swing of the demand from 0.3 to 6 times the capacity within one second, and the time to
/// recover after it.
fn measure_swing(fleet: &Fleet, seed: u64, uncontended_p99_ms: f64, report: &mut Report) {
    let (second, low_load) = (Span::from_secs(1), (MAX_RECOVERY, 0.3, 0.3));
    let profile: &LoadProfile =
        &[(WARM_UP, 0.3, 0.3), (second, 0.3, 6.0), (second.saturating_mul(2), 6.0, 6.0), low_load];
    let begin = Moment::default() + WARM_UP;
    let end = begin + second.saturating_mul(3);
    let arrivals = fleet.generate_arrivals(profile, &mut StdRng::seed_from_u64(seed));
    for variant in Variant::all() {
        let result = variant.run(fleet, &arrivals, seed);
        let is_during_peak = |arrival: &Arrival| arrival.at >= begin + second && arrival.at < end;
        let selection = Selection::new(&arrivals, &result, TERMS.deadline, is_during_peak);
        let name = variant.name(fleet);
        let mut add =
            |figure, value, target| report.add(&name, figure, value, variant.target(target));
        add(
            "swing_goodput",
            selection.goodput(fleet, second.saturating_mul(2), end),
            GOODPUT_TARGET,
        );
        add(
            "swing_p99_over_uncontended",
            selection.latency_quantile_ms(0.99) / uncontended_p99_ms,
            UNCONTENDED_RATIO_TARGET,
        );
        add("swing_refused_share", selection.refused_share(), Target::None);
        let bound = 3.0 * uncontended_p99_ms;
        let recovery_time = recovery_time(&arrivals, &result, end, bound);
        add("swing_recovery_s", recovery_time.as_micros() as f64 / 1e6, RECOVERY_TARGET);
    }
}

/// Returns the time from the end of the swing to the end of the last interval whose p99 is above the
/// bound (in milliseconds) or in which more than 1% of the requests are refused.
fn recovery_time(arrivals: &[Arrival], result: &RunResult, end: Moment, bound: f64) -> Span {
    let mut recovery_time = Span::ZERO;
    let intervals = MAX_RECOVERY.as_micros() / RECOVERY_INTERVAL.as_micros();
    for index in 0..intervals {
        let begin = end + RECOVERY_INTERVAL.saturating_mul(index);
        let is_in_interval =
            |arrival: &Arrival| arrival.at >= begin && arrival.at < begin + RECOVERY_INTERVAL;
        let selection = Selection::new(arrivals, result, TERMS.deadline, is_in_interval);
        if selection.latency_quantile_ms(0.99) > bound || selection.refused_share() > 0.01 {
            recovery_time = RECOVERY_INTERVAL.saturating_mul(index + 1);
        }
    }
    recovery_time
}

/// Measures short requests with and without 2% of requests that take 50 times longer.
fn measure_mixed_load(fleet: &Fleet, seed: u64, report: &mut Report) {
    let mut rng = StdRng::seed_from_u64(seed);
    let profile: &LoadProfile = &[(WARM_UP + MEASURED_TIME, SHORT_LOAD, SHORT_LOAD)];
    let short = fleet.generate_arrivals(profile, &mut rng);
    let mixed = fleet.with_long_requests(&short, LONG_SHARE, &mut rng);
    for variant in Variant::all() {
        let short_run = variant.run(fleet, &short, seed);
        let mixed_run = variant.run(fleet, &mixed, seed);
        let is_short = |arrival: &Arrival| is_measured(arrival) && !arrival.is_long;
        let is_long = |arrival: &Arrival| is_measured(arrival) && arrival.is_long;
        let short_run = Selection::new(&short, &short_run, TERMS.deadline, is_short);
        let long = Selection::new(&mixed, &mixed_run, TERMS.deadline, is_long);
        let mixed_run = Selection::new(&mixed, &mixed_run, TERMS.deadline, is_short);
        let name = variant.name(fleet);
        let mut add =
            |figure, value, target| report.add(&name, figure, value, variant.target(target));
        add("alone_short_p99_ms", short_run.latency_quantile_ms(0.99), Target::None);
        add("beside_long_short_p99_ms", mixed_run.latency_quantile_ms(0.99), Target::None);
        let ratio = mixed_run.latency_quantile_ms(0.99) / short_run.latency_quantile_ms(0.99);
        add("beside_long_p99_ratio", ratio, MIXED_RATIO_TARGET);
        add("beside_long_short_refused_share", mixed_run.refused_share(), Target::None);
        add("beside_long_long_refused_share", long.refused_share(), Target::None);
    }
}

/// Measures the queues of agents at each demand: the work answered within the objective and within the
/// timeout, as shares of what could be, and the refusals.
fn measure_agent_queues(fleet: &Fleet, seed: u64, report: &mut Report) {
    for demand in DEMANDS {
        let profile: &LoadProfile =
            &[(WARM_UP, demand.min(0.9), demand.min(0.9)), (MEASURED_TIME, demand, demand)];
        let arrivals = fleet.generate_arrivals(profile, &mut StdRng::seed_from_u64(seed));
        for kind in QueueKind::ALL {
            let variant = Variant::Baseline(BaselineKind::Agent(kind));
            let result = variant.run(fleet, &arrivals, seed);
            let name = variant.name(fleet);
            let end = Moment::default() + WARM_UP + MEASURED_TIME;
            let goodput = |limit| {
                Selection::new(&arrivals, &result, limit, is_measured).goodput(
                    fleet,
                    MEASURED_TIME,
                    end,
                )
            };
            let selection = Selection::new(&arrivals, &result, CLASS.timeout, is_measured);
            let mut add = |figure: &str, value| {
                report.add(&name, &format!("demand_{demand}_{figure}"), value, Target::None);
            };
            add("on_time", goodput(CLASS.objective));
            add("in_timeout", goodput(CLASS.timeout));
            add("p99_ms", selection.latency_quantile_ms(0.99));
            add("refused_share", selection.refused_share());
        }
    }
}

fn is_measured(arrival: &Arrival) -> bool {
    arrival.at >= Moment::default() + WARM_UP
}
