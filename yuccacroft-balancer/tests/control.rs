//! The shell of the controllers: real messages between balancers, a stand-in store with faults.

use {
    slog::{Discard, Logger, o},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::JoinSet},
    yuccacroft_balancer::{
        control::{ANNOUNCE_PATH, Control, Mesh, Setup, Submission},
        service::Routes,
    },
    yuccacroft_core::{
        contract::{Checked, Contract, writer::WriteOutcome},
        ids::{ChangeId, Customer, Incarnation, Revision},
        key::Secret,
        member::{Entry, Phase},
        units::Weight,
    },
    yuccacroft_fakes::store::{CallKind, Store},
    yuccacroft_rpc::{client::Client, clock::Clock},
    yuccacroft_store::etcd::Gateway,
    yuccacroft_wire::message::{Announce, Welcome},
};

/// Bound of `docs/design.md`, section 1.2, at today's sizes.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
const START_WITHIN: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);
const MESH: [u8; 32] = [9; 32];

/// A balancer without its packet path.
struct Balancer {
    control: Arc<Control>,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl Balancer {
    async fn start(domain: &str, store: &Store, peers: &[SocketAddr], key: [u8; 32]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mesh = Some(Mesh { key: Secret::new(key), peers: peers.into() });
        let setup = Setup { control: address, domain: domain.parse().unwrap(), mesh };
        let log = Logger::root(Discard, o!());
        let routes = Arc::new(Routes::new());
        let control = Arc::new(Control::new(setup, routes, Clock::new(), log));
        let mut tasks = JoinSet::new();
        let router = control.router();
        tasks.spawn(async move {
            // The server ends with the test.
            let _ = axum::serve(listener, router).await;
        });
        let (ticker, applier, follower) = (control.clone(), control.clone(), control.clone());
        let gateway = gateway(store);
        tasks.spawn(async move { ticker.tick().await });
        tasks.spawn(async move { applier.apply().await });
        tasks.spawn(async move { follower.follow(&gateway).await });
        Self { control, address, tasks }
    }

    fn revision(&self) -> Option<Revision> {
        self.control.contract(&customer()).map(|contract| contract.revision())
    }
}

async fn start() -> (Store, Vec<Balancer>) {
    let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let mut balancers: Vec<Balancer> = Vec::new();
    for domain in ["gent", "leuven", "brugge"] {
        let peers: Vec<_> = balancers.iter().map(|balancer| balancer.address).collect();
        balancers.push(Balancer::start(domain, &store, &peers, MESH).await);
    }
    let known = || balancers.iter().all(|balancer| balancer.control.peers().len() == 3);
    wait("balancers know each other", START_WITHIN, known).await;
    (store, balancers)
}

/// Waits until a condition holds.
async fn wait(what: &str, within: Duration, condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < within, "not within {within:?}: {what}");
        tokio::time::sleep(POLL).await;
    }
}

fn gateway(store: &Store) -> Gateway {
    Gateway::new(store.address(), Duration::from_secs(1))
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
    match balancer.control.submit(&gateway(store), submission(None, change)).await {
        WriteOutcome::Accepted { revision, .. } => revision,
        other => panic!("{other:?}"),
    }
}

/// Guards against a change that stays on the balancer that took it, and against one of the store
/// that no balancer took.
#[tokio::test]
async fn change_is_in_force_on_all_balancers() {
    let (store, balancers) = start().await;
    let revision = accept(&balancers[1], &store, 1).await;
    let everywhere = |revision| balancers.iter().all(|b| b.revision() == Some(revision));
    wait("the first change", IN_FORCE_WITHIN, || everywhere(revision)).await;
    let outside = Balancer::start("gent", &store, &[], [1; 32]).await;
    let revision = accept(&outside, &store, 2).await;
    wait("the change by the watch", IN_FORCE_WITHIN, || everywhere(revision)).await;
    // A watch that waits is one call, and a change causes none.
    assert!(store.calls_of(CallKind::Watch) <= 8, "{}", store.calls_of(CallKind::Watch));
}

/// Guards against a balancer that starts in an outage without contracts, while another one leaves;
/// and against a store that is not used again when it returns.
#[tokio::test]
async fn replacement_in_an_outage_takes_the_contracts_of_its_peers() {
    let (store, mut balancers) = start().await;
    let revision = accept(&balancers[0], &store, 1).await;
    let all = |balancers: &[Balancer], revision| {
        balancers.iter().all(|balancer| balancer.revision() == Some(revision))
    };
    wait("the change", IN_FORCE_WITHIN, || all(&balancers, revision)).await;
    store.set_down(true);
    let mut leaving = balancers.remove(0);
    leaving.control.leave().await;
    leaving.tasks.shutdown().await;
    let peers: Vec<_> = balancers.iter().map(|balancer| balancer.address).collect();
    balancers.push(Balancer::start("gent", &store, &peers, MESH).await);
    wait("the contract of the peers", IN_FORCE_WITHIN, || all(&balancers, revision)).await;
    let refused = balancers[2].control.submit(&gateway(&store), submission(None, 2)).await;
    assert_eq!(refused, WriteOutcome::Unavailable);
    store.set_down(false);
    let revision = accept(&balancers[2], &store, 3).await;
    wait("the change behind the outage", IN_FORCE_WITHIN, || all(&balancers, revision)).await;
    let left = |balancer: &Balancer| balancer.control.peers().len() == 3;
    wait("the one that left is gone", START_WITHIN, || balancers.iter().all(left)).await;
}

/// Guards against two operators who both believe that their change counts while the answer of the
/// store is lost: exactly one is accepted, and the other is shown it.
#[tokio::test]
async fn two_operators_with_a_lost_answer() {
    let (store, balancers) = start().await;
    let base = accept(&balancers[0], &store, 1).await;
    store.lose_next_answers(2);
    let (anna, ben) = (gateway(&store), gateway(&store));
    let (first, second) = tokio::join!(
        balancers[0].control.submit(&anna, submission(Some(base.get()), 2)),
        balancers[1].control.submit(&ben, submission(Some(base.get()), 3)),
    );
    let accepted = |verdict: &WriteOutcome| matches!(verdict, WriteOutcome::Accepted { .. });
    assert!(accepted(&first) != accepted(&second), "{first:?} {second:?}");
    let (winner, loser) = if accepted(&first) { (2, second) } else { (3, first) };
    let WriteOutcome::Conflict(Some(shown)) = loser else { panic!("{loser:?}") };
    assert_eq!(shown.origin.id, ChangeId::new(winner));
    let in_force = |balancer: &Balancer| balancer.revision() == Some(shown.contract.revision());
    wait("the winner", IN_FORCE_WITHIN, || balancers.iter().all(in_force)).await;
}

/// Guards against a process without the mesh key that takes part. The same process with the key
/// gets the contract, so that the key is what keeps it out.
#[tokio::test]
async fn stranger_learns_nothing() {
    let (store, balancers) = start().await;
    let revision = accept(&balancers[0], &store, 1).await;
    store.set_down(true);
    let peers: Vec<_> = balancers.iter().map(|balancer| balancer.address).collect();
    let stranger = Balancer::start("gent", &store, &peers, [1; 32]).await;
    let friend = Balancer::start("gent", &store, &peers, MESH).await;
    wait("the friend", IN_FORCE_WITHIN, || friend.revision() == Some(revision)).await;
    assert_eq!(stranger.revision(), None);
    assert!(balancers.iter().all(|b| b.control.peers().len() <= 4));
}

/// Guards against an agent that announces an earlier life and is ignored without a word.
#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_life_learns_of_the_later_one() {
    let (store, balancers) = start().await;
    accept(&balancers[0], &store, 1).await;
    let known = || balancers[0].revision().is_some();
    wait("the contract is in force", IN_FORCE_WITHIN, known).await;
    assert_eq!(announce(&balancers[0], 2_000).await.later, None);
    let answer = announce(&balancers[0], 1_000).await;
    assert_eq!(answer.later, Some(Incarnation::new(2_000)));
    assert_eq!(announce(&balancers[0], 2_001).await.later, None);
}

async fn announce(balancer: &Balancer, incarnation: u64) -> Welcome {
    let entry = Entry {
        customer: customer(),
        service: "booking".parse().unwrap(),
        instance: "127.0.0.1:9000".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        version: 0,
        domain: "gent".parse().unwrap(),
        weight: Weight::new(100),
        phase: Phase::Draining,
    };
    let message = Announce { entry, revision: Revision::default(), siblings: 0, balancers: 0 };
    let client = Client::new(IN_FORCE_WITHIN);
    let key = Secret::new([7; 32]);
    client.call(balancer.address, ANNOUNCE_PATH, &key, &message).await.unwrap()
}
