//! A client of administration interfaces that records its calls.

use {
    super::Transcript,
    bytes::Bytes,
    http::{Method, Request, StatusCode, header},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An operator, who appears in transcripts under a name and may have a token.
pub struct Operator {
    name: &'static str,
    admin: SocketAddr,
    token: Option<&'static str>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Operator {
    /// Creates an operator of the process whose administration interface has this address.
    pub fn new(name: &'static str, admin: SocketAddr, token: Option<&'static str>) -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self { name, admin, token, client }
    }

    /// Makes a call, and records the request and the answer.
    pub async fn call(
        &self,
        transcript: &Transcript,
        method: Method,
        path: &str,
        body: Value,
    ) -> (StatusCode, Value) {
        let body_text = format_body(&body);
        let request = self.request(&method, path, &body);
        let head = format!("{method} {path}");
        let actor = format!("{} sends", self.name);
        transcript.add_message(&actor, &head, request.headers(), body_text.as_bytes());
        let response = self.client.request(request).await.unwrap();
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.unwrap().to_bytes();
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let actor = format!("{} receives", self.name);
        let body_text =
            if value.is_null() { bytes.to_vec() } else { format_body(&value).into_bytes() };
        transcript.add_message(&actor, &parts.status.to_string(), &parts.headers, &body_text);
        (parts.status, value)
    }

    /// Polls a path until the answer satisfies the condition. Nothing is recorded.
    pub async fn wait_for(&self, path: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let started_at = Instant::now();
        loop {
            let request = self.request(&Method::GET, path, &Value::Null);
            if let Ok(response) = self.client.request(request).await {
                let bytes = response.into_body().collect().await.unwrap().to_bytes();
                let value = serde_json::from_slice(&bytes).unwrap_or_default();
                if condition(&value) {
                    return value;
                }
            }
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{path} did not meet the condition in time"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads a path as plain text. Nothing is recorded.
    pub async fn get_text(&self, path: &str) -> String {
        let request = self.request(&Method::GET, path, &Value::Null);
        let response = self.client.request(request).await.unwrap();
        let bytes = response.into_body().collect().await.unwrap().to_bytes();
        String::from_utf8(bytes.to_vec()).unwrap()
    }

    fn request(&self, method: &Method, path: &str, body: &Value) -> Request<Full<Bytes>> {
        let mut request = Request::builder().method(method);
        request = request.uri(format!("http://{}{path}", self.admin));
        if let Some(token) = self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let mut bytes = Bytes::new();
        if !body.is_null() {
            request = request.header(header::CONTENT_TYPE, "application/json");
            bytes = body.to_string().into();
        }
        request.body(Full::new(bytes)).unwrap()
    }
}

/// Formats a JSON body for the transcript.
fn format_body(value: &Value) -> String {
    if value.is_null() {
        return String::new();
    }
    // Shows the text of a contract as separate lines.
    serde_json::to_string_pretty(value).unwrap().replace("\\n", "\n    ")
}
