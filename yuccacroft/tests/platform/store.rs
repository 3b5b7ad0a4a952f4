//! Faults of the platform's store.

use {
    crate::deployment::{
        AGENT_KEY_PREFIX, BOOKING_SERVICE, Deployment, REQUEST_TIMEOUT, booking_address,
    },
    std::{net::SocketAddrV4, time::Duration},
    yuccacroft_emulator::store::Fault,
};

/// Guards against flows, placements and drains that depend on the store.
#[tokio::test(flavor = "multi_thread")]
async fn flows_and_drains_work_during_a_store_outage() {
    let deployment = Deployment::start("outage", 2, 3).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    for fault in [Fault::Refuse(503), Fault::Silent, Fault::Refuse(429)] {
        deployment.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(300)).await;
        board.request("board", REQUEST_TIMEOUT).await.unwrap();
        deployment.request("reserve").await;
    }
    assert!(deployment.upstream(0).drain().await);
    let before = deployment.upstream(0).observations().accepted.len();
    for number in 0..10 {
        deployment.request(&format!("elsewhere-{number}")).await;
    }
    assert_eq!(deployment.upstream(0).observations().accepted.len(), before);
}

/// Guards against a configuration that is missed because it was written and compacted while watches
/// were interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_during_an_outage_is_applied_after_it() {
    let mut deployment = Deployment::start("missed", 2, 1).await;
    let added: SocketAddrV4 = "198.18.0.2:443".parse().unwrap();
    deployment.store.set_fault(Fault::Refuse(503));
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.write_config(&[(booking_address(), BOOKING_SERVICE), (added, BOOKING_SERVICE)]);
    deployment.store.compact();
    deployment.store.set_fault(Fault::None);
    let is_applied =
        |d: &Deployment| d.balancers.iter().all(|node| node.log().contains("before=3"));
    deployment.wait_until("the configuration", || is_applied(&deployment)).await;
    deployment.callers.request(added, "added", REQUEST_TIMEOUT).await.unwrap();
}

/// Guards against a new balancer that drops an opening packet which arrives before the first answer
/// of the store. The caller would have to wait until it sends the packet again.
#[tokio::test(flavor = "multi_thread")]
async fn an_opening_before_the_first_answer_of_the_store_is_served() {
    let mut deployment = Deployment::start("early", 1, 1).await;
    let machine = deployment.balancers[0].machine;
    deployment.store.set_fault(Fault::Refuse(503));
    deployment.balancers[0].restart();
    let starts = |d: &Deployment| d.balancers[0].log().matches("event=started").count();
    deployment.wait_until("the start", || starts(&deployment) == 2).await;
    let accepted = || deployment.upstream(0).observations().accepted.len();
    let before = accepted();
    let open = deployment.callers.open(booking_address());
    let recover = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        // Retransmissions of the opening packet reach no balancer.
        deployment.callers.set_balancers(&[]);
        deployment.store.set_fault(Fault::None);
        deployment.wait_until("the flow", || accepted() > before).await;
        deployment.callers.set_balancers(&[machine]);
    };
    let (opened, ()) = tokio::join!(open, recover);
    let answer = opened.unwrap().request("early", REQUEST_TIMEOUT).await.unwrap();
    assert!(answer.starts_with("early"), "{answer}");
}

/// Guards against an agent that stays unknown to balancers after its entry was removed from the
/// store without an error on any of its calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_entry_is_written_again() {
    let deployment = Deployment::start("revoked", 1, 2).await;
    // The balancer has seen both entries after this time.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let keys = deployment.store.keys(AGENT_KEY_PREFIX);
    assert_eq!(keys.len(), 2);
    keys.iter().for_each(|key| deployment.store.remove(key));
    deployment.request("meanwhile").await;
    deployment.wait_for_ready_agents(2).await;
}

/// Guards against an agent that does not repeat its first write when the answer is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_is_lost_is_repeated() {
    let mut deployment = Deployment::start("lost", 1, 1).await;
    deployment.store.set_fault(Fault::LoseAnswers);
    let agent = deployment.start_agent(1, BOOKING_SERVICE).await;
    deployment.agents.push(agent);
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.store.set_fault(Fault::None);
    deployment.wait_for_ready_agents(2).await;
}

/// Guards against a rate of store calls that is too high while nothing changes.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_system_rarely_calls_the_store() {
    let deployment = Deployment::start("calls", 2, 2).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = deployment.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Each balancer holds two watches, and each agent renews one lease.
    let calls = deployment.store.calls() - before;
    assert!(calls <= 6, "{calls} calls in 3 s");
}
