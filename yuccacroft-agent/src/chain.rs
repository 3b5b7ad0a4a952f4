//! The filter chain of requests: contract, identity and idempotency, classification, admission,
//! deadline, dispatch.

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
        admission::{Ask, class::Class},
        contract::Terms,
        filter::{Chain, Filter, Verdict},
        flow::Hop,
        ids::Call,
        record::{Claim, Key, Print, Seen},
        request::{Effect, Reason},
        time::{Moment, Span},
    },
};

/// The header by which a caller limits the time for its answer, and by which the upstream learns
/// how much of it is left.
pub const DEADLINE_HEADER: &str = "yuccacroft-deadline";
/// The header that names a request over all its retries (draft-ietf-httpapi-idempotency-key).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A request as the filters see it.
#[derive(Debug)]
pub struct RequestContext {
    /// The id that the agent gave it.
    pub call: Call,
    /// The head of the request.
    pub parts: Parts,
    /// The whole body.
    pub body: Bytes,
    /// When it arrived.
    pub now: Moment,
    /// The terms in force.
    pub limits: Limits,
    /// What a repetition would do.
    pub effect: Effect,
    /// When its answer is due.
    pub deadline: Moment,
    /// Its route class.
    pub class: Class,
    /// Its key, once the record has bound it.
    pub bound_key: Option<BoundKey>,
    /// What the gate said.
    pub admission: Option<AdmissionStatus>,
}

/// The terms of the contract that filters need.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for an answer when the caller states none, and the longest that it may state.
    pub deadline: Span,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Decision {
    /// It does not run.
    Refuse(Reason),
    /// It asks for a key that the record knows.
    Recorded(Seen),
    /// It belongs to another agent.
    Relay(Hop),
    /// It runs when the gate lets it.
    Run,
}

impl RequestContext {
    /// Takes in a request.
    pub fn new(call: Call, parts: Parts, body: Bytes, now: Moment, limits: Limits) -> Self {
        let (effect, class) = (Effect::Once, Class::default());
        let (bound_key, admission) = (None, None);
        Self { call, parts, body, now, limits, effect, deadline: now, class, bound_key, admission }
    }
}

/// Returns true when a repetition changes nothing because the request itself changes nothing
/// (RFC 9110, 9.2.1).
fn is_safe(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS].contains(method)
}

/// Returns the key of a request that may change something.
pub fn idempotency_key(parts: &Parts) -> Option<Key> {
    let text = parts.headers.get(IDEMPOTENCY_KEY_HEADER).filter(|_| !is_safe(&parts.method))?;
    Some(Key::new(text.as_bytes()))
}

impl From<&Terms> for Limits {
    fn from(terms: &Terms) -> Self {
        Self { deadline: terms.deadline }
    }
}

/// Creates the chain over the state that its filters ask.
pub fn build_chain(
    limiter: Arc<Limiter>,
    records: Arc<Records>,
    owner_codec: Arc<OwnerCodec>,
) -> Chain<RequestContext, Decision> {
    Chain::new(vec![
        Box::new(Contract),
        Box::new(Identity { records, owner_codec }),
        Box::new(Classification { limiter: limiter.clone() }),
        Box::new(Admission { limiter: limiter.clone() }),
        Box::new(Deadline { limiter }),
        Box::new(Dispatch),
    ])
}

/// Applies the limits of the contract.
struct Contract;

/// Finds what a repetition would do, and looks the key up.
struct Identity {
    records: Arc<Records>,
    owner_codec: Arc<OwnerCodec>,
}

/// Finds the route class.
struct Classification {
    limiter: Arc<Limiter>,
}

/// Asks the gate for a slot.
struct Admission {
    limiter: Arc<Limiter>,
}

/// Refuses a request whose time has passed.
struct Deadline {
    limiter: Arc<Limiter>,
}

/// Lets the request run.
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
                None => return Verdict::Done(Decision::Refuse(Reason::Malformed)),
            },
        };
        context.deadline = context.now + allowed;
        Verdict::Continue
    }
}

impl Identity {
    fn look_up(&self, context: &mut RequestContext, key: Key, claim: Claim) -> Verdict<Decision> {
        let path = context.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let fingerprint = Print::new(context.parts.method.as_str(), path, &context.body);
        match self.records.begin(key, fingerprint, context.call, claim) {
            Ok(bound_key) => {
                context.bound_key = Some(bound_key);
                Verdict::Continue
            }
            Err(seen) => Verdict::Done(Decision::Recorded(seen)),
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
        // RFC 9110, section 9.2.2.
        if is_safe(method) || [Method::PUT, Method::DELETE].contains(method) {
            context.effect = Effect::Idempotent;
        }
        let Some(key) = idempotency_key(&context.parts) else { return Verdict::Continue };
        let claim = match self.owner_codec.decode(&context.parts.headers) {
            NamedOwner::Missing => Claim::None,
            NamedOwner::Own(learned) => Claim::Own(learned),
            NamedOwner::Other(hop) => return Verdict::Done(Decision::Relay(hop)),
            NamedOwner::EarlierIncarnation => {
                return Verdict::Done(Decision::Recorded(Seen::Unknown));
            }
            NamedOwner::Invalid => return Verdict::Done(Decision::Refuse(Reason::Malformed)),
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
        let RequestContext { call, class, now, deadline, .. } = *context;
        context.admission =
            Some(self.limiter.acquire(Ask { call, class, since: now, deadline, may_wait: true }));
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
        Verdict::Done(Decision::Refuse(Reason::Deadline))
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
