//! The client of administration interfaces.

use {
    crate::errors::{Error, Result},
    bytes::Bytes,
    http::{Method, Request, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client as Pool, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
    yuccacroft_core::token::Token,
    yuccacroft_wire::admin::Problem,
};

/// Longer than a balancer needs to settle a write with lost answers.
const TIMEOUT: Duration = Duration::from_secs(15);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of one administration interface.
pub struct Client {
    address: SocketAddr,
    token: Token,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client with the token that a file holds.
    pub fn new(address: SocketAddr, token_file: &Path) -> Result<Self> {
        let name = token_file.display().to_string();
        let text = fs::read_to_string(token_file)
            .map_err(|cause| Error::File { name: name.as_str().into(), cause })?;
        let token = text.trim().parse();
        let token = token.map_err(|error: yuccacroft_core::errors::Error| {
            Error::Usage(format!("{name}: {error}").into())
        })?;
        // A change must not be repeated without its id, so nothing is repeated by the library.
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Ok(Self { address, token, pool })
    }

    /// Reads JSON from a path.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A> {
        decode(&self.call(Method::GET, path, Bytes::new()).await?)
    }

    /// Reads plain text from a path.
    pub async fn text(&self, path: &str) -> Result<String> {
        let bytes = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends JSON to a path and reads the answer.
    pub async fn send<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<A> {
        decode(&self.call(method, path, body.into()).await?)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, self.token.header())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Usage(error.to_string().into()))?;
        let answer = tokio::time::timeout(TIMEOUT, self.exchange(request)).await;
        answer.map_err(|_| Error::Lost("no answer in time".into()))?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes> {
        let response = self.pool.request(request).await.map_err(|error| {
            let text = format!("{}: {error}", self.address).into();
            if error.is_connect() { Error::Unreachable(text) } else { Error::Lost(text) }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let bytes = body.map_err(|error| Error::Lost(error.to_string().into()))?.to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        let problem: Problem = serde_json::from_slice(&bytes)
            .map_err(|_| Error::Unreachable(format!("{}: {status}", self.address).into()))?;
        Err(Error::Refused(Box::new(problem)))
    }
}

fn decode<A: DeserializeOwned>(bytes: &[u8]) -> Result<A> {
    serde_json::from_slice(bytes).map_err(|error| Error::Lost(error.to_string().into()))
}
