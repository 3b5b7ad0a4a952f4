//! An open flow: its positions, its request in progress and its end.

use {
    super::{closed_flow::ClosedFlow, counts::Counts},
    crate::{
        segment::{Control, Segment, Sequence},
        time::{Moment, Span},
    },
};

/// Time since the last segment of the upstream for which a flow is not idle: shorter than the idle
/// timeouts of upstreams.
const RECENT_ANSWER: Span = Span::from_secs(5);
/// Age up to which an upstream discards no flow that is in use: less than the maximum lifetime of a
/// flow.
const MIN_LIFETIME: Span = Span::from_secs(50);

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
    /// The position of the first missing data of the caller while later data has arrived.
    missing: Option<Sequence>,
    /// The time of the last segment of the upstream, or `None` before the first one.
    answered_at: Option<Moment>,
    /// The request that the upstream is processing.
    pub request: Option<Request>,
    /// Whether a request waits in the backlog.
    pub is_held: bool,
    /// Whether a segment of the upstream or the handshake has proven that it holds the flow.
    pub is_proven: bool,
    finished: FinishedEnds,
}

/// The ends that have sent their last byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FinishedEnds {
    caller: bool,
    upstream: bool,
}

/// A request that the upstream is processing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub started_at: Moment,
    /// Whether the request counts among the requests in progress.
    pub is_counted: bool,
    /// The time of its latest new data, since which the upstream may have been able to respond.
    silent_since: Moment,
    /// Whether it came in several segments, of which the last one may be lost on the way.
    is_long: bool,
    /// Whether its silence has been returned as [`Action::Overdue`](super::Action::Overdue).
    is_overdue: bool,
}

/// The response to a request that was in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    pub service_time: Span,
    /// Whether the request was overdue.
    pub was_overdue: bool,
}

impl Request {
    fn new(now: Moment) -> Self {
        Self {
            started_at: now,
            is_counted: true,
            silent_since: now,
            is_long: false,
            is_overdue: false,
        }
    }

    /// Returns true if the request has had no response for longer than requests usually take.
    pub fn is_overdue(&self) -> bool {
        self.is_overdue
    }
}

/// Returns the position after the data of a segment.
fn end_of(segment: &Segment) -> Sequence {
    Sequence::new(segment.sequence.get().wrapping_add(u32::from(segment.length)))
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
            missing: None,
            answered_at: is_proven.then_some(started_at),
            request: None,
            is_held: false,
            is_proven,
            finished: FinishedEnds::default(),
        }
    }

    /// Returns true if the caller can be at this position of the upstream's stream. It may have opened
    /// another flow with the same addresses elsewhere.
    pub fn is_at(&self, position: Sequence) -> bool {
        self.acknowledged.is_none_or(|known| position.is_near(known))
    }

    /// Returns true if a segment of the caller can belong to this flow. One that resets the flow may
    /// acknowledge nothing.
    pub fn holds(&self, segment: &Segment) -> bool {
        let is_reset = segment.control == Control::Reset
            && self.received_end.is_none_or(|end| segment.sequence.is_near(end));
        is_reset || self.is_at(segment.acknowledged)
    }

    /// Returns true if an opening segment with this first position may be a late copy of the one of
    /// this flow. `opening` is the first position of the caller, if it is known.
    pub fn may_have_begun_at(&self, position: Sequence, opening: Option<Sequence>) -> bool {
        match opening {
            Some(opening) => position == opening,
            None => self.received_end.is_none_or(|end| position.is_near(end)),
        }
    }

    /// Returns true if only the end of the upstream explains that it no longer holds the flow: both
    /// ends use it, it is neither idle nor old.
    pub fn is_in_use(&self, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) < RECENT_ANSWER;
        !self.is_finished()
            && self.answered_at.is_some_and(is_recent)
            && now.since(self.started_at) < MIN_LIFETIME
    }

    /// Returns true once an end has sent its last byte.
    pub fn is_finished(&self) -> bool {
        self.finished.caller || self.finished.upstream
    }

    /// Ends the flow and returns its next state if both ends have sent their last byte.
    pub fn close(&mut self, now: Moment, counts: &Counts) -> Option<ClosedFlow> {
        let is_closed = self.finished.caller && self.finished.upstream;
        // Without a position of the caller late copies cannot be told from a later flow.
        let acknowledged = self.acknowledged.filter(|_| is_closed)?;
        self.end_request(counts);
        Some(ClosedFlow::new(acknowledged, now))
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
        match segment.control {
            Control::Finish => self.finish(counts, |ends| ends.caller = true),
            Control::Reset => {
                self.finish(counts, |ends| *ends = FinishedEnds { caller: true, upstream: true });
            }
            _ => {}
        }
        if segment.length == 0 {
            return true;
        }
        let is_new_data = self.is_new_data(segment);
        self.update_missing(segment, end_of(segment));
        if is_new_data {
            self.received_end = Some(end_of(segment));
            self.is_held |=
                self.request.is_none() && !self.is_finished() && counts.active() >= max_active;
        }
        if self.is_held {
            return false;
        }
        if is_new_data {
            self.start_request(now, counts);
        }
        true
    }

    /// Follows which data of the caller is missing. The position of a second gap is not kept: the first
    /// one to be filled counts as the end of both.
    fn update_missing(&mut self, segment: &Segment, end: Sequence) {
        let fills =
            |missing: Sequence| !segment.sequence.is_after(missing) && end.is_after(missing);
        match (self.missing, self.received_end) {
            (Some(missing), _) if fills(missing) => self.missing = None,
            (None, Some(received_end)) if segment.sequence.is_after(received_end) => {
                self.missing = Some(received_end);
            }
            _ => {}
        }
    }

    fn is_new_data(&self, segment: &Segment) -> bool {
        let end = end_of(segment);
        self.received_end.is_none_or(|received_end| end.is_after(received_end))
    }

    /// Returns true if a segment of the caller with data begins a request.
    pub fn begins_request(&self, segment: &Segment) -> bool {
        self.request.is_none() && !self.is_held && self.is_new_data(segment)
    }

    /// Records a segment of the upstream. Its first data ends the request in progress. Returns its
    /// response.
    pub fn handle_upstream_segment(
        &mut self,
        segment: &Segment,
        now: Moment,
        counts: &Counts,
    ) -> Option<Answer> {
        self.last_seen = now;
        self.answered_at = Some(now);
        self.is_proven = true;
        let request = if segment.length > 0 { self.end_request(counts) } else { None };
        let answer = request
            .map(|request| Answer {
                service_time: now.since(request.started_at),
                was_overdue: request.is_overdue(),
            })
            .inspect(|answer| counts.record_service_time(answer.service_time));
        if segment.control == Control::Finish {
            self.finish(counts, |ends| ends.upstream = true);
        }
        answer
    }

    /// Records that new data goes to the upstream. It belongs to the request in progress, or begins
    /// one.
    pub fn start_request(&mut self, now: Moment, counts: &Counts) {
        match &mut self.request {
            Some(request) => {
                request.silent_since = now;
                request.is_long = true;
            }
            None => {
                self.request = Some(Request::new(now));
                counts.add_active();
            }
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

    /// Returns true if the request in progress has become overdue, because the upstream has had it for
    /// `max_silence` without a response. While data is missing the link of the caller is late and not
    /// the upstream. So is it if the last segment of several is lost, which does not show, so a request
    /// of several segments has `max_long_silence`.
    pub fn becomes_overdue(
        &mut self,
        max_silence: Span,
        max_long_silence: Span,
        now: Moment,
    ) -> bool {
        if self.missing.is_some() {
            return false;
        }
        let Some(request) = self.request.as_mut().filter(|request| !request.is_overdue) else {
            return false;
        };
        let limit = if request.is_long { max_long_silence } else { max_silence };
        request.is_overdue = now.since(request.silent_since) >= limit;
        request.is_overdue
    }

    /// Removes a flow from the counts before its entry is dropped.
    pub fn end(&mut self, counts: &Counts) {
        if !self.is_finished() {
            counts.remove_open();
        }
        self.end_request(counts);
    }

    /// Marks ends of the flow as finished. It no longer counts as open from the first one on.
    fn finish(&mut self, counts: &Counts, mark: impl FnOnce(&mut FinishedEnds)) {
        if !self.is_finished() {
            counts.remove_open();
        }
        mark(&mut self.finished);
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
