//! Tests that the logs alone lead from a failed request to its cause; `docs/OPERATIONS.md` shows
//! the same steps.

use {
    crate::deployment::{
        BOOKING_SERVICE, Deployment, REQUEST_TIMEOUT, booking_address, default_behaviour,
    },
    std::{
        net::SocketAddrV4,
        time::{Duration, Instant},
    },
    yuccacroft_core::{ids::Instance, pool::explanation::Outcome, time::Span},
    yuccacroft_emulator::{
        caller::Failure, machine::Machine, operator::fetch, upstream::Behaviour,
    },
    yuccacroft_segment::{
        dump::Placement,
        explain::{Destination, Question},
        host::SystemHost,
    },
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

/// Waits until the metrics of a machine contain a line. They are updated once a second.
async fn wait_for_metric(machine: Machine, line: &str) {
    let started_at = Instant::now();
    loop {
        let metrics = fetch(&SystemHost, machine.metrics(), "/metrics").await.unwrap().1;
        if metrics.contains(line) {
            return;
        }
        assert!(started_at.elapsed() < Duration::from_secs(5), "no {line} in {metrics}");
        tokio::time::sleep(Duration::from_millis(100)).await;
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
    let time = micros(slow_line, "time");
    assert!((180_000..400_000).contains(&time), "{slow_line}");
}

/// Returns the value of a field of a log line in microseconds.
fn micros(line: &str, name: &str) -> u64 {
    field(line, name)
        .parse::<Span>()
        .unwrap_or_else(|error| panic!("{error} in {line}"))
        .as_micros()
}

/// Ends an agent and its upstream without notice.
async fn crash_machine(deployment: &mut Deployment, index: usize) {
    deployment.agents[index].node.kill();
    deployment.crash_upstream(index).await;
}

/// Waits for a line about a reset with this cause and returns it.
async fn reset_line(deployment: &Deployment, cause: &str) -> String {
    let (event, cause) = ("event=\"not forwarded\"", format!("cause=\"{cause}\""));
    let texts = [event, &cause, "outcome=reset"];
    let is_logged = || !lines(&deployment.logs(), &texts).is_empty();
    deployment.wait_until("the line about the reset", is_logged).await;
    lines(&deployment.logs(), &texts).swap_remove(0)
}

/// Guards against resets of silent owners whose lines do not show how long the owner was silent,
/// whether others answered, and how old the balancer's knowledge was.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_reset_to_a_silent_owner() {
    let mut deployment = Deployment::start("log-silent", 1, 2).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    board.request("first", REQUEST_TIMEOUT).await.unwrap();
    let owner = deployment.upstreams_that_ran("first")[0];
    let address = deployment.agents[owner].node.machine.segments().to_string();
    // The restarted balancer learns the owner by a search. Before, it only knew the offer.
    deployment.balancers[0].restart();
    deployment.wait_for_readiness(0, true).await;
    board.request("second", REQUEST_TIMEOUT).await.unwrap();
    crash_machine(&mut deployment, owner).await;
    let is_lost = |logs: &str| !lines(logs, &["event=\"reach changed\"", "reach=Lost"]).is_empty();
    deployment.wait_until("the loss of the agent", || is_lost(&deployment.logs())).await;
    assert_eq!(board.request("third", REQUEST_TIMEOUT).await.unwrap_err(), Failure::Reset);
    let line = reset_line(&deployment, "owner lost").await;
    assert_eq!(field(&line, "owner"), address);
    assert_eq!((field(&line, "good"), field(&line, "lost")), ("1", "1"), "{line}");
    assert!(micros(&line, "owner_silence") >= 1_000_000, "{line}");
    assert!(micros(&line, "owner_last_message") >= micros(&line, "owner_silence"), "{line}");
    assert!(field(&line, "owner_unanswered").parse::<u32>().unwrap() >= 2, "{line}");
    assert!(micros(&line, "members_age") < micros(&line, "running"), "{line}");
    assert!(micros(&line, "version_age") < micros(&line, "running"), "{line}");
}

/// Guards against searches whose lines do not tell denials from silence: the line must name the
/// agent that was excluded for its silence.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_reset_to_the_answers_of_a_search() {
    let mut deployment = Deployment::start("log-search", 1, 2).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    board.request("first", REQUEST_TIMEOUT).await.unwrap();
    let owner = deployment.upstreams_that_ran("first")[0];
    let address = deployment.agents[owner].node.machine.segments().to_string();
    crash_machine(&mut deployment, owner).await;
    deployment.balancers[0].restart();
    deployment.wait_for_readiness(0, true).await;
    assert_eq!(board.request("second", REQUEST_TIMEOUT).await.unwrap_err(), Failure::Reset);
    let line = reset_line(&deployment, "all agents denied").await;
    assert_eq!((field(&line, "denied"), field(&line, "excluded_lost")), ("1", "1"), "{line}");
    assert_eq!(field(&line, "lost_agents"), address, "{line}");
    assert_eq!(field(&line, "unanswered"), "0", "{line}");
    assert!(micros(&line, "longest_silence") >= 1_000_000, "{line}");
    assert!(micros(&line, "oldest_denial") <= micros(&line, "search_time"), "{line}");
}

/// Guards against searches without a result whose lines do not name the agents that did not answer.
#[tokio::test(flavor = "multi_thread")]
async fn logs_trace_a_dropped_segment_to_a_search_without_end() {
    let mut deployment = Deployment::start("log-timeout", 1, 1).await;
    let mut board = deployment.callers.open(booking_address()).await.unwrap();
    board.request("first", REQUEST_TIMEOUT).await.unwrap();
    let address = deployment.agents[0].node.machine.segments().to_string();
    crash_machine(&mut deployment, 0).await;
    deployment.balancers[0].restart();
    board.request("second", REQUEST_TIMEOUT).await.unwrap_err();
    let texts = ["event=\"not forwarded\"", "cause=\"search without end\""];
    let is_logged = || !lines(&deployment.logs(), &texts).is_empty();
    deployment.wait_until("the line about the search", is_logged).await;
    let line = &lines(&deployment.logs(), &texts)[0];
    assert_eq!(field(line, "outcome"), "drop");
    assert_eq!(field(line, "denied"), "0", "{line}");
    // An answer of no agent at all says nothing about a single one.
    assert_eq!(field(line, "silence_conclusive"), "false", "{line}");
    assert_eq!(field(line, "unanswered_agents"), address, "{line}");
    assert!(micros(line, "search_time") >= 3_000_000, "{line}");
}

/// Guards against a balancer whose messages do not show their kind: the line about traffic and the
/// metrics of both roles must show them.
#[tokio::test(flavor = "multi_thread")]
async fn logs_and_metrics_show_messages_by_kind() {
    let deployment = Deployment::start("log-traffic", 1, 1).await;
    deployment.request("first").await;
    let texts = ["event=traffic", "offer:", "took:", "ping:", "load:", "caller:"];
    let is_logged = || !lines(&deployment.logs(), &texts).is_empty();
    deployment.wait_until("the line about traffic", is_logged).await;
    let line = &lines(&deployment.logs(), &texts)[0];
    let number = |name: &str| field(line, name).parse::<u64>().unwrap();
    let totals = |name: &str| {
        let volumes = field(line, name).split(' ').map(|entry| entry.split_once(':').unwrap().1);
        let volumes = volumes.map(|volume| volume.split_once('/').unwrap());
        volumes.fold((0, 0), |(messages, bytes), (more_messages, more_bytes)| {
            let parse = |text: &str| text.parse::<u64>().unwrap();
            (messages + parse(more_messages), bytes + parse(more_bytes))
        })
    };
    assert_eq!(totals("sent"), (number("sent_messages"), number("sent_bytes")), "{line}");
    let received = (number("received_messages"), number("received_bytes"));
    assert_eq!(totals("received"), received, "{line}");
    assert!(number("responses") >= 1, "{line}");
    assert!(micros(line, "response_median") <= micros(line, "response_max"), "{line}");
    for (machine, counter) in [
        (
            deployment.balancers[0].machine,
            "yuccacroft_balancer_messages_total{direction=\"sent\",kind=\"offer\"} 1",
        ),
        (
            deployment.agents[0].node.machine,
            "yuccacroft_agent_messages_total{direction=\"received\",kind=\"offer\"} 1",
        ),
    ] {
        wait_for_metric(machine, counter).await;
    }
}

/// Guards against state dumps that do not show what a process knows about agents, flows and its
/// upstream, or from which the placement of a flow cannot be explained.
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
    let state: Placement = serde_json::from_value(balancer).unwrap();
    let question = Question {
        caller: SocketAddrV4::new([100, 64, 0, 1].into(), 40_000),
        destination: Destination::Address(booking_address()),
        domain: None,
    };
    let answer = question.answer(state).unwrap();
    let agents = deployment.agents.iter().map(|agent| agent.node.machine.segments());
    let mut agents = agents.map(|address| Outcome::Placed(Instance::new(address)));
    assert!(agents.any(|outcome| outcome == answer.explanation.outcome), "{answer:?}");
    let agent = dump(machine).await;
    assert_eq!(agent["upstream"]["id"], format!("upstream-{owner}"));
    assert_eq!(agent["load"]["open"], 1);
    wait_for_metric(machine, "yuccacroft_agent_open_flows 1").await;
}
