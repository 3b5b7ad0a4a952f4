//! Conversions between HTTP messages and the requests and answers that agents record and exchange.

use {
    crate::upstream,
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, request::Parts,
        response::Parts as ResponseParts,
    },
    yuccacroft_core::idempotency::{Answer, Header},
    yuccacroft_wire::handoff::ForwardedRequest,
};

/// Encodes a request for a sibling, without hop-by-hop headers.
pub fn encode_request(parts: &Parts, body: &Bytes) -> ForwardedRequest {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    ForwardedRequest {
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: header_pairs(&upstream::end_to_end(&parts.headers)),
        body: body.as_ref().into(),
    }
}

/// Decodes a request of a sibling; returns `None` when its method or path is invalid.
pub fn decode_request(request: ForwardedRequest) -> Option<(Parts, Bytes)> {
    let builder = Request::builder().method(&*request.method).uri(&*request.path);
    let (mut parts, ()) = builder.body(()).ok()?.into_parts();
    parts.headers = header_map(&request.headers);
    Some((parts, Bytes::from(request.body)))
}

/// Builds an answer from a response head and a complete body, without hop-by-hop headers.
pub fn recorded_answer(head: &ResponseParts, body: &[u8]) -> Answer {
    let headers = header_pairs(&upstream::end_to_end(&head.headers));
    Answer { status: head.status.as_u16(), headers, body: body.into() }
}

/// Returns the response head of an answer. An invalid status code becomes 502.
pub fn response_head(answer: &Answer) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = header_map(&answer.headers);
    response
}

fn header_pairs(headers: &HeaderMap) -> Box<[Header]> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (Box::from(name.as_str()), Box::from(value.as_bytes()))
    };
    headers.iter().map(pair).collect()
}

fn header_map(header_pairs: &[Header]) -> HeaderMap {
    let pair = |(name, value): &Header| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    };
    header_pairs.iter().filter_map(pair).collect()
}
