//! Planned stops and drains.

use {
    crate::deployment::{BOOKING_SERVICE, Deployment, REQUEST_TIMEOUT, booking_address},
    std::time::{Duration, Instant},
    yuccacroft_emulator::{caller::Failure, operator::is_ready, store::Fault},
    yuccacroft_segment::host::SystemHost,
};

/// Requests on one flow, enough to last from the stop of its agent until after its restart.
const BOARD_REQUESTS: usize = 40;

/// Guards against new flows at an upstream whose drain was confirmed, and against a drain that
/// breaks open flows.
#[tokio::test(flavor = "multi_thread")]
async fn a_confirmed_drain_stops_new_flows_immediately() {
    let deployment = Deployment::start("drain", 2, 2).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    board.request("first", REQUEST_TIMEOUT).await.unwrap();
    let owner = deployment.upstreams_that_ran("first")[0];
    assert!(deployment.upstream(owner).drain().await, "the drain was not confirmed");
    let before = deployment.upstream(owner).observations().accepted.len();
    for number in 0..20 {
        let text = format!("elsewhere-{number}");
        deployment.request(&text).await;
        assert_eq!(deployment.upstreams_that_ran(&text), [1 - owner]);
    }
    assert_eq!(deployment.upstream(owner).observations().accepted.len(), before);
    assert!(board.request("second", REQUEST_TIMEOUT).await.unwrap().starts_with("second"));
}

/// Guards against new flows at a draining upstream whose agent was restarted and lost its state.
/// The agent learns of the drain again from the next report.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_learns_of_a_drain_with_the_next_report() {
    let mut deployment = Deployment::start("drain-restart", 1, 2).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.agents[0].node.restart();
    let has_learned = |d: &Deployment| {
        let log = d.agents[0].node.log();
        log.rsplit("event=started").next().is_some_and(|log| log.contains("phase=Draining"))
    };
    deployment.wait_until("the report", || has_learned(&deployment)).await;
    let before = deployment.upstream(0).observations().accepted.len();
    for number in 0..10 {
        deployment.request(&format!("elsewhere-{number}")).await;
    }
    assert_eq!(deployment.upstream(0).observations().accepted.len(), before);
}

/// Guards against packet loss while routers still send packets to a stopping balancer, and against
/// a balancer that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_balancer_forwards_until_routers_use_another() {
    let mut deployment = Deployment::start("stop-balancer", 2, 2).await;
    let machines: Vec<_> = deployment.balancers.iter().map(|node| node.machine).collect();
    deployment.callers.set_balancers(&machines[..1]);
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    deployment.balancers[0].signal("TERM");
    deployment.wait_for_readiness(0, false).await;
    board.request("while it stops", REQUEST_TIMEOUT).await.unwrap();
    deployment.request("a new flow").await;
    deployment.callers.set_balancers(&machines[1..]);
    board.request("elsewhere", REQUEST_TIMEOUT).await.unwrap();
    let started_at = Instant::now();
    while deployment.balancers[0].exit_success().is_none() {
        assert!(started_at.elapsed() < Duration::from_secs(4), "the process has not ended");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(deployment.balancers[0].exit_success(), Some(true));
    assert!(!is_ready(&SystemHost, machines[0].ready()).await);
}

/// Guards against a planned restart of an agent that breaks flows while their upstream runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_restart_of_an_agent_breaks_no_flow() {
    let mut deployment = Deployment::start("stop-agent", 2, 2).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    board.request("first", REQUEST_TIMEOUT).await.unwrap();
    let owner = deployment.upstreams_that_ran("first")[0];
    deployment.agents[owner].node.signal("TERM");
    let boards = tokio::spawn(async move {
        for number in 0..BOARD_REQUESTS {
            let text = format!("while it stops {number}");
            board.request(&text, REQUEST_TIMEOUT).await?;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok::<_, Failure>(())
    });
    let started_at = Instant::now();
    while deployment.agents[owner].node.exit_success().is_none() {
        assert!(started_at.elapsed() < Duration::from_secs(4), "the process has not ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(deployment.agents[owner].node.exit_success(), Some(true));
    // Longer than balancers take to treat an agent that ended without notice as lost.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.agents[owner].node.restart();
    let served = boards.await.unwrap();
    assert!(served.is_ok(), "{served:?}\n{}", deployment.logs());
}

/// Guards against entries of ended agents that stay in the store. After a restart of all processes,
/// balancers would wait for each of these agents before they reset lost flows.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_ends_during_a_store_outage_removes_its_entry() {
    let mut deployment = Deployment::start("leave-outage", 1, 2).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.agents[0].upstream.take().unwrap().leave().await;
    let own_address = deployment.agents[0].node.machine.segments().to_string();
    deployment.store.set_fault(Fault::Refuse(503));
    deployment.agents[0].node.signal("TERM");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    deployment.store.set_fault(Fault::None);
    let started_at = Instant::now();
    while deployment.agents[0].node.exit_success().is_none() {
        assert!(started_at.elapsed() < Duration::from_secs(3), "the process has not ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let listed = deployment.store.keys(crate::deployment::AGENT_KEY_PREFIX);
    assert!(
        !listed.iter().any(|key| key.ends_with(&own_address)),
        "{listed:?}\n{}",
        deployment.logs()
    );
}

/// Guards against an agent that continues to run long after its upstream has left. The platform
/// reclaims the machine of both soon afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_ends_soon_after_its_upstream() {
    let mut deployment = Deployment::start("leave", 1, 2).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.agents[0].upstream.take().unwrap().leave().await;
    deployment.agents[0].node.signal("TERM");
    let started_at = Instant::now();
    while deployment.agents[0].node.exit_success().is_none() {
        assert!(started_at.elapsed() < Duration::from_secs(2), "the process has not ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let own_address = deployment.agents[0].node.machine.segments().to_string();
    let listed = deployment.store.keys(crate::deployment::AGENT_KEY_PREFIX);
    assert!(!listed.iter().any(|key| key.ends_with(&own_address)), "{listed:?}");
    let agent = deployment.start_agent(7, BOOKING_SERVICE).await;
    deployment.agents.push(agent);
    deployment.request("after it").await;
}
