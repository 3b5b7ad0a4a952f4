//! One HTTP call to a store.

use {
    crate::errors::{Error, Result},
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::client::legacy::{Client, connect::Connect},
};

/// Sends a request and returns the status and the body of the answer. Fails with
/// [`Error::Unreachable`] if no connection could be opened, so that the store has not executed the
/// call, and with [`Error::Uncertain`] if the answer is lost or longer than `max_bytes`.
pub async fn exchange<C>(
    client: &Client<C, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<(StatusCode, Bytes)>
where
    C: Connect + Clone + Send + Sync + 'static,
{
    let response = client.request(request).await.map_err(|error| {
        let text = error.to_string().into();
        if error.is_connect() { Error::Unreachable(text) } else { Error::Uncertain(text) }
    })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), max_bytes).collect().await;
    let bytes = body.map_err(|error| Error::Uncertain(error.to_string().into()))?.to_bytes();
    Ok((status, bytes))
}
