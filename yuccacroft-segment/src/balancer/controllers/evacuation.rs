//! The evacuations that operators request in the store, and the notices to agents about them.

use {
    super::Controllers,
    crate::platform::Platform,
    slog::info,
    std::collections::{BTreeMap, BTreeSet},
    yuccacroft_core::{
        evacuation::{Change, Evacuations},
        ids::{Domain, Instance},
        time::{Moment, Span},
    },
    yuccacroft_store::store::{Changes, KeyValue, Listing, Unreadable},
};

/// Metric: number of evacuated failure domains.
const EVACUATED_DOMAINS_METRIC: &str = "yuccacroft_balancer_evacuated_domains";

impl<P: Platform> Controllers<P> {
    /// Returns the prefix of the keys to watch for the configuration. It includes those of evacuations
    /// where the deployment requires them, so that they cost no further calls.
    pub(super) fn configuration_prefix(&self) -> &'static str {
        if self.relay.pool.requirements().places {
            self.platform.operator_prefix()
        } else {
            self.platform.config_key()
        }
    }

    /// Applies a complete listing: a domain that it lacks is not evacuated any more.
    pub(super) fn apply_listed_evacuations(&self, listing: &Listing) {
        let now = self.relay.clock.now();
        let listed = self.evacuated_domains(&listing.items, &listing.unreadable);
        self.update_evacuations(|evacuations| {
            evacuations.apply_listing(listed, listing.revision, now)
        });
    }

    /// Applies the evacuations that were requested or taken back since the last call.
    pub(super) fn apply_changed_evacuations(&self, changes: &Changes) {
        let now = self.relay.clock.now();
        let written = self.evacuated_domains(&changes.items, &changes.unreadable);
        let removed = changes.removed.iter();
        let taken_back: Vec<Domain> =
            removed.filter_map(|key| self.platform.evacuated_domain(key)).collect();
        self.update_evacuations(|evacuations| {
            evacuations.apply_changes(written, taken_back, changes.revision, now)
        });
    }

    /// Sends all due notices again, since messages may be lost and agents may have restarted.
    pub(super) fn repeat_notices(&self) {
        if self.relay.pool.requirements().places {
            self.relay.send_notices(self.relay.pool.evacuation_notices());
        }
    }

    /// Tells an agent that has joined that its domain is evacuated, before it is offered a flow.
    pub(super) fn notify_if_evacuated(&self, instance: Instance) {
        let Some(member) = self.relay.pool.get(instance) else { return };
        let notice = self.relay.pool.evacuations().notice(&member.entry.domain);
        if notice.is_evacuated {
            self.relay.send_notices([(instance, notice)]);
        }
    }

    /// Returns the evacuated domains, with the time since this process learned of each.
    pub(super) fn evacuated_times(&self, now: Moment) -> BTreeMap<Domain, Span> {
        let evacuations = self.relay.pool.evacuations();
        evacuations.iter().map(|(domain, since)| (domain.clone(), now.since(since))).collect()
    }

    /// Updates the gauge of evacuated domains, where the deployment requires it.
    pub(super) fn update_evacuation_gauge(&self) {
        if self.relay.pool.requirements().places {
            let count = self.relay.pool.evacuations().len();
            metrics::gauge!(EVACUATED_DOMAINS_METRIC).set(count as f64);
        }
    }

    fn evacuated_domains(&self, items: &[KeyValue], unreadable: &[Unreadable]) -> BTreeSet<Domain> {
        // The key alone counts, so an evacuation whose value cannot be read is in force.
        let keys = items.iter().map(|item| &item.key);
        let keys = keys.chain(unreadable.iter().map(|item| &item.key));
        keys.filter_map(|key| self.platform.evacuated_domain(key)).collect()
    }

    /// Changes the evacuations and tells the agents of the domains whose state has changed.
    fn update_evacuations(&self, change: impl FnOnce(&mut Evacuations) -> Vec<Change>) {
        let pool = &self.relay.pool;
        if !pool.requirements().places {
            return;
        }
        for Change { domain, is_evacuated } in pool.update_evacuations(change) {
            let notice = pool.evacuations().notice(&domain);
            info!(self.relay.flow_log.log(), "evacuation changed"; "domain" => %domain,
                "evacuated" => is_evacuated, "revision" => %notice.revision);
            let mut members = Vec::new();
            pool.for_each(|member| {
                if member.entry.domain == domain {
                    members.push((member.entry.agent_id.instance, notice));
                }
            });
            self.relay.send_notices(members);
        }
    }
}
