//! A small HTTP/1.1 server and client with keep-alive.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// The status and the JSON body of a response. Without a response the connection is closed.
pub type Response = Option<(u16, String)>;

impl Request {
    /// Returns a value of the query.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Serves requests on an address until `stopped` is set.
pub fn serve(
    address: SocketAddrV4,
    stopped: Arc<AtomicBool>,
    handle: impl Fn(Request) -> Response + Send + Sync + 'static,
) {
    // The address may still be held for a moment by a server before.
    let bind = |_| {
        TcpListener::bind(address).ok().or_else(|| {
            thread::sleep(Duration::from_millis(5));
            None
        })
    };
    let listener = (0..200).find_map(bind).expect("address of a server is in use");
    listener.set_nonblocking(true).expect("set_nonblocking");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handle, stopped) = (handle.clone(), stopped.clone());
                    thread::spawn(move || serve_connection(stream, &stopped, &*handle));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    stopped: &AtomicBool,
    handle: &dyn Fn(Request) -> Response,
) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (start, body) = read_message(&mut reader)?;
        if stopped.load(Ordering::Relaxed) {
            return None;
        }
        let mut words = start.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (decode(key), decode(value))).collect();
        let (status, text) = handle(Request { method, path: decode(path), query, body })?;
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        writer.write_all(head.as_bytes()).ok()?;
        writer.write_all(text.as_bytes()).ok()?;
    }
}

/// Sends one request and returns the status, or `None` if there is no answer in time.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let (start, _) = read_message(&mut BufReader::new(stream))?;
    start.split(' ').nth(1)?.parse().ok()
}

fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((start.trim().to_owned(), body))
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
