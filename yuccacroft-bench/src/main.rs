//! Benchmarks of yuccacroft. Each case prints its figures with their targets. The exit code is zero
//! if all targets are met.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod control;
mod figure;
mod flows;
mod forwarding;
mod memory;
mod platform;
mod requests;
mod segments;
mod slopes;

use {
    argh::FromArgs,
    figure::Report,
    std::{path::PathBuf, process::ExitCode},
    yuccacroft_emulator::losses::Losses,
};

/// The default seed of the random numbers.
const DEFAULT_SEED: u64 = 1;

/// The first argument that makes this program run as a balancer or an agent. The case `forwarding`
/// starts such processes.
const PROCESS_ARGUMENT: &str = "process";

/// The cases with their names, in the order of `docs/design.md`, section 12.
const CASES: &[(&str, Case)] = &[
    ("forwarding", forwarding::run),
    ("flows", flows::run),
    ("requests", requests::run),
    ("control", control::run),
    ("slopes", slopes::run),
    ("segments", segments::run),
    ("platform", platform::run),
];

/// The function of a case. It takes the seed of the random numbers.
type Case = fn(u64) -> Report;

/// The case that prints where played days lost worth, instead of measuring anything.
const LOSSES_CASE: &str = "losses";

/// Run a benchmark of yuccacroft.
#[derive(FromArgs)]
struct Arguments {
    /// the case to run
    #[argh(positional)]
    case: String,
    /// the seed of the random numbers
    #[argh(option, default = "DEFAULT_SEED")]
    seed: u64,
    /// with the case platform: simulate the day in this file instead of the default days
    #[argh(option)]
    day: Option<PathBuf>,
    /// with the case losses: the reports of days that the users' bench has played
    #[argh(option)]
    report: Vec<PathBuf>,
    /// with --day: also print the lines of the trace that contain this text
    #[argh(option)]
    trace: Option<String>,
}

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(PROCESS_ARGUMENT) {
        return run_process();
    }
    let arguments: Arguments = argh::from_env();
    if arguments.case == LOSSES_CASE {
        return print_losses(&arguments.report);
    }
    let Some((_, case)) = CASES.iter().find(|(name, _)| *name == arguments.case) else {
        let names: Vec<_> = CASES.iter().map(|(name, _)| *name).collect();
        let names = names.join(", ");
        eprintln!("unknown case {}, expected {LOSSES_CASE} or one of: {names}", arguments.case);
        return ExitCode::FAILURE;
    };
    let report = match &arguments.day {
        Some(file) => match platform::run_day_file(file, arguments.trace.as_deref()) {
            Ok(report) => report,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        },
        None => case(arguments.seed),
    };
    print!("{report}");
    if report.all_targets_met() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints where the days of these reports lost worth.
fn print_losses(files: &[PathBuf]) -> ExitCode {
    for file in files {
        let read = std::fs::read_to_string(file).map_err(|error| error.to_string());
        match read.and_then(|text| text.parse::<Losses>().map_err(|error| error.to_string())) {
            Ok(losses) => print!("{}: {losses}", file.display()),
            Err(error) => {
                eprintln!("{}: {error}", file.display());
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

/// Runs a balancer or an agent with the command line interface of the `yuccacroft` binary.
fn run_process() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(2).collect();
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    let Ok(arguments) = yuccacroft::cli::Arguments::from_args(&["yuccacroft"], &arguments) else {
        return ExitCode::FAILURE;
    };
    yuccacroft::cli::run(arguments).map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS)
}
