//! The pool of agents that a balancer can send flows to, and the choice among them.
//!
//! Members come from the listing in the store. Agents report their load on messages that they send
//! anyway. A member that disappears from the listing stays while it answers, so that an outage of
//! the store does not empty the pool.

mod cost;
mod evacuation;
pub mod explanation;
pub mod indirect;
mod listing;
mod member;
pub mod outlier;
mod path;
mod placement;
mod ring;
pub mod snapshot;
mod supply;
mod usage;

pub use self::{
    cost::{Cost, Exclusion},
    member::{AgentEntry, AgentLoad, AgentPhase, Measures, Member, Reachability},
    path::AnswerCounts,
    placement::SEARCH_WINDOW,
};

use {
    self::{
        indirect::{Condition, Contact, Limit, Ping, Relay, Report, Suspect},
        listing::ListState,
        member::{SUSPICION_TIMEOUT, UNLISTED_GRACE_PERIOD},
        path::{Answer, LOSS_TIMEOUT, Path, Timeliness},
        ring::Ring,
        supply::SpillOver,
    },
    crate::{
        evacuation::Evacuations,
        flow::AgentId,
        ids::{Domain, Instance, Revision},
        requirements::Requirements,
        route::Target,
        shards::Shards,
        time::{Moment, Span},
        units::Percent,
    },
    std::{
        collections::HashMap,
        sync::{
            PoisonError, RwLock,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// Time from the offer of a flow until its first request shows in the reported load of the member:
/// one round trip to the caller.
const OFFER_LOAD_DELAY: Span = Span::from_millis(10);
/// Maximum number of pending offers that are tracked per member. A member with more is avoided
/// anyway.
const MAX_PENDING_OFFERS: usize = 256;
newtype! {
    /// A version of the evidence about lost flows. It increases with each event after which a flow
    /// that no member owned may have an owner.
    EvidenceVersion(u64), "an evidence version"
}

/// Hundredths of a whole.
const MAX_PERCENT: u32 = 100;
/// The number of members of each reachability.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachabilityCounts {
    /// Members that answer or owe no answer.
    pub good: usize,
    /// Members with an overdue answer.
    pub suspect: usize,
    /// Members whose flows count as lost, unless they restart.
    pub lost: usize,
}

/// The effect of a listed entry on the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpsertResult {
    /// The member is new or has a new incarnation.
    Joined,
    /// The entry of the member has changed.
    Updated,
    /// The entry changed nothing.
    None,
}

/// The members that one balancer knows.
#[derive(Debug, Default)]
pub struct Pool {
    members: Shards<Instance, Member>,
    /// The members of each service.
    members_by_service: RwLock<HashMap<Target, Ring>>,
    path: Path,
    list_state: ListState,
    evidence_version: AtomicU64,
    indirect_limit: Limit,
    requirements: Requirements,
    /// The failure domain of this process, if flows are kept in their domain.
    home: Option<Domain>,
    evacuations: RwLock<Evacuations>,
    spill_over: SpillOver,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the requirements of the deployment.
    pub fn with_requirements(self, requirements: Requirements) -> Self {
        Self { requirements, ..self }
    }

    /// Sets the failure domain of this process. With the requirement `health` flows are kept there, as
    /// far as the spill-over allows.
    pub fn with_domain(self, domain: Domain) -> Self {
        let home = self.requirements.health.then_some(domain);
        Self { home, ..self }
    }

    /// Returns the requirements of the deployment.
    pub fn requirements(&self) -> Requirements {
        self.requirements
    }

    /// Adds or updates a member from its listed entry. An entry of an earlier incarnation or
    /// version is ignored.
    pub fn upsert(&self, entry: AgentEntry, now: Moment) -> UpsertResult {
        let (instance, target) = (entry.agent_id.instance, entry.target);
        let apply = |slot: &mut Option<Member>| {
            let Some(member) = slot else {
                *slot = Some(Member::new(entry, now));
                return UpsertResult::Joined;
            };
            let order = |e: &AgentEntry| (e.agent_id.incarnation, e.entry_version);
            if order(&entry) < order(&member.entry) {
                return UpsertResult::None;
            }
            member.unlisted_since = None;
            if entry == member.entry {
                return UpsertResult::None;
            }
            if entry.agent_id.incarnation > member.entry.agent_id.incarnation {
                let stopped_at = member.stopped_at;
                let restarted = member.has_entry() || entry.succeeds;
                *member = Member::new(entry, now);
                member.stopped_at = member.stopped_at.or(stopped_at);
                member.restarted = restarted;
                return UpsertResult::Joined;
            }
            if entry.phase == AgentPhase::Stopping {
                member.stopped_at = Some(now);
            }
            member.entry = entry;
            UpsertResult::Updated
        };
        let change = self.members.update(instance, |slot| {
            let change = apply(slot);
            if let Some(member) = slot {
                self.update_evacuation(member);
            }
            change
        });
        if change == UpsertResult::Joined {
            self.index_by_service(target, instance);
            self.record_new_evidence();
        }
        change
    }

    /// Records that the store has an entry for an agent that cannot be read. The agent exists and may
    /// own flows, so it becomes a member, in the failure domain that is given, or stays one. It counts
    /// as unlisted, which its next ping tells it.
    pub fn record_unreadable(&self, instance: Instance, domain: &Domain, now: Moment) {
        let is_new = self.members.update(instance, |slot| match slot {
            Some(member) => {
                member.unlisted_since.get_or_insert(now);
                false
            }
            None => {
                *slot = Some(Member::with_unreadable_entry(instance, domain.clone(), now));
                true
            }
        });
        if is_new {
            self.record_new_evidence();
        }
    }

    /// Records that the entry of a member is no longer listed.
    pub fn mark_unlisted(&self, instance: Instance, now: Moment) {
        self.members.update(instance, |slot| {
            if let Some(member) = slot {
                member.unlisted_since.get_or_insert(now);
            }
        });
    }

    /// Marks the members that a complete listing does not contain as unlisted.
    pub fn sync_listing(&self, listed: impl Fn(Instance) -> bool, now: Moment) {
        self.members.retain(|instance, member| {
            if !listed(*instance) {
                member.unlisted_since.get_or_insert(now);
            }
            true
        });
    }

    /// Sets the time from which on the first listing counts as complete.
    pub fn set_list_complete_at(&self, moment: Moment) {
        self.list_state.set_complete_at(moment);
    }

    /// Returns the time from which on the first listing counts as complete.
    pub fn list_complete_at(&self) -> Moment {
        self.list_state.complete_at()
    }

    /// Records the revision up to which all entries of the store have been added.
    pub fn record_list_revision(&self, revision: Revision) {
        self.list_state.record_revision(revision);
    }

    /// Records the revision at which an entry of the store was created.
    pub fn record_entry_created(&self, created: Revision) {
        self.list_state.record_entry(created);
    }

    /// Returns the revision at which the newest entry was created that this process knows.
    pub fn newest_entry(&self) -> Revision {
        self.list_state.newest_entry()
    }

    /// Records the newest entry that a member knows of, by the revision of its creation.
    pub fn record_announced_entry(&self, created: Revision, now: Moment) {
        let was_outdated = self.list_state.is_outdated();
        self.list_state.record_announced(created, now);
        if !was_outdated && self.list_state.is_outdated() {
            self.record_new_evidence();
        }
    }

    /// Returns true if members know of an entry that this process does not know.
    pub fn is_list_outdated(&self) -> bool {
        self.list_state.is_outdated()
    }

    /// Returns the time for which members have known an entry that this process does not know.
    pub fn list_outdated_time(&self, now: Moment) -> Option<Span> {
        self.list_state.outdated_time(now)
    }

    /// Records a message that a running member answers.
    pub fn record_query(&self, instance: Instance, now: Moment) {
        self.update_member(instance, |member| member.record_query(now));
    }

    /// Records the offer of a flow, which counts towards the load of the member until its reports
    /// include it.
    pub fn record_offer(&self, instance: Instance, now: Moment) {
        self.update_member(instance, |member| {
            member.record_query(now);
            if member.pending_offers.len() < MAX_PENDING_OFFERS {
                member.pending_offers.push_back(now);
            }
        });
    }

    /// Records a message that a member sent on its own and the load that it carries. Returns false
    /// if the member is not in the pool.
    pub fn record_load(&self, agent_id: AgentId, load: AgentLoad, now: Moment) -> bool {
        self.record_message(agent_id, load, false, now)
    }

    /// Records an answer of a member to a message of this process, and the load that it carries.
    /// Its delay tells the state of the path. Returns false if the member is not in the pool.
    pub fn record_answer(&self, agent_id: AgentId, load: AgentLoad, now: Moment) -> bool {
        self.record_message(agent_id, load, true, now)
    }

    fn record_message(
        &self,
        agent_id: AgentId,
        load: AgentLoad,
        is_answer: bool,
        now: Moment,
    ) -> bool {
        let was_lost = |member: Option<&Member>| {
            member.is_some_and(|member| member.reachability(now) == Reachability::Lost)
        };
        // This process was isolated until now, so the answers of the other members are outstanding
        // because they never got the messages.
        if self.members.read(&agent_id.instance, was_lost) && self.is_isolated(now) {
            self.restart_timeouts(now);
        }
        self.members.update(agent_id.instance, |slot| {
            let Some(member) = slot else { return false };
            if agent_id.incarnation < member.entry.agent_id.incarnation {
                return true;
            }
            if member.may_be_excluded(now) {
                self.record_new_evidence();
            }
            if is_answer && let Some(since) = member.unanswered_since {
                member.answer = Some(Answer { at: now, delay: now.since(since) });
            }
            member.unanswered_since = None;
            member.unanswered_queries = 0;
            member.contact = Contact::default();
            member.restarted |=
                member.has_entry() && agent_id.incarnation > member.entry.agent_id.incarnation;
            member.load = Some((load, now));
            // Answers to offers show busy moments too often: a member that looks idle gets offers until
            // an answer shows that it is busy.
            if !is_answer {
                member.record_usage(&load, now);
            }
            if load.stopping {
                member.stopped_at = Some(now);
            }
            member.pending_offers.retain(|at| now.since(*at) < OFFER_LOAD_DELAY);
            true
        })
    }

    /// Records the measures that a member has reported.
    pub fn record_measures(&self, agent_id: AgentId, measures: Measures, now: Moment) {
        self.update_member(agent_id.instance, |member| {
            if agent_id.incarnation >= member.entry.agent_id.incarnation {
                // A malformed message may contain any number.
                let failures = measures.failures.min(Percent::new(MAX_PERCENT));
                member.measures = Some((Measures { failures, ..measures }, now));
            }
        });
    }

    /// Returns the members to ask now whether they reach a member that does not answer, from a
    /// process in this failure domain. It is called several times a second, and the number of pings
    /// is limited whatever the number of silent members. Without a member that answers in time there
    /// is none.
    pub fn indirect_pings(&self, own_domain: &Domain, now: Moment) -> Vec<Ping> {
        let limit = self.indirect_limit.take(now);
        let suspects = self.members.fold(Vec::new(), |mut suspects, instance, member| {
            // The flows of an ended member are gone, whether its agent answers or not.
            if member.is_answer_overdue(SUSPICION_TIMEOUT, now) && !member.has_ended() {
                suspects.push(Suspect { instance: *instance, contact: member.contact });
            }
            suspects
        });
        if suspects.is_empty() {
            return Vec::new();
        }
        let relays = self.members.fold(Vec::new(), |mut relays, instance, member| {
            if member.timeliness(now) == Timeliness::Prompt {
                relays.push(Relay { instance: *instance, domain: member.entry.domain.clone() });
            }
            relays
        });
        let pings = indirect::choose(suspects, &relays, own_domain, limit, now);
        for ping in &pings {
            self.update_member(ping.suspect, |member| member.contact.record_ping(ping.via, now));
        }
        pings
    }

    /// Records the answer of a silent member through the member `via`.
    pub fn record_indirect_answer(
        &self,
        agent_id: AgentId,
        condition: Condition,
        via: Instance,
        now: Moment,
    ) {
        self.update_member(agent_id.instance, |member| {
            if agent_id.incarnation < member.entry.agent_id.incarnation {
                return;
            }
            if member.is_silent_to_all(LOSS_TIMEOUT, now) {
                self.record_new_evidence();
            }
            member.contact.record_answer(via, condition, now);
            member.restarted |=
                member.has_entry() && agent_id.incarnation > member.entry.agent_id.incarnation;
            if condition == Condition::Stopping {
                member.stopped_at = Some(now);
            }
        });
    }

    /// Restarts the timeouts of all outstanding answers, after this process itself was suspended or
    /// isolated.
    pub fn restart_timeouts(&self, now: Moment) {
        self.members.retain(|_, member| {
            member.unanswered_since = member.unanswered_since.map(|_| now);
            true
        });
        // Raised last, so that no verdict on the former silence has the new version.
        self.record_new_evidence();
    }

    /// Extends the timeouts of all outstanding answers by a time for which this process was paused.
    pub fn extend_timeouts(&self, pause: Span, now: Moment) {
        self.members.retain(|_, member| {
            member.unanswered_since = member.unanswered_since.map(|at| now.min(at + pause));
            member.contact.extend(pause, now);
            true
        });
    }

    /// Returns the version of the evidence about lost flows. It increases when a member joins or
    /// restarts, when an entry is announced that is not listed, when a member answers that may have
    /// been left out of a verdict for its silence, to this process or through another member, and
    /// when this process itself was suspended or isolated.
    pub fn evidence_version(&self) -> EvidenceVersion {
        EvidenceVersion::new(self.evidence_version.load(Ordering::Relaxed))
    }

    fn record_new_evidence(&self) {
        self.evidence_version.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the numbers of members by their latest answer, without those that have left.
    pub fn answer_counts(&self, now: Moment) -> AnswerCounts {
        self.members.fold(AnswerCounts::default(), |mut counts, _, member| {
            if member.has_left(now) {
                return counts;
            }
            counts.add(member.timeliness(now));
            counts
        })
    }

    /// Returns the silence after which a member counts as lost, or `None` if silence is no evidence
    /// against a member. It is none while the link of this process is congested or cut: then the
    /// silence of a running member is as likely as that of one that has failed. It is called several
    /// times a second, since it also keeps the history of the path.
    pub fn loss_timeout(&self, now: Moment) -> Option<Span> {
        self.path.loss_timeout(self.answer_counts(now), now)
    }

    /// Removes and returns the members that are neither listed nor answering. A member stays while
    /// its silence is not conclusive, since searches rely on the pool to know every possible owner.
    pub fn expire(&self, now: Moment) -> Vec<AgentId> {
        let mut removed = Vec::new();
        let loss_timeout = self.loss_timeout(now);
        self.members.retain(|_, member| {
            let is_unlisted =
                member.unlisted_since.is_some_and(|at| now.since(at) >= UNLISTED_GRACE_PERIOD);
            let is_silent = loss_timeout.is_some_and(|span| member.is_silent_to_all(span, now))
                && (member.has_ended() || !member.may_restart(now));
            let is_kept = !is_unlisted || !is_silent;
            if !is_kept {
                removed.push(member.entry.agent_id);
            }
            is_kept
        });
        let mut members_by_service =
            self.members_by_service.write().unwrap_or_else(PoisonError::into_inner);
        for agent_id in &removed {
            members_by_service.values_mut().for_each(|ring| ring.remove(agent_id.instance));
        }
        removed
    }

    /// Compares the members of each service by the failures that they report, and updates the part
    /// of the flows that each one gets. It is called several times a second.
    pub fn review_outliers(&self, now: Moment) -> Vec<outlier::Change> {
        if !self.requirements.health {
            return Vec::new();
        }
        let mut services: HashMap<Target, Vec<outlier::Peer>> = HashMap::new();
        self.for_each(|member| {
            // A member that is out of reach adds no capacity and reports nothing.
            if member.reachability(now) == Reachability::Good
                && let Some(peer) = member.peer()
            {
                services.entry(member.entry.target).or_default().push(peer);
            }
        });
        let mut changes = Vec::new();
        for peers in services.values_mut() {
            changes.extend(outlier::review(peers, now));
        }
        for change in &changes {
            self.update_member(change.instance, |member| member.standing = change.standing);
        }
        changes
    }

    /// Returns a copy of a member.
    pub fn get(&self, instance: Instance) -> Option<Member> {
        self.members.get(&instance)
    }

    /// Calls `visit` for each member.
    pub fn for_each(&self, mut visit: impl FnMut(&Member)) {
        self.members.fold((), |(), _, member| visit(member));
    }

    /// Returns true if there are members and all of them count as lost, which means that this
    /// process itself is isolated.
    pub fn is_isolated(&self, now: Moment) -> bool {
        let ReachabilityCounts { good, suspect, lost } = self.count_by_reachability(now);
        lost > 0 && good + suspect == 0
    }

    /// Returns the number of members of each reachability.
    pub fn count_by_reachability(&self, now: Moment) -> ReachabilityCounts {
        self.members.fold(ReachabilityCounts::default(), |mut counts, _, member| {
            match member.reachability(now) {
                Reachability::Good => counts.good += 1,
                Reachability::Suspect => counts.suspect += 1,
                Reachability::Lost => counts.lost += 1,
            }
            counts
        })
    }

    /// Returns the time for which a member has owed an answer, or `None` if it owes none.
    pub fn unanswered_time(&self, instance: Instance, now: Moment) -> Option<Span> {
        let since = self.members.read(&instance, |member| member.and_then(|m| m.unanswered_since));
        since.map(|since| now.since(since))
    }

    /// Returns what the indirect pings of a member have shown since its last message.
    pub fn indirect_report(&self, instance: Instance, now: Moment) -> Report {
        let report = |member: Option<&Member>| member.map(|member| member.indirect_report(now));
        self.members.read(&instance, report).unwrap_or_default()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns true if there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn update_member(&self, instance: Instance, update: impl FnOnce(&mut Member)) {
        self.members.update(instance, |slot| {
            if let Some(member) = slot {
                update(member);
            }
        });
    }
}
