//! The controller of the exchange with other balancers.

mod push_queue;
mod view;

pub use self::view::Budget;

use {
    self::{push_queue::PushQueue, view::View},
    super::{
        entry::Item,
        message::{KeyVersion, Message},
        peer::{Node, Peer},
        table::{Merge, Table},
    },
    crate::{
        controller::Controller,
        ids::{Domain, Incarnation},
        member::Standing,
        time::{Moment, Span},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, sync::Arc},
};

/// Failed digest exchanges in a row before a balancer is suspected. With a fifth of all messages
/// lost, an exchange of two messages fails in 36 of 100 cases, ten in a row in 4 of 100,000. With
/// six in a row, 1,700 balancers suspected two of each other a second for nothing.
const FAILURES: u8 = 10;
/// Time between two exchanges with a balancer that did not answer the last one.
const DOUBT_RETRY: Span = Span::from_millis(500);
/// Every so many repairs go to a balancer that is thought lost, or to a seed, so that two parts
/// of the fleet that lost sight of each other meet again.
const STRAY_EVERY: u32 = 4;
/// Entries of a snapshot page, in bytes.
const PAGE_BYTES: usize = 256 << 10;
/// Entries of a repair answer, in bytes.
const DELTA_BYTES: usize = 32 << 10;
/// Peers from which a joining balancer takes a snapshot.
const SNAPSHOTS: usize = 3;
/// Time after which a joining balancer with a single snapshot asks again.
const SNAPSHOT_RETRY: Span = Span::from_millis(500);
/// Rounds after which a single snapshot is enough.
const SNAPSHOT_ROUNDS: u32 = 3;

/// What an exchange is tuned by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Peers that each push goes to.
    pub fanout: usize,
    /// Pushes of each contract or outage by each balancer, counted by receiver. With a fifth of
    /// them lost, 18 miss one of 1,700 balancers in one of 1,000 changes.
    pub urgent_pushes: u8,
    /// Pushes of each other entry by each balancer. Repair brings the entries that they miss.
    pub other_pushes: u8,
    /// Time between two pushes.
    pub push_interval: Span,
    /// Time between two comparisons with a random peer; zero switches repair off.
    pub repair_interval: Span,
    /// Time after which a suspected balancer counts as lost.
    pub lost_after: Span,
    /// Bytes that pushes may use.
    pub push_budget: Budget,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// This process learned an entry by itself, from the store or an agent.
    Local(Item),
    /// A peer sent a message and waits for the answer.
    Request(Message),
    /// A peer answered.
    Answer {
        /// The peer.
        from: Node,
        /// Its answer.
        message: Message,
    },
    /// A peer did not answer, also on a new connection.
    Failed {
        /// The peer.
        to: Node,
        /// The message that brought no answer.
        message: Message,
    },
    /// This process leaves.
    Leave,
    /// Time passed.
    Tick,
}

/// What follows for the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer and bring back its answer.
    Send {
        /// The peer.
        to: Node,
        /// The message.
        message: Message,
    },
    /// Answer the request.
    Reply(Message),
    /// An entry is new to this process.
    Learned(Item),
    /// The balancers that take part have changed.
    Peers(Vec<(Node, Domain)>),
    /// The first snapshots are complete, or no other balancer was found.
    Joined,
}

/// The state of one balancer in the exchange.
#[derive(Debug)]
pub struct Exchange {
    own: Peer,
    settings: Settings,
    table: Table,
    view: View,
    push_queue: PushQueue,
    rng: StdRng,
    next_push: Moment,
    next_repair: Moment,
    next_doubt: Moment,
    repairs: u32,
    join: Join,
}

/// How far a balancer has come with its first snapshots. Until it has joined, it holds back the
/// contracts of its peers: one of them may be behind, and a restarted process must not put an
/// older contract in force than before.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Join {
    Asking { open: BTreeSet<Node>, answered: usize, rounds: u32, again: Moment },
    Joined,
}

impl Default for Settings {
    /// Returns the settings that `docs/CAPACITY.md` assumes.
    fn default() -> Self {
        Self {
            fanout: 3,
            urgent_pushes: 18,
            other_pushes: 6,
            push_interval: Span::from_millis(200),
            repair_interval: Span::from_secs(4),
            lost_after: Span::from_secs(6),
            push_budget: Budget::default(),
        }
    }
}

impl Exchange {
    /// Creates the exchange of a balancer that knows some addresses of others.
    pub fn new(own: Peer, seeds: &[Node], settings: Settings, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = Table::new();
        let item = Item::Peer(Arc::new(own.clone()));
        table.merge(&item, Moment::default());
        let mut view = View::new(own.node, seeds);
        view.note(&Arc::new(own.clone()), Moment::default());
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
            next_doubt: Moment::default(),
            repairs: 0,
            join: Join::Asking {
                open: BTreeSet::new(),
                answered: 0,
                rounds: 0,
                again: Moment::default(),
            },
        }
    }

    /// Returns the entries.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the balancers that take part, this one included.
    pub fn peers(&self) -> Vec<(Node, Domain)> {
        self.view.live()
    }

    /// Returns this balancer's own entry.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    fn learn(&mut self, item: Item, now: Moment, actions: &mut Vec<Action>) {
        let pushes = self.pushes(&item);
        self.learn_for(item, pushes, now, actions);
    }

    fn pushes(&self, item: &Item) -> u8 {
        match item {
            Item::Contract(_) | Item::Outage(_) => self.settings.urgent_pushes,
            Item::Member(_) | Item::Peer(_) => self.settings.other_pushes,
        }
    }

    /// Takes an entry and pushes it a number of times if it is new.
    fn learn_for(&mut self, item: Item, pushes: u8, now: Moment, actions: &mut Vec<Action>) {
        if self.table.merge(&item, now) != Merge::Taken {
            return;
        }
        self.push_queue.add(&item, pushes);
        if let Item::Peer(peer) = &item {
            self.note_peer(peer, now, actions);
        }
        if let Item::Outage(outage) = &item {
            self.view.set_lost(&outage.domain, outage.is_lost());
        }
        let held_back = matches!(item, Item::Contract(_)) && self.join != Join::Joined;
        if !held_back {
            actions.push(Action::Learned(item));
        }
    }

    /// Takes an entry that this process learned by itself. A contract of the store is in force
    /// whatever the peers know.
    fn local(&mut self, item: Item, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.learn(item.clone(), now, &mut actions);
        if self.join != Join::Joined && matches!(item, Item::Contract(_)) {
            actions.push(Action::Learned(item));
        }
        actions
    }

    fn note_peer(&mut self, peer: &Arc<Peer>, now: Moment, actions: &mut Vec<Action>) {
        self.view.note(peer, now);
        let foreign = peer.node == self.own.node && **peer != self.own;
        if foreign && self.own.standing == Standing::Trusted {
            self.refute(peer, now, actions);
        }
    }

    /// Answers an entry about this balancer that it did not write: it is alive, and its word goes
    /// before what others think.
    fn refute(&mut self, peer: &Peer, now: Moment, actions: &mut Vec<Action>) {
        if peer.incarnation > self.own.incarnation {
            self.own.incarnation = Incarnation::new(peer.incarnation.get() + 1);
        }
        self.own.version = self.own.version.max(peer.version) + 1;
        let own = Item::Peer(Arc::new(self.own.clone()));
        self.learn(own, now, actions);
    }

    fn leave(&mut self, now: Moment) -> Vec<Action> {
        self.own.version += 1;
        self.own.standing = Standing::Lost;
        let own = Item::Peer(Arc::new(self.own.clone()));
        let mut actions = Vec::new();
        self.learn(own.clone(), now, &mut actions);
        for to in self.view.pick(self.settings.fanout, &mut self.rng) {
            actions.push(Action::Send { to, message: Message::Push(vec![own.clone()]) });
        }
        actions
    }

    fn answer(&mut self, message: Message, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        let reply = match message {
            Message::Push(items) => self.take_push(items, now, &mut actions),
            Message::Digest(groups) => Message::Groups(self.table.differing_groups(&groups)),
            Message::Lines { buckets, lines } => self.compare(&buckets, &lines),
            Message::Snapshot { after } => {
                let (items, next) = self.table.page(after, PAGE_BYTES);
                Message::Page { items, next }
            }
            // The others are answers, which nobody sends as a request.
            _ => Message::Done,
        };
        actions.push(Action::Reply(reply));
        actions
    }

    fn take_push(&mut self, items: Vec<Item>, now: Moment, actions: &mut Vec<Action>) -> Message {
        let mut known = Vec::new();
        for item in items {
            let key = item.key().digest();
            let held = self.table.get(key).map(Item::version);
            match held.filter(|held| *held >= item.version()) {
                Some(version) => known.push(KeyVersion { key, version }),
                None => self.learn(item, now, actions),
            }
        }
        Message::Known(known)
    }

    fn compare(&self, buckets: &[u16], lines: &[KeyVersion]) -> Message {
        let mut items = Vec::new();
        let mut wanted = Vec::new();
        let mut size = 0;
        let mut add = |item: &Item| {
            if size < DELTA_BYTES {
                size += item.size();
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
        Message::Delta { items, wanted }
    }

    fn continue_with(&mut self, from: Node, message: Message, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            Message::Known(lines) => lines.into_iter().for_each(|line| self.push_queue.known(line)),
            Message::Groups(groups) => {
                self.view.answered(from);
                let buckets = self.table.differing_buckets(&groups);
                if !buckets.is_empty() {
                    let message = self.lines(buckets);
                    actions.push(Action::Send { to: from, message });
                }
            }
            Message::Delta { items, wanted } => {
                self.take_repair(items, now, &mut actions);
                let items: Vec<Item> =
                    wanted.iter().filter_map(|&key| self.table.get(key)).cloned().collect();
                if !items.is_empty() {
                    actions.push(Action::Send { to: from, message: Message::Push(items) });
                }
            }
            Message::Page { items, next } => {
                self.take_page(items, now, &mut actions);
                match next {
                    Some(_) => actions.push(Action::Send {
                        to: from,
                        message: Message::Snapshot { after: next },
                    }),
                    None => self.joined(&mut actions),
                }
            }
            _ => {}
        }
        actions
    }

    fn lines(&self, buckets: Vec<u16>) -> Message {
        let lines = buckets.iter().flat_map(|&bucket| self.table.bucket(bucket));
        let lines = lines.map(|(key, item)| KeyVersion { key, version: item.version() }).collect();
        Message::Lines { buckets, lines }
    }

    /// Takes entries that came by comparison. One about something gone that was never known here
    /// is left out, so that balancers cannot hand it around without end. Members and balancers are
    /// not pushed on: after a long absence there can be thousands, and others have them already.
    fn take_repair(&mut self, items: Vec<Item>, now: Moment, actions: &mut Vec<Action>) {
        for item in items {
            if item.is_gone() && self.table.get(item.key().digest()).is_none() {
                continue;
            }
            let urgent = matches!(item, Item::Contract(_) | Item::Outage(_));
            let pushes = if urgent { self.settings.urgent_pushes } else { 0 };
            self.learn_for(item, pushes, now, actions);
        }
    }

    /// Takes a page of a snapshot, which is known to others by its nature.
    fn take_page(&mut self, items: Vec<Item>, now: Moment, actions: &mut Vec<Action>) {
        for item in items {
            self.learn_for(item, 0, now, actions);
        }
    }

    /// Notes the end of one snapshot. The balancer has joined with two whole ones, or when nobody
    /// is left to ask.
    fn settled(&mut self, from: Node, whole: bool, now: Moment, actions: &mut Vec<Action>) {
        let Join::Asking { open, answered, rounds, again } = &mut self.join else { return };
        if !open.remove(&from) {
            return;
        }
        *answered += usize::from(whole);
        if !open.is_empty() {
            return;
        }
        if *answered == 1 && *rounds < SNAPSHOT_ROUNDS && self.view.choices() > 1 {
            *again = now + SNAPSHOT_RETRY;
            return;
        }
        self.joined(actions);
    }

    fn joined(&mut self, actions: &mut Vec<Action>) {
        self.join = Join::Joined;
        let contracts = self.table.iter().filter(|item| matches!(item, Item::Contract(_)));
        actions.extend(contracts.cloned().map(Action::Learned));
        actions.push(Action::Joined);
    }

    fn failed(&mut self, to: Node, message: &Message, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        if matches!(message, Message::Snapshot { .. }) {
            self.settled(to, false, now, &mut actions);
        }
        // A push that fails says little, since other copies are on their way.
        if matches!(message, Message::Digest(_))
            && let Some(suspect) = self.view.failed(to, FAILURES)
        {
            self.learn(Item::Peer(Arc::new(suspect)), now, &mut actions);
        }
        actions
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        self.table.expire(now);
        for lost in self.view.overdue(now, self.settings.lost_after) {
            self.learn(Item::Peer(Arc::new(lost)), now, &mut actions);
        }
        if now >= self.next_push {
            self.next_push = now + self.settings.push_interval;
            self.push(now, &mut actions);
        }
        if self.settings.repair_interval > Span::ZERO && now >= self.next_repair {
            self.repair(now, &mut actions);
        }
        if now >= self.next_doubt {
            self.next_doubt = now + DOUBT_RETRY;
            let doubted = self.view.doubted();
            doubted.into_iter().for_each(|to| actions.push(self.digest(to)));
        }
        self.ask_snapshots(now, &mut actions);
        actions
    }

    fn push(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.push_queue.is_empty() {
            return;
        }
        let peers = self.view.pick(self.settings.fanout, &mut self.rng);
        let items = self.push_queue.take(&self.table, peers.len(), now);
        if items.is_empty() {
            return;
        }
        for to in peers {
            actions.push(Action::Send { to, message: Message::Push(items.clone()) });
        }
    }

    fn repair(&mut self, now: Moment, actions: &mut Vec<Action>) {
        // Half a period of jitter keeps balancers that started together from meeting in bursts.
        let period = self.settings.repair_interval.as_micros();
        let wait = self.rng.random_range(period * 3 / 4..=period * 5 / 4);
        self.next_repair = now + Span::from_micros(wait);
        self.repairs += 1;
        let stray = self.repairs.is_multiple_of(STRAY_EVERY);
        let stray = stray.then(|| self.view.stray(&mut self.rng)).flatten();
        let random = || self.view.pick(1, &mut self.rng).first().copied();
        if let Some(to) = stray.or_else(random) {
            actions.push(self.digest(to));
        }
    }

    fn digest(&self, to: Node) -> Action {
        Action::Send { to, message: Message::Digest(self.table.groups().to_vec()) }
    }

    fn ask_snapshots(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let Join::Asking { open, rounds, again, .. } = &mut self.join else { return };
        if !open.is_empty() || now < *again {
            return;
        }
        let peers = self.view.pick(SNAPSHOTS, &mut self.rng);
        *rounds += 1;
        open.extend(&peers);
        if peers.is_empty() {
            self.joined(actions);
        }
        for to in peers {
            actions.push(Action::Send { to, message: Message::Snapshot { after: None } });
        }
    }
}

impl Controller for Exchange {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = match event {
            Event::Local(item) => self.local(item, now),
            Event::Request(message) => self.answer(message, now),
            Event::Answer { from, message } => self.continue_with(from, message, now),
            Event::Failed { to, message } => self.failed(to, &message, now),
            Event::Leave => self.leave(now),
            Event::Tick => self.tick(now),
        };
        // One action for all changes of a step: a snapshot brings thousands of balancers.
        if self.view.settle() {
            actions.push(Action::Peers(self.view.live()));
        }
        actions
    }
}
