//! Planned stops.

use {
    crate::deployment::{BOOKING, Deployment, PATIENCE, booking},
    std::time::{Duration, Instant},
    yuccacroft_emulator::{caller::Failure, operator::is_ready, store::Fault},
    yuccacroft_segment::host::Machine as Local,
};

/// Requests on one flow from before the stop of its agent until after its restart.
const BOARD_REQUESTS: usize = 40;

/// Guards against new flows at an upstream whose leave was confirmed, and against flows that its
/// leave cuts.
#[tokio::test(flavor = "multi_thread")]
async fn a_confirmed_drain_stops_new_flows_in_that_moment() {
    let deployment = Deployment::start("drain", 2, 2).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    board.request("first", PATIENCE).await.unwrap();
    let owner = deployment.ran("first")[0];
    assert!(deployment.upstream(owner).drain().await, "the drain was not confirmed");
    let before = deployment.upstream(owner).observations().accepted.len();
    for number in 0..20 {
        let text = format!("elsewhere-{number}");
        deployment.request(&text).await;
        assert_eq!(deployment.ran(&text), [1 - owner]);
    }
    assert_eq!(deployment.upstream(owner).observations().accepted.len(), before);
    assert!(board.request("second", PATIENCE).await.unwrap().starts_with("second"));
}

/// Guards against new flows at a draining upstream whose agent has forgotten that it drains: it
/// knows again with the next report.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_learns_of_a_drain_with_the_next_report() {
    let mut deployment = Deployment::start("drain-restart", 1, 2).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.sides[0].node.restart();
    let known = |d: &Deployment| {
        let log = d.sides[0].node.log();
        log.rsplit("event=started").next().is_some_and(|life| life.contains("phase=Draining"))
    };
    deployment.wait("the report", || known(&deployment)).await;
    let before = deployment.upstream(0).observations().accepted.len();
    for number in 0..10 {
        deployment.request(&format!("elsewhere-{number}")).await;
    }
    assert_eq!(deployment.upstream(0).observations().accepted.len(), before);
}

/// Guards against packets that are lost while routers still send them to a balancer that ends, and
/// against one that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_balancer_forwards_until_the_routers_have_moved() {
    let mut deployment = Deployment::start("stop-balancer", 2, 2).await;
    let machines: Vec<_> = deployment.balancers.iter().map(|node| node.machine).collect();
    deployment.callers.set_balancers(&machines[..1]);
    let mut board = deployment.callers.open(booking()).await.unwrap();
    deployment.balancers[0].signal("TERM");
    deployment.wait_ready(0, false).await;
    board.request("while it stops", PATIENCE).await.unwrap();
    deployment.request("a new flow").await;
    deployment.callers.set_balancers(&machines[1..]);
    board.request("elsewhere", PATIENCE).await.unwrap();
    let begun = Instant::now();
    while deployment.balancers[0].ended().is_none() {
        assert!(begun.elapsed() < Duration::from_secs(4), "it has not ended");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(deployment.balancers[0].ended(), Some(true));
    assert!(!is_ready(&Local, machines[0].ready()).await);
}

/// Guards against flows that a planned restart of their agent cuts while their upstream lives.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_restart_of_an_agent_breaks_no_flow() {
    let mut deployment = Deployment::start("stop-agent", 2, 2).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    board.request("first", PATIENCE).await.unwrap();
    let owner = deployment.ran("first")[0];
    deployment.sides[owner].node.signal("TERM");
    let boards = tokio::spawn(async move {
        for number in 0..BOARD_REQUESTS {
            let text = format!("while it stops {number}");
            board.request(&text, PATIENCE).await?;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok::<_, Failure>(())
    });
    let begun = Instant::now();
    while deployment.sides[owner].node.ended().is_none() {
        assert!(begun.elapsed() < Duration::from_secs(4), "it has not ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(deployment.sides[owner].node.ended(), Some(true));
    // Longer than balancers take to give up an agent that is lost without a word.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.sides[owner].node.restart();
    let served = boards.await.unwrap();
    assert!(served.is_ok(), "{served:?}\n{}", deployment.logs());
}

/// Guards against entries of agents that are gone: after a restart of everything, balancers wait for
/// each of them before they tell callers that a flow is lost.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_ends_in_an_outage_removes_its_entry() {
    let mut deployment = Deployment::start("leave-outage", 1, 2).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.sides[0].upstream.take().unwrap().leave().await;
    let own = deployment.sides[0].node.machine.segments().to_string();
    deployment.store.set_fault(Fault::Refuse(503));
    deployment.sides[0].node.signal("TERM");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    deployment.store.set_fault(Fault::None);
    let begun = Instant::now();
    while deployment.sides[0].node.ended().is_none() {
        assert!(begun.elapsed() < Duration::from_secs(3), "it has not ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let listed = deployment.store.keys(crate::deployment::MEMBERS);
    assert!(!listed.iter().any(|key| key.ends_with(&own)), "{listed:?}\n{}", deployment.logs());
}

/// Guards against an agent that outlives its upstream, whose machine is taken away next.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_ends_soon_after_its_upstream() {
    let mut deployment = Deployment::start("leave", 1, 2).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.sides[0].upstream.take().unwrap().leave().await;
    deployment.sides[0].node.signal("TERM");
    let begun = Instant::now();
    while deployment.sides[0].node.ended().is_none() {
        assert!(begun.elapsed() < Duration::from_secs(2), "it has not ended");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let own = deployment.sides[0].node.machine.segments().to_string();
    let listed = deployment.store.keys(crate::deployment::MEMBERS);
    assert!(!listed.iter().any(|key| key.ends_with(&own)), "{listed:?}");
    let side = deployment.side(7, BOOKING).await;
    deployment.sides.push(side);
    deployment.request("after it").await;
}
