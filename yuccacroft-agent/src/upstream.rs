//! The client of the upstream beside the agent (HTTP/1.1).

use {
    bytes::Bytes,
    http::{HeaderMap, HeaderName, Request, Response, Uri, header, request::Parts},
    http_body_util::Full,
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client as Pool, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, time::Duration},
};

/// RFC 9110, section 7.6.1: headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shorter than the keep-alive of common servers, so that a connection is seldom closed under a
/// request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A pool of connections to one upstream.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates the client of the upstream at an address.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // The library must never send a request twice on its own.
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { address, pool }
    }

    /// Sends a request once. Dropping the response body cancels it at the upstream.
    pub async fn send(&self, parts: &Parts, body: Bytes) -> Result<Response<Incoming>, Error> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = self.uri(&parts.uri);
        *request.headers_mut() = end_to_end(&parts.headers);
        self.pool.request(request).await
    }

    fn uri(&self, uri: &Uri) -> Uri {
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        // Both parts were parsed before, so their sum is a valid URI.
        format!("http://{}{path}", self.address).parse().unwrap_or_default()
    }
}

/// Copies the headers that go from end to end.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut copy = headers.clone();
    for name in &HOP_BY_HOP {
        copy.remove(name);
    }
    copy.remove("keep-alive");
    copy
}
