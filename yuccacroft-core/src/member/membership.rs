//! The controller of the members that a balancer knows.

mod outage_detector;
mod registration;

use {
    self::{
        outage_detector::OutageDetector,
        registration::{Registration, Registrations},
    },
    super::{Entry, Outage, Phase, Record, Standing},
    crate::{
        controller::Controller,
        flow::Hop,
        gossip::{entry::Item, peer::Node},
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

pub use self::outage_detector::Report;

/// A suspected member keeps this fraction of its weight.
const SUSPECTED_DIVISOR: u32 = 4;
/// Time for which the entry of a member that is gone is kept, so that an older one from a balancer
/// that was cut off cannot bring it back.
const KEEP_GONE: Span = Span::from_secs(600);
/// Members of a failure domain from which its loss is told from the loss of single members.
/// Below it, single suspicions cost less than the wait for the others.
const DOMAIN_MEMBERS: usize = 8;
/// Members of a failure domain that stand for all of it, up to twice as many.
const SAMPLES: usize = 64;
/// Time for which a member that is heard in a lost failure domain waits for the judges.
const RETURN_WAIT: Span = Span::from_secs(15);
/// Time between two reports of the same member to the judges of its failure domain.
const REPORT_EVERY: Span = Span::from_secs(5);

/// How long silence is borne.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureTimeouts {
    /// Silence after which a member is suspected.
    pub suspect_after: Span,
    /// Silence after which it is taken out.
    pub lost_after: Span,
    /// Time between doubt and suspicion in which the loss of the failure domain can be noticed.
    pub domain_hold: Span,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An agent announced its upstream to this process.
    Announced(Entry),
    /// A member is known from other balancers.
    Learned(Arc<Record>),
    /// The state of a failure domain is known.
    Outage(Outage),
    /// The balancers that take part, this one included.
    Peers(Vec<(Node, Domain)>),
    /// A registrar told a judge of its members in one failure domain.
    Reported(Vec<Report>),
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
    /// An entry that other balancers need.
    Publish(Item),
    /// Reports for the judge of a failure domain.
    Report {
        /// The judge.
        to: Node,
        /// What this registrar knows.
        reports: Vec<Report>,
    },
}

/// The members that a balancer knows.
#[derive(Clone, Debug)]
pub struct Membership {
    timeouts: FailureTimeouts,
    members: BTreeMap<Instance, Member>,
    services: BTreeMap<(Customer, Service), BTreeSet<Instance>>,
    domains: BTreeMap<Domain, BTreeSet<Instance>>,
    outages: BTreeMap<Domain, (Outage, Moment)>,
    gone: VecDeque<(Moment, Instance)>,
    changed: BTreeSet<(Customer, Service)>,
    duties: Registrations,
    judge: OutageDetector,
}

#[derive(Clone, Debug)]
struct Member {
    record: Arc<Record>,
    /// When the present version of the entry was learned.
    fresh: Moment,
    /// When it was first heard here while its failure domain is lost.
    back: Option<Moment>,
}

impl Default for FailureTimeouts {
    /// Returns the times for announcements every two seconds.
    fn default() -> Self {
        Self {
            suspect_after: Span::from_secs(5),
            lost_after: Span::from_secs(10),
            domain_hold: Span::from_secs(4),
        }
    }
}

impl Record {
    fn order(&self) -> (Incarnation, u32, Standing) {
        (self.entry.incarnation, self.entry.version, self.standing)
    }
}

impl Membership {
    /// Creates the empty roster of the balancer at an address.
    pub fn new(own: Node, timeouts: FailureTimeouts) -> Self {
        Self {
            timeouts,
            members: BTreeMap::new(),
            services: BTreeMap::new(),
            domains: BTreeMap::new(),
            outages: BTreeMap::new(),
            gone: VecDeque::new(),
            changed: BTreeSet::new(),
            duties: Registrations::new(own),
            judge: OutageDetector::default(),
        }
    }

    /// Returns all entries, also of members that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().map(|member| &member.record.entry)
    }

    /// Returns the standing of a member as others see it.
    pub fn standing(&self, instance: Instance) -> Option<Standing> {
        self.members.get(&instance).map(|member| self.judged(member))
    }

    /// Returns the entries of the members of one service that are not gone.
    pub fn of<'a>(
        &'a self,
        customer: &Customer,
        service: &Service,
    ) -> impl Iterator<Item = &'a Entry> + use<'a> {
        let instances = self.services.get(&(customer.clone(), service.clone()));
        let members = instances.into_iter().flatten().filter_map(|i| self.members.get(i));
        members
            .filter(|m| m.record.entry.phase != Phase::Left && self.judged(m) != Standing::Lost)
            .map(|member| &member.record.entry)
    }

    /// Returns the members of a service. One that drains has the weight zero: it takes no new
    /// flows but still knows where flows live. When every member that serves seems lost, this
    /// balancer is the one that is cut off, and it goes on with what it knew.
    pub fn candidates(&self, customer: &Customer, service: &Service) -> Vec<Candidate> {
        let instances = self.services.get(&(customer.clone(), service.clone()));
        let members = instances.into_iter().flatten().filter_map(|i| self.members.get(i));
        let present: Vec<&Member> =
            members.filter(|member| member.record.entry.phase != Phase::Left).collect();
        let known = present.iter().filter(|member| self.judged(member) != Standing::Lost);
        let known: Vec<Candidate> = known.map(|m| candidate(m, self.weight(m))).collect();
        if known.iter().any(|candidate| candidate.weight.get() > 0) {
            return known;
        }
        present.iter().map(|member| candidate(member, member.record.entry.share().get())).collect()
    }

    /// Returns the agents of a service that said themselves that they leave.
    pub fn left(&self, customer: &Customer, service: &Service) -> Vec<Hop> {
        let instances = self.services.get(&(customer.clone(), service.clone()));
        let members = instances.into_iter().flatten().filter_map(|i| self.members.get(i));
        let entries = members.map(|member| &member.record.entry);
        entries.filter(|entry| entry.phase == Phase::Left).map(|entry| entry.hop()).collect()
    }

    /// Returns the balancers to which an agent announces itself, the best first.
    pub fn registrars(&self, instance: Instance) -> Vec<Node> {
        self.duties.registrars(instance)
    }

    /// Returns the latest life of an agent that is known, also when it has left.
    pub fn incarnation(&self, instance: Instance) -> Option<Incarnation> {
        self.members.get(&instance).map(|member| member.record.entry.incarnation)
    }

    /// Returns the version that an agent has to exceed to be trusted again, when it is not. In a
    /// lost failure domain agents wait for the judges: when all of them returned with new
    /// versions, each balancer would receive thousands of entries.
    pub fn refutation(&self, instance: Instance, now: Moment) -> Option<u32> {
        let member = self.members.get(&instance)?;
        let suspected = member.record.standing != Standing::Trusted;
        let waited = member.back.is_some_and(|back| now.since(back) >= RETURN_WAIT);
        let doubted = suspected || (waited && self.judged(member) == Standing::Lost);
        doubted.then_some(member.record.entry.version)
    }

    fn weight(&self, member: &Member) -> u32 {
        let weight = member.record.entry.share().get();
        match self.judged(member) {
            Standing::Trusted => weight,
            Standing::Suspected => (weight / SUSPECTED_DIVISOR).max(weight.min(1)),
            Standing::Lost => 0,
        }
    }

    /// Combines the standing of a member with that of its failure domain. A word of the agent
    /// after the loss of the domain goes before it.
    fn judged(&self, member: &Member) -> Standing {
        let standing = member.record.standing;
        match self.lost_since(&member.record.entry.domain) {
            Some(since) if member.fresh <= since => Standing::Lost,
            _ => standing,
        }
    }

    fn lost_since(&self, domain: &Domain) -> Option<Moment> {
        let (outage, since) = self.outages.get(domain)?;
        outage.is_lost().then_some(*since)
    }

    fn announce(&mut self, entry: Entry, now: Moment) -> Vec<Action> {
        let instance = entry.instance;
        let current = self.members.get(&instance);
        let older = current.is_some_and(|known| known.record.entry.supersedes(&entry));
        if older {
            return Vec::new();
        }
        let record = Arc::new(Record { entry, standing: Standing::Trusted });
        let taken = self.take(&record, now);
        self.duties.heard(instance, now);
        if let Some(member) = self.members.get_mut(&instance)
            && self.outages.get(&member.record.entry.domain).is_some_and(|(o, _)| o.is_lost())
        {
            member.back.get_or_insert(now);
        }
        if taken { vec![Action::Publish(Item::Member(record))] } else { Vec::new() }
    }

    /// Takes a record unless the known one is as new. Returns true when it was taken.
    fn take(&mut self, record: &Arc<Record>, now: Moment) -> bool {
        let entry = &record.entry;
        let known = self.members.get(&entry.instance);
        if known.is_some_and(|known| known.record.order() >= record.order()) {
            return false;
        }
        let spoke = known.is_none_or(|known| entry.supersedes(&known.record.entry));
        let fresh = if spoke { now } else { known.map_or(now, |known| known.fresh) };
        if let Some(known) = known.cloned() {
            self.unlink(&known.record.entry);
            self.duties.spoke(&known.record, record, now);
        }
        self.link(entry);
        if record.standing == Standing::Lost || entry.phase == Phase::Left {
            self.gone.push_back((now, entry.instance));
            self.duties.remove(entry.instance);
        } else {
            self.duties.add(entry.instance, now);
        }
        self.members.insert(entry.instance, Member { record: record.clone(), fresh, back: None });
        true
    }

    fn link(&mut self, entry: &Entry) {
        let key = (entry.customer.clone(), entry.service.clone());
        self.services.entry(key.clone()).or_default().insert(entry.instance);
        self.domains.entry(entry.domain.clone()).or_default().insert(entry.instance);
        self.changed.insert(key);
    }

    fn unlink(&mut self, entry: &Entry) {
        let key = (entry.customer.clone(), entry.service.clone());
        if let Some(instances) = self.services.get_mut(&key) {
            instances.remove(&entry.instance);
        }
        if let Some(instances) = self.domains.get_mut(&entry.domain) {
            instances.remove(&entry.instance);
        }
        self.changed.insert(key);
    }

    fn outage(&mut self, outage: Outage, now: Moment) {
        let known = self.outages.get(&outage.domain);
        if known.is_some_and(|(known, _)| known.epoch >= outage.epoch) {
            return;
        }
        let members = self.domains.get(&outage.domain).into_iter().flatten();
        let entries = members.filter_map(|i| self.members.get(i)).map(|m| &m.record.entry);
        self.changed.extend(entries.map(|entry| (entry.customer.clone(), entry.service.clone())));
        for instance in self.domains.get(&outage.domain).into_iter().flatten() {
            if let Some(member) = self.members.get_mut(instance) {
                member.back = None;
            }
        }
        // Registrars start over, so that members that did not come back are doubted one by one.
        if !outage.is_lost() {
            let members = self.domains.get(&outage.domain).into_iter().flatten();
            members.for_each(|&instance| self.duties.restart(instance, now));
        }
        // Nobody announced to a balancer of a lost domain, so that its silences say nothing.
        if self.duties.domain() == Some(&outage.domain) {
            let members: Vec<Instance> = self.duties.iter().map(|(instance, _)| instance).collect();
            members.into_iter().for_each(|instance| self.duties.restart(instance, now));
        }
        self.judge.forget(&outage.domain);
        self.outages.insert(outage.domain.clone(), (outage, now));
    }

    fn judge(&mut self, reports: &[Report], now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        for domain in self.judge.note(reports, now) {
            let members = self.sampled_members(&domain);
            let epoch = self.outages.get(&domain).map_or(0, |(outage, _)| outage.epoch);
            if let Some(outage) = self.judge.decide(&domain, members, epoch) {
                self.outage(outage.clone(), now);
                actions.push(Action::Publish(Item::Outage(outage)));
            }
        }
        actions
    }

    /// Tells whether a member stands for its failure domain. A sample bounds what the judges of a
    /// large domain receive within seconds; the step is a power of two, so that balancers whose
    /// counts differ a little agree on it.
    fn is_sample(&self, instance: Instance, domain: &Domain) -> bool {
        let members = self.domains.get(domain).map_or(0, BTreeSet::len);
        let step = (members / SAMPLES).max(1).ilog2();
        rendezvous::digest(&instance).trailing_zeros() >= step
    }

    /// Counts the sampled members of a failure domain that did not leave by themselves.
    fn sampled_members(&self, domain: &Domain) -> usize {
        let members = self.domains.get(domain).into_iter().flatten();
        let members = members.filter(|instance| self.is_sample(**instance, domain));
        let records = members.filter_map(|i| self.members.get(i)).map(|member| &member.record);
        records.filter(|r| r.entry.phase != Phase::Left && r.standing != Standing::Lost).count()
    }

    fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.watch(now);
        self.drop_gone(now);
        let changed = std::mem::take(&mut self.changed);
        actions.extend(changed.into_iter().map(|(customer, service)| {
            let candidates = self.candidates(&customer, &service);
            Action::Rebuild { customer, service, candidates }
        }));
        actions
    }

    /// Goes over the members that announce themselves to this process.
    fn watch(&mut self, now: Moment) -> Vec<Action> {
        let mut worse: Vec<Arc<Record>> = Vec::new();
        let mut reports: BTreeMap<Node, Vec<Report>> = BTreeMap::new();
        // Others do not count on balancers of a lost domain, so that no agent announces to them.
        let cut_off = self.duties.domain().is_some_and(|own| self.lost_since(own).is_some());
        let duties: Vec<(Instance, Registration)> = self.duties.iter().collect();
        for (instance, duty) in duties {
            let Some(member) = self.members.get(&instance) else { continue };
            let entry = &member.record.entry;
            let silent = duty.is_silent(self.timeouts.suspect_after, now);
            let lost = self.lost_since(&entry.domain).is_some_and(|since| member.fresh <= since);
            let large = self.domains.get(&entry.domain).map_or(0, BTreeSet::len) >= DOMAIN_MEMBERS;
            let due = duty.reported.is_none_or(|at| now.since(at) >= REPORT_EVERY);
            // In a lost domain only those that are heard are news. The beginning of a duty, which
            // the loss of registrars brings, says nothing.
            let news = if lost { duty.spoke && !silent } else { silent && !cut_off };
            if large && news && due && self.is_sample(instance, &entry.domain) {
                let report = Report { instance, domain: entry.domain.clone(), alive: !silent };
                for judge in self.duties.judges(&entry.domain) {
                    reports.entry(judge).or_default().push(report.clone());
                }
                self.duties.note_report(instance, now);
            }
            if silent && !lost && !cut_off {
                worse.extend(self.worsened(member, duty, large, now));
            }
        }
        let mut actions = Vec::new();
        for record in worse {
            self.take(&record, now);
            actions.push(Action::Publish(Item::Member(record)));
        }
        actions.extend(reports.into_iter().map(|(to, reports)| Action::Report { to, reports }));
        actions
    }

    fn worsened(
        &self,
        member: &Member,
        duty: Registration,
        large: bool,
        now: Moment,
    ) -> Option<Arc<Record>> {
        let hold = if large { self.timeouts.domain_hold } else { Span::ZERO };
        let standing = match member.record.standing {
            Standing::Trusted if duty.is_silent(self.timeouts.suspect_after + hold, now) => {
                Standing::Suspected
            }
            Standing::Suspected if duty.is_silent(self.timeouts.lost_after + hold, now) => {
                Standing::Lost
            }
            _ => return None,
        };
        Some(Arc::new(Record { entry: member.record.entry.clone(), standing }))
    }

    fn drop_gone(&mut self, now: Moment) {
        while let Some((since, instance)) = self.gone.front().copied()
            && now.since(since) >= KEEP_GONE
        {
            self.gone.pop_front();
            let Some(member) = self.members.get(&instance) else { continue };
            let record = member.record.clone();
            let gone = record.standing == Standing::Lost || record.entry.phase == Phase::Left;
            if gone && member.fresh <= since {
                self.unlink(&record.entry);
                self.members.remove(&instance);
            }
        }
    }
}

fn candidate(member: &Member, weight: u32) -> Candidate {
    Candidate { hop: member.record.entry.hop(), weight: Weight::new(weight) }
}

impl Controller for Membership {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Announced(entry) => self.announce(entry, now),
            Event::Learned(record) => {
                self.take(&record, now);
                Vec::new()
            }
            Event::Outage(outage) => {
                self.outage(outage, now);
                Vec::new()
            }
            Event::Peers(peers) => {
                self.duties.set_peers(&peers, self.members.keys().copied(), now);
                Vec::new()
            }
            Event::Reported(reports) => self.judge(&reports, now),
            Event::Tick => self.tick(now),
        }
    }
}
