//! Whole sessions over separate processes, compared with the golden files in `tests/sessions`.
//!
//! `YUCCACROFT_REWRITE_SESSIONS=1 cargo test --test sessions` rewrites the files; the difference
//! is then read like any other change.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod transcript;

use {
    http::{Method, StatusCode},
    serde_json::{Value, json},
    support::{System, TOKEN},
    transcript::{Transcript, call, note_answer, note_request, operator::Operator, request},
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
    /// Starts everything and waits until all balancers know all members and these may run
    /// requests.
    async fn start(upstreams: usize, slots: u32) -> Self {
        let transcript = Transcript::default();
        let upstreams: Vec<_> =
            (0..upstreams).map(|_| transcript::upstream::Upstream::start(&transcript)).collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address()).collect();
        let system = System::start_over(&addresses, slots).await;
        for &admin in &system.admins {
            let operator = Operator::new("operator", admin, Some(TOKEN));
            let serving = |members: &Value| {
                let members = members.as_array().cloned().unwrap_or_default();
                members.iter().filter(|m| m["phase"] == "Serving").count() == addresses.len()
            };
            operator.wait_for("/v1/members", serving).await;
            let granted = |flows: &Value| {
                let flows = flows.as_array().cloned().unwrap_or_default();
                flows.iter().all(|flows| flows["report"]["allowed"] == slots)
            };
            operator.wait_for("/v1/flows", granted).await;
        }
        let operator = Operator::new("operator", system.admins[0], Some(TOKEN));
        Self { transcript, upstreams, system, operator }
    }

    fn operator(&self, name: &'static str, balancer: usize) -> Operator {
        Operator::new(name, self.system.admins[balancer], Some(TOKEN))
    }
}

/// Guards against a change in what callers and upstreams see of the first path.
#[tokio::test(flavor = "multi_thread")]
async fn first_path() {
    let session = Session::start(1, 4).await;
    let mut caller = session.system.caller().await;
    let reserve = request(Method::POST, "/reserve", RESERVE);
    call(&session.transcript, &mut caller, reserve, b"two seats").await;
    let pack = request(Method::GET, "/pack", &[]);
    call(&session.transcript, &mut caller, pack, b"").await;
    session.transcript.compare("first-path");
}

/// Guards against a refused request that runs all the same, or a refusal that callers cannot
/// tell from a failure.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request() {
    let session = Session::start(1, 1).await;
    let transcript = &session.transcript;
    let mut first = session.system.caller().await;
    let mut second = session.system.caller().await;
    transcript.note("The only slot is taken.");
    let slow = request(Method::POST, "/slow", RESERVE);
    note_request(transcript, &slow, b"two seats");
    let running = tokio::spawn(async move { first.request(slow, "two seats".into()).await });
    session.upstreams[0].received(1).await;
    transcript.note("Another request would wait past its deadline.");
    let headers = &[("idempotency-key", "seat-2"), ("yuccacroft-deadline", "200 ms")];
    let reserve = request(Method::POST, "/reserve", headers);
    let answer = call(transcript, &mut second, reserve, b"one seat").await;
    assert!(answer.proxy_status.contains("not-run"));
    transcript.note("The slot becomes free.");
    session.upstreams[0].release();
    note_answer(transcript, &running.await.unwrap().unwrap());
    transcript.compare("refused-request");
}

/// Guards against two operators who both believe that their change counts.
#[tokio::test(flavor = "multi_thread")]
async fn contract_conflict() {
    let session = Session::start(1, 4).await;
    let transcript = &session.transcript;
    let (anna, ben) = (session.operator("anna", 0), session.operator("ben", 1));
    transcript.note("Both read the same contract.");
    let (_, stored) = anna.call(transcript, Method::GET, CONTRACT_PATH, Value::Null).await;
    ben.call(transcript, Method::GET, CONTRACT_PATH, Value::Null).await;
    let text = stored["contract"].as_str().unwrap();
    let put = |share: u32, base: &Value| json!({"base": base, "contract": text.replace("share = 28", &format!("share = {share}"))});
    transcript.note("Anna is first.");
    let change = put(20, &stored["revision"]);
    let (status, _) = anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    assert_eq!(status, StatusCode::OK);
    transcript.note("Ben learns of Anna's change, and his own has no effect.");
    let change = put(24, &stored["revision"]);
    let (status, problem) = ben.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    assert_eq!(status, StatusCode::CONFLICT);
    transcript.note("Ben decides again.");
    let change = put(24, &problem["present"]["revision"]);
    let (status, _) = ben.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    assert_eq!(status, StatusCode::OK);
    transcript.note("A change without a base, and one that removes the service, are refused.");
    let change = json!({"contract": text});
    anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    let (_, now) = anna.call(transcript, Method::GET, CONTRACT_PATH, Value::Null).await;
    let key = Secret::new([7; 32]);
    let empty = format!("[customer]\nname = kampvuur\nkey = {key}\ncapacity = 28\n");
    let change = json!({"base": now["revision"], "contract": empty});
    anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    transcript.note("All faults of a contract are told at once.");
    let faulty = text.replace("slots = 4", "slots = none\ncolour = red");
    let change = json!({"base": now["revision"], "contract": faulty});
    anna.call(transcript, Method::PUT, CONTRACT_PATH, change).await;
    transcript.compare("contract-conflict");
}

/// Guards against a drain that breaks an open board or sends new work to the leaving upstream.
#[tokio::test(flavor = "multi_thread")]
async fn drain() {
    let session = Session::start(2, 4).await;
    let transcript = &session.transcript;
    let mut caller = session.system.caller().await;
    let open = request(Method::GET, "/board", &[]);
    note_request(transcript, &open, b"");
    let mut board = caller.open_stream("/board").await.unwrap();
    let line = board.next().await.unwrap().unwrap();
    transcript.message("caller receives", "a line", &http::HeaderMap::new(), &line);
    let (leaving, agent) = owner(&session).await;
    transcript.note("The operator drains the upstream behind the board.");
    let path = format!("/v1/members/{agent}/drain");
    let (status, _) = session.operator.call(transcript, Method::POST, &path, Value::Null).await;
    assert_eq!(status, StatusCode::OK);
    transcript.note("The board goes on.");
    session.upstreams[leaving].update_board(1);
    let line = board.next().await.unwrap().unwrap();
    transcript.message("caller receives", "a line", &http::HeaderMap::new(), &line);
    for number in 0..8 {
        let mut other = session.system.caller().await;
        if number == 0 {
            transcript.note("New callers reach the other upstream.");
            let reserve = request(Method::POST, "/reserve", RESERVE);
            call(transcript, &mut other, reserve, b"two seats").await;
        }
    }
    let holds = session.operator.wait_for("/v1/flows", |flows| flows.is_array()).await;
    let report = holds.as_array().unwrap().iter().find(|flows| flows["instance"] == agent);
    assert_eq!(report.unwrap()["report"]["connections"], 1, "{holds}");
    transcript.compare("drain");
}

/// Finds the upstream that holds the only request, an open board that has given its slot back,
/// and the address of its agent.
async fn owner(session: &Session) -> (usize, String) {
    let holds =
        |flows: &&Value| flows["report"]["requests"] == 1 && flows["report"]["running"] == 0;
    let seen = |flows: &Value| flows.as_array().is_some_and(|all| all.iter().any(|f| holds(&f)));
    let flows = session.operator.wait_for("/v1/flows", seen).await;
    let owner = flows.as_array().unwrap().iter().find(holds).unwrap();
    let agent = owner["instance"].as_str().unwrap().to_owned();
    let index = session.system.agents.iter().position(|address| address.to_string() == agent);
    (index.unwrap(), agent)
}

/// Guards against a request that is called "not run" although its upstream had it.
#[tokio::test(flavor = "multi_thread")]
async fn lost_upstream() {
    let mut session = Session::start(1, 4).await;
    let transcript = session.transcript.clone();
    let mut caller = session.system.caller().await;
    let slow = request(Method::POST, "/slow", RESERVE);
    note_request(&transcript, &slow, b"two seats");
    let running = tokio::spawn(async move { caller.request(slow, "two seats".into()).await });
    session.upstreams[0].received(1).await;
    transcript.note("The upstream ends with the request in progress.");
    session.upstreams[0].kill();
    let answer = running.await.unwrap().unwrap();
    note_answer(&transcript, &answer);
    assert!(answer.proxy_status.contains("unknown"));
    transcript.compare("lost-upstream");
}

/// Guards against an administration interface that shows or changes anything without the token.
#[tokio::test(flavor = "multi_thread")]
async fn administration_without_token() {
    let session = Session::start(1, 4).await;
    let transcript = &session.transcript;
    let stranger = Operator::new("stranger", session.system.admins[0], None);
    let guesser = Operator::new("guesser", session.system.admins[0], Some("a-token-that-is-wrong"));
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
        for operator in [&stranger, &guesser] {
            let call = operator.call(transcript, method.clone(), path, body.clone());
            assert_eq!(call.await.0, StatusCode::UNAUTHORIZED, "{method} {path}");
        }
    }
    transcript.note("With the token the contract and the member are as before.");
    let operator = &session.operator;
    operator.call(transcript, Method::GET, "/v1/contracts", Value::Null).await;
    operator.call(transcript, Method::GET, "/v1/members", Value::Null).await;
    transcript.compare("administration-without-token");
}
