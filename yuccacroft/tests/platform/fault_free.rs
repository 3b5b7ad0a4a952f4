//! Operation without faults.

use {
    crate::deployment::{BOOKING_SERVICE, Deployment, REQUEST_TIMEOUT, booking_address},
    std::{net::SocketAddrV4, process::Stdio},
    yuccacroft_emulator::{caller::Failure, operator::fetch},
    yuccacroft_segment::host::SystemHost,
};

/// Guards against requests that are lost, duplicated or answered wrongly. Requests on separate
/// flows and on one long flow must each run once and get their answer.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_once() {
    let deployment = Deployment::start("served", 2, 3).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    for number in 0..20 {
        let text = format!("reserve-{number}");
        let answer = deployment.request(&text).await;
        assert!(answer.starts_with(&format!("{text} by ")), "{answer}");
        assert_eq!(deployment.upstreams_that_ran(&text).len(), 1);
        let text = format!("board-{number}");
        assert!(board.request(&text, REQUEST_TIMEOUT).await.unwrap().starts_with(&text));
    }
    let requests = (0..40).map(|number| format!("burst-{number}"));
    let answers = requests.map(async |text| deployment.request(&text).await);
    futures::future::join_all(answers).await;
    let used = deployment.agents.iter().filter(|agent| {
        agent.upstream.as_ref().is_some_and(|upstream| !upstream.observations().runs.is_empty())
    });
    assert_eq!(used.count(), 3, "an upstream got no request of the burst");
    deployment.assert_packets_intact();
}

/// Guards against a flow that moves when routers send its packets to another balancer, and against
/// packets that reach its upstream once per queried agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_flow_stays_when_its_packets_change_balancers() {
    let deployment = Deployment::start("moved", 3, 3).await;
    let machines: Vec<_> = deployment.balancers.iter().map(|node| node.machine).collect();
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    let first = board.request("first", REQUEST_TIMEOUT).await.unwrap();
    let owner = first.split(" by ").nth(1).unwrap().to_owned();
    for (number, machine) in machines.iter().enumerate() {
        deployment.callers.set_balancers(&[*machine]);
        let answer = board.request(&format!("board-{number}"), REQUEST_TIMEOUT).await.unwrap();
        assert!(answer.ends_with(&owner), "{answer}, not {owner}\n{}", deployment.logs());
    }
    let duplicates = |index: usize| deployment.upstream(index).observations().duplicates;
    assert_eq!((0..3).map(duplicates).sum::<usize>(), 0, "{}", deployment.logs());
    deployment.assert_packets_intact();
}

/// Guards against a configuration that is not applied on all balancers or only in part, and against
/// one that closes open flows.
#[tokio::test(flavor = "multi_thread")]
async fn routes_are_added_and_removed() {
    let mut deployment = Deployment::start("routes", 2, 2).await;
    let added: SocketAddrV4 = "198.18.0.2:443".parse().unwrap();
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    assert_eq!(deployment.callers.open(added).await.err(), Some(Failure::Timeout));
    deployment.write_config(&[(booking_address(), BOOKING_SERVICE), (added, BOOKING_SERVICE)]);
    deployment.callers.request(added, "added", REQUEST_TIMEOUT).await.unwrap();
    deployment.write_config(&[(booking_address(), BOOKING_SERVICE)]);
    let version = "before=6";
    let is_applied = |d: &Deployment| d.balancers.iter().all(|node| node.log().contains(version));
    deployment.wait_until("the last configuration", || is_applied(&deployment)).await;
    assert_eq!(deployment.callers.open(added).await.err(), Some(Failure::Timeout));
    board.request("board", REQUEST_TIMEOUT).await.unwrap();
}

/// Guards against a process that crashes on malformed datagrams or answers them.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_datagrams_are_counted_and_dropped() {
    let deployment = Deployment::start("junk", 1, 1).await;
    for length in [0, 1, 31, 32, 33, 1_400] {
        deployment.callers.send_malformed(&vec![0xff; length]);
    }
    deployment.request("after the junk").await;
    let metrics =
        fetch(&SystemHost, deployment.balancers[0].machine.metrics(), "/metrics").await.unwrap().1;
    let line = metrics.lines().find(|line| line.starts_with("yuccacroft_balancer_junk_total{"));
    assert!(line.is_some_and(|line| line.contains("source=\"callers\"")), "{metrics}");
}

/// Guards against packet processing that blocks while nobody reads the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_log_stops_no_packet() {
    let mut deployment = Deployment::start("blocked", 1, 1).await;
    let node = &mut deployment.balancers[0];
    node.kill();
    // The read end of the pipe stays open and is never read.
    node.start(Stdio::piped());
    deployment.wait_for_readiness(0, true).await;
    // More lines than the pipe and the queue of log lines hold together.
    for _ in 0..30 {
        for _ in 0..200 {
            deployment.callers.send_malformed(&[0xff; 40]);
        }
        deployment.request("beside the flood").await;
    }
}

/// Guards against a process that SIGHUP terminates, and against settings that are not checked on
/// SIGHUP.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_checks_the_settings() {
    let deployment = Deployment::start("hangup", 1, 1).await;
    deployment.balancers[0].signal("HUP");
    deployment.agents[0].node.signal("HUP");
    let was_checked = |log: String| log.contains("event=\"settings checked\"");
    deployment
        .wait_until("the check", || {
            was_checked(deployment.balancers[0].log())
                && was_checked(deployment.agents[0].node.log())
        })
        .await;
    deployment.request("after the hangup").await;
}

/// Guards against settings that are changed without a signal and whose faults are reported only at
/// the next start.
#[tokio::test(flavor = "multi_thread")]
async fn settings_changed_without_a_signal_are_checked() {
    let deployment = Deployment::start("silent-change", 1, 1).await;
    deployment.balancers[0].edit_settings(|text| text.replace("grace = 4 s", "grace = 1 s"));
    let fault_logged = || {
        let log = deployment.balancers[0].log();
        let mut checked = log.lines().filter(|line| line.contains("settings checked"));
        checked.any(|line| line.contains("changed=process.grace") && line.contains("at least 2 s"))
    };
    deployment.wait_until("the check", fault_logged).await;
    deployment.request("after the change").await;
}
