//! Tests that the logs alone lead from a failed request to its cause; `docs/OPERATIONS.md` shows
//! the same steps.

use {
    crate::deployment::{
        BOOKING_SERVICE, Deployment, REQUEST_TIMEOUT, booking_address, default_behaviour,
    },
    std::time::{Duration, Instant},
    yuccacroft_emulator::{
        caller::Failure, machine::Machine, operator::fetch, upstream::Behaviour,
    },
    yuccacroft_segment::host::SystemHost,
};

/// Returns the text of a request with this id.
fn request(id: &str) -> String {
    format!("GET /board HTTP/1.1\r\nYuccacroft-Request-Id: {id}\r\n\r\n")
}

/// Returns the lines that contain all of the texts.
fn lines(logs: &str, texts: &[&str]) -> Vec<String> {
    let matching = logs.lines().filter(|line| texts.iter().all(|text| line.contains(text)));
    matching.map(str::to_owned).collect()
}

/// Returns the value of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let start = line.find(&format!(" {name}=")).unwrap_or_else(|| panic!("no {name} in {line}"));
    let value = &line[start + name.len() + 2..];
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap_or_default(),
        None => value.split(' ').next().unwrap_or_default(),
    }
}

/// Guards against resets that the logs do not explain. The request id must lead to the flow, the
/// flow to the agent that reset it, and the log of that agent to the reason.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_reset_to_a_dead_upstream() {
    let mut deployment = Deployment::start("log-reset", 1, 1).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    board.request(&request("aa11"), REQUEST_TIMEOUT).await.unwrap();
    deployment.crash_upstream(0).await;
    assert_eq!(board.request(&request("bb22"), REQUEST_TIMEOUT).await.unwrap_err(), Failure::Reset);
    let is_logged = |logs: &str| !lines(logs, &["outcome=reset"]).is_empty();
    deployment.wait_until("the line about the reset", || is_logged(&deployment.logs())).await;
    let logs = deployment.logs();
    let request_line = &lines(&logs, &["event=request", "request=aa11"])[0];
    let flow = field(request_line, "flow");
    let reset_line = &lines(&logs, &["outcome=reset", flow])[0];
    assert_eq!(field(reset_line, "cause"), "upstream dead");
    let check_line = &lines(&logs, &["event=\"upstream judged\"", "silence=Dead"])[0];
    assert_eq!(field(check_line, "check"), "Refused");
}

/// Guards against refusals that the logs do not explain. The log line must name the cause, and an
/// earlier line must show that the only upstream was draining.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_refusal_to_a_service_without_upstreams() {
    let deployment = Deployment::start("log-refusal", 1, 1).await;
    // The balancer treats its list of agents as complete after this time.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.callers.open(booking_address()).await.unwrap_err();
    let is_logged =
        |logs: &str| !lines(logs, &["control=Open", "event=\"not forwarded\""]).is_empty();
    deployment.wait_until("the line about the refusal", || is_logged(&deployment.logs())).await;
    let logs = deployment.logs();
    let refusal_line = &lines(&logs, &["control=Open", "event=\"not forwarded\""])[0];
    assert!(
        ["no agent took the flow", "no agent"].contains(&field(refusal_line, "cause")),
        "{refusal_line}"
    );
    assert_eq!(field(refusal_line, "agents"), "1");
    let reported = lines(&logs, &["event=\"upstream reported\"", "phase=Draining"]);
    assert_eq!(reported.len(), 1);
}

/// Guards against slow answers that the logs do not explain. The log line must give the time that
/// the upstream took.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_late_answer_to_a_slow_upstream() {
    let mut deployment = Deployment::start("log-late", 1, 1).await;
    deployment.request(&request("aa11")).await;
    deployment.crash_upstream(0).await;
    let machine = deployment.agents[0].node.machine;
    let slow = Behaviour {
        service_time: Duration::from_millis(180),
        ..default_behaviour(BOOKING_SERVICE)
    };
    deployment.agents[0].upstream = Some(deployment.start_upstream(machine, "slow", slow).await);
    let is_restarted = |logs: &str| !lines(logs, &["outcome=Reborn"]).is_empty();
    deployment.wait_until("the restart of the upstream", || is_restarted(&deployment.logs())).await;
    deployment.request(&request("cc33")).await;
    let is_slow_logged = |logs: &str| !lines(logs, &["event=\"slow answer\""]).is_empty();
    deployment.wait_until("the line about the answer", || is_slow_logged(&deployment.logs())).await;
    let logs = deployment.logs();
    let request_line = &lines(&logs, &["event=request", "request=cc33"])[0];
    let slow_line = &lines(&logs, &["event=\"slow answer\"", field(request_line, "flow")])[0];
    let micros: u64 = field(slow_line, "time").trim_end_matches(" us").parse().unwrap();
    assert!((180_000..400_000).contains(&micros), "{slow_line}");
}

/// Guards against state dumps that do not show what a process knows about agents, flows and its
/// upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_dump_shows_members_flows_and_the_upstream() {
    let deployment = Deployment::start("dump", 1, 2).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    board.request("first", REQUEST_TIMEOUT).await.unwrap();
    let owner = deployment.upstreams_that_ran("first")[0];
    let dump = async |machine: Machine| {
        let (status, text) = fetch(&SystemHost, machine.metrics(), "/v1/dump").await.unwrap();
        assert_eq!(status, 200);
        serde_json::from_str::<serde_json::Value>(&text).unwrap()
    };
    let balancer = dump(deployment.balancers[0].machine).await;
    assert_eq!(balancer["ready"], true);
    assert_eq!(balancer["members"].as_array().unwrap().len(), 2);
    let machine = deployment.agents[owner].node.machine;
    assert_eq!(balancer["flows"][machine.segments().to_string()], 1);
    let agent = dump(machine).await;
    assert_eq!(agent["upstream"]["id"], format!("upstream-{owner}"));
    assert_eq!(agent["load"]["open"], 1);
    // These metrics are updated once a second.
    let is_shown = async || {
        let metrics = fetch(&SystemHost, machine.metrics(), "/metrics").await.unwrap().1;
        metrics.contains("yuccacroft_agent_open_flows 1")
    };
    let started_at = Instant::now();
    while !is_shown().await {
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "the metric of open flows is missing"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
