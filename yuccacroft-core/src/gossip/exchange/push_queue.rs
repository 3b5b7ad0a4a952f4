//! The queue of entries that a balancer pushes to its peers.

use {
    super::{
        super::{
            entry::{EntryVersion, GossipEntry},
            message::KeyVersion,
            table::EntryTable,
        },
        view::ByteBudget,
    },
    crate::time::{Moment, Span},
    std::collections::VecDeque,
};

/// Maximum size of the entries in one push message, below the payload of two Ethernet frames.
const MAX_PUSH_BYTES: usize = 2_400;
/// Time between two pushes of entries that are not urgent. Pushing several together saves messages,
/// since an HTTP message costs three times as much as one such entry.
const OTHER_PUSH_INTERVAL: Span = Span::from_secs(2);

/// Number of further pushes of an entry that are skipped for each peer that knows it already.
const SKIPPED_IF_KNOWN: u8 = 2;

/// The entries to push. Contracts and outages are urgent and go first: unlike members, they must
/// take effect within a bounded time.
#[derive(Clone, Debug)]
pub struct PushQueue {
    urgent: VecDeque<PendingPush>,
    other: VecDeque<PendingPush>,
    budget: ByteBudget,
    /// When entries that are not urgent are pushed next.
    next_other_push: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingPush {
    key: u64,
    version: EntryVersion,
    remaining: u8,
}

impl PushQueue {
    /// Creates an empty queue whose pushes are limited by a budget.
    pub fn new(budget: ByteBudget) -> Self {
        Self {
            urgent: VecDeque::new(),
            other: VecDeque::new(),
            budget,
            next_other_push: Moment::default(),
        }
    }

    /// Queues an entry for a number of pushes, counted by receiving peer.
    pub fn add(&mut self, item: &GossipEntry, pushes: u8) {
        if pushes == 0 {
            return;
        }
        let push =
            PendingPush { key: item.key().digest(), version: item.version(), remaining: pushes };
        match item {
            GossipEntry::Contract(_) | GossipEntry::Outage(_) => self.urgent.push_back(push),
            GossipEntry::Member(_) | GossipEntry::Peer(_) => self.other.push_back(push),
        }
    }

    /// Returns true if no entry is queued.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.other.is_empty()
    }

    /// Records that a peer knew an entry already, which reduces the remaining pushes. Responses
    /// about an earlier version do not count for the present one.
    pub fn record_known(&mut self, key_version: KeyVersion) {
        let matches =
            |push: &PendingPush| push.key == key_version.key && push.version <= key_version.version;
        for queue in [&mut self.urgent, &mut self.other] {
            for push in queue.iter_mut().filter(|push| matches(push)) {
                push.remaining = push.remaining.saturating_sub(SKIPPED_IF_KNOWN);
            }
            queue.retain(|push| push.remaining > 0);
        }
    }

    /// Returns the entries of the next push to a number of peers, limited by the budget. Entries
    /// that are not urgent are pushed less often, so that several share a message.
    pub fn next_push(&mut self, table: &EntryTable, peers: usize, now: Moment) -> Vec<GossipEntry> {
        let limit = self.budget.available(now) / peers.max(1);
        let mut items = Vec::new();
        let mut size = 0;
        let includes_other = now >= self.next_other_push;
        if includes_other {
            self.next_other_push = now + OTHER_PUSH_INTERVAL;
        }
        let queues = [Some(&mut self.urgent), includes_other.then_some(&mut self.other)];
        for queue in queues.into_iter().flatten() {
            let mut requeued = Vec::new();
            // Stops at once if earlier pushes have used up the budget.
            while size < limit.min(MAX_PUSH_BYTES)
                && let Some(mut push) = queue.pop_front()
            {
                // A later version has its own element in the queue.
                let stored = table.get(push.key).filter(|item| item.version() == push.version);
                let Some(item) = stored else { continue };
                size += item.estimated_size();
                items.push(item.clone());
                push.remaining = push.remaining.saturating_sub(peers as u8);
                if push.remaining > 0 {
                    requeued.push(push);
                }
            }
            queue.extend(requeued);
        }
        self.budget.spend(size * peers);
        items
    }
}
