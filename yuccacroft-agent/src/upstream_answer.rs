//! Answers that are being read from the upstream.

use {
    crate::{
        conversion,
        limiter::{Limiter, Slot},
        records::{BoundKey, MAX_RECORDED_ANSWER},
        upstream,
    },
    bytes::Bytes,
    http::{Method, Response, StatusCode, header, response::Parts as ResponseParts},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    metrics::counter,
    std::{sync::Arc, time::Duration},
    yuccacroft_core::{
        admission::{class::Class, limit::AttemptOutcome},
        idempotency::{Answer, RunOutcome},
        request::{Dispatched, Request, Unknown},
        time::Span,
    },
};

/// Pause after which an answer without a content length counts as streaming. A streaming answer
/// stays open for hours without work, so it counts as a connection and releases its slot. Later
/// answers of its class release their slot at the head, until one of them ends.
const STREAMING_PAUSE: Duration = Duration::from_millis(250);

/// An answer in progress with its request, slot and idempotency key.
///
/// Dropping it before its end cancels the request at the upstream and records the outcome of the
/// key as unknown.
#[derive(Debug)]
pub struct UpstreamAnswer {
    head: ResponseParts,
    body: Incoming,
    request: Request<Dispatched>,
    slot: Option<Slot>,
    bound_key: Option<BoundKey>,
    recorded: Option<Vec<u8>>,
    is_unbounded: bool,
    /// Whether only the end of the connection ends the answer.
    is_close_delimited: bool,
    max_pause: Duration,
    limiter: Arc<Limiter>,
    class: Class,
}

/// The answer was interrupted before its end.
#[derive(Clone, Copy, Debug)]
pub struct Truncated;

impl UpstreamAnswer {
    /// Starts to read an answer. `max_pause` is the longest time without data in an answer that
    /// holds a slot.
    pub fn new(
        response: Response<Incoming>,
        method: &Method,
        request: Request<Dispatched>,
        slot: Slot,
        bound_key: Option<BoundKey>,
        max_pause: Span,
        class: Class,
    ) -> Self {
        let (head, body) = response.into_parts();
        let is_unbounded =
            *method == Method::GET && !head.headers.contains_key(header::CONTENT_LENGTH);
        let is_close_delimited = is_close_delimited(&head, method);
        let (recorded, limiter) = (bound_key.as_ref().map(|_| Vec::new()), slot.limiter().clone());
        let (slot, max_pause) = (Some(slot), max_pause.into());
        let mut answer = Self {
            head,
            body,
            request,
            slot,
            bound_key,
            recorded,
            is_unbounded,
            is_close_delimited,
            max_pause,
            limiter,
            class,
        };
        if is_unbounded && answer.limiter.is_streaming(class) {
            answer.release_slot(AttemptOutcome::Answered);
        }
        answer
    }

    /// Returns the response head for the caller, without hop-by-hop headers.
    pub fn head(&self) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = self.head.status;
        *response.headers_mut() = upstream::end_to_end(&self.head.headers);
        response
    }

    /// Returns the next chunk of the body, or `None` at the end, which is then already recorded. The
    /// end of an answer that only the end of the connection delimits is an interruption: the
    /// upstream may as well have crashed, which closes its connections too.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, Truncated>> {
        loop {
            let timeout = self.slot.as_ref().map(|_| self.chunk_timeout());
            let frame = match timeout {
                None => self.body.frame().await,
                Some(timeout) => match tokio::time::timeout(timeout, self.body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) if self.is_unbounded => {
                        self.release_slot(AttemptOutcome::Cancelled);
                        self.limiter.set_streaming(self.class, true);
                        continue;
                    }
                    Err(_) => return Some(Err(self.fail())),
                },
            };
            match frame {
                None if self.is_close_delimited => return Some(Err(self.fail())),
                None => {
                    self.finish();
                    return None;
                }
                Some(Err(_)) => return Some(Err(self.fail())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.record_chunk(&data);
                        return Some(Ok(data));
                    }
                }
            }
        }
    }

    /// Reads the answer to its end without a caller, so that a retry finds it recorded.
    pub async fn read_to_end(mut self) {
        while let Some(Ok(_)) = self.next_chunk().await {}
    }

    /// Reads the complete answer. Fails when its body exceeds `max` bytes or is interrupted.
    pub async fn collect(mut self, max: usize) -> Result<Arc<Answer>, Unknown> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next_chunk().await {
            let Ok(chunk) = chunk else { return Err(self.request.abandon()) };
            if body.len() + chunk.len() > max {
                return Err(self.request.abandon());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Arc::new(conversion::recorded_answer(&self.head, &body)))
    }

    /// Returns true if the answer is still needed without its caller: it has an idempotency key,
    /// and either a retry waits for it or the caller lost its connection instead of cancelling.
    pub fn outlives_caller(&self, cancelled: bool) -> bool {
        self.bound_key.as_ref().is_some_and(|bound_key| !cancelled || bound_key.has_waiters())
    }

    fn chunk_timeout(&self) -> Duration {
        if self.is_unbounded { STREAMING_PAUSE.min(self.max_pause) } else { self.max_pause }
    }

    fn record_chunk(&mut self, data: &Bytes) {
        let Some(recorded) = &mut self.recorded else { return };
        if (recorded.len() + data.len()) as u64 > MAX_RECORDED_ANSWER.get() {
            self.recorded = None;
        } else {
            recorded.extend_from_slice(data);
        }
    }

    fn finish(&mut self) {
        self.limiter.set_streaming(self.class, false);
        let shed_statuses = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        let is_shed = shed_statuses.contains(&self.head.status);
        self.release_slot(if is_shed { AttemptOutcome::Shed } else { AttemptOutcome::Answered });
        if let Some(bound_key) = self.bound_key.take() {
            let recorded = self.recorded.take();
            bound_key.finish(RunOutcome::Answered(
                recorded.map(|body| Arc::new(conversion::recorded_answer(&self.head, &body))),
            ));
        }
        counter!("yuccacroft_requests_total", "outcome" => "answered").increment(1);
    }

    fn fail(&mut self) -> Truncated {
        self.release_slot(AttemptOutcome::Lost);
        counter!("yuccacroft_requests_total", "outcome" => "broken").increment(1);
        Truncated
    }

    fn release_slot(&mut self, outcome: AttemptOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(outcome);
        }
    }
}

/// Returns true if the body of an answer ends with its connection (RFC 9112, section 6.3).
fn is_close_delimited(head: &ResponseParts, method: &Method) -> bool {
    let has_no_body = *method == Method::HEAD
        || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    let has_framing = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    !has_no_body && !has_framing
}
