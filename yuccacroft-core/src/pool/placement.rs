//! The choice of members for a new flow and for the search of an open one.

use {
    super::{
        Member, Pool, Reachability,
        cost::{Cost, Exclusion, Viewpoint},
        supply::{DomainOrder, Rank},
    },
    crate::{
        flow::FlowKey,
        handshake::MAX_LATE_HOPS,
        ids::{Domain, Instance},
        route::Target,
        spill_over::Plan,
        time::{Moment, Span},
    },
    std::sync::PoisonError,
};

/// Number of members that one choice compares, so that its cost does not grow with the size of the
/// service.
pub(super) const PLACEMENT_WINDOW: usize = 16;
/// Limit of members that one choice looks at to find those that take flows. It bounds the cost while
/// nearly all members of a large service take none.
const MAX_PLACEMENT_SCAN: usize = 1_024;
/// Number of members that a search queries first: those that the flow may have been placed at, and
/// some that have joined since.
pub const SEARCH_WINDOW: usize = 20;

/// Number of members on the other side of a plan that a flow may be passed on to before the rest of
/// its own side.
const OTHER_SIDE_CANDIDATES: usize = 2;

/// The order of members for one flow: reachability, side of the plan and cost.
pub(super) type MemberRank = (Reachability, Rank, Span);

impl Pool {
    /// Returns up to `count` members of a service for a new flow, by ascending cost. Members that
    /// may be unreachable come last. With a plan for the service those come first that are on the
    /// side to which the plan sends the flow, see [`spill_over`](crate::spill_over). It compares the
    /// members that take flows and follow the key on the ring of the service.
    pub fn choose(
        &self,
        target: Target,
        domain: &Domain,
        key: FlowKey,
        count: usize,
        now: Moment,
    ) -> Vec<Instance> {
        let plans = self.spill_over.plans();
        let members = self.rank(target, domain, key, plans.get(&target), now, |_, _| ());
        members.into_iter().map(|(_, instance)| instance).take(count).collect()
    }

    /// Returns the members that a new flow may be offered to, in order. `record` gets the cost of
    /// each member that was looked at, or why it was left out.
    pub(super) fn rank(
        &self,
        target: Target,
        domain: &Domain,
        key: FlowKey,
        plan: Option<&Plan>,
        now: Moment,
        mut record: impl FnMut(&Member, Result<Cost, Exclusion>),
    ) -> Vec<(MemberRank, Instance)> {
        let viewpoint = Viewpoint { domain, key, now, is_spill_over_planned: plan.is_some() };
        let order = DomainOrder::new(plan, key);
        let mut costs = Vec::with_capacity(PLACEMENT_WINDOW);
        for skipped in (0..MAX_PLACEMENT_SCAN).step_by(PLACEMENT_WINDOW) {
            let window = self.window(target, key, skipped, PLACEMENT_WINDOW);
            let is_last = window.len() < PLACEMENT_WINDOW;
            costs.extend(window.into_iter().filter_map(|instance| {
                let cost = |member: &Member| {
                    let cost = member.cost(&viewpoint);
                    record(member, cost);
                    let rank = order.rank(&member.entry.domain, domain);
                    Some((member.reachability(now), rank, cost.ok()?.total()))
                };
                // The address may have been reused for another service.
                let serves_target = |member: &&Member| member.entry.target == target;
                Some((
                    self.members.read(&instance, |m| m.filter(serves_target).and_then(cost))?,
                    instance,
                ))
            }));
            // Members on the other side of a plan take the flow only if none on its side does.
            let compared = costs.iter().filter(|((_, rank, _), _)| *rank == Rank::First).count();
            if is_last || compared >= PLACEMENT_WINDOW {
                break;
            }
        }
        if plan.is_none() {
            costs.truncate(PLACEMENT_WINDOW);
        }
        costs.sort_unstable();
        if plan.is_some() {
            advance_other_side(&mut costs);
        }
        costs
    }

    /// Returns the members of a service that own the flow of this key if none of them has joined or
    /// left lately. Where flows are kept in their failure domain, these are the members at home: their
    /// number is a fraction of the service's, and after a restart of all agents each costs a probe.
    pub fn likely_owners(&self, target: Target, key: FlowKey) -> Vec<Instance> {
        let at_home = self.home.as_ref().map(|home| self.members_at_home(target, key, home));
        at_home
            .filter(|members| !members.is_empty())
            .unwrap_or_else(|| self.window(target, key, 0, SEARCH_WINDOW))
    }

    fn members_at_home(&self, target: Target, key: FlowKey, home: &Domain) -> Vec<Instance> {
        let is_at_home = |instance: &Instance| {
            self.members.read(instance, |member| member.is_some_and(|m| m.entry.domain == *home))
        };
        let members = self.window(target, key, 0, MAX_PLACEMENT_SCAN);
        members.into_iter().filter(is_at_home).take(SEARCH_WINDOW).collect()
    }

    /// Returns up to `count` members of a service that follow the position of a key on its ring,
    /// after the first `skipped` ones.
    fn window(&self, target: Target, key: FlowKey, skipped: usize, count: usize) -> Vec<Instance> {
        let members_by_service =
            self.members_by_service.read().unwrap_or_else(PoisonError::into_inner);
        let ring = members_by_service.get(&target);
        ring.map_or_else(Vec::new, |ring| ring.following(key).skip(skipped).take(count).collect())
    }

    /// Adds a member to the ring of its service. A member that served another service before stays
    /// in that ring, where `choose` skips it.
    pub(super) fn index_by_service(&self, target: Target, instance: Instance) {
        let mut members_by_service =
            self.members_by_service.write().unwrap_or_else(PoisonError::into_inner);
        members_by_service.entry(target).or_default().insert(instance);
    }
}

/// Puts a few members of the other side of a plan behind the first ones of the flow's side. A flow
/// whose request would be late at all of these is then taken on the other side at once, while the
/// plan needs seconds to follow a change of the demand.
fn advance_other_side(members: &mut [(MemberRank, Instance)]) {
    let is_own_side = |((_, rank, _), _): &(MemberRank, Instance)| *rank == Rank::First;
    let start = usize::from(MAX_LATE_HOPS);
    let Some(other) = members.iter().position(|member| !is_own_side(member)) else { return };
    if other > start {
        let end = members.len().min(other + OTHER_SIDE_CANDIDATES);
        members[start..end].rotate_left(other - start);
    }
}
