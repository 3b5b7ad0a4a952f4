//! A log drain that keeps its lines for tests.

#![allow(dead_code, reason = "each test file uses a part of the module")]

pub mod agent;
pub mod balancer;
pub mod fakes;
pub mod host;

use {
    slog::{Drain, KV, Key, Logger, Never, OwnedKVList, Record, Serializer, o},
    std::{
        collections::BTreeMap,
        fmt::Arguments,
        sync::{Arc, Mutex},
    },
};

/// The fields of a line.
pub type Fields = BTreeMap<String, String>;

/// A drain that keeps its lines.
#[derive(Clone, Debug, Default)]
pub struct Capture(Arc<Mutex<Vec<Line>>>);

/// A log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// The message.
    pub event: String,
    /// The fields.
    pub fields: Fields,
}

struct FieldWriter<'a>(&'a mut Fields);

impl Capture {
    /// Returns a logger that writes to this drain.
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    /// Returns the lines since the last call.
    pub fn take(&self) -> Vec<Line> {
        std::mem::take(&mut *self.0.lock().unwrap())
    }
}

impl Drain for Capture {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line { event: record.msg().to_string(), fields: Fields::new() };
        record.kv().serialize(record, &mut FieldWriter(&mut line.fields)).unwrap();
        self.0.lock().unwrap().push(line);
        Ok(())
    }
}

impl Serializer for FieldWriter<'_> {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        let previous = self.0.insert(key.to_string(), value.to_string());
        assert_eq!(previous, None, "{key} is written twice");
        Ok(())
    }
}
