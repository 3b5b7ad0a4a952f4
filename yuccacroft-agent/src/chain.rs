//! Filter chain of requests: contract limits, idempotency, classification, admission, deadline,
//! dispatch.

use {
    crate::{
        limiter::{AdmissionStatus, Limiter},
        owner::{NamedOwner, OwnerCodec},
        records::{BoundKey, Records},
    },
    bytes::Bytes,
    http::{Method, request::Parts},
    std::sync::Arc,
    yuccacroft_core::{
        admission::{SlotRequest, class::Class},
        contract::Terms,
        filter::{Filter, FilterChain, Verdict},
        flow::AgentId,
        idempotency::{Fingerprint, IdempotencyKey, Lookup, OwnerClaim},
        ids::RequestId,
        request::{Effect, RefusalReason},
        time::{Moment, Span},
    },
};

/// Request header with the time for the answer. Callers may lower the limit of the contract with
/// it; the upstream receives the remaining time in it.
pub const DEADLINE_HEADER: &str = "yuccacroft-deadline";
/// Request header that identifies a request across its retries
/// (draft-ietf-httpapi-idempotency-key).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A request with the state that the filters read and write.
#[derive(Debug)]
pub struct RequestContext {
    /// The id that the agent assigned.
    pub request_id: RequestId,
    /// The head of the request.
    pub parts: Parts,
    /// The complete body.
    pub body: Bytes,
    /// Time of arrival.
    pub now: Moment,
    /// The contract limits in force.
    pub limits: Limits,
    /// Whether the request is idempotent.
    pub effect: Effect,
    /// Time by which the answer is due.
    pub deadline: Moment,
    /// The class of the route, for which a service time is learned.
    pub class: Class,
    /// The idempotency key, once it is bound to this request.
    pub bound_key: Option<BoundKey>,
    /// Result of the admission filter.
    pub admission: Option<AdmissionStatus>,
}

/// Limits from the contract that apply to each request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Default and maximum of the time that a caller may allow for an answer.
    pub deadline: Span,
}

/// What the service does with a request.
#[derive(Debug)]
pub enum Decision {
    /// Refuse it without running it.
    Refuse(RefusalReason),
    /// End it with the recorded outcome of the request that its key is bound to.
    Recorded(Lookup),
    /// Relay it to the agent that owns its key.
    Relay(AgentId),
    /// Run it, subject to its admission status.
    Run,
}

impl RequestContext {
    /// Creates the context of a request that arrived at `now`. Filters fill in the remaining
    /// fields.
    pub fn new(
        request_id: RequestId,
        parts: Parts,
        body: Bytes,
        now: Moment,
        limits: Limits,
    ) -> Self {
        let (effect, class) = (Effect::Once, Class::default());
        let (bound_key, admission) = (None, None);
        Self {
            request_id,
            parts,
            body,
            now,
            limits,
            effect,
            deadline: now,
            class,
            bound_key,
            admission,
        }
    }
}

/// Returns true for safe methods, which change no state (RFC 9110, 9.2.1).
fn is_safe(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS].contains(method)
}

/// Returns the idempotency key of a request; `None` for safe methods, which need none.
pub fn idempotency_key(parts: &Parts) -> Option<IdempotencyKey> {
    let text = parts.headers.get(IDEMPOTENCY_KEY_HEADER).filter(|_| !is_safe(&parts.method))?;
    Some(IdempotencyKey::new(text.as_bytes()))
}

impl From<&Terms> for Limits {
    fn from(terms: &Terms) -> Self {
        Self { deadline: terms.deadline }
    }
}

/// Creates the chain over the shared state that its filters use.
pub fn build_chain(
    limiter: Arc<Limiter>,
    records: Arc<Records>,
    owner_codec: Arc<OwnerCodec>,
) -> FilterChain<RequestContext, Decision> {
    FilterChain::new(vec![
        Box::new(Contract),
        Box::new(Identity { records, owner_codec }),
        Box::new(Classification { limiter: limiter.clone() }),
        Box::new(Admission { limiter: limiter.clone() }),
        Box::new(Deadline { limiter }),
        Box::new(Dispatch),
    ])
}

/// Sets the deadline within the limit of the contract; refuses a malformed deadline header.
struct Contract;

/// Determines whether the request is idempotent, and looks its key up.
struct Identity {
    records: Arc<Records>,
    owner_codec: Arc<OwnerCodec>,
}

/// Sets the route class.
struct Classification {
    limiter: Arc<Limiter>,
}

/// Requests a slot from the limiter.
struct Admission {
    limiter: Arc<Limiter>,
}

/// Refuses a request whose deadline has passed.
struct Deadline {
    limiter: Arc<Limiter>,
}

/// Ends the chain with the decision to run the request.
struct Dispatch;

impl Filter<RequestContext> for Contract {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "contract"
    }

    fn apply(&self, context: &mut RequestContext) -> Verdict<Decision> {
        let allowed = match context.parts.headers.get(DEADLINE_HEADER) {
            None => context.limits.deadline,
            Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
                Some(allowed) => context.limits.deadline.min(allowed),
                None => return Verdict::Done(Decision::Refuse(RefusalReason::Malformed)),
            },
        };
        context.deadline = context.now + allowed;
        Verdict::Continue
    }
}

impl Identity {
    fn look_up(
        &self,
        context: &mut RequestContext,
        key: IdempotencyKey,
        claim: OwnerClaim,
    ) -> Verdict<Decision> {
        let path = context.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let fingerprint = Fingerprint::new(context.parts.method.as_str(), path, &context.body);
        match self.records.begin(key, fingerprint, context.request_id, claim) {
            Ok(bound_key) => {
                context.bound_key = Some(bound_key);
                Verdict::Continue
            }
            Err(lookup) => Verdict::Done(Decision::Recorded(lookup)),
        }
    }
}

impl Filter<RequestContext> for Identity {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "identity"
    }

    fn apply(&self, context: &mut RequestContext) -> Verdict<Decision> {
        let method = &context.parts.method;
        // Idempotent methods: RFC 9110, section 9.2.2.
        if is_safe(method) || [Method::PUT, Method::DELETE].contains(method) {
            context.effect = Effect::Idempotent;
        }
        let Some(key) = idempotency_key(&context.parts) else { return Verdict::Continue };
        let claim = match self.owner_codec.decode(&context.parts.headers) {
            NamedOwner::Missing => OwnerClaim::None,
            NamedOwner::Own(learned) => OwnerClaim::Own(learned),
            NamedOwner::Other(agent_id) => return Verdict::Done(Decision::Relay(agent_id)),
            NamedOwner::EarlierIncarnation => {
                return Verdict::Done(Decision::Recorded(Lookup::Unknown));
            }
            NamedOwner::Invalid => {
                return Verdict::Done(Decision::Refuse(RefusalReason::Malformed));
            }
        };
        self.look_up(context, key, claim)
    }
}

impl Filter<RequestContext> for Classification {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "classification"
    }

    fn apply(&self, context: &mut RequestContext) -> Verdict<Decision> {
        context.class =
            self.limiter.classify(context.parts.method.as_str(), context.parts.uri.path());
        Verdict::Continue
    }
}

impl Filter<RequestContext> for Admission {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "admission"
    }

    fn apply(&self, context: &mut RequestContext) -> Verdict<Decision> {
        let RequestContext { request_id, class, now, deadline, .. } = *context;
        context.admission = Some(self.limiter.acquire(SlotRequest {
            request_id,
            class,
            since: now,
            deadline,
            may_wait: true,
        }));
        Verdict::Continue
    }
}

impl Filter<RequestContext> for Deadline {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "deadline"
    }

    fn apply(&self, context: &mut RequestContext) -> Verdict<Decision> {
        if self.limiter.now() < context.deadline {
            return Verdict::Continue;
        }
        Verdict::Done(Decision::Refuse(RefusalReason::Deadline))
    }
}

impl Filter<RequestContext> for Dispatch {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "dispatch"
    }

    fn apply(&self, _: &mut RequestContext) -> Verdict<Decision> {
        Verdict::Done(Decision::Run)
    }
}
