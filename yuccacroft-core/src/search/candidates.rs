//! The members of a balancer as candidates for the owner of a flow.

use {
    super::{SearchCandidate, Wave},
    crate::{flow::FlowKey, pool::Pool, route::Target, time::Moment},
};

/// Returns the members of the pool as candidates for the owner of a flow, whose address has a route
/// to `target`.
pub fn list_candidates(
    pool: &Pool,
    target: Option<Target>,
    key: FlowKey,
    now: Moment,
) -> Box<[SearchCandidate]> {
    let likely = target.map_or_else(Vec::new, |target| pool.likely_owners(target, key));
    let loss_timeout = pool.loss_timeout(now);
    let mut candidates = Vec::with_capacity(pool.len());
    pool.for_each(|member| {
        let agent_id = member.entry.agent_id;
        let wave = match target {
            Some(_) if likely.contains(&agent_id.instance) => Wave::Likely,
            Some(target) if member.entry.target != target => Wave::Other,
            _ => Wave::Service,
        };
        candidates.push(SearchCandidate {
            agent_id,
            lost: member.is_lost(loss_timeout, now),
            absent: loss_timeout.is_some() && member.is_absent(now),
            restarted: member.has_restarted(),
            wave,
            unanswered_since: member.unanswered_since(),
            answered_at: member.answered_at().filter(|_| pool.requirements().health),
        });
    });
    candidates.into()
}
