//! Trouble with the platform's store.

use {
    crate::deployment::{BOOKING, Deployment, MEMBERS, PATIENCE, booking},
    std::{net::SocketAddrV4, time::Duration},
    yuccacroft_emulator::store::Fault,
};

/// Guards against flows, placements and drains that need the store.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_stops_nothing() {
    let deployment = Deployment::start("outage", 2, 3).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    for fault in [Fault::Refuse(503), Fault::Silent, Fault::Refuse(429)] {
        deployment.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(300)).await;
        board.request("board", PATIENCE).await.unwrap();
        deployment.request("reserve").await;
    }
    assert!(deployment.upstream(0).drain().await);
    let before = deployment.upstream(0).observations().accepted.len();
    for number in 0..10 {
        deployment.request(&format!("elsewhere-{number}")).await;
    }
    assert_eq!(deployment.upstream(0).observations().accepted.len(), before);
}

/// Guards against a configuration that is missed while watches are cut and the history is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_of_an_outage_is_in_force_after_it() {
    let mut deployment = Deployment::start("missed", 2, 1).await;
    let added: SocketAddrV4 = "198.18.0.2:443".parse().unwrap();
    deployment.store.set_fault(Fault::Refuse(503));
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.configure(&[(booking(), BOOKING), (added, BOOKING)]);
    deployment.store.compact();
    deployment.store.set_fault(Fault::None);
    let applied = |d: &Deployment| d.balancers.iter().all(|node| node.log().contains("before=3"));
    deployment.wait("the configuration", || applied(&deployment)).await;
    deployment.callers.request(added, "added", PATIENCE).await.unwrap();
}

/// Guards against callers that wait for their next copy although the balancer, which had just
/// started, learned all it needed soon after the first one.
#[tokio::test(flavor = "multi_thread")]
async fn an_opening_that_comes_before_the_first_answer_of_the_store_is_served() {
    let mut deployment = Deployment::start("early", 1, 1).await;
    let machine = deployment.balancers[0].machine;
    deployment.store.set_fault(Fault::Refuse(503));
    deployment.balancers[0].restart();
    let starts = |d: &Deployment| d.balancers[0].log().matches("event=started").count();
    deployment.wait("the start", || starts(&deployment) == 2).await;
    let accepted = || deployment.upstream(0).observations().accepted.len();
    let before = accepted();
    let open = deployment.callers.open(booking());
    let rest = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        // The copies of the opening packet go nowhere.
        deployment.callers.set_balancers(&[]);
        deployment.store.set_fault(Fault::None);
        deployment.wait("the flow", || accepted() > before).await;
        deployment.callers.set_balancers(&[machine]);
    };
    let (opened, ()) = tokio::join!(open, rest);
    let answer = opened.unwrap().request("early", PATIENCE).await.unwrap();
    assert!(answer.starts_with("early"), "{answer}");
}

/// Guards against an agent that nobody finds any more, since its entry was taken away and no call
/// shows it.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_was_taken_away_comes_back() {
    let deployment = Deployment::start("revoked", 1, 2).await;
    // Until then a balancer may not have seen the entry yet.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let keys = deployment.store.keys(MEMBERS);
    assert_eq!(keys.len(), 2);
    keys.iter().for_each(|key| deployment.store.remove(key));
    deployment.request("meanwhile").await;
    deployment.wait_members(2).await;
}

/// Guards against an agent whose first write was done without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_without_an_answer_is_repeated() {
    let mut deployment = Deployment::start("lost", 1, 1).await;
    deployment.store.set_fault(Fault::LoseAnswers);
    let side = deployment.side(1, BOOKING).await;
    deployment.sides.push(side);
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.store.set_fault(Fault::None);
    deployment.wait_members(2).await;
}

/// Guards against a price that grows with time: a calm system calls the store seldom.
#[tokio::test(flavor = "multi_thread")]
async fn a_calm_system_calls_the_store_seldom() {
    let deployment = Deployment::start("calls", 2, 2).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = deployment.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Each balancer holds two watches, and each agent renews one lease.
    let calls = deployment.store.calls() - before;
    assert!(calls <= 6, "{calls} calls in 3 s");
}
