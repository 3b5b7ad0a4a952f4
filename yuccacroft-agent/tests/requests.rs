//! The request path of agents before real upstreams, and the hand-off between agents.

mod support;

use {
    axum::{extract::Request, http::StatusCode, middleware, middleware::Next, response::Response},
    std::time::Duration,
    support::{FEED, Rig, keyed, open, owned, plain},
    yuccacroft_agent::{
        owner::{NamedOwner, OwnerCodec},
        service::Outcome,
    },
    yuccacroft_core::{flow::Hop, ids::Incarnation, key::Secret, request::Reason, time::Span},
};

fn body(outcome: &Outcome) -> &str {
    match outcome {
        Outcome::Answered(answer) => std::str::from_utf8(&answer.body).unwrap(),
        other => panic!("no answer: {other:?}"),
    }
}

fn reason(outcome: &Outcome) -> Reason {
    match outcome {
        Outcome::NotRun(refusal) => refusal.reason(),
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against a second run of a retry, which gets the kept answer.
#[tokio::test]
async fn gives_a_retry_the_kept_answer() {
    let rig = Rig::start().await;
    rig.upstream.release(2);
    let first = rig.serve(keyed("/a", "k"), b"x").await;
    let second = rig.serve(keyed("/a", "k"), b"x").await;
    assert_eq!((body(&first), body(&second)), ("ran /a", "ran /a"));
    assert_eq!(rig.upstream.runs("/a"), 1);
}

/// Guards against a second run of a retry that comes while the first copy runs.
#[tokio::test]
async fn lets_a_retry_join_the_running_request() {
    let mut rig = Rig::start().await;
    let first = rig.spawn(keyed("/a", "k"), b"x");
    rig.upstream.capsule().await;
    let second = rig.spawn(keyed("/a", "k"), b"x");
    rig.upstream.release(2);
    let (first, second) = (first.await.unwrap(), second.await.unwrap());
    assert_eq!((body(&first), body(&second)), ("ran /a", "ran /a"));
    assert_eq!(rig.upstream.runs("/a"), 1);
}

/// Guards against an answer to another request that uses the same key.
#[tokio::test]
async fn refuses_a_key_with_another_body_or_path() {
    let rig = Rig::start().await;
    rig.upstream.release(3);
    rig.serve(keyed("/a", "k"), b"x").await;
    assert_eq!(reason(&rig.serve(keyed("/a", "k"), b"y").await), Reason::Conflict);
    assert_eq!(reason(&rig.serve(keyed("/b", "k"), b"x").await), Reason::Conflict);
}

/// Guards against a late copy that runs after its caller was told that the request did not.
#[tokio::test]
async fn refuses_every_copy_of_a_refused_request() {
    let mut rig = Rig::start().await;
    let running = rig.spawn(plain("/long"), b"");
    rig.upstream.capsule().await;
    assert_eq!(reason(&rig.serve(keyed("/a", "k"), b"x").await), Reason::Overload);
    rig.upstream.release(2);
    running.await.unwrap();
    assert_eq!(reason(&rig.serve(keyed("/a", "k"), b"x").await), Reason::Tombstone);
    assert_eq!(rig.upstream.runs("/a"), 0);
}

/// Guards against a refused connection that is reported as unknown, or worse as answered.
#[tokio::test]
async fn reports_not_run_when_no_connection_comes_about() {
    let rig = Rig::start_unreachable().await;
    assert_eq!(reason(&rig.serve(plain("/a"), b"").await), Reason::Leaving);
}

/// Guards against a free slot of a sibling that stays unused.
#[tokio::test]
async fn hands_a_request_over_to_a_sibling_with_a_free_slot() {
    let mut rig = Rig::start().await;
    let sibling = Rig::start().await;
    rig.siblings.replace(&[sibling.hop]);
    let running = rig.spawn(plain("/long"), b"");
    rig.upstream.capsule().await;
    sibling.upstream.release(1);
    let answer = rig.serve(keyed("/a", "k"), b"x").await;
    assert_eq!(body(&answer), "ran /a");
    assert_eq!((rig.upstream.runs("/a"), sibling.upstream.runs("/a")), (0, 1));
    rig.upstream.release(1);
    running.await.unwrap();
}

async fn lose_reply(request: Request, next: Next) -> Result<Response, StatusCode> {
    let is_offer = request.uri().path() == yuccacroft_wire::handoff::OFFER_PATH;
    let response = next.run(request).await;
    if is_offer { Err(StatusCode::BAD_GATEWAY) } else { Ok(response) }
}

/// Guards against a second run after the reply to an offer was lost: the fence brings the answer.
#[tokio::test]
async fn settles_a_lost_reply_by_a_fence() {
    let mut rig = Rig::start().await;
    let sibling = Rig::start_behind(|router| router.layer(middleware::from_fn(lose_reply))).await;
    rig.siblings.replace(&[sibling.hop]);
    let running = rig.spawn(plain("/long"), b"");
    rig.upstream.capsule().await;
    sibling.upstream.release(1);
    let answer = rig.serve(plain("/a"), b"x").await;
    assert_eq!(body(&answer), "ran /a");
    assert_eq!((rig.upstream.runs("/a"), sibling.upstream.runs("/a")), (0, 1));
    rig.upstream.release(1);
    running.await.unwrap();
}

async fn lose_offer(request: Request, next: Next) -> Result<Response, StatusCode> {
    if request.uri().path() == yuccacroft_wire::handoff::OFFER_PATH {
        return Err(StatusCode::BAD_GATEWAY);
    }
    Ok(next.run(request).await)
}

/// Guards against `unknown` for an offer that never arrived: the fence proves that it did not run.
#[tokio::test]
async fn takes_back_an_offer_that_never_arrived() {
    let mut rig = Rig::start().await;
    let sibling = Rig::start_behind(|router| router.layer(middleware::from_fn(lose_offer))).await;
    rig.siblings.replace(&[sibling.hop]);
    let running = rig.spawn(plain("/long"), b"");
    rig.upstream.capsule().await;
    assert_eq!(reason(&rig.serve(plain("/a"), b"x").await), Reason::Overload);
    assert_eq!((rig.upstream.runs("/a"), sibling.upstream.runs("/a")), (0, 0));
    rig.upstream.release(1);
    running.await.unwrap();
}

/// Guards against an offer for an earlier life of a sibling that runs at the present one.
#[tokio::test]
async fn runs_no_offer_for_an_earlier_life() {
    let mut rig = Rig::start().await;
    let sibling = Rig::start().await;
    let earlier = Hop { incarnation: Incarnation::new(6), ..sibling.hop };
    rig.siblings.replace(&[earlier]);
    let running = rig.spawn(plain("/long"), b"");
    rig.upstream.capsule().await;
    let outcome = rig.serve(plain("/a"), b"x").await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    assert_eq!(sibling.upstream.runs("/a"), 0);
    rig.upstream.release(1);
    running.await.unwrap();
}

/// Guards against a second run of a retry that reaches another agent than the first attempt.
#[tokio::test]
async fn relays_a_retry_to_the_owner_of_its_key() {
    let (owner, other) = (Rig::start().await, Rig::start().await);
    owner.upstream.release(1);
    let parts = keyed("/a", "k");
    owner.serve(parts.clone(), b"x").await;
    let retry = owned(parts.clone(), owner.owner(&parts));
    let answer = other.serve(retry.clone(), b"x").await;
    assert_eq!(body(&answer), "ran /a");
    assert_eq!((owner.upstream.runs("/a"), other.upstream.runs("/a")), (1, 0));
    // The next retry has to find the same owner.
    assert_eq!(other.owner(&retry), owner.owner(&parts));
}

/// Guards against a second run of a retry after its owner was restarted.
#[tokio::test]
async fn answers_unknown_for_keys_of_an_earlier_life() {
    let rig = Rig::start().await;
    let earlier = Hop { incarnation: Incarnation::new(6), ..rig.hop };
    let codec = OwnerCodec::new(&Secret::new([1; 32]), earlier);
    let retry = owned(keyed("/a", "k"), codec.encode(rig.service.clock().now()));
    let outcome = rig.serve(retry, b"x").await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    assert_eq!(rig.upstream.runs("/a"), 0);
}

/// Guards against an owner header that a caller can read, forge or carry to another service.
#[test]
fn refuses_an_owner_of_another_service() {
    let address = "127.0.0.1:9".parse().unwrap();
    let hop = Hop {
        instance: yuccacroft_core::ids::Instance::new(address),
        incarnation: Incarnation::new(6),
    };
    let (own, foreign) = (Secret::new([1; 32]), Secret::new([3; 32]));
    let value = OwnerCodec::new(&foreign, hop).encode(Default::default());
    let parts = owned(keyed("/a", "k"), value);
    assert_eq!(OwnerCodec::new(&own, hop).decode(&parts.headers), NamedOwner::Invalid);
}

/// Guards against a deadline that grows or is lost on its way to the upstream.
#[tokio::test]
async fn tells_the_upstream_the_time_that_is_left() {
    let mut rig = Rig::start().await;
    rig.upstream.release(1);
    let mut parts = plain("/a");
    parts.headers.insert("yuccacroft-deadline", "3 s".parse().unwrap());
    rig.serve(parts, b"").await;
    let seen = rig.upstream.capsule().await;
    let left: Span = seen.headers["yuccacroft-deadline"].to_str().unwrap().parse().unwrap();
    assert!(left > Span::ZERO && left <= Span::from_secs(3), "{left}");
}

/// Guards against work that goes on at the upstream after its caller has gone.
#[tokio::test]
async fn cancels_at_the_upstream_what_its_caller_cancels() {
    let mut rig = Rig::start().await;
    let request = rig.spawn(plain("/a"), b"");
    rig.upstream.capsule().await;
    request.abort();
    assert_eq!(&*rig.upstream.cancellation().await, "/a");
}

/// Guards against work that goes on at a sibling after its caller has gone.
#[tokio::test]
async fn cancels_at_the_sibling_what_its_caller_cancels() {
    let mut rig = Rig::start().await;
    let mut sibling = Rig::start().await;
    rig.siblings.replace(&[sibling.hop]);
    let running = rig.spawn(plain("/long"), b"");
    rig.upstream.capsule().await;
    let request = rig.spawn(plain("/a"), b"");
    sibling.upstream.capsule().await;
    request.abort();
    assert_eq!(&*sibling.upstream.cancellation().await, "/a");
    rig.upstream.release(1);
    running.await.unwrap();
}

/// Guards against a slot that is lost when its caller cancels.
#[tokio::test]
async fn gives_the_slot_of_a_cancelled_request_back() {
    let mut rig = Rig::start().await;
    let request = rig.spawn(plain("/a"), b"");
    rig.upstream.capsule().await;
    request.abort();
    rig.upstream.cancellation().await;
    let next = rig.spawn(plain("/b"), b"");
    rig.upstream.capsule().await;
    rig.upstream.release(1);
    assert_eq!(body(&next.await.unwrap()), "ran /b");
}

/// Guards against seat boards that take all slots for hours, and later ones that take a slot at
/// all.
#[tokio::test]
async fn counts_a_feed_as_a_connection_and_not_as_work() {
    let rig = Rig::start().await;
    rig.upstream.release(2);
    let mut first = open(&rig, FEED).await;
    assert_eq!(first.next_chunk().await.unwrap().unwrap(), "line");
    let silent = tokio::time::timeout(Duration::from_millis(600), first.next_chunk()).await;
    assert!(silent.is_err());
    assert_eq!(body(&rig.serve(plain("/a"), b"").await), "ran /a");
    let _second = open(&rig, FEED).await;
    assert_eq!(body(&rig.serve(plain("/b"), b"").await), "ran /b");
}
