//! An open flow: its positions, its request in progress and its end.

use {
    super::counts::Counts,
    crate::{
        segment::{Control, Segment, Sequence},
        time::{Moment, Span},
    },
};

/// A flow that the upstream holds, or is believed to hold.
#[derive(Debug)]
pub(super) struct OpenFlow {
    /// The latest position that the caller acknowledged, or `None` before its first segment.
    pub acknowledged: Option<Sequence>,
    /// The end of the data that the caller has sent, or `None` before its first data.
    pub received_end: Option<Sequence>,
    /// The time when the opening segment went to the upstream, or when the agent discovered the
    /// flow.
    pub started_at: Moment,
    pub last_seen: Moment,
    /// The request that the upstream is processing.
    pub request: Option<Request>,
    /// Whether a request waits in the backlog.
    pub is_held: bool,
    /// Whether a segment of the upstream or the handshake has proven that it holds the flow.
    pub is_proven: bool,
    pub is_finished: bool,
}

/// A request that the upstream is processing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub started_at: Moment,
    /// Whether the request counts among the requests in progress.
    pub is_counted: bool,
}

impl OpenFlow {
    /// Creates an open flow and counts it.
    pub fn new(
        acknowledged: Option<Sequence>,
        is_proven: bool,
        started_at: Moment,
        counts: &Counts,
    ) -> Self {
        counts.add_open();
        Self {
            acknowledged,
            received_end: None,
            started_at,
            last_seen: started_at,
            request: None,
            is_held: false,
            is_proven,
            is_finished: false,
        }
    }

    /// Records a segment of the caller. New data counts as a request. Returns false if the segment
    /// has to wait, because `max_active` requests are in progress.
    pub fn handle_caller_segment(
        &mut self,
        segment: &Segment,
        max_active: u32,
        now: Moment,
        counts: &Counts,
    ) -> bool {
        self.last_seen = now;
        let known = self.acknowledged.unwrap_or(segment.acknowledged);
        self.acknowledged = Some(segment.acknowledged.latest(known));
        if matches!(segment.control, Control::Finish | Control::Reset) {
            self.finish(counts);
        }
        if segment.length == 0 {
            return true;
        }
        let end = Sequence::new(segment.sequence.get().wrapping_add(u32::from(segment.length)));
        let is_new_data = self.received_end.is_none_or(|received_end| end.is_after(received_end));
        if is_new_data {
            self.received_end = Some(end);
            self.is_held |=
                self.request.is_none() && !self.is_finished && counts.active() >= max_active;
        }
        if self.is_held {
            return false;
        }
        if is_new_data {
            self.start_request(now, counts);
        }
        true
    }

    /// Records a segment of the upstream. Its first data ends the request in progress. Returns the
    /// service time of that request.
    pub fn handle_upstream_segment(
        &mut self,
        segment: &Segment,
        now: Moment,
        counts: &Counts,
    ) -> Option<Span> {
        self.last_seen = now;
        self.is_proven = true;
        let request = if segment.length > 0 { self.end_request(counts) } else { None };
        let time = request
            .map(|request| now.since(request.started_at))
            .inspect(|time| counts.record_service_time(*time));
        if segment.control == Control::Finish {
            self.finish(counts);
        }
        time
    }

    /// Records that a request goes to the upstream, unless one is in progress.
    pub fn start_request(&mut self, now: Moment, counts: &Counts) {
        if self.request.is_none() {
            self.request = Some(Request { started_at: now, is_counted: true });
            counts.add_active();
        }
    }

    /// No longer counts a request in progress that is at least `max_age` old.
    pub fn expire_request(&mut self, max_age: Span, now: Moment, counts: &Counts) {
        if let Some(request) = &mut self.request
            && request.is_counted
            && now.since(request.started_at) >= max_age
        {
            request.is_counted = false;
            counts.remove_active();
        }
    }

    /// Removes a flow from the counts before its entry is dropped.
    pub fn end(&mut self, counts: &Counts) {
        if !self.is_finished {
            counts.remove_open();
        }
        self.end_request(counts);
    }

    /// Marks a flow as finished. Its entry stays, since its last segments may still arrive.
    fn finish(&mut self, counts: &Counts) {
        if !std::mem::replace(&mut self.is_finished, true) {
            counts.remove_open();
        }
        self.end_request(counts);
    }

    fn end_request(&mut self, counts: &Counts) -> Option<Request> {
        let request = self.request.take();
        if request.is_some_and(|request| request.is_counted) {
            counts.remove_active();
        }
        request
    }
}
