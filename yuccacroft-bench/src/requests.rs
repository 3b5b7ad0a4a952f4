//! The case `requests`: service under overload, short work beside long work, and outcomes under
//! faults. It drives the pure decisions; see `docs/requests.md`.

mod baseline;
mod faults;
mod load;
mod outcome;
mod policy;

use {
    self::{
        baseline::Kind,
        load::{Arrival, Fleet, Shape},
        outcome::{Outcomes, View},
        policy::{Run, Terms},
    },
    crate::figure::{Report, Target},
    rand::{SeedableRng, rngs::StdRng},
    yuccacroft_core::time::{Moment, Span},
};

/// Multiples of capacity, from `docs/design.md`, section 12.
const DEMANDS: [f64; 5] = [0.5, 0.9, 1.5, 4.0, 10.0];
/// Time before the measured part, in which service times are learned.
const WARM: Span = Span::from_secs(2);
const MEASURED: Span = Span::from_secs(10);
const TERMS: Terms = Terms { wait: Span::from_millis(500), deadline: Span::from_secs(5) };
const LONG_SHARE: f64 = 0.02;
/// Load of the short work beside which the long work brings the whole load to 0.9.
const SHORT_LOAD: f64 = 0.445;
/// Length of the pieces in which the p99 after the swing is looked at.
const PIECE: Span = Span::from_millis(250);
const LONGEST_RECOVERY: Span = Span::from_secs(6);

const GOODPUT: Target = Target::AtLeast(0.95);
const OVER_UNCONTENDED: Target = Target::AtMost(3.0);
const RECOVERY_SECS: Target = Target::AtMost(2.0);
const LONG_BESIDE_SHORT: Target = Target::AtMost(1.5);

/// One policy or baseline.
#[derive(Clone, Copy)]
enum Variant {
    Policy,
    Baseline(Kind),
}

/// Runs the case.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("requests");
    for slots in [4, 3] {
        let fleet = Fleet::new(slots);
        let uncontended = overload(&fleet, seed, &mut report);
        swing(&fleet, seed, uncontended, &mut report);
        beside_long(&fleet, seed, &mut report);
    }
    faults::run(seed, &mut report);
    report
}

impl Variant {
    fn all() -> impl Iterator<Item = Self> {
        std::iter::once(Self::Policy).chain(Kind::ALL.into_iter().map(Self::Baseline))
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

    fn run(self, fleet: &Fleet, arrivals: &[Arrival], seed: u64) -> Outcomes {
        let measured = Moment::default() + WARM;
        match self {
            Self::Policy => Run::new(fleet, TERMS, arrivals, measured, seed).finish(),
            Self::Baseline(kind) => baseline::run(kind, fleet, arrivals, measured, seed),
        }
    }
}

/// Measures each demand and returns the policy's uncontended p99 at 0.9 load.
fn overload(fleet: &Fleet, seed: u64, report: &mut Report) -> f64 {
    let mut uncontended = 0.0;
    let mut rows = Vec::new();
    for demand in DEMANDS {
        let shape: &Shape = &[(WARM, demand.min(0.9), demand.min(0.9)), (MEASURED, demand, demand)];
        let arrivals = fleet.arrivals(shape, &mut StdRng::seed_from_u64(seed));
        for variant in Variant::all() {
            let outcomes = variant.run(fleet, &arrivals, seed);
            let view = View::new(&arrivals, &outcomes, TERMS.deadline, is_measured);
            if demand == 0.9 && matches!(variant, Variant::Policy) {
                uncontended = view.service_quantile(0.99);
            }
            rows.push((demand, variant, Row::new(&view, fleet, &outcomes)));
        }
    }
    for (demand, variant, row) in rows {
        row.report(demand, variant, fleet, uncontended, report);
    }
    uncontended
}

struct Row {
    goodput: f64,
    p50: f64,
    p99: f64,
    refused: f64,
    imbalance: f64,
}

impl Row {
    fn new(view: &View<'_>, fleet: &Fleet, outcomes: &Outcomes) -> Self {
        Self {
            goodput: view.goodput(fleet, MEASURED, Moment::default() + WARM + MEASURED),
            p50: view.quantile(0.5),
            p99: view.quantile(0.99),
            refused: view.refused(),
            imbalance: outcomes.imbalance(),
        }
    }

    fn report(
        &self,
        demand: f64,
        variant: Variant,
        fleet: &Fleet,
        uncontended: f64,
        report: &mut Report,
    ) {
        let name = variant.name(fleet);
        let mut add = |figure: &str, value, target| {
            report.add(&name, &format!("demand_{demand}_{figure}"), value, variant.target(target));
        };
        add("goodput", self.goodput, GOODPUT);
        add("p50_ms", self.p50, Target::None);
        add("p99_ms", self.p99, Target::AtMost(TERMS.deadline.as_millis() as f64));
        add("p99_over_uncontended", self.p99 / uncontended, OVER_UNCONTENDED);
        add("refused_share", self.refused, Target::None);
        if demand <= 0.9 {
            add("imbalance", self.imbalance, Target::None);
        }
    }
}

/// Measures a swing from 0.3 to 6 times capacity within one second, and the time after it.
fn swing(fleet: &Fleet, seed: u64, uncontended: f64, report: &mut Report) {
    let (second, calm) = (Span::from_secs(1), (LONGEST_RECOVERY, 0.3, 0.3));
    let shape: &Shape =
        &[(WARM, 0.3, 0.3), (second, 0.3, 6.0), (second.saturating_mul(2), 6.0, 6.0), calm];
    let begin = Moment::default() + WARM;
    let end = begin + second.saturating_mul(3);
    let arrivals = fleet.arrivals(shape, &mut StdRng::seed_from_u64(seed));
    for variant in Variant::all() {
        let outcomes = variant.run(fleet, &arrivals, seed);
        let during = |arrival: &Arrival| arrival.at >= begin + second && arrival.at < end;
        let view = View::new(&arrivals, &outcomes, TERMS.deadline, during);
        let name = variant.name(fleet);
        let mut add =
            |figure, value, target| report.add(&name, figure, value, variant.target(target));
        add("swing_goodput", view.goodput(fleet, second.saturating_mul(2), end), GOODPUT);
        add("swing_p99_over_uncontended", view.quantile(0.99) / uncontended, OVER_UNCONTENDED);
        add("swing_refused_share", view.refused(), Target::None);
        let bound = 3.0 * uncontended;
        let recovery = recovery(&arrivals, &outcomes, end, bound);
        add("swing_recovery_s", recovery.as_micros() as f64 / 1e6, RECOVERY_SECS);
    }
}

/// Returns the time from the end of the swing to the end of the last piece whose p99 is above the
/// bound or in which more than a hundredth is refused.
fn recovery(arrivals: &[Arrival], outcomes: &Outcomes, end: Moment, bound: f64) -> Span {
    let mut last = Span::ZERO;
    let pieces = LONGEST_RECOVERY.as_micros() / PIECE.as_micros();
    for piece in 0..pieces {
        let begin = end + PIECE.saturating_mul(piece);
        let within = |arrival: &Arrival| arrival.at >= begin && arrival.at < begin + PIECE;
        let view = View::new(arrivals, outcomes, TERMS.deadline, within);
        if view.quantile(0.99) > bound || view.refused() > 0.01 {
            last = PIECE.saturating_mul(piece + 1);
        }
    }
    last
}

/// Measures short work with and without 2% of work that takes 50 times longer.
fn beside_long(fleet: &Fleet, seed: u64, report: &mut Report) {
    let mut random = StdRng::seed_from_u64(seed);
    let shape: &Shape = &[(WARM + MEASURED, SHORT_LOAD, SHORT_LOAD)];
    let short = fleet.arrivals(shape, &mut random);
    let mixed = fleet.with_long(&short, LONG_SHARE, &mut random);
    for variant in Variant::all() {
        let alone = variant.run(fleet, &short, seed);
        let beside = variant.run(fleet, &mixed, seed);
        let is_short = |arrival: &Arrival| is_measured(arrival) && !arrival.long;
        let is_long = |arrival: &Arrival| is_measured(arrival) && arrival.long;
        let alone = View::new(&short, &alone, TERMS.deadline, is_short);
        let long = View::new(&mixed, &beside, TERMS.deadline, is_long);
        let beside = View::new(&mixed, &beside, TERMS.deadline, is_short);
        let name = variant.name(fleet);
        let mut add =
            |figure, value, target| report.add(&name, figure, value, variant.target(target));
        add("alone_short_p99_ms", alone.quantile(0.99), Target::None);
        add("beside_long_short_p99_ms", beside.quantile(0.99), Target::None);
        let ratio = beside.quantile(0.99) / alone.quantile(0.99);
        add("beside_long_p99_ratio", ratio, LONG_BESIDE_SHORT);
        add("beside_long_short_refused_share", beside.refused(), Target::None);
        add("beside_long_long_refused_share", long.refused(), Target::None);
    }
}

fn is_measured(arrival: &Arrival) -> bool {
    arrival.at >= Moment::default() + WARM
}
