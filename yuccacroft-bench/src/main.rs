//! Measurements of yuccacroft. Every case prints its figures with their targets.

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
};

/// Seed of all random choices when none is given.
const DEFAULT_SEED: u64 = 1;

/// First argument by which a case starts this program in a role of the product.
const PROCESS: &str = "process";

/// The cases by name, in the order of `docs/design.md`, section 12.
const CASES: &[(&str, Case)] = &[
    ("forwarding", forwarding::run),
    ("flows", flows::run),
    ("requests", requests::run),
    ("control", control::run),
    ("slopes", slopes::run),
    ("segments", segments::run),
    ("platform", platform::run),
];

/// A case takes the seed of all its random choices and measures.
type Case = fn(u64) -> Report;

/// Measure yuccacroft.
#[derive(FromArgs)]
struct Arguments {
    /// the case
    #[argh(positional)]
    case: String,
    /// the seed of all random choices
    #[argh(option, default = "DEFAULT_SEED")]
    seed: u64,
    /// with the case platform: the day of this file, in place of the usual ones
    #[argh(option)]
    day: Option<PathBuf>,
    /// with a day: prints the lines of its trace that have this text
    #[argh(option)]
    trace: Option<String>,
}

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(PROCESS) {
        return run_process();
    }
    let arguments: Arguments = argh::from_env();
    let Some((_, case)) = CASES.iter().find(|(name, _)| *name == arguments.case) else {
        let names: Vec<_> = CASES.iter().map(|(name, _)| *name).collect();
        eprintln!("unknown case {}, expected one of: {}", arguments.case, names.join(", "));
        return ExitCode::FAILURE;
    };
    let report = match &arguments.day {
        Some(file) => match platform::run_file(file, arguments.trace.as_deref()) {
            Ok(report) => report,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        },
        None => case(arguments.seed),
    };
    print!("{report}");
    if report.met() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs a balancer or an agent, as the shipped binary does.
fn run_process() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(2).collect();
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    let Ok(arguments) = yuccacroft::cli::Arguments::from_args(&["yuccacroft"], &arguments) else {
        return ExitCode::FAILURE;
    };
    yuccacroft::cli::run(arguments).map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS)
}
