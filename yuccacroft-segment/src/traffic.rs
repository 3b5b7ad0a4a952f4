//! Counts of the messages that a process sends and receives, by kind.

use {
    slog::{KV, Record, Serializer},
    std::{
        fmt::{Display, Formatter},
        sync::atomic::{AtomicU64, Ordering},
    },
    yuccacroft_wire::relay::{Body, Request},
};

/// The kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request for the load of an agent.
    Ping,
    /// An opening segment on its way through the candidates.
    Offer,
    /// A segment for the agent that is believed to own its flow.
    Carry,
    /// The first query of a search to an agent.
    Search,
    /// A repeated query of a search.
    SearchRetry,
    /// The first probe of a search to an agent.
    Probe,
    /// A repeated probe of a search.
    ProbeRetry,
    /// The load of an agent, which it reports on its own.
    Load,
    /// The answer to a ping.
    Pong,
    /// A flow was taken.
    Took,
    /// A flow was refused.
    Refused,
    /// A flow is owned by the sender.
    Owns,
    /// A flow is not owned by the sender.
    Denies,
    /// A segment from a caller, or at an agent one to a caller.
    Caller,
    /// A segment from or to the upstream of an agent.
    Upstream,
    /// A reset of a flow towards its caller.
    Reset,
    /// A request of a balancer to ping another agent.
    IndirectPing,
    /// The ping of one agent to another for a balancer.
    RelayedPing,
    /// The answer to it.
    RelayedPong,
    /// The answer as it is passed on to the balancer.
    IndirectPong,
    /// The queries of several searches to an agent.
    SearchMany,
    /// Several flows are not owned by the sender.
    DeniesMany,
    /// A question for all flows of an agent.
    ListFlows,
    /// The flows of the sender.
    Flows,
}

/// The direction of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// The process has sent it.
    Sent,
    /// The process has received it.
    Received,
}

/// A number of messages and their bytes, without the headers of IP and UDP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// The number of messages.
    pub messages: u64,
    /// The sum of their lengths in bytes.
    pub bytes: u64,
}

/// The messages of one process since the last report.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: [Counter; Kind::ALL.len()],
    received: [Counter; Kind::ALL.len()],
}

/// The messages of one process in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    sent: [Volume; Kind::ALL.len()],
    received: [Volume; Kind::ALL.len()],
}

/// The messages of one direction by kind, as text.
struct ByKind<'a>(&'a Report, Direction);

#[derive(Debug, Default)]
struct Counter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 24] = [
        Self::Ping,
        Self::Offer,
        Self::Carry,
        Self::Search,
        Self::SearchRetry,
        Self::Probe,
        Self::ProbeRetry,
        Self::Load,
        Self::Pong,
        Self::Took,
        Self::Refused,
        Self::Owns,
        Self::Denies,
        Self::Caller,
        Self::Upstream,
        Self::Reset,
        Self::IndirectPing,
        Self::RelayedPing,
        Self::RelayedPong,
        Self::IndirectPong,
        Self::SearchMany,
        Self::DeniesMany,
        Self::ListFlows,
        Self::Flows,
    ];

    /// Returns the kind of a message to an agent. `retry` is true if it repeats an earlier one.
    pub fn of_request(request: &Request, retry: bool) -> Self {
        match request {
            Request::Offer { .. } | Request::ClassifiedOffer { .. } => Self::Offer,
            Request::Carry(_) => Self::Carry,
            Request::Search { .. } if retry => Self::SearchRetry,
            Request::Search { .. } => Self::Search,
            Request::Probe(_) if retry => Self::ProbeRetry,
            Request::Probe(_) => Self::Probe,
            Request::Ping { .. }
            | Request::Evacuation(_)
            | Request::Limits(_)
            | Request::Home(_) => Self::Ping,
            Request::ListFlows { .. } => Self::ListFlows,
            Request::IndirectPing { .. } => Self::IndirectPing,
            Request::RelayedPing { .. } => Self::RelayedPing,
            Request::RelayedPong { .. } => Self::RelayedPong,
            Request::SearchMany(_) => Self::SearchMany,
        }
    }

    /// Returns the kind of a message to a balancer.
    pub fn of_reply(body: &Body) -> Self {
        match body {
            Body::Load | Body::Measures(_) => Self::Load,
            Body::Pong => Self::Pong,
            Body::Took(_) => Self::Took,
            Body::Refused => Self::Refused,
            Body::Owns(_) => Self::Owns,
            Body::Denies { .. } => Self::Denies,
            Body::IndirectPong { .. } => Self::IndirectPong,
            Body::DeniesMany { .. } => Self::DeniesMany,
            Body::Flows { .. } => Self::Flows,
        }
    }

    /// Returns the name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ping => "ping",
            Self::Offer => "offer",
            Self::Carry => "carry",
            Self::Search => "search",
            Self::SearchRetry => "search_retry",
            Self::Probe => "probe",
            Self::ProbeRetry => "probe_retry",
            Self::Load => "load",
            Self::Pong => "pong",
            Self::Took => "took",
            Self::Refused => "refused",
            Self::Owns => "owns",
            Self::Denies => "denies",
            Self::Caller => "caller",
            Self::Upstream => "upstream",
            Self::Reset => "reset",
            Self::IndirectPing => "indirect_ping",
            Self::RelayedPing => "relayed_ping",
            Self::RelayedPong => "relayed_pong",
            Self::IndirectPong => "indirect_pong",
            Self::SearchMany => "search_many",
            Self::DeniesMany => "denies_many",
            Self::ListFlows => "list_flows",
            Self::Flows => "flows",
        }
    }
}

impl Direction {
    /// Returns the name of the direction in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

impl Traffic {
    /// Counts a datagram.
    pub fn record(&self, direction: Direction, kind: Kind, bytes: usize) {
        let counters = match direction {
            Direction::Sent => &self.sent,
            Direction::Received => &self.received,
        };
        let counter = &counters[kind as usize];
        counter.messages.fetch_add(1, Ordering::Relaxed);
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the messages since the last call and adds them to the counters of the process's
    /// metrics, which are called `messages` and `bytes`.
    pub fn take(&self, messages: &'static str, bytes: &'static str) -> Report {
        let report = Report {
            sent: std::array::from_fn(|kind| self.sent[kind].take()),
            received: std::array::from_fn(|kind| self.received[kind].take()),
        };
        for (direction, kind, volume) in report.volumes() {
            let (direction, kind) = (direction.name(), kind.name());
            metrics::counter!(messages, "direction" => direction, "kind" => kind)
                .increment(volume.messages);
            metrics::counter!(bytes, "direction" => direction, "kind" => kind)
                .increment(volume.bytes);
        }
        report
    }
}

impl Counter {
    fn take(&self) -> Volume {
        Volume {
            messages: self.messages.swap(0, Ordering::Relaxed),
            bytes: self.bytes.swap(0, Ordering::Relaxed),
        }
    }
}

impl Report {
    /// Returns the messages of one kind in one direction.
    pub fn volume(&self, direction: Direction, kind: Kind) -> Volume {
        match direction {
            Direction::Sent => self.sent[kind as usize],
            Direction::Received => self.received[kind as usize],
        }
    }

    /// Returns the messages of all kinds in one direction.
    pub fn total(&self, direction: Direction) -> Volume {
        let of_direction = self.volumes().filter(|(each, ..)| *each == direction);
        of_direction.fold(Volume::default(), |total, (.., volume)| Volume {
            messages: total.messages + volume.messages,
            bytes: total.bytes + volume.bytes,
        })
    }

    /// Returns the kinds of which there were messages.
    fn volumes(&self) -> impl Iterator<Item = (Direction, Kind, Volume)> + '_ {
        let all = [Direction::Sent, Direction::Received].into_iter().flat_map(move |direction| {
            Kind::ALL.into_iter().map(move |kind| (direction, kind, self.volume(direction, kind)))
        });
        all.filter(|(.., volume)| volume.messages > 0)
    }
}

impl KV for Report {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let (sent, received) = (self.total(Direction::Sent), self.total(Direction::Received));
        serializer.emit_u64("sent_messages", sent.messages)?;
        serializer.emit_u64("sent_bytes", sent.bytes)?;
        serializer.emit_u64("received_messages", received.messages)?;
        serializer.emit_u64("received_bytes", received.bytes)?;
        serializer.emit_arguments("sent", &format_args!("{}", ByKind(self, Direction::Sent)))?;
        serializer
            .emit_arguments("received", &format_args!("{}", ByKind(self, Direction::Received)))
    }
}

impl Display for ByKind<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Self(report, direction) = self;
        let of_direction = report.volumes().filter(|(each, ..)| each == direction);
        for (position, (_, kind, volume)) in of_direction.enumerate() {
            let separator = if position == 0 { "" } else { " " };
            let Volume { messages, bytes } = volume;
            write!(f, "{separator}{}:{messages}/{bytes}", kind.name())?;
        }
        Ok(())
    }
}
