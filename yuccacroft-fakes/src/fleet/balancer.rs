//! One balancer of a fleet, with its controllers connected as in the balancer process.

use {
    super::{Fleet, Pending, node_index},
    yuccacroft_core::{
        contract::{
            registry::{self, Registry},
            store_reader::{self, StoreReader},
        },
        controller::Controller,
        gossip::{
            entry::GossipEntry,
            exchange::{self, Exchange},
            message::GossipMessage,
        },
        ids::Revision,
        member::membership::{self, Membership},
    },
};

pub struct Balancer {
    pub exchange: Exchange,
    pub reader: StoreReader,
    pub membership: Membership,
    pub registry: Registry,
    pub is_alive: bool,
    /// Number of the latest call to the store; answers with an earlier number are ignored.
    pub call_number: u64,
    /// Bytes sent and received.
    pub bytes: u64,
}

impl Fleet {
    pub(super) fn step_exchange(
        &mut self,
        index: usize,
        event: exchange::Event,
    ) -> Option<GossipMessage> {
        if !self.balancers[index].is_alive {
            return None;
        }
        let now = self.now;
        let mut reply = None;
        for action in self.balancers[index].exchange.step(event, now) {
            match action {
                exchange::Action::Send { to, message } => self.send(index, to, message),
                exchange::Action::Reply(message) => reply = Some(message),
                exchange::Action::Learned(item) => self.apply_item(index, item),
                exchange::Action::Peers(peers) => {
                    self.step_membership(index, membership::Event::Peers(peers.clone()));
                    self.step_reader(index, store_reader::Event::Peers(peers));
                }
                exchange::Action::Joined => self.step_reader(index, store_reader::Event::Joined),
            }
        }
        reply
    }

    fn apply_item(&mut self, index: usize, item: GossipEntry) {
        let now = self.now;
        match item {
            GossipEntry::Contract(contract) => {
                let event = registry::Event::Learned(contract);
                for registry::Action::Apply { contract, .. } in
                    self.balancers[index].registry.step(event, now)
                {
                    self.applied.push((contract.revision(), index, now));
                }
            }
            GossipEntry::Member(record) => {
                self.step_membership(index, membership::Event::Learned(record))
            }
            GossipEntry::Outage(outage) => {
                self.step_membership(index, membership::Event::Outage(outage))
            }
            GossipEntry::Peer(_) => {}
        }
    }

    pub(super) fn step_membership(&mut self, index: usize, event: membership::Event) {
        if !self.balancers[index].is_alive {
            return;
        }
        let now = self.now;
        for action in self.balancers[index].membership.step(event, now) {
            match action {
                membership::Action::Publish(item) => {
                    self.step_exchange(index, exchange::Event::Local(item));
                }
                membership::Action::Report { to, reports } => {
                    let Some(to) = node_index(to) else { continue };
                    if let Some(delay) = self.draw_delay(index, to, self.config.max_delay) {
                        self.schedule(delay, Pending::Reports { to, reports });
                    }
                }
                membership::Action::Rebuild { .. } => {}
            }
        }
    }

    pub(super) fn step_reader(&mut self, index: usize, event: store_reader::Event) {
        if !self.balancers[index].is_alive {
            return;
        }
        let now = self.now;
        for action in self.balancers[index].reader.step(event, now) {
            match action {
                store_reader::Action::List => {
                    self.balancers[index].call_number += 1;
                    let call_number = self.balancers[index].call_number;
                    let answer = if self.contract_store.call(now) {
                        Pending::ListAnswered { to: index, call_number }
                    } else {
                        Pending::StoreFailed { to: index, call_number }
                    };
                    let delay = self.config.max_delay;
                    self.schedule(delay, answer);
                }
                store_reader::Action::Watch(from) => self.open_watch(index, from),
                store_reader::Action::Stop => {
                    self.balancers[index].call_number += 1;
                    self.contract_store.end_watch(index);
                }
                store_reader::Action::Learned(contract) => {
                    let event = exchange::Event::Local(GossipEntry::Contract(contract));
                    self.step_exchange(index, event);
                }
            }
        }
    }

    fn open_watch(&mut self, index: usize, from: Revision) {
        let call_number = self.balancers[index].call_number;
        let now = self.now;
        if self.contract_store.call(now) {
            self.contract_store.begin_watch(index, call_number);
            // Notifies of the contracts that were written between the list and the watch.
            for revision in self.contract_store.since(from) {
                self.notify_watch(index, call_number, revision);
            }
        } else {
            self.schedule(super::TICK, Pending::StoreFailed { to: index, call_number });
        }
    }

    pub(super) fn notify_watches(&mut self, revision: Revision) {
        for (to, call_number) in self.contract_store.watches() {
            self.notify_watch(to, call_number, revision);
        }
    }

    fn notify_watch(&mut self, to: usize, call_number: u64, revision: Revision) {
        use rand::RngExt;
        if !self.rng.random_bool(self.config.loss) {
            let max_delay = self.config.max_update_delay.as_micros();
            let delay =
                yuccacroft_core::time::Span::from_micros(self.rng.random_range(0..=max_delay));
            self.schedule(delay, Pending::WatchNotified { to, call_number, revision });
        }
    }

    pub(super) fn handle_list(&mut self, to: usize, call_number: u64) {
        if self.balancers[to].call_number == call_number {
            let (contracts, revision) = self.contract_store.list();
            self.step_reader(to, store_reader::Event::Listed { contracts, revision });
        }
    }

    pub(super) fn handle_notification(&mut self, to: usize, call_number: u64, revision: Revision) {
        if self.balancers[to].call_number == call_number {
            let contracts = self.contract_store.contract_at(revision).into_iter().collect();
            self.step_reader(to, store_reader::Event::Changed { contracts, revision });
        }
    }
}
