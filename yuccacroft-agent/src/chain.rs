//! The filter chain of requests: contract, identity and idempotency, classification, admission,
//! deadline, dispatch.

use {
    crate::{
        limiter::{Entry, Limiter},
        owner::{Named, Owners},
        records::{Bound, Records},
    },
    bytes::Bytes,
    http::{Method, request::Parts},
    std::sync::Arc,
    yuccacroft_core::{
        admission::{SlotRequest, class::Class},
        contract::Terms,
        filter::{Chain, Filter, Verdict},
        flow::Hop,
        ids::RequestId,
        record::{Fingerprint, Key, Lookup, OwnerClaim},
        request::{Effect, Reason},
        time::{Moment, Span},
    },
};

/// The header by which a caller limits the time for its answer, and by which the upstream learns
/// how much of it is left.
pub const DEADLINE: &str = "yuccacroft-deadline";
/// The header that names a request over all its retries (draft-ietf-httpapi-idempotency-key).
pub const KEY: &str = "idempotency-key";

/// A request as the filters see it.
#[derive(Debug)]
pub struct Item {
    /// The id that the agent gave it.
    pub call: RequestId,
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
    pub bound: Option<Bound>,
    /// What the gate said.
    pub entry: Option<Entry>,
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
    Known(Lookup),
    /// It belongs to another agent.
    Relay(Hop),
    /// It runs when the gate lets it.
    Run,
}

impl Item {
    /// Takes in a request.
    pub fn new(call: RequestId, parts: Parts, body: Bytes, now: Moment, limits: Limits) -> Self {
        let (effect, class) = (Effect::Once, Class::default());
        let (bound, entry) = (None, None);
        Self { call, parts, body, now, limits, effect, deadline: now, class, bound, entry }
    }
}

/// Returns true when a repetition changes nothing because the request itself changes nothing
/// (RFC 9110, 9.2.1).
fn is_safe(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS].contains(method)
}

/// Returns the key of a request that may change something.
pub fn key(parts: &Parts) -> Option<Key> {
    let text = parts.headers.get(KEY).filter(|_| !is_safe(&parts.method))?;
    Some(Key::new(text.as_bytes()))
}

impl From<&Terms> for Limits {
    fn from(terms: &Terms) -> Self {
        Self { deadline: terms.deadline }
    }
}

/// Creates the chain over the state that its filters ask.
pub fn chain(
    limiter: Arc<Limiter>,
    records: Arc<Records>,
    owners: Arc<Owners>,
) -> Chain<Item, Decision> {
    Chain::new(vec![
        Box::new(Contract),
        Box::new(Identity { records, owners }),
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
    owners: Arc<Owners>,
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

impl Filter<Item> for Contract {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "contract"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        let span = match item.parts.headers.get(DEADLINE) {
            None => item.limits.deadline,
            Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
                Some(span) => item.limits.deadline.min(span),
                None => return Verdict::Done(Decision::Refuse(Reason::Malformed)),
            },
        };
        item.deadline = item.now + span;
        Verdict::Continue
    }
}

impl Identity {
    fn look_up(&self, item: &mut Item, key: Key, claim: OwnerClaim) -> Verdict<Decision> {
        let path = item.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let print = Fingerprint::new(item.parts.method.as_str(), path, &item.body);
        match self.records.begin(key, print, item.call, claim) {
            Ok(bound) => {
                item.bound = Some(bound);
                Verdict::Continue
            }
            Err(seen) => Verdict::Done(Decision::Known(seen)),
        }
    }
}

impl Filter<Item> for Identity {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "identity"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        let method = &item.parts.method;
        // RFC 9110, section 9.2.2.
        if is_safe(method) || [Method::PUT, Method::DELETE].contains(method) {
            item.effect = Effect::Idempotent;
        }
        let Some(key) = key(&item.parts) else { return Verdict::Continue };
        let claim = match self.owners.read(&item.parts.headers) {
            Named::Nobody => OwnerClaim::None,
            Named::Own(learned) => OwnerClaim::Own(learned),
            Named::Other(hop) => return Verdict::Done(Decision::Relay(hop)),
            Named::Earlier => return Verdict::Done(Decision::Known(Lookup::Unknown)),
            Named::Invalid => return Verdict::Done(Decision::Refuse(Reason::Malformed)),
        };
        self.look_up(item, key, claim)
    }
}

impl Filter<Item> for Classification {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "classification"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        item.class = self.limiter.classify(item.parts.method.as_str(), item.parts.uri.path());
        Verdict::Continue
    }
}

impl Filter<Item> for Admission {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "admission"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        let Item { call, class, now, deadline, .. } = *item;
        item.entry = Some(self.limiter.ask(SlotRequest {
            call,
            class,
            since: now,
            deadline,
            may_wait: true,
        }));
        Verdict::Continue
    }
}

impl Filter<Item> for Deadline {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "deadline"
    }

    fn apply(&self, item: &mut Item) -> Verdict<Decision> {
        if self.limiter.now() < item.deadline {
            return Verdict::Continue;
        }
        Verdict::Done(Decision::Refuse(Reason::Deadline))
    }
}

impl Filter<Item> for Dispatch {
    type Decision = Decision;

    fn name(&self) -> &'static str {
        "dispatch"
    }

    fn apply(&self, _: &mut Item) -> Verdict<Decision> {
        Verdict::Done(Decision::Run)
    }
}
