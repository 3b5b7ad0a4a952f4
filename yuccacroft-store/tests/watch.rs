//! The client of the store against the stand-in with its faults.

use {
    std::time::Duration,
    yuccacroft_core::{
        ids::Revision,
        lease::Lease,
        time::{Moment, Span},
    },
    yuccacroft_fakes::store::{CallKind, Store as Fake},
    yuccacroft_store::{
        errors::Error,
        etcd::Gateway,
        store::{Notice, Outcome, Store, Watch},
    },
};

const PREFIX: &str = "/contracts/";
const TERM: Span = Span::from_secs(60);

async fn start() -> (Fake, Gateway) {
    let fake = Fake::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let gateway = Gateway::new(fake.address(), Duration::from_secs(2));
    (fake, gateway)
}

async fn put(gateway: &Gateway, key: &str, value: &str, base: u64) -> Revision {
    match gateway.put(key, value, Revision::new(base)).await.unwrap() {
        Outcome::Accepted(revision) => revision,
        other => panic!("{other:?}"),
    }
}

async fn changes(watch: &mut Watch) -> Vec<(String, String, u64)> {
    match watch.next().await.unwrap().unwrap() {
        Notice::Changed(listing) => {
            let items = listing.items.iter();
            items.map(|i| (i.key.to_string(), i.value.to_string(), i.revision.get())).collect()
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against changes that fall between a listing and the watch that follows it, and against
/// a watch that counts as more than one call.
#[tokio::test]
async fn watch_tells_everything_from_its_revision_on() {
    let (fake, gateway) = start().await;
    put(&gateway, "/contracts/a", "1", 0).await;
    let listed = gateway.list(PREFIX).await.unwrap().revision;
    put(&gateway, "/contracts/b", "2", 0).await;
    put(&gateway, "/other", "3", 0).await;
    let mut watch = gateway.watch(PREFIX, Revision::new(listed.get() + 1)).await.unwrap();
    assert_eq!(changes(&mut watch).await, [("/contracts/b".into(), "2".into(), 2)]);
    put(&gateway, "/contracts/a", "4", 1).await;
    assert_eq!(changes(&mut watch).await, [("/contracts/a".into(), "4".into(), 4)]);
    assert_eq!(fake.calls_of(CallKind::Watch), 1);
}

/// Guards against a reader that waits on a watch whose history is gone.
#[tokio::test]
async fn compacted_history_is_told_and_ends_the_watch() {
    let (fake, gateway) = start().await;
    put(&gateway, "/contracts/a", "1", 0).await;
    put(&gateway, "/contracts/a", "2", 1).await;
    fake.compact();
    let mut watch = gateway.watch(PREFIX, Revision::new(1)).await.unwrap();
    let notice = watch.next().await.unwrap().unwrap();
    assert_eq!(notice, Notice::Compacted(Revision::new(2)));
    assert!(watch.next().await.is_none());
}

/// Guards against a reader that does not notice an outage while it waits.
#[tokio::test]
async fn outage_ends_a_waiting_watch() {
    let (fake, gateway) = start().await;
    let mut watch = gateway.watch(PREFIX, Revision::new(1)).await.unwrap();
    fake.set_down(true);
    assert!(!matches!(watch.next().await, Some(Ok(_))));
    let refused = gateway.watch(PREFIX, Revision::new(1)).await;
    assert!(matches!(refused, Err(Error::Unreachable(_))));
}

/// Guards against a lost answer that is taken for a failure: the write took effect.
#[tokio::test]
async fn lost_answer_is_uncertain_and_the_write_is_there() {
    let (fake, gateway) = start().await;
    fake.lose_next_answers(1);
    let outcome = gateway.put("/contracts/a", "1", Revision::default()).await;
    assert!(matches!(outcome, Err(Error::Uncertain(_))));
    assert_eq!(&*gateway.get("/contracts/a").await.unwrap().unwrap().value, "1");
    assert_eq!(fake.calls_of(CallKind::Transaction), 1);
}

/// Guards against a slow store that is taken for one that refused the write.
#[tokio::test]
async fn slow_answer_is_uncertain() {
    let (fake, _) = start().await;
    let hasty = Gateway::new(fake.address(), Duration::from_millis(20));
    fake.set_delay(Duration::from_secs(60));
    let outcome = hasty.put("/contracts/a", "1", Revision::default()).await;
    assert!(matches!(outcome, Err(Error::Uncertain(_))));
}

/// Guards against an act of a holder that was paused between its check and the act: the store
/// refuses it. A plain write, which does not name the lease, takes effect.
#[tokio::test]
async fn act_under_an_ended_lease_is_refused() {
    let (fake, gateway) = start().await;
    let asked = Moment::default();
    let id = gateway.grant(TERM).await.unwrap();
    gateway.claim("/holder", "one", id).await.unwrap();
    let lease = Lease::new(id, asked, TERM);
    let (lease, permit) = lease.check(asked).unwrap();
    let acted = gateway.put_held("/work", "1", "/holder", permit).await.unwrap();
    assert!(matches!(acted, Outcome::Accepted(_)));

    let (_, permit) = lease.check(asked).unwrap();
    fake.expire_lease(id.get());
    let next = gateway.grant(TERM).await.unwrap();
    gateway.claim("/holder", "two", next).await.unwrap();
    let acted = gateway.put_held("/work", "2", "/holder", permit).await.unwrap();
    assert!(matches!(acted, Outcome::Conflict(Some(item)) if &*item.value == "two"));
    let work = gateway.get("/work").await.unwrap().unwrap();
    assert_eq!(&*work.value, "1");
    put(&gateway, "/work", "2", work.revision.get()).await;
}

/// Guards against a renewal that seems to hold although the lease has ended, and a key that
/// outlives its lease.
#[tokio::test]
async fn ended_lease_cannot_be_renewed_and_takes_its_keys() {
    let (_fake, gateway) = start().await;
    let id = gateway.grant(TERM).await.unwrap();
    assert!(gateway.renew(id).await.unwrap());
    gateway.claim("/holder", "one", id).await.unwrap();
    let second = gateway.claim("/holder", "two", id).await.unwrap();
    assert!(matches!(second, Outcome::Conflict(Some(_))));
    gateway.revoke(id).await.unwrap();
    assert!(!gateway.renew(id).await.unwrap());
    assert_eq!(gateway.get("/holder").await.unwrap(), None);
}
