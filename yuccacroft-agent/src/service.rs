//! Request service: runs the filter chain and carries out its decisions.

use {
    crate::{
        chain::{self, Decision, Limits, RequestContext},
        limiter::{AdmissionStatus, Limiter, Slot},
        owner::{self, OwnerCodec},
        records::{BoundKey, MAX_RECORDED_ANSWER, Records},
        siblings::{OfferOutcome, SiblingClient},
        upstream::UpstreamClient,
        upstream_answer::UpstreamAnswer,
    },
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, request::Parts},
    hyper::body::Incoming,
    metrics::counter,
    rand::{SeedableRng, rngs::StdRng},
    slog::{Logger, debug},
    std::sync::{Arc, Mutex, PoisonError},
    tokio::sync::watch,
    yuccacroft_core::{
        admission::{SlotRequest, limit::AttemptOutcome},
        filter::FilterChain,
        flow::AgentId,
        idempotency::{Answer, Lookup, RunOutcome},
        ids::RequestId,
        request::{Dispatched, Effect, Queued, Received, Refusal, RefusalReason, Request, Unknown},
        retry::{self, RetryBudget},
        time::{Moment, Span},
    },
    yuccacroft_rpc::clock::Clock,
    yuccacroft_wire::handoff::RelayOutcome,
};

/// Largest answer that is passed on to a sibling.
pub const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Number of siblings that are offered the same request.
const MAX_OFFERS: usize = 3;

/// Components of a [`Service`].
pub struct Setup {
    /// The admission limiter.
    pub limiter: Arc<Limiter>,
    /// The idempotency keys and their outcomes.
    pub records: Arc<Records>,
    /// The codec of the owner header.
    pub owner_codec: Arc<OwnerCodec>,
    /// The other agents of the service.
    pub siblings: Arc<SiblingClient>,
    /// The client of the upstream.
    pub upstream: UpstreamClient,
    /// The clock of the process.
    pub clock: Clock,
    /// The request limits of the contract in force.
    pub limits: watch::Receiver<Limits>,
    /// The logger of the process.
    pub log: Logger,
}

/// Serves requests independently of the front end that received them.
pub struct Service {
    setup: Setup,
    chain: FilterChain<RequestContext, Decision>,
    budget: Mutex<RetryBudget>,
    random: Mutex<StdRng>,
}

/// Result of serving a request.
#[derive(Debug)]
pub enum ServeResult {
    /// The answer is being read from the upstream.
    Answering(Box<UpstreamAnswer>),
    /// The request has ended.
    Complete(Outcome),
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The request was answered.
    Answered(Arc<Answer>),
    /// The request did not run and will not.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Unknown),
}

/// Result of placing a request at this agent or at a sibling.
enum Placement {
    Slot(Request<Queued>, Slot),
    Returned(Request<Queued>),
    Complete(Outcome),
}

/// Result of one attempt at the upstream.
enum UpstreamResult {
    Answering(Response<Incoming>, Request<Dispatched>, Slot),
    Retry(Request<Queued>),
    Unreachable(Request<Queued>),
    Unknown(Unknown),
}

impl Service {
    /// Creates the service in front of one upstream.
    pub fn new(setup: Setup) -> Self {
        let Setup { limiter, records, owner_codec, .. } = &setup;
        let chain = chain::build_chain(limiter.clone(), records.clone(), owner_codec.clone());
        let random = Mutex::new(StdRng::from_rng(&mut rand::rng()));
        Self { chain, setup, budget: Mutex::default(), random }
    }

    /// Returns the names of the request filters in their order.
    pub fn filter_names(&self) -> impl Iterator<Item = &'static str> {
        self.chain.names()
    }

    /// Returns the admission limiter.
    pub fn limiter(&self) -> &Arc<Limiter> {
        &self.setup.limiter
    }

    /// Returns the owner header of the answer to a request that arrived at `arrived`.
    ///
    /// A retry keeps the owner that it names, even when another agent answers. With another owner
    /// or a later timestamp, the next retry would count as a first attempt there and run again.
    pub fn owner_header(&self, parts: &Parts, arrived: Moment) -> HeaderValue {
        let Some(key) = chain::idempotency_key(parts) else {
            return self.setup.owner_codec.encode(arrived);
        };
        match parts.headers.get(owner::OWNER_HEADER) {
            Some(named) => named.clone(),
            None => {
                self.setup.owner_codec.encode(self.setup.records.bound_at(key).unwrap_or(arrived))
            }
        }
    }

    /// Returns the clock of the process.
    pub fn clock(&self) -> Clock {
        self.setup.clock
    }

    /// Returns the request limits of the contract in force.
    pub fn limits(&self) -> Limits {
        *self.setup.limits.borrow()
    }

    /// Serves a request with the id that its front end assigned.
    pub async fn serve(&self, request_id: RequestId, parts: Parts, body: Bytes) -> ServeResult {
        let context =
            RequestContext::new(request_id, parts, body, self.setup.clock.now(), self.limits());
        let result = self.process(context).await;
        if let ServeResult::Complete(outcome) = &result {
            self.report_outcome(outcome);
        }
        result
    }

    /// Serves a request that another agent relayed, and returns its complete answer.
    pub async fn serve_relayed(&self, parts: Parts, body: Bytes, remaining: Span) -> Outcome {
        let request_id = RequestId::new(rand::random());
        let mut limits = self.limits();
        limits.deadline = limits.deadline.min(remaining);
        let context = RequestContext::new(request_id, parts, body, self.setup.clock.now(), limits);
        match self.process(context).await {
            ServeResult::Complete(outcome) => outcome,
            ServeResult::Answering(answer) => {
                let answer = answer.collect(MAX_ANSWER_BYTES).await;
                answer.map_or_else(Outcome::Unknown, Outcome::Answered)
            }
        }
    }

    /// Runs a request of a sibling in the given slot, without retries.
    pub async fn run_for_sibling(
        &self,
        request: Request<Queued>,
        context: RequestContext,
        slot: Slot,
    ) -> RunOutcome {
        match self.attempt(request, slot, &context, false).await {
            UpstreamResult::Unreachable(request) => {
                RunOutcome::NotRun(request.refuse(RefusalReason::Leaving))
            }
            UpstreamResult::Retry(_) | UpstreamResult::Unknown(_) => RunOutcome::Unknown,
            UpstreamResult::Answering(response, request, slot) => {
                let answer = self.read_answer(response, request, slot, &context, None);
                answer
                    .collect(MAX_ANSWER_BYTES)
                    .await
                    .map_or(RunOutcome::Unknown, |answer| RunOutcome::Answered(Some(answer)))
            }
        }
    }

    /// Runs the filter chain, and again after each wait for a running request with the same key.
    async fn process(&self, mut context: RequestContext) -> ServeResult {
        loop {
            let decision = self.chain.run(&mut context);
            let received = Request::new(context.request_id, context.effect, context.deadline);
            match decision {
                Some(Decision::Recorded(Lookup::Running(request_id))) => {
                    let remaining = received.remaining(self.setup.clock.now());
                    let ended = tokio::time::timeout(
                        remaining.into(),
                        self.setup.records.wait_for_end(request_id),
                    );
                    if ended.await.is_err() {
                        return ServeResult::Complete(Outcome::Unknown(received.abandon()));
                    }
                }
                Some(Decision::Recorded(lookup)) => {
                    return ServeResult::Complete(recorded_outcome(received, lookup));
                }
                Some(Decision::Relay(agent_id)) => {
                    return ServeResult::Complete(self.relay(received, agent_id, &context).await);
                }
                Some(Decision::Refuse(reason)) => {
                    let refusal = received.refuse(reason);
                    return self.complete(context.bound_key, Outcome::NotRun(refusal));
                }
                Some(Decision::Run) | None => {
                    return self.run_request(received.queue(context.now), context).await;
                }
            }
        }
    }

    async fn relay(
        &self,
        received: Request<Received>,
        agent_id: AgentId,
        context: &RequestContext,
    ) -> Outcome {
        let remaining = received.remaining(self.setup.clock.now());
        match self.setup.siblings.relay(agent_id, remaining, &context.parts, &context.body).await {
            RelayOutcome::Answered(answer) => Outcome::Answered(Arc::new(answer)),
            RelayOutcome::NotRun(reason) => Outcome::NotRun(received.refuse(reason)),
            RelayOutcome::Unknown => Outcome::Unknown(received.abandon()),
        }
    }

    /// Places a request at this agent or at a sibling, and runs it with retries.
    async fn run_request(
        &self,
        request: Request<Queued>,
        mut context: RequestContext,
    ) -> ServeResult {
        let mut admission =
            context.admission.take().unwrap_or(AdmissionStatus::Refused(RefusalReason::Overload));
        let (mut request, mut tried, mut attempts) = (request, Vec::new(), 1);
        self.with_retry_budget(RetryBudget::earn);
        loop {
            let (queued, slot) = match self.place(request, admission, &context, &mut tried).await {
                Placement::Slot(queued, slot) => (queued, slot),
                Placement::Complete(outcome) => return self.complete(context.bound_key, outcome),
                Placement::Returned(returned) => {
                    admission = self.acquire_slot(&returned, &context);
                    request = returned;
                    continue;
                }
            };
            let retry = attempts < retry::MAX_ATTEMPTS;
            request = match self.attempt(queued, slot, &context, retry).await {
                UpstreamResult::Answering(response, request, slot) => {
                    let bound_key = context.bound_key.take();
                    return ServeResult::Answering(Box::new(
                        self.read_answer(response, request, slot, &context, bound_key),
                    ));
                }
                UpstreamResult::Unknown(unknown) => {
                    return self.complete(context.bound_key, Outcome::Unknown(unknown));
                }
                UpstreamResult::Unreachable(returned) => {
                    admission = AdmissionStatus::Refused(RefusalReason::Leaving);
                    returned
                }
                UpstreamResult::Retry(returned) => {
                    self.backoff(attempts).await;
                    attempts += 1;
                    admission = self.acquire_slot(&returned, &context);
                    returned
                }
            };
        }
    }

    /// Waits for a slot here, or offers the request to a sibling when no slot is free.
    async fn place(
        &self,
        request: Request<Queued>,
        admission: AdmissionStatus,
        context: &RequestContext,
        tried: &mut Vec<AgentId>,
    ) -> Placement {
        let granted = match admission {
            AdmissionStatus::Granted(slot) => Ok(slot),
            AdmissionStatus::Refused(reason) => Err(reason),
            AdmissionStatus::Queued(ticket) => match self.pick_sibling(context, tried) {
                None => ticket.wait().await,
                Some(agent_id) => match ticket.withdraw() {
                    None => return self.offer(agent_id, request, context).await,
                    Some(granted) => {
                        self.setup.siblings.release_pick(agent_id);
                        granted
                    }
                },
            },
        };
        match granted {
            Ok(slot) => Placement::Slot(request, slot),
            Err(reason) => match self.pick_sibling(context, tried) {
                None => Placement::Complete(Outcome::NotRun(request.refuse(reason))),
                Some(agent_id) => self.offer(agent_id, request, context).await,
            },
        }
    }

    /// Returns a sibling for the request. Idempotent requests are offered only when answers of
    /// their class are known to end, since a sibling returns complete answers, and a streaming one
    /// never ends.
    fn pick_sibling(&self, context: &RequestContext, tried: &mut Vec<AgentId>) -> Option<AgentId> {
        let is_known_finite =
            context.effect == Effect::Once || self.setup.limiter.is_known_finite(context.class);
        if tried.len() >= MAX_OFFERS
            || !is_known_finite
            || self.setup.clock.now() >= context.deadline
        {
            return None;
        }
        let agent_id = self.setup.siblings.pick(tried)?;
        tried.push(agent_id);
        Some(agent_id)
    }

    async fn offer(
        &self,
        agent_id: AgentId,
        request: Request<Queued>,
        context: &RequestContext,
    ) -> Placement {
        match self.setup.siblings.offer(agent_id, request, &context.parts, &context.body).await {
            OfferOutcome::Answered(answer) => {
                Placement::Complete(Outcome::Answered(Arc::new(answer)))
            }
            OfferOutcome::Returned(returned) => Placement::Returned(returned),
            OfferOutcome::Unknown(unknown) => Placement::Complete(Outcome::Unknown(unknown)),
        }
    }

    fn acquire_slot(&self, request: &Request<Queued>, context: &RequestContext) -> AdmissionStatus {
        let (request_id, class, deadline) = (context.request_id, context.class, context.deadline);
        self.setup.limiter.acquire(SlotRequest {
            request_id,
            class,
            since: request.since(),
            deadline,
            may_wait: true,
        })
    }

    /// Sends a request to the upstream once. An idempotent request may be retried when `retry` is
    /// set and the retry budget allows it.
    async fn attempt(
        &self,
        request: Request<Queued>,
        slot: Slot,
        context: &RequestContext,
        retry: bool,
    ) -> UpstreamResult {
        let remaining = request.remaining(self.setup.clock.now());
        let connect = tokio::time::timeout(remaining.into(), self.setup.upstream.connect());
        let Ok(Ok(connection)) = connect.await else {
            slot.finish(AttemptOutcome::Lost);
            return UpstreamResult::Unreachable(request);
        };
        let remaining = request.remaining(self.setup.clock.now());
        let request = request.dispatch(self.setup.clock.now());
        let send = connection.send(&context.parts, context.body.clone(), remaining);
        let answer = tokio::time::timeout(remaining.into(), send).await;
        match answer {
            Ok(Ok(response)) if !is_shed(&response) || !self.may_retry(&request, retry) => {
                UpstreamResult::Answering(response, request, slot)
            }
            Ok(Ok(_)) => {
                slot.finish(AttemptOutcome::Shed);
                self.requeue(request)
            }
            Ok(Err(error)) => {
                debug!(self.setup.log, "upstream attempt failed"; "error" => %error,
                    "call" => %context.request_id);
                slot.finish(AttemptOutcome::Lost);
                if self.may_retry(&request, retry) {
                    self.requeue(request)
                } else {
                    UpstreamResult::Unknown(request.abandon())
                }
            }
            Err(_) => {
                slot.finish(AttemptOutcome::Lost);
                UpstreamResult::Unknown(request.abandon())
            }
        }
    }

    fn requeue(&self, request: Request<Dispatched>) -> UpstreamResult {
        request
            .retry(self.setup.clock.now())
            .map_or_else(UpstreamResult::Unknown, UpstreamResult::Retry)
    }

    fn may_retry(&self, request: &Request<Dispatched>, retry: bool) -> bool {
        retry
            && request.effect() == Effect::Idempotent
            && self.with_retry_budget(RetryBudget::spend)
    }

    async fn backoff(&self, attempt: u32) {
        let span = {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            retry::backoff(attempt, &mut *random)
        };
        tokio::time::sleep(span.into()).await;
    }

    fn with_retry_budget<R>(&self, operation: impl FnOnce(&mut RetryBudget) -> R) -> R {
        operation(&mut self.budget.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn read_answer(
        &self,
        response: Response<Incoming>,
        request: Request<Dispatched>,
        slot: Slot,
        context: &RequestContext,
        bound_key: Option<BoundKey>,
    ) -> UpstreamAnswer {
        let (method, max_pause) = (&context.parts.method, context.limits.deadline);
        UpstreamAnswer::new(response, method, request, slot, bound_key, max_pause, context.class)
    }

    /// Records the outcome for the idempotency key before it is returned.
    fn complete(&self, bound_key: Option<BoundKey>, outcome: Outcome) -> ServeResult {
        if let Some(bound_key) = bound_key {
            bound_key.finish(match &outcome {
                Outcome::Answered(answer) if answer.size() <= MAX_RECORDED_ANSWER => {
                    RunOutcome::Answered(Some(answer.clone()))
                }
                Outcome::Answered(_) => RunOutcome::Answered(None),
                Outcome::NotRun(refusal) => RunOutcome::NotRun(*refusal),
                Outcome::Unknown(_) => RunOutcome::Unknown,
            });
        }
        ServeResult::Complete(outcome)
    }

    fn report_outcome(&self, outcome: &Outcome) {
        let name = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        };
        counter!("yuccacroft_requests_total", "outcome" => name).increment(1);
        match outcome {
            Outcome::Answered(_) => {}
            Outcome::NotRun(refusal) => {
                let (request_id, reason) = (refusal.request_id(), refusal.reason());
                debug!(self.setup.log, "request not run"; "call" => %request_id, "reason" => %reason);
            }
            Outcome::Unknown(unknown) => {
                debug!(self.setup.log, "request outcome unknown"; "call" => %unknown.request_id());
            }
        }
    }
}

/// Returns the outcome of a request whose idempotency key is bound already.
fn recorded_outcome(received: Request<Received>, lookup: Lookup) -> Outcome {
    match lookup {
        Lookup::Answered(answer) => Outcome::Answered(answer),
        Lookup::NotRun(refusal) => Outcome::NotRun(refusal),
        Lookup::Conflict => Outcome::NotRun(received.refuse(RefusalReason::Conflict)),
        Lookup::New | Lookup::Running(_) | Lookup::Unknown | Lookup::Full => {
            Outcome::Unknown(received.abandon())
        }
    }
}

fn is_shed(response: &Response<Incoming>) -> bool {
    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&response.status())
}
