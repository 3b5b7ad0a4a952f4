//! Changes of contracts with a store that reports conflicts, fails and loses answers.

use {
    axum::{Json, Router, http::StatusCode, routing::post},
    serde_json::json,
    slog::{Discard, Logger, o},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    yuccacroft_balancer::{
        admin::editor::Editor,
        controllers::{CONTRACT_KEY_PREFIX, Controllers, Setup},
        service::ServiceTable,
    },
    yuccacroft_core::{
        contract::change::StoredContract,
        ids::{ChangeId, Customer, Revision},
        key::Secret,
    },
    yuccacroft_fakes::store::Store,
    yuccacroft_rpc::clock::Clock,
    yuccacroft_store::{
        etcd::EtcdClient,
        store::{Store as _, WriteResult},
    },
    yuccacroft_wire::admin::{ProblemKind, PutContract, Source},
};

const FIRST: ChangeId = ChangeId::new(1);
const SECOND: ChangeId = ChangeId::new(2);

fn customer() -> Customer {
    "kampvuur".parse().unwrap()
}

fn contract_text(name: &str, port: u16, services: &[&str]) -> Box<str> {
    let key = Secret::new([7; 32]);
    let mut text = format!("[customer]\nname = {name}\nkey = {key}\ncapacity = 40\n");
    for (service, port) in services.iter().zip(port..) {
        text.push_str(&format!(
            "[service {service}]\naddresses = 127.0.0.1:{port}\nslots = 4\nconnections = 10\n\
             upstreams_max = 7\nshare = 8\n"
        ));
    }
    text.into()
}

fn put(base: u64, services: &[&str]) -> PutContract {
    let contract = contract_text("kampvuur", 4433, services);
    PutContract { base: Some(Revision::new(base)), change: None, force: false, contract }
}

fn editor(address: SocketAddr) -> Editor<EtcdClient> {
    let log = Logger::root(Discard, o!());
    let control = "127.0.0.1:1".parse().unwrap();
    let setup = Setup { control, domain: "gent".parse().unwrap(), mesh: None };
    let controllers = Controllers::new(setup, Arc::new(ServiceTable::new()), Clock::new(), log);
    let controllers = Arc::new(controllers);
    Editor::new(EtcdClient::new(address, Duration::from_secs(2)), controllers)
}

async fn store() -> (Store, Editor<EtcdClient>) {
    let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let editor = editor(store.address());
    (store, editor)
}

/// Guards against two accepted changes with the same base.
#[tokio::test]
async fn only_the_first_of_two_changes_is_accepted() {
    let (_store, editor) = store().await;
    let first = editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    assert_eq!((first.change, first.in_force), (FIRST, first.revision));
    let second = editor.write(&customer(), &put(0, &["booking", "pack"]), SECOND).await;
    let problem = second.unwrap_err().0;
    assert_eq!(problem.error, ProblemKind::Conflict);
    let present = problem.present.unwrap();
    assert_eq!((present.revision, present.change), (first.revision, FIRST));
    assert_eq!(editor.read(&customer()).await.unwrap(), first);
}

/// Guards against a change that does not name the revision that it replaces.
#[tokio::test]
async fn a_change_without_base_is_refused() {
    let (_store, editor) = store().await;
    let put = PutContract { base: None, ..put(0, &["booking"]) };
    let problem = editor.write(&customer(), &put, FIRST).await.unwrap_err().0;
    assert_eq!(problem.error, ProblemKind::BaseMissing);
    assert_eq!(editor.read(&customer()).await.unwrap_err().0.error, ProblemKind::NotFound);
}

/// Guards against a write that took effect and is reported as failed or made twice.
#[tokio::test]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let (store, editor) = store().await;
    store.set_lose_answers(true);
    let accepted = editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    assert_eq!(accepted.change, FIRST);
    store.set_lose_answers(false);
    assert_eq!(editor.read(&customer()).await.unwrap(), accepted);
    let again = editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    assert_eq!(again, accepted);
}

/// Guards against a change that is reported as a conflict because a later change followed it.
#[tokio::test]
async fn a_change_that_was_replaced_counts_as_accepted() {
    let (_store, editor) = store().await;
    let first = editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    let next = put(first.revision.get(), &["booking", "pack"]);
    let second = editor.write(&customer(), &next, SECOND).await.unwrap();
    let repeated = editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    assert_eq!((repeated.change, repeated.revision), (SECOND, second.revision));
}

/// Guards against a change that is accepted while the store is down, and against a read that fails
/// although the contract in force is known.
#[tokio::test]
async fn an_outage_changes_nothing_and_shows_the_contract_in_force() {
    let (store, editor) = store().await;
    let first = editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    store.set_down(true);
    let next = put(first.revision.get(), &["booking", "pack"]);
    let problem = editor.write(&customer(), &next, SECOND).await.unwrap_err().0;
    assert_eq!(problem.error, ProblemKind::Unavailable);
    let read = editor.read(&customer()).await.unwrap();
    assert_eq!((read.revision, read.source), (first.revision, Source::Balancer));
}

/// Guards against reporting success or failure when the write was sent and the contract cannot be
/// read back.
#[tokio::test]
async fn a_write_that_cannot_be_read_back_is_unknown() {
    let empty_listing = async || Json(json!({"header": {"revision": "1"}}));
    let gateway_timeout = async || StatusCode::GATEWAY_TIMEOUT;
    let router = Router::new()
        .route("/v3/kv/range", post(empty_listing))
        .route("/v3/kv/txn", post(gateway_timeout));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    let problem = editor(address).write(&customer(), &put(0, &["booking"]), FIRST).await;
    let problem = problem.unwrap_err().0;
    assert_eq!(problem.error, ProblemKind::Unknown);
    assert!(problem.detail.contains(&FIRST.to_string()));
}

/// Guards against the accidental removal of a service that may have open flows.
#[tokio::test]
async fn a_service_is_removed_only_by_force() {
    let (_store, editor) = store().await;
    let first = editor.write(&customer(), &put(0, &["booking", "pack"]), FIRST).await.unwrap();
    let removal = put(first.revision.get(), &["booking"]);
    let problem = editor.write(&customer(), &removal, SECOND).await.unwrap_err().0;
    assert_eq!(problem.error, ProblemKind::RemovesService);
    assert_eq!(editor.read(&customer()).await.unwrap(), first);
    let forced = PutContract { force: true, ..removal };
    assert_eq!(editor.write(&customer(), &forced, SECOND).await.unwrap().change, SECOND);
}

/// Guards against packets of one customer that reach another: the destination address alone
/// determines the customer.
#[tokio::test]
async fn an_address_of_another_customer_is_refused() {
    let (_store, editor) = store().await;
    editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    let contract = contract_text("snow", 4433, &["depth"]);
    let other =
        PutContract { base: Some(Revision::default()), change: None, force: false, contract };
    let snow = "snow".parse().unwrap();
    let problem = editor.write(&snow, &other, SECOND).await.unwrap_err().0;
    assert_eq!(problem.error, ProblemKind::Invalid);
    assert!(problem.detail.contains("[service depth] addresses"), "{}", problem.detail);
}

/// Guards against a contract that is stored under another customer's name, and against faults that
/// are reported one at a time.
#[tokio::test]
async fn faults_are_listed_together_and_nothing_is_written() {
    let (_store, editor) = store().await;
    let contract = "[customer]\nname = kampvuur\nkey = 12\ncapacity = many\ncolour = red\n".into();
    let faulty = PutContract { contract, ..put(0, &[]) };
    let problem = editor.write(&customer(), &faulty, FIRST).await.unwrap_err().0;
    assert_eq!(problem.error, ProblemKind::Invalid);
    for key in ["key", "capacity", "colour"] {
        assert!(problem.detail.contains(&format!("[customer] {key}: ")), "{}", problem.detail);
    }
    let snow = "snow".parse().unwrap();
    let problem = editor.write(&snow, &put(0, &["booking"]), FIRST).await.unwrap_err().0;
    assert!(problem.detail.contains("expected snow"), "{}", problem.detail);
}

/// Guards against a stored value that other readers cannot parse.
#[tokio::test]
async fn the_stored_value_is_a_contract_text_with_its_changes() {
    let (store, editor) = store().await;
    editor.write(&customer(), &put(0, &["booking"]), FIRST).await.unwrap();
    let client = EtcdClient::new(store.address(), Duration::from_secs(2));
    let item = client.get(&format!("{CONTRACT_KEY_PREFIX}kampvuur")).await.unwrap().unwrap();
    let stored = StoredContract::parse(&item.key, &item.value, item.revision).unwrap();
    assert_eq!((stored.origin.id, stored.origin.base), (FIRST, Revision::default()));
    let base = item.revision;
    let outcome = client.put(&item.key, &item.value, base).await.unwrap();
    assert!(matches!(outcome, WriteResult::Accepted(revision) if revision > base));
}
