//! The messages that tell agents the failure domain of the balancer, by which they group outcomes.

use {
    super::Controllers,
    crate::platform::Platform,
    yuccacroft_core::time::{Moment, Span},
};

/// Time within which each agent is told again, in seconds. Messages may be lost.
const REPEAT_SECONDS: u64 = 8;

impl<P: Platform> Controllers<P> {
    /// Tells a part of the agents again, so that all have been told within [`REPEAT_SECONDS`]. It is
    /// called once a second.
    pub(super) fn repeat_home(&self, now: Moment) {
        if !self.relay.pool.requirements().health {
            return;
        }
        let second = now.since(Moment::default()).as_micros() / Span::from_secs(1).as_micros();
        let mut due = Vec::new();
        self.relay.pool.for_each(|member| {
            let instance = member.entry.agent_id.instance;
            let turn = u64::from(instance.address().ip().to_bits()) % REPEAT_SECONDS;
            if turn == second % REPEAT_SECONDS {
                due.push(instance);
            }
        });
        due.into_iter().for_each(|instance| self.relay.send_home(instance));
    }
}
