//! A calm day.

use {
    crate::deployment::{BOOKING, Deployment, PATIENCE, booking},
    std::{net::SocketAddrV4, process::Stdio},
    yuccacroft_emulator::{caller::Failure, operator::fetch},
    yuccacroft_segment::host::Machine as Local,
};

/// Guards against a path that does not serve: requests on flows of their own and on one long flow,
/// each run once and answered whole.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_once() {
    let deployment = Deployment::start("served", 2, 3).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    for number in 0..20 {
        let text = format!("reserve-{number}");
        let answer = deployment.request(&text).await;
        assert!(answer.starts_with(&format!("{text} by ")), "{answer}");
        assert_eq!(deployment.ran(&text).len(), 1);
        let text = format!("board-{number}");
        assert!(board.request(&text, PATIENCE).await.unwrap().starts_with(&text));
    }
    let requests = (0..40).map(|number| format!("burst-{number}"));
    let answers = requests.map(async |text| deployment.request(&text).await);
    futures::future::join_all(answers).await;
    let used = deployment.sides.iter().filter(|side| {
        side.upstream.as_ref().is_some_and(|upstream| !upstream.observations().runs.is_empty())
    });
    assert_eq!(used.count(), 3, "an upstream got nothing of a burst");
    deployment.check_packets();
}

/// Guards against a flow that moves when routers hand its packets to another balancer, and against
/// packets that reach its upstream once for each agent that was asked.
#[tokio::test(flavor = "multi_thread")]
async fn a_flow_stays_when_its_packets_change_balancers() {
    let deployment = Deployment::start("moved", 3, 3).await;
    let machines: Vec<_> = deployment.balancers.iter().map(|node| node.machine).collect();
    let mut board = deployment.callers.open(booking()).await.unwrap();
    let first = board.request("first", PATIENCE).await.unwrap();
    let owner = first.split(" by ").nth(1).unwrap().to_owned();
    for (number, machine) in machines.iter().enumerate() {
        deployment.callers.set_balancers(&[*machine]);
        let answer = board.request(&format!("board-{number}"), PATIENCE).await.unwrap();
        assert!(answer.ends_with(&owner), "{answer}, not {owner}\n{}", deployment.logs());
    }
    let repeated = |index: usize| deployment.upstream(index).observations().duplicates;
    assert_eq!((0..3).map(repeated).sum::<usize>(), 0, "{}", deployment.logs());
    deployment.check_packets();
}

/// Guards against a configuration that reaches only some balancers or only in part, and against
/// open flows that a new one cuts.
#[tokio::test(flavor = "multi_thread")]
async fn routes_come_and_go() {
    let mut deployment = Deployment::start("routes", 2, 2).await;
    let added: SocketAddrV4 = "198.18.0.2:443".parse().unwrap();
    let mut board = deployment.callers.open(booking()).await.unwrap();
    assert_eq!(deployment.callers.open(added).await.err(), Some(Failure::Timeout));
    deployment.configure(&[(booking(), BOOKING), (added, BOOKING)]);
    deployment.callers.request(added, "added", PATIENCE).await.unwrap();
    deployment.configure(&[(booking(), BOOKING)]);
    let version = "before=6";
    let applied = |d: &Deployment| d.balancers.iter().all(|node| node.log().contains(version));
    deployment.wait("the last configuration", || applied(&deployment)).await;
    assert_eq!(deployment.callers.open(added).await.err(), Some(Failure::Timeout));
    board.request("board", PATIENCE).await.unwrap();
}

/// Guards against a process that crashes or answers on bytes that are no packet.
#[tokio::test(flavor = "multi_thread")]
async fn junk_is_counted_and_dropped() {
    let deployment = Deployment::start("junk", 1, 1).await;
    for length in [0, 1, 31, 32, 33, 1_400] {
        deployment.callers.send_malformed(&vec![0xff; length]);
    }
    deployment.request("after the junk").await;
    let metrics =
        fetch(&Local, deployment.balancers[0].machine.metrics(), "/metrics").await.unwrap().1;
    let line = metrics.lines().find(|line| line.starts_with("yuccacroft_balancer_junk_total{"));
    assert!(line.is_some_and(|line| line.contains("source=\"callers\"")), "{metrics}");
}

/// Guards against a packet path that waits for the reader of its log.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_log_stops_no_packet() {
    let mut deployment = Deployment::start("blocked", 1, 1).await;
    let node = &mut deployment.balancers[0];
    node.kill();
    // The pipe is kept and never read.
    node.start(Stdio::piped());
    deployment.wait_ready(0, true).await;
    // More lines than a pipe and the queue of lines hold together.
    for _ in 0..30 {
        for _ in 0..200 {
            deployment.callers.send_malformed(&[0xff; 40]);
        }
        deployment.request("beside the flood").await;
    }
}

/// Guards against a process that the hangup signal ends, and against settings that are taken
/// unchecked.
#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_checks_the_settings() {
    let deployment = Deployment::start("hangup", 1, 1).await;
    deployment.balancers[0].signal("HUP");
    deployment.sides[0].node.signal("HUP");
    let checked = |log: String| log.contains("event=\"settings checked\"");
    deployment
        .wait("the check", || {
            checked(deployment.balancers[0].log()) && checked(deployment.sides[0].node.log())
        })
        .await;
    deployment.request("after the hangup").await;
}

/// Guards against settings that change without a signal and are found to be wrong at the next start
/// only.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_change_of_the_settings_is_noticed() {
    let deployment = Deployment::start("silent-change", 1, 1).await;
    deployment.balancers[0].edit_settings(|text| text.replace("grace = 4 s", "grace = 1 s"));
    let noticed = || {
        let log = deployment.balancers[0].log();
        let mut checked = log.lines().filter(|line| line.contains("settings checked"));
        checked.any(|line| line.contains("changed=process.grace") && line.contains("at least 2 s"))
    };
    deployment.wait("the check", noticed).await;
    deployment.request("after the change").await;
}
