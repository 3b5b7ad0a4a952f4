//! One balancer of a fleet: its controllers, wired as its process wires them.

use {
    super::{Fleet, Pending, index},
    yuccacroft_core::{
        contract::{
            follower::{self, Follower},
            register::{self, Register},
        },
        controller::Controller,
        gossip::{
            entry::Item,
            exchange::{self, Exchange},
            message::Message,
        },
        ids::Revision,
        member::roster::{self, Roster},
    },
};

pub struct Balancer {
    pub exchange: Exchange,
    pub follower: Follower,
    pub roster: Roster,
    pub register: Register,
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
                    self.step_roster(own, roster::Event::Peers(peers.clone()));
                    self.step_follower(own, follower::Event::Peers(peers));
                }
                exchange::Action::Joined => self.step_follower(own, follower::Event::Joined),
            }
        }
        reply
    }

    fn learned(&mut self, own: usize, item: Item) {
        let now = self.now;
        match item {
            Item::Contract(contract) => {
                let event = register::Event::Learned(contract);
                for register::Action::Apply { contract, .. } in
                    self.balancers[own].register.step(event, now)
                {
                    self.applied.push((contract.revision(), own, now));
                }
            }
            Item::Member(record) => self.step_roster(own, roster::Event::Learned(record)),
            Item::Outage(outage) => self.step_roster(own, roster::Event::Outage(outage)),
            Item::Peer(_) => {}
        }
    }

    pub(super) fn step_roster(&mut self, own: usize, event: roster::Event) {
        if !self.balancers[own].alive {
            return;
        }
        let now = self.now;
        for action in self.balancers[own].roster.step(event, now) {
            match action {
                roster::Action::Publish(item) => {
                    self.step_exchange(own, exchange::Event::Local(item));
                }
                roster::Action::Report { to, reports } => {
                    let Some(to) = index(to) else { continue };
                    if let Some(delay) = self.travel(own, to, self.plan.delay) {
                        self.schedule(delay, Pending::Reports { to, reports });
                    }
                }
                roster::Action::Rebuild { .. } => {}
            }
        }
    }

    pub(super) fn step_follower(&mut self, own: usize, event: follower::Event) {
        if !self.balancers[own].alive {
            return;
        }
        let now = self.now;
        for action in self.balancers[own].follower.step(event, now) {
            match action {
                follower::Action::List => {
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
                follower::Action::Watch(from) => self.watch(own, from),
                follower::Action::Stop => {
                    self.balancers[own].turn += 1;
                    self.ledger.end_watch(own);
                }
                follower::Action::Learned(contract) => {
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
            self.step_follower(to, follower::Event::Listed { contracts, revision });
        }
    }

    pub(super) fn noticed(&mut self, to: usize, turn: u64, revision: Revision) {
        if self.balancers[to].turn == turn {
            let contracts = self.ledger.at(revision).into_iter().collect();
            self.step_follower(to, follower::Event::Changed { contracts, revision });
        }
    }
}
