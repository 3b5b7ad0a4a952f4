//! Tests of the operator commands against running processes.

#[allow(dead_code, reason = "each test program uses only a part of it")]
mod support;
#[allow(dead_code, reason = "each test program uses only a part of it")]
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

/// Runs operator commands against one administration interface, with files in a temporary folder.
struct CommandRunner {
    admin: SocketAddr,
    folder: PathBuf,
}

impl CommandRunner {
    fn new(name: &str, admin: SocketAddr) -> Self {
        let folder = format!("yuccacroft-commands-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("token"), format!("{TOKEN}\n")).unwrap();
        Self { admin, folder }
    }

    /// Writes a file and returns its path.
    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs a command and returns its exit status, standard output and standard error.
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

impl Drop for CommandRunner {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts the system and waits until the first balancer knows all three members.
async fn start(name: &str) -> (System, CommandRunner) {
    let system = System::start().await;
    let operator = Operator::new("operator", system.admins[0], Some(TOKEN));
    let has_all = |members: &Value| members.as_array().is_some_and(|members| members.len() == 3);
    operator.wait_for("/v1/members", has_all).await;
    let runner = CommandRunner::new(name, system.admins[0]);
    (system, runner)
}

/// Guards against an exit status or text that presents a conflict as a success or the reverse.
#[tokio::test(flavor = "multi_thread")]
async fn conflicting_change_exits_with_status_two() {
    let (_system, runner) = start("conflict").await;
    let (status, text, _) = runner.run(&["contract", "get"], &["kampvuur"]).await;
    assert_eq!(status, 0);
    let first = runner.write_file("first.ini", &text.replace("share = 28", "share = 20"));
    let second = runner.write_file("second.ini", &text.replace("share = 28", "share = 24"));
    let (status, out, errors) = runner.run(&["contract", "put"], &[&first]).await;
    assert_eq!((status, &*errors), (0, ""));
    assert!(out.starts_with("accepted: kampvuur revision "), "{out}");
    let (status, out, errors) = runner.run(&["contract", "put"], &[&second]).await;
    assert_eq!((status, &*out), (2, ""));
    assert!(errors.starts_with("conflict, nothing was changed: "), "{errors}");
    assert!(errors.contains("share = 20"), "{errors}");
    let (status, out, _) = runner.run(&["contract", "list"], &[]).await;
    assert_eq!(status, 0);
    assert!(out.starts_with("kampvuur revision ") && out.contains("services booking"), "{out}");
}

/// Guards against invalid contracts and refused calls that exit with status 0 or change anything.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_exit_with_status_one_and_name_the_cause() {
    let (_system, runner) = start("refusals").await;
    let (_, text, _) = runner.run(&["contract", "get"], &["kampvuur"]).await;
    let (_, body) = text.split_once('\n').unwrap();
    let without_revision = runner.write_file("plain.ini", body);
    let (status, _, errors) = runner.run(&["contract", "put"], &[&without_revision]).await;
    assert_eq!(status, 1);
    assert!(errors.contains("first line: expected \"; revision N\" or --base"), "{errors}");
    let faulty = runner.write_file("faulty.ini", &text.replace("slots = 4", "slots = 0"));
    let (status, _, errors) = runner.run(&["contract", "put"], &[&faulty]).await;
    assert_eq!(status, 1);
    assert!(errors.contains("faulty.ini: [service booking] slots: expected"), "{errors}");
    let (status, _, errors) = runner.run(&["contract", "get"], &["nobody"]).await;
    assert_eq!((status, &*errors), (1, "refused: nobody has no contract\n"));
    fs::write(runner.folder.join("token"), "a-token-that-is-wrong").unwrap();
    for command in [&["contract", "list"][..], &["dump"][..]] {
        let (status, out, errors) = runner.run(command, &[]).await;
        assert_eq!((status, &*out), (1, ""));
        assert_eq!(errors, "refused: the bearer token is missing or wrong\n");
    }
}

/// Guards against a drain of the wrong upstream, and against a dump that does not show the drain.
#[tokio::test(flavor = "multi_thread")]
async fn dump_shows_drained_member() {
    let (system, runner) = start("drain").await;
    let agent = system.agents[1].to_string();
    let (status, out, errors) = runner.run(&["drain"], &[&agent]).await;
    assert_eq!((status, &*errors), (0, ""));
    assert!(out.starts_with(&format!("draining: {agent} connections 0")), "{out}");
    let operator = Operator::new("operator", system.admins[0], Some(TOKEN));
    let has_drained = |members: &Value| {
        let members = members.as_array().cloned().unwrap_or_default();
        members.iter().any(|m| m["instance"] == *agent && m["phase"] == "Draining")
    };
    operator.wait_for("/v1/members", has_drained).await;
    let (status, json, _) = runner.run(&["dump"], &["--json"]).await;
    assert_eq!(status, 0);
    let dump: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(dump["process"]["role"], "balancer");
    assert!(has_drained(&dump["members"]), "{json}");
    let (status, text, _) = runner.run(&["dump"], &[]).await;
    assert_eq!(status, 0);
    assert!(text.contains("role: balancer") && text.contains(&agent), "{text}");
}

/// Guards against state or metrics that are missing, or that are served without the token.
#[tokio::test(flavor = "multi_thread")]
async fn state_and_metrics_require_the_token() {
    let (system, mut runner) = start("agent").await;
    let mut caller = system.caller().await;
    caller.reserve("seat-1", "two seats".into()).await.unwrap();
    runner.admin = system.agent_admins[0];
    let (status, json, _) = runner.run(&["dump"], &["--json"]).await;
    assert_eq!(status, 0);
    let dump: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(dump["process"]["role"], "agent");
    assert_eq!(dump["members"][0]["instance"], system.agents[0].to_string());
    assert_eq!(dump["holds"]["phase"], "Serving");
    let unused_transcript = transcript::Transcript::default();
    for admin in [system.agent_admins[0], system.admins[0]] {
        let without_token = Operator::new("stranger", admin, None);
        let (status, _) =
            without_token.call(&unused_transcript, Method::GET, "/metrics", Value::Null).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
    }
    let mut answered = 0;
    for &admin in &system.agent_admins {
        let operator = Operator::new("operator", admin, Some(TOKEN));
        let text = operator.get_text("/metrics").await;
        answered += text.matches("yuccacroft_requests_total{outcome=\"answered\"} 1").count();
    }
    assert_eq!(answered, 1);
    let text = Operator::new("operator", system.admins[0], Some(TOKEN)).get_text("/metrics").await;
    assert!(text.contains("yuccacroft_packets_forwarded_total"), "{text}");
}
