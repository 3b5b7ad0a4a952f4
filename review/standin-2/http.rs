//! HTTP/1.1 with whole bodies over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that was read from a connection.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> String {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or_else(String::new, |(_, value)| value.clone())
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or(0)
    }
}

/// Reads one request. Returns `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, body) = read_message(stream, buffer).ok()?;
    let mut words = head.lines().next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decode_percent(value))).collect();
    Some(Request { method, path: path.to_owned(), query, body })
}

/// Writes a response with a JSON body.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let reason = if status == 200 { "OK" } else { "Other" };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

/// Sends one request on a new connection. Returns the status and the body.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, body))
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<(String, String)> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let length = head.lines().filter_map(|line| line.split_once(':'));
    let length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize =
        length.filter_map(|(_, value)| value.trim().parse().ok()).next().unwrap_or(0);
    while buffer.len() < head_end + length {
        read_more(stream, buffer)?;
    }
    let body = String::from_utf8_lossy(&buffer[head_end..head_end + length]).into_owned();
    buffer.drain(..head_end + length);
    Ok((head, body))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0; 4096];
    match stream.read(&mut chunk)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        length => {
            buffer.extend_from_slice(&chunk[..length]);
            Ok(())
        }
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
