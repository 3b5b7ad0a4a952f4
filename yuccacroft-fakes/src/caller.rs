//! A caller: an HTTP/3 client with one connection.

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

/// Any error of a caller; tests and the demo only show it.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

const IDLE_MILLIS: u32 = 10_000;
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// A caller with an open connection.
pub struct Caller {
    name: Box<str>,
    endpoint: Endpoint,
    connection: quinn::Connection,
    requests: SendRequest<OpenStreams, Bytes>,
    driver: JoinHandle<()>,
    leaving: watch::Receiver<bool>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The `Proxy-Status` header, empty when there is none.
    pub proxy_status: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// An answer that keeps coming.
pub struct Feed {
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

impl Caller {
    /// Opens a connection to a service address.
    pub async fn connect(
        service: SocketAddr,
        name: &str,
        root: &CertificateDer<'static>,
    ) -> Result<Self, Error> {
        let mut endpoint = Endpoint::client("127.0.0.1:0".parse()?)?;
        endpoint.set_default_client_config(config(root)?);
        let connection = endpoint.connect(service, name)?.await?;
        let h3 = h3_quinn::Connection::new(connection.clone());
        let (mut driver, requests) = h3::client::new(h3).await?;
        let (leave, leaving) = watch::channel(false);
        let driver = tokio::spawn(async move {
            let poll = |cx: &mut std::task::Context<'_>| {
                let polled = driver.poll_close(cx);
                if driver.is_closing() && !*leave.borrow() {
                    leave.send_replace(true);
                }
                polled
            };
            let _ = futures::future::poll_fn(poll).await;
        });
        Ok(Self { name: name.into(), endpoint, connection, requests, driver, leaving })
    }

    /// Sends a request and reads the whole answer.
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
        Ok(answer(&response, body.into()))
    }

    /// Sends a request without a body.
    pub async fn get(&mut self, path: &str) -> Result<Answer, Error> {
        let request = Request::get(self.uri(path)).body(())?;
        self.request(request, Bytes::new()).await
    }

    /// Sends a reservation under an idempotency key.
    pub async fn reserve(&mut self, key: &str, body: Bytes) -> Result<Answer, Error> {
        let request = Request::post(self.uri("/reserve")).header("idempotency-key", key);
        self.request(request.body(())?, body).await
    }

    /// Opens an answer that keeps coming.
    pub async fn feed(&mut self, path: &str) -> Result<Feed, Error> {
        let mut stream = self.requests.send_request(Request::get(self.uri(path)).body(())?).await?;
        stream.finish().await?;
        let response = stream.recv_response().await?;
        if response.status() != StatusCode::OK {
            return Err(format!("feed refused: {}", response.status()).into());
        }
        Ok(Feed { stream })
    }

    /// Waits until the service asks its callers to move (RFC 9114, section 5.2).
    pub async fn leaving(&mut self) {
        if self.leaving.wait_for(|leaving| *leaving).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns true when the service asked its callers to move.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns why the connection ended, if it did.
    pub fn closed(&self) -> Option<quinn::ConnectionError> {
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

impl Feed {
    /// Waits for the next part; `None` is the end of the answer.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let data = self.stream.recv_data().await?;
        Ok(data.map(|mut data| data.copy_to_bytes(data.remaining())))
    }
}

fn config(root: &CertificateDer<'static>) -> Result<ClientConfig, Error> {
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
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_MILLIS).into()))
        .mtu_discovery_config(None);
    config.transport_config(Arc::new(transport));
    Ok(config)
}

fn answer(response: &Response<()>, body: Bytes) -> Answer {
    let proxy_status = response.headers().get("proxy-status");
    let proxy_status = proxy_status.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Answer {
        status: response.status(),
        headers: response.headers().clone(),
        proxy_status: proxy_status.into(),
        body,
    }
}
