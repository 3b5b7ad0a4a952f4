//! Ejection of upstreams that fail clearly more requests than the others of their service.
//!
//! The share of failures that a member reports is compared with the median and the spread of its
//! peers. No member is ejected when all fail alike, because the cause is then none of them. An
//! ejected member keeps a small share of the flows as probes, and comes back step by step. See
//! `docs/design/outliers.md`.

use {
    super::placement::PLACEMENT_WINDOW,
    crate::{
        flow::FlowKey,
        ids::Instance,
        placement::pair_hash,
        time::{Moment, Span},
        units::{Percent, Slots},
    },
    serde::{Deserialize, Serialize},
};

/// Smallest number of members that can be compared: the median of fewer is not independent of the
/// member that is compared with it.
const MIN_PEERS: usize = 3;
/// Smallest distance from the median, in hundredths, at which a member is an outlier. The share of
/// few requests varies by less.
const MIN_DISTANCE: u32 = 8;
/// Number of spreads, and of standard deviations of a share, between the median and an outlier. With
/// many members that are compared often, smaller distances occur by chance.
const DISTANCE_DEVIATIONS: u32 = 4;
/// Square root of the number of requests that a reported share rests on.
const SAMPLE_ROOT: u32 = 6;
/// Utilization of the remaining members, in hundredths, above which no further member is ejected.
const MAX_UTILIZATION_AFTER_EJECTION: u64 = 80;
/// Utilization of the remaining members, in hundredths, above which an ejected member returns
/// although it still fails. It is higher than the limit of ejections, so that no member goes back and
/// forth.
const MAX_UTILIZATION: u64 = 95;
/// The part of its usual flows that an ejected member gets, in hundredths, from the probes to the last
/// step before it is admitted.
const RETURN_STEPS: [u32; 3] = [5, 20, 50];
/// Time between two steps, in which the requests of the last one are answered and reported.
const STEP_TIME: Span = Span::from_millis(500);
/// Time for which a member stays ejected at first.
const MIN_HOLD: Span = Span::from_secs(1);
/// Longest time for which a member stays ejected after repeated ejections. It exceeds the period of
/// an upstream that restarts over and over.
const MAX_HOLD: Span = Span::from_secs(16);
/// Time after the last change of a standing within which a further ejection lasts twice as long.
const REPEAT_WINDOW: Span = Span::from_secs(30);
/// Share of failures, in hundredths, from which on a member adds no capacity: most of its requests have
/// to be sent again.
const MAX_USEFUL_FAILURES: u32 = 50;
const HUNDRED: u64 = 100;

/// The part of its flows that a member gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The position in [`RETURN_STEPS`], or `None` if the member gets all flows.
    step: Option<usize>,
    /// The number of members among which the usual flows are divided.
    peers: u64,
    changed_at: Moment,
    /// The time for which the last ejection lasts at least.
    hold: Span,
}

/// The standing of an ejected member in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ejection {
    /// The step of its return.
    step: usize,
    /// The number of members among which the usual flows are divided.
    peers: u64,
}

/// A member as it is compared with the other members of its service.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// The member.
    pub instance: Instance,
    /// The share of its latest requests that failed, or `None` if it is unknown.
    pub failures: Option<Percent>,
    /// The mean number of its requests in progress, in hundredths.
    pub busy: Percent,
    /// The number of requests that its upstream processes concurrently.
    pub slots: Slots,
    /// Its standing.
    pub standing: Standing,
}

/// Why the standing of a member has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The member fails more requests than its peers.
    Outlier,
    /// The member fails about as few requests as its peers.
    Recovered,
    /// The other members have too little capacity without it, or too few of them can be compared.
    CapacityNeeded,
}

/// A change of a member's standing, with the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub instance: Instance,
    /// Why it has changed.
    pub cause: Cause,
    /// The standing of the member now.
    pub standing: Standing,
    /// The share of its latest requests that failed.
    pub failures: Percent,
    /// The median of these shares among its peers.
    pub median: Percent,
    /// The share of failures from which on a member is an outlier.
    pub limit: Percent,
}

/// What the members of a service have in common.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// Whether enough members have reported.
    is_comparable: bool,
    /// The number of members that one choice compares.
    peers: u64,
    median: u32,
    distance: u32,
}

/// The requests in progress at a service, and the capacity of the members that get all flows, both
/// in hundredths of a slot.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    busy: u64,
    admitted: u64,
}

impl Cause {
    /// Returns the name of the cause in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Outlier => "outlier",
            Self::Recovered => "recovered",
            Self::CapacityNeeded => "capacity_needed",
        }
    }
}

impl Peer {
    /// Returns true if the member serves most of its requests.
    fn is_useful(&self) -> bool {
        self.failures.is_none_or(|failures| failures.get() < MAX_USEFUL_FAILURES)
    }
}

impl Ejection {
    /// Returns the standing, or `None` if there is no such step.
    pub(super) fn standing(self) -> Option<Standing> {
        let is_valid = self.step < RETURN_STEPS.len() && self.peers > 0;
        is_valid.then_some(Standing {
            step: Some(self.step),
            peers: self.peers,
            ..Standing::ADMITTED
        })
    }
}

impl Standing {
    /// The standing of a member that has never been ejected.
    pub const ADMITTED: Self =
        Self { step: None, peers: 1, changed_at: Moment::new(0), hold: Span::ZERO };

    /// Returns the standing as part of a snapshot, or `None` if the member gets all flows.
    pub(super) fn ejection(&self) -> Option<Ejection> {
        self.step.map(|step| Ejection { step, peers: self.peers })
    }

    /// Returns true if the member gets all flows.
    pub fn is_admitted(&self) -> bool {
        self.step.is_none()
    }

    /// Returns the part of its usual flows that the member gets.
    pub fn share(&self) -> Percent {
        Percent::new(self.step.map_or(HUNDRED as u32, |step| RETURN_STEPS[step]))
    }

    /// Returns true if a member with this standing may get the flow. Which flows are probes depends
    /// on their keys, so that all balancers choose the same ones. An idle member is the cheapest for
    /// nearly all flows that may go to it, so these are as many as it is to get.
    pub(super) fn admits(&self, key: FlowKey, instance: Instance) -> bool {
        if self.is_admitted() {
            return true;
        }
        probe_position(key, instance) < u64::from(self.share().get()) * HUNDRED / self.peers
    }

    /// Returns true if a member with this standing gets the flow as a probe, whatever it has failed
    /// before. All flows that an ejected member gets are probes. An admitted member that others could
    /// replace gets a fixed part of the flows as probes, so that a share of failures from before a pause
    /// is measured again.
    pub(super) fn is_probe(&self, key: FlowKey, instance: Instance) -> bool {
        !self.is_admitted() || probe_position(key, instance) < u64::from(RETURN_STEPS[0]) * HUNDRED
    }

    fn eject(&mut self, peers: u64, now: Moment) {
        let is_repeated = self.hold > Span::ZERO && now.since(self.changed_at) < REPEAT_WINDOW;
        let hold = if is_repeated { self.hold.saturating_mul(2) } else { MIN_HOLD };
        *self = Self { step: Some(0), peers, changed_at: now, hold: hold.min(MAX_HOLD) };
    }

    fn admit(&mut self, now: Moment) {
        self.step = None;
        self.changed_at = now;
    }

    /// Goes to the next step of the return.
    fn advance(&mut self, now: Moment) {
        self.step = self.step.map(|step| step + 1).filter(|step| *step < RETURN_STEPS.len());
        self.changed_at = now;
    }

    /// Returns true once the present step has lasted long enough.
    fn is_step_over(&self, now: Moment) -> bool {
        let is_ejected = self.step == Some(0);
        let step_time = if is_ejected { self.hold } else { STEP_TIME };
        now.since(self.changed_at) >= step_time
    }
}

/// Compares the members of one service, updates their standings and returns the changes.
pub fn review(peers: &mut [Peer], now: Moment) -> Vec<Change> {
    let baseline = Baseline::new(peers);
    if !baseline.is_comparable || !peers.iter().any(|peer| peer.standing.is_admitted()) {
        return admit_all(peers, baseline, now);
    }
    let mut capacity = Capacity::new(peers);
    // The worst member comes first, since not all of them may be spared.
    peers.sort_by_key(|peer| std::cmp::Reverse(peer.failures));
    let mut changes = Vec::new();
    for peer in peers.iter_mut() {
        let Some(failures) = peer.failures else { continue };
        if let Some(cause) = update_standing(peer, failures, baseline, &mut capacity, now) {
            changes.push(baseline.change(peer, failures, cause));
        }
    }
    for peer in peers.iter_mut().rev() {
        let Some(failures) = peer.failures.filter(|_| !peer.standing.is_admitted()) else {
            continue;
        };
        if peer.is_useful() && capacity.is_exceeded() {
            peer.standing.admit(now);
            capacity.admit(peer);
            changes.push(baseline.change(peer, failures, Cause::CapacityNeeded));
        }
    }
    changes
}

/// Admits all members, because too few are left to compare, or none that gets all flows.
fn admit_all(peers: &mut [Peer], baseline: Baseline, now: Moment) -> Vec<Change> {
    let ejected = peers.iter_mut().filter(|peer| !peer.standing.is_admitted());
    let admit = |peer: &mut Peer| {
        peer.standing.admit(now);
        baseline.change(peer, peer.failures.unwrap_or_default(), Cause::CapacityNeeded)
    };
    ejected.map(admit).collect()
}

/// Updates the standing of one member and returns why it has changed.
fn update_standing(
    peer: &mut Peer,
    failures: Percent,
    baseline: Baseline,
    capacity: &mut Capacity,
    now: Moment,
) -> Option<Cause> {
    let standing = peer.standing;
    if failures.get() >= baseline.limit() {
        let can_eject = !standing.is_admitted() || !peer.is_useful() || capacity.can_spare(peer);
        // An ejected member that still fails stays as it is.
        if standing.step == Some(0) || !can_eject {
            return None;
        }
        if standing.is_admitted() {
            capacity.remove(peer);
        }
        peer.standing.eject(baseline.peers, now);
        return Some(Cause::Outlier);
    }
    let is_returning = !standing.is_admitted() && standing.is_step_over(now);
    if !is_returning || failures.get() > baseline.return_limit() {
        return None;
    }
    peer.standing.advance(now);
    if peer.standing.is_admitted() {
        capacity.admit(peer);
    }
    Some(Cause::Recovered)
}

impl Baseline {
    fn new(peers: &[Peer]) -> Self {
        let shares = || peers.iter().filter_map(|peer| peer.failures).map(Percent::get);
        let count = shares().count();
        let median = median(shares().collect());
        let spread = median_of_distances(shares(), median);
        // Chance failures spread evenly over the members, so their mean is steadier than the median.
        let mean = shares().sum::<u32>().div_ceil(count.max(1) as u32);
        let deviations = DISTANCE_DEVIATIONS * spread.max(sampling_deviation(mean));
        let peers = peers.len().min(PLACEMENT_WINDOW) as u64;
        let distance = MIN_DISTANCE.max(deviations);
        Self { is_comparable: count >= MIN_PEERS, peers, median, distance }
    }

    fn limit(&self) -> u32 {
        self.median + self.distance
    }

    /// Returns the share of failures up to which an ejected member comes back. It lies below the
    /// limit of outliers, so that a member near the limit does not go back and forth.
    fn return_limit(&self) -> u32 {
        self.median + self.distance / 2
    }

    fn change(&self, peer: &Peer, failures: Percent, cause: Cause) -> Change {
        Change {
            instance: peer.instance,
            cause,
            standing: peer.standing,
            failures,
            median: Percent::new(self.median),
            limit: Percent::new(self.limit()),
        }
    }
}

impl Capacity {
    fn new(peers: &[Peer]) -> Self {
        // Requests that wait at one member use no slots of the others.
        let busy = peers.iter().map(|peer| u64::from(peer.busy.get()).min(Self::of(peer))).sum();
        let admitted = peers.iter().filter(|peer| peer.standing.is_admitted());
        Self { busy, admitted: admitted.map(Self::of).sum() }
    }

    /// Returns the capacity of one member.
    fn of(peer: &Peer) -> u64 {
        u64::from(peer.slots.get()) * HUNDRED
    }

    /// Returns true if the other members can carry the load of the service without this one.
    fn can_spare(&self, peer: &Peer) -> bool {
        let remaining = self.admitted - Self::of(peer);
        self.busy * HUNDRED <= remaining * MAX_UTILIZATION_AFTER_EJECTION
    }

    fn is_exceeded(&self) -> bool {
        self.busy * HUNDRED > self.admitted * MAX_UTILIZATION
    }

    fn remove(&mut self, peer: &Peer) {
        self.admitted -= Self::of(peer);
    }

    fn admit(&mut self, peer: &Peer) {
        self.admitted += Self::of(peer);
    }
}

/// Returns the standard deviation of the reported share of an upstream that fails requests at this
/// rate, both in hundredths.
fn sampling_deviation(failures: u32) -> u32 {
    let successes = (HUNDRED as u32).saturating_sub(failures);
    (failures * successes).isqrt().div_ceil(SAMPLE_ROOT)
}

/// Returns a number below ten thousand by which the probes of a member are chosen.
fn probe_position(key: FlowKey, instance: Instance) -> u64 {
    // The lower half of the hash spreads the costs of members.
    (pair_hash(key, instance) >> u32::BITS) % (HUNDRED * HUNDRED)
}

fn median(mut values: Vec<u32>) -> u32 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn median_of_distances(values: impl Iterator<Item = u32>, center: u32) -> u32 {
    median(values.map(|value| value.abs_diff(center)).collect())
}
