//! HTTP/3 endpoint: accepts connections of callers and passes their requests to the service.

use {
    crate::{
        chain, conversion,
        errors::{Error, Result},
        owner,
        service::{Outcome, ServeResult, Service},
        upstream_answer::{Truncated, UpstreamAnswer},
    },
    bytes::{Buf, Bytes, BytesMut},
    h3::{
        error::{Code, StreamError},
        quic::BidiStream,
        server::RequestStream,
    },
    http::{HeaderValue, Request as HttpRequest, Response, StatusCode, header},
    quinn::{
        ConnectionId, ConnectionIdGenerator, EndpointConfig, IdleTimeout, ServerConfig,
        TransportConfig, crypto::rustls::QuicServerConfig,
    },
    rustls_pki_types::{CertificateDer, PrivateKeyDer},
    slog::{Logger, debug},
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
    yuccacroft_core::{
        ids::RequestId,
        key::Secret,
        ownership::OwnershipTable,
        request::{Effect, RefusalReason, Request},
        tag::{Cipher, Owner, TAG_BYTES},
        units::Size,
    },
};

/// Largest request body. Bodies are buffered completely, so that a queued request can still be
/// refused or offered to a sibling.
const MAX_REQUEST_BODY: Size = Size::new(1 << 20);
/// Largest QUIC packet. It leaves room for the capsule header, so that a capsule is never
/// fragmented.
const MAX_PACKET_BYTES: u16 = 1_200;
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const IDLE_TIMEOUT_MS: u32 = 30_000;
const ALPN: &[u8] = b"h3";

/// The certificate of a service and its private key.
#[derive(Debug)]
pub struct Certificate {
    /// The certificate chain, starting with the service's own certificate.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key.
    pub key: PrivateKeyDer<'static>,
}

/// Accepts connections of callers and passes their requests to the service.
pub struct RequestAcceptor {
    service: Arc<Service>,
    table: Arc<OwnershipTable>,
    log: Logger,
    active_requests: Arc<AtomicUsize>,
}

/// Generates connection ids that are owner tags.
struct TagGenerator {
    cipher: Cipher,
    owner: Owner,
    nonce: Arc<AtomicU32>,
}

/// An open connection, which is counted until it is dropped, even by a panic.
struct OpenConnection(Arc<OwnershipTable>);

/// A request in progress, which is counted until it is dropped, even by a panic: a planned stop
/// waits until none is left.
struct ActiveRequest(Arc<AtomicUsize>);

type Stream<S> = RequestStream<S, Bytes>;

impl OpenConnection {
    fn new(table: Arc<OwnershipTable>) -> Self {
        table.count_opened();
        Self(table)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count_closed();
    }
}

impl ActiveRequest {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionIdGenerator for TagGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let nonce = self.nonce.fetch_add(1, Ordering::Relaxed);
        ConnectionId::new(&self.cipher.encode(self.owner, nonce))
    }

    fn cid_len(&self) -> usize {
        TAG_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Builds the endpoint configuration. Connection ids are owner tags. All agents of the service
/// share the key of stateless resets, so that callers of an earlier process accept a reset from
/// this one.
pub fn endpoint_config(owner: Owner, tag: &Secret, reset: &Secret) -> EndpointConfig {
    let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, reset.bytes());
    let mut config = EndpointConfig::new(Arc::new(key));
    let cipher = Cipher::new(tag);
    let nonce = Arc::new(AtomicU32::new(rand::random()));
    config.cid_generator(move || {
        Box::new(TagGenerator { cipher: cipher.clone(), owner, nonce: nonce.clone() })
    });
    config
}

/// Builds the TLS and transport configuration.
pub fn server_config(certificate: Certificate) -> Result<ServerConfig> {
    let certificate_error =
        |cause: &dyn std::fmt::Display| Error::Certificate(cause.to_string().into());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| certificate_error(&error))?
        .with_no_client_auth()
        .with_single_cert(certificate.chain, certificate.key)
        .map_err(|error| certificate_error(&error))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(|error| certificate_error(&error))?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    let mut transport = TransportConfig::default();
    transport
        .initial_mtu(MAX_PACKET_BYTES)
        .mtu_discovery_config(None)
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS))));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

impl RequestAcceptor {
    /// Creates the HTTP/3 front end of a service.
    pub fn new(service: Arc<Service>, table: Arc<OwnershipTable>, log: Logger) -> Self {
        Self { service, table, log, active_requests: Arc::default() }
    }

    /// Returns the names of the request filters in their order.
    pub fn filter_names(&self) -> impl Iterator<Item = &'static str> {
        self.service.filter_names()
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::Relaxed)
    }

    /// Accepts connections until the endpoint closes. Each of them gets a GOAWAY frame when
    /// `goaway` becomes true.
    pub async fn accept(self: Arc<Self>, endpoint: quinn::Endpoint, goaway: watch::Receiver<bool>) {
        while let Some(incoming) = endpoint.accept().await {
            let (acceptor, goaway) = (self.clone(), goaway.clone());
            // A planned stop ends when nothing is counted, so the count begins before the task runs.
            let open = OpenConnection::new(self.table.clone());
            tokio::spawn(async move {
                let _open = open;
                if let Err(error) = acceptor.serve_connection(incoming, goaway).await {
                    debug!(acceptor.log, "connection ended"; "cause" => %error);
                }
            });
        }
    }

    async fn serve_connection(
        self: &Arc<Self>,
        incoming: quinn::Incoming,
        mut goaway: watch::Receiver<bool>,
    ) -> std::result::Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let connection = incoming.await?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let mut server = h3::server::Connection::new(transport).await?;
        let mut goaway_sent = false;
        loop {
            let resolver = tokio::select! {
                accepted = server.accept() => match accepted? {
                    Some(resolver) => resolver,
                    None => {
                        // Dropping the connection would truncate answers in flight.
                        connection.closed().await;
                        return Ok(());
                    }
                },
                () = goaway_requested(&mut goaway), if !goaway_sent => {
                    goaway_sent = true;
                    // RFC 9114, section 5.2: the stream of the GOAWAY frame and all later ones are
                    // not processed. The library sends the last accepted stream plus this number.
                    server.shutdown(1).await?;
                    continue;
                }
            };
            let (acceptor, connection) = (self.clone(), connection.clone());
            let active = ActiveRequest::new(self.active_requests.clone());
            tokio::spawn(async move {
                let _active = active;
                match resolver.resolve_request().await {
                    // The library accepts one more stream, whose request the caller may already
                    // have retried elsewhere.
                    Ok((_, mut stream)) if goaway_sent => {
                        stream.stop_sending(Code::H3_REQUEST_REJECTED);
                        stream.stop_stream(Code::H3_REQUEST_REJECTED);
                    }
                    Ok((request, stream)) => {
                        acceptor.serve_request(request, stream, &connection).await
                    }
                    Err(_) => {}
                }
            });
        }
    }

    async fn serve_request<S: BidiStream<Bytes>>(
        &self,
        request: HttpRequest<()>,
        mut stream: Stream<S>,
        connection: &quinn::Connection,
    ) {
        let (parts, ()) = request.into_parts();
        let request_id = RequestId::new(rand::random());
        let (head, arrived) = (parts.clone(), self.service.clock().now());
        let has_idempotency_key = chain::idempotency_key(&parts).is_some();
        let result = match read_body(&mut stream).await {
            Body::Complete(body) => {
                let serve = self.service.serve(request_id, parts, body);
                match self.serve_while_connected(serve, connection, has_idempotency_key).await {
                    Some(result) => result,
                    None => return,
                }
            }
            Body::TooLarge => {
                let refused = Request::new(request_id, Effect::Once, self.service.clock().now());
                ServeResult::Complete(Outcome::NotRun(refused.refuse(RefusalReason::Malformed)))
            }
            Body::Cancelled => return,
        };
        let owner_header = self.service.owner_header(&head, arrived);
        // Sending fails only when the caller has cancelled or disconnected.
        let _ = match result {
            ServeResult::Answering(answer) => {
                self.stream_answer(*answer, owner_header, &mut stream, connection).await
            }
            ServeResult::Complete(outcome) => {
                self.send_outcome(&outcome, owner_header, &mut stream).await
            }
        };
    }

    /// Serves a request and cancels it when the connection closes. A request with an idempotency
    /// key continues, so that a retry on a new connection gets the answer.
    async fn serve_while_connected(
        &self,
        serve: impl Future<Output = ServeResult>,
        connection: &quinn::Connection,
        has_idempotency_key: bool,
    ) -> Option<ServeResult> {
        if has_idempotency_key {
            return Some(serve.await);
        }
        tokio::select! {
            result = serve => Some(result),
            _ = connection.closed() => None,
        }
    }

    /// Streams the answer to the caller. An interruption resets the stream, so that the caller does
    /// not take a truncated answer for a complete one.
    async fn stream_answer<S: BidiStream<Bytes>>(
        &self,
        mut answer: UpstreamAnswer,
        owner_header: HeaderValue,
        stream: &mut Stream<S>,
        connection: &quinn::Connection,
    ) -> std::result::Result<(), StreamError> {
        let mut head = answer.head();
        head.headers_mut().insert(owner::OWNER_HEADER, owner_header);
        let mut send_result = stream.send_response(head).await;
        while send_result.is_ok() {
            let chunk = tokio::select! {
                chunk = answer.next_chunk() => chunk,
                _ = connection.closed() => break,
            };
            match chunk {
                None => return stream.finish().await,
                Some(Ok(data)) => send_result = stream.send_data(data).await,
                Some(Err(Truncated)) => {
                    stream.stop_stream(Code::H3_INTERNAL_ERROR);
                    return Ok(());
                }
            }
        }
        // A lost connection does not cancel the request: its caller retries with the same key.
        if answer.outlives_caller(connection.close_reason().is_none()) {
            answer.read_to_end().await;
        }
        send_result
    }

    /// Sends a complete outcome. `docs/requests.md` lists the statuses that callers see.
    async fn send_outcome<S: BidiStream<Bytes>>(
        &self,
        outcome: &Outcome,
        owner_header: HeaderValue,
        stream: &mut Stream<S>,
    ) -> std::result::Result<(), StreamError> {
        let (mut head, body) = match outcome {
            Outcome::Answered(answer) => {
                (conversion::response_head(answer), Bytes::copy_from_slice(&answer.body))
            }
            Outcome::NotRun(refusal) => (self.refusal_head(refusal.reason()), Bytes::new()),
            Outcome::Unknown(_) => {
                (proxy_status_head(StatusCode::BAD_GATEWAY, "unknown"), Bytes::new())
            }
        };
        head.headers_mut().insert(owner::OWNER_HEADER, owner_header);
        stream.send_response(head).await?;
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await
    }

    fn refusal_head(&self, reason: RefusalReason) -> Response<()> {
        let status = match reason {
            RefusalReason::Malformed => StatusCode::BAD_REQUEST,
            RefusalReason::Contract => StatusCode::FORBIDDEN,
            RefusalReason::Tombstone => StatusCode::CONFLICT,
            RefusalReason::Conflict => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalReason::Overload | RefusalReason::Deadline | RefusalReason::Leaving => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        };
        let mut head = proxy_status_head(status, &format!("not-run: {reason}"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let wait = self.service.limiter().retry_after().as_millis().div_ceil(1_000);
            head.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(wait));
        }
        head
    }
}

/// Waits until callers are to be sent a GOAWAY frame. Does not return after the sender was
/// dropped.
async fn goaway_requested(goaway: &mut watch::Receiver<bool>) {
    if goaway.wait_for(|goaway| *goaway).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Result of reading a request body.
enum Body {
    Complete(Bytes),
    TooLarge,
    Cancelled,
}

async fn read_body<S: BidiStream<Bytes>>(stream: &mut Stream<S>) -> Body {
    let mut body = BytesMut::new();
    loop {
        let mut data = match stream.recv_data().await {
            Ok(Some(data)) => data,
            Ok(None) => return Body::Complete(body.freeze()),
            Err(_) => return Body::Cancelled,
        };
        if (body.len() + data.remaining()) as u64 > MAX_REQUEST_BODY.get() {
            return Body::TooLarge;
        }
        while data.has_remaining() {
            let chunk = data.chunk();
            body.extend_from_slice(chunk);
            let length = chunk.len();
            data.advance(length);
        }
    }
}

/// Returns the response head of an outcome other than an answer, with a `Proxy-Status` header
/// (RFC 9209).
fn proxy_status_head(status: StatusCode, details: &str) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    let text = format!("yuccacroft; details=\"{details}\"");
    if let Ok(value) = HeaderValue::from_str(&text) {
        head.headers_mut().insert("proxy-status", value);
    }
    head
}
