//! The processor time of processes that have nothing to do.

use {
    crate::figure::{Report, Target},
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    yuccacroft_balancer::control::CONTRACTS,
    yuccacroft_core::{ids::Revision, key::Secret},
    yuccacroft_fakes::{certificate::Certificate, store::Store, upstream::Upstream},
    yuccacroft_store::{etcd::Gateway, store::Store as _},
};

/// `docs/design.md`, section 12, in percent of a core.
const IDLE: Target = Target::AtMost(0.5);
const START_DEADLINE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);
/// The event that a process logs when it has opened its sockets.
const SERVING: &str = "serving";
const WINDOW: Duration = Duration::from_secs(10);
/// Clock ticks a second in `/proc/<pid>/stat` on Linux (`USER_HZ`).
const TICKS_PER_SEC: f64 = 100.0;

/// Starts a balancer and an agent, which know each other, and watches them.
pub fn measure(report: &mut Report) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime needs threads only");
    let folder = std::env::temp_dir().join(format!("yuccacroft-bench-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder is writable");
    let _around = runtime.block_on(surroundings(&folder));
    let mut processes = [start(&folder, "balancer"), start(&folder, "agent")];
    ["balancer", "agent"].iter().for_each(|role| wait_for_start(&folder, role));
    let (before, begin) = (processes.each_ref().map(ticks), Instant::now());
    std::thread::sleep(WINDOW);
    let seconds = begin.elapsed().as_secs_f64();
    for ((name, process), before) in ["balancer", "agent"].iter().zip(&processes).zip(before) {
        let percent = (ticks(process) - before) / TICKS_PER_SEC / seconds * 100.0;
        report.add(name, "idle_percent_of_core", percent, IDLE);
    }
    for process in &mut processes {
        // A process that ended early used no time and must not pass for an idle one.
        let running = matches!(process.try_wait(), Ok(None));
        report.add("processes", "running", f64::from(u8::from(running)), Target::AtLeast(1.0));
        let _ = process.kill();
        let _ = process.wait();
    }
    let _ = fs::remove_dir_all(&folder);
}

async fn surroundings(folder: &Path) -> (Store, Upstream) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
    let store = Store::start(any).await.expect("loopback has free ports");
    let work = Duration::from_millis(1);
    let upstream = Upstream::start("idle", any, work).await.expect("loopback has free ports");
    let gateway = Gateway::new(store.address(), Duration::from_secs(1));
    let (key, contract) = (Secret::new([7; 32]), super::contract_text());
    let name = format!("{CONTRACTS}kampvuur");
    let put = gateway.put(&name, &contract, Revision::default()).await;
    put.expect("the store takes the contract");
    let (control, packets) = (free_tcp(), free_udp());
    let (one, two) = (free_udp(), free_udp());
    let store_address = store.address();
    let balancer = format!(
        "[process]\nname = idle-balancer\ndomain = one\n\n[listen]\npackets = {packets}\n\
         capsules = {one}\ncontrol = {control}\n\n[store]\naddress = {store_address}\n"
    );
    let address = upstream.address();
    let agent = format!(
        "[process]\nname = idle-agent\ndomain = one\n\n[service]\ncustomer = kampvuur\n\
         name = booking\nkey = {key}\n\n[listen]\ncapsules = {two}\n\n[mesh]\n\
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

/// Starts this program again in a role of the product.
fn start(folder: &Path, role: &str) -> Child {
    let program = std::env::current_exe().expect("the program has a path");
    let mut command = Command::new(program);
    command
        .arg(crate::PROCESS_ARGUMENT)
        .arg(role)
        .arg("--settings")
        .arg(folder.join(format!("{role}.ini")));
    let log = fs::File::create(folder.join(format!("{role}.log")));
    let log = log.expect("the temporary folder is writable");
    let other = log.try_clone().expect("a file can be shared");
    command.stdout(log).stderr(other).stdin(Stdio::null()).spawn().expect("the program starts")
}

fn wait_for_start(folder: &Path, role: &str) {
    let (file, begin) = (folder.join(format!("{role}.log")), Instant::now());
    while !fs::read_to_string(&file).is_ok_and(|text| text.contains(SERVING)) {
        assert!(begin.elapsed() < START_DEADLINE, "{role} does not start");
        std::thread::sleep(POLL);
    }
}

/// Reads user and system time of a process (proc(5), fields 14 and 15 of `stat`).
fn ticks(process: &Child) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", process.id()));
    let text = text.expect("the process runs until it is measured");
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let time = |index| fields.split_whitespace().nth(index).and_then(|text| text.parse().ok());
    let (user, system): (Option<f64>, Option<f64>) = (time(11), time(12));
    user.unwrap_or_default() + system.unwrap_or_default()
}

fn free_udp() -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    socket.local_addr().expect("a bound socket has an address")
}

fn free_tcp() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    socket.local_addr().expect("a bound socket has an address")
}
