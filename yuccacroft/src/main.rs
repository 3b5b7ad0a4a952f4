//! The yuccacroft binary.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

use {std::process::ExitCode, yuccacroft::cli};

fn main() -> ExitCode {
    match cli::run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_status())
        }
    }
}
