//! Consumers with long flows: each flow carries one request after the other, with pauses.

use {
    crate::{
        backend::{FlowId, random},
        packet::{ACK, Packet, RST, SYN},
        record::Record,
        router::Router,
    },
    std::{
        collections::HashMap,
        net::{Ipv4Addr, SocketAddrV4, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const COPIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time until all packets in flight have arrived.
const STOP_TIME: Duration = Duration::from_millis(200);
const BUDGET: Duration = Duration::from_millis(2_500);

/// What became of one flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The flow did not open.
    NotOpened,
    /// The consumer got a reset.
    Reset,
    /// A request had no answer within its time budget.
    TimedOut,
}

#[derive(Clone, Debug)]
pub struct FlowReport {
    pub id: FlowId,
    pub opened_at: Option<f64>,
    pub end: Option<(f64, End)>,
    pub answers: u32,
}

struct Flow {
    report: FlowReport,
    /// The consumer's first position.
    first: u32,
    next: u32,
    /// The next position of the backend.
    expected: u32,
    started: Instant,
    copies: usize,
    request_due: Instant,
    outstanding: Option<Outstanding>,
}

struct Outstanding {
    request: String,
    packet: Packet,
    started: Instant,
    sent_at: Instant,
    repeats: u32,
}

/// Flows of one consumer to one route.
pub struct Consumer {
    reports: Arc<Mutex<HashMap<FlowId, FlowReport>>>,
    stopped: Arc<AtomicBool>,
}

pub struct Plan {
    pub address: Ipv4Addr,
    /// The port at which all consumers receive.
    pub port: u16,
    pub route: SocketAddrV4,
    pub flows: u16,
    /// The first port of the flows' ends.
    pub first_port: u16,
    pub pause: Duration,
}

impl Consumer {
    pub fn start(plan: Plan, router: &Router, record: &Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((plan.address, plan.port))?;
        socket.set_read_timeout(Some(Duration::from_millis(3)))?;
        let reports = Arc::<Mutex<HashMap<FlowId, FlowReport>>>::default();
        let stopped = Arc::<AtomicBool>::default();
        let mut client = Client {
            next_port: plan.first_port,
            plan,
            socket,
            router: router.clone(),
            record: record.clone(),
            flows: HashMap::new(),
            reports: reports.clone(),
        };
        let ended = stopped.clone();
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                client.step();
            }
        });
        Ok(Self { reports, stopped })
    }

    /// Ends all traffic. The flows stay as they are.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        thread::sleep(STOP_TIME);
    }

    /// Returns what became of all flows.
    pub fn reports(&self) -> Vec<FlowReport> {
        self.reports.lock().unwrap().values().cloned().collect()
    }

    /// Returns the number of answers.
    pub fn answers(&self) -> u32 {
        self.reports().iter().map(|report| report.answers).sum()
    }
}

struct Client {
    plan: Plan,
    socket: UdpSocket,
    router: Router,
    record: Record,
    next_port: u16,
    flows: HashMap<u16, Flow>,
    reports: Arc<Mutex<HashMap<FlowId, FlowReport>>>,
}

impl Client {
    fn step(&mut self) {
        while self.flows.len() < usize::from(self.plan.flows) {
            self.begin_flow();
        }
        let mut buffer = [0; 2048];
        if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
            && let Some(packet) = Packet::decode(&buffer[..length])
        {
            self.handle(&packet);
        }
        let ports: Vec<u16> = self.flows.keys().copied().collect();
        for port in ports {
            self.tick(port);
        }
    }

    fn begin_flow(&mut self) {
        let port = self.next_port;
        self.next_port += 1;
        let id = (SocketAddrV4::new(self.plan.address, port), self.plan.route);
        let report = FlowReport { id, opened_at: None, end: None, answers: 0 };
        let now = Instant::now();
        let first = random();
        let flow = Flow {
            report,
            first,
            next: first.wrapping_add(1),
            expected: 0,
            started: now,
            copies: 0,
            request_due: now,
            outstanding: None,
        };
        self.flows.insert(port, flow);
    }

    fn send(&self, packet: &Packet) -> usize {
        self.router.send(&self.socket, packet.from, packet.to, &packet.encode())
    }

    fn publish(&self, flow: &Flow) {
        self.reports.lock().unwrap().insert(flow.report.id, flow.report.clone());
    }

    fn end(&mut self, port: u16, end: End) {
        let Some(mut flow) = self.flows.remove(&port) else { return };
        let request = flow.outstanding.as_ref().map_or("no request", |sent| &sent.request);
        let (id, now) = (flow.report.id, self.record.now());
        self.record.line(&format!("flow {} ends: {end:?}, with {request}", id.0));
        flow.report.end = Some((now, end));
        self.publish(&flow);
    }

    fn handle(&mut self, packet: &Packet) {
        let port = packet.to.port();
        let Some(flow) = self.flows.get_mut(&port) else { return };
        if packet.from != flow.report.id.1 {
            return;
        }
        let now = Instant::now();
        if packet.has(RST) {
            let source = if packet.sum == 0 { "the system" } else { "a backend" };
            let is_open = flow.report.opened_at.is_some();
            // Outside of this distance a reset of an open flow is not taken.
            let distance = packet.seq.wrapping_sub(flow.expected) as i32;
            let line = format!(
                "flow {} is reset by {source}, open {is_open}, distance {distance}",
                flow.report.id.0
            );
            self.record.line(&line);
            if !is_open || distance.unsigned_abs() <= 76_800 {
                self.end(port, End::Reset);
            }
            return;
        }
        if packet.has(SYN) && packet.has(ACK) {
            if flow.report.opened_at.is_none() {
                flow.expected = packet.seq.wrapping_add(1);
                flow.report.opened_at = Some(self.record.now());
                flow.request_due = now;
            } else if packet.seq.wrapping_add(1) != flow.expected {
                return;
            }
            let (id, next, expected) = (flow.report.id, flow.next, flow.expected);
            self.send(&Packet::new(id.0, id.1, ACK, next, expected));
            return;
        }
        if packet.data.is_empty() || flow.report.opened_at.is_none() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            if let Some(sent) = flow.outstanding.take() {
                let is_own = text.contains(&format!("answer to {}", sent.request));
                flow.report.answers += 1;
                flow.request_due = now + self.plan.pause;
                self.record.line(&format!("{} answered, own {is_own}", sent.request));
            }
        }
        let (id, next, expected) = (flow.report.id, flow.next, flow.expected);
        self.send(&Packet::new(id.0, id.1, ACK, next, expected));
        if let Some(flow) = self.flows.get(&port) {
            self.publish(flow);
        }
    }

    fn tick(&mut self, port: u16) {
        let now = Instant::now();
        let Some(flow) = self.flows.get_mut(&port) else { return };
        let id = flow.report.id;
        if flow.report.opened_at.is_none() {
            let age = now - flow.started;
            if age >= OPENING_TIMEOUT {
                return self.end(port, End::NotOpened);
            }
            if flow.copies < COPIES.len() && age >= COPIES[flow.copies] {
                let packet = Packet::new(id.0, id.1, SYN, flow.first, flow.copies as u32);
                flow.copies += 1;
                self.send(&packet);
            }
            return;
        }
        match &mut flow.outstanding {
            None if now >= flow.request_due => {
                let request = format!("r-{port}-{}", flow.report.answers);
                let text = format!(
                    "GET /board HTTP/1.1\r\nHost: {}\r\nYuccacroft-Request-Id: {request}\r\n\r\n",
                    id.1
                );
                let packet = Packet::new(id.0, id.1, ACK, flow.next, flow.expected)
                    .with_data(text.as_bytes());
                flow.next = flow.next.wrapping_add(text.len() as u32);
                let sent = Outstanding {
                    request: request.clone(),
                    packet: packet.clone(),
                    started: now,
                    sent_at: now,
                    repeats: 0,
                };
                flow.outstanding = Some(sent);
                let node = self.send(&packet);
                self.record.line(&format!("{request} sent to balancer {node}"));
            }
            None => {}
            Some(sent) => {
                if now - sent.started >= BUDGET {
                    return self.end(port, End::TimedOut);
                }
                let wait = Duration::from_millis((200 << sent.repeats.min(3)).min(1_600));
                if now - sent.sent_at >= wait {
                    sent.sent_at = now;
                    sent.repeats += 1;
                    let (packet, request) = (sent.packet.clone(), sent.request.clone());
                    let node = self.send(&packet);
                    self.record.line(&format!("{request} repeated to balancer {node}"));
                }
            }
        }
    }
}
