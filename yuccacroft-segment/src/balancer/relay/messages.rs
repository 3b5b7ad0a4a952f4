//! The messages of agents to a balancer.

use {
    super::Relay,
    crate::{
        balancer::{
            chain::{self, Decision, ReceivedSegment},
            grounds::Grounds,
            searches::FlowList,
        },
        host::Socket,
        traffic::{Direction, Kind},
    },
    slog::info,
    std::sync::atomic::Ordering,
    yuccacroft_core::{
        flow::FlowKey,
        ids::Instance,
        search::QueryAnswer,
        segment::{Format, Segment},
        steering::CachedFlow,
        time::{Moment, Span},
    },
    yuccacroft_wire::relay::{self, Body, Reply, Request},
};

impl<F: Format, S: Socket> Relay<F, S> {
    pub(super) fn handle_message(&self, datagram: &[u8]) {
        let now = self.reading_time();
        let (reply, segment) = match relay::decode::<Reply>(datagram) {
            Ok(message) => message,
            Err(error) => return self.log_junk("agents", &error, datagram, now),
        };
        self.traffic.record(Direction::Received, Kind::of_reply(&reply.body), datagram.len());
        if let Some(time) = self.pool.unanswered_time(reply.from.instance, now) {
            self.response_times.record(time);
        }
        match reply.body {
            Body::Load => self.pool.record_load(reply.from, reply.load, now),
            Body::Measures(measures) => {
                self.pool.record_measures(reply.from, measures, now);
                self.pool.record_load(reply.from, reply.load, now)
            }
            _ => self.pool.record_answer(reply.from, reply.load, now),
        };
        self.pool.record_announced_entry(reply.newest_entry, now);
        self.reported_version.fetch_max(reply.version.get(), Ordering::Relaxed);
        if reply.version > self.version() {
            self.config_outdated.notify_one();
        }
        match reply.body {
            Body::Load | Body::Measures(_) | Body::Pong => {}
            Body::IndirectPong { agent_id, condition } => {
                self.pool.record_indirect_answer(agent_id, condition, reply.from.instance, now);
            }
            Body::Took(key) => self.table.record_taken(key, reply.from.instance, now),
            Body::Refused => self.handle_refused(segment, now),
            Body::Owns(key) => {
                let steps =
                    self.searches.apply_answer(key, reply.from, QueryAnswer::Owns, &self.pool, now);
                match steps {
                    Some(steps) => self.perform(key, steps, now),
                    None => {
                        self.log_late_owner(key, reply.from, now);
                        self.table.set_owner(key, reply.from, now);
                    }
                }
            }
            Body::DeniesMany { keys, unsure } => {
                let answer = denial(unsure, reply.age);
                for &key in &keys {
                    let steps =
                        self.searches.apply_answer(key, reply.from, answer, &self.pool, now);
                    // Without steps the search has ended, and the answer is late.
                    self.perform(key, steps.unwrap_or_default(), now);
                }
            }
            Body::Flows { asked_at, first, last, unsure } => {
                let keys = match relay::decode_keys(segment) {
                    Ok(keys) => keys,
                    Err(error) => return self.log_junk("agents", &error, datagram, now),
                };
                let answer = denial(unsure, reply.age);
                let range = first..=last;
                let list = FlowList { from: reply.from, asked_at, range, keys, answer };
                for (key, steps) in self.searches.apply_list(&list, &self.pool, now) {
                    self.perform(key, steps, now);
                }
            }
            Body::Denies { key, unsure } => {
                let answer = denial(unsure, reply.age);
                match self.searches.apply_answer(key, reply.from, answer, &self.pool, now) {
                    Some(steps) => self.perform(key, steps, now),
                    // A late answer to a search that has ended.
                    None if segment.is_empty() => {}
                    None => self.handle_returned(key, reply.from.instance, segment, now),
                }
            }
        }
    }

    /// Handles an opening segment that no agent took and that was sent back.
    fn handle_refused(&self, datagram: &[u8], now: Moment) {
        let segment = match self.format.parse_inbound(datagram) {
            Ok(segment) => segment,
            Err(error) => return self.log_junk("agents", &error, datagram, now),
        };
        self.refuse(&segment, "no agent took the flow", now);
    }

    /// Resets the flow of an opening segment that no agent took, for this cause. Without a proof that
    /// no agent took another copy the segment is dropped, and the caller repeats it.
    pub(super) fn refuse(&self, segment: &Segment, cause: &'static str, now: Moment) {
        let key = segment.flow.key();
        let is_proof = self.openings.record_refusal(key, segment.copy_number(), now);
        if matches!(self.table.get(key), Some(CachedFlow::Owned { .. })) {
            return;
        }
        self.table.remove(key);
        if now < self.pool.list_complete_at() || self.pool.is_list_outdated() {
            self.list_needed.notify_one();
            self.log_not_forwarded(segment, "drop", "agents not known yet", now);
            return;
        }
        if !is_proof {
            self.log_not_forwarded(segment, "drop", "another copy may be taken", now);
            return;
        }
        self.reset(segment, cause, &Grounds::None, now);
    }

    /// Handles a segment that was sent back by an agent that does not own its flow. The segment
    /// goes to the known owner or into a new search.
    fn handle_returned(&self, key: FlowKey, from: Instance, datagram: &[u8], now: Moment) {
        let segment = match self.format.parse_inbound(datagram) {
            Ok(segment) => segment,
            Err(error) => return self.log_junk("agents", &error, datagram, now),
        };
        let cached = self.table.get(key);
        match cached {
            Some(CachedFlow::Owned { owner, .. }) if owner.instance != from => {
                let class = self.class(&segment);
                self.send(owner.instance, &Request::Carry(class), datagram);
            }
            Some(CachedFlow::Lost(_)) => {}
            _ => {
                self.table.remove(key);
                let mut received = ReceivedSegment::new(segment, now);
                received.last_agent = cached.and_then(CachedFlow::agent).or(Some(from));
                received.target = chain::current_routes(&self.current_routes)
                    .and_then(|routes| routes.route(&segment.flow.address)?.target(key.get()));
                if let Some(log) = self.flow_log.failure(now) {
                    info!(log, "owner denied"; "flow" => %segment.flow, "agent" => %from);
                }
                self.apply_decision(&received, Decision::Search, datagram, now);
            }
        }
    }
}

/// Returns the answer of an agent that does not own a flow, or that is unsure.
fn denial(unsure: bool, age: Span) -> QueryAnswer {
    if unsure { QueryAnswer::Unsure { age } } else { QueryAnswer::Denies { age } }
}
