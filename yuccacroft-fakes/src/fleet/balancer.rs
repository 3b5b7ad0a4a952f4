//! One balancer of a fleet: its controllers, wired as its process wires them.

use {
    super::{Fleet, Pending, index},
    yuccacroft_core::{
        contract::{
            registry::{self, Registry},
            store_reader::{self, StoreReader},
        },
        controller::Controller,
        gossip::{
            entry::Item,
            exchange::{self, Exchange},
            message::Message,
        },
        ids::Revision,
        member::membership::{self, Membership},
    },
};

pub struct Balancer {
    pub exchange: Exchange,
    pub follower: StoreReader,
    pub roster: Membership,
    pub register: Registry,
    pub alive: bool,
    /// Counts the calls to the store, so that answers to earlier ones are told apart.
    pub turn: u64,
    pub bytes: u64,
}

impl Fleet {
    pub(super) fn step_exchange(&mut self, own: usize, event: exchange::Event) -> Option<Message> {
        if !self.balancers[own].alive {
            return None;
        }
        let now = self.now;
        let mut reply = None;
        for action in self.balancers[own].exchange.step(event, now) {
            match action {
                exchange::Action::Send { to, message } => self.send(own, to, message),
                exchange::Action::Reply(message) => reply = Some(message),
                exchange::Action::Learned(item) => self.learned(own, item),
                exchange::Action::Peers(peers) => {
                    self.step_roster(own, membership::Event::Peers(peers.clone()));
                    self.step_follower(own, store_reader::Event::Peers(peers));
                }
                exchange::Action::Joined => self.step_follower(own, store_reader::Event::Joined),
            }
        }
        reply
    }

    fn learned(&mut self, own: usize, item: Item) {
        let now = self.now;
        match item {
            Item::Contract(contract) => {
                let event = registry::Event::Learned(contract);
                for registry::Action::Apply { contract, .. } in
                    self.balancers[own].register.step(event, now)
                {
                    self.applied.push((contract.revision(), own, now));
                }
            }
            Item::Member(record) => self.step_roster(own, membership::Event::Learned(record)),
            Item::Outage(outage) => self.step_roster(own, membership::Event::Outage(outage)),
            Item::Peer(_) => {}
        }
    }

    pub(super) fn step_roster(&mut self, own: usize, event: membership::Event) {
        if !self.balancers[own].alive {
            return;
        }
        let now = self.now;
        for action in self.balancers[own].roster.step(event, now) {
            match action {
                membership::Action::Publish(item) => {
                    self.step_exchange(own, exchange::Event::Local(item));
                }
                membership::Action::Report { to, reports } => {
                    let Some(to) = index(to) else { continue };
                    if let Some(delay) = self.travel(own, to, self.plan.delay) {
                        self.schedule(delay, Pending::Reports { to, reports });
                    }
                }
                membership::Action::Rebuild { .. } => {}
            }
        }
    }

    pub(super) fn step_follower(&mut self, own: usize, event: store_reader::Event) {
        if !self.balancers[own].alive {
            return;
        }
        let now = self.now;
        for action in self.balancers[own].follower.step(event, now) {
            match action {
                store_reader::Action::List => {
                    self.balancers[own].turn += 1;
                    let turn = self.balancers[own].turn;
                    let answer = if self.ledger.call(now) {
                        Pending::Listed { to: own, turn }
                    } else {
                        Pending::Ended { to: own, turn }
                    };
                    let delay = self.plan.delay;
                    self.schedule(delay, answer);
                }
                store_reader::Action::Watch(from) => self.watch(own, from),
                store_reader::Action::Stop => {
                    self.balancers[own].turn += 1;
                    self.ledger.end_watch(own);
                }
                store_reader::Action::Learned(contract) => {
                    let event = exchange::Event::Local(Item::Contract(contract));
                    self.step_exchange(own, event);
                }
            }
        }
    }

    fn watch(&mut self, own: usize, from: Revision) {
        let turn = self.balancers[own].turn;
        let now = self.now;
        if self.ledger.call(now) {
            self.ledger.begin_watch(own, turn);
            // What was written between the listing and the watch comes first.
            for revision in self.ledger.since(from) {
                self.notify_one(own, turn, revision);
            }
        } else {
            self.schedule(super::TICK, Pending::Ended { to: own, turn });
        }
    }

    pub(super) fn notify(&mut self, revision: Revision) {
        for (to, turn) in self.ledger.watches() {
            self.notify_one(to, turn, revision);
        }
    }

    fn notify_one(&mut self, to: usize, turn: u64, revision: Revision) {
        use rand::RngExt;
        if !self.rng.random_bool(self.plan.loss) {
            let most = self.plan.late.as_micros();
            let delay = yuccacroft_core::time::Span::from_micros(self.rng.random_range(0..=most));
            self.schedule(delay, Pending::Notice { to, turn, revision });
        }
    }

    pub(super) fn listed(&mut self, to: usize, turn: u64) {
        if self.balancers[to].turn == turn {
            let (contracts, revision) = self.ledger.list();
            self.step_follower(to, store_reader::Event::Listed { contracts, revision });
        }
    }

    pub(super) fn noticed(&mut self, to: usize, turn: u64, revision: Revision) {
        if self.balancers[to].turn == turn {
            let contracts = self.ledger.at(revision).into_iter().collect();
            self.step_follower(to, store_reader::Event::Changed { contracts, revision });
        }
    }
}
