//! The shell of the request path: runs the chain and carries out what it decided.

use {
    crate::{
        chain::{self, Decision, Item, Limits},
        limiter::{Entry, Limiter, Slot},
        live::Live,
        owner::{self, Owners},
        records::{Bound, MAX_KEPT, Records},
        siblings::{Settled, Siblings},
        upstream::Client,
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
        filter::Chain,
        flow::Hop,
        ids::RequestId,
        record::{Answer, Lookup, RunOutcome},
        request::{Dispatched, Effect, Queued, Reason, Received, Refusal, Request, Unknown},
        retry::{self, RetryBudget},
        time::{Moment, Span},
    },
    yuccacroft_rpc::clock::Clock,
    yuccacroft_wire::handoff::Relayed,
};

/// Largest answer that is passed on by a sibling.
pub const MAX_ANSWER: usize = 1 << 20;
/// Siblings that are offered one request.
const OFFERS: usize = 3;

/// What a service is made of.
pub struct Setup {
    /// The shell of the gate.
    pub limiter: Arc<Limiter>,
    /// The record of keys.
    pub records: Arc<Records>,
    /// The codec of the owner header.
    pub owners: Arc<Owners>,
    /// The other agents of the service.
    pub siblings: Arc<Siblings>,
    /// The client of the upstream.
    pub upstream: Client,
    /// The clock of all decisions.
    pub clock: Clock,
    /// What the contract in force says of requests.
    pub limits: watch::Receiver<Limits>,
    /// The logger of the process.
    pub log: Logger,
}

/// Serves requests whatever their front end.
pub struct Service {
    setup: Setup,
    chain: Chain<Item, Decision>,
    budget: Mutex<RetryBudget>,
    random: Mutex<StdRng>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Served {
    /// Its answer is on its way.
    Live(Box<Live>),
    /// It has ended.
    Ended(Outcome),
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It was answered.
    Answered(Arc<Answer>),
    /// It truly did not run.
    NotRun(Refusal),
    /// Nobody knows whether it ran.
    Unknown(Unknown),
}

/// A request that found its place, or did not.
enum Placed {
    Slot(Request<Queued>, Slot),
    Back(Request<Queued>),
    Ended(Outcome),
}

/// What an attempt at the upstream brought.
enum Attempt {
    Head(Response<Incoming>, Request<Dispatched>, Slot),
    Again(Request<Queued>),
    Unreachable(Request<Queued>),
    Unknown(Unknown),
}

impl Service {
    /// Creates the service in front of one upstream.
    pub fn new(setup: Setup) -> Self {
        let Setup { limiter, records, owners, .. } = &setup;
        let chain = chain::chain(limiter.clone(), records.clone(), owners.clone());
        let random = Mutex::new(StdRng::from_rng(&mut rand::rng()));
        Self { chain, setup, budget: Mutex::default(), random }
    }

    /// Returns the names of the filters that a request passes, in their order.
    pub fn filters(&self) -> impl Iterator<Item = &'static str> {
        self.chain.names()
    }

    /// Returns the shell of the gate.
    pub fn limiter(&self) -> &Arc<Limiter> {
        &self.setup.limiter
    }

    /// Returns the record of keys.
    pub fn records(&self) -> &Arc<Records> {
        &self.setup.records
    }

    /// Returns the owner header of the answer to a request that arrived at `arrived`.
    ///
    /// A retry keeps the owner that it named, even when another agent answers: with a younger or
    /// other owner, the next retry would look like a first attempt there and run.
    pub fn owner(&self, parts: &Parts, arrived: Moment) -> HeaderValue {
        let Some(key) = chain::key(parts) else { return self.setup.owners.value(arrived) };
        match parts.headers.get(owner::HEADER) {
            Some(named) => named.clone(),
            None => self.setup.owners.value(self.setup.records.bound(key).unwrap_or(arrived)),
        }
    }

    /// Returns the clock of all its decisions.
    pub fn clock(&self) -> Clock {
        self.setup.clock
    }

    /// Returns the limits of the contract in force.
    pub fn limits(&self) -> Limits {
        *self.setup.limits.borrow()
    }

    /// Serves a request under an id that its front end has drawn.
    pub async fn serve(&self, call: RequestId, parts: Parts, body: Bytes) -> Served {
        let item = Item::new(call, parts, body, self.setup.clock.now(), self.limits());
        let served = self.decide(item).await;
        if let Served::Ended(outcome) = &served {
            self.note(outcome);
        }
        served
    }

    /// Serves a request whose whole answer goes to another agent.
    pub async fn whole(&self, parts: Parts, body: Bytes, remaining: Span) -> Outcome {
        let call = RequestId::new(rand::random());
        let mut limits = self.limits();
        limits.deadline = limits.deadline.min(remaining);
        let item = Item::new(call, parts, body, self.setup.clock.now(), limits);
        match self.decide(item).await {
            Served::Ended(outcome) => outcome,
            Served::Live(live) => {
                let whole = live.whole(MAX_ANSWER).await;
                whole.map_or_else(Outcome::Unknown, Outcome::Answered)
            }
        }
    }

    /// Runs a request of a sibling, which has a slot already, once.
    pub async fn execute(&self, request: Request<Queued>, item: Item, slot: Slot) -> RunOutcome {
        match self.attempt(request, slot, &item, false).await {
            Attempt::Unreachable(request) => RunOutcome::NotRun(request.refuse(Reason::Leaving)),
            Attempt::Again(_) | Attempt::Unknown(_) => RunOutcome::Unknown,
            Attempt::Head(response, request, slot) => {
                let live = self.live(response, request, slot, &item, None);
                live.whole(MAX_ANSWER)
                    .await
                    .map_or(RunOutcome::Unknown, |whole| RunOutcome::Answered(Some(whole)))
            }
        }
    }

    /// Runs the chain, again after each wait for the request that has the same key.
    async fn decide(&self, mut item: Item) -> Served {
        loop {
            let decision = self.chain.run(&mut item);
            let received = Request::new(item.call, item.effect, item.deadline);
            match decision {
                Some(Decision::Known(Lookup::Running(call))) => {
                    let remaining = received.remaining(self.setup.clock.now());
                    let ended =
                        tokio::time::timeout(remaining.into(), self.setup.records.ended(call));
                    if ended.await.is_err() {
                        return Served::Ended(Outcome::Unknown(received.abandon()));
                    }
                }
                Some(Decision::Known(seen)) => return Served::Ended(known(received, seen)),
                Some(Decision::Relay(hop)) => {
                    return Served::Ended(self.relay(received, hop, &item).await);
                }
                Some(Decision::Refuse(reason)) => {
                    let refusal = received.refuse(reason);
                    return self.end(item.bound, Outcome::NotRun(refusal));
                }
                Some(Decision::Run) | None => {
                    return self.run(received.queue(item.now), item).await;
                }
            }
        }
    }

    async fn relay(&self, received: Request<Received>, hop: Hop, item: &Item) -> Outcome {
        let remaining = received.remaining(self.setup.clock.now());
        match self.setup.siblings.relay(hop, remaining, &item.parts, &item.body).await {
            Relayed::Answered(answer) => Outcome::Answered(Arc::new(answer)),
            Relayed::NotRun(reason) => Outcome::NotRun(received.refuse(reason)),
            Relayed::Unknown => Outcome::Unknown(received.abandon()),
        }
    }

    /// Finds a place for a request, here or at a sibling, and runs it.
    async fn run(&self, request: Request<Queued>, mut item: Item) -> Served {
        let mut entry = item.entry.take().unwrap_or(Entry::Refused(Reason::Overload));
        let (mut request, mut tried, mut attempts) = (request, Vec::new(), 1);
        self.with_budget(RetryBudget::earn);
        loop {
            let (queued, slot) = match self.place(request, entry, &item, &mut tried).await {
                Placed::Slot(queued, slot) => (queued, slot),
                Placed::Ended(outcome) => return self.end(item.bound, outcome),
                Placed::Back(back) => {
                    entry = self.ask(&back, &item);
                    request = back;
                    continue;
                }
            };
            let retry = attempts < retry::MAX_ATTEMPTS;
            request = match self.attempt(queued, slot, &item, retry).await {
                Attempt::Head(response, request, slot) => {
                    let bound = item.bound.take();
                    return Served::Live(Box::new(
                        self.live(response, request, slot, &item, bound),
                    ));
                }
                Attempt::Unknown(unknown) => {
                    return self.end(item.bound, Outcome::Unknown(unknown));
                }
                Attempt::Unreachable(back) => {
                    entry = Entry::Refused(Reason::Leaving);
                    back
                }
                Attempt::Again(back) => {
                    self.pause(attempts).await;
                    attempts += 1;
                    entry = self.ask(&back, &item);
                    back
                }
            };
        }
    }

    /// Brings a request to a slot here, or lets a sibling run it when there is none.
    async fn place(
        &self,
        request: Request<Queued>,
        entry: Entry,
        item: &Item,
        tried: &mut Vec<Hop>,
    ) -> Placed {
        let granted = match entry {
            Entry::Started(slot) => Ok(slot),
            Entry::Refused(reason) => Err(reason),
            Entry::Waiting(ticket) => match self.sibling(item, tried) {
                None => ticket.wait().await,
                Some(hop) => match ticket.withdraw() {
                    None => return self.offer(hop, request, item).await,
                    Some(granted) => {
                        self.setup.siblings.spare(hop);
                        granted
                    }
                },
            },
        };
        match granted {
            Ok(slot) => Placed::Slot(request, slot),
            Err(reason) => match self.sibling(item, tried) {
                None => Placed::Ended(Outcome::NotRun(request.refuse(reason))),
                Some(hop) => self.offer(hop, request, item).await,
            },
        }
    }

    /// Returns a sibling for the request. An idempotent route goes to siblings once it has been
    /// answered, since the answer of a feed never ends and cannot be passed on as a whole.
    fn sibling(&self, item: &Item, tried: &mut Vec<Hop>) -> Option<Hop> {
        let is_whole = item.effect == Effect::Once || self.setup.limiter.is_whole(item.class);
        if tried.len() >= OFFERS || !is_whole || self.setup.clock.now() >= item.deadline {
            return None;
        }
        let hop = self.setup.siblings.pick(tried)?;
        tried.push(hop);
        Some(hop)
    }

    async fn offer(&self, hop: Hop, request: Request<Queued>, item: &Item) -> Placed {
        match self.setup.siblings.offer(hop, request, &item.parts, &item.body).await {
            Settled::Answered(answer) => Placed::Ended(Outcome::Answered(Arc::new(answer))),
            Settled::Back(back) => Placed::Back(back),
            Settled::Unknown(unknown) => Placed::Ended(Outcome::Unknown(unknown)),
        }
    }

    fn ask(&self, request: &Request<Queued>, item: &Item) -> Entry {
        let (call, class, deadline) = (item.call, item.class, item.deadline);
        self.setup.limiter.ask(SlotRequest {
            call,
            class,
            since: request.since(),
            deadline,
            may_wait: true,
        })
    }

    /// Sends a request to the upstream once. `retry` says whether an idempotent one may be sent
    /// again, which the budget decides as well.
    async fn attempt(
        &self,
        request: Request<Queued>,
        slot: Slot,
        item: &Item,
        retry: bool,
    ) -> Attempt {
        let remaining = request.remaining(self.setup.clock.now());
        let connect = tokio::time::timeout(remaining.into(), self.setup.upstream.connect());
        let Ok(Ok(line)) = connect.await else {
            slot.finish(AttemptOutcome::Lost);
            return Attempt::Unreachable(request);
        };
        let remaining = request.remaining(self.setup.clock.now());
        let request = request.dispatch(self.setup.clock.now());
        let send = line.send(&item.parts, item.body.clone(), remaining);
        let answer = tokio::time::timeout(remaining.into(), send).await;
        match answer {
            Ok(Ok(response)) if !is_shed(&response) || !self.may_retry(&request, retry) => {
                Attempt::Head(response, request, slot)
            }
            Ok(Ok(_)) => {
                slot.finish(AttemptOutcome::Shed);
                self.again(request)
            }
            Ok(Err(error)) => {
                debug!(self.setup.log, "attempt_failed"; "error" => %error, "call" => %item.call);
                slot.finish(AttemptOutcome::Lost);
                if self.may_retry(&request, retry) {
                    self.again(request)
                } else {
                    Attempt::Unknown(request.abandon())
                }
            }
            Err(_) => {
                slot.finish(AttemptOutcome::Lost);
                Attempt::Unknown(request.abandon())
            }
        }
    }

    fn again(&self, request: Request<Dispatched>) -> Attempt {
        request.retry(self.setup.clock.now()).map_or_else(Attempt::Unknown, Attempt::Again)
    }

    fn may_retry(&self, request: &Request<Dispatched>, retry: bool) -> bool {
        retry && request.effect() == Effect::Idempotent && self.with_budget(RetryBudget::spend)
    }

    async fn pause(&self, attempt: u32) {
        let span = {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            retry::backoff(attempt, &mut *random)
        };
        tokio::time::sleep(span.into()).await;
    }

    fn with_budget<R>(&self, act: impl FnOnce(&mut RetryBudget) -> R) -> R {
        act(&mut self.budget.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn live(
        &self,
        response: Response<Incoming>,
        request: Request<Dispatched>,
        slot: Slot,
        item: &Item,
        bound: Option<Bound>,
    ) -> Live {
        let (method, progress) = (&item.parts.method, item.limits.deadline);
        Live::new(response, method, request, slot, bound, progress, item.class)
    }

    /// Notes the outcome under the key before anybody is told.
    fn end(&self, bound: Option<Bound>, outcome: Outcome) -> Served {
        if let Some(bound) = bound {
            bound.end(match &outcome {
                Outcome::Answered(answer) if answer.size() <= MAX_KEPT => {
                    RunOutcome::Answered(Some(answer.clone()))
                }
                Outcome::Answered(_) => RunOutcome::Answered(None),
                Outcome::NotRun(refusal) => RunOutcome::NotRun(*refusal),
                Outcome::Unknown(_) => RunOutcome::Unknown,
            });
        }
        Served::Ended(outcome)
    }

    fn note(&self, outcome: &Outcome) {
        let name = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
        };
        counter!("yuccacroft_requests_total", "outcome" => name).increment(1);
        match outcome {
            Outcome::Answered(_) => {}
            Outcome::NotRun(refusal) => {
                let (call, reason) = (refusal.call(), refusal.reason());
                debug!(self.setup.log, "request_not_run"; "call" => %call, "reason" => %reason);
            }
            Outcome::Unknown(unknown) => {
                debug!(self.setup.log, "request_unknown"; "call" => %unknown.call());
            }
        }
    }
}

/// Returns the outcome of a request whose key the record knows.
fn known(received: Request<Received>, seen: Lookup) -> Outcome {
    match seen {
        Lookup::Answered(answer) => Outcome::Answered(answer),
        Lookup::NotRun(refusal) => Outcome::NotRun(refusal),
        Lookup::Conflict => Outcome::NotRun(received.refuse(Reason::Conflict)),
        Lookup::New | Lookup::Running(_) | Lookup::Unknown | Lookup::Full => {
            Outcome::Unknown(received.abandon())
        }
    }
}

fn is_shed(response: &Response<Incoming>) -> bool {
    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&response.status())
}
