//! Detection of the loss of a whole failure domain.
//!
//! Two balancers outside of the domain, chosen by rendezvous hashing, collect the reports of the
//! registrars about their members in it. A single registrar observes too few members to decide.

use {
    super::super::Outage,
    crate::{
        ids::{Domain, Instance},
        time::{Moment, Span},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Time after which a report expires. Registrars repeat a report earlier while it remains true.
const REPORT_LIFETIME: Span = Span::from_secs(15);

/// The observation of a registrar about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The address of the member.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether the member announces itself to the registrar.
    pub alive: bool,
}

/// The unexpired reports of an outage detector by failure domain.
#[derive(Clone, Debug, Default)]
pub struct OutageDetector {
    domains: BTreeMap<Domain, BTreeMap<Instance, (bool, Moment)>>,
}

impl OutageDetector {
    /// Stores reports, drops expired ones and returns the failure domains that the reports concern.
    pub fn add_reports(&mut self, reports: &[MemberReport], now: Moment) -> BTreeSet<Domain> {
        let mut concerned = BTreeSet::new();
        for report in reports {
            let reports_by_member = self.domains.entry(report.domain.clone()).or_default();
            reports_by_member.insert(report.instance, (report.alive, now));
            concerned.insert(report.domain.clone());
        }
        for domain in &concerned {
            if let Some(reports_by_member) = self.domains.get_mut(domain) {
                reports_by_member.retain(|_, (_, at)| now.since(*at) < REPORT_LIFETIME);
            }
        }
        concerned
    }

    /// Returns the next state of a failure domain with `members` sampled members if it changes. The
    /// domain is lost when at least half of them are silent, and restored when at least half are
    /// alive.
    pub fn decide(&self, domain: &Domain, members: usize, epoch: u64) -> Option<Outage> {
        let reports_by_member = self.domains.get(domain)?;
        let alive = reports_by_member.values().filter(|(alive, _)| *alive).count();
        let silent = reports_by_member.len() - alive;
        let outage = Outage { domain: domain.clone(), epoch };
        let has_changed =
            if outage.is_lost() { alive * 2 >= members } else { silent * 2 >= members };
        (has_changed && members > 0).then(|| Outage { epoch: epoch + 1, ..outage })
    }

    /// Removes the reports about a domain whose state has changed.
    pub fn remove_reports(&mut self, domain: &Domain) {
        self.domains.remove(domain);
    }
}
