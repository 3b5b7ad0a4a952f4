//! The client side of calls between processes.

use {
    crate::{
        clock,
        errors::{Error, Result},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client as Pool, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    yuccacroft_core::key::Secret,
    yuccacroft_wire::{authenticator, message},
};

/// An HTTP client for calls to peers, with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    unpooled: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client. A call that takes longer than `timeout` fails with [`Error::Lost`].
    pub fn new(timeout: Duration) -> Self {
        // The library must not repeat a call on its own, since the peer may have processed it.
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(15))
            .build(HttpConnector::new());
        let unpooled = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build(HttpConnector::new());
        Self { pool, unpooled, timeout }
    }

    /// Sends an idempotent message like [`Client::call`] and repeats it once on a new connection
    /// when the answer is lost. A pooled connection can be broken while the peer itself is
    /// reachable.
    pub async fn call_with_retry<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        key: &Secret,
        query: &Q,
    ) -> Result<A> {
        match self.call(peer, path, key, query).await {
            Err(Error::Lost(_)) => self.call_on(&self.unpooled, peer, path, key, query).await,
            other => other,
        }
    }

    /// Sends an authenticated message to a path of a peer and decodes its answer.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        key: &Secret,
        query: &Q,
    ) -> Result<A> {
        self.call_on(&self.pool, peer, path, key, query).await
    }

    async fn call_on<Q: Serialize, A: DeserializeOwned>(
        &self,
        pool: &Pool<HttpConnector, Full<Bytes>>,
        peer: SocketAddr,
        path: &str,
        key: &Secret,
        query: &Q,
    ) -> Result<A> {
        let body = message::encode(query)?;
        let request = http::Request::post(format!("http://{peer}{path}"))
            .header(
                authenticator::HEADER,
                authenticator::sign(key, path, clock::wall_clock(), &body),
            )
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Unreachable(error.to_string().into()))?;
        let response = tokio::time::timeout(self.timeout, send_request(pool, request));
        let bytes = response.await.map_err(|_| Error::Lost("timeout".into()))??;
        Ok(message::decode(&bytes)?)
    }
}

async fn send_request(
    pool: &Pool<HttpConnector, Full<Bytes>>,
    request: http::Request<Full<Bytes>>,
) -> Result<Bytes> {
    let response = pool.request(request).await.map_err(|error| {
        let text = error.to_string().into();
        if error.is_connect() { Error::Unreachable(text) } else { Error::Lost(text) }
    })?;
    if !response.status().is_success() {
        return Err(Error::Refused(response.status()));
    }
    let body = Limited::new(response.into_body(), message::MAX_BYTES).collect().await;
    body.map(|body| body.to_bytes()).map_err(|error| Error::Lost(error.to_string().into()))
}
