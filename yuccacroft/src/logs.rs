//! Structured logs: one line of `key=value` pairs for each event.

use {
    slog::{Drain, KV, Level, Logger, Never, OwnedKVList, Record, Serializer, o},
    std::{
        fmt::{Arguments, Write as _},
        io::Write as _,
        sync::{Mutex, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Capacity of the queue of lines in front of standard output. While the queue is full because the
/// reader is slow, further lines are dropped and counted.
const QUEUE_CAPACITY_LINES: usize = 2_048;

/// Writes the queued lines when it is dropped.
pub type FlushGuard = slog_async::AsyncGuard;

/// Creates a logger that writes events of at least `level` to standard output. Logging never blocks
/// on the reader of standard output.
pub fn logger(level: Level, process: &str) -> (Logger, FlushGuard) {
    let line_drain = LineDrain { level, output: Mutex::new(std::io::stdout()) };
    let (drain, flush_guard) = slog_async::Async::new(line_drain.fuse())
        .chan_size(QUEUE_CAPACITY_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!("process" => process.to_owned())), flush_guard)
}

/// Creates a logger that discards all events.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Formats events and writes them to standard output.
struct LineDrain {
    level: Level,
    output: Mutex<std::io::Stdout>,
}

/// A log line under construction.
struct Line(String);

impl Drain for LineDrain {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !record.level().is_at_least(self.level) {
            return Ok(());
        }
        let mut line = Line(String::new());
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        line.push_pair("time", &format_args!("{}.{:03}", time.as_secs(), time.subsec_millis()));
        line.push_pair("level", &format_args!("{}", record.level().as_str().to_lowercase()));
        line.push_pair("event", record.msg());
        // Both only write to a string, which cannot fail.
        let _ = values.serialize(record, &mut line);
        let _ = record.kv().serialize(record, &mut line);
        line.0.push('\n');
        let mut output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        // A failed write to the log cannot be reported anywhere else.
        let _ = output.write_all(line.0.as_bytes());
        Ok(())
    }
}

impl Line {
    /// Appends a pair; quotes the value if it is empty or holds a space or a special character.
    fn push_pair(&mut self, key: &str, value: &Arguments<'_>) {
        let text = value.to_string();
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
        // Writing to a string cannot fail.
        let _ = if !text.is_empty() && text.chars().all(is_plain) {
            write!(self.0, "{key}={text}")
        } else {
            write!(self.0, "{key}={text:?}")
        };
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments<'_>) -> slog::Result {
        self.push_pair(key, value);
        Ok(())
    }
}
