//! The entries of the flow table and their states.

use {
    super::{offer::Offer, open_flow::OpenFlow},
    crate::{
        segment::{Flow, Sequence},
        time::Moment,
    },
    std::net::SocketAddrV4,
};

/// The entry of one flow.
#[derive(Debug)]
pub(super) struct Entry {
    pub flow: Flow,
    pub state: State,
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
    /// The upstream returned a segment of the flow.
    Absent { changed_at: Moment },
}
