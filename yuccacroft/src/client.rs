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
    yuccacroft_core::{
        ids::{ChangeId, Customer},
        token::Token,
    },
    yuccacroft_wire::admin::{Problem, PutContract, Stored},
};

/// Longer than a balancer needs to settle a write with lost answers.
const TIMEOUT: Duration = Duration::from_secs(15);
/// A change with an id may be sent again; see [`PutContract::change`].
const PUT_ATTEMPTS: u32 = 3;
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of one administration interface.
pub struct Client {
    address: SocketAddr,
    token: Token,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client.
    pub fn new(address: SocketAddr, token: Token) -> Self {
        // A change must not be repeated without its id, so nothing is repeated by the library.
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self { address, token, pool }
    }

    /// Creates a client with the token that a file holds.
    pub fn with_token_file(address: SocketAddr, token_file: &Path) -> Result<Self> {
        let name = token_file.display().to_string();
        let text = fs::read_to_string(token_file)
            .map_err(|cause| Error::File { name: name.as_str().into(), cause })?;
        let token = text.trim().parse();
        let token = token.map_err(|error: yuccacroft_core::errors::Error| {
            Error::Usage(format!("{name}: {error}").into())
        })?;
        Ok(Self::new(address, token))
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

    /// Sends a change of a contract, again when an answer is lost: the change id keeps it from being
    /// made twice.
    pub async fn put(&self, customer: &Customer, message: &PutContract) -> Result<Stored> {
        let path = format!("/v1/contracts/{customer}");
        let change = message.change.unwrap_or_else(|| ChangeId::new(rand::random()));
        let message = PutContract { change: Some(change), ..message.clone() };
        let body =
            serde_json::to_vec(&message).map_err(|error| Error::Usage(error.to_string().into()))?;
        let mut lost = false;
        for _ in 0..PUT_ATTEMPTS {
            match self.send(Method::PUT, &path, body.clone()).await {
                Err(Error::Lost(_)) => lost = true,
                Err(Error::Unreachable(_)) if lost => {}
                answer => return answer,
            }
        }
        Err(Error::Lost(format!("change {change} may be in force, read the contract again").into()))
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
