//! A consumer: it opens flows through the routers and sends requests in them.

use {
    crate::{
        backend::header,
        packet::{ACK, FIN, Packet, Record, SYN, random},
        platform::Routers,
    },
    std::{
        collections::hash_map::DefaultHasher,
        hash::{Hash, Hasher},
        net::{Ipv4Addr, SocketAddrV4, UdpSocket},
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const COPIES_AFTER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with success by the backend with this id.
    Served(String),
    /// The flow did not open.
    NotOpened,
    /// The flow was reset.
    Reset,
    /// The time budget passed.
    Deadline,
}

/// Returns the initial sequence number of a flow. It increases with time for the same two ends, as
/// RFC 9293 asks, so that a port can be used again as soon as its flow has closed.
fn initial_sequence(from: SocketAddrV4, to: SocketAddrV4) -> u32 {
    let mut hasher = DefaultHasher::new();
    (from, to).hash(&mut hasher);
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() / 4;
    (hasher.finish() as u32).wrapping_add(clock as u32)
}

/// A consumer with one address.
pub struct Consumer {
    ip: Ipv4Addr,
    socket: UdpSocket,
    routers: Arc<Routers>,
    record: Arc<Record>,
    next_port: u16,
}

/// An open flow.
pub struct Flow {
    from: SocketAddrV4,
    to: SocketAddrV4,
    send: u32,
    receive: u32,
}

impl Consumer {
    /// Creates a consumer. `port` is that of `datagramAddr`.
    pub fn new(ip: Ipv4Addr, port: u16, routers: &Arc<Routers>, record: &Arc<Record>) -> Self {
        let socket = UdpSocket::bind((ip, port)).expect("address of a consumer is in use");
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let next_port = 20_000 + (random() % 20_000) as u16;
        Self { ip, socket, routers: routers.clone(), record: record.clone(), next_port }
    }

    fn transmit(&self, packet: &Packet) {
        if let Some(node) = self.routers.choose(packet.from, packet.to) {
            let _ = self.socket.send_to(&packet.encode(), node);
        }
    }

    fn receive(&self, flow: (SocketAddrV4, SocketAddrV4)) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        let (length, _) = self.socket.recv_from(&mut buffer).ok()?;
        let packet = Packet::decode(&buffer[..length])?;
        if !packet.is_genuine && !packet.is_reset() {
            self.record.add(&format!("FORGED packet at {}: {packet:?}", self.ip));
        }
        ((packet.to, packet.from) == flow).then_some(packet)
    }

    /// Sets the port of the next flow. The flow before from this port has closed.
    pub fn use_port(&mut self, port: u16) {
        self.next_port = port;
    }

    /// Opens a flow to an address of the platform.
    pub fn open(&mut self, to: SocketAddrV4) -> Result<Flow, Outcome> {
        let from = SocketAddrV4::new(self.ip, self.next_port);
        self.next_port = self.next_port.checked_add(1).unwrap_or(20_000);
        let start = initial_sequence(from, to);
        let started = Instant::now();
        let mut copies = 0;
        self.record.add(&format!("opening packet of {from} to {to} sent"));
        self.transmit(&Packet::new(from, to, SYN, start, 0, &[]));
        while started.elapsed() < OPENING_TIMEOUT {
            if COPIES_AFTER.get(copies).is_some_and(|after| started.elapsed() >= *after) {
                copies += 1;
                self.transmit(&Packet::new(from, to, SYN, start, copies as u32, &[]));
            }
            let Some(packet) = self.receive((from, to)) else { continue };
            if packet.is_reset() {
                self.record.add(&format!("flow of {from} reset before it opened"));
                return Err(Outcome::NotOpened);
            }
            if packet.flags & (SYN | ACK) == SYN | ACK {
                let (send, receive) = (start.wrapping_add(1), packet.seq.wrapping_add(1));
                let flow = Flow { from, to, send, receive };
                self.transmit(&Packet::new(from, to, ACK, send, receive, &[]));
                return Ok(flow);
            }
        }
        self.record.add(&format!("flow of {from} did not open"));
        Err(Outcome::NotOpened)
    }

    /// Sends a request in an open flow and waits for its answer. The backend closes the flow after
    /// the last one.
    pub fn request(&self, flow: &mut Flow, is_last: bool, budget: Duration) -> Outcome {
        let id = format!("{:016x}", random());
        let connection = if is_last { "close" } else { "keep-alive" };
        let text = format!(
            "POST / HTTP/1.1\r\nYuccacroft-Request-Id: {id}\r\nConnection: {connection}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let packet = Packet::new(flow.from, flow.to, ACK, flow.send, flow.receive, text.as_bytes());
        let end = flow.send.wrapping_add(text.len() as u32);
        let started = Instant::now();
        self.record.add(&format!("request {id} sent in the flow of {}", flow.from));
        self.transmit(&packet);
        let (mut sent, mut wait, mut is_acknowledged) =
            (Instant::now(), Duration::from_millis(200), false);
        let outcome = loop {
            if started.elapsed() >= budget {
                break Outcome::Deadline;
            }
            if !is_acknowledged && sent.elapsed() >= wait {
                self.transmit(&packet);
                (sent, wait) = (Instant::now(), (wait * 2).min(Duration::from_millis(1_600)));
            }
            let Some(answer) = self.receive((flow.from, flow.to)) else { continue };
            if answer.is_reset() {
                break Outcome::Reset;
            }
            is_acknowledged |= answer.ack == end;
            if answer.seq == flow.receive && !answer.data.is_empty() {
                let is_last = answer.flags & FIN != 0;
                flow.receive =
                    flow.receive.wrapping_add(answer.data.len() as u32 + u32::from(is_last));
                flow.send = end;
                self.transmit(&Packet::new(flow.from, flow.to, ACK, flow.send, flow.receive, &[]));
                let text = String::from_utf8_lossy(&answer.data).into_owned();
                if header(&text, "Yuccacroft-Request-Id") != Some(&id) {
                    self.record.add(&format!("FOREIGN answer to request {id}: {text}"));
                }
                break Outcome::Served(
                    header(&text, "Yuccacroft-Instance-Id").unwrap_or_default().to_owned(),
                );
            }
        };
        self.record.add(&format!("request {id} in the flow of {}: {outcome:?}", flow.from));
        outcome
    }

    /// Closes a flow.
    pub fn close(&self, flow: &Flow) {
        self.transmit(&Packet::new(flow.from, flow.to, ACK | FIN, flow.send, flow.receive, &[]));
    }

    /// Sends one request in a flow of its own, which the backend closes first.
    pub fn request_once(&mut self, to: SocketAddrV4, budget: Duration) -> Outcome {
        let started = Instant::now();
        match self.open(to) {
            Ok(mut flow) => {
                let budget = budget.saturating_sub(started.elapsed());
                let outcome = self.request(&mut flow, true, budget);
                self.close(&flow);
                outcome
            }
            Err(outcome) => outcome,
        }
    }
}
