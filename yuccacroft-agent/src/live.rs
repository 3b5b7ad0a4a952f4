//! An answer that is on its way from the upstream.

use {
    crate::{
        answer,
        limiter::{Limiter, Slot},
        records::{Bound, MAX_KEPT},
        upstream,
    },
    bytes::Bytes,
    http::{Method, Response, StatusCode, header, response::Parts as Head},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    metrics::counter,
    std::{sync::Arc, time::Duration},
    yuccacroft_core::{
        admission::{class::Class, limit::AttemptOutcome},
        record::{Answer, RunOutcome},
        request::{Dispatched, Request, Unknown},
        time::Span,
    },
};

/// Pause in an answer of open length after which it counts as a feed. A feed stays open for hours
/// without work, so it counts as a connection and gives its slot back. Later answers of its class
/// do so with their head, until one of them ends.
const FEED_GAP: Duration = Duration::from_millis(250);

/// An answer with the request, slot and key that it belongs to.
///
/// Dropped before its end, it cancels the request at the upstream and its key counts as unknown.
#[derive(Debug)]
pub struct Live {
    head: Head,
    body: Incoming,
    request: Request<Dispatched>,
    slot: Option<Slot>,
    bound: Option<Bound>,
    kept: Option<Vec<u8>>,
    is_open: bool,
    progress: Duration,
    limiter: Arc<Limiter>,
    class: Class,
}

/// The answer broke off before its end.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl Live {
    /// Begins to read an answer. `progress` is the longest pause in an answer that holds a slot.
    pub fn new(
        response: Response<Incoming>,
        method: &Method,
        request: Request<Dispatched>,
        slot: Slot,
        bound: Option<Bound>,
        progress: Span,
        class: Class,
    ) -> Self {
        let (head, body) = response.into_parts();
        let is_open = *method == Method::GET && !head.headers.contains_key(header::CONTENT_LENGTH);
        let (kept, limiter) = (bound.as_ref().map(|_| Vec::new()), slot.limiter().clone());
        let (slot, progress) = (Some(slot), progress.into());
        let mut live =
            Self { head, body, request, slot, bound, kept, is_open, progress, limiter, class };
        if is_open && live.limiter.is_streaming(class) {
            live.give_back(AttemptOutcome::Answered);
        }
        live
    }

    /// Returns the head for the caller.
    pub fn head(&self) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = self.head.status;
        *response.headers_mut() = upstream::end_to_end(&self.head.headers);
        response
    }

    /// Returns the next part of the body. `None` is the end, noted in the record already.
    pub async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            let limit = self.slot.as_ref().map(|_| self.limit());
            let frame = match limit {
                None => self.body.frame().await,
                Some(limit) => match tokio::time::timeout(limit, self.body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) if self.is_open => {
                        self.give_back(AttemptOutcome::Cancelled);
                        self.limiter.set_streaming(self.class, true);
                        continue;
                    }
                    Err(_) => return Some(Err(self.broken())),
                },
            };
            match frame {
                None => {
                    self.end();
                    return None;
                }
                Some(Err(_)) => return Some(Err(self.broken())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.keep(&data);
                        return Some(Ok(data));
                    }
                }
            }
        }
    }

    /// Reads the answer to its end for the record, after the caller has gone.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.next().await {}
    }

    /// Reads the whole answer, which may have `max` bytes.
    pub async fn whole(mut self, max: usize) -> Result<Arc<Answer>, Unknown> {
        let mut body = Vec::new();
        while let Some(part) = self.next().await {
            let Ok(part) = part else { return Err(self.request.abandon()) };
            if body.len() + part.len() > max {
                return Err(self.request.abandon());
            }
            body.extend_from_slice(&part);
        }
        Ok(Arc::new(answer::keep(&self.head, &body)))
    }

    /// Returns true when the answer goes on without its caller: it has a key, and a retry waits
    /// for it or the caller did not cancel but lost its connection.
    pub fn outlives_caller(&self, cancelled: bool) -> bool {
        self.bound.as_ref().is_some_and(|bound| !cancelled || bound.is_awaited())
    }

    fn limit(&self) -> Duration {
        if self.is_open { FEED_GAP.min(self.progress) } else { self.progress }
    }

    fn keep(&mut self, data: &Bytes) {
        let Some(kept) = &mut self.kept else { return };
        if (kept.len() + data.len()) as u64 > MAX_KEPT.get() {
            self.kept = None;
        } else {
            kept.extend_from_slice(data);
        }
    }

    fn end(&mut self) {
        self.limiter.set_streaming(self.class, false);
        let shed = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        let is_shed = shed.contains(&self.head.status);
        self.give_back(if is_shed { AttemptOutcome::Shed } else { AttemptOutcome::Answered });
        if let Some(bound) = self.bound.take() {
            let kept = self.kept.take();
            bound.end(RunOutcome::Answered(
                kept.map(|body| Arc::new(answer::keep(&self.head, &body))),
            ));
        }
        counter!("yuccacroft_requests_total", "outcome" => "answered").increment(1);
    }

    fn broken(&mut self) -> Broken {
        self.give_back(AttemptOutcome::Lost);
        counter!("yuccacroft_requests_total", "outcome" => "broken").increment(1);
        Broken
    }

    fn give_back(&mut self, observed: AttemptOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(observed);
        }
    }
}
