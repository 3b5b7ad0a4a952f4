//! From a failed request to its cause, with nothing but the logs; `docs/OPERATIONS.md` shows the
//! same steps.

use {
    crate::deployment::{BOOKING, Deployment, PATIENCE, behaviour, booking},
    std::time::{Duration, Instant},
    yuccacroft_emulator::{
        caller::Failure, machine::Machine, operator::fetch, upstream::Behaviour,
    },
    yuccacroft_segment::host::Machine as Local,
};

/// A request as callers write it.
fn request(id: &str) -> String {
    format!("GET /board HTTP/1.1\r\nYuccacroft-Request-Id: {id}\r\n\r\n")
}

/// Returns the lines that have all of the texts.
fn lines(logs: &str, texts: &[&str]) -> Vec<String> {
    let matching = logs.lines().filter(|line| texts.iter().all(|text| line.contains(text)));
    matching.map(str::to_owned).collect()
}

/// Returns the value of a field of a line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let start = line.find(&format!(" {name}=")).unwrap_or_else(|| panic!("no {name} in {line}"));
    let value = &line[start + name.len() + 2..];
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap_or_default(),
        None => value.split(' ').next().unwrap_or_default(),
    }
}

/// Guards against a reset whose cause nobody finds: the id leads to the flow, the flow to the
/// agent that ended it, and that agent's log to the reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_leads_to_the_death_of_an_upstream() {
    let mut deployment = Deployment::start("log-reset", 1, 1).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    board.request(&request("aa11"), PATIENCE).await.unwrap();
    deployment.crash(0).await;
    assert_eq!(board.request(&request("bb22"), PATIENCE).await.unwrap_err(), Failure::Reset);
    let ended = |logs: &str| !lines(logs, &["outcome=reset"]).is_empty();
    deployment.wait("the line about the reset", || ended(&deployment.logs())).await;
    let logs = deployment.logs();
    let known = &lines(&logs, &["event=request", "request=aa11"])[0];
    let flow = field(known, "flow");
    let reset = &lines(&logs, &["outcome=reset", flow])[0];
    assert_eq!(field(reset, "cause"), "upstream dead");
    let judged = &lines(&logs, &["event=\"upstream judged\"", "silence=Dead"])[0];
    assert_eq!(field(judged, "check"), "Refused");
}

/// Guards against a refusal whose cause nobody finds: the line names the flow, and the lines before
/// it tell why no agent took it.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_leads_to_a_service_without_upstreams() {
    let deployment = Deployment::start("log-refusal", 1, 1).await;
    // Until then the balancer does not trust its list of agents.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert!(deployment.upstream(0).drain().await);
    deployment.callers.open(booking()).await.unwrap_err();
    let ended = |logs: &str| !lines(logs, &["control=Open", "event=\"not forwarded\""]).is_empty();
    deployment.wait("the line about the refusal", || ended(&deployment.logs())).await;
    let logs = deployment.logs();
    let refused = &lines(&logs, &["control=Open", "event=\"not forwarded\""])[0];
    assert!(["no agent took the flow", "no agent"].contains(&field(refused, "cause")), "{refused}");
    assert_eq!(field(refused, "agents"), "1");
    let reported = lines(&logs, &["event=\"upstream reported\"", "phase=Draining"]);
    assert_eq!(reported.len(), 1);
}

/// Guards against a late answer whose cause nobody finds: the line has the time of the upstream
/// next to its usual one.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_leads_to_a_slow_upstream() {
    let mut deployment = Deployment::start("log-late", 1, 1).await;
    deployment.request(&request("aa11")).await;
    deployment.crash(0).await;
    let machine = deployment.sides[0].node.machine;
    let slow = Behaviour { service_time: Duration::from_millis(180), ..behaviour(BOOKING) };
    deployment.sides[0].upstream = Some(deployment.start_upstream(machine, "slow", slow).await);
    let reborn = |logs: &str| !lines(logs, &["outcome=Reborn"]).is_empty();
    deployment.wait("the new life", || reborn(&deployment.logs())).await;
    deployment.request(&request("cc33")).await;
    let found = |logs: &str| !lines(logs, &["event=\"slow answer\""]).is_empty();
    deployment.wait("the line about the answer", || found(&deployment.logs())).await;
    let logs = deployment.logs();
    let asked = &lines(&logs, &["event=request", "request=cc33"])[0];
    let late = &lines(&logs, &["event=\"slow answer\"", field(asked, "flow")])[0];
    let micros: u64 = field(late, "time").trim_end_matches(" us").parse().unwrap();
    assert!((180_000..400_000).contains(&micros), "{late}");
}

/// Guards against an operator who cannot see what a process believes without its logs.
#[tokio::test(flavor = "multi_thread")]
async fn a_dump_shows_members_flows_and_the_upstream() {
    let deployment = Deployment::start("dump", 1, 2).await;
    let mut board = deployment.callers.open(booking()).await.unwrap();
    board.request("first", PATIENCE).await.unwrap();
    let owner = deployment.ran("first")[0];
    let dump = async |machine: Machine| {
        let (status, text) = fetch(&Local, machine.metrics(), "/v1/dump").await.unwrap();
        assert_eq!(status, 200);
        serde_json::from_str::<serde_json::Value>(&text).unwrap()
    };
    let balancer = dump(deployment.balancers[0].machine).await;
    assert_eq!(balancer["ready"], true);
    assert_eq!(balancer["members"].as_array().unwrap().len(), 2);
    let machine = deployment.sides[owner].node.machine;
    assert_eq!(balancer["flows"][machine.segments().to_string()], 1);
    let agent = dump(machine).await;
    assert_eq!(agent["upstream"]["id"], format!("upstream-{owner}"));
    assert_eq!(agent["load"]["open"], 1);
    // The sizes are updated once a second.
    let shown = async || {
        let metrics = fetch(&Local, machine.metrics(), "/metrics").await.unwrap().1;
        metrics.contains("yuccacroft_agent_open_flows 1")
    };
    let begun = Instant::now();
    while !shown().await {
        assert!(begun.elapsed() < Duration::from_secs(5), "no metric of open flows");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
