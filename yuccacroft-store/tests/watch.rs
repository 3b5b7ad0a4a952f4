//! Tests of the etcd client against the fake store, which loses answers, fails and stalls.

use {
    axum::{Router, http::StatusCode},
    std::time::Duration,
    tokio::net::TcpListener,
    yuccacroft_core::{
        ids::Revision,
        lease::Lease,
        time::{Moment, Span},
    },
    yuccacroft_fakes::store::{CallKind, Store as Fake},
    yuccacroft_store::{
        errors::Error,
        etcd::EtcdClient,
        store::{Store, Watch, WatchEvent, WriteResult},
    },
};

const PREFIX: &str = "/contracts/";
const TERM: Span = Span::from_secs(60);

async fn start() -> (Fake, EtcdClient) {
    let fake = Fake::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let client = EtcdClient::new(fake.address(), Duration::from_secs(2));
    (fake, client)
}

async fn put(client: &EtcdClient, key: &str, value: &str, base: u64) -> Revision {
    match client.put(key, value, Revision::new(base)).await.unwrap() {
        WriteResult::Accepted(revision) => revision,
        other => panic!("{other:?}"),
    }
}

async fn next_changes(watch: &mut Watch) -> Vec<(String, String, u64)> {
    match watch.next().await.unwrap().unwrap() {
        WatchEvent::Changed(changes) => {
            let items = changes.items.iter();
            items.map(|i| (i.key.to_string(), i.value.to_string(), i.revision.get())).collect()
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against changes that are missed between a listing and the watch after it, and against a
/// watch that costs more than one call.
#[tokio::test]
async fn watch_delivers_all_changes_since_its_revision() {
    let (fake, client) = start().await;
    put(&client, "/contracts/a", "1", 0).await;
    let listing_revision = client.list(PREFIX).await.unwrap().revision;
    put(&client, "/contracts/b", "2", 0).await;
    put(&client, "/other", "3", 0).await;
    let mut watch = client.watch(PREFIX, Revision::new(listing_revision.get() + 1)).await.unwrap();
    assert_eq!(next_changes(&mut watch).await, [("/contracts/b".into(), "2".into(), 2)]);
    put(&client, "/contracts/a", "4", 1).await;
    assert_eq!(next_changes(&mut watch).await, [("/contracts/a".into(), "4".into(), 4)]);
    assert_eq!(fake.calls_of(CallKind::Watch), 1);
}

/// Guards against a reader that keeps waiting on a watch whose history was compacted.
#[tokio::test]
async fn compaction_is_reported_and_ends_the_watch() {
    let (fake, client) = start().await;
    put(&client, "/contracts/a", "1", 0).await;
    put(&client, "/contracts/a", "2", 1).await;
    fake.compact();
    let mut watch = client.watch(PREFIX, Revision::new(1)).await.unwrap();
    let event = watch.next().await.unwrap().unwrap();
    assert_eq!(event, WatchEvent::Compacted(Revision::new(2)));
    assert!(watch.next().await.is_none());
}

/// Guards against a reader that does not detect an outage while its watch is idle.
#[tokio::test]
async fn outage_ends_an_idle_watch() {
    let (fake, client) = start().await;
    let mut watch = client.watch(PREFIX, Revision::new(1)).await.unwrap();
    fake.set_down(true);
    assert!(!matches!(watch.next().await, Some(Ok(_))));
    let result = client.watch(PREFIX, Revision::new(1)).await;
    assert!(matches!(result, Err(Error::Unreachable(_))));
}

/// Guards against a rejected watch that is taken for an outage of the store: a retry does not help.
/// A server error is an outage.
#[tokio::test]
async fn rejected_watch_is_not_reported_as_an_outage() {
    for status in [StatusCode::BAD_REQUEST, StatusCode::UNAUTHORIZED, StatusCode::NOT_FOUND] {
        let result = watch_answered_with(status).await;
        assert!(matches!(result, Err(Error::Protocol(_))), "{status}: {:?}", result.err());
    }
    for status in [StatusCode::INTERNAL_SERVER_ERROR, StatusCode::SERVICE_UNAVAILABLE] {
        let result = watch_answered_with(status).await;
        assert!(matches!(result, Err(Error::Unreachable(_))), "{status}: {:?}", result.err());
    }
}

/// Opens a watch at a server that answers every call with this status.
async fn watch_answered_with(status: StatusCode) -> Result<Watch, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = EtcdClient::new(listener.local_addr().unwrap(), Duration::from_secs(2));
    let routes = Router::new().fallback(async move || status);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    client.watch(PREFIX, Revision::new(1)).await
}

/// Guards against a lost answer that is reported as a failure although the write took effect.
#[tokio::test]
async fn lost_answer_is_uncertain_and_the_write_takes_effect() {
    let (fake, client) = start().await;
    fake.lose_next_answers(1);
    let outcome = client.put("/contracts/a", "1", Revision::default()).await;
    assert!(matches!(outcome, Err(Error::Uncertain(_))));
    assert_eq!(&*client.get("/contracts/a").await.unwrap().unwrap().value, "1");
    assert_eq!(fake.calls_of(CallKind::Transaction), 1);
}

/// Guards against a timeout that is reported as a rejected write.
#[tokio::test]
async fn timeout_is_uncertain() {
    let (fake, _) = start().await;
    let client = EtcdClient::new(fake.address(), Duration::from_millis(20));
    fake.set_delay(Duration::from_secs(60));
    let outcome = client.put("/contracts/a", "1", Revision::default()).await;
    assert!(matches!(outcome, Err(Error::Uncertain(_))));
}

/// Guards against a write by a holder that was paused between its check of the lease and the write:
/// the store rejects it. A plain write, which does not name the lease, takes effect.
#[tokio::test]
async fn write_under_an_ended_lease_is_rejected() {
    let (fake, client) = start().await;
    let now = Moment::default();
    let id = client.grant(TERM).await.unwrap();
    client.create_with_lease("/holder", "one", id).await.unwrap();
    let lease = Lease::new(id, now, TERM);
    let (lease, permit) = lease.check(now).unwrap();
    let outcome = client.put_if_lease_held("/work", "1", "/holder", permit).await.unwrap();
    assert!(matches!(outcome, WriteResult::Accepted(_)));

    let (_, permit) = lease.check(now).unwrap();
    fake.expire_lease(id.get());
    let next = client.grant(TERM).await.unwrap();
    client.create_with_lease("/holder", "two", next).await.unwrap();
    let outcome = client.put_if_lease_held("/work", "2", "/holder", permit).await.unwrap();
    assert!(matches!(outcome, WriteResult::Conflict(Some(item)) if &*item.value == "two"));
    let work = client.get("/work").await.unwrap().unwrap();
    assert_eq!(&*work.value, "1");
    put(&client, "/work", "2", work.revision.get()).await;
}

/// Guards against a renewal that succeeds although the lease has ended, and against a key that
/// outlives its lease.
#[tokio::test]
async fn ended_lease_cannot_be_renewed_and_its_keys_are_removed() {
    let (_fake, client) = start().await;
    let id = client.grant(TERM).await.unwrap();
    assert!(client.renew(id).await.unwrap());
    client.create_with_lease("/holder", "one", id).await.unwrap();
    let second = client.create_with_lease("/holder", "two", id).await.unwrap();
    assert!(matches!(second, WriteResult::Conflict(Some(_))));
    client.revoke(id).await.unwrap();
    assert!(!client.renew(id).await.unwrap());
    assert_eq!(client.get("/holder").await.unwrap(), None);
}
