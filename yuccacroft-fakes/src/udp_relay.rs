//! UDP relays between balancers and agents, with faults of the paths between them.
//!
//! Balancers know each agent by the address of its relay. A relay has a socket of its own for each
//! client, so that the agent answers each of them through the relay.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::HashMap,
        io,
        net::{IpAddr, SocketAddr, SocketAddrV4},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        task::JoinSet,
        time::{Instant, sleep},
    },
    yuccacroft_core::ids::Instance,
    yuccacroft_wire::relay::{self, Request},
};

const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Position of the header in a message, after the version and the length of the header.
const HEADER_START: usize = 2;
/// Time for which a datagram waits at most in the queue of a narrow link.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);

/// A fault of the path between one client and one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Lost datagrams to the agent, in percent.
    pub lost_requests: u8,
    /// Lost datagrams from the agent, in percent.
    pub lost_answers: u8,
    /// Delay of the datagrams from the agent.
    pub answer_delay: Duration,
}

/// The paths of all relays of a deployment.
#[derive(Debug)]
pub struct Paths(Mutex<State>);

#[derive(Debug)]
struct State {
    random: StdRng,
    addresses: Vec<AddressPair>,
    /// Faults by the addresses of client and agent.
    faults: HashMap<(IpAddr, IpAddr), Fault>,
    /// The narrow links of clients.
    links: HashMap<IpAddr, Link>,
}

/// The addresses of an agent and of its relay, as headers of messages contain them.
#[derive(Debug)]
struct AddressPair {
    agent: Box<[u8]>,
    relay: Box<[u8]>,
}

/// A link with a limited rate and a queue in each direction.
#[derive(Clone, Copy, Debug)]
struct Link {
    bytes_per_second: u32,
    /// When the last datagram in the queue to the agents leaves it.
    requests_sent_at: Instant,
    /// When the last datagram in the queue to the client leaves it.
    answers_sent_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Forwards the messages of balancers and other agents to one agent, and its answers to them.
#[derive(Debug)]
pub struct UdpRelay {
    _task: JoinSet<()>,
}

#[derive(Debug)]
struct Relay {
    paths: Arc<Paths>,
    agent: SocketAddrV4,
    client_side: UdpSocket,
}

impl Paths {
    /// Creates paths without faults. The seed selects the datagrams that are lost.
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(State {
            random: StdRng::seed_from_u64(seed),
            addresses: Vec::new(),
            faults: HashMap::new(),
            links: HashMap::new(),
        }))
    }

    /// Sets the fault of the path between a client and an agent, for the datagrams that arrive at
    /// the relay from now on. The default fault ends an earlier one.
    pub fn set_fault(&self, client: IpAddr, agent: IpAddr, fault: Fault) {
        self.state().faults.insert((client, agent), fault);
    }

    /// Limits the rate between a client and all agents in each direction, or ends the limit.
    pub fn set_rate(&self, client: IpAddr, bytes_per_second: Option<u32>) {
        let now = Instant::now();
        let link = bytes_per_second.map(|bytes_per_second| Link {
            bytes_per_second,
            requests_sent_at: now,
            answers_sent_at: now,
        });
        let links = &mut self.state().links;
        match link {
            Some(link) => links.insert(client, link),
            None => links.remove(&client),
        };
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the delay of a datagram, or `None` if it is lost.
    fn delay(
        &self,
        client: IpAddr,
        agent: IpAddr,
        direction: Direction,
        length: usize,
    ) -> Option<Duration> {
        let mut guard = self.state();
        let State { random, faults, links, .. } = &mut *guard;
        let fault = faults.get(&(client, agent)).copied().unwrap_or_default();
        let (lost, delay) = match direction {
            Direction::Request => (fault.lost_requests, Duration::ZERO),
            Direction::Answer => (fault.lost_answers, fault.answer_delay),
        };
        if lost > 0 && random.random_range(0..100) < lost {
            return None;
        }
        match links.get_mut(&client) {
            Some(link) => Some(delay + link.queue(direction, length)?),
            None => Some(delay),
        }
    }

    /// Replaces the addresses of agents in the header of a message by those of their relays. It does
    /// so for any message, since agents send both answers and requests to other agents.
    fn translate_answer(&self, datagram: &[u8]) -> Vec<u8> {
        let mut translated = datagram.to_vec();
        let Some((&mut [_, length], rest)) = translated.split_first_chunk_mut::<HEADER_START>()
        else {
            return translated;
        };
        let header_length = usize::from(length).min(rest.len());
        let header = &mut rest[..header_length];
        for AddressPair { agent, relay } in &self.state().addresses {
            for start in 0..(header_length + 1).saturating_sub(agent.len()) {
                let bytes = &mut header[start..start + agent.len()];
                if *bytes == **agent {
                    bytes.copy_from_slice(relay);
                }
            }
        }
        translated
    }
}

/// Returns the bytes of an address in the header of a message.
fn encode_address(address: SocketAddrV4) -> io::Result<Box<[u8]>> {
    let message = relay::encode(&Instance::new(address), &[]).map_err(io::Error::other)?;
    Ok(message[HEADER_START..].into())
}

impl Link {
    /// Adds a datagram to the queue and returns the time until it has been sent; `None` if the queue
    /// is full.
    fn queue(&mut self, direction: Direction, length: usize) -> Option<Duration> {
        let sent_at = match direction {
            Direction::Request => &mut self.requests_sent_at,
            Direction::Answer => &mut self.answers_sent_at,
        };
        let now = Instant::now();
        let begins_at = (*sent_at).max(now);
        if begins_at - now > MAX_QUEUE_TIME {
            return None;
        }
        *sent_at =
            begins_at + Duration::from_secs_f64(length as f64 / f64::from(self.bytes_per_second));
        Some(*sent_at - now)
    }
}

impl UdpRelay {
    /// Starts a relay that receives the messages to an agent at `address`.
    pub async fn start(
        address: SocketAddrV4,
        agent: SocketAddrV4,
        paths: Arc<Paths>,
    ) -> io::Result<Self> {
        let pair = AddressPair { agent: encode_address(agent)?, relay: encode_address(address)? };
        assert_eq!(pair.agent.len(), pair.relay.len(), "the length of a header must not change");
        paths.state().addresses.push(pair);
        let client_side = UdpSocket::bind(address).await?;
        let relay = Arc::new(Relay { paths, agent, client_side });
        let mut task = JoinSet::new();
        task.spawn(relay.forward_requests());
        Ok(Self { _task: task })
    }
}

impl Relay {
    async fn forward_requests(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut sessions = HashMap::new();
        // Dropping the set ends the sessions and drops the datagrams that are still delayed.
        let mut tasks = JoinSet::new();
        loop {
            // A receive error reports an earlier datagram that could not be delivered.
            let Ok((length, client)) = self.client_side.recv_from(&mut buffer).await else {
                continue;
            };
            let session = match sessions.get(&client) {
                Some(session) => Arc::clone(session),
                None => {
                    let address = self.client_side.local_addr().map(|address| (address.ip(), 0));
                    let Ok(address) = address else { continue };
                    let Ok(socket) = UdpSocket::bind(address).await else { continue };
                    let session = Arc::new(socket);
                    sessions.insert(client, session.clone());
                    tasks.spawn(self.clone().forward_answers(session.clone(), client));
                    session
                }
            };
            let Some(request) = translate_request(&buffer[..length], client, &session) else {
                continue;
            };
            let (agent, direction) = (self.agent, Direction::Request);
            let delay = self.paths.delay(client.ip(), (*agent.ip()).into(), direction, length);
            match delay {
                None => {}
                // Datagrams may be lost, here as on a network.
                Some(Duration::ZERO) => drop(session.send_to(&request, agent).await),
                Some(delay) => {
                    tasks.spawn(async move {
                        sleep(delay).await;
                        let _ = session.send_to(&request, agent).await;
                    });
                }
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// Forwards what agents send to the socket of one client. An agent that an opening segment was
    /// passed on to answers here as well.
    async fn forward_answers(self: Arc<Self>, session: Arc<UdpSocket>, client: SocketAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut delayed = JoinSet::new();
        loop {
            let Ok((length, agent)) = session.recv_from(&mut buffer).await else { continue };
            let answer = self.paths.translate_answer(&buffer[..length]);
            let delay = self.paths.delay(client.ip(), agent.ip(), Direction::Answer, length);
            match delay {
                None => {}
                Some(Duration::ZERO) => drop(self.client_side.send_to(&answer, client).await),
                Some(delay) => {
                    let relay = self.clone();
                    delayed.spawn(async move {
                        sleep(delay).await;
                        let _ = relay.client_side.send_to(&answer, client).await;
                    });
                }
            }
            while delayed.try_join_next().is_some() {}
        }
    }
}

/// Directs the outcome of an offer to the socket of its client. The origin of an offer that was
/// passed on is such a socket already.
fn translate_request(datagram: &[u8], client: SocketAddr, session: &UdpSocket) -> Option<Vec<u8>> {
    let (mut request, segment) = relay::decode::<Request>(datagram).ok()?;
    if let Request::Offer { origin, .. } | Request::ClassifiedOffer { origin, .. } = &mut request
        && SocketAddr::from(*origin) == client
        && let Ok(SocketAddr::V4(address)) = session.local_addr()
    {
        *origin = address;
    }
    relay::encode(&request, segment).ok()
}
