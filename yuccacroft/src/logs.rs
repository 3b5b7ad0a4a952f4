//! Logs: one line of key=value pairs for each event.

use {
    slog::{Drain, KV, Level, Logger, Never, OwnedKVList, Record, Serializer, o},
    std::{
        fmt::{Arguments, Write as _},
        io::Write as _,
        sync::{Mutex, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Lines that wait for a slow reader of standard output; further ones are dropped and counted.
const QUEUE_LINES: usize = 2_048;

/// Writes the lines that wait when it is dropped.
pub type Flush = slog_async::AsyncGuard;

/// Creates a logger that writes to standard output from `level` up and never waits for its reader.
pub fn logger(level: Level, process: &str) -> (Logger, Flush) {
    let lines = Lines { level, output: Mutex::new(std::io::stdout()) };
    let (drain, flush) = slog_async::Async::new(lines.fuse())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!("process" => process.to_owned())), flush)
}

/// Creates a logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

struct Lines {
    level: Level,
    output: Mutex<std::io::Stdout>,
}

struct Line(String);

impl Drain for Lines {
    type Err = Never;
    type Ok = ();

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !record.level().is_at_least(self.level) {
            return Ok(());
        }
        let mut line = Line(String::new());
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        line.put("time", &format_args!("{}.{:03}", time.as_secs(), time.subsec_millis()));
        line.put("level", &format_args!("{}", record.level().as_str().to_lowercase()));
        line.put("event", record.msg());
        // Both only write into the line, which cannot fail.
        let _ = values.serialize(record, &mut line);
        let _ = record.kv().serialize(record, &mut line);
        line.0.push('\n');
        let mut output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        // There is no other place to report that the log cannot be written.
        let _ = output.write_all(line.0.as_bytes());
        Ok(())
    }
}

impl Line {
    fn put(&mut self, key: &str, value: &Arguments<'_>) {
        let text = value.to_string();
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
        // Writing to a string cannot fail.
        let _ = if !text.is_empty() && text.chars().all(plain) {
            write!(self.0, "{key}={text}")
        } else {
            write!(self.0, "{key}={text:?}")
        };
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments<'_>) -> slog::Result {
        self.put(key, value);
        Ok(())
    }
}
