//! The entries of the flow table and their states.

use {
    super::{
        closed_flow::ClosedFlow,
        decision::Decision,
        offer::{FlowSource, Offer},
        open_flow::OpenFlow,
    },
    crate::{
        segment::{Flow, Segment, Sequence},
        time::Moment,
    },
    std::net::SocketAddrV4,
};

/// The entry of one flow.
#[derive(Debug)]
pub(super) struct Entry {
    pub flow: Flow,
    /// The latest opening segment, or `None` if the agent has seen none.
    pub opening: Option<Opening>,
    pub state: State,
}

/// What is kept of an opening segment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opening {
    /// The caller's first position. Another one means that the caller has begun a new flow.
    pub sequence: Sequence,
    /// The number of copies that the caller sent before.
    pub copy_number: u32,
    pub source: FlowSource,
}

impl Opening {
    pub fn new(segment: &Segment, source: FlowSource) -> Self {
        Self { sequence: segment.sequence, copy_number: segment.copy_number(), source }
    }
}

/// The state of a flow at its agent.
#[derive(Debug)]
pub(super) enum State {
    /// The opening segment went to the upstream, which has not accepted it yet.
    Offered { offer: Offer, datagram: Box<[u8]>, changed_at: Moment },
    /// The upstream has accepted the flow with this sequence number. `changed_at` is the time of the
    /// opening segment, or that of a late answer to it.
    Accepted { sequence: Sequence, changed_at: Moment },
    /// A segment went to the upstream, which returns it if it does not hold the flow.
    Probed { origin: SocketAddrV4, changed_at: Moment, returned: bool },
    /// The agent owns the flow.
    Open(OpenFlow),
    /// Both ends have finished the flow, or its caller has reset it.
    Closed(ClosedFlow),
    /// The upstream returned a segment of the flow.
    Absent { changed_at: Moment },
}

impl Entry {
    /// Returns true if the upstream may accept the flow, or has accepted it, and it is not open.
    pub fn is_unopened(&self) -> bool {
        matches!(self.state, State::Offered { .. } | State::Accepted { .. })
    }

    /// Returns the decision about an opening segment that may be a copy of the one of this flow, or
    /// `None` if it opens a new flow from the same port.
    pub fn repeat_opening(
        &mut self,
        segment: &Segment,
        source: FlowSource,
        now: Moment,
    ) -> Option<Decision> {
        let first_position = self.opening.map(|opening| opening.sequence);
        match &mut self.state {
            State::Open(open) if open.may_have_begun_at(segment.sequence, first_position) => {
                Some(Decision::Deliver)
            }
            State::Closed(_) if first_position == Some(segment.sequence) => {
                Some(Decision::Drop("late copy"))
            }
            // A refusal would end a flow whose caller may be about to answer the upstream.
            State::Accepted { changed_at, .. } => {
                *changed_at = now;
                self.opening = Some(Opening::new(segment, source));
                Some(Decision::Confirm)
            }
            _ => None,
        }
    }
}
