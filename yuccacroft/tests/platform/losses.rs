//! Processes and upstreams that are lost without a word.

use {
    crate::deployment::{BOOKING, Deployment, PATIENCE, behaviour, booking},
    std::time::{Duration, Instant},
    yuccacroft_emulator::caller::{Connection, Failure},
};

const BOARDS: usize = 6;

async fn boards(deployment: &Deployment) -> Vec<Connection> {
    let mut boards = Vec::new();
    for number in 0..BOARDS {
        let mut board = deployment.callers.open(booking()).await.unwrap();
        board.request(&format!("board-{number}-first"), PATIENCE).await.unwrap();
        boards.push(board);
    }
    boards
}

async fn ask_all(deployment: &Deployment, boards: &mut [Connection], text: &str) {
    for (number, board) in boards.iter_mut().enumerate() {
        let text = format!("board-{number}-{text}");
        if let Err(failure) = board.request(&text, PATIENCE).await {
            panic!("{text}: {failure:?}\n{}", deployment.logs());
        }
        assert_eq!(deployment.ran(&text).len(), 1, "{text}");
    }
}

/// Guards against flows that end with the memory of the balancer that forwarded them.
#[tokio::test(flavor = "multi_thread")]
async fn killed_balancers_break_no_flow() {
    let mut deployment = Deployment::start("kill-balancer", 2, 3).await;
    let mut boards = boards(&deployment).await;
    for index in 0..2 {
        deployment.balancers[index].restart();
        deployment.wait_ready(index, true).await;
        ask_all(&deployment, &mut boards, &format!("restart-{index}")).await;
    }
    deployment.check_packets();
}

/// Guards against flows that end with the memory of the agent beside their upstream.
#[tokio::test(flavor = "multi_thread")]
async fn killed_agents_break_no_flow() {
    let mut deployment = Deployment::start("kill-agent", 2, 3).await;
    let mut boards = boards(&deployment).await;
    for index in 0..3 {
        deployment.sides[index].node.restart();
    }
    ask_all(&deployment, &mut boards, "agents").await;
    deployment.check_packets();
}

/// Guards against flows that are reset or moved when all processes lose their memory at once: the
/// upstreams still hold them.
#[tokio::test(flavor = "multi_thread")]
async fn a_kill_of_all_processes_breaks_no_flow() {
    let mut deployment = Deployment::start("kill-all", 2, 3).await;
    let mut boards = boards(&deployment).await;
    deployment.balancers.iter_mut().for_each(|node| node.restart());
    deployment.sides.iter_mut().for_each(|side| side.node.restart());
    ask_all(&deployment, &mut boards, "all").await;
    deployment.request("a new flow").await;
    deployment.check_packets();
}

/// Guards against callers that wait their whole budget for a flow that ended with its upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_upstream_resets_its_flows_at_once() {
    let mut deployment = Deployment::start("crash", 1, 2).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    let answer = board.request("first", PATIENCE).await.unwrap();
    let owner = deployment.ran("first")[0];
    assert!(answer.ends_with(&format!("upstream-{owner}")));
    deployment.crash(owner).await;
    let begun = Instant::now();
    let failure = board.request("second", PATIENCE).await.unwrap_err();
    assert_eq!(failure, Failure::Reset, "{}", deployment.logs());
    assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
    for number in 0..10 {
        let text = format!("elsewhere-{number}");
        deployment.request(&text).await;
        assert_eq!(deployment.ran(&text), [1 - owner]);
    }
}

/// Guards against flows of an earlier life that nobody tells their callers about.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_upstream_resets_the_flows_of_its_earlier_life() {
    let mut deployment = Deployment::start("reborn", 1, 1).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    board.request("first", PATIENCE).await.unwrap();
    deployment.crash(0).await;
    let machine = deployment.sides[0].node.machine;
    let reborn = deployment.start_upstream(machine, "upstream-0", behaviour(BOOKING)).await;
    deployment.sides[0].upstream = Some(reborn);
    assert_eq!(board.request("second", PATIENCE).await.unwrap_err(), Failure::Reset);
    deployment.request("a new flow").await;
}

/// Guards against flows at an upstream of another service whose machine has the same address.
#[tokio::test(flavor = "multi_thread")]
async fn a_reused_address_serves_its_new_service_only() {
    let mut deployment = Deployment::start("reuse", 1, 2).await;
    deployment.sides[0].node.kill();
    deployment.crash(0).await;
    let other = deployment.side(0, "svc-packs").await;
    deployment.sides[0] = other;
    for number in 0..20 {
        let text = format!("booking-{number}");
        deployment.request(&text).await;
        assert_eq!(deployment.ran(&text), [1], "{}", deployment.logs());
    }
}

/// Guards against a restart of everything after which callers wait for flows that no upstream holds
/// any more.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_loss_of_power_lost_flows_are_reset() {
    let mut deployment = Deployment::start("power", 2, 2).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    board.request("first", PATIENCE).await.unwrap();
    for node in &mut deployment.balancers {
        node.kill();
    }
    for index in 0..2u8 {
        deployment.sides[usize::from(index)].node.kill();
        deployment.crash(index.into()).await;
        let side = deployment.side(index, BOOKING).await;
        deployment.sides[usize::from(index)] = side;
    }
    deployment.balancers.iter_mut().for_each(|node| node.restart());
    let begun = Instant::now();
    assert_eq!(board.request("second", PATIENCE).await.unwrap_err(), Failure::Reset);
    assert!(begun.elapsed() < Duration::from_millis(2_500), "{:?}", begun.elapsed());
    deployment.request("a new flow").await;
}
