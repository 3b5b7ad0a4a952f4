//! The HTTP/3 endpoint: connections and requests of callers.

use {
    crate::{
        chain::{self, Item, Limits},
        desk::Desk,
        errors::{Error, Result},
        upstream::{self, Client},
    },
    bytes::{Buf, Bytes, BytesMut},
    h3::{quic::BidiStream, server::RequestStream},
    http::{HeaderValue, Request as HttpRequest, Response, StatusCode, header},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    metrics::counter,
    quinn::{
        ConnectionId, ConnectionIdGenerator, EndpointConfig, IdleTimeout, ServerConfig,
        TransportConfig, crypto::rustls::QuicServerConfig,
    },
    rustls_pki_types::{CertificateDer, PrivateKeyDer},
    slog::{Logger, debug},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
    yuccacroft_core::{
        filter::Chain,
        ids::Call,
        key::Secret,
        ownership::Book,
        request::{Dispatched, Reason, Refusal, Request, Unknown},
        tag::{Cipher, Owner, TAG_BYTES},
        time::Span,
        units::Size,
    },
    yuccacroft_rpc::clock::Clock,
};

/// Largest request body. Requests are held whole, so that one that waits can still be refused or
/// handed to a sibling.
const MAX_BODY: Size = Size::new(1 << 20);
/// Packets are capped so that a capsule is never fragmented.
const PACKET_BYTES: u16 = 1_200;
const KEEP_ALIVE: Duration = Duration::from_secs(5);
const IDLE_MILLIS: u32 = 30_000;
const ALPN: &[u8] = b"h3";
const RETRY_AFTER_SECS: u16 = 1;

/// The certificate of a service with its key.
#[derive(Debug)]
pub struct Certificate {
    /// The chain, the service's own certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key.
    pub key: PrivateKeyDer<'static>,
}

/// Serves the requests of all connections.
pub struct Service {
    chain: Chain<(Item, Limits), Reason>,
    desk: Arc<Desk>,
    upstream: Client,
    book: Arc<Book>,
    clock: Clock,
    log: Logger,
    limits: watch::Receiver<(Limits, Span)>,
    active: AtomicUsize,
}

/// Generates connection ids that carry the owner tag.
struct Generator {
    cipher: Cipher,
    owner: Owner,
    nonce: Arc<AtomicU32>,
}

type Stream<S> = RequestStream<S, Bytes>;

/// How a request ended before its answer could be streamed.
enum Failure {
    Refused(Refusal),
    Unknown(Unknown),
}

impl ConnectionIdGenerator for Generator {
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

/// Builds the endpoint configuration: owner tags, and resets that callers of any earlier process
/// at this service accept.
pub fn endpoint_config(owner: Owner, tag: &Secret, reset: &Secret) -> EndpointConfig {
    let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, reset.bytes());
    let mut config = EndpointConfig::new(Arc::new(key));
    let cipher = Cipher::new(tag);
    let nonce = Arc::new(AtomicU32::new(rand::random()));
    config.cid_generator(move || {
        Box::new(Generator { cipher: cipher.clone(), owner, nonce: nonce.clone() })
    });
    config
}

/// Builds the server configuration.
pub fn server_config(certificate: Certificate) -> Result<ServerConfig> {
    let fail = |cause: &dyn std::fmt::Display| Error::Certificate(cause.to_string().into());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| fail(&error))?
        .with_no_client_auth()
        .with_single_cert(certificate.chain, certificate.key)
        .map_err(|error| fail(&error))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(|error| fail(&error))?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    let mut transport = TransportConfig::default();
    transport
        .initial_mtu(PACKET_BYTES)
        .mtu_discovery_config(None)
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(IDLE_MILLIS))));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

impl Service {
    /// Creates the service in front of one upstream. `limits` holds what the contract in force
    /// says: the limits of requests and the longest wait for a slot.
    pub fn new(
        desk: Arc<Desk>,
        upstream: Client,
        book: Arc<Book>,
        clock: Clock,
        limits: watch::Receiver<(Limits, Span)>,
        log: Logger,
    ) -> Self {
        let chain = chain::chain();
        Self { chain, desk, upstream, book, clock, log, limits, active: AtomicUsize::new(0) }
    }

    /// Returns the number of requests that were begun and not ended.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Accepts connections until the endpoint closes.
    pub async fn accept(self: Arc<Self>, endpoint: quinn::Endpoint, leave: watch::Receiver<bool>) {
        while let Some(incoming) = endpoint.accept().await {
            let (service, leave) = (self.clone(), leave.clone());
            tokio::spawn(async move {
                service.book.opened();
                if let Err(error) = service.connection(incoming, leave).await {
                    debug!(service.log, "connection_ended"; "cause" => %error);
                }
                service.book.closed();
            });
        }
    }

    async fn connection(
        self: &Arc<Self>,
        incoming: quinn::Incoming,
        mut leave: watch::Receiver<bool>,
    ) -> std::result::Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let connection = incoming.await?;
        let mut server = h3::server::Connection::new(h3_quinn::Connection::new(connection)).await?;
        let mut leaving = false;
        loop {
            let resolver = tokio::select! {
                accepted = server.accept() => match accepted? {
                    Some(resolver) => resolver,
                    None => return Ok(()),
                },
                () = requested(&mut leave), if !leaving => {
                    leaving = true;
                    server.shutdown(0).await?;
                    continue;
                }
            };
            let service = self.clone();
            tokio::spawn(async move {
                service.active.fetch_add(1, Ordering::Relaxed);
                if let Ok((request, stream)) = resolver.resolve_request().await {
                    service.request(request, stream).await;
                }
                service.active.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    async fn request<S: BidiStream<Bytes>>(&self, request: HttpRequest<()>, stream: Stream<S>) {
        let mut stream = stream;
        let (parts, ()) = request.into_parts();
        let (limits, wait) = *self.limits.borrow();
        let now = self.clock.now();
        let mut item = (Item::new(Call::new(rand::random()), parts, now), limits);
        let refused = self.chain.run(&mut item);
        let (item, _) = item;
        let received = Request::new(item.call, item.effect, item.deadline);
        let result = match (refused, read_body(&mut stream).await) {
            (Some(reason), _) => Err(Failure::Refused(received.refuse(reason))),
            (None, None) => Err(Failure::Refused(received.refuse(Reason::Malformed))),
            (None, Some(body)) => self.dispatch(received, wait, &item, body, &mut stream).await,
        };
        if let Err(failure) = result {
            self.record(&failure);
            // An error here means that the caller is gone.
            let _ = explain(&failure, &mut stream).await;
        }
    }

    async fn dispatch<S: BidiStream<Bytes>>(
        &self,
        request: Request<yuccacroft_core::request::Received>,
        wait: Span,
        item: &Item,
        body: Bytes,
        stream: &mut Stream<S>,
    ) -> std::result::Result<(), Failure> {
        let request = request.queue(self.clock.now());
        let admitted = self.desk.admit(request, wait).await;
        let (request, slot) = admitted.map_err(Failure::Refused)?;
        let remaining = request.remaining(self.clock.now());
        let request = request.dispatch(self.clock.now());
        let answer = tokio::time::timeout(remaining.into(), self.upstream.send(&item.parts, body));
        let response = match answer.await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) | Err(_) => return Err(Failure::Unknown(request.abandon())),
        };
        self.stream(request, response, stream).await;
        drop(slot);
        Ok(())
    }

    fn record(&self, failure: &Failure) {
        let (outcome, call) = match failure {
            Failure::Refused(refusal) => ("not_run", refusal.call()),
            Failure::Unknown(unknown) => ("unknown", unknown.call()),
        };
        counter!("yuccacroft_requests_total", "outcome" => outcome).increment(1);
        debug!(self.log, "request_failed"; "outcome" => outcome, "call" => %call);
    }

    /// Passes the answer on as it comes. A break in the middle resets the stream, so that the
    /// caller cannot take a part for the whole.
    async fn stream<S: BidiStream<Bytes>>(
        &self,
        request: Request<Dispatched>,
        response: Response<Incoming>,
        stream: &mut Stream<S>,
    ) {
        let (parts, mut body) = response.into_parts();
        let mut head = Response::new(());
        *head.status_mut() = parts.status;
        *head.headers_mut() = upstream::end_to_end(&parts.headers);
        if stream.send_response(head).await.is_err() {
            return;
        }
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                stream.stop_stream(h3::error::Code::H3_INTERNAL_ERROR);
                counter!("yuccacroft_requests_total", "outcome" => "broken").increment(1);
                return;
            };
            if let Ok(data) = frame.into_data()
                && stream.send_data(data).await.is_err()
            {
                return;
            }
        }
        if stream.finish().await.is_ok() {
            let _answered = request.answer(self.clock.now());
            counter!("yuccacroft_requests_total", "outcome" => "answered").increment(1);
        }
    }
}

/// Waits until callers are asked to move; never returns when that cannot happen any more.
async fn requested(leave: &mut watch::Receiver<bool>) {
    if leave.wait_for(|leave| *leave).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn read_body<S: BidiStream<Bytes>>(stream: &mut Stream<S>) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(mut data) = stream.recv_data().await.ok()? {
        if (body.len() + data.remaining()) as u64 > MAX_BODY.get() {
            return None;
        }
        while data.has_remaining() {
            let chunk = data.chunk();
            body.extend_from_slice(chunk);
            let length = chunk.len();
            data.advance(length);
        }
    }
    Some(body.freeze())
}

/// Answers a request that brought no answer of its own; `docs/operators.md` lists the cases.
async fn explain<S: BidiStream<Bytes>>(
    failure: &Failure,
    stream: &mut Stream<S>,
) -> std::result::Result<(), h3::error::StreamError> {
    let mut head = Response::new(());
    let (status, details) = match failure {
        Failure::Refused(refusal) => {
            let status = match refusal.reason() {
                Reason::Malformed => StatusCode::BAD_REQUEST,
                Reason::Contract => StatusCode::FORBIDDEN,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            (status, format!("not-run: {}", refusal.reason()))
        }
        Failure::Unknown(_) => (StatusCode::BAD_GATEWAY, "unknown".to_owned()),
    };
    *head.status_mut() = status;
    let text = format!("yuccacroft; details=\"{details}\"");
    if let Ok(value) = HeaderValue::from_str(&text) {
        head.headers_mut().insert("proxy-status", value);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE {
        head.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECS));
    }
    stream.send_response(head).await?;
    stream.finish().await
}
