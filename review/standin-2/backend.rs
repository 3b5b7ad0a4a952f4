//! A backend beside an agent: flows, status reports and a health port.

use {
    crate::{
        http,
        packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
        record::Record,
    },
    std::{
        collections::{HashMap, HashSet},
        net::{SocketAddrV4, TcpListener, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime},
    },
};

const MAX_REPEATS: u32 = 8;
const WORK: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The two ends of a flow: the consumer's and the route's.
pub type FlowId = (SocketAddrV4, SocketAddrV4);

#[derive(Clone, Debug)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

/// What a backend has seen.
#[derive(Default)]
struct Seen {
    /// The flows that are open at this backend.
    open: HashSet<FlowId>,
    /// The requests that it has run.
    runs: Vec<String>,
}

pub struct Backend {
    seen: Arc<Mutex<Seen>>,
    stopped: Arc<AtomicBool>,
}

struct Flow {
    is_open: bool,
    /// The position of the next byte of the consumer.
    expected: u32,
    /// The backend's own next position.
    next: u32,
    unacknowledged: Option<(Packet, Instant, u32)>,
    answer_at: Option<(Instant, String)>,
}

impl Backend {
    pub fn start(settings: Settings, record: &Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let health = TcpListener::bind(settings.app)?;
        thread::spawn(move || {
            for mut stream in health.incoming().flatten() {
                thread::spawn(move || {
                    let mut buffer = Vec::new();
                    while http::read_request(&mut stream, &mut buffer).is_some() {
                        if http::respond(&mut stream, 200, "{}").is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let (seen, stopped) = (Arc::<Mutex<Seen>>::default(), Arc::<AtomicBool>::default());
        let mut server = Server {
            settings: settings.clone(),
            socket,
            seen: seen.clone(),
            record: record.clone(),
            flows: HashMap::new(),
        };
        let ended = stopped.clone();
        thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                server.step();
            }
        });
        let (reporter, ended) = (settings.clone(), stopped.clone());
        thread::spawn(move || report(&reporter, &ended));
        Ok(Self { seen, stopped })
    }

    /// Returns true if the flow is open at this backend.
    pub fn holds(&self, id: FlowId) -> bool {
        self.seen.lock().unwrap().open.contains(&id)
    }

    /// Returns the number of requests that it has run in flows of consumers' ports from this one on.
    pub fn runs_from(&self, port: u16) -> u32 {
        let seen = self.seen.lock().unwrap();
        let port_of = |run: &&String| run.split('-').nth(1).and_then(|port| port.parse().ok());
        let is_later = |run: &&String| port_of(run).is_some_and(|own: u16| own >= port);
        seen.runs.iter().filter(is_later).count() as u32
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn report(settings: &Settings, ended: &AtomicBool) {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
    let Settings { id, service, zone, app, control, .. } = settings;
    let mut sequence = 0;
    while !ended.load(Ordering::Relaxed) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        let _ =
            http::call((*control).into(), "POST", &format!("/api/Backends.Heartbeat/{id}"), &body);
        thread::sleep(HEARTBEAT);
    }
}

struct Server {
    settings: Settings,
    socket: UdpSocket,
    seen: Arc<Mutex<Seen>>,
    record: Record,
    flows: HashMap<FlowId, Flow>,
}

impl Server {
    fn step(&mut self) {
        let mut buffer = [0; 2048];
        if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
            && let Some(packet) = Packet::decode(&buffer[..length])
        {
            self.handle(packet, &mut buffer[..length]);
        }
        let now = Instant::now();
        let due: Vec<FlowId> = self.flows.keys().copied().collect();
        for id in due {
            self.tick(id, now);
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.settings.outbound);
    }

    fn handle(&mut self, packet: Packet, bytes: &mut [u8]) {
        if !packet.is_intact() {
            self.record
                .line(&format!("{} got an altered packet of {}", self.settings.id, packet.from));
            return;
        }
        let id = (packet.from, packet.to);
        if packet.flags == SYN && !self.flows.contains_key(&id) {
            let next = random();
            let flow = Flow {
                is_open: false,
                expected: packet.seq.wrapping_add(1),
                next: next.wrapping_add(1),
                unacknowledged: None,
                answer_at: None,
            };
            let accept = Packet::new(packet.to, packet.from, SYN | ACK, next, flow.expected);
            self.send(&accept);
            let flow = Flow { unacknowledged: Some((accept, Instant::now(), 0)), ..flow };
            self.flows.insert(id, flow);
            return;
        }
        let Some(flow) = self.flows.get_mut(&id) else {
            // The packet is returned as it came, but for the flag and the padding.
            bytes[22] |= BOUNCED;
            bytes[23] = 0;
            let _ = self.socket.send_to(bytes, self.settings.outbound);
            return;
        };
        if packet.has(SYN) {
            if let Some((accept, ..)) = flow.unacknowledged.clone().filter(|_| !flow.is_open) {
                self.send(&accept);
            }
            return;
        }
        if packet.has(RST) {
            self.flows.remove(&id);
            self.seen.lock().unwrap().open.remove(&id);
            return;
        }
        if packet.ack == flow.next {
            flow.unacknowledged = None;
            if !flow.is_open {
                flow.is_open = true;
                self.seen.lock().unwrap().open.insert(id);
                self.record
                    .line(&format!("{} opens the flow {} to {}", self.settings.id, id.0, id.1));
            }
        } else if !flow.is_open {
            return;
        }
        if packet.has(FIN) {
            let reply = Packet::new(id.1, id.0, ACK | FIN, flow.next, packet.seq.wrapping_add(1));
            self.send(&reply);
            self.flows.remove(&id);
            self.seen.lock().unwrap().open.remove(&id);
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data);
            let request =
                text.lines().find_map(|line| line.strip_prefix("Yuccacroft-Request-Id: "));
            let request = request.unwrap_or_default().to_owned();
            self.seen.lock().unwrap().runs.push(request.clone());
            self.record.line(&format!("{} runs {request}", self.settings.id));
            flow.answer_at = Some((Instant::now() + WORK, request));
        }
    }

    fn tick(&mut self, id: FlowId, now: Instant) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if let Some((_, request)) = flow.answer_at.take_if(|(at, _)| now >= *at) {
            let body = format!("answer to {request}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nYuccacroft-Request-Id: {request}\r\nYuccacroft-Response-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
                self.settings.id,
                body.len()
            );
            let packet =
                Packet::new(id.1, id.0, ACK, flow.next, flow.expected).with_data(text.as_bytes());
            flow.next = flow.next.wrapping_add(text.len() as u32);
            flow.unacknowledged = Some((packet.clone(), now, 0));
            self.send(&packet);
            return;
        }
        let Some((packet, sent_at, repeats)) = &mut flow.unacknowledged else { return };
        let wait = Duration::from_millis((200 << (*repeats).min(3)).min(1_600));
        if now - *sent_at < wait {
            return;
        }
        *sent_at = now;
        *repeats += 1;
        if *repeats > MAX_REPEATS {
            // The consumer is gone.
            self.flows.remove(&id);
            self.seen.lock().unwrap().open.remove(&id);
            return;
        }
        let packet = packet.clone();
        self.send(&packet);
    }
}

/// Returns a random number from the hash seeds of the standard library.
pub fn random() -> u32 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish() as u32
}
