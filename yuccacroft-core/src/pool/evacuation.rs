//! The evacuated failure domains, whose members get no new flow.

use {
    super::{Exclusion, Member, Pool},
    crate::{
        evacuation::{Change, Evacuations, Notice},
        ids::Instance,
        route::Target,
    },
    std::sync::{PoisonError, RwLockReadGuard},
};

impl Pool {
    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> RwLockReadGuard<'_, Evacuations> {
        self.evacuations.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the evacuated failure domains, and updates the members if `change` returns any
    /// changes.
    pub fn update_evacuations(
        &self,
        change: impl FnOnce(&mut Evacuations) -> Vec<Change>,
    ) -> Vec<Change> {
        let changes = change(&mut self.evacuations.write().unwrap_or_else(PoisonError::into_inner));
        if !changes.is_empty() {
            self.members.retain(|_, member| {
                self.update_evacuation(member);
                true
            });
        }
        changes
    }

    /// Returns the notices for the members of evacuated domains, and for those that report that
    /// they take no flow although their entry does not say why: such an agent may have missed the
    /// end of an evacuation.
    pub fn evacuation_notices(&self) -> Vec<(Instance, Notice)> {
        let evacuations = self.evacuations().clone();
        self.members.fold(Vec::new(), |mut notices, instance, member| {
            if matches!(member.exclusion(), Some(Exclusion::Evacuated | Exclusion::NotAccepting)) {
                notices.push((*instance, evacuations.notice(&member.entry.domain)));
            }
            notices
        })
    }

    /// Returns true if the service has members and all of them are in evacuated domains.
    pub fn is_evacuated(&self, target: Target) -> bool {
        if self.evacuations().is_empty() {
            return false;
        }
        let (mut evacuated, mut others) = (0, 0);
        self.for_each(|member| {
            if member.entry.target == target {
                *(if member.is_evacuated { &mut evacuated } else { &mut others }) += 1;
            }
        });
        evacuated > 0 && others == 0
    }

    /// Updates a member under its lock, so that no concurrent change of the evacuations is lost.
    pub(super) fn update_evacuation(&self, member: &mut Member) {
        member.is_evacuated = self.evacuations().contains(&member.entry.domain);
    }
}
