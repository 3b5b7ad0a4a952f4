//! Compares transcripts of whole sessions through separate processes with the golden files in
//! `tests/sessions`.
//!
//! `YUCCACROFT_REWRITE_SESSIONS=1 cargo test --test sessions` rewrites the files. Changes to them
//! are reviewed like changes to code.

#[allow(dead_code, reason = "each test program uses only a part of it")]
mod support;
#[allow(dead_code, reason = "each test program uses only a part of it")]
mod transcript;

use {
    http::{Method, StatusCode},
    serde_json::{Value, json},
    support::{System, TOKEN},
    transcript::{Transcript, call, operator::Operator, record_answer, record_request, request},
    yuccacroft_core::key::Secret,
};

const CONTRACT_PATH: &str = "/v1/contracts/kampvuur";
const RESERVE: &[(&str, &str)] = &[("idempotency-key", "seat-1")];

struct Session {
    transcript: Transcript,
    upstreams: Vec<transcript::upstream::Upstream>,
    system: System,
    operator: Operator,
}

impl Session {
    /// Starts the system and waits until every balancer knows all members and their granted slots.
    async fn start(upstreams: usize, slots: u32) -> Self {
        let transcript = Transcript::default();
        let upstreams: Vec<_> =
            (0..upstreams).map(|_| transcript::upstream::Upstream::start(&transcript)).collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address()).collect();
        let system = System::with_upstreams(&addresses, slots).await;
        for &admin in &system.admins {
            let operator = Operator::new("operator", admin, Some(TOKEN));
            let all_serving = |members: &Value| {
                let members = members.as_array().cloned().unwrap_or_default();
                members.iter().filter(|m| m["phase"] == "Serving").count() == addresses.len()
            };
            operator.wait_for("/v1/members", all_serving).await;
            let all_granted = |flows: &Value| {
                let flows = flows.as_array().cloned().unwrap_or_default();
                flows.iter().all(|flows| flows["report"]["allowed"] == slots)
            };
            operator.wait_for("/v1/flows", all_granted).await;
        }
        let operator = Operator::new("operator", system.admins[0], Some(TOKEN));
        Self { transcript, upstreams, system, operator }
    }

    fn operator(&self, name: &'static str, balancer: usize) -> Operator {
        Operator::new(name, self.system.admins[balancer], Some(TOKEN))
    }
}

/// Guards against unintended changes to the messages that callers and upstreams see for a request
/// and a download.
#[tokio::test(flavor = "multi_thread")]
async fn request_and_download() {
    let session = Session::start(1, 4).await;
    let mut caller = session.system.caller().await;
    let reserve = request(Method::POST, "/reserve", RESERVE);
    call(&session.transcript, &mut caller, reserve, b"two seats").await;
    let pack = request(Method::GET, "/pack", &[]);
    call(&session.transcript, &mut caller, pack, b"").await;
    session.transcript.assert_golden("first-path");
}

/// Guards against a refused request that runs anyway, and against a refusal that callers cannot
/// distinguish from a failure.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request() {
    let session = Session::start(1, 1).await;
    let transcript = &session.transcript;
    let mut first = session.system.caller().await;
    let mut second = session.system.caller().await;
    transcript.add_comment("The only slot is taken.");
    let slow = request(Method::POST, "/slow", RESERVE);
    record_request(transcript, &slow, b"two seats");
    let running = tokio::spawn(async move { first.request(slow, "two seats".into()).await });
    session.upstreams[0].wait_for_requests(1).await;
    transcript.add_comment("Another request would wait past its deadline.");
    let headers = &[("idempotency-key", "seat-2"), ("yuccacroft-deadline", "200 ms")];
    let reserve = request(Method::POST, "/reserve", headers);
    let answer = call(transcript, &mut second, reserve, b"one seat").await;
    assert!(answer.proxy_status.contains("not-run"));
    transcript.add_comment("The slot becomes free.");
    session.upstreams[0].release();
    record_answer(transcript, &running.await.unwrap().unwrap());
    transcript.assert_golden("refused-request");
}

/// Guards against two concurrent changes of one contract that both appear to succeed.
#[tokio::test(flavor = "multi_thread")]
async fn contract_conflict() {
    let session = Session::start(1, 4).await;
    let transcript = &session.transcript;
    let (anna, ben) = (session.operator("anna", 0), session.operator("ben", 1));
    transcript.add_comment("Both read the same contract.");
    let (_, stored) = anna.call(transcript, Method::GET, CONTRACT_PATH, Value::Null).await;
    ben.call(transcript, Method::GET, CONTRACT_PATH, Value::Null).await;
    let text = stored["contract"].as_str().unwrap();
    let put = |share: u32, base: &Value| json!({"base": base, "contract": text.replace("share = 28", &format!("share = {share}"))});
    transcript.add_comment("Anna is first.");
    let change = put(20, &stored["revision"]);
    let (status, _) = anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    assert_eq!(status, StatusCode::OK);
    transcript.add_comment("Ben learns of Anna's change, and his own has no effect.");
    let change = put(24, &stored["revision"]);
    let (status, problem) = ben.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    assert_eq!(status, StatusCode::CONFLICT);
    transcript.add_comment("Ben decides again.");
    let change = put(24, &problem["present"]["revision"]);
    let (status, _) = ben.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    assert_eq!(status, StatusCode::OK);
    transcript
        .add_comment("A change without a base, and one that removes the service, are refused.");
    let change = json!({"contract": text});
    anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    let (_, current) = anna.call(transcript, Method::GET, CONTRACT_PATH, Value::Null).await;
    let key = Secret::new([7; 32]);
    let without_service = format!("[customer]\nname = kampvuur\nkey = {key}\ncapacity = 28\n");
    let change = json!({"base": current["revision"], "contract": without_service});
    anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    transcript.add_comment("All faults of a contract are told at once.");
    let faulty = text.replace("slots = 4", "slots = none\ncolour = red");
    let change = json!({"base": current["revision"], "contract": faulty});
    anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    transcript.assert_golden("contract-conflict");
}

/// Number of callers that connect while an upstream drains.
const NEW_CALLERS: u64 = 8;

/// Guards against a drain that breaks an open board or sends new work to the draining upstream.
#[tokio::test(flavor = "multi_thread")]
async fn drain() {
    let session = Session::start(2, 4).await;
    let transcript = &session.transcript;
    let mut caller = session.system.caller().await;
    let open = request(Method::GET, "/board", &[]);
    record_request(transcript, &open, b"");
    let mut board = caller.open_stream("/board").await.unwrap();
    let line = board.next().await.unwrap().unwrap();
    transcript.add_message("caller receives", "a line", &http::HeaderMap::new(), &line);
    let (draining, agent) = find_owner(&session).await;
    transcript.add_comment("The operator drains the upstream behind the board.");
    let path = format!("/v1/members/{agent}/drain");
    let (status, _) = session.operator.call(transcript, Method::POST, &path, Value::Null).await;
    assert_eq!(status, StatusCode::OK);
    transcript.add_comment("The board goes on.");
    session.upstreams[draining].update_board(1);
    let line = board.next().await.unwrap().unwrap();
    transcript.add_message("caller receives", "a line", &http::HeaderMap::new(), &line);
    let mut others = Vec::new();
    for number in 0..NEW_CALLERS {
        let mut other = session.system.caller().await;
        if number == 0 {
            transcript.add_comment("New callers reach the other upstream.");
            let reserve = request(Method::POST, "/reserve", RESERVE);
            call(transcript, &mut other, reserve, b"two seats").await;
        }
        others.push(other);
    }
    // The reports are complete once they have the connections of all callers, which stay open.
    let connections = |flows: &Value| {
        let reports = flows.as_array().into_iter().flatten();
        reports.filter_map(|flows| flows["report"]["connections"].as_u64()).sum::<u64>()
    };
    let is_complete = |flows: &Value| connections(flows) == NEW_CALLERS + 1;
    let flows = session.operator.wait_for("/v1/flows", is_complete).await;
    let report = flows.as_array().unwrap().iter().find(|flows| flows["instance"] == agent);
    assert_eq!(report.unwrap()["report"]["connections"], 1, "{flows}");
    transcript.assert_golden("drain");
}

/// Returns the index of the upstream that holds the only open request and the address of its agent.
/// The request is a board, which has released its slot.
async fn find_owner(session: &Session) -> (usize, String) {
    let holds_board =
        |flows: &&Value| flows["report"]["requests"] == 1 && flows["report"]["running"] == 0;
    let is_reported =
        |flows: &Value| flows.as_array().is_some_and(|all| all.iter().any(|f| holds_board(&f)));
    let flows = session.operator.wait_for("/v1/flows", is_reported).await;
    let owner = flows.as_array().unwrap().iter().find(holds_board).unwrap();
    let agent = owner["instance"].as_str().unwrap().to_owned();
    let index = session.system.agents.iter().position(|address| address.to_string() == agent);
    (index.unwrap(), agent)
}

/// Guards against reporting a request as not run although its upstream received it.
#[tokio::test(flavor = "multi_thread")]
async fn lost_upstream() {
    let mut session = Session::start(1, 4).await;
    let transcript = session.transcript.clone();
    let mut caller = session.system.caller().await;
    let slow = request(Method::POST, "/slow", RESERVE);
    record_request(&transcript, &slow, b"two seats");
    let running = tokio::spawn(async move { caller.request(slow, "two seats".into()).await });
    session.upstreams[0].wait_for_requests(1).await;
    transcript.add_comment("The upstream ends with the request in progress.");
    session.upstreams[0].kill();
    let answer = running.await.unwrap().unwrap();
    record_answer(&transcript, &answer);
    assert!(answer.proxy_status.contains("unknown"));
    transcript.assert_golden("lost-upstream");
}

/// Guards against an administration interface that discloses or changes anything without the token.
#[tokio::test(flavor = "multi_thread")]
async fn administration_without_token() {
    let session = Session::start(1, 4).await;
    let transcript = &session.transcript;
    let without_token = Operator::new("stranger", session.system.admins[0], None);
    let with_wrong_token =
        Operator::new("guesser", session.system.admins[0], Some("a-token-that-is-wrong"));
    let drain = format!("/v1/members/{}/drain", session.system.agents[0]);
    let put = json!({"base": "0", "force": true, "contract": ""});
    let calls = [
        (Method::GET, "/v1/health", Value::Null),
        (Method::GET, "/v1/version", Value::Null),
        (Method::GET, "/v1/contracts", Value::Null),
        (Method::GET, CONTRACT_PATH, Value::Null),
        (Method::PUT, CONTRACT_PATH, put),
        (Method::GET, "/v1/members", Value::Null),
        (Method::POST, &drain, Value::Null),
        (Method::GET, "/v1/flows", Value::Null),
        (Method::GET, "/v1/dump", Value::Null),
        (Method::GET, "/v1/dump.txt", Value::Null),
        (Method::GET, "/metrics", Value::Null),
        (Method::GET, "/nothing", Value::Null),
    ];
    for (method, path, body) in calls {
        for operator in [&without_token, &with_wrong_token] {
            let call = operator.call(transcript, method.clone(), path, body.clone());
            assert_eq!(call.await.0, StatusCode::UNAUTHORIZED, "{method} {path}");
        }
    }
    transcript.add_comment("With the token the contract and the member are as before.");
    let operator = &session.operator;
    operator.call(transcript, Method::GET, "/v1/contracts", Value::Null).await;
    operator.call(transcript, Method::GET, "/v1/members", Value::Null).await;
    transcript.assert_golden("administration-without-token");
}
