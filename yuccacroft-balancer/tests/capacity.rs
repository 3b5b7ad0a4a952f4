//! Claims on a contract's capacity through balancers, against a store that loses answers and fails.

use {
    slog::{Discard, Logger, o},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    yuccacroft_balancer::{
        capacity::Capacity,
        control::{Control, Setup},
        service::Routes,
    },
    yuccacroft_core::{
        capacity::{Claim, ClaimNumber, GrantRecord},
        contract::Contract,
        flow::Hop,
        ids::{ChangeId, Incarnation, Instance, Revision},
        key::Secret,
        units::Slots,
    },
    yuccacroft_fakes::store::Store,
    yuccacroft_rpc::{client::Client, clock::Clock, errors::Error},
    yuccacroft_store::{etcd::Gateway, store::Store as _},
    yuccacroft_wire::capacity::{PATH, Query, Reply},
};

const KEY: Secret = Secret::new([7; 32]);
const OTHER_KEY: Secret = Secret::new([8; 32]);
const SHARE: u32 = 28;
const RECORD: &str = "/yuccacroft/capacity/kampvuur/booking";
const BALANCERS: usize = 3;

struct Fleet {
    store: Store,
    balancers: Vec<SocketAddr>,
    client: Client,
}

impl Fleet {
    async fn start() -> Self {
        let store = Store::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let mut balancers = Vec::new();
        for _ in 0..BALANCERS {
            balancers.push(balancer(store.address()).await);
        }
        Self { store, balancers, client: Client::new(Duration::from_secs(10)) }
    }

    async fn claim(&self, agent: u64, number: u32, claim: Claim) -> Result<Reply, Error> {
        let balancer = self.balancers[agent as usize % BALANCERS];
        self.client.call(balancer, PATH, &KEY, &query(agent, number, claim)).await
    }

    async fn record(&self) -> GrantRecord {
        let gateway = Gateway::new(self.store.address(), Duration::from_secs(1));
        let item = gateway.get(RECORD).await.unwrap();
        item.map_or_else(GrantRecord::new, |item| item.value.parse().unwrap())
    }
}

/// Starts the claims of one balancer that knows the contract already.
async fn balancer(store: SocketAddr) -> SocketAddr {
    let log = Logger::root(Discard, o!());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let setup = Setup { control: address, domain: "gent".parse().unwrap(), mesh: None };
    let routes = Arc::new(Routes::new());
    let control = Arc::new(Control::new(setup, routes, Clock::new(), log.clone()));
    let checked = Contract::parse("test", &contract()).unwrap().check("test").unwrap();
    control.learn(Arc::new(checked.accept(Revision::new(1), ChangeId::new(1))));
    let gateway = Arc::new(Gateway::new(store, Duration::from_secs(1)));
    let capacity = Arc::new(Capacity::new(gateway, control, Clock::new(), log));
    tokio::spawn(async move { axum::serve(listener, capacity.router()).await });
    address
}

fn contract() -> String {
    format!(
        "[customer]\nname = kampvuur\nkey = {KEY}\ncapacity = {SHARE}\n\n[service booking]\n\
         addresses = 127.0.40.1:4433\nslots = 4\nconnections = 10\nupstreams_max = 7\n\
         share = {SHARE}\n"
    )
}

fn query(agent: u64, number: u32, claim: Claim) -> Query {
    let instance = Instance::from_bits((0x7f00_0001 << 16) | (9_000 + agent));
    Query {
        customer: "kampvuur".parse().unwrap(),
        service: "booking".parse().unwrap(),
        hop: Hop { instance, incarnation: Incarnation::new(1) },
        number: ClaimNumber::new(number),
        claim,
    }
}

fn hold(slots: u32) -> Claim {
    Claim::Hold(Slots::new(slots))
}

fn granted(reply: &Result<Reply, Error>) -> u32 {
    match reply {
        Ok(Reply::Granted(slots)) => slots.get(),
        Ok(Reply::Outdated) | Err(_) => 0,
    }
}

/// Guards against agents that start at once through different balancers and get more than the
/// contract's share, also when answers of the store are lost.
#[tokio::test(flavor = "multi_thread")]
async fn claims_at_once_stay_within_the_share() {
    let fleet = Fleet::start().await;
    fleet.store.lose_next_answers(5);
    let claims = (0..10).map(|agent| fleet.claim(agent, 1, hold(4)));
    let replies = futures::future::join_all(claims).await;
    let sum: u32 = replies.iter().map(granted).sum();
    let total = fleet.record().await.total().get();
    assert!(sum <= total, "granted {sum}, recorded {total}");
    assert!(total <= SHARE, "recorded {total}");
}

/// Guards against capacity that stays unused although an agent waits for it.
#[tokio::test]
async fn released_slots_go_to_the_next_agent() {
    let fleet = Fleet::start().await;
    assert_eq!(granted(&fleet.claim(0, 1, hold(28)).await), 28);
    assert_eq!(granted(&fleet.claim(1, 1, hold(4)).await), 0);
    fleet.claim(0, 2, Claim::Release).await.unwrap();
    assert_eq!(granted(&fleet.claim(1, 2, hold(4)).await), 4);
}

/// Guards against a grant that is told although the store could not record it.
#[tokio::test]
async fn outage_grants_nothing_and_keeps_the_record() {
    let fleet = Fleet::start().await;
    assert_eq!(granted(&fleet.claim(0, 1, hold(4)).await), 4);
    let before = fleet.record().await;
    fleet.store.set_down(true);
    assert!(fleet.claim(1, 1, hold(4)).await.is_err());
    fleet.store.set_down(false);
    assert_eq!(fleet.record().await, before);
}

/// Guards against another customer, or nobody in particular, that takes away capacity.
#[tokio::test]
async fn claim_under_another_key_is_refused() {
    let fleet = Fleet::start().await;
    let query = query(0, 1, hold(4));
    let reply: Result<Reply, Error> =
        fleet.client.call(fleet.balancers[0], PATH, &OTHER_KEY, &query).await;
    assert!(matches!(reply, Err(Error::Refused(status)) if status == 401), "{reply:?}");
    assert_eq!(fleet.record().await, GrantRecord::new());
}
