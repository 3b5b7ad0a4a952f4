//! The flow table of an agent for front ends where the handshake between caller and upstream
//! determines the owner of a flow.
//!
//! An opening segment may reach several upstreams, and each of them may accept it. The caller
//! answers one of them: its next segment acknowledges the sequence number that this upstream chose.
//! The agent sees both segments, so it knows without further messages whether it owns the flow. An
//! agent that started after its upstream does not know the flows that the upstream accepted before.
//! It probes the upstream with a segment, which the upstream returns if it does not hold the flow.

mod action;
mod closed_flow;
mod counts;
mod decision;
mod expiry;
mod observation;
mod offer;
mod open_flow;
mod passed;
mod state;
mod table;

pub use self::{
    action::{Action, LostFlow},
    decision::{Decision, ForwardReason, Intake, Ownership, ReplyOutcome},
    observation::{EndCause, NewRequest, OfferedFlow, UpstreamEnd},
    offer::{FlowSource, MAX_HOPS, MAX_LATE_HOPS, Offer, Turn, pass_or_refuse},
    table::FlowTable,
};
