//! Tests of the `check` command on settings and contracts.

use {
    std::{
        fs,
        path::{Path, PathBuf},
        process::{Command, Output},
    },
    yuccacroft_fakes::certificate::Certificate,
};

const HEX_KEY: &str = "1111111111111111111111111111111111111111111111111111111111111111";

/// A temporary folder with certificate files; removed when dropped.
struct SettingsFolder(PathBuf);

impl SettingsFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("yuccacroft-check-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        let certificate = Certificate::new("booking.kampvuur.example");
        fs::write(path.join("service.pem"), certificate.certificate_pem.as_bytes()).unwrap();
        fs::write(path.join("service.key"), certificate.key_pem.as_bytes()).unwrap();
        Self(path)
    }

    /// Checks a file with the given text. Returns the exit status and the reported faults without
    /// the file name.
    fn check(&self, text: &str) -> (Option<i32>, String) {
        let file = self.0.join("file.ini");
        fs::write(&file, text).unwrap();
        let output = run_check(&[&file]);
        let faults = String::from_utf8(output.stderr).unwrap();
        (output.status.code(), faults.replace(&format!("{}: ", file.display()), ""))
    }

    /// Asserts that `check` exits with status 1 and reports exactly the given faults.
    fn assert_faults(&self, text: &str, expected: &str) {
        let (status, found) = self.check(text);
        assert_eq!((status, found.trim_end()), (Some(1), expected), "{text}");
    }
}

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs `yuccacroft check` on the files.
fn run_check(files: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccacroft")).arg("check").args(files).output().unwrap()
}

fn balancer_settings() -> String {
    format!(
        "[process]\nname = balancer-1\ndomain = gent\n\n[listen]\npackets = 10.0.0.1:7000\n\
         capsules = 10.0.0.1:7001\ncontrol = 10.0.0.1:7002\n\n[mesh]\nkey = {HEX_KEY}\n\
         peers = 10.0.0.2:7002\n\n[store]\naddress = 10.0.0.5:2379\n\n[admin]\n\
         listen = 10.0.0.1:7003\ntoken = placeholder-of-a-token\n"
    )
}

fn agent_settings() -> String {
    format!(
        "[process]\nname = booking-1\ndomain = gent\n\n[service]\ncustomer = kampvuur\n\
         name = booking\nkey = {HEX_KEY}\n\n[listen]\ncapsules = 10.0.0.1:7100\n\n[mesh]\n\
         balancers = 10.0.0.1:7002\n\n[upstream]\naddress = 10.0.0.1:8080\nweight = 100\n\n\
         [tls]\ncertificate = service.pem\nkey = service.key\n"
    )
}

fn contract_text() -> String {
    format!(
        "[customer]\nname = kampvuur\nkey = {HEX_KEY}\ncapacity = 40\n\n[service booking]\n\
         addresses = 203.0.113.10:443\nslots = 4\nconnections = 2000\nupstreams_max = 7\n\
         share = 28\nwait = 500 ms\n"
    )
}

/// Guards against example files that `check` rejects.
#[test]
fn accepts_all_examples() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let mut files = Vec::new();
    for customer in ["kampvuur", "snow"] {
        let entries = fs::read_dir(root.join(customer)).unwrap();
        let paths = entries.map(|entry| entry.unwrap().path());
        files.extend(paths.filter(|path| path.extension().is_some_and(|e| e == "ini")));
    }
    assert_eq!(files.len(), 2 * (1 + 3 + 10));
    let output = run_check(&files.iter().map(PathBuf::as_path).collect::<Vec<_>>());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// Guards against invalid keys of a balancer that are ignored or reported under a wrong name.
#[test]
fn reports_each_kind_of_fault_in_balancer_settings() {
    let folder = SettingsFolder::new("balancer");
    assert_eq!(folder.check(&balancer_settings()).0, Some(0));
    let cases = [
        ("name = balancer-1\n", "", "[process] name: missing, expected a process name"),
        ("name = balancer-1", "name = Böse", "[process] name: expected a process name"),
        (
            "domain = gent",
            "domain = gent\nthreads = 0",
            "[process] threads: expected a whole number from 1 to 64",
        ),
        (
            "domain = gent",
            "domain = gent\nthreads = two",
            "[process] threads: expected a whole number from 1 to 64",
        ),
        (
            "packets = 10.0.0.1:7000",
            "packets = 10.0.0.1",
            "[listen] packets: expected an address such as 127.0.0.1:7000",
        ),
        (
            "control = 10.0.0.1:7002",
            "control = 10.0.0.1:0",
            "[listen] control: expected an address such as 127.0.0.1:7000 with a port that is \
             not 0",
        ),
        (
            "capsules = 10.0.0.1:7001",
            "capsules = 0.0.0.0:7001",
            "[listen] capsules: expected an IPv4 address of this machine such as 127.0.0.1:7000",
        ),
        (
            "capsules = 10.0.0.1:7001",
            "capsules = [::1]:7001",
            "[listen] capsules: expected an IPv4 address of this machine such as 127.0.0.1:7000",
        ),
        ("key = 1111", "key = 111x", "[mesh] key: expected 64 hexadecimal digits"),
        (
            "peers = 10.0.0.2:7002",
            "peers = here",
            "[mesh] peers: expected control addresses of balancers",
        ),
        (
            "token = placeholder-of-a-token",
            "token = short",
            "[admin] token: expected 16 to 256 visible ASCII characters",
        ),
        (
            "listen = 10.0.0.1:7003\n",
            "",
            "[admin] listen: missing, expected an address such as 127.0.0.1:7000",
        ),
        ("[store]", "[store]\ncolour = red", "[store] colour: unknown key"),
        ("[store]", "[extra]\na = b\n[store]", "[extra]: unknown section"),
        (
            "domain = gent",
            "domain = gent\ndomain = brugge",
            "[process] domain: given more than once",
        ),
    ];
    for (from, to, fault) in cases {
        folder.assert_faults(&balancer_settings().replacen(from, to, 1), fault);
    }
}

/// Guards against invalid keys of an agent that are ignored or reported under a wrong name.
#[test]
fn reports_each_kind_of_fault_in_agent_settings() {
    let folder = SettingsFolder::new("agent");
    assert_eq!(folder.check(&agent_settings()).0, Some(0));
    let cases = [
        ("customer = kampvuur\n", "", "[service] customer: missing, expected a customer name"),
        ("key = 1111", "key = 11", "[service] key: expected 64 hexadecimal digits"),
        (
            "weight = 100",
            "weight = -1",
            "[upstream] weight: expected a whole number from 0 to 10000",
        ),
        (
            "weight = 100",
            "weight = 10001",
            "[upstream] weight: expected a whole number from 0 to 10000",
        ),
        (
            "balancers = 10.0.0.1:7002\n",
            "",
            "[mesh] balancers: missing, expected control addresses of balancers",
        ),
        ("weight = 100", "colour = red", "[upstream] colour: unknown key"),
    ];
    for (from, to, fault) in cases {
        folder.assert_faults(&agent_settings().replacen(from, to, 1), fault);
    }
    let (status, faults) = folder.check(&agent_settings().replace("service.pem", "none.pem"));
    assert_eq!(status, Some(1));
    assert!(faults.starts_with("[tls] certificate: expected a PEM file: "), "{faults}");
}

/// Guards against invalid keys of a contract that are ignored or reported under a wrong name.
#[test]
fn reports_each_kind_of_fault_in_contracts() {
    let folder = SettingsFolder::new("contract");
    assert_eq!(folder.check(&contract_text()).0, Some(0));
    let cases = [
        (
            "slots = 4\n",
            "",
            "[service booking] slots: missing, expected a whole number from 1 to 10000",
        ),
        (
            "slots = 4",
            "slots = 0",
            "[service booking] slots: expected a whole number from 1 to 10000",
        ),
        (
            "connections = 2000",
            "connections = 1000001",
            "[service booking] connections: expected a whole number from 1 to 1000000",
        ),
        (
            "wait = 500 ms",
            "wait = 500",
            "[service booking] wait: expected a duration such as 250 ms or 3 s",
        ),
        ("wait = 500 ms", "wait = 61 min", "[service booking] wait: expected at most 3600 s"),
        (
            "capacity = 40",
            "capacity = 20",
            "[customer] capacity: expected at least 28, the sum of all shares",
        ),
        (
            "addresses = 203.0.113.10:443",
            "addresses = 203.0.113.10:443, 203.0.113.10:443",
            "[service booking] addresses: 203.0.113.10:443 is used by two services",
        ),
        ("wait = 500 ms", "colour = red", "[service booking] colour: unknown key"),
    ];
    for (from, to, fault) in cases {
        folder.assert_faults(&contract_text().replacen(from, to, 1), fault);
    }
}

/// Guards against faults that are reported only one per run.
#[test]
fn reports_all_faults_of_all_files_together() {
    let folder = SettingsFolder::new("all");
    let (first, second) = (folder.0.join("first.ini"), folder.0.join("second.ini"));
    let misspelt = balancer_settings().replace("domain = gent", "domain = gent\nthread = 2");
    fs::write(&first, misspelt.replace("10.0.0.1:7000", "here")).unwrap();
    let faulty = contract_text().replace("slots = 4", "slots = 0\ncolour = red");
    fs::write(&second, faulty.replace("capacity = 40", "capacity = many")).unwrap();
    let output = run_check(&[&first, &second]);
    assert_eq!(output.status.code(), Some(1));
    let faults = String::from_utf8(output.stderr).unwrap();
    let lines: Vec<_> = faults.lines().collect();
    assert_eq!(lines.len(), 5, "{faults}");
    for fault in ["first.ini: [process] thread: unknown key", "first.ini: [listen] packets: "] {
        assert!(lines[..2].iter().any(|line| line.contains(fault)), "{faults}");
    }
    assert!(lines[2..].iter().all(|line| line.contains("second.ini: [")), "{faults}");
}
