//! The packet path of an agent: receives datagrams, runs the filter chain and sends the results.

mod backlog;
mod evacuation;
mod inbound;
mod indirect;
mod limits;
mod log;
mod outbound;
mod outcomes;
mod reply;
mod reset;
mod status;

use {
    super::{
        chain::{self, ReceivedSegment},
        state::AgentState,
    },
    crate::{clock::BootClock, flow_log::FlowLog, host::Socket, traffic::Traffic},
    slog::{error, info},
    std::{
        net::SocketAddrV4,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    tokio::sync::Notify,
    yuccacroft_core::{
        filter::FilterChain, flow::AgentId, handshake::Decision, ids::Incarnation, segment::Format,
        shards::Shards, time::Moment, upstream::ConnectResult,
    },
    yuccacroft_rpc::tasks,
};

/// Metric: number of decisions, labelled with outcome and cause.
const DECISIONS_METRIC: &str = "yuccacroft_agent_decisions_total";

/// The sockets and settings of a relay.
#[derive(Debug)]
pub struct Setup<S> {
    /// The socket for messages from balancers and other agents.
    pub messages: S,
    /// The socket that receives segments from the upstream.
    pub outbound: S,
    /// The socket that is connected to the upstream.
    pub upstream: S,
    /// The port of all callers.
    pub caller_port: u16,
    /// The address of the agent, and its incarnation by the wall clock.
    pub agent_id: AgentId,
}

/// The packet path of one agent.
pub struct Relay<F, S> {
    format: F,
    setup: Setup<S>,
    chain: FilterChain<ReceivedSegment, Decision>,
    /// The agent's flows, upstream and waiting requests.
    pub state: Arc<AgentState>,
    /// Notified when a balancer's listing lacks the agent's entry.
    pub entry_unlisted: Notify,
    /// The clock that all decisions use.
    pub clock: BootClock,
    /// The rate-limited log of flow events.
    pub flow_log: FlowLog,
    /// The messages since the last update of the metrics.
    traffic: Traffic,
    /// The balancers and the times of their last messages.
    balancers: Shards<SocketAddrV4, Moment>,
    /// The time of the last datagram to the upstream.
    sent_to_upstream: AtomicU64,
    /// Whether the upstream was warming up at the last tick.
    was_warming_up: AtomicBool,
    /// The incarnation of the agent, which is above those of earlier processes as far as it knows.
    incarnation: AtomicU64,
    /// The version of the entry in the store, and when it was written or last found there.
    written_entry: Mutex<(u32, Moment)>,
    /// The highest configuration version that a balancer has sent.
    config_version: AtomicU64,
    /// The highest revision of a creation of an entry that a balancer has sent.
    newest_entry: AtomicU64,
}

impl<F: Format, S: Socket> Relay<F, S> {
    /// Creates the packet path of an agent.
    pub fn new(
        format: F,
        setup: Setup<S>,
        state: Arc<AgentState>,
        clock: BootClock,
        flow_log: FlowLog,
    ) -> Self {
        let chain = chain::build_chain(&state);
        let incarnation = AtomicU64::new(setup.agent_id.incarnation.get());
        Self {
            format,
            setup,
            chain,
            state,
            entry_unlisted: Notify::new(),
            clock,
            flow_log,
            traffic: Traffic::default(),
            balancers: Shards::with_shards(1),
            sent_to_upstream: AtomicU64::new(0),
            was_warming_up: AtomicBool::new(false),
            incarnation,
            written_entry: Mutex::default(),
            config_version: AtomicU64::new(0),
            newest_entry: AtomicU64::new(0),
        }
    }

    /// Receives messages from balancers and other agents. It does not return.
    pub async fn receive_messages(&self) {
        let on_datagram = |datagram: &mut [u8], from| {
            self.contain("messages", || self.handle_message(datagram, from));
        };
        self.setup
            .messages
            .receive(on_datagram, |error| self.log_socket_error("messages", &error))
            .await;
    }

    /// Receives segments from the upstream. It does not return.
    pub async fn receive_outbound(&self) {
        let on_datagram = |datagram: &mut [u8], _| {
            self.contain("outbound", || self.handle_outbound(datagram));
        };
        self.setup
            .outbound
            .receive(on_datagram, |error| self.log_socket_error("outbound", &error))
            .await;
    }

    /// Receives the errors that the system reports for a closed port of the upstream. It does not
    /// return.
    pub async fn receive_port_errors(&self) {
        let on_error = |error: std::io::Error| {
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                let sent = Moment::new(self.sent_to_upstream.load(Ordering::Relaxed));
                self.apply_port_check(sent, ConnectResult::Refused, self.clock.now());
            }
        };
        self.setup.upstream.receive(|_, _| {}, on_error).await;
    }

    /// Handles a datagram. A panic ends the handling of this datagram only.
    fn contain(&self, source: &'static str, handle: impl FnOnce()) {
        if let Err(panic) = tasks::contain(source, handle) {
            error!(self.flow_log.log(), "datagram not handled"; "source" => source,
                "cause" => %panic);
        }
    }

    /// Returns the address and incarnation of the agent.
    pub fn agent_id(&self) -> AgentId {
        let incarnation = Incarnation::new(self.incarnation.load(Ordering::Relaxed));
        AgentId { incarnation, ..self.setup.agent_id }
    }

    /// Raises the incarnation above that of an earlier process at the same address, which an entry
    /// or a balancer names. Balancers ignore the messages of a lower incarnation.
    pub fn succeed(&self, earlier: Incarnation) {
        let raise = |own| {
            let raised = Incarnation::new(own).succeeding(earlier).get();
            (raised > own).then_some(raised)
        };
        let raised = self.incarnation.fetch_update(Ordering::Relaxed, Ordering::Relaxed, raise);
        let Ok(before) = raised else { return };
        info!(self.flow_log.log(), "incarnation raised"; "before" => before,
            "incarnation" => %self.agent_id().incarnation, "earlier" => %earlier);
        self.entry_unlisted.notify_one();
    }

    /// Records the version of the entry that is in the store now.
    pub fn set_written_entry(&self, entry_version: u32) {
        *self.written_entry() = (entry_version, self.clock.now());
    }

    fn written_entry(&self) -> MutexGuard<'_, (u32, Moment)> {
        self.written_entry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops accepting new flows and sends the new load to balancers. Open flows stay.
    pub fn stop(&self) {
        self.state.stop();
        self.send_load(self.clock.now());
    }

    /// Runs the timers of the flows and forwards waiting requests.
    pub fn tick(&self, now: Moment) {
        for action in self.state.table.tick(now) {
            self.perform(action, now);
        }
        self.release_waiting(now);
        self.log_warmup(now);
        self.state.update_mean_requests();
    }
}
