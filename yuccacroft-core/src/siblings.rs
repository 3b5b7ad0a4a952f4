//! The agents of one service as one of them sees them: which are listed, which send messages, and
//! for which keys it is a home that knows all owners.
//!
//! A missing entry is evidence that a flow has no owner only at a home to which every agent of the
//! service has published for long enough. `docs/flows.md` describes the rule.

use {
    crate::{
        flow::{AgentId, FlowKey},
        ids::Incarnation,
        placement::{Candidate, Homes, Tenure},
        time::{Moment, Span},
        units::Weight,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Bound,
        sync::Arc,
    },
};

/// Time between two publications of the flows in use; a third of the time for which a home keeps an
/// entry.
const PUBLISH_INTERVAL: Span = Span::from_secs(20);
/// Longest time between two publications of an agent that a home gets without interruption. It
/// allows for the loss of one.
const MAX_PUBLICATION_GAP: Span = Span::from_secs(45);
/// Time for which a home has to hear the publications of an agent to know all of its flows: an
/// owner keeps a flow for 60 s after its last packet, and publishes it within the interval after
/// that packet.
const COMPLETE_AFTER: Span = Span::from_secs(80);
/// Age of the list of siblings up to which it shows all members. Agents announce themselves every
/// 2 s and get the list in return.
const LISTING_TTL: Span = Span::from_secs(10);
/// Age of the last recorded message up to which further ones need not be recorded, so that most
/// messages need no write lock.
const REFRESH_AGE: Span = Span::from_secs(1);
/// Time without a listing after which an agent that does not answer counts as gone. A balancer that
/// has just started lists only a part of the members for a few seconds.
const ABSENCE_TIMEOUT: Span = Span::from_secs(15);
/// Time between two queries to an unlisted agent.
const QUERY_INTERVAL: Span = Span::from_secs(4);
/// Number of consecutive unanswered queries after which an unlisted agent counts as silent. With
/// fewer, packet loss would look like a dead agent.
const MIN_QUERIES: u32 = 3;
/// Number of listed siblings that are queried together with unlisted ones. More than one, since the
/// first may just have died.
const MAX_CONTROLS: usize = 2;
/// Time for which an unlisted agent is remembered. It is longer than most outages of the network,
/// after which the agent may return with its flows.
const RETENTION: Span = Span::from_secs(600);

/// The agents of a service that one agent knows.
#[derive(Debug)]
pub struct Siblings {
    own: AgentId,
    listed: BTreeSet<AgentId>,
    listed_at: Option<Moment>,
    contacts: BTreeMap<AgentId, Contact>,
    homes: Arc<Homes>,
    tenure: Tenure,
    published_at: Moment,
}

/// The messages that a new list of siblings requires.
#[derive(Clone, Debug)]
pub struct Update {
    /// The homes that have been published to.
    pub before: Arc<Homes>,
    /// The homes of the present members.
    pub after: Arc<Homes>,
    /// Flows that were used at this time or later are published to the homes of `after` that are
    /// not in `before`.
    pub since: Moment,
    /// The siblings that get the regular publication; none while it is not due.
    pub publish_to: Vec<AgentId>,
    /// Agents to query: unlisted ones, whose answer shows that they live, and a few others.
    pub queries: Vec<AgentId>,
}

/// What is known of one sibling.
#[derive(Clone, Copy, Debug)]
struct Contact {
    last_listed: Moment,
    last_heard: Option<Moment>,
    publications: Option<Publications>,
    queries: Queries,
}

/// An uninterrupted series of publications.
#[derive(Clone, Copy, Debug)]
struct Publications {
    first: Moment,
    last: Moment,
}

/// Consecutive queries to an unlisted agent since its last message.
#[derive(Clone, Copy, Debug, Default)]
struct Queries {
    count: u32,
    last: Moment,
}

impl Siblings {
    /// Creates the view of an agent that knows no siblings.
    pub fn new(own: AgentId) -> Self {
        Self {
            own,
            listed: BTreeSet::new(),
            listed_at: None,
            contacts: BTreeMap::new(),
            homes: Arc::default(),
            tenure: Tenure::new(own),
            published_at: Moment::default(),
        }
    }

    /// Sets the siblings that balancers list.
    pub fn update(&mut self, siblings: &[AgentId], now: Moment) -> Update {
        let mut listed: BTreeSet<AgentId> = siblings.iter().copied().collect();
        listed.remove(&self.own);
        for &agent_id in &listed {
            let contact = self.contact(agent_id, now);
            contact.last_listed = now;
            contact.queries = Queries::default();
        }
        self.contacts.retain(|_, contact| now.since(contact.last_listed) < RETENTION);
        let before = self.homes.clone();
        let is_first = self.homes.is_empty();
        let is_changed = is_first || listed != self.listed;
        if is_changed {
            self.replace_homes(&listed, now);
        }
        self.listed = listed;
        self.listed_at = Some(now);
        let queries = self.due_queries(now);
        Update { queries, ..self.publication(before, is_changed, now) }
    }

    /// Returns the publications that are due while no balancer answers. The present siblings stay,
    /// and no agent is taken for gone.
    pub fn keep(&mut self, now: Moment) -> Update {
        self.publication(self.homes.clone(), false, now)
    }

    fn publication(&mut self, before: Arc<Homes>, is_changed: bool, now: Moment) -> Update {
        let after = self.homes.clone();
        let since = if is_changed { Moment::default() } else { self.published_at };
        if now.since(self.published_at) < PUBLISH_INTERVAL {
            return Update { before, after, since, publish_to: Vec::new(), queries: Vec::new() };
        }
        self.published_at = now;
        let publish_to = self.listed.iter().copied().collect();
        Update { before: Arc::default(), after, since, publish_to, queries: Vec::new() }
    }

    /// Returns false if the last message of a sibling was recorded a short time ago.
    pub fn needs_record(&self, from: AgentId, now: Moment) -> bool {
        let last_heard = self.contacts.get(&from).and_then(|contact| contact.last_heard);
        let is_recent = last_heard.is_some_and(|at| now.since(at) < REFRESH_AGE);
        !is_recent || self.contacts.get(&from).is_some_and(|contact| contact.queries.count > 0)
    }

    /// Records a message of a sibling.
    pub fn record_message(&mut self, from: AgentId, now: Moment) {
        let contact = self.contact(from, now);
        contact.last_heard = Some(now);
        contact.queries = Queries::default();
    }

    /// Records a publication of a sibling.
    pub fn record_publication(&mut self, from: AgentId, now: Moment) {
        let contact = self.contact(from, now);
        let series = contact.publications.filter(|series| series.is_current(now));
        let first = series.map_or(now, |series| series.first);
        contact.publications = Some(Publications { first, last: now });
    }

    /// Returns true if this agent is a home of the key and knows its owner, if there is one: it has
    /// been a home and has received the publications of all agents for long enough, and balancers have
    /// listed the agents recently. An agent that is silent may own the flow, whether balancers list
    /// it or not.
    pub fn is_complete(&self, key: FlowKey, now: Moment) -> bool {
        let has_lasted = |since: Moment| now.since(since) >= COMPLETE_AFTER;
        let publishes = |contact: &Contact| {
            contact
                .publications
                .is_some_and(|series| series.is_current(now) && has_lasted(series.first))
        };
        self.listed_at.is_some_and(|at| now.since(at) <= LISTING_TTL)
            && self.tenure.since(key).is_some_and(has_lasted)
            && self
                .contacts
                .iter()
                .all(|(agent_id, contact)| self.is_replaced(*agent_id) || publishes(contact))
    }

    /// Returns true for an agent that has ended: a later process runs at its address, or balancers
    /// no longer list it and it leaves queries unanswered while another sibling answers. Balancers
    /// alone may merely be cut off from it.
    pub fn is_gone(&self, agent_id: AgentId, now: Moment) -> bool {
        if self.is_replaced(agent_id) {
            return true;
        }
        // An agent that was never listed may have just joined.
        let Some(contact) = self.contacts.get(&agent_id) else { return false };
        let queries = contact.queries;
        let is_silent = queries.count >= MIN_QUERIES
            && now > queries.last
            && self.hears_others_since(queries.last);
        let is_unlisted = now.since(contact.last_listed) > ABSENCE_TIMEOUT;
        is_unlisted && is_silent
    }

    /// Returns true if a listed sibling sent a message at `since` or later, or if none is listed. Without
    /// that, this agent may be the one that is cut off.
    fn hears_others_since(&self, since: Moment) -> bool {
        let mut contacts = self.listed.iter().filter_map(|agent_id| self.contacts.get(agent_id));
        self.listed.is_empty()
            || contacts.any(|contact| contact.last_heard.is_some_and(|at| at >= since))
    }

    fn contact(&mut self, agent_id: AgentId, now: Moment) -> &mut Contact {
        self.contacts.entry(agent_id).or_insert(Contact {
            last_listed: now,
            last_heard: None,
            publications: None,
            queries: Queries::default(),
        })
    }

    /// Returns true if a later process is known at the address of an agent.
    fn is_replaced(&self, agent_id: AgentId) -> bool {
        let last = AgentId { incarnation: Incarnation::new(u64::MAX), ..agent_id };
        let later = (Bound::Excluded(agent_id), Bound::Included(last));
        self.contacts.range(later).next().is_some()
    }

    fn replace_homes(&mut self, listed: &BTreeSet<AgentId>, now: Moment) {
        let weight = Weight::new(1);
        let members = listed.iter().copied().chain([self.own]);
        let members: Vec<_> = members.map(|agent_id| Candidate { agent_id, weight }).collect();
        self.homes = Arc::new(Homes::new(&members));
        self.tenure.update(&self.homes, now);
    }

    /// Returns the unlisted agents whose query is due. A few listed ones are queried with them:
    /// their answer shows that this agent is not cut off itself.
    fn due_queries(&mut self, now: Moment) -> Vec<AgentId> {
        let unlisted = self.contacts.keys().copied();
        let unlisted = unlisted
            .filter(|agent_id| !self.listed.contains(agent_id) && !self.is_replaced(*agent_id));
        let mut queries: Vec<_> = unlisted.collect();
        queries.retain(|agent_id| self.start_query(*agent_id, now));
        if !queries.is_empty() {
            queries.extend(self.listed.iter().take(MAX_CONTROLS));
        }
        queries
    }

    /// Counts a query to an agent and returns true, if one is due. A query is no evidence if no
    /// other agent sent a message after it.
    fn start_query(&mut self, agent_id: AgentId, now: Moment) -> bool {
        let Some(queries) = self.contacts.get(&agent_id).map(|contact| contact.queries) else {
            return false;
        };
        if queries.count > 0 && now.since(queries.last) < QUERY_INTERVAL {
            return false;
        }
        let is_evident = queries.count > 0 && self.hears_others_since(queries.last);
        let count = if is_evident { queries.count.saturating_add(1) } else { 1 };
        self.contact(agent_id, now).queries = Queries { count, last: now };
        true
    }
}

impl Publications {
    /// Returns true unless the next publication is overdue.
    fn is_current(self, now: Moment) -> bool {
        now.since(self.last) <= MAX_PUBLICATION_GAP
    }
}
