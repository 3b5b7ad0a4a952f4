//! The entries that a balancer still pushes.

use {
    super::{
        super::{
            entry::{Item, Version},
            message::KeyVersion,
            table::Table,
        },
        view::Budget,
    },
    crate::time::{Moment, Span},
    std::collections::VecDeque,
};

/// Bytes of entries in one push message, below the payload of two Ethernet frames.
const PUSH_BYTES: usize = 2_400;
/// Time between two pushes of entries that are not urgent. An HTTP message costs three times what
/// one such entry does.
const OTHER_ROUND: Span = Span::from_secs(2);

/// Pushes that an answer "known already" saves, besides the one that was answered.
const KNOWN_SAVES: u8 = 2;

/// Entries to push, contracts and outages before all others: their time to take effect is
/// bounded, that of members is not.
#[derive(Clone, Debug)]
pub struct PushQueue {
    urgent: VecDeque<PendingPush>,
    other: VecDeque<PendingPush>,
    budget: Budget,
    /// When entries that are not urgent go next.
    next_other: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingPush {
    key: u64,
    version: Version,
    left: u8,
}

impl PushQueue {
    /// Creates an empty queue.
    pub fn new(budget: Budget) -> Self {
        Self {
            urgent: VecDeque::new(),
            other: VecDeque::new(),
            budget,
            next_other: Moment::default(),
        }
    }

    /// Queues an entry for a number of pushes, each to one peer.
    pub fn add(&mut self, item: &Item, pushes: u8) {
        if pushes == 0 {
            return;
        }
        let push = PendingPush { key: item.key().digest(), version: item.version(), left: pushes };
        match item {
            Item::Contract(_) | Item::Outage(_) => self.urgent.push_back(push),
            Item::Member(_) | Item::Peer(_) => self.other.push_back(push),
        }
    }

    /// Returns true when nothing is to be pushed.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.other.is_empty()
    }

    /// Notes that a peer knew an entry already. The more peers know it, the fewer need it. An
    /// answer about an earlier version says nothing of the present one.
    pub fn known(&mut self, line: KeyVersion) {
        let same = |push: &PendingPush| push.key == line.key && push.version <= line.version;
        for queue in [&mut self.urgent, &mut self.other] {
            for push in queue.iter_mut().filter(|push| same(push)) {
                push.left = push.left.saturating_sub(KNOWN_SAVES);
            }
            queue.retain(|push| push.left > 0);
        }
    }

    /// Takes the entries of one push to a number of peers, as far as the budget allows. Entries
    /// that are not urgent go less often, so that several share a message.
    pub fn take(&mut self, table: &Table, peers: usize, now: Moment) -> Vec<Item> {
        let allowed = self.budget.allowed(now) / peers.max(1);
        let mut items = Vec::new();
        let mut size = 0;
        let others = now >= self.next_other;
        if others {
            self.next_other = now + OTHER_ROUND;
        }
        let queues = [Some(&mut self.urgent), others.then_some(&mut self.other)];
        for queue in queues.into_iter().flatten() {
            let mut again = Vec::new();
            // Zero or less means that earlier pushes have used the bytes of the present time.
            while size < allowed.min(PUSH_BYTES)
                && let Some(mut push) = queue.pop_front()
            {
                // A later version has its own place in the queue.
                let held = table.get(push.key).filter(|item| item.version() == push.version);
                let Some(item) = held else { continue };
                size += item.size();
                items.push(item.clone());
                push.left = push.left.saturating_sub(peers as u8);
                if push.left > 0 {
                    again.push(push);
                }
            }
            queue.extend(again);
        }
        self.budget.spend(size * peers);
        items
    }
}
