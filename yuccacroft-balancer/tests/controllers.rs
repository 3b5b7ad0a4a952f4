//! The controllers with real messages between balancers and a fake store that fails and loses
//! answers.

use {
    axum::{Router, http::StatusCode, routing::post},
    metrics_exporter_prometheus::PrometheusBuilder,
    slog::{Discard, Logger, o},
    std::{
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::JoinSet},
    yuccacroft_balancer::{
        controllers::{ANNOUNCE_PATH, Controllers, Mesh, Setup, Submission},
        service::ServiceTable,
    },
    yuccacroft_core::{
        contract::{Checked, Contract, writer::WriteOutcome},
        ids::{ChangeId, Customer, Incarnation, Instance, Revision},
        key::Secret,
        member::{MemberEntry, MemberPhase},
        units::Weight,
    },
    yuccacroft_fakes::store::{CallKind, Store},
    yuccacroft_rpc::{client::Client, clock::Clock},
    yuccacroft_store::etcd::EtcdClient,
    yuccacroft_wire::{
        exchange::REPORTS_PATH,
        message::{Announce, AnnounceReply},
    },
};

/// The bound of `docs/design.md`, section 1.2, at the current sizes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const MESH_KEY: [u8; 32] = [9; 32];

/// A balancer without the packet path.
struct Balancer {
    controllers: Arc<Controllers>,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Balancer {
    async fn start(domain: &str, store: &Store, peers: &[SocketAddr], key: [u8; 32]) -> Self {
        Self::start_with_routes(domain, store, peers, key, |routes| routes).await
    }

    /// Starts a balancer whose routes are changed by `change`.
    async fn start_with_routes(
        domain: &str,
        store: &Store,
        peers: &[SocketAddr],
        key: [u8; 32],
        change: impl FnOnce(Router) -> Router,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mesh = Some(Mesh { key: Secret::new(key), peers: peers.into() });
        let setup = Setup { control: address, domain: domain.parse().unwrap(), mesh };
        let log = Logger::root(Discard, o!());
        let services = Arc::new(ServiceTable::new());
        let controllers = Arc::new(Controllers::new(setup, services, Clock::new(), log));
        let mut tasks = JoinSet::new();
        let router = change(controllers.router());
        tasks.spawn(async move {
            // The server runs until the test ends.
            let _ = axum::serve(listener, router).await;
        });
        let (timers, updates, watcher) =
            (controllers.clone(), controllers.clone(), controllers.clone());
        let store_client = store_client(store);
        tasks.spawn(async move { timers.run_timers().await });
        tasks.spawn(async move { updates.run_table_updates().await });
        tasks.spawn(async move { watcher.watch_contracts(&store_client).await });
        Self { controllers, address, tasks }
    }

    fn revision(&self) -> Option<Revision> {
        self.controllers.contract(&customer()).map(|contract| contract.revision())
    }
}

async fn start() -> (Store, Vec<Balancer>) {
    let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let mut balancers: Vec<Balancer> = Vec::new();
    for domain in ["gent", "leuven", "brugge"] {
        let peers: Vec<_> = balancers.iter().map(|balancer| balancer.address).collect();
        balancers.push(Balancer::start(domain, &store, &peers, MESH_KEY).await);
    }
    let is_mesh_complete =
        || balancers.iter().all(|balancer| balancer.controllers.peers().len() == 3);
    wait_until("balancers know each other", START_TIMEOUT, is_mesh_complete).await;
    (store, balancers)
}

/// Waits until a condition holds and fails after `within`.
async fn wait_until(condition_name: &str, within: Duration, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < within, "not within {within:?}: {condition_name}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn store_client(store: &Store) -> EtcdClient {
    EtcdClient::new(store.address(), Duration::from_secs(1))
}

fn customer() -> Customer {
    "kampvuur".parse().unwrap()
}

fn contract() -> Contract<Checked> {
    let key = Secret::new([7; 32]);
    let text = format!(
        "[customer]\nname = kampvuur\nkey = {key}\ncapacity = 40\n\n[service booking]\n\
         addresses = 127.0.0.1:4433\nslots = 4\nconnections = 10\nupstreams_max = 7\nshare = 8\n"
    );
    Contract::parse("test", &text).unwrap().check("test").unwrap()
}

fn submission(base: Option<u64>, change: u128) -> Submission {
    let base = base.map(Revision::new);
    Submission { contract: contract(), base, change: ChangeId::new(change), force: false }
}

async fn accept(balancer: &Balancer, store: &Store, change: u128) -> Revision {
    match balancer.controllers.submit(&store_client(store), submission(None, change)).await {
        WriteOutcome::Accepted { revision, .. } => revision,
        other => panic!("{other:?}"),
    }
}

/// Guards against a change that stays on the balancer that accepted it, and against a change
/// written to the store by another process that no balancer applies.
#[tokio::test]
async fn change_comes_into_force_on_all_balancers() {
    let (store, balancers) = start().await;
    let revision = accept(&balancers[1], &store, 1).await;
    let is_everywhere = |revision| balancers.iter().all(|b| b.revision() == Some(revision));
    wait_until("the first change", IN_FORCE_TIMEOUT, || is_everywhere(revision)).await;
    let unconnected = Balancer::start("gent", &store, &[], [1; 32]).await;
    let revision = accept(&unconnected, &store, 2).await;
    wait_until("the change from the watch", IN_FORCE_TIMEOUT, || is_everywhere(revision)).await;
    // An idle watch counts as one call, and a change causes no further one.
    assert!(store.calls_of(CallKind::Watch) <= 8, "{}", store.calls_of(CallKind::Watch));
}

/// Guards against a balancer that gets no contracts when it starts during an outage of the store
/// while another one leaves, and against a store that is not used again after the outage.
#[tokio::test]
async fn balancer_started_in_an_outage_gets_contracts_from_peers() {
    let (store, mut balancers) = start().await;
    let revision = accept(&balancers[0], &store, 1).await;
    let all_have = |balancers: &[Balancer], revision| {
        balancers.iter().all(|balancer| balancer.revision() == Some(revision))
    };
    wait_until("the change", IN_FORCE_TIMEOUT, || all_have(&balancers, revision)).await;
    store.set_down(true);
    let mut leaving = balancers.remove(0);
    leaving.controllers.leave().await;
    leaving.tasks.shutdown().await;
    let peers: Vec<_> = balancers.iter().map(|balancer| balancer.address).collect();
    balancers.push(Balancer::start("gent", &store, &peers, MESH_KEY).await);
    wait_until("the contract of the peers", IN_FORCE_TIMEOUT, || all_have(&balancers, revision))
        .await;
    let outcome = balancers[2].controllers.submit(&store_client(&store), submission(None, 2)).await;
    assert_eq!(outcome, WriteOutcome::Unavailable);
    store.set_down(false);
    let revision = accept(&balancers[2], &store, 3).await;
    wait_until("the change after the outage", IN_FORCE_TIMEOUT, || all_have(&balancers, revision))
        .await;
    let is_removed = |balancer: &Balancer| balancer.controllers.peers().len() == 3;
    wait_until("the departed balancer", START_TIMEOUT, || balancers.iter().all(is_removed)).await;
}

/// Guards against two accepted changes with the same base when the store's answers are lost:
/// exactly one is accepted, and the other operator gets the accepted one.
#[tokio::test]
async fn only_one_of_two_changes_is_accepted_when_answers_are_lost() {
    let (store, balancers) = start().await;
    let base = accept(&balancers[0], &store, 1).await;
    store.lose_next_answers(2);
    let (first_client, second_client) = (store_client(&store), store_client(&store));
    let (first, second) = tokio::join!(
        balancers[0].controllers.submit(&first_client, submission(Some(base.get()), 2)),
        balancers[1].controllers.submit(&second_client, submission(Some(base.get()), 3)),
    );
    let is_accepted = |outcome: &WriteOutcome| matches!(outcome, WriteOutcome::Accepted { .. });
    assert!(is_accepted(&first) != is_accepted(&second), "{first:?} {second:?}");
    let (accepted_change, rejected) = if is_accepted(&first) { (2, second) } else { (3, first) };
    let WriteOutcome::Conflict(Some(current)) = rejected else { panic!("{rejected:?}") };
    assert_eq!(current.origin.id, ChangeId::new(accepted_change));
    let is_in_force =
        |balancer: &Balancer| balancer.revision() == Some(current.contract.revision());
    wait_until("the accepted change", IN_FORCE_TIMEOUT, || balancers.iter().all(is_in_force)).await;
}

/// Guards against a process without the mesh key that takes part. The same process with the key
/// gets the contract, which shows that the key excludes it.
#[tokio::test]
async fn process_without_the_mesh_key_gets_no_contract() {
    let (store, balancers) = start().await;
    let revision = accept(&balancers[0], &store, 1).await;
    store.set_down(true);
    let peers: Vec<_> = balancers.iter().map(|balancer| balancer.address).collect();
    let without_key = Balancer::start("gent", &store, &peers, [1; 32]).await;
    let with_key = Balancer::start("gent", &store, &peers, MESH_KEY).await;
    wait_until("the contract", IN_FORCE_TIMEOUT, || with_key.revision() == Some(revision)).await;
    assert_eq!(without_key.revision(), None);
    assert!(balancers.iter().all(|b| b.controllers.peers().len() <= 4));
}

/// Guards against an agent that announces an earlier incarnation and does not learn of the later
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn earlier_incarnation_is_told_the_later_one() {
    let (store, balancers) = start().await;
    accept(&balancers[0], &store, 1).await;
    let is_contract_in_force = || balancers[0].revision().is_some();
    wait_until("the contract is in force", IN_FORCE_TIMEOUT, is_contract_in_force).await;
    assert_eq!(announce(&balancers[0], 2_000).await.later, None);
    let answer = announce(&balancers[0], 1_000).await;
    assert_eq!(answer.later, Some(Incarnation::new(2_000)));
    assert_eq!(announce(&balancers[0], 2_001).await.later, None);
}

/// Guards against reports that are lost without a trace: the metric of failed calls between
/// balancers must count them like all others.
#[tokio::test]
async fn failed_reports_are_counted() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let first = Balancer::start("gent", &store, &[], MESH_KEY).await;
    let refusals = Arc::new(AtomicUsize::new(0));
    let counted = refusals.clone();
    let refuse_reports = |routes: Router| {
        let refuse = move || async move {
            counted.fetch_add(1, Ordering::Relaxed);
            StatusCode::SERVICE_UNAVAILABLE
        };
        Router::new().route(REPORTS_PATH, post(refuse)).fallback_service(routes)
    };
    let peers = [first.address];
    let second =
        Balancer::start_with_routes("leuven", &store, &peers, MESH_KEY, refuse_reports).await;
    let is_mesh_complete =
        || [&first, &second].iter().all(|balancer| balancer.controllers.peers().len() == 2);
    wait_until("balancers know each other", START_TIMEOUT, is_mesh_complete).await;
    accept(&first, &store, 1).await;
    // The members of a large failure domain announce themselves once and are then silent.
    for port in 9_000..9_008 {
        let instance = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        announce_entry(
            &first,
            MemberEntry { instance: Instance::new(instance), ..entry("brugge", 1) },
        )
        .await;
    }
    let is_refused = || refusals.load(Ordering::Relaxed) > 0;
    wait_until("the report about silent members", START_TIMEOUT, is_refused).await;
    let is_counted = || {
        let metrics = recorder.handle().render();
        let mut lines = metrics.lines();
        lines.any(|line| line.starts_with("yuccacroft_mesh_failures_total "))
    };
    wait_until("the failure of the report in the metric", IN_FORCE_TIMEOUT, is_counted).await;
}

async fn announce(balancer: &Balancer, incarnation: u64) -> AnnounceReply {
    announce_entry(balancer, entry("gent", incarnation)).await
}

async fn announce_entry(balancer: &Balancer, entry: MemberEntry) -> AnnounceReply {
    let message = Announce { entry, revision: Revision::default(), siblings: 0, balancers: 0 };
    let client = Client::new(IN_FORCE_TIMEOUT);
    let key = Secret::new([7; 32]);
    client.call(balancer.address, ANNOUNCE_PATH, &key, &message).await.unwrap()
}

fn entry(domain: &str, incarnation: u64) -> MemberEntry {
    MemberEntry {
        customer: customer(),
        service: "booking".parse().unwrap(),
        instance: "127.0.0.1:9000".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        version: 0,
        domain: domain.parse().unwrap(),
        weight: Weight::new(100),
        phase: MemberPhase::Draining,
    }
}
