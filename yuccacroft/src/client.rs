//! HTTP client of the administration interfaces of balancers and agents.

use {
    crate::errors::{Error, Result},
    bytes::Bytes,
    http::{Method, Request, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client as HttpClient, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
    yuccacroft_core::{
        ids::{ChangeId, Customer},
        token::Token,
    },
    yuccacroft_wire::admin::{ContractStatus, Problem, PutContract},
};

/// Time limit of one call; longer than a balancer needs to resolve a write to the store whose
/// answers were lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Attempts to send a contract change. A change with an id is safe to send again; see
/// [`PutContract::change`].
const PUT_ATTEMPTS: u32 = 3;
/// Limit of the length of an answer; a longer answer is an error.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of the administration interface at one address.
pub struct Client {
    address: SocketAddr,
    token: Option<Token>,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client.
    pub fn new(address: SocketAddr, token: Token) -> Self {
        Self { address, token: Some(token), http: http_client() }
    }

    /// Creates a client with the token in a file. Whitespace around the token is ignored.
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

    /// Reads the JSON document at a path.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A> {
        decode(&self.call(Method::GET, path, Bytes::new()).await?)
    }

    /// Reads the plain text at a path.
    pub async fn get_text(&self, path: &str) -> Result<String> {
        let bytes = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends a JSON body to a path and decodes the JSON answer.
    pub async fn send<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<A> {
        decode(&self.call(method, path, body.into()).await?)
    }

    /// Sends a contract change, and sends it again if the answer is lost. The change id prevents
    /// the change from being applied twice.
    pub async fn put(&self, customer: &Customer, request: &PutContract) -> Result<ContractStatus> {
        let path = format!("/v1/contracts/{customer}");
        let change = request.change.unwrap_or_else(|| ChangeId::new(rand::random()));
        let request = PutContract { change: Some(change), ..request.clone() };
        let body =
            serde_json::to_vec(&request).map_err(|error| Error::Usage(error.to_string().into()))?;
        let mut answer_lost = false;
        for _ in 0..PUT_ATTEMPTS {
            match self.send(Method::PUT, &path, body.clone()).await {
                Err(Error::Lost(_)) => answer_lost = true,
                Err(Error::Unreachable(_)) if answer_lost => {}
                answer => return answer,
            }
        }
        Err(Error::Lost(format!("change {change} may be in force, read the contract again").into()))
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, token.header());
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| Error::Usage(error.to_string().into()))?;
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await;
        answer.map_err(|_| Error::Lost("no answer in time".into()))?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes> {
        let response = self.http.request(request).await.map_err(|error| {
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

/// Reads the text at a path of an interface that asks for no token.
pub async fn get_public(address: SocketAddr, path: &str) -> Result<String> {
    let client = Client { address, token: None, http: http_client() };
    client.get_text(path).await
}

fn http_client() -> HttpClient<HttpConnector, Full<Bytes>> {
    // The library must not retry requests, since a change without an id must not be repeated.
    HttpClient::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(HttpConnector::new())
}

fn decode<A: DeserializeOwned>(bytes: &[u8]) -> Result<A> {
    serde_json::from_slice(bytes).map_err(|error| Error::Lost(error.to_string().into()))
}
