//! The controller of the spill-over between failure domains: it updates the decisions of the pool and
//! shows them in metrics and logs.

use {
    super::{chain::current_routes, relay::Relay},
    crate::host::Socket,
    slog::{Logger, info},
    std::collections::{HashMap, HashSet},
    yuccacroft_core::{
        route::{RoutingTable, Target},
        segment::Format,
        spill_over::{Plan, Share, Terms},
        time::{Moment, Span},
    },
};

/// Metric: share of the new flows of a service that this balancer sends to other failure domains, in
/// thousandths, labelled with the service and the failure domain of the balancer.
const SHARE_METRIC: &str = "yuccacroft_balancer_spill_over_share";

impl<F: Format, S: Socket> Relay<F, S> {
    /// Updates the decisions, where the requirements of the deployment ask for them.
    pub fn update_spill_over(&self, now: Moment) {
        if !self.pool.requirements().health {
            return;
        }
        let Some(routes) = current_routes(&self.current_routes) else { return };
        let terms = terms(&routes, self.crossing_price());
        let previous = self.pool.update_spill_over(self.domain(), &terms, now);
        let plans = self.pool.spill_over_plans();
        let targets: HashSet<&Target> = previous.keys().chain(plans.keys()).collect();
        for target in targets {
            let plan = plans.get(target).cloned().unwrap_or_default();
            let before = previous.get(target).map_or(Share::default(), |plan| plan.share);
            let labels = [("service", target.to_string()), ("domain", self.domain().to_string())];
            metrics::gauge!(SHARE_METRIC, &labels).set(f64::from(plan.share.get()));
            log_change(self.flow_log.log(), target, before, &plan);
        }
    }
}

/// Returns the terms of each service with routes. Of several routes the strictest objective counts.
fn terms(routes: &RoutingTable, crossing_price: Span) -> HashMap<Target, Terms> {
    let mut terms: HashMap<Target, Terms> = HashMap::new();
    for route in routes.routes() {
        let objective = route.class.objective;
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let known = terms.entry(share.target).or_insert(Terms { objective, crossing_price });
            known.objective = known.objective.min(objective);
        }
    }
    terms
}

/// Logs when a service begins or ceases to send flows out, and why.
fn log_change(log: &Logger, target: &Target, before: Share, plan: &Plan) {
    let (was_sending, is_sending) = (before.get() > 0, plan.share.get() > 0);
    if was_sending == is_sending {
        return;
    }
    let text = |span: Option<Span>| span.map(|span| span.to_string());
    let receivers: Vec<&str> = plan.receivers.iter().map(|domain| domain.as_str()).collect();
    info!(log, "spill-over changed"; "service" => %target, "sending" => is_sending,
        "home_wait" => text(plan.inputs.home_wait), "remote_wait" => text(plan.inputs.remote_wait),
        "home_utilization" => format!("{:.2}", plan.inputs.home_utilization),
        "room" => format!("{:.1}", plan.inputs.room), "receivers" => receivers.join(","));
}
