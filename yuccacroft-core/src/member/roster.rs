//! The controller of the members that a balancer knows.

use {
    super::{Entry, Phase},
    crate::{
        controller::Controller,
        ids::{Customer, Instance, Service},
        placement::Candidate,
        time::{Moment, Span},
    },
    std::collections::BTreeMap,
};

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent said that its upstream is there.
    Announced(Entry),
    /// Time passed.
    Tick,
}

/// What follows for the shell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The members of a service have changed.
    Rebuild {
        /// The customer of the service.
        customer: Customer,
        /// The service.
        service: Service,
        /// All members; those that take no new flows have the weight zero.
        candidates: Vec<Candidate>,
    },
}

/// The members that a balancer knows.
#[derive(Clone, Debug)]
pub struct Roster {
    silence: Span,
    members: BTreeMap<Instance, Member>,
}

#[derive(Clone, Debug)]
struct Member {
    entry: Entry,
    heard: Moment,
}

impl Roster {
    /// Creates an empty roster that drops members after `silence`.
    pub fn new(silence: Span) -> Self {
        Self { silence, members: BTreeMap::new() }
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Returns the entries of one service.
    pub fn of<'a>(
        &'a self,
        customer: &'a Customer,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a Entry> {
        self.iter().filter(move |e| e.customer == *customer && e.service == *service)
    }

    /// Returns the members of a service. One that drains has the weight zero: it takes no new
    /// flows but still knows where flows live.
    pub fn candidates(&self, customer: &Customer, service: &Service) -> Vec<Candidate> {
        let present = self.of(customer, service).filter(|e| e.phase != Phase::Left);
        present.map(|e| Candidate { hop: e.hop(), weight: e.share() }).collect()
    }

    fn announce(&mut self, entry: Entry, now: Moment) -> Vec<Action> {
        let known = self.members.get_mut(&entry.instance);
        if let Some(known) = known
            && !entry.supersedes(&known.entry)
        {
            if entry == known.entry {
                known.heard = now;
            }
            return Vec::new();
        }
        let changed = entry.clone();
        let replaced = self.members.insert(entry.instance, Member { entry, heard: now });
        let mut actions = vec![self.rebuild(&changed)];
        // A reused address can leave its former service.
        if let Some(Member { entry: old, .. }) = replaced
            && (&old.customer, &old.service) != (&changed.customer, &changed.service)
        {
            actions.push(self.rebuild(&old));
        }
        actions
    }

    fn expire(&mut self, now: Moment) -> Vec<Action> {
        let silence = self.silence;
        let mut gone: Vec<Entry> = Vec::new();
        self.members.retain(|_, member| {
            let keep = now.since(member.heard) < silence;
            if !keep {
                gone.push(member.entry.clone());
            }
            keep
        });
        gone.sort_by(|a, b| (&a.customer, &a.service).cmp(&(&b.customer, &b.service)));
        gone.dedup_by(|a, b| (&a.customer, &a.service) == (&b.customer, &b.service));
        gone.iter().map(|entry| self.rebuild(entry)).collect()
    }

    fn rebuild(&self, entry: &Entry) -> Action {
        let (customer, service) = (entry.customer.clone(), entry.service.clone());
        let candidates = self.candidates(&customer, &service);
        Action::Rebuild { customer, service, candidates }
    }
}

impl Controller for Roster {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Announced(entry) => self.announce(entry, now),
            Event::Tick => self.expire(now),
        }
    }
}
