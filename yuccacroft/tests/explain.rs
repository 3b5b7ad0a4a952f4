//! Tests of the command `explain` with state dumps, and with a state over HTTP.

use {
    axum::{Json, Router, http::Uri},
    std::{
        collections::BTreeMap,
        fs,
        net::{SocketAddr, SocketAddrV4},
        path::{Path, PathBuf},
        process::Command,
        sync::{Arc, Mutex},
    },
    yuccacroft_core::{
        flow::AgentId,
        ids::{Domain, Incarnation, Instance},
        pool::{AgentEntry, AgentLoad, AgentPhase, Measures, snapshot::MemberState},
        requirements::Requirements,
        route::{Priority, Route, RouteShare, ServiceName, TrafficClass},
        spill_over::{Inputs, Plan, Share},
        time::Span,
        units::{Connections, Percent, Slots},
    },
    yuccacroft_segment::dump::{Member, Placement},
};

/// If this environment variable is set, the tests rewrite the golden files instead of comparing
/// them.
const REWRITE_VARIABLE: &str = "YUCCACROFT_REWRITE_SESSIONS";
const FLOW: [&str; 4] = ["--caller", "100.64.0.9:40000", "--address", "198.18.0.1:443"];

/// A state dump in a temporary file.
struct Dump(PathBuf);

impl Dump {
    fn new(name: &str, text: &str) -> Self {
        let file = format!("yuccacroft-explain-{name}-{}.json", std::process::id());
        let file = std::env::temp_dir().join(file);
        fs::write(&file, text).unwrap();
        Self(file)
    }

    fn of(name: &str, state: &Placement) -> Self {
        Self::new(name, &serde_json::to_string(state).unwrap())
    }

    fn explain(&self, arguments: &[&str]) -> (i32, String, String) {
        explain(&[&["--dump", self.0.to_str().unwrap()], arguments].concat())
    }
}

impl Drop for Dump {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Runs the command and returns its exit status, standard output and standard error.
fn explain(arguments: &[&str]) -> (i32, String, String) {
    let mut process = Command::new(env!("CARGO_BIN_EXE_yuccacroft"));
    let output = process.arg("explain").args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

fn assert_golden(name: &str, text: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/explain").join(name);
    if std::env::var_os(REWRITE_VARIABLE).is_some() {
        fs::write(&file, text).unwrap();
        return;
    }
    assert_eq!(text, fs::read_to_string(&file).unwrap_or_default(), "{name}");
}

/// Returns a member with this number of requests and this wait in milliseconds.
fn member(number: u8, domain: &str, active: u32, wait: u64) -> Member {
    let address = SocketAddrV4::new([10, 0, 0, number].into(), 7000);
    let agent_id = AgentId { instance: Instance::new(address), incarnation: Incarnation::new(1) };
    let load = AgentLoad {
        accepting: true,
        active,
        busy: Percent::new(active * 100),
        service_time: Span::from_millis(30),
        ..AgentLoad::default()
    };
    let room = Some(Connections::new(12));
    let wait = Span::from_millis(wait);
    let state = MemberState {
        entry: AgentEntry {
            agent_id,
            entry_version: 1,
            target: ServiceName::new("booking").target(),
            domain: Domain::new(domain).unwrap(),
            slots: Slots::new(2),
            phase: AgentPhase::Ready,
            succeeds: false,
        },
        load: Some(load),
        load_age: Some(Span::from_millis(120)),
        measures: Some(Measures { wait, room, ..Measures::default() }),
        measures_age: Some(Span::from_millis(120)),
        ejection: None,
        answer_delay: Some(Span::from_millis(2)),
        unanswered: None,
        pending_offers: 0,
        is_evacuated: false,
    };
    Member { state, listed: true, reach: "Good".into() }
}

/// Returns the state of a balancer in `a`, whose members are full. Of those in `b` one drains and two
/// have room, and `c` is evacuated.
fn state() -> Placement {
    let target = ServiceName::new("booking").target();
    let class = TrafficClass {
        priority: Priority::new(1),
        objective: Span::from_millis(250),
        timeout: Span::from_millis(1_200),
    };
    let shares = [RouteShare { target, weight: 1 }].into();
    let address = SocketAddrV4::new([198, 18, 0, 1].into(), 443);
    let inputs = Inputs {
        home_wait: Some(Span::from_millis(90)),
        remote_wait: Some(Span::from_millis(8)),
        home_utilization: 0.95,
        room: 2.5,
    };
    let receivers = [Domain::new("b").unwrap()].into();
    let mut members = vec![
        member(1, "a", 2, 45),
        member(2, "a", 2, 60),
        member(3, "b", 1, 0),
        member(4, "b", 0, 0),
        member(5, "b", 0, 0),
        member(6, "c", 0, 0),
    ];
    members[4].state.entry.phase = AgentPhase::Draining;
    members[5].state.is_evacuated = true;
    Placement {
        domain: Domain::new("a").unwrap(),
        requirements: Requirements { health: true, places: true },
        route_table: BTreeMap::from([(address, Route { shares, class })]),
        spill_over: BTreeMap::from([(
            target,
            Plan { share: Share::new(1_000), receivers, inputs },
        )]),
        members,
    }
}

/// Guards against an explanation that changes its form or its result unseen.
#[test]
fn a_placed_flow_is_explained() {
    let dump = Dump::of("placed", &state());
    let (status, out, errors) = dump.explain(&FLOW);
    assert_eq!((status, &*errors), (0, ""));
    assert_golden("leaves.txt", &out);
    let (status, out, errors) = dump.explain(&[&FLOW[..], &["--json"]].concat());
    assert_eq!((status, &*errors), (0, ""));
    assert_golden("leaves.json", &out);
    let mut state = state();
    state.spill_over.clear();
    let dump = Dump::of("by-cost", &state);
    let (status, out, _) =
        dump.explain(&["--caller", "100.64.0.9:40000", "--service", "booking", "--domain", "a"]);
    assert_eq!(status, 0);
    assert_golden("by-cost.txt", &out);
}

/// Guards against a flow without an agent that is taken for a placed one.
#[test]
fn a_flow_without_an_agent_exits_with_status_one() {
    let mut state = state();
    state.members.iter_mut().for_each(|member| member.state.is_evacuated = true);
    let dump = Dump::of("nowhere", &state);
    let (status, out, errors) = dump.explain(&FLOW);
    assert_eq!((status, &*errors), (1, "not placed: all domains of the service are evacuated\n"));
    assert_golden("nowhere.txt", &out);
}

/// Guards against bad input that is taken for a flow that goes nowhere, and against errors that do not
/// name the cause.
#[test]
fn bad_input_exits_with_status_two() {
    let dump = Dump::of("faults", &state());
    let caller = &FLOW[..2];
    let cases: [(&[&str], &str); 6] = [
        (&FLOW[2..], "expected --caller"),
        (caller, "expected either --address or --service"),
        (&["--caller", "here", "--service", "booking"], "--caller here: "),
        (
            &["--caller", "100.64.0.9:40000", "--address", "198.18.0.9:443"],
            "no route to 198.18.0.9:443",
        ),
        (&["--caller", "100.64.0.9:40000", "--service", "packs"], "no route to the service packs"),
        (
            &["--caller", "100.64.0.9:40000", "--service", "booking", "--domain", "b"],
            "the state is of a balancer in a, which gets no flow of b",
        ),
    ];
    for (arguments, cause) in cases {
        let (status, out, errors) = dump.explain(arguments);
        assert_eq!((status, &*out), (2, ""), "{arguments:?}: {errors}");
        assert!(errors.starts_with(cause), "{arguments:?}: {errors}");
    }
    let mut faulty = serde_json::to_value(state()).unwrap();
    faulty["members"][0]["ejection"] = serde_json::json!({ "step": 9, "peers": 0 });
    for (text, cause) in [
        ("{}", "not a state dump of a balancer: "),
        (&*faulty.to_string(), "expected a step of an ejection"),
    ] {
        let (status, out, errors) = Dump::new("faulty", text).explain(&FLOW);
        assert_eq!((status, &*out), (2, ""), "{errors}");
        assert!(errors.starts_with(cause), "{errors}");
    }
    let (status, _, errors) = explain(&FLOW);
    assert_eq!((status, &*errors), (2, "expected either --admin or --dump\n"));
    let arguments = [&["--admin", "127.0.0.1:1"], &FLOW[..]].concat();
    let (status, _, errors) = explain(&arguments);
    assert!(status == 2 && errors.contains("127.0.0.1:1"), "{errors}");
}

/// Guards against an explanation from the live state that does more than to read the dump.
#[tokio::test(flavor = "multi_thread")]
async fn the_live_state_is_only_read() {
    let calls: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = calls.clone();
    let routes = Router::new().fallback(async move |uri: Uri| {
        seen.lock().unwrap().push(uri.to_string());
        Json(state())
    });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let server = tokio::spawn(async move { axum::serve(listener, routes).await });
    let address = address.to_string();
    let run = move || explain(&[&["--admin", &address], &FLOW[..]].concat());
    let (status, out, errors) = tokio::task::spawn_blocking(run).await.unwrap();
    server.abort();
    assert_eq!((status, &*errors), (0, ""));
    assert_golden("leaves.txt", &out);
    assert_eq!(*calls.lock().unwrap(), ["/v1/dump"]);
}
