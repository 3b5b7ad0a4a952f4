//! The project's own programs as processes, with the commands and templates of the deploy file.

use {
    crate::record::Record,
    std::{
        collections::BTreeMap,
        fs::{self, File},
        net::{Ipv4Addr, SocketAddrV4},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

pub const DATAGRAM_PORT: u16 = 8172;
pub const READY_PORT: u16 = 8167;
pub const CONTROL_PORT: u16 = 8166;
pub const OUTBOUND_PORT: u16 = 8168;
pub const APP_PORT: u16 = 8080;
const STORE_PORT: u16 = 8169;
/// Delay until the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// One machine with one process.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub service: String,
    /// The address at which this machine reaches the store.
    pub store: SocketAddrV4,
    process: Arc<Mutex<Slot>>,
    folder: PathBuf,
}

#[derive(Default)]
struct Slot {
    child: Option<Child>,
    is_wanted: bool,
    starts: u32,
}

impl Machine {
    pub fn new(
        name: &str,
        role: &'static str,
        ip: Ipv4Addr,
        zone: &str,
        service: &str,
        folder: &Path,
    ) -> Self {
        let [a, b, c, d] = ip.octets();
        // The store has an address for each machine.
        let store = SocketAddrV4::new(Ipv4Addr::new(a, b, c.wrapping_add(100), d), STORE_PORT);
        Self {
            name: name.into(),
            role,
            ip,
            zone: zone.into(),
            service: service.into(),
            store,
            process: Arc::default(),
            folder: folder.into(),
        }
    }

    pub fn at(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    fn fields(&self) -> BTreeMap<String, String> {
        let at = |port| self.at(port).to_string();
        let rows = [
            ("nodeName", self.name.clone()),
            ("ip", self.ip.to_string()),
            ("zone", self.zone.clone()),
            ("service", self.service.clone()),
            ("app", at(APP_PORT)),
            ("listen.datagramAddr", at(DATAGRAM_PORT)),
            ("listen.ready", at(READY_PORT)),
            ("listen.control", at(CONTROL_PORT)),
            ("listen.outbound", at(OUTBOUND_PORT)),
            ("internalPortRange.0", "7720".into()),
            ("internalPortRange.1", "7735".into()),
            ("heartbeatIntervalMs", "1200".into()),
            ("contracts", "base,drain,config,cost,recover,flows,platform".into()),
            ("bounds.graceS", "6".into()),
            ("platform.address", self.store.to_string()),
        ];
        rows.into_iter().map(|(key, value)| (key.to_owned(), value)).collect()
    }

    /// Starts the process, and again whenever it ends.
    pub fn start(&self, record: &Record) {
        self.process.lock().unwrap().is_wanted = true;
        let (machine, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            while machine.run_once(&record) {
                thread::sleep(RESTART_DELAY);
            }
        });
    }

    /// Runs the process until it ends. Returns false if it is not to be started again.
    fn run_once(&self, record: &Record) -> bool {
        {
            let mut slot = self.process.lock().unwrap();
            if !slot.is_wanted {
                return false;
            }
            slot.starts += 1;
            slot.child = match self.spawn(slot.starts) {
                Ok(child) => Some(child),
                Err(error) => {
                    record.line(&format!("{} cannot be started: {error}", self.name));
                    return false;
                }
            };
        }
        record.line(&format!("{} starts", self.name));
        loop {
            thread::sleep(Duration::from_millis(10));
            let mut slot = self.process.lock().unwrap();
            let ended = slot.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                slot.child = None;
                record.line(&format!("{} has ended: {status}", self.name));
                return slot.is_wanted;
            }
        }
    }

    fn spawn(&self, number: u32) -> std::io::Result<Child> {
        let fields = self.fields();
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let role =
            deploy.split("[roles.").find(|part| part.starts_with(self.role)).unwrap_or_default();
        let setting = |key: &str| {
            let line = role.lines().find_map(|line| line.strip_prefix(&format!("{key} = \"")));
            line.map(|line| line.trim_end_matches('"').to_owned()).unwrap_or_default()
        };
        let settings = self.folder.join(format!("{}.ini", self.name));
        fs::write(&settings, fill(&fs::read_to_string(setting("template"))?, &fields))?;
        let run = setting("run");
        let words: Vec<String> = run.split(' ').map(|word| fill(word, &fields)).collect();
        let log = File::create(self.folder.join(format!("{}-{number}.log", self.name)))?;
        Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("YUCCACROFT_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.process.lock().unwrap().child.as_ref().map(Child::id);
        if let Some(id) = id {
            // The shell has `kill` built in.
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status();
        }
    }

    /// Returns the number of times that the process was started.
    pub fn starts(&self) -> u32 {
        self.process.lock().unwrap().starts
    }

    /// Ends the process for good.
    pub fn end(&self) {
        let mut slot = self.process.lock().unwrap();
        slot.is_wanted = false;
        if let Some(child) = &mut slot.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        slot.child = None;
    }
}

/// Replaces the placeholders of a template. One without a value becomes empty.
fn fill(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut parts = template.split("{{");
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (name, rest) = part.split_once("}}").unwrap_or((part, ""));
        out.push_str(fields.get(name).map_or("", String::as_str));
        out.push_str(rest);
    }
    out
}
