//! The operators' commands against running processes.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod support;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod transcript;

use {
    http::{Method, StatusCode},
    serde_json::Value,
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::{Command, Stdio},
    },
    support::{System, TOKEN},
    transcript::operator::Operator,
};

/// The commands of one operator with files of their own.
struct Shell {
    admin: SocketAddr,
    folder: PathBuf,
}

impl Shell {
    fn new(name: &str, admin: SocketAddr) -> Self {
        let folder = format!("yuccacroft-commands-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("token"), format!("{TOKEN}\n")).unwrap();
        Self { admin, folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs a command; returns its exit status, output and errors.
    async fn run(&self, command: &[&str], arguments: &[&str]) -> (i32, String, String) {
        let mut process = Command::new(env!("CARGO_BIN_EXE_yuccacroft"));
        process.args(command).arg("--admin").arg(self.admin.to_string());
        process.arg("--token-file").arg(self.folder.join("token")).args(arguments);
        process.stdin(Stdio::null());
        let output = tokio::task::spawn_blocking(move || process.output().unwrap()).await.unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

async fn start(name: &str) -> (System, Shell) {
    let system = System::start().await;
    let operator = Operator::new("operator", system.admins[0], Some(TOKEN));
    let all = |members: &Value| members.as_array().is_some_and(|members| members.len() == 3);
    operator.wait_for("/v1/members", all).await;
    let shell = Shell::new(name, system.admins[0]);
    (system, shell)
}

/// Guards against an operator who takes a conflict for success, or a success for a failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_change_on_the_same_revision_has_status_two() {
    let (_system, shell) = start("conflict").await;
    let (status, text, _) = shell.run(&["contract", "get"], &["kampvuur"]).await;
    assert_eq!(status, 0);
    let first = shell.file("first.ini", &text.replace("share = 28", "share = 20"));
    let second = shell.file("second.ini", &text.replace("share = 28", "share = 24"));
    let (status, out, errors) = shell.run(&["contract", "put"], &[&first]).await;
    assert_eq!((status, &*errors), (0, ""));
    assert!(out.starts_with("accepted: kampvuur revision "), "{out}");
    let (status, out, errors) = shell.run(&["contract", "put"], &[&second]).await;
    assert_eq!((status, &*out), (2, ""));
    assert!(errors.starts_with("conflict, nothing was changed: "), "{errors}");
    assert!(errors.contains("share = 20"), "{errors}");
    let (status, out, _) = shell.run(&["contract", "list"], &[]).await;
    assert_eq!(status, 0);
    assert!(out.starts_with("kampvuur revision ") && out.contains("services booking"), "{out}");
}

/// Guards against faults and refusals that end with status 0 or change anything.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_have_status_one_and_a_clear_text() {
    let (_system, shell) = start("refusals").await;
    let (_, text, _) = shell.run(&["contract", "get"], &["kampvuur"]).await;
    let (_, body) = text.split_once('\n').unwrap();
    let plain = shell.file("plain.ini", body);
    let (status, _, errors) = shell.run(&["contract", "put"], &[&plain]).await;
    assert_eq!(status, 1);
    assert!(errors.contains("first line: expected \"; revision N\" or --base"), "{errors}");
    let faulty = shell.file("faulty.ini", &text.replace("slots = 4", "slots = 0"));
    let (status, _, errors) = shell.run(&["contract", "put"], &[&faulty]).await;
    assert_eq!(status, 1);
    assert!(errors.contains("faulty.ini: [service booking] slots: expected"), "{errors}");
    let (status, _, errors) = shell.run(&["contract", "get"], &["nobody"]).await;
    assert_eq!((status, &*errors), (1, "refused: nobody has no contract\n"));
    fs::write(shell.folder.join("token"), "a-token-that-is-wrong").unwrap();
    for command in [&["contract", "list"][..], &["dump"][..]] {
        let (status, out, errors) = shell.run(command, &[]).await;
        assert_eq!((status, &*out), (1, ""));
        assert_eq!(errors, "refused: the bearer token is missing or wrong\n");
    }
}

/// Guards against a drain of another upstream, and a dump that does not show it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_member_shows_in_the_dump() {
    let (system, shell) = start("drain").await;
    let agent = system.agents[1].to_string();
    let (status, out, errors) = shell.run(&["drain"], &[&agent]).await;
    assert_eq!((status, &*errors), (0, ""));
    assert!(out.starts_with(&format!("draining: {agent} connections 0")), "{out}");
    let operator = Operator::new("operator", system.admins[0], Some(TOKEN));
    let drained = |members: &Value| {
        let members = members.as_array().cloned().unwrap_or_default();
        members.iter().any(|m| m["instance"] == *agent && m["phase"] == "Draining")
    };
    operator.wait_for("/v1/members", drained).await;
    let (status, json, _) = shell.run(&["dump"], &["--json"]).await;
    assert_eq!(status, 0);
    let dump: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(dump["process"]["role"], "balancer");
    assert!(drained(&dump["members"]), "{json}");
    let (status, text, _) = shell.run(&["dump"], &[]).await;
    assert_eq!(status, 0);
    assert!(text.contains("role: balancer") && text.contains(&agent), "{text}");
}

/// Guards against an agent that shows its state or metrics without the token, or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_shows_its_state_and_metrics_only_with_the_token() {
    let (system, mut shell) = start("agent").await;
    let mut caller = system.caller().await;
    caller.reserve("seat-1", "two seats".into()).await.unwrap();
    shell.admin = system.agent_admins[0];
    let (status, json, _) = shell.run(&["dump"], &["--json"]).await;
    assert_eq!(status, 0);
    let dump: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(dump["process"]["role"], "agent");
    assert_eq!(dump["members"][0]["instance"], system.agents[0].to_string());
    assert_eq!(dump["holds"]["phase"], "Serving");
    let note = transcript::Transcript::default();
    for admin in [system.agent_admins[0], system.admins[0]] {
        let stranger = Operator::new("stranger", admin, None);
        let (status, _) = stranger.call(&note, Method::GET, "/metrics", Value::Null).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
    }
    let mut answered = 0;
    for &admin in &system.agent_admins {
        let operator = Operator::new("operator", admin, Some(TOKEN));
        let text = operator.text("/metrics").await;
        answered += text.matches("yuccacroft_requests_total{outcome=\"answered\"} 1").count();
    }
    assert_eq!(answered, 1);
    let text = Operator::new("operator", system.admins[0], Some(TOKEN)).text("/metrics").await;
    assert!(text.contains("yuccacroft_packets_forwarded_total"), "{text}");
}
