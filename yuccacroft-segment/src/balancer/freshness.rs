//! The ages of what the decisions of a balancer rest on, for logs.

use {
    slog::{KV, Record, Serializer},
    std::sync::{Mutex, MutexGuard, PoisonError},
    yuccacroft_core::{
        ids::Revision,
        time::{Moment, Span},
    },
};

/// The times at which the balancer last learned something from the store, and at which it last
/// was paused.
#[derive(Debug, Default)]
pub struct Freshness {
    times: Mutex<Times>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Times {
    members: Option<(Moment, Revision)>,
    configuration: Option<(Moment, Revision)>,
    configuration_applied: Option<Moment>,
    /// The end of the last stall. It is the start of the process if there was none.
    resumed: Moment,
}

/// The ages at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ages {
    /// The time since the store last confirmed the list of members, and its revision then.
    pub members: Option<(Span, Revision)>,
    /// The time since the store last confirmed the configuration, and its revision then.
    pub configuration: Option<(Span, Revision)>,
    /// The time since the configuration in force replaced the one before.
    pub configuration_applied: Option<Span>,
    /// The time since the process started or was last paused.
    pub running: Span,
}

impl Freshness {
    /// Records that the store has answered with the list of members or its changes.
    pub fn record_members(&self, revision: Revision, now: Moment) {
        self.times().members = Some((now, revision));
    }

    /// Records that the store has answered with the configuration or its changes.
    pub fn record_configuration(&self, revision: Revision, now: Moment) {
        self.times().configuration = Some((now, revision));
    }

    /// Records that a new configuration is in force.
    pub fn record_configuration_applied(&self, now: Moment) {
        self.times().configuration_applied = Some(now);
    }

    /// Records the end of a stall of the process.
    pub fn record_stall(&self, now: Moment) {
        self.times().resumed = now;
    }

    /// Returns the ages now.
    pub fn ages(&self, now: Moment) -> Ages {
        let times = *self.times();
        let age = |(at, revision)| (now.since(at), revision);
        Ages {
            members: times.members.map(age),
            configuration: times.configuration.map(age),
            configuration_applied: times.configuration_applied.map(|at| now.since(at)),
            running: now.since(times.resumed),
        }
    }

    fn times(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KV for Ages {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        if let Some(age) = self.configuration_applied {
            serializer.emit_arguments("version_age", &format_args!("{age}"))?;
        }
        if let Some((age, revision)) = self.configuration {
            serializer.emit_arguments("configuration_age", &format_args!("{age}"))?;
            serializer.emit_arguments("configuration_revision", &format_args!("{revision}"))?;
        }
        if let Some((age, revision)) = self.members {
            serializer.emit_arguments("members_age", &format_args!("{age}"))?;
            serializer.emit_arguments("members_revision", &format_args!("{revision}"))?;
        }
        serializer.emit_arguments("running", &format_args!("{}", self.running))
    }
}
