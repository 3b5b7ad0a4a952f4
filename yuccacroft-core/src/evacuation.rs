//! The evacuation of failure domains: operators ask that no new flow goes to the upstreams of a domain.
//!
//! Balancers read from the store which domains are evacuated ([`Evacuations`]) and avoid their
//! members. They tell the agents of these domains ([`Notice`]), which decide about each flow
//! ([`Status`]). See `docs/design/evacuation.md`.

use {
    crate::{
        ids::{Domain, Revision},
        time::Moment,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// What a balancer tells an agent about the evacuation of the agent's failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The revision of the store that the notice rests on. A later one replaces it.
    pub revision: Revision,
    /// Whether the domain is evacuated.
    pub is_evacuated: bool,
}

/// A change of the evacuation of one domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The domain.
    pub domain: Domain,
    /// Whether the domain is evacuated now.
    pub is_evacuated: bool,
}

/// The evacuated domains, as a balancer knows them from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// The revision up to which all changes are known.
    revision: Revision,
    /// The evacuated domains, and when this process learned of each evacuation.
    domains: BTreeMap<Domain, Moment>,
}

/// What an agent knows of the evacuation of its own domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    notice: Option<Notice>,
    since: Option<Moment>,
}

impl Evacuations {
    /// Replaces the evacuated domains by a complete listing at this revision, and returns the
    /// changes. A listing at an earlier revision than the known one is ignored.
    pub fn apply_listing(
        &mut self,
        listed: BTreeSet<Domain>,
        revision: Revision,
        now: Moment,
    ) -> Vec<Change> {
        let taken_back: Vec<Domain> =
            self.domains.keys().filter(|domain| !listed.contains(domain)).cloned().collect();
        self.apply_changes(listed, taken_back, revision, now)
    }

    /// Applies the evacuations that were written and taken back up to this revision, and returns the
    /// changes. Changes up to an earlier revision than the known one are ignored.
    pub fn apply_changes(
        &mut self,
        written: impl IntoIterator<Item = Domain>,
        taken_back: impl IntoIterator<Item = Domain>,
        revision: Revision,
        now: Moment,
    ) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let mut changes = Vec::new();
        for domain in taken_back {
            if self.domains.remove(&domain).is_some() {
                changes.push(Change { domain, is_evacuated: false });
            }
        }
        for domain in written {
            if !self.domains.contains_key(&domain) {
                self.domains.insert(domain.clone(), now);
                changes.push(Change { domain, is_evacuated: true });
            }
        }
        changes
    }

    /// Returns true if the domain is evacuated.
    pub fn contains(&self, domain: &Domain) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns what the agents of a domain are told.
    pub fn notice(&self, domain: &Domain) -> Notice {
        Notice { revision: self.revision, is_evacuated: self.contains(domain) }
    }

    /// Returns the evacuated domains, and when this process learned of each evacuation.
    pub fn iter(&self) -> impl Iterator<Item = (&Domain, Moment)> {
        self.domains.iter().map(|(domain, since)| (domain, *since))
    }

    /// Returns the number of evacuated domains.
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Returns true if no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }
}

impl Status {
    /// Records a notice. Returns true if it begins or ends the evacuation. A notice that rests on an
    /// earlier revision than the last one is ignored, since balancers learn of changes at different
    /// times.
    pub fn record(&mut self, notice: Notice, now: Moment) -> bool {
        if self.notice.is_some_and(|last| notice.revision < last.revision) {
            return false;
        }
        let has_changed = notice.is_evacuated != self.is_evacuated();
        if has_changed {
            self.since = notice.is_evacuated.then_some(now);
        }
        self.notice = Some(notice);
        has_changed
    }

    /// Returns true if the domain is evacuated, as far as balancers have told.
    pub fn is_evacuated(&self) -> bool {
        self.since.is_some()
    }

    /// Returns when the agent learned of the evacuation, or `None` if there is none.
    pub fn since(&self) -> Option<Moment> {
        self.since
    }
}
