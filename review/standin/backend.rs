//! A backend beside an agent, as PROTOCOL.md describes it.

use {
    crate::{
        http,
        packet::{ACK, BOUNCED, FIN, Packet, RST, Record, SYN, random},
    },
    std::{
        collections::HashMap,
        net::{SocketAddrV4, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The time between two status reports.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(20);
/// Time for which a backend remembers a flow that has ended.
const ENDED_FLOW_TTL: Duration = Duration::from_secs(5);
const MAX_RETRANSMISSIONS: u32 = 8;

/// The addresses of a backend and of its agent.
#[derive(Clone)]
pub struct Place {
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

/// One boot of a backend.
pub struct Backend {
    pub id: String,
    pub born: u64,
    place: Place,
    dead: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    /// The time of the confirmation of `draining`, in milliseconds of the record; 0 for none.
    pub draining_confirmed_ms: Arc<AtomicU64>,
    /// The opening packets that the backend accepted: the time and the consumer's end.
    pub accepted: Arc<Mutex<Vec<(f64, SocketAddrV4)>>>,
    record: Arc<Record>,
}

struct Flow {
    /// The end of the backend and that of the consumer.
    ends: (SocketAddrV4, SocketAddrV4),
    /// The next position to send, and the next one expected.
    send: u32,
    receive: u32,
    is_open: bool,
    has_ended: bool,
    /// The last packet that was sent and is not acknowledged: when, how often, and its end.
    unacknowledged: Option<(Packet, Instant, u32, u32)>,
    /// The response that is being worked on: when it is due, for which request, and whether it is
    /// the last one of the flow.
    work: Option<(Instant, String, bool)>,
    ended_at: Option<Instant>,
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Backend {
    /// Starts a boot. `born` is its start by the clock of its machine.
    pub fn start(place: &Place, born: u64, record: &Arc<Record>) -> Self {
        let id = format!("i-{:08x}", random() as u32);
        let backend = Self {
            id: id.clone(),
            born,
            place: place.clone(),
            dead: Arc::default(),
            draining: Arc::default(),
            draining_confirmed_ms: Arc::default(),
            accepted: Arc::default(),
            record: record.clone(),
        };
        record
            .add(&format!("backend {id} of {} starts at {} born {born}", place.service, place.app));
        // The address may still be held for a moment by the boot before.
        let socket = (0..200)
            .find_map(|_| {
                UdpSocket::bind(place.app).ok().or_else(|| {
                    thread::sleep(Duration::from_millis(5));
                    None
                })
            })
            .expect("address of a backend is in use");
        http::serve(place.app, backend.dead.clone(), |_| Some((200, "{}".into())));
        backend.serve_packets(socket);
        backend.send_reports();
        backend
    }

    /// Ends the boot without a word, as a crash does.
    pub fn crash(&self) {
        self.dead.store(true, Ordering::SeqCst);
        self.record.add(&format!("backend {} crashes", self.id));
    }

    /// Reports `draining` from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.record.add(&format!("backend {} is draining", self.id));
    }

    fn send_reports(&self) {
        let Self { id, born, place, dead, draining, draining_confirmed_ms, record, .. } = self;
        let (id, born, place, record) = (id.clone(), *born, place.clone(), record.clone());
        let (dead, draining, confirmed) =
            (dead.clone(), draining.clone(), draining_confirmed_ms.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            let mut next = Instant::now();
            let mut told_draining = false;
            while !dead.load(Ordering::SeqCst) {
                let is_draining = draining.load(Ordering::SeqCst);
                if Instant::now() < next && is_draining == told_draining {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                next = Instant::now() + HEARTBEAT_INTERVAL;
                told_draining = is_draining;
                sequence += 1;
                let state = if is_draining { "draining" } else { "ready" };
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
                     \"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
                    place.service, place.app, place.zone
                );
                let path = format!("/api/Backends.Heartbeat/{id}");
                let status = http::call(place.control, "POST", &path, &body, REPORT_TIMEOUT);
                record.add(&format!("report {sequence} {state} of {id} answered {status:?}"));
                if is_draining && status.is_some_and(|status| status / 100 == 2) {
                    let now = (record.seconds() * 1e3) as u64;
                    let _ = confirmed.compare_exchange(0, now, Ordering::SeqCst, Ordering::SeqCst);
                }
            }
        });
    }

    fn serve_packets(&self, socket: UdpSocket) {
        socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        let (id, place, dead) = (self.id.clone(), self.place.clone(), self.dead.clone());
        let (record, accepted) = (self.record.clone(), self.accepted.clone());
        let draining = self.draining.clone();
        thread::spawn(move || {
            let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
            let mut buffer = [0; 2_048];
            while !dead.load(Ordering::SeqCst) {
                if let Ok((length, _)) = socket.recv_from(&mut buffer)
                    && let Some(packet) = Packet::decode(&buffer[..length])
                {
                    if !packet.is_genuine {
                        record.add(&format!("FORGED packet at {id}: {packet:?}"));
                    }
                    let key = (packet.from, packet.to);
                    let opens = packet.flags & (SYN | ACK) == SYN;
                    if opens && flows.get(&key).is_none_or(|flow| flow.has_ended) {
                        accepted.lock().unwrap().push((record.seconds(), packet.from));
                        record.add(&format!("opening packet of {} accepted by {id}", packet.from));
                        flows.insert(key, Flow::accept(&packet, &socket, &place));
                    } else if let Some(flow) = flows.get_mut(&key) {
                        flow.handle(&packet, &id, &socket, &place, &record);
                    } else {
                        let mut returned = buffer[..length].to_vec();
                        returned[22] |= BOUNCED;
                        returned[23] = 0;
                        let _ = socket.send_to(&returned, place.outbound);
                    }
                }
                // An ended flow is forgotten some time later.
                flows
                    .retain(|_, flow| flow.ended_at.is_none_or(|at| at.elapsed() < ENDED_FLOW_TTL));
                let is_draining = draining.load(Ordering::SeqCst);
                for flow in flows.values_mut() {
                    flow.tick(is_draining, &id, &socket, &place);
                }
            }
        });
    }
}

impl Flow {
    fn accept(packet: &Packet, socket: &UdpSocket, place: &Place) -> Self {
        let start = random() as u32;
        let mut flow = Self {
            ends: (packet.to, packet.from),
            send: start,
            receive: packet.seq.wrapping_add(1),
            is_open: false,
            has_ended: false,
            unacknowledged: None,
            work: None,
            ended_at: None,
        };
        let answer = Packet::new(packet.to, packet.from, SYN | ACK, start, flow.receive, &[]);
        flow.transmit(answer, 1, socket, place);
        flow
    }

    fn transmit(&mut self, packet: Packet, length: u32, socket: &UdpSocket, place: &Place) {
        let _ = socket.send_to(&packet.encode(), place.outbound);
        self.send = packet.seq.wrapping_add(length);
        self.unacknowledged = Some((packet, Instant::now(), 0, self.send));
    }

    fn handle(
        &mut self,
        packet: &Packet,
        id: &str,
        socket: &UdpSocket,
        place: &Place,
        record: &Record,
    ) {
        let reply = |flags, seq, ack| {
            let packet = Packet::new(packet.to, packet.from, flags, seq, ack, &[]);
            let _ = socket.send_to(&packet.encode(), place.outbound);
        };
        if packet.flags & SYN != 0 {
            if let Some((answer, ..)) = &self.unacknowledged {
                let _ = socket.send_to(&answer.encode(), place.outbound);
            }
            return;
        }
        if packet.is_reset() {
            self.has_ended = true;
            return;
        }
        if self.has_ended {
            let is_finish = packet.flags & FIN != 0;
            return reply(
                if is_finish { ACK } else { RST },
                packet.ack,
                packet.seq.wrapping_add(1),
            );
        }
        if self.unacknowledged.as_ref().is_some_and(|(.., end)| *end == packet.ack) {
            if !self.is_open {
                self.is_open = true;
                record.add(&format!("flow of {} open at {id}", packet.from));
            }
            self.unacknowledged = None;
        }
        if !self.is_open {
            return;
        }
        let is_next = packet.seq == self.receive;
        if is_next && !packet.data.is_empty() {
            self.receive = self.receive.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let request = header(&text, "Yuccacroft-Request-Id").unwrap_or("none").to_owned();
            record.add(&format!("request {request} runs at {id} ({})", place.service));
            let is_last = header(&text, "Connection") == Some("close");
            self.work = Some((Instant::now() + WORK, request, is_last));
        }
        if is_next && packet.flags & FIN != 0 {
            self.receive = self.receive.wrapping_add(1);
            self.has_ended = true;
            self.ended_at = Some(Instant::now());
        }
        reply(ACK, self.send, self.receive);
    }

    fn tick(&mut self, is_draining: bool, id: &str, socket: &UdpSocket, place: &Place) {
        if let Some((due, request, is_last)) = &self.work
            && *due <= Instant::now()
        {
            let (request, is_last) = (request.clone(), *is_last);
            let body = format!("served by {id}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nYuccacroft-Request-Id: {request}\r\nYuccacroft-Instance-Id: {id}\r\n\
                 Yuccacroft-Backend-Load: 1,0,{SLOTS}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            self.work = None;
            // A draining backend closes each flow after its next response.
            let closes = is_draining || is_last;
            let flags = if closes { ACK | FIN } else { ACK };
            let (own, consumer) = self.ends;
            let answer =
                Packet::new(own, consumer, flags, self.send, self.receive, text.as_bytes());
            self.transmit(answer, text.len() as u32 + u32::from(closes), socket, place);
            return;
        }
        if let Some((packet, at, count, _)) = &mut self.unacknowledged
            && *count < MAX_RETRANSMISSIONS
        {
            let wait = Duration::from_millis((200u64 << (*count).min(3)).min(1_600));
            if at.elapsed() >= wait {
                let _ = socket.send_to(&packet.encode(), place.outbound);
                (*at, *count) = (Instant::now(), *count + 1);
            }
        }
    }
}

/// Returns a header of an HTTP message.
pub fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}
