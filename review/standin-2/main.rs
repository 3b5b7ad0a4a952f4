//! A small deployment of the users' platform for the cases of this review: the store, the routers,
//! backends and consumers are stand-ins, the balancers and agents are the project's own programs.
//!
//! `standin CASE FOLDER` plays one case and writes `FOLDER/record.txt`. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. Without trouble (`TROUBLE=0`) the same is
//! played without the disruption.

mod backend;
mod cases;
mod consumer;
mod deployment;
mod http;
mod json;
mod packet;
mod record;
mod router;
mod store;
mod system;

use std::process::exit;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match cases::play(&case, &folder, has_trouble) {
        Verdict::Held => {
            println!("the rule held");
            0
        }
        Verdict::Broken(what) => {
            println!("the rule was broken: {what}");
            1
        }
        Verdict::NotRun(cause) => {
            println!("the case could not run: {cause}");
            2
        }
    };
    exit(code);
}
