//! The flow table: decides about segments by the state of their flow.

use {
    super::{
        action::Action,
        counts::Counts,
        decision::{Decision, ForwardReason, Intake, Ownership, ReplyOutcome},
        offer::{self, Offer},
        open_flow::{Answer, OpenFlow},
        passed::PassedOpenings,
        state::{Entry, Opening, State},
    },
    crate::{
        flow::FlowKey,
        segment::{Control, Segment, Sequence},
        shards::Shards,
        time::{Moment, Span},
        units::Connections,
    },
    std::net::SocketAddrV4,
};

/// Time within which an upstream returns a segment of a flow that it does not hold.
pub(super) const BOUNCE_TIMEOUT: Span = Span::from_millis(30);

/// The flow table of one agent.
#[derive(Debug, Default)]
pub struct FlowTable {
    pub(super) entries: Shards<FlowKey, Entry>,
    pub(super) counts: Counts,
    pub(super) passed: PassedOpenings,
}

impl FlowTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the entry of a flow, and counts it while it is unopened.
    fn update<T>(&self, key: FlowKey, change: impl FnOnce(&mut Option<Entry>) -> T) -> T {
        self.entries.update(key, |slot| {
            let is_unopened = |slot: &Option<Entry>| slot.as_ref().is_some_and(Entry::is_unopened);
            let was_unopened = is_unopened(slot);
            let result = change(slot);
            match (was_unopened, is_unopened(slot)) {
                (false, true) => self.counts.add_unopened(),
                (true, false) => self.counts.remove_unopened(),
                _ => {}
            }
            result
        })
    }

    /// Keeps the entries for which `keep` returns true, and counts the unopened flows among the others
    /// no longer. `keep` does not open a flow.
    pub(super) fn retain(&self, mut keep: impl FnMut(&mut Entry) -> bool) {
        self.entries.retain(|_, entry| {
            let was_unopened = entry.is_unopened();
            let is_kept = keep(entry);
            if was_unopened && !is_kept {
                self.counts.remove_unopened();
            }
            is_kept
        });
    }

    /// Decides about an opening segment. `intake` tells whether the upstream takes another flow.
    pub fn handle_opening(
        &self,
        segment: &Segment,
        datagram: &[u8],
        offer: Offer,
        intake: Intake,
        now: Moment,
    ) -> Decision {
        let source = offer.source();
        // The reservation counts the flow, so the count follows no change of the state here.
        self.entries.update(segment.flow.key(), |slot| {
            let repeat = |entry: &mut Entry| entry.repeat_opening(segment, source, now);
            if let Some(decision) = slot.as_mut().and_then(repeat) {
                return decision;
            }
            let is_counted = slot.as_ref().is_some_and(Entry::is_unopened);
            let is_taken =
                if is_counted { intake != Intake::Closed } else { self.counts.reserve(intake) };
            if !is_taken {
                return offer::pass_or_refuse(offer);
            }
            // The caller has given the former flow up, since it uses its port for another one.
            if let Some(Entry { state: State::Open(open), .. }) = slot {
                open.end(&self.counts);
            }
            let state = State::Offered { offer, datagram: datagram.into(), changed_at: now };
            let opening = Some(Opening::new(segment, source));
            *slot = Some(Entry { flow: segment.flow, opening, state });
            Decision::Confirm
        })
    }

    /// Decides about any later segment. `unsure` is true if the upstream may hold flows that the
    /// agent does not know of. A new request waits while `max_active` requests are in progress.
    pub fn handle_segment(
        &self,
        segment: &Segment,
        origin: SocketAddrV4,
        reason: ForwardReason,
        unsure: bool,
        max_active: u32,
        now: Moment,
    ) -> Decision {
        // A balancer that lets the agent probe its upstream keeps a copy of the segment.
        let returned = reason == ForwardReason::Owner;
        let delivered = if returned { Decision::Deliver } else { Decision::Confirm };
        let deny = |unsure| Decision::Deny { origin, unsure, returned };
        self.update(segment.flow.key(), |slot| {
            let opening = slot.as_ref().and_then(|entry| entry.opening);
            match slot.as_mut().map(|entry| &mut entry.state) {
                Some(State::Open(open)) if open.holds(segment) => {
                    if !open.handle_caller_segment(segment, max_active, now, &self.counts) {
                        return Decision::Hold;
                    }
                    Self::close_finished(slot, &self.counts, now);
                    delivered
                }
                Some(State::Closed(closed)) if closed.holds(segment.acknowledged) => delivered,
                // Another flow from the same port, which was opened elsewhere.
                Some(State::Open(_) | State::Closed(_)) => deny(false),
                Some(State::Accepted { sequence, changed_at })
                    if segment.acknowledged == sequence.next() =>
                {
                    let mut open =
                        OpenFlow::new(Some(segment.acknowledged), true, *changed_at, &self.counts);
                    let deliver =
                        open.handle_caller_segment(segment, max_active, now, &self.counts);
                    *slot = Some(Entry { flow: segment.flow, opening, state: State::Open(open) });
                    Self::close_finished(slot, &self.counts, now);
                    if deliver { delivered } else { Decision::Hold }
                }
                Some(State::Offered { .. } | State::Accepted { .. }) => deny(false),
                Some(State::Probed { changed_at, .. })
                    if now.since(*changed_at) >= BOUNCE_TIMEOUT =>
                {
                    let mut open =
                        OpenFlow::new(Some(segment.acknowledged), false, now, &self.counts);
                    open.handle_caller_segment(segment, u32::MAX, now, &self.counts);
                    *slot = Some(Entry { flow: segment.flow, opening, state: State::Open(open) });
                    Decision::Confirm
                }
                Some(State::Probed { .. }) => Decision::Drop("probing"),
                Some(State::Absent { changed_at }) => {
                    *changed_at = now;
                    deny(false)
                }
                None if !unsure => deny(false),
                None => {
                    let state = State::Probed { origin, changed_at: now, returned };
                    *slot = Some(Entry { flow: segment.flow, opening, state });
                    Decision::Deliver
                }
            }
        })
    }

    /// Tells whether the agent owns a flow, for a balancer with a segment that acknowledges
    /// `acknowledged`. `unsure` is true if the upstream may hold flows that the agent does not know
    /// of.
    pub fn ownership(
        &self,
        key: FlowKey,
        acknowledged: Sequence,
        unsure: bool,
        now: Moment,
    ) -> Ownership {
        self.update(key, |slot| match slot.as_mut().map(|entry| &mut entry.state) {
            Some(State::Open(open)) if open.is_at(acknowledged) => Ownership::Owns,
            Some(State::Closed(closed)) if closed.holds(acknowledged) => Ownership::Owns,
            // Another flow from the same port, which was opened elsewhere.
            Some(State::Open(_) | State::Closed(_)) => Ownership::Denies,
            Some(State::Accepted { sequence, .. }) if acknowledged == sequence.next() => {
                Ownership::Owns
            }
            Some(State::Offered { .. } | State::Accepted { .. }) => Ownership::Denies,
            Some(State::Probed { .. }) => Ownership::Pending,
            Some(State::Absent { changed_at }) => {
                *changed_at = now;
                Ownership::Denies
            }
            None if unsure => Ownership::Unsure,
            None => Ownership::Denies,
        })
    }

    /// Returns the keys of all flows that the agent may own, in ascending order. It denies all others,
    /// or is unsure of them. Those that its upstream has returned are left out: after a loss of power
    /// there may be one for each search, and a probe of one of them is denied at once.
    pub fn list_keys(&self) -> Vec<FlowKey> {
        let mut keys = self.entries.fold(Vec::new(), |mut keys, key, entry| {
            if !matches!(entry.state, State::Offered { .. } | State::Absent { .. }) {
                keys.push(*key);
            }
            keys
        });
        keys.sort_unstable();
        keys
    }

    /// Compares the count of requests in progress with the number that the upstream reported in a
    /// response. The reported number includes the request of this response.
    pub fn reconcile_active(&self, reported: u32) {
        self.counts.reconcile_active(reported);
    }

    /// Records a segment from the upstream to a caller.
    pub fn handle_reply(&self, segment: &Segment, now: Moment) -> ReplyOutcome {
        let key = segment.flow.key();
        let is_reset = segment.control == Control::Reset;
        let was_passed = is_reset && self.passed.contains(key, now);
        let outcome = self.update(key, |slot| {
            let is_late_refusal = was_passed && slot.is_none();
            let prober = match slot.as_ref().map(|entry| &entry.state) {
                Some(State::Probed { origin, .. }) => Some(*origin),
                _ => None,
            };
            let refused_opening = Self::refused_opening(slot.as_ref(), segment);
            let answer = Self::record_reply(slot, segment, &self.counts, now);
            let is_open = matches!(slot, Some(Entry { state: State::Open(_), .. }));
            ReplyOutcome {
                service_time: answer.map(|answer| answer.service_time),
                was_overdue: answer.is_some_and(|answer| answer.was_overdue),
                refused_opening,
                is_late_refusal,
                prober: prober.filter(|_| is_open),
            }
        });
        if segment.control == Control::Accept {
            self.passed.remove(key);
        } else if outcome.refused_opening.is_some() {
            self.passed.record(key, now);
        }
        outcome
    }

    /// Returns what to do with an opening segment that the upstream refuses with a reset.
    fn refused_opening(entry: Option<&Entry>, segment: &Segment) -> Option<Action> {
        match entry {
            Some(Entry { flow, state: State::Offered { offer, datagram, .. }, .. })
                if segment.control == Control::Reset =>
            {
                Some(Action::pass_or_refuse(*flow, offer, datagram))
            }
            _ => None,
        }
    }

    /// Changes the entry of a flow by a segment from the upstream. Returns the response
    /// that the segment begins.
    fn record_reply(
        slot: &mut Option<Entry>,
        segment: &Segment,
        counts: &Counts,
        now: Moment,
    ) -> Option<Answer> {
        let opening = slot.as_ref().and_then(|entry| entry.opening);
        let state = slot.as_mut().map(|entry| &mut entry.state);
        match (segment.control, state) {
            (_, Some(State::Closed(closed))) if closed.holds(segment.sequence) => None,
            (Control::Accept, Some(State::Open(_))) => None,
            (Control::Accept, state) => {
                // The opening segment may have been passed on since, or an earlier incarnation of
                // the agent delivered it. The caller may acknowledge the answer nevertheless.
                let changed_at = match state {
                    Some(State::Offered { changed_at, .. })
                    | Some(State::Accepted { changed_at, .. }) => *changed_at,
                    _ => now,
                };
                let state = State::Accepted { sequence: segment.sequence, changed_at };
                *slot = Some(Entry { flow: segment.flow, opening, state });
                None
            }
            (control, Some(State::Offered { .. } | State::Accepted { .. }))
                if control != Control::Reset && segment.length == 0 =>
            {
                None
            }
            (Control::Reset, Some(State::Open(open))) => {
                open.end(counts);
                *slot = None;
                None
            }
            (Control::Reset, _) => {
                *slot = None;
                None
            }
            (_, Some(State::Open(open))) => {
                let answer = open.handle_upstream_segment(segment, now, counts);
                Self::close_finished(slot, counts, now);
                answer
            }
            (_, _) => {
                // Only the upstream that holds a flow sends segments of it.
                let mut open = OpenFlow::new(Some(segment.sequence), true, now, counts);
                let answer = open.handle_upstream_segment(segment, now, counts);
                *slot = Some(Entry { flow: segment.flow, opening, state: State::Open(open) });
                answer
            }
        }
    }

    /// Closes a flow that both ends have finished.
    fn close_finished(slot: &mut Option<Entry>, counts: &Counts, now: Moment) {
        if let Some(entry) = slot
            && let State::Open(open) = &mut entry.state
            && let Some(closed) = open.close(now, counts)
        {
            entry.state = State::Closed(closed);
        }
    }

    /// Decides about a segment that the upstream has returned.
    pub fn handle_bounce(&self, segment: &Segment, now: Moment) -> Decision {
        let key = segment.flow.key();
        let decision = self.update(key, |slot| {
            let Some(entry) = slot.take() else { return Decision::Drop("unknown bounce") };
            let Entry { flow, opening, state } = entry;
            let absent_entry = Entry { flow, opening, state: State::Absent { changed_at: now } };
            match state {
                State::Offered { offer, .. } if segment.control == Control::Open => {
                    offer::pass_or_refuse(offer)
                }
                State::Probed { origin, returned, .. } => {
                    *slot = Some(absent_entry);
                    Decision::Deny { origin, unsure: false, returned }
                }
                state @ (State::Open(_) | State::Accepted { .. })
                    if segment.control == Control::Open =>
                {
                    // The bounce of a delayed duplicate of the opening segment does not prove that
                    // the upstream lacks the flow.
                    *slot = Some(Entry { flow, opening, state });
                    Decision::Drop("late copy")
                }
                State::Open(open) if !open.holds(segment) => {
                    *slot = Some(Entry { flow, opening, state: State::Open(open) });
                    Decision::Drop("segment of an earlier flow")
                }
                State::Open(mut open) => {
                    open.end(&self.counts);
                    *slot = Some(absent_entry);
                    if open.is_proven {
                        Decision::Reset(segment.acknowledged)
                    } else {
                        Decision::Drop("flow of another upstream")
                    }
                }
                state => {
                    *slot = Some(Entry { flow, opening, state });
                    Decision::Drop("unknown bounce")
                }
            }
        });
        if matches!(decision, Decision::Pass(..) | Decision::Refuse(_)) {
            self.passed.record(key, now);
        }
        decision
    }

    /// Records that a held request goes to the upstream. Returns false if its flow has ended or
    /// holds no request.
    pub fn start_held(&self, key: FlowKey, now: Moment) -> bool {
        self.update(key, |slot| match slot.as_mut().map(|entry| &mut entry.state) {
            Some(State::Open(open)) if open.is_held => {
                open.is_held = false;
                open.start_request(now, &self.counts);
                true
            }
            _ => false,
        })
    }

    /// Records that a held request has expired.
    pub fn drop_held(&self, key: FlowKey) {
        self.update(key, |slot| {
            if let Some(State::Open(open)) = slot.as_mut().map(|entry| &mut entry.state) {
                open.is_held = false;
            }
        });
    }

    /// Returns the number of open flows.
    pub fn open_flows(&self) -> Connections {
        self.counts.open()
    }

    /// Returns the number of flows that are open, or that the upstream has accepted or may accept.
    pub fn held_flows(&self) -> Connections {
        self.counts.held()
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> u32 {
        self.counts.active()
    }

    /// Returns the mean time from a request to the first byte of its response.
    pub fn service_time(&self) -> Span {
        self.counts.service_time()
    }
}
