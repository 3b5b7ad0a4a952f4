//! The queue of requests that wait at an agent while all slots of its upstream are in use.
//!
//! An upstream refuses requests beyond its slots and queue places, and serves them in order of
//! arrival. Queueing them at the agent instead absorbs bursts, and lets requests that can still
//! meet their latency objective go first, in order of priority. `docs/design/admission.md` describes
//! the order with shares.

mod rounds;
mod shares;

use {
    self::{
        rounds::{Round, Rounds},
        shares::Shares,
    },
    crate::{
        admission::workload::ServiceTime,
        flow::FlowKey,
        route::{Priority, TrafficClass},
        segment::{Segment, Sequence},
        time::Moment,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::Ipv4Addr,
    },
};

/// Maximum number of waiting requests: more than an upstream can process before their callers time
/// out.
const MAX_WAITING: usize = 1_024;
/// Maximum number of bytes of all waiting segments: two full segments for each request.
const MAX_BYTES: usize = MAX_WAITING * 3_000;
/// Maximum number of segments that are kept of one waiting request: as many as a sender has in
/// flight.
const MAX_SEGMENTS_PER_REQUEST: usize = 16;

/// What a waiting request can still meet if it goes to the upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Its latency objective.
    OnTime,
    /// Its timeout.
    Late,
    /// Neither: its caller has probably given up when the response is ready.
    Overdue,
}

/// The place of a request among those of its stage and priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    round: Round,
    due: Moment,
    key: FlowKey,
}

/// A waiting request and its segments.
#[derive(Clone, Debug)]
struct Waiting {
    class: TrafficClass,
    caller: Ipv4Addr,
    stage: Stage,
    place: Place,
    expires: Moment,
    segments: Vec<(Sequence, Box<[u8]>)>,
}

/// The waiting requests of one agent. Each step takes a time that grows with the logarithm of their
/// number.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    waiting: HashMap<FlowKey, Waiting>,
    queues: BTreeMap<(Stage, Priority), BTreeSet<Place>>,
    /// The due times of the requests that count as on time.
    dues: BTreeSet<(Moment, FlowKey)>,
    /// The timeouts of the requests in the stage [`Stage::Late`].
    timeouts: BTreeSet<(Moment, FlowKey)>,
    expiries: BTreeSet<(Moment, FlowKey)>,
    bytes: usize,
    rounds: Rounds,
    /// The shares of the priorities, or `None` if the order between them is strict.
    shares: Option<Shares>,
}

/// A request that was removed from the backlog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Release {
    /// The request goes to the upstream with these datagrams, in order of arrival.
    Start(FlowKey, Vec<Box<[u8]>>),
    /// The request reached its timeout, so its caller no longer waits.
    Expired(FlowKey),
}

impl Backlog {
    /// Shares the upstream between priorities and between callers, and lets requests that can no
    /// longer meet their timeout go last.
    pub fn with_shares(self) -> Self {
        Self { shares: Some(Shares::default()), ..self }
    }

    /// Adds a segment of a request. A repeated segment is ignored. Returns false if the segment
    /// belongs to a new request and the backlog is full.
    pub fn add(
        &mut self,
        segment: &Segment,
        datagram: &[u8],
        class: TrafficClass,
        now: Moment,
    ) -> bool {
        let key = segment.flow.key();
        let has_room = self.bytes + datagram.len() <= MAX_BYTES;
        if !self.waiting.contains_key(&key) {
            if self.waiting.len() >= MAX_WAITING || !has_room {
                return false;
            }
            self.insert(segment, class, now);
        }
        let Some(waiting) = self.waiting.get_mut(&key) else { return false };
        let segments = &mut waiting.segments;
        let is_repeated = segments.iter().any(|(sequence, _)| *sequence == segment.sequence);
        // The caller retransmits a segment that is not kept.
        if !is_repeated && segments.len() < MAX_SEGMENTS_PER_REQUEST && has_room {
            segments.push((segment.sequence, datagram.into()));
            self.bytes += datagram.len();
        }
        true
    }

    /// Removes the request that is most rounds ahead of its caller's turn, if the caller of this
    /// segment is ahead by fewer. Returns the removed request with its datagrams, which make room in
    /// a full backlog.
    pub fn displace(
        &mut self,
        segment: &Segment,
        class: TrafficClass,
    ) -> Option<(FlowKey, Vec<Box<[u8]>>)> {
        let distance = |priority, round| self.rounds.distance(priority, round);
        let own_round = self.next_round(class.priority, *segment.flow.caller.ip());
        let lasts = self.queues.iter().filter_map(|(&(_, priority), queue)| {
            let last = queue.last()?;
            Some((distance(priority, last.round), last.key))
        });
        let (farthest, key) = lasts.max()?;
        if farthest <= distance(class.priority, own_round) {
            return None;
        }
        Some((key, self.take(key)?.into_datagrams()))
    }

    /// Removes and returns an expired request, or else the one that goes next: requests that can
    /// still meet their objective come first, then those that can meet their timeout. Among them the
    /// order is by priority, round of the caller and due time. With shares a request counts as on time
    /// only if few requests take so long that it would miss its objective: in an overload each
    /// request starts as late as it may, so by the mean half of them would be late.
    pub fn release(&mut self, service: ServiceTime, now: Moment) -> Option<Release> {
        if let Some(&(expires, key)) = self.expiries.first()
            && expires <= now
        {
            self.take(key);
            return Some(Release::Expired(key));
        }
        let margin = if self.shares.is_some() { service.tail } else { service.mean };
        self.update_stages(now + margin, now + service.mean);
        let (priority, place) = self.next()?;
        self.rounds.advance(priority, place.round);
        if let Some(shares) = &mut self.shares {
            shares.record_start(priority);
        }
        Some(Release::Start(place.key, self.take(place.key)?.into_datagrams()))
    }

    /// Removes the request of a flow that has ended.
    pub fn remove(&mut self, key: FlowKey) {
        self.take(key);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn insert(&mut self, segment: &Segment, class: TrafficClass, now: Moment) {
        let (key, caller) = (segment.flow.key(), *segment.flow.caller.ip());
        let (due, expires) = (now + class.objective, now + class.timeout);
        let place = Place { round: self.next_round(class.priority, caller), due, key };
        let stage = Stage::OnTime;
        let waiting = Waiting { class, caller, stage, place, expires, segments: Vec::new() };
        self.rounds.add(class.priority, caller);
        self.queues.entry((stage, class.priority)).or_default().insert(place);
        self.dues.insert((due, key));
        self.expiries.insert((expires, key));
        self.waiting.insert(key, waiting);
    }

    fn next_round(&self, priority: Priority, caller: Ipv4Addr) -> Round {
        match self.shares {
            Some(_) => self.rounds.next(priority, caller),
            None => Round::default(),
        }
    }

    /// Moves the requests to later stages whose objective or timeout is before these times of their
    /// responses.
    fn update_stages(&mut self, on_time: Moment, in_time: Moment) {
        while let Some((_, key)) = pop_before(&mut self.dues, on_time) {
            let Some(waiting) = self.waiting.get(&key) else { continue };
            if self.shares.is_some() {
                self.timeouts.insert((waiting.expires, key));
            }
            self.change_stage(key, Stage::Late);
        }
        while let Some((_, key)) = pop_before(&mut self.timeouts, in_time) {
            self.change_stage(key, Stage::Overdue);
        }
    }

    fn change_stage(&mut self, key: FlowKey, stage: Stage) {
        let Some(waiting) = self.waiting.get_mut(&key) else { return };
        let former = std::mem::replace(&mut waiting.stage, stage);
        let (place, priority) = (waiting.place, waiting.class.priority);
        self.remove_place(former, priority, place);
        self.queues.entry((stage, priority)).or_default().insert(place);
    }

    /// Returns the priority and the place of the request that goes next.
    fn next(&self) -> Option<(Priority, Place)> {
        let (&(stage, highest), _) = self.queues.first_key_value()?;
        let priority = match &self.shares {
            Some(shares) => {
                let queues = self.queues.keys().take_while(|(other, _)| *other == stage);
                shares.choose(queues.map(|(_, priority)| *priority))?
            }
            None => highest,
        };
        Some((priority, *self.queues.get(&(stage, priority))?.first()?))
    }

    fn take(&mut self, key: FlowKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        let (priority, place) = (waiting.class.priority, waiting.place);
        self.rounds.remove(priority, waiting.caller);
        self.remove_place(waiting.stage, priority, place);
        self.dues.remove(&(place.due, key));
        self.timeouts.remove(&(waiting.expires, key));
        self.expiries.remove(&(waiting.expires, key));
        self.bytes -= waiting.segments.iter().map(|(_, datagram)| datagram.len()).sum::<usize>();
        Some(waiting)
    }

    fn remove_place(&mut self, stage: Stage, priority: Priority, place: Place) {
        let Some(queue) = self.queues.get_mut(&(stage, priority)) else { return };
        queue.remove(&place);
        if queue.is_empty() {
            self.queues.remove(&(stage, priority));
        }
    }
}

impl Waiting {
    fn into_datagrams(self) -> Vec<Box<[u8]>> {
        self.segments.into_iter().map(|(_, datagram)| datagram).collect()
    }
}

/// Removes and returns the first entry if its time is before the given one.
fn pop_before(
    entries: &mut BTreeSet<(Moment, FlowKey)>,
    time: Moment,
) -> Option<(Moment, FlowKey)> {
    if entries.first()?.0 >= time {
        return None;
    }
    entries.pop_first()
}
