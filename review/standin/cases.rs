//! The cases.

mod clock_set_back;
mod overwritten_entry;
mod reused_flow;
mod reused_port;
mod unreadable_entry;

use {crate::packet::Record, std::sync::Arc};

/// Runs a case. Returns whether the rule was broken, or `None` if the case could not run.
pub fn run(case: &str, record: &str, with_trouble: bool) -> Option<bool> {
    let record = Arc::new(Record::create(record));
    record.add(&format!("case {case}, with the disruption: {with_trouble}"));
    let result = match case {
        "clock-set-back" => clock_set_back::run(&record, with_trouble),
        "overwritten-entry" => overwritten_entry::run(&record, with_trouble),
        "reused-flow" => reused_flow::run(&record, with_trouble),
        "reused-port" => reused_port::run(&record, with_trouble),
        "unreadable-entry" => unreadable_entry::run(&record, with_trouble),
        _ => None,
    };
    record.add(&format!("rule broken: {result:?}"));
    result
}
