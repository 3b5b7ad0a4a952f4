//! Cases of the review: the project's programs with stand-ins of the platform, its backends and
//! consumers around them. Usage: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run.

mod backend;
mod cases;
mod consumer;
mod http;
mod json;
mod packet;
mod platform;
mod store;
mod system;

use std::{panic::catch_unwind, process::exit};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = catch_unwind(|| cases::run(case, record, with_trouble));
    match result {
        Ok(Some(true)) => {
            println!("{case}: the rule was broken");
            exit(1)
        }
        Ok(Some(false)) => {
            println!("{case}: the rule held");
            exit(0)
        }
        Ok(None) | Err(_) => {
            println!("{case}: could not run");
            exit(2)
        }
    }
}
