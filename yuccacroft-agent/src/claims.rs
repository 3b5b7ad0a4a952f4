//! Runs the claims of one agent on flow keys: drives the [`ClaimController`]s, holds packets until
//! their claim ends, and publishes owned flows to their homes. The homes of a key are the agents
//! that store its owner.

use {
    metrics::counter,
    std::{
        collections::{BTreeSet, VecDeque},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::sync::Notify,
    yuccacroft_core::{
        controller::Controller,
        directory::{Action, ClaimController, ClaimOutcome, Event},
        flow::{AgentId, FlowKey},
        ids::Instance,
        ownership::{FlowLoad, OwnershipTable},
        placement::ChainPosition,
        shards::Shards,
        siblings::Update,
        time::Moment,
    },
    yuccacroft_wire::{
        capsule::{CapsuleKind, Header},
        claim::{ClaimBody, MAX_ENTRIES, OwnerEntry, RelayedClaim},
    },
};

/// Number of controllers, each with its own lock and part of the keys.
const SHARD_COUNT: usize = 16;
/// Limit of held packets over all claims. Packets beyond it are dropped; callers retransmit them.
const MAX_HELD_PACKETS: usize = 512;
/// Limit of held packets per claim: a handshake sends no more before its first answer.
const MAX_HELD_PACKETS_PER_KEY: usize = 8;

/// A packet that waits for a claim to end.
#[derive(Clone, Debug)]
pub struct HeldPacket {
    /// The header of the capsule that carried it.
    pub header: Header,
    /// The QUIC packet.
    pub payload: Box<[u8]>,
}

/// Instruction to the socket. A list of them is carried out in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a claim message to an agent.
    Send(Instance, ClaimBody),
    /// Deliver the packets of a flow that this agent has won.
    Deliver(Vec<HeldPacket>),
    /// Pass packets through the filter chain again, since their claim has ended.
    Decide(Vec<HeldPacket>),
    /// Forward packets to the agent that owns their flow.
    Forward(AgentId, Vec<HeldPacket>),
}

impl Output {
    fn receiver(&self) -> Option<Instance> {
        match self {
            Self::Send(to, _) => Some(*to),
            _ => None,
        }
    }
}

/// The claims of one agent.
#[derive(Debug)]
pub struct FlowClaims {
    table: Arc<OwnershipTable>,
    controllers: [Mutex<ClaimController>; SHARD_COUNT],
    held: Shards<FlowKey, Vec<HeldPacket>>,
    held_count: AtomicUsize,
    claim_started: Notify,
}

impl FlowClaims {
    /// Creates the claims over the flow table of an agent.
    pub fn new(table: Arc<OwnershipTable>) -> Self {
        let controllers = std::array::from_fn(|_| Mutex::new(ClaimController::new(table.own_id())));
        let (held, held_count) = (Shards::new(), AtomicUsize::new(0));
        Self { table, controllers, held, held_count, claim_started: Notify::new() }
    }

    /// Holds a packet and, when `is_new` is set, starts a claim at the homes of its key.
    pub fn hold(&self, key: FlowKey, packet: HeldPacket, is_new: bool, now: Moment) -> Vec<Output> {
        let CapsuleKind::Untagged { chain, step, .. } = packet.header.kind else {
            return Vec::new();
        };
        self.queue(key, packet);
        if is_new {
            let mut outputs = self.step_controller(key, Event::Begin { key, chain }, now);
            if let (ChainPosition::Second, Some(first)) = (step, chain.first()) {
                outputs.push(Output::Send(first.instance, ClaimBody::Load));
            }
            self.claim_started.notify_one();
            return outputs;
        }
        // The claim may have ended between the filter's decision and the insertion above.
        if self.table.is_claiming(key) {
            return Vec::new();
        }
        vec![Output::Decide(self.take_held(key))]
    }

    /// Handles a claim message of another agent.
    pub fn receive(
        &self,
        from: AgentId,
        load: FlowLoad,
        body: ClaimBody,
        now: Moment,
    ) -> Vec<Output> {
        self.table.record_message(from, now);
        self.table.record_load(from.instance, load, now);
        match body {
            ClaimBody::Claim(key) => {
                let outcome = self.table.answer_claim(key, from, now);
                vec![Output::Send(from.instance, ClaimBody::Answer(key, outcome))]
            }
            ClaimBody::Answer(key, outcome) => self.step_controller(
                key,
                Event::Answered { key, home: from.instance, outcome },
                now,
            ),
            ClaimBody::Load => Vec::new(),
            ClaimBody::Query => vec![Output::Send(from.instance, ClaimBody::Load)],
            ClaimBody::Relay(relay) => self.handle_relay(relay, now),
            ClaimBody::Publish(entries) => {
                // The loser of a claim publishes the flow of another agent; its own flows follow
                // at their time.
                if entries.iter().all(|entry| entry.owner == from) {
                    self.table.record_publication(from, now);
                }
                for OwnerEntry { key, owner } in entries {
                    self.table.record_entry(key, owner, from, now);
                }
                Vec::new()
            }
        }
    }

    /// Handles a claim at this home: forwards a granted claim to the next home, or answers the
    /// claimant.
    fn handle_relay(&self, relay: RelayedClaim, now: Moment) -> Vec<Output> {
        let RelayedClaim { key, claimant, chain, position } = relay;
        let outcome = self.table.answer_claim(key, claimant, now);
        let position = position.saturating_add(1);
        if outcome == ClaimOutcome::Granted && chain.home(usize::from(position)).is_some() {
            return self.send_to_home(RelayedClaim { position, ..relay }, now);
        }
        let own = self.table.own_id().instance;
        if claimant.instance == own {
            return self.step_controller(key, Event::Answered { key, home: own, outcome }, now);
        }
        vec![Output::Send(claimant.instance, ClaimBody::Answer(key, outcome))]
    }

    /// Sends a claim to the home at its position in the chain.
    fn send_to_home(&self, relay: RelayedClaim, now: Moment) -> Vec<Output> {
        match relay.chain.home(usize::from(relay.position)) {
            Some(home) if home.instance == self.table.own_id().instance => {
                self.handle_relay(relay, now)
            }
            Some(home) => vec![Output::Send(home.instance, ClaimBody::Relay(relay))],
            None => Vec::new(),
        }
    }

    /// Repeats claim messages whose answer is overdue.
    pub fn tick(&self, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        for controller in &self.controllers {
            let actions = lock(controller).step(Event::Tick, now);
            outputs.extend(self.apply_actions(actions, now));
        }
        outputs
    }

    /// Returns true while a claim is in progress.
    pub fn has_open_claims(&self) -> bool {
        self.controllers.iter().any(|controller| lock(controller).open_claims() > 0)
    }

    /// Waits until a claim starts.
    pub async fn claim_started(&self) {
        self.claim_started.notified().await;
    }

    /// Sets the agents of the service. Returns the publications that new homes need and, at regular
    /// intervals, one to each sibling, and queries to agents that are no longer listed.
    pub fn set_members(&self, siblings: &[AgentId], now: Moment) -> Vec<Output> {
        self.publications(&self.table.update_siblings(siblings, now))
    }

    /// Returns the publications that are due while no balancer answers. Without them the homes
    /// would forget the flows of an agent that is cut off from balancers only.
    pub fn keep_members(&self, now: Moment) -> Vec<Output> {
        self.publications(&self.table.keep_siblings(now))
    }

    fn publications(&self, update: &Update) -> Vec<Output> {
        let list = self.table.missing_entries(&update.before, &update.after, update.since);
        let mut outputs = publish_messages(list, self.table.own_id());
        outputs.extend(empty_publications(&update.publish_to, &outputs));
        outputs.extend(update.queries.iter().map(|to| Output::Send(to.instance, ClaimBody::Query)));
        outputs
    }

    fn step_controller(&self, key: FlowKey, event: Event, now: Moment) -> Vec<Output> {
        let actions = lock(self.controller(key)).step(event, now);
        self.apply_actions(actions, now)
    }

    fn apply_actions(&self, actions: Vec<Action>, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut actions = VecDeque::from(actions);
        let own = self.table.own_id();
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Relay { key, chain } => {
                    let relay = RelayedClaim { key, claimant: own, chain, position: 0 };
                    outputs.extend(self.send_to_home(relay, now));
                }
                Action::Claim { home, key } if home.instance == own.instance => {
                    let outcome = self.table.answer_claim(key, own, now);
                    let event = Event::Answered { key, home: home.instance, outcome };
                    actions.extend(lock(self.controller(key)).step(event, now));
                }
                Action::Claim { home, key } => {
                    outputs.push(Output::Send(home.instance, ClaimBody::Claim(key)));
                }
                Action::Publish { home, key, owner } if home.instance == own.instance => {
                    self.table.record_entry(key, owner, own, now);
                }
                Action::Publish { home, key, owner } => {
                    let body = ClaimBody::Publish(vec![OwnerEntry { key, owner }]);
                    outputs.push(Output::Send(home.instance, body));
                }
                Action::Won { key } => {
                    counter!("yuccacroft_claims_total", "outcome" => "won").increment(1);
                    self.table.claim_won(key, now);
                    outputs.push(Output::Deliver(self.take_held(key)));
                }
                Action::Lost { key, winner } => {
                    counter!("yuccacroft_claims_total", "outcome" => "lost").increment(1);
                    self.table.claim_lost(key, winner, now);
                    outputs.push(Output::Forward(winner, self.take_held(key)));
                }
            }
        }
        outputs
    }

    fn queue(&self, key: FlowKey, packet: HeldPacket) {
        if self.held_count.load(Ordering::Relaxed) >= MAX_HELD_PACKETS {
            counter!("yuccacroft_capsules_dropped_total", "cause" => "held_full").increment(1);
            return;
        }
        let is_queued = self.held.update(key, |list| {
            let list = list.get_or_insert_default();
            let has_room = list.len() < MAX_HELD_PACKETS_PER_KEY;
            if has_room {
                list.push(packet);
            }
            has_room
        });
        if is_queued {
            self.held_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take_held(&self, key: FlowKey) -> Vec<HeldPacket> {
        let packets = self.held.remove(&key).unwrap_or_default();
        self.held_count.fetch_sub(packets.len(), Ordering::Relaxed);
        packets
    }

    fn controller(&self, key: FlowKey) -> &Mutex<ClaimController> {
        &self.controllers[(key.get() % SHARD_COUNT as u64) as usize]
    }
}

/// Builds publish messages of at most [`MAX_ENTRIES`] entries for each home.
fn publish_messages(mut list: Vec<(AgentId, FlowKey)>, owner: AgentId) -> Vec<Output> {
    list.sort_unstable();
    let groups = list.chunk_by(|a, b| a.0 == b.0);
    let entry = |&(_, key): &(AgentId, FlowKey)| OwnerEntry { key, owner };
    groups
        .flat_map(|group| group.chunks(MAX_ENTRIES))
        .map(|group| {
            let body = ClaimBody::Publish(group.iter().map(entry).collect());
            Output::Send(group[0].0.instance, body)
        })
        .collect()
}

/// Builds publications without entries for the siblings that are not in `outputs`. They show that
/// the sender has no flows for these homes.
fn empty_publications(siblings: &[AgentId], outputs: &[Output]) -> Vec<Output> {
    let receivers: BTreeSet<Instance> = outputs.iter().filter_map(Output::receiver).collect();
    let others = siblings.iter().filter(|sibling| !receivers.contains(&sibling.instance));
    others.map(|sibling| Output::Send(sibling.instance, ClaimBody::Publish(Vec::new()))).collect()
}

fn lock(controller: &Mutex<ClaimController>) -> MutexGuard<'_, ClaimController> {
    controller.lock().unwrap_or_else(PoisonError::into_inner)
}
