//! HTTP/1.1 client of the agent's upstream.

use {
    crate::chain::DEADLINE_HEADER,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response, Uri, header, request::Parts},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt::{Display, Formatter},
        net::SocketAddr,
        time::Duration,
    },
    tokio::net::TcpStream,
    yuccacroft_core::time::Span,
};

/// Hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// TCP keep-alive of upstream connections. A streaming answer may pause for hours, so only probes
/// detect a connection that the upstream has lost; it is closed after about 25 s.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_PROBES: u32 = 3;

/// Opens connections to one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    address: SocketAddr,
}

/// A new connection that carries one request.
#[derive(Debug)]
pub struct UpstreamConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Reason why there is no answer.
#[derive(Debug)]
pub enum Error {
    /// The connection failed, so the request did not run.
    Unreachable,
    /// The connection broke after the request was sent, so it may have run.
    Lost(Box<str>),
}

impl UpstreamClient {
    /// Creates the client of the upstream at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Opens a connection for one request. A new connection shows that the upstream responds, which
    /// a pooled one does not; a failure here precedes the dispatch of the request.
    pub async fn connect(&self) -> Result<UpstreamConnection, Error> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = stream.await.ok().and_then(Result::ok).ok_or(Error::Unreachable)?;
        let keep_alive = TcpKeepalive::new().with_time(KEEP_ALIVE_IDLE);
        let keep_alive =
            keep_alive.with_interval(KEEP_ALIVE_INTERVAL).with_retries(KEEP_ALIVE_PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&keep_alive).map_err(|_| Error::Unreachable)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|_| Error::Unreachable)?;
        tokio::spawn(async move {
            // The request gets the error as well.
            let _ = connection.await;
        });
        sender.ready().await.map_err(|_| Error::Unreachable)?;
        Ok(UpstreamConnection { address: self.address, sender })
    }
}

impl UpstreamConnection {
    /// Sends the request of this connection. Dropping the response body closes the connection.
    pub async fn send(
        mut self,
        parts: &Parts,
        body: Bytes,
        remaining: Span,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = build_request(parts, body, remaining);
        *request.uri_mut() = origin_form(&parts.uri);
        let host = HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        request.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        self.sender.send_request(request).await.map_err(|error| Error::lost(&error))
    }
}

impl Error {
    fn lost(cause: &dyn Display) -> Self {
        Self::Lost(cause.to_string().into())
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => f.write_str("upstream cannot be reached"),
            Self::Lost(cause) => write!(f, "connection to the upstream was lost: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns a copy of the headers without the hop-by-hop ones.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut copy = headers.clone();
    for name in &HOP_BY_HOP {
        copy.remove(name);
    }
    copy.remove("keep-alive");
    copy
}

/// Builds the upstream request with the remaining time in its deadline header.
fn build_request(parts: &Parts, body: Bytes, remaining: Span) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = parts.method.clone();
    *request.headers_mut() = end_to_end(&parts.headers);
    let text = format!("{} ms", remaining.as_millis());
    if let Ok(value) = HeaderValue::from_str(&text) {
        request.headers_mut().insert(DEADLINE_HEADER, value);
    }
    request
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
