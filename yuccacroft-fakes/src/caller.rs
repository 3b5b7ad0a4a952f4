//! HTTP/3 client with one connection.

use {
    bytes::{Buf, Bytes},
    h3::{
        ConnectionState,
        client::{RequestStream, SendRequest},
    },
    h3_quinn::{BidiStream, OpenStreams},
    http::{HeaderMap, Request, Response, StatusCode},
    quinn::{ClientConfig, Endpoint, TransportConfig, crypto::rustls::QuicClientConfig},
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, task::JoinHandle},
};

/// Any error of a caller. Tests and the demo only print it.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

const IDLE_TIMEOUT_MS: u32 = 10_000;
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A caller with an open connection.
pub struct Caller {
    name: Box<str>,
    endpoint: Endpoint,
    connection: quinn::Connection,
    requests: SendRequest<OpenStreams, Bytes>,
    driver: JoinHandle<()>,
    goaway: watch::Receiver<bool>,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The `Proxy-Status` header; empty when it is missing or not readable as text.
    pub proxy_status: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// A streaming answer, whose body stays open.
pub struct AnswerStream {
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

impl Caller {
    /// Connects to a service address. `name` is the expected host name of the server certificate and
    /// `root` the trusted root certificate.
    pub async fn connect(
        service: SocketAddr,
        name: &str,
        root: &CertificateDer<'static>,
    ) -> Result<Self, Error> {
        let mut endpoint = Endpoint::client("127.0.0.1:0".parse()?)?;
        endpoint.set_default_client_config(client_config(root)?);
        let connection = endpoint.connect(service, name)?.await?;
        let h3 = h3_quinn::Connection::new(connection.clone());
        let (mut driver, requests) = h3::client::new(h3).await?;
        let (goaway_sender, goaway) = watch::channel(false);
        let driver = tokio::spawn(async move {
            let poll = |cx: &mut std::task::Context<'_>| {
                let polled = driver.poll_close(cx);
                if driver.is_closing() && !*goaway_sender.borrow() {
                    goaway_sender.send_replace(true);
                }
                polled
            };
            let _ = futures::future::poll_fn(poll).await;
        });
        Ok(Self { name: name.into(), endpoint, connection, requests, driver, goaway })
    }

    /// Sends a request and reads the complete answer.
    pub async fn request(&mut self, request: Request<()>, body: Bytes) -> Result<Answer, Error> {
        let mut stream = self.requests.send_request(request).await?;
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await?;
        let response = stream.recv_response().await?;
        let mut body = Vec::new();
        while let Some(mut data) = stream.recv_data().await? {
            body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
        }
        Ok(build_answer(&response, body.into()))
    }

    /// Sends a GET request and reads the complete answer.
    pub async fn get(&mut self, path: &str) -> Result<Answer, Error> {
        let request = Request::get(self.uri(path)).body(())?;
        self.request(request, Bytes::new()).await
    }

    /// Posts a reservation with an idempotency key and reads the complete answer.
    pub async fn reserve(&mut self, key: &str, body: Bytes) -> Result<Answer, Error> {
        let request = Request::post(self.uri("/reserve")).header("idempotency-key", key);
        self.request(request.body(())?, body).await
    }

    /// Sends a GET request whose answer is read as a stream. Any status but 200 is an error.
    pub async fn open_stream(&mut self, path: &str) -> Result<AnswerStream, Error> {
        let mut stream = self.requests.send_request(Request::get(self.uri(path)).body(())?).await?;
        stream.finish().await?;
        let response = stream.recv_response().await?;
        if response.status() != StatusCode::OK {
            return Err(format!("stream refused: {}", response.status()).into());
        }
        Ok(AnswerStream { stream })
    }

    /// Waits for a GOAWAY frame of the server (RFC 9114, section 5.2). Never returns when the
    /// connection ends without one.
    pub async fn wait_for_goaway(&mut self) {
        if self.goaway.wait_for(|received| *received).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the server has sent a GOAWAY frame.
    pub fn has_goaway(&self) -> bool {
        *self.goaway.borrow()
    }

    /// Returns why the connection was closed; `None` while it is open.
    pub fn close_reason(&self) -> Option<quinn::ConnectionError> {
        self.connection.close_reason()
    }

    fn uri(&self, path: &str) -> String {
        format!("https://{}{path}", self.name)
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.endpoint.close(quinn::VarInt::from_u32(0x100), b"done");
        self.driver.abort();
    }
}

impl AnswerStream {
    /// Waits for the next chunk of the body; `None` is the end of the answer.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let data = self.stream.recv_data().await?;
        Ok(data.map(|mut data| data.copy_to_bytes(data.remaining())))
    }
}

fn client_config(root: &CertificateDer<'static>) -> Result<ClientConfig, Error> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(root.clone())?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    let mut transport = TransportConfig::default();
    transport
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .mtu_discovery_config(None);
    config.transport_config(Arc::new(transport));
    Ok(config)
}

fn build_answer(response: &Response<()>, body: Bytes) -> Answer {
    let proxy_status = response.headers().get("proxy-status");
    let proxy_status = proxy_status.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Answer {
        status: response.status(),
        headers: response.headers().clone(),
        proxy_status: proxy_status.into(),
        body,
    }
}
