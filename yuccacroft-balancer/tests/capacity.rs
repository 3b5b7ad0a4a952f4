//! Claims on a contract's capacity through several balancers, with a store that loses answers and
//! fails.

use {
    slog::{Discard, Logger, o},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    yuccacroft_balancer::{
        capacity::CapacityServer,
        controllers::{Controllers, Setup},
        service::ServiceTable,
    },
    yuccacroft_core::{
        capacity::{Claim, ClaimNumber, GrantRecord},
        contract::Contract,
        flow::AgentId,
        ids::{ChangeId, Incarnation, Instance, Revision},
        key::Secret,
        units::Slots,
    },
    yuccacroft_fakes::store::Store,
    yuccacroft_rpc::{client::Client, clock::Clock, errors::Error},
    yuccacroft_store::{etcd::EtcdClient, store::Store as _},
    yuccacroft_wire::capacity::{CAPACITY_PATH, CapacityQuery, CapacityReply},
};

const KEY: Secret = Secret::new([7; 32]);
const OTHER_KEY: Secret = Secret::new([8; 32]);
const SHARE: u32 = 28;
const RECORD_KEY: &str = "/yuccacroft/capacity/kampvuur/booking";
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
            balancers.push(start_balancer(store.address()).await);
        }
        Self { store, balancers, client: Client::new(Duration::from_secs(10)) }
    }

    async fn claim(&self, agent: u64, number: u32, claim: Claim) -> Result<CapacityReply, Error> {
        let balancer = self.balancers[agent as usize % BALANCERS];
        self.client.call(balancer, CAPACITY_PATH, &KEY, &query(agent, number, claim)).await
    }

    async fn record(&self) -> GrantRecord {
        let client = EtcdClient::new(self.store.address(), Duration::from_secs(1));
        let item = client.get(RECORD_KEY).await.unwrap();
        item.map_or_else(GrantRecord::new, |item| item.value.parse().unwrap())
    }
}

/// Starts the claim server of one balancer that already has the contract.
async fn start_balancer(store: SocketAddr) -> SocketAddr {
    let log = Logger::root(Discard, o!());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let setup = Setup { control: address, domain: "gent".parse().unwrap(), mesh: None };
    let services = Arc::new(ServiceTable::new());
    let controllers = Arc::new(Controllers::new(setup, services, Clock::new(), log.clone()));
    let checked = Contract::parse("test", &contract_text()).unwrap().check("test").unwrap();
    controllers.add_contract(Arc::new(checked.accept(Revision::new(1), ChangeId::new(1))));
    let client = Arc::new(EtcdClient::new(store, Duration::from_secs(1)));
    let capacity_server = Arc::new(CapacityServer::new(client, controllers, Clock::new(), log));
    tokio::spawn(async move { axum::serve(listener, capacity_server.router()).await });
    address
}

fn contract_text() -> String {
    format!(
        "[customer]\nname = kampvuur\nkey = {KEY}\ncapacity = {SHARE}\n\n[service booking]\n\
         addresses = 127.0.40.1:4433\nslots = 4\nconnections = 10\nupstreams_max = 7\n\
         share = {SHARE}\n"
    )
}

fn query(agent: u64, number: u32, claim: Claim) -> CapacityQuery {
    let instance = Instance::from_bits((0x7f00_0001 << 16) | (9_000 + agent));
    CapacityQuery {
        customer: "kampvuur".parse().unwrap(),
        service: "booking".parse().unwrap(),
        agent_id: AgentId { instance, incarnation: Incarnation::new(1) },
        number: ClaimNumber::new(number),
        claim,
    }
}

fn hold(slots: u32) -> Claim {
    Claim::Hold(Slots::new(slots))
}

fn granted_slots(reply: &Result<CapacityReply, Error>) -> u32 {
    match reply {
        Ok(CapacityReply::Granted(slots)) => slots.get(),
        Ok(CapacityReply::Outdated) | Err(_) => 0,
    }
}

/// Guards against agents that start together through different balancers and get more than the
/// contract's share, also when answers of the store are lost.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_claims_stay_within_the_share() {
    let fleet = Fleet::start().await;
    fleet.store.lose_next_answers(5);
    let claims = (0..10).map(|agent| fleet.claim(agent, 1, hold(4)));
    let replies = futures::future::join_all(claims).await;
    let sum: u32 = replies.iter().map(granted_slots).sum();
    let total = fleet.record().await.total().get();
    assert!(sum <= total, "granted {sum}, recorded {total}");
    assert!(total <= SHARE, "recorded {total}");
}

/// Guards against released capacity that no waiting agent gets.
#[tokio::test]
async fn released_slots_go_to_the_next_agent() {
    let fleet = Fleet::start().await;
    assert_eq!(granted_slots(&fleet.claim(0, 1, hold(28)).await), 28);
    assert_eq!(granted_slots(&fleet.claim(1, 1, hold(4)).await), 0);
    fleet.claim(0, 2, Claim::Release).await.unwrap();
    assert_eq!(granted_slots(&fleet.claim(1, 2, hold(4)).await), 4);
}

/// Guards against a grant that is returned although the store could not record it.
#[tokio::test]
async fn outage_grants_nothing_and_keeps_the_record() {
    let fleet = Fleet::start().await;
    assert_eq!(granted_slots(&fleet.claim(0, 1, hold(4)).await), 4);
    let before = fleet.record().await;
    fleet.store.set_down(true);
    assert!(fleet.claim(1, 1, hold(4)).await.is_err());
    fleet.store.set_down(false);
    assert_eq!(fleet.record().await, before);
}

/// Guards against a claim on a customer's capacity by a process without the customer's key.
#[tokio::test]
async fn claim_with_another_key_is_rejected() {
    let fleet = Fleet::start().await;
    let query = query(0, 1, hold(4));
    let reply: Result<CapacityReply, Error> =
        fleet.client.call(fleet.balancers[0], CAPACITY_PATH, &OTHER_KEY, &query).await;
    assert!(matches!(reply, Err(Error::Refused(status)) if status == 401), "{reply:?}");
    assert_eq!(fleet.record().await, GrantRecord::new());
}
