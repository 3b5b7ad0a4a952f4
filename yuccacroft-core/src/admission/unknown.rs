//! Requests in progress at an upstream that its agent does not know of, such as those from before a
//! restart of the agent.

use crate::time::{Moment, Span};

/// Time for which a reported number is used. Without a response within it the agent lets requests
/// through again, since only responses report the number.
const REPORT_TTL: Span = Span::from_millis(400);

/// The number of unknown requests, by the latest response of the upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnknownRequests {
    count: u32,
    reported_at: Moment,
}

impl UnknownRequests {
    /// Records the number of requests in progress that the upstream has reported, beside the number
    /// that the agent counts. Both include the answered request.
    pub fn record(&mut self, reported: u32, counted: u32, now: Moment) {
        *self = Self { count: reported.saturating_sub(counted), reported_at: now };
    }

    /// Returns the number of unknown requests.
    pub fn count(&self, now: Moment) -> u32 {
        if now.since(self.reported_at) < REPORT_TTL { self.count } else { 0 }
    }
}
