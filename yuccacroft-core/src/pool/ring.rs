//! The members of one service on a hash ring.
//!
//! The members that follow the position of a key form its window. All balancers compute nearly the
//! same windows: a member that joins or leaves shifts a window by one place. A flow is placed at a
//! member of its window, so a search for its owner begins there, however large the service is.

use crate::{flow::FlowKey, ids::Instance, rendezvous::digest};

/// The members of a service in the order of their ring positions.
#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    members: Vec<(u64, Instance)>,
}

impl Ring {
    /// Adds a member unless the ring contains it.
    pub fn insert(&mut self, instance: Instance) {
        let member = (digest(&instance), instance);
        if let Err(position) = self.members.binary_search(&member) {
            self.members.insert(position, member);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: Instance) {
        self.members.retain(|(_, member)| *member != instance);
    }

    /// Returns all members in the order in which they follow the position of a key.
    pub fn following(&self, key: FlowKey) -> impl Iterator<Item = Instance> + '_ {
        // Flow keys of neighbouring flows may be close to each other.
        let position = digest(&key.get());
        let start = self.members.partition_point(|(member, _)| *member < position);
        let (before, after) = self.members.split_at(start);
        after.iter().chain(before).map(|(_, instance)| *instance)
    }
}
