//! The decision whether a whole failure domain is lost.
//!
//! Two balancers outside of the domain, chosen by rendezvous hashing, collect what registrars
//! report of their members in it. A registrar alone sees too few of them.

use {
    super::super::Outage,
    crate::{
        ids::{Domain, Instance},
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// A report counts for this long; registrars repeat it earlier while it holds.
const REPORT_LIFE: Span = Span::from_secs(15);

/// What a registrar knows of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The member.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether the registrar hears from it.
    pub alive: bool,
}

/// The reports that a judge has.
#[derive(Clone, Debug, Default)]
pub struct OutageDetector {
    domains: BTreeMap<Domain, BTreeMap<Instance, (bool, Moment)>>,
}

impl OutageDetector {
    /// Takes reports and returns the failure domains that they concern.
    pub fn note(&mut self, reports: &[Report], now: Moment) -> BTreeSet<Domain> {
        let mut concerned = BTreeSet::new();
        for report in reports {
            let known = self.domains.entry(report.domain.clone()).or_default();
            known.insert(report.instance, (report.alive, now));
            concerned.insert(report.domain.clone());
        }
        for domain in &concerned {
            if let Some(known) = self.domains.get_mut(domain) {
                known.retain(|_, (_, at)| now.since(*at) < REPORT_LIFE);
            }
        }
        concerned
    }

    /// Decides on a domain with a number of members. Half of them silent means that it is lost,
    /// half of them heard that it is back.
    pub fn decide(&self, domain: &Domain, members: usize, epoch: u64) -> Option<Outage> {
        let known = self.domains.get(domain)?;
        let alive = known.values().filter(|(alive, _)| *alive).count();
        let silent = known.len() - alive;
        let outage = Outage { domain: domain.clone(), epoch };
        let turned = if outage.is_lost() { alive * 2 >= members } else { silent * 2 >= members };
        (turned && members > 0).then(|| Outage { epoch: epoch + 1, ..outage })
    }

    /// Drops the reports of a domain whose state has changed.
    pub fn forget(&mut self, domain: &Domain) {
        self.domains.remove(domain);
    }
}
