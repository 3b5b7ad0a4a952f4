//! The controller of the members that a balancer knows, with failure detection.
//!
//! Each member announces itself to its registrars, two balancers chosen by rendezvous hashing.
//! Registrars suspect silent members and report them to the outage detectors of the failure domain,
//! which decide whether the whole domain is lost.

mod outage_detector;
mod registration;

use {
    self::{
        outage_detector::OutageDetector,
        registration::{Registration, Registrations},
    },
    super::{Liveness, MemberEntry, MemberPhase, MemberRecord, Outage},
    crate::{
        controller::Controller,
        flow::AgentId,
        gossip::{entry::GossipEntry, peer::NodeId},
        ids::{Customer, Domain, Incarnation, Instance, Service},
        placement::Candidate,
        rendezvous,
        time::{Moment, Span},
        units::Weight,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

pub use self::outage_detector::MemberReport;

/// Divisor of the weight of a suspected member.
const SUSPECTED_DIVISOR: u32 = 4;
/// Time for which the entry of a departed or lost member is kept as a tombstone, so that an older
/// entry from a balancer that was partitioned cannot restore it.
const TOMBSTONE_LIFETIME: Span = Span::from_secs(600);
/// Minimum number of members of a failure domain for detecting its loss as a whole. In a smaller
/// domain, suspecting each member costs less than waiting for reports of the others.
const MIN_DOMAIN_MEMBERS: usize = 8;
/// Minimum size of the sample of members by which the loss of a larger failure domain is detected.
/// The sample has at most twice this size.
const MIN_SAMPLES: usize = 64;
/// Time for which a member that announces itself in a lost failure domain waits for the outage
/// detectors before it may refute the loss on its own.
const REFUTATION_DELAY: Span = Span::from_secs(15);
/// Minimum time between two reports about the same member to the outage detectors.
const REPORT_INTERVAL: Span = Span::from_secs(5);

/// The timeouts of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureTimeouts {
    /// Silence after which a member is suspected.
    pub suspect_after: Span,
    /// Silence after which a member is lost.
    pub lost_after: Span,
    /// Additional silence in a large failure domain before a member is suspected or lost, in which
    /// the loss of the whole domain can be detected.
    pub domain_hold: Span,
}

/// The input of the membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent announced its upstream to this process.
    Announced(MemberEntry),
    /// A record of a member was received from another balancer.
    Learned(Arc<MemberRecord>),
    /// The state of a failure domain was received from another balancer.
    Outage(Outage),
    /// The live balancers have changed; the list includes this one.
    Peers(Vec<(NodeId, Domain)>),
    /// A registrar sent reports to this balancer as an outage detector.
    Reported(Vec<MemberReport>),
    /// A timer tick.
    Tick,
}

/// The output of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Rebuild the placement of a service whose members have changed.
    Rebuild {
        /// The customer of the service.
        customer: Customer,
        /// The service.
        service: Service,
        /// All members; those that accept no new flows have weight zero.
        candidates: Vec<Candidate>,
    },
    /// Spread an entry to the other balancers.
    Publish(GossipEntry),
    /// Send reports to an outage detector.
    Report {
        /// The outage detector.
        to: NodeId,
        /// The reports of this registrar.
        reports: Vec<MemberReport>,
    },
}

/// The members that a balancer knows, indexed by service and failure domain.
#[derive(Clone, Debug)]
pub struct Membership {
    timeouts: FailureTimeouts,
    members: BTreeMap<Instance, Member>,
    services: BTreeMap<(Customer, Service), BTreeSet<Instance>>,
    domains: BTreeMap<Domain, BTreeSet<Instance>>,
    outages: BTreeMap<Domain, (Outage, Moment)>,
    tombstones: VecDeque<(Moment, Instance)>,
    changed_services: BTreeSet<(Customer, Service)>,
    registrations: Registrations,
    outage_detector: OutageDetector,
}

#[derive(Clone, Debug)]
struct Member {
    record: Arc<MemberRecord>,
    /// When the present version of the entry was received.
    received_at: Moment,
    /// When the member first announced itself here during the outage of its failure domain.
    announced_at: Option<Moment>,
}

impl Default for FailureTimeouts {
    /// Returns timeouts that suit an announcement interval of two seconds.
    fn default() -> Self {
        Self {
            suspect_after: Span::from_secs(5),
            lost_after: Span::from_secs(10),
            domain_hold: Span::from_secs(4),
        }
    }
}

impl MemberRecord {
    fn precedence(&self) -> (Incarnation, u32, Liveness) {
        (self.entry.incarnation, self.entry.version, self.standing)
    }
}

impl Membership {
    /// Creates an empty membership for the balancer `own`.
    pub fn new(own: NodeId, timeouts: FailureTimeouts) -> Self {
        Self {
            timeouts,
            members: BTreeMap::new(),
            services: BTreeMap::new(),
            domains: BTreeMap::new(),
            outages: BTreeMap::new(),
            tombstones: VecDeque::new(),
            changed_services: BTreeSet::new(),
            registrations: Registrations::new(own),
            outage_detector: OutageDetector::default(),
        }
    }

    /// Returns all entries, including those of departed and lost members.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().map(|member| &member.record.entry)
    }

    /// Returns the liveness of a member, combined with the state of its failure domain.
    pub fn liveness(&self, instance: Instance) -> Option<Liveness> {
        self.members.get(&instance).map(|member| self.assess(member))
    }

    /// Returns the entries of the members of a service that have neither left nor are lost.
    pub fn members_of<'a>(
        &'a self,
        customer: &Customer,
        service: &Service,
    ) -> impl Iterator<Item = &'a MemberEntry> + use<'a> {
        let instances = self.services.get(&(customer.clone(), service.clone()));
        let members = instances.into_iter().flatten().filter_map(|i| self.members.get(i));
        members
            .filter(|m| {
                m.record.entry.phase != MemberPhase::Left && self.assess(m) != Liveness::Lost
            })
            .map(|member| &member.record.entry)
    }

    /// Returns the candidates for the flows of a service. A draining member has weight zero: it
    /// accepts no new flows but can still name the owners of existing ones. If all serving members
    /// seem lost, this balancer is probably partitioned itself and keeps using their last entries.
    pub fn candidates(&self, customer: &Customer, service: &Service) -> Vec<Candidate> {
        let instances = self.services.get(&(customer.clone(), service.clone()));
        let members = instances.into_iter().flatten().filter_map(|i| self.members.get(i));
        let present: Vec<&Member> =
            members.filter(|member| member.record.entry.phase != MemberPhase::Left).collect();
        let known = present.iter().filter(|member| self.assess(member) != Liveness::Lost);
        let known: Vec<Candidate> = known.map(|m| candidate(m, self.weight(m))).collect();
        if known.iter().any(|candidate| candidate.weight.get() > 0) {
            return known;
        }
        present
            .iter()
            .map(|member| candidate(member, member.record.entry.effective_weight().get()))
            .collect()
    }

    /// Returns the agents of a service that announced their departure.
    pub fn departed(&self, customer: &Customer, service: &Service) -> Vec<AgentId> {
        let instances = self.services.get(&(customer.clone(), service.clone()));
        let members = instances.into_iter().flatten().filter_map(|i| self.members.get(i));
        let entries = members.map(|member| &member.record.entry);
        entries
            .filter(|entry| entry.phase == MemberPhase::Left)
            .map(|entry| entry.agent_id())
            .collect()
    }

    /// Returns the balancers to which an agent announces itself, the highest-ranked first.
    pub fn registrars(&self, instance: Instance) -> Vec<NodeId> {
        self.registrations.registrars(instance)
    }

    /// Returns the latest known incarnation of an agent, even if it has left.
    pub fn incarnation(&self, instance: Instance) -> Option<Incarnation> {
        self.members.get(&instance).map(|member| member.record.entry.incarnation)
    }

    /// Returns the version that an agent must exceed to be trusted again, or `None` if it is
    /// trusted or must wait. In a lost failure domain, agents wait for the outage detectors: if
    /// each agent refuted its loss with a new version, every balancer would receive thousands of
    /// entries.
    pub fn refutation(&self, instance: Instance, now: Moment) -> Option<u32> {
        let member = self.members.get(&instance)?;
        let is_untrusted = member.record.standing != Liveness::Trusted;
        let has_waited = member
            .announced_at
            .is_some_and(|announced_at| now.since(announced_at) >= REFUTATION_DELAY);
        let may_refute = is_untrusted || (has_waited && self.assess(member) == Liveness::Lost);
        may_refute.then_some(member.record.entry.version)
    }

    fn weight(&self, member: &Member) -> u32 {
        let weight = member.record.entry.effective_weight().get();
        match self.assess(member) {
            Liveness::Trusted => weight,
            Liveness::Suspected => (weight / SUSPECTED_DIVISOR).max(weight.min(1)),
            Liveness::Lost => 0,
        }
    }

    /// Combines the liveness of a member with the state of its failure domain. An entry that was
    /// received after the domain was lost overrides the loss.
    fn assess(&self, member: &Member) -> Liveness {
        let liveness = member.record.standing;
        match self.domain_lost_since(&member.record.entry.domain) {
            Some(since) if member.received_at <= since => Liveness::Lost,
            _ => liveness,
        }
    }

    fn domain_lost_since(&self, domain: &Domain) -> Option<Moment> {
        let (outage, since) = self.outages.get(domain)?;
        outage.is_lost().then_some(*since)
    }

    fn handle_announcement(&mut self, entry: MemberEntry, now: Moment) -> Vec<Action> {
        let instance = entry.instance;
        let current = self.members.get(&instance);
        let is_outdated = current.is_some_and(|known| known.record.entry.supersedes(&entry));
        if is_outdated {
            return Vec::new();
        }
        let record = Arc::new(MemberRecord { entry, standing: Liveness::Trusted });
        let is_stored = self.store_record(&record, now);
        self.registrations.record_announcement(instance, now);
        if let Some(member) = self.members.get_mut(&instance)
            && self.outages.get(&member.record.entry.domain).is_some_and(|(o, _)| o.is_lost())
        {
            member.announced_at.get_or_insert(now);
        }
        if is_stored { vec![Action::Publish(GossipEntry::Member(record))] } else { Vec::new() }
    }

    /// Stores a record if it is newer than the known one. Returns true if it was stored.
    fn store_record(&mut self, record: &Arc<MemberRecord>, now: Moment) -> bool {
        let entry = &record.entry;
        let known = self.members.get(&entry.instance);
        if known.is_some_and(|known| known.record.precedence() >= record.precedence()) {
            return false;
        }
        let is_newer = known.is_none_or(|known| entry.supersedes(&known.record.entry));
        let received_at = if is_newer { now } else { known.map_or(now, |known| known.received_at) };
        if let Some(known) = known.cloned() {
            self.unlink(&known.record.entry);
            self.registrations.record_update(&known.record, record, now);
        }
        self.link(entry);
        if record.standing == Liveness::Lost || entry.phase == MemberPhase::Left {
            self.tombstones.push_back((now, entry.instance));
            self.registrations.remove(entry.instance);
        } else {
            self.registrations.add(entry.instance, now);
        }
        self.members.insert(
            entry.instance,
            Member { record: record.clone(), received_at, announced_at: None },
        );
        true
    }

    fn link(&mut self, entry: &MemberEntry) {
        let key = (entry.customer.clone(), entry.service.clone());
        self.services.entry(key.clone()).or_default().insert(entry.instance);
        self.domains.entry(entry.domain.clone()).or_default().insert(entry.instance);
        self.changed_services.insert(key);
    }

    fn unlink(&mut self, entry: &MemberEntry) {
        let key = (entry.customer.clone(), entry.service.clone());
        if let Some(instances) = self.services.get_mut(&key) {
            instances.remove(&entry.instance);
        }
        if let Some(instances) = self.domains.get_mut(&entry.domain) {
            instances.remove(&entry.instance);
        }
        self.changed_services.insert(key);
    }

    fn set_outage(&mut self, outage: Outage, now: Moment) {
        let known = self.outages.get(&outage.domain);
        if known.is_some_and(|(known, _)| known.epoch >= outage.epoch) {
            return;
        }
        let members = self.domains.get(&outage.domain).into_iter().flatten();
        let entries = members.filter_map(|i| self.members.get(i)).map(|m| &m.record.entry);
        self.changed_services
            .extend(entries.map(|entry| (entry.customer.clone(), entry.service.clone())));
        for instance in self.domains.get(&outage.domain).into_iter().flatten() {
            if let Some(member) = self.members.get_mut(instance) {
                member.announced_at = None;
            }
        }
        // Restarts the silence timeouts, so that members that are still down are suspected one by
        // one after the outage.
        if !outage.is_lost() {
            let members = self.domains.get(&outage.domain).into_iter().flatten();
            members.for_each(|&instance| self.registrations.restart(instance, now));
        }
        // Agents do not announce themselves to a balancer in a lost domain, so that the silence
        // that it observed is no evidence.
        if self.registrations.domain() == Some(&outage.domain) {
            let members: Vec<Instance> =
                self.registrations.iter().map(|(instance, _)| instance).collect();
            members.into_iter().for_each(|instance| self.registrations.restart(instance, now));
        }
        self.outage_detector.remove_reports(&outage.domain);
        self.outages.insert(outage.domain.clone(), (outage, now));
    }

    fn handle_reports(&mut self, reports: &[MemberReport], now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        for domain in self.outage_detector.add_reports(reports, now) {
            let members = self.count_sampled_members(&domain);
            let epoch = self.outages.get(&domain).map_or(0, |(outage, _)| outage.epoch);
            if let Some(outage) = self.outage_detector.decide(&domain, members, epoch) {
                self.set_outage(outage.clone(), now);
                actions.push(Action::Publish(GossipEntry::Outage(outage)));
            }
        }
        actions
    }

    /// Returns true if a member is in the sample by which the loss of its failure domain is
    /// detected. Sampling bounds the reports that the outage detectors of a large domain receive
    /// within seconds. The sampling ratio is a power of two, so that balancers with slightly
    /// different member counts choose the same sample.
    fn is_sample(&self, instance: Instance, domain: &Domain) -> bool {
        let members = self.domains.get(domain).map_or(0, BTreeSet::len);
        let min_zeros = (members / MIN_SAMPLES).max(1).ilog2();
        rendezvous::digest(&instance).trailing_zeros() >= min_zeros
    }

    /// Counts the sampled members of a failure domain that have neither left nor are lost.
    fn count_sampled_members(&self, domain: &Domain) -> usize {
        let members = self.domains.get(domain).into_iter().flatten();
        let members = members.filter(|instance| self.is_sample(**instance, domain));
        let records = members.filter_map(|i| self.members.get(i)).map(|member| &member.record);
        records
            .filter(|r| r.entry.phase != MemberPhase::Left && r.standing != Liveness::Lost)
            .count()
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.check_silence(now);
        self.drop_tombstones(now);
        let changed = std::mem::take(&mut self.changed_services);
        actions.extend(changed.into_iter().map(|(customer, service)| {
            let candidates = self.candidates(&customer, &service);
            Action::Rebuild { customer, service, candidates }
        }));
        actions
    }

    /// Checks the members that announce themselves to this balancer for silence.
    fn check_silence(&mut self, now: Moment) -> Vec<Action> {
        let mut degraded: Vec<Arc<MemberRecord>> = Vec::new();
        let mut reports: BTreeMap<NodeId, Vec<MemberReport>> = BTreeMap::new();
        // The other balancers do not name the balancers of a lost domain as registrars, so that
        // agents do not announce themselves to this one and their silence is no evidence.
        let own_domain_lost =
            self.registrations.domain().is_some_and(|own| self.domain_lost_since(own).is_some());
        let registrations: Vec<(Instance, Registration)> = self.registrations.iter().collect();
        for (instance, registration) in registrations {
            let Some(member) = self.members.get(&instance) else { continue };
            let entry = &member.record.entry;
            let is_silent = registration.is_silent(self.timeouts.suspect_after, now);
            let is_domain_lost = self
                .domain_lost_since(&entry.domain)
                .is_some_and(|since| member.received_at <= since);
            let is_large =
                self.domains.get(&entry.domain).map_or(0, BTreeSet::len) >= MIN_DOMAIN_MEMBERS;
            let is_due =
                registration.last_reported.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
            // In a lost domain only members that announce themselves are reported. The start of a
            // registration, which the loss of other registrars causes, is not an announcement.
            let should_report = if is_domain_lost {
                registration.has_announced && !is_silent
            } else {
                is_silent && !own_domain_lost
            };
            if is_large && should_report && is_due && self.is_sample(instance, &entry.domain) {
                let report =
                    MemberReport { instance, domain: entry.domain.clone(), alive: !is_silent };
                for detector in self.registrations.outage_detectors(&entry.domain) {
                    reports.entry(detector).or_default().push(report.clone());
                }
                self.registrations.record_report(instance, now);
            }
            if is_silent && !is_domain_lost && !own_domain_lost {
                degraded.extend(self.degraded_record(member, registration, is_large, now));
            }
        }
        let mut actions = Vec::new();
        for record in degraded {
            self.store_record(&record, now);
            actions.push(Action::Publish(GossipEntry::Member(record)));
        }
        actions.extend(reports.into_iter().map(|(to, reports)| Action::Report { to, reports }));
        actions
    }

    fn degraded_record(
        &self,
        member: &Member,
        registration: Registration,
        is_large: bool,
        now: Moment,
    ) -> Option<Arc<MemberRecord>> {
        let additional = if is_large { self.timeouts.domain_hold } else { Span::ZERO };
        let standing = match member.record.standing {
            Liveness::Trusted
                if registration.is_silent(self.timeouts.suspect_after + additional, now) =>
            {
                Liveness::Suspected
            }
            Liveness::Suspected
                if registration.is_silent(self.timeouts.lost_after + additional, now) =>
            {
                Liveness::Lost
            }
            _ => return None,
        };
        Some(Arc::new(MemberRecord { entry: member.record.entry.clone(), standing }))
    }

    fn drop_tombstones(&mut self, now: Moment) {
        while let Some((since, instance)) = self.tombstones.front().copied()
            && now.since(since) >= TOMBSTONE_LIFETIME
        {
            self.tombstones.pop_front();
            let Some(member) = self.members.get(&instance) else { continue };
            let record = member.record.clone();
            let is_tombstone =
                record.standing == Liveness::Lost || record.entry.phase == MemberPhase::Left;
            if is_tombstone && member.received_at <= since {
                self.unlink(&record.entry);
                self.members.remove(&instance);
            }
        }
    }
}

fn candidate(member: &Member, weight: u32) -> Candidate {
    Candidate { agent_id: member.record.entry.agent_id(), weight: Weight::new(weight) }
}

impl Controller for Membership {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Announced(entry) => self.handle_announcement(entry, now),
            Event::Learned(record) => {
                self.store_record(&record, now);
                Vec::new()
            }
            Event::Outage(outage) => {
                self.set_outage(outage, now);
                Vec::new()
            }
            Event::Peers(peers) => {
                self.registrations.set_peers(&peers, self.members.keys().copied(), now);
                Vec::new()
            }
            Event::Reported(reports) => self.handle_reports(&reports, now),
            Event::Tick => self.tick(now),
        }
    }
}
