//! The controller of gossip with other balancers: pushes, repair and failure detection.

mod push_queue;
mod view;

pub use self::view::ByteBudget;

use {
    self::{push_queue::PushQueue, view::View},
    super::{
        entry::GossipEntry,
        message::{GossipMessage, KeyVersion},
        peer::{NodeId, Peer},
        table::{EntryTable, MergeResult},
    },
    crate::{
        controller::Controller,
        ids::{Domain, Incarnation},
        member::Liveness,
        time::{Moment, Span},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, sync::Arc},
};

/// Number of consecutive failed digest exchanges after which a balancer is suspected. With a
/// message loss of one fifth, an exchange of two messages fails in 36 of 100 cases, and ten
/// consecutive ones fail in 4 of 100,000 cases. With a limit of six, 1,700 balancers produced two
/// wrong suspicions per second.
const MAX_FAILURES: u8 = 10;
/// Time between two digest exchanges with a balancer that did not respond to the last one.
const FAILED_RETRY_INTERVAL: Span = Span::from_millis(500);
/// One in this many repairs goes to a lost balancer or a seed, so that two parts of the fleet
/// reconnect after a partition.
const REPAIRS_PER_RECONNECT: u32 = 4;
/// Maximum size of the entries in a snapshot page.
const MAX_PAGE_BYTES: usize = 256 << 10;
/// Maximum size of the entries in a repair response.
const MAX_DELTA_BYTES: usize = 32 << 10;
/// Number of peers from which a joining balancer requests a snapshot.
const SNAPSHOT_PEERS: usize = 3;

/// The parameters of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Number of peers that receive each push.
    pub fanout: usize,
    /// Number of pushes of each contract or outage by each balancer, counted by receiver. With a
    /// loss of one fifth, 18 pushes miss one of 1,700 balancers in one of 1,000 changes.
    pub urgent_pushes: u8,
    /// Number of pushes of each other entry by each balancer. Repair delivers what they miss.
    pub other_pushes: u8,
    /// Time between two pushes.
    pub push_interval: Span,
    /// Mean time between two digest exchanges with a random peer; zero disables repair.
    pub repair_interval: Span,
    /// Time after which a suspected balancer is lost.
    pub lost_after: Span,
    /// The byte budget of pushes.
    pub push_budget: ByteBudget,
}

/// The input of the exchange.
#[derive(Clone, Debug)]
pub enum Event {
    /// This balancer received an entry from the store or an agent, or created it itself.
    Local(GossipEntry),
    /// A peer sent a request and waits for the response.
    Request(GossipMessage),
    /// A peer responded.
    Answer {
        /// The peer.
        from: NodeId,
        /// The response.
        message: GossipMessage,
    },
    /// A request to a peer failed, even after a retry on a new connection.
    Failed {
        /// The peer.
        to: NodeId,
        /// The request that failed.
        message: GossipMessage,
    },
    /// This balancer shuts down.
    Leave,
    /// A timer tick.
    Tick,
}

/// The output of the exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to a peer and pass its response back as an event.
    Send {
        /// The peer.
        to: NodeId,
        /// The request.
        message: GossipMessage,
    },
    /// Respond to the present request.
    Reply(GossipMessage),
    /// Apply a new entry.
    Learned(GossipEntry),
    /// Update the live balancers; the list includes this one.
    Peers(Vec<(NodeId, Domain)>),
    /// One snapshot is complete, all requests for one have failed, or no other balancer was found.
    Joined,
}

/// The gossip state of one balancer.
#[derive(Debug)]
pub struct Exchange {
    own: Peer,
    settings: GossipSettings,
    table: EntryTable,
    view: View,
    push_queue: PushQueue,
    rng: StdRng,
    next_push: Moment,
    next_repair: Moment,
    next_failed_retry: Moment,
    repairs: u32,
    join: Join,
}

/// The progress of the initial snapshots. Until the balancer has joined, it does not apply
/// contracts of its peers: a single entry may be outdated, and a restarted process must not put an
/// older contract in force than before. The first complete snapshot ends the join, even if its
/// sender is outdated; the contracts of the other snapshots are applied as they arrive.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Join {
    Syncing { pending: BTreeSet<NodeId> },
    Joined,
}

impl Default for GossipSettings {
    /// Returns the settings on which `docs/CAPACITY.md` is based.
    fn default() -> Self {
        Self {
            fanout: 3,
            urgent_pushes: 18,
            other_pushes: 6,
            push_interval: Span::from_millis(200),
            repair_interval: Span::from_secs(4),
            lost_after: Span::from_secs(6),
            push_budget: ByteBudget::default(),
        }
    }
}

impl Exchange {
    /// Creates the gossip state of a balancer with the addresses of some seeds. `seed` initializes
    /// the random generator.
    pub fn new(own: Peer, seeds: &[NodeId], settings: GossipSettings, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = EntryTable::new();
        let item = GossipEntry::Peer(Arc::new(own.clone()));
        table.merge(&item, Moment::default());
        let mut view = View::new(own.node, seeds);
        view.update(&Arc::new(own.clone()), Moment::default());
        let mut push_queue = PushQueue::new(settings.push_budget);
        push_queue.add(&item, settings.other_pushes);
        let first = rng.random_range(0..=settings.repair_interval.as_micros());
        Self {
            own,
            settings,
            table,
            view,
            push_queue,
            rng,
            next_push: Moment::default(),
            next_repair: Moment::default() + Span::from_micros(first),
            next_failed_retry: Moment::default(),
            repairs: 0,
            join: Join::Syncing { pending: BTreeSet::new() },
        }
    }

    /// Returns the entries that this balancer stores.
    pub fn table(&self) -> &EntryTable {
        &self.table
    }

    /// Returns the live balancers, including this one.
    pub fn peers(&self) -> Vec<(NodeId, Domain)> {
        self.view.live()
    }

    /// Returns this balancer's own entry.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    fn store(&mut self, item: GossipEntry, now: Moment, actions: &mut Vec<Action>) {
        let pushes = self.push_count(&item);
        self.store_with_pushes(item, pushes, now, actions);
    }

    fn push_count(&self, item: &GossipEntry) -> u8 {
        match item {
            GossipEntry::Contract(_) | GossipEntry::Outage(_) => self.settings.urgent_pushes,
            GossipEntry::Member(_) | GossipEntry::Peer(_) => self.settings.other_pushes,
        }
    }

    /// Stores an entry, and applies it and queues it for a number of pushes if it is new.
    fn store_with_pushes(
        &mut self,
        item: GossipEntry,
        pushes: u8,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        if self.table.merge(&item, now) != MergeResult::Stored {
            return;
        }
        self.push_queue.add(&item, pushes);
        if let GossipEntry::Peer(peer) = &item {
            self.update_peer(peer, now, actions);
        }
        if let GossipEntry::Outage(outage) = &item {
            self.view.set_lost(&outage.domain, outage.is_lost());
        }
        let is_held_back = matches!(item, GossipEntry::Contract(_)) && self.join != Join::Joined;
        if !is_held_back {
            actions.push(Action::Learned(item));
        }
    }

    /// Stores an entry of this balancer. A contract from the store is applied even before the
    /// balancer has joined.
    fn store_local(&mut self, item: GossipEntry, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.store(item.clone(), now, &mut actions);
        if self.join != Join::Joined && matches!(item, GossipEntry::Contract(_)) {
            actions.push(Action::Learned(item));
        }
        actions
    }

    fn update_peer(&mut self, peer: &Arc<Peer>, now: Moment, actions: &mut Vec<Action>) {
        self.view.update(peer, now);
        let is_foreign = peer.node == self.own.node && **peer != self.own;
        if is_foreign && self.own.standing == Liveness::Trusted {
            self.refute(peer, now, actions);
        }
    }

    /// Refutes an entry about this balancer that it did not write, for example a suspicion, with a
    /// newer version of its own entry.
    fn refute(&mut self, peer: &Peer, now: Moment, actions: &mut Vec<Action>) {
        if peer.incarnation > self.own.incarnation {
            self.own.incarnation = Incarnation::new(peer.incarnation.get() + 1);
        }
        self.own.version = self.own.version.max(peer.version) + 1;
        let own = GossipEntry::Peer(Arc::new(self.own.clone()));
        self.store(own, now, actions);
    }

    fn leave(&mut self, now: Moment) -> Vec<Action> {
        self.own.version += 1;
        self.own.standing = Liveness::Lost;
        let own = GossipEntry::Peer(Arc::new(self.own.clone()));
        let mut actions = Vec::new();
        self.store(own.clone(), now, &mut actions);
        for to in self.view.pick(self.settings.fanout, &mut self.rng) {
            actions.push(Action::Send { to, message: GossipMessage::Push(vec![own.clone()]) });
        }
        actions
    }

    fn handle_request(&mut self, message: GossipMessage, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        let reply = match message {
            GossipMessage::Push(items) => self.handle_push(items, now, &mut actions),
            GossipMessage::Digest(groups) => {
                GossipMessage::Groups(self.table.differing_groups(&groups))
            }
            GossipMessage::Lines { buckets, lines } => self.compare(&buckets, &lines),
            GossipMessage::Snapshot { after } => {
                let (items, next) = self.table.page(after, MAX_PAGE_BYTES);
                GossipMessage::Page { items, next }
            }
            // The other messages are responses, which are never sent as requests.
            _ => GossipMessage::Done,
        };
        actions.push(Action::Reply(reply));
        actions
    }

    fn handle_push(
        &mut self,
        items: Vec<GossipEntry>,
        now: Moment,
        actions: &mut Vec<Action>,
    ) -> GossipMessage {
        let mut known = Vec::new();
        for item in items {
            let key = item.key().digest();
            let stored = self.table.get(key).map(GossipEntry::version);
            match stored.filter(|stored| *stored >= item.version()) {
                Some(version) => known.push(KeyVersion { key, version }),
                None => self.store(item, now, actions),
            }
        }
        GossipMessage::Known(known)
    }

    fn compare(&self, buckets: &[u16], lines: &[KeyVersion]) -> GossipMessage {
        let mut items = Vec::new();
        let mut wanted = Vec::new();
        let mut size = 0;
        let mut add = |item: &GossipEntry| {
            if size < MAX_DELTA_BYTES {
                size += item.estimated_size();
                items.push(item.clone());
            }
        };
        let known = |key: u64| lines.binary_search_by_key(&key, |line| line.key).is_ok();
        for line in lines {
            match self.table.get(line.key) {
                Some(item) if item.version() > line.version => add(item),
                Some(item) if item.version() == line.version => {}
                _ => wanted.push(line.key),
            }
        }
        for (_, item) in buckets
            .iter()
            .flat_map(|&bucket| self.table.bucket(bucket))
            .filter(|(key, _)| !known(*key))
        {
            add(item);
        }
        GossipMessage::Delta { items, wanted }
    }

    fn handle_response(
        &mut self,
        from: NodeId,
        message: GossipMessage,
        now: Moment,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            GossipMessage::Known(lines) => {
                lines.into_iter().for_each(|line| self.push_queue.record_known(line))
            }
            GossipMessage::Groups(groups) => {
                self.view.record_response(from);
                let buckets = self.table.differing_buckets(&groups);
                if !buckets.is_empty() {
                    let message = self.lines_request(buckets);
                    actions.push(Action::Send { to: from, message });
                }
            }
            GossipMessage::Delta { items, wanted } => {
                self.store_repair(items, now, &mut actions);
                let items: Vec<GossipEntry> =
                    wanted.iter().filter_map(|&key| self.table.get(key)).cloned().collect();
                if !items.is_empty() {
                    actions.push(Action::Send { to: from, message: GossipMessage::Push(items) });
                }
            }
            GossipMessage::Page { items, next } => {
                self.store_page(items, now, &mut actions);
                match next {
                    Some(_) => actions.push(Action::Send {
                        to: from,
                        message: GossipMessage::Snapshot { after: next },
                    }),
                    None => self.complete_join(&mut actions),
                }
            }
            _ => {}
        }
        actions
    }

    fn lines_request(&self, buckets: Vec<u16>) -> GossipMessage {
        let lines = buckets.iter().flat_map(|&bucket| self.table.bucket(bucket));
        let lines = lines.map(|(key, item)| KeyVersion { key, version: item.version() }).collect();
        GossipMessage::Lines { buckets, lines }
    }

    /// Stores the entries of a repair. Unknown tombstones are ignored, so that balancers do not
    /// pass them around endlessly. Members and peers are not pushed on: after a long absence there
    /// can be thousands, and the other balancers have them already.
    fn store_repair(&mut self, items: Vec<GossipEntry>, now: Moment, actions: &mut Vec<Action>) {
        for item in items {
            if item.is_tombstone() && self.table.get(item.key().digest()).is_none() {
                continue;
            }
            let urgent = matches!(item, GossipEntry::Contract(_) | GossipEntry::Outage(_));
            let pushes = if urgent { self.settings.urgent_pushes } else { 0 };
            self.store_with_pushes(item, pushes, now, actions);
        }
    }

    /// Stores a page of a snapshot without pushing it, since other balancers have its entries.
    fn store_page(&mut self, items: Vec<GossipEntry>, now: Moment, actions: &mut Vec<Action>) {
        for item in items {
            self.store_with_pushes(item, 0, now, actions);
        }
    }

    /// Records that the request for a snapshot has failed, and completes the join when all have.
    fn record_failed_snapshot(&mut self, to: NodeId, actions: &mut Vec<Action>) {
        let Join::Syncing { pending } = &mut self.join else { return };
        if pending.remove(&to) && pending.is_empty() {
            self.complete_join(actions);
        }
    }

    fn complete_join(&mut self, actions: &mut Vec<Action>) {
        self.join = Join::Joined;
        let contracts = self.table.iter().filter(|item| matches!(item, GossipEntry::Contract(_)));
        actions.extend(contracts.cloned().map(Action::Learned));
        actions.push(Action::Joined);
    }

    fn handle_failure(&mut self, to: NodeId, message: &GossipMessage, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        if matches!(message, GossipMessage::Snapshot { .. }) {
            self.record_failed_snapshot(to, &mut actions);
        }
        // A failed push does not count as a failure, since other copies are in flight.
        if matches!(message, GossipMessage::Digest(_))
            && let Some(suspect) = self.view.record_failure(to, MAX_FAILURES)
        {
            self.store(GossipEntry::Peer(Arc::new(suspect)), now, &mut actions);
        }
        actions
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.table.expire(now);
        for lost in self.view.overdue(now, self.settings.lost_after) {
            self.store(GossipEntry::Peer(Arc::new(lost)), now, &mut actions);
        }
        if now >= self.next_push {
            self.next_push = now + self.settings.push_interval;
            self.push(now, &mut actions);
        }
        if self.settings.repair_interval > Span::ZERO && now >= self.next_repair {
            self.repair(now, &mut actions);
        }
        if now >= self.next_failed_retry {
            self.next_failed_retry = now + FAILED_RETRY_INTERVAL;
            let retries = self.view.take_retries();
            retries.into_iter().for_each(|to| actions.push(self.digest_request(to)));
        }
        self.request_snapshots(&mut actions);
        actions
    }

    fn push(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.push_queue.is_empty() {
            return;
        }
        let peers = self.view.pick(self.settings.fanout, &mut self.rng);
        let items = self.push_queue.next_push(&self.table, peers.len(), now);
        if items.is_empty() {
            return;
        }
        for to in peers {
            actions.push(Action::Send { to, message: GossipMessage::Push(items.clone()) });
        }
    }

    fn repair(&mut self, now: Moment, actions: &mut Vec<Action>) {
        // Jitter of a quarter of the interval prevents bursts of balancers that started together.
        let period = self.settings.repair_interval.as_micros();
        let wait = self.rng.random_range(period * 3 / 4..=period * 5 / 4);
        self.next_repair = now + Span::from_micros(wait);
        self.repairs += 1;
        let reconnect = self.repairs.is_multiple_of(REPAIRS_PER_RECONNECT);
        let reconnect = reconnect.then(|| self.view.pick_reconnect(&mut self.rng)).flatten();
        let random = || self.view.pick(1, &mut self.rng).first().copied();
        if let Some(to) = reconnect.or_else(random) {
            actions.push(self.digest_request(to));
        }
    }

    fn digest_request(&self, to: NodeId) -> Action {
        Action::Send { to, message: GossipMessage::Digest(self.table.groups().to_vec()) }
    }

    fn request_snapshots(&mut self, actions: &mut Vec<Action>) {
        let Join::Syncing { pending } = &mut self.join else { return };
        if !pending.is_empty() {
            return;
        }
        let peers = self.view.pick(SNAPSHOT_PEERS, &mut self.rng);
        pending.extend(&peers);
        if peers.is_empty() {
            self.complete_join(actions);
        }
        for to in peers {
            actions.push(Action::Send { to, message: GossipMessage::Snapshot { after: None } });
        }
    }
}

impl Controller for Exchange {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = match event {
            Event::Local(item) => self.store_local(item, now),
            Event::Request(message) => self.handle_request(message, now),
            Event::Answer { from, message } => self.handle_response(from, message, now),
            Event::Failed { to, message } => self.handle_failure(to, &message, now),
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        };
        // Returns one action for all changes of a step: a snapshot can contain thousands of peers.
        if self.view.apply_changes() {
            actions.push(Action::Peers(self.view.live()));
        }
        actions
    }
}
