//! The messages that tell agents the limits of their services, which the configuration holds.

use {
    super::{Controllers, chain},
    crate::platform::Platform,
    yuccacroft_core::{ids::Instance, pool::Member, time::Span},
};

impl<P: Platform> Controllers<P> {
    /// Tells an agent that has joined the limits of its service, before it is offered a flow.
    pub(super) fn send_limits_to(&self, instance: Instance) {
        self.send_limits(|member| member.entry.agent_id.instance == instance);
    }

    /// Tells all agents the limits of their services after a change of the configuration.
    pub(super) fn send_limits_to_all(&self) {
        self.send_limits(|_| true);
    }

    /// Sends the limits again to all agents whose new flows may be limited now, since messages may be
    /// lost and agents may have restarted.
    pub(super) fn repeat_limits(&self) {
        let now = self.relay.clock.now();
        let Some(routes) = chain::current_routes(&self.relay.current_routes) else { return };
        self.send_limits(|member| {
            let is_warming_up = member.load(now).is_some_and(|(load, _)| load.warmup > Span::ZERO);
            is_warming_up || routes.limits(member.entry.target).warmup_rate.is_some()
        });
    }

    fn send_limits(&self, is_receiver: impl Fn(&Member) -> bool) {
        if !self.relay.pool.requirements().places {
            return;
        }
        let Some(routes) = chain::current_routes(&self.relay.current_routes) else { return };
        let mut receivers = Vec::new();
        self.relay.pool.for_each(|member| {
            if is_receiver(member) {
                let limits = routes.limits(member.entry.target);
                receivers.push((member.entry.agent_id.instance, limits));
            }
        });
        for (instance, limits) in receivers {
            self.relay.send_limits(instance, limits);
        }
    }
}
