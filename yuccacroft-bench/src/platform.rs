//! The case `platform`: simulated days of whole deployments in virtual time. It measures the share
//! and the latency of served requests, and the number of store calls.

use {
    crate::figure::{Report, Target},
    std::path::Path,
    yuccacroft_core::time::Span,
    yuccacroft_emulator::world::{
        self, Summary,
        day::{Day, Event, EventKind},
    },
};

/// The numbers of balancers and agents of the days without faults.
const FLEET_SIZES: [(u8, u8); 3] = [(4, 6), (10, 40), (20, 120)];
/// The number of callers per agent, which is fixed so that upstreams have the same load on all days.
const CALLERS_PER_AGENT: u32 = 5;
/// The maximum number of agents of a day. The emulator gives them the addresses from 10.0.0.100 on.
const MAX_AGENTS: u8 = 150;

/// Runs the case: days without faults for deployments of increasing size, and a day with a power
/// loss.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("platform");
    for (balancers, agents) in FLEET_SIZES {
        let callers = u32::from(agents) * CALLERS_PER_AGENT;
        let day = Day { balancers, agents, callers, ..Day::new(seed) };
        measure_day(&mut report, &format!("calm, {balancers} + {agents} machines"), &day);
    }
    let at = Span::from_secs(8);
    let duration = Span::from_secs(1);
    let power_loss = Event { at, duration, count: 0, kind: EventKind::LosePower };
    measure_day(
        &mut report,
        "loss of power for 1 s",
        &Day::new(seed).with_events(vec![power_loss]),
    );
    report
}

/// Simulates the day that a file describes. Prints the lines of its trace that contain `trace`, and
/// the rules that were broken.
pub fn run_day_file(file: &Path, trace: Option<&str>) -> Result<Report, String> {
    let file_name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file_name}: {error}"))?;
    let day = Day::parse(&file_name, &text).map_err(|error| error.to_string())?;
    if day.agents > MAX_AGENTS {
        return Err(format!("{file_name}: at most {MAX_AGENTS} agents"));
    }
    let mut report = Report::new("platform");
    let summary = measure_day(&mut report, &file_name, &day);
    if let Some(filter) = trace {
        let lines = summary.trace.lines();
        lines.iter().filter(|line| line.contains(filter)).for_each(|line| println!("{line}"));
    }
    summary.violations.iter().for_each(|breach| println!("broken: {breach:?}"));
    Ok(report)
}

/// Simulates a day and adds its figures to the report.
fn measure_day(report: &mut Report, variant: &str, day: &Day) -> Summary {
    let summary = world::run(day);
    let outcomes = &summary.outcomes;
    let requests = (outcomes.served + outcomes.failed).max(1) as f64;
    let milliseconds = |quantile| outcomes.latency.value_at_quantile(quantile) as f64 / 1e3;
    let processes = f64::from(day.balancers) + f64::from(day.agents);
    let seconds = day.length.as_millis() as f64 / 1e3;
    let calls = summary.store_calls as f64 / seconds / processes;
    let broken = summary.violations.len() as f64;
    report.add(variant, "rules_broken", broken, Target::AtMost(0.0));
    report.add(variant, "served_share", outcomes.served as f64 / requests, Target::None);
    report.add(variant, "requests_per_s", requests / seconds, Target::None);
    report.add(variant, "p50_ms", milliseconds(0.5), Target::None);
    report.add(variant, "p99_ms", milliseconds(0.99), Target::None);
    report.add(variant, "store_calls_per_process_and_s", calls, Target::None);
    summary
}
