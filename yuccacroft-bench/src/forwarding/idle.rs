//! The processor time of idle processes.

use {
    crate::figure::{Report, Target},
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    yuccacroft_balancer::controllers::CONTRACT_KEY_PREFIX,
    yuccacroft_core::{ids::Revision, key::Secret},
    yuccacroft_fakes::{certificate::Certificate, store::Store, upstream::Upstream},
    yuccacroft_store::{etcd::EtcdClient, store::Store as _},
};

/// The bound from `docs/design.md`, section 12, in percent of a core.
const IDLE_TARGET: Target = Target::AtMost(0.5);
const START_DEADLINE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The event that a process logs after it has opened its sockets.
const SERVING_EVENT: &str = "serving";
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// The clock ticks per second of the times in `/proc/<pid>/stat` on Linux (`USER_HZ`).
const TICKS_PER_SEC: f64 = 100.0;

/// Starts a balancer and an agent that are connected to each other, and measures their processor time
/// without traffic.
pub fn measure(report: &mut Report) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let folder = std::env::temp_dir().join(format!("yuccacroft-bench-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder is writable");
    let _environment = runtime.block_on(start_environment(&folder));
    let mut processes = [start(&folder, "balancer"), start(&folder, "agent")];
    ["balancer", "agent"].iter().for_each(|role| wait_for_start(&folder, role));
    let (before, start_time) = (processes.each_ref().map(cpu_ticks), Instant::now());
    std::thread::sleep(MEASURED_TIME);
    let seconds = start_time.elapsed().as_secs_f64();
    for ((name, process), before) in ["balancer", "agent"].iter().zip(&processes).zip(before) {
        let percent = (cpu_ticks(process) - before) / TICKS_PER_SEC / seconds * 100.0;
        report.add(name, "idle_percent_of_core", percent, IDLE_TARGET);
    }
    for process in &mut processes {
        // A process that has exited uses no processor time and must not count as an idle one.
        let running = matches!(process.try_wait(), Ok(None));
        report.add("processes", "running", f64::from(u8::from(running)), Target::AtLeast(1.0));
        let _ = process.kill();
        let _ = process.wait();
    }
    let _ = fs::remove_dir_all(&folder);
}

/// Starts a store with a contract and an upstream, and writes the settings files of a balancer and an
/// agent to `folder`.
async fn start_environment(folder: &Path) -> (Store, Upstream) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
    let store = Store::start(any).await.expect("loopback has free ports");
    let work = Duration::from_millis(1);
    let upstream = Upstream::start("idle", any, work).await.expect("loopback has free ports");
    let gateway = EtcdClient::new(store.address(), Duration::from_secs(1));
    let (key, contract) = (Secret::new([7; 32]), super::contract_text());
    let name = format!("{CONTRACT_KEY_PREFIX}kampvuur");
    let put = gateway.put(&name, &contract, Revision::default()).await;
    put.expect("the store takes the contract");
    let (control, packets) = (free_tcp(), free_udp());
    let (balancer_capsules, agent_capsules) = (free_udp(), free_udp());
    let store_address = store.address();
    let balancer = format!(
        "[process]\nname = idle-balancer\ndomain = one\n\n[listen]\npackets = {packets}\n\
         capsules = {balancer_capsules}\ncontrol = {control}\n\n[store]\naddress = {store_address}\n"
    );
    let address = upstream.address();
    let agent = format!(
        "[process]\nname = idle-agent\ndomain = one\n\n[service]\ncustomer = kampvuur\n\
         name = booking\nkey = {key}\n\n[listen]\ncapsules = {agent_capsules}\n\n[mesh]\n\
         balancers = {control}\n\n[upstream]\naddress = {address}\n\n[tls]\n\
         certificate = idle.pem\nkey = idle.key\n"
    );
    let certificate = Certificate::new("booking.kampvuur.example");
    for (name, text) in [
        ("balancer.ini", balancer.as_str()),
        ("agent.ini", agent.as_str()),
        ("idle.pem", &certificate.certificate_pem),
        ("idle.key", &certificate.key_pem),
    ] {
        fs::write(folder.join(name), text).expect("the temporary folder is writable");
    }
    (store, upstream)
}

/// Starts this program as a balancer or an agent, with its output in a log file.
fn start(folder: &Path, role: &str) -> Child {
    let program = std::env::current_exe().expect("the path of the program is known");
    let mut command = Command::new(program);
    command
        .arg(crate::PROCESS_ARGUMENT)
        .arg(role)
        .arg("--settings")
        .arg(folder.join(format!("{role}.ini")));
    let log = fs::File::create(folder.join(format!("{role}.log")));
    let log = log.expect("the temporary folder is writable");
    let stderr_log = log.try_clone().expect("the file descriptor can be duplicated");
    command.stdout(log).stderr(stderr_log).stdin(Stdio::null()).spawn().expect("the program starts")
}

/// Waits until a process has logged that it serves. Panics after a deadline.
fn wait_for_start(folder: &Path, role: &str) {
    let (file, start_time) = (folder.join(format!("{role}.log")), Instant::now());
    while !fs::read_to_string(&file).is_ok_and(|text| text.contains(SERVING_EVENT)) {
        assert!(start_time.elapsed() < START_DEADLINE, "the {role} has not started in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the user and system time of a process in clock ticks (fields 14 and 15 of
/// `/proc/<pid>/stat`, see proc(5)).
fn cpu_ticks(process: &Child) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", process.id()));
    let text = text.expect("a child has a stat file until it is waited for");
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let field = |index| fields.split_whitespace().nth(index).and_then(|text| text.parse().ok());
    let (user, system): (Option<f64>, Option<f64>) = (field(11), field(12));
    user.unwrap_or_default() + system.unwrap_or_default()
}

/// Returns a loopback address whose UDP port is free.
fn free_udp() -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    socket.local_addr().expect("a bound socket has an address")
}

/// Returns a loopback address whose TCP port is free.
fn free_tcp() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    socket.local_addr().expect("a bound socket has an address")
}
