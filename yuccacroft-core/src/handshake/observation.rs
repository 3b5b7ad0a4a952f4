//! Read-only views of the flow table for logs.

use {
    super::{
        offer::FlowSource,
        open_flow::Request,
        state::{Entry, State},
        table::FlowTable,
    },
    crate::{
        flow::FlowKey,
        segment::{Control, Segment, Sequence},
        time::{Moment, Span},
    },
};

/// An offered flow whose caller has not yet acknowledged the upstream's acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferedFlow {
    /// The sequence number with which the upstream accepted the flow, or `None` if it has not.
    pub accepted: Option<Sequence>,
    /// The time since the latest copy of the opening segment.
    pub age: Span,
}

/// A request that a segment of a caller begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// The time of the opening segment if this is the first request of its flow, or that at which the
    /// agent discovered the flow; `None` for a later request and on a flow that the agent does not
    /// know.
    pub opened_at: Option<Moment>,
}

/// The end of a flow by its upstream, on which the agent has no influence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamEnd {
    /// What the upstream did.
    pub cause: EndCause,
    /// The time since the opening segment, or since the agent discovered the flow; `None` for a flow
    /// that it does not know.
    pub age: Option<Span>,
    /// Whether a request was in progress.
    pub busy: bool,
    /// Whether [`Action::Overdue`](super::Action::Overdue) has been returned for this request.
    pub was_overdue: bool,
}

/// What an upstream did to end a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// It answered the opening segment with a reset.
    Refused,
    /// It reset an open flow.
    Reset,
    /// It sent its last byte before its caller did.
    Closed,
    /// It reset a flow that the agent does not know.
    UnknownFlow,
}

impl EndCause {
    /// Returns the cause as text for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "opening refused",
            Self::Reset => "reset",
            Self::Closed => "closed",
            Self::UnknownFlow => "reset of an unknown flow",
        }
    }
}

impl FlowTable {
    /// Returns how a segment of the upstream ends its flow, or `None` if it does not or if the flow
    /// has ended before. It is called before [`FlowTable::handle_reply`].
    pub fn upstream_end(&self, segment: &Segment, now: Moment) -> Option<UpstreamEnd> {
        let end = |cause, since: Option<Moment>, request: Option<&Request>| {
            let (busy, was_overdue) = (request.is_some(), request.is_some_and(Request::is_overdue));
            let age = since.map(|since| now.since(since));
            Some(UpstreamEnd { cause, age, busy, was_overdue })
        };
        if !matches!(segment.control, Control::Reset | Control::Finish) {
            return None;
        }
        self.entries.read(&segment.flow.key(), |entry| {
            match (segment.control, entry.map(|entry| &entry.state)) {
                (_, Some(State::Closed(_))) => None,
                (_, Some(State::Open(open))) if open.is_finished() => None,
                (Control::Reset, Some(State::Open(open))) => {
                    end(EndCause::Reset, Some(open.started_at), open.request.as_ref())
                }
                (Control::Finish, Some(State::Open(open))) => {
                    // Data with the last segment answers the request, and so does earlier data, which
                    // may arrive later.
                    let has_sent_data =
                        segment.length > 0 || open.acknowledged != Some(segment.sequence);
                    let request = open.request.as_ref().filter(|_| !has_sent_data);
                    end(EndCause::Closed, Some(open.started_at), request)
                }
                (
                    Control::Reset,
                    Some(State::Offered { changed_at, .. } | State::Accepted { changed_at, .. }),
                ) => end(EndCause::Refused, Some(*changed_at), None),
                (Control::Reset, _) => end(EndCause::UnknownFlow, None, None),
                _ => None,
            }
        })
    }

    /// Returns where a flow comes from, or `None` if the agent has not seen its opening segment.
    pub fn source(&self, key: FlowKey) -> Option<FlowSource> {
        self.entries.read(&key, |entry| Some(entry?.opening?.source))
    }

    /// Returns the copy number of the opening segment if this segment carries the first data of its
    /// flow, or `None` if it does not or the agent has not seen the opening.
    pub fn opening_copy(&self, segment: &Segment) -> Option<u32> {
        let opening = self.entries.read(&segment.flow.key(), |entry| entry?.opening);
        opening.filter(|o| o.sequence.next() == segment.sequence).map(|o| o.copy_number)
    }

    /// Returns the request that a segment of a caller begins if it goes to the upstream, or `None` if
    /// it begins none. `unsure` is true if the upstream may hold flows that the agent does not know
    /// of. It is called before [`FlowTable::handle_segment`].
    pub fn new_request(&self, segment: &Segment, unsure: bool) -> Option<NewRequest> {
        if segment.length == 0 {
            return None;
        }
        self.entries.read(&segment.flow.key(), |entry| match entry.map(|entry| &entry.state) {
            Some(State::Open(open)) if open.holds(segment) && open.begins_request(segment) => {
                let is_first = open.received_end.is_none();
                Some(NewRequest { opened_at: is_first.then_some(open.started_at) })
            }
            Some(State::Accepted { sequence, changed_at })
                if segment.acknowledged == sequence.next() =>
            {
                Some(NewRequest { opened_at: Some(*changed_at) })
            }
            Some(State::Probed { .. }) => Some(NewRequest { opened_at: None }),
            None if unsure => Some(NewRequest { opened_at: None }),
            _ => None,
        })
    }

    /// Returns true if the upstream still serves a flow as far as the agent knows, so that it must have
    /// ended if it returns a segment of it. It is called before [`FlowTable::handle_bounce`].
    pub fn is_in_use(&self, key: FlowKey, now: Moment) -> bool {
        self.entries.read(&key, |entry| match entry.map(|entry| &entry.state) {
            Some(State::Open(open)) => open.is_in_use(now),
            _ => false,
        })
    }

    /// Returns the state of a flow that is offered and not open, or `None` in any other state.
    pub fn offered_flow(&self, key: FlowKey, now: Moment) -> Option<OfferedFlow> {
        self.entries.read(&key, |entry| match entry {
            Some(Entry { state: State::Offered { changed_at, .. }, .. }) => {
                Some(OfferedFlow { accepted: None, age: now.since(*changed_at) })
            }
            Some(Entry { state: State::Accepted { sequence, changed_at }, .. }) => {
                Some(OfferedFlow { accepted: Some(*sequence), age: now.since(*changed_at) })
            }
            _ => None,
        })
    }
}
