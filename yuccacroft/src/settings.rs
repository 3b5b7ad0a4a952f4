//! Settings files of processes. A file is validated as a whole, and all its faults are reported
//! together, before anything starts.

pub mod segment;

use {
    crate::errors::{Error, Result},
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::{
        fs,
        net::{SocketAddr, SocketAddrV4},
        ops::RangeInclusive,
        path::Path,
    },
    yuccacroft_agent::{endpoint::Certificate, settings as agent},
    yuccacroft_balancer::{controllers::Mesh, process as balancer},
    yuccacroft_core::{ids::Instance, ini::Reader, units::Weight},
    yuccacroft_rpc::admin::Access,
};

const DEFAULT_THREADS: u32 = 2;
/// More than 64 threads only contend for the two sockets.
const THREAD_RANGE: RangeInclusive<u32> = 1..=64;
const DEFAULT_WEIGHT: u32 = 100;
const WEIGHT_RANGE: RangeInclusive<u32> = 0..=10_000;
const EXPECTED_ADDRESS: &str = "an address such as 127.0.0.1:7000";
const EXPECTED_OWN_ADDRESS: &str = "an IPv4 address of this machine such as 127.0.0.1:7000";

/// Reads the settings of a balancer and the access to its administration interface.
pub fn read_balancer(file: &Path) -> Result<(balancer::Settings, Option<Access>)> {
    let mut reader = open_ini(file)?;
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let packets = read_address(&mut reader, "listen", "packets");
    let capsules = read_capsule_address(&mut reader);
    let control = read_address(&mut reader, "listen", "control");
    let store = read_address(&mut reader, "store", "address");
    let threads = read_bounded(&mut reader, "process", "threads", DEFAULT_THREADS, THREAD_RANGE);
    let mesh = read_mesh(&mut reader);
    let access = read_access(&mut reader);
    let settings = (|| {
        let settings = balancer::Settings {
            name: name?,
            domain: domain?,
            packets: packets?,
            capsules: capsules?,
            control: control?,
            store: store?,
            mesh: mesh?,
            threads: threads? as usize,
        };
        Some((settings, access?))
    })();
    finish(reader, settings)
}

/// Reads the optional section `mesh`, which lists the other balancers. Without it the balancer has
/// no peers. The outer `None` means that the section has faults.
fn read_mesh(reader: &mut Reader) -> Option<Option<Mesh>> {
    if !reader.has_section("mesh") {
        return Some(None);
    }
    let key = reader.required("mesh", "key", "64 hexadecimal digits");
    let peers = reader.list("mesh", "peers", "control addresses of balancers");
    Some(Some(Mesh { key: key?, peers: peers.into() }))
}

/// Reads the settings of an agent, the certificate files that they name, and the access to its
/// administration interface.
pub fn read_agent(file: &Path) -> Result<(agent::Settings, Option<Access>)> {
    let mut reader = open_ini(file)?;
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let customer = reader.required("service", "customer", "a customer name");
    let service = reader.required("service", "name", "a service name");
    let key = reader.required("service", "key", "64 hexadecimal digits");
    let capsules = read_capsule_address(&mut reader).map(Instance::new);
    let balancers = reader.list("mesh", "balancers", "control addresses of balancers");
    let upstream = read_address(&mut reader, "upstream", "address");
    let weight = read_bounded(&mut reader, "upstream", "weight", DEFAULT_WEIGHT, WEIGHT_RANGE);
    let certificate = read_certificate(&mut reader, file);
    let access = read_access(&mut reader);
    let settings = (|| {
        let settings = agent::Settings {
            name: name?,
            domain: domain?,
            customer: customer?,
            service: service?,
            key: key?,
            capsules: capsules?,
            balancers: balancers.into(),
            upstream: upstream?,
            weight: Weight::new(weight?),
            certificate: certificate?,
        };
        Some((settings, access?))
    })();
    finish(reader, settings)
}

/// Reads a file and returns its name, as it appears in faults, and its text.
pub fn read_file(file: &Path) -> Result<(String, String)> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|cause| Error::File { name: name.as_str().into(), cause })?;
    Ok((name, text))
}

/// Opens an INI file for reading its sections.
pub fn open_ini(file: &Path) -> Result<Reader> {
    let (name, text) = read_file(file)?;
    Ok(Reader::new(&name, &text)?)
}

/// Reads the optional section `admin`. Without it the process has no administration interface. The
/// outer `None` means that the section has faults.
fn read_access(reader: &mut Reader) -> Option<Option<Access>> {
    if !reader.has_section("admin") {
        return Some(None);
    }
    let listen = read_address(reader, "admin", "listen");
    let token = reader.required("admin", "token", "16 to 256 visible ASCII characters");
    Some(Some(Access { listen: listen?, token: token? }))
}

/// Reads a socket address whose port is not 0.
fn read_address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    let address: SocketAddr = reader.required(section, key, EXPECTED_ADDRESS)?;
    if address.port() == 0 {
        reader.add_fault(
            section,
            key,
            &format!("expected {EXPECTED_ADDRESS} with a port that is not 0"),
        );
        return None;
    }
    Some(address)
}

/// Reads the capsule address. Other processes send to it unchanged, so it must be a unicast address
/// of this machine.
fn read_capsule_address(reader: &mut Reader) -> Option<SocketAddrV4> {
    let address: SocketAddrV4 = reader.required("listen", "capsules", EXPECTED_OWN_ADDRESS)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        reader.add_fault("listen", "capsules", &format!("expected {EXPECTED_OWN_ADDRESS}"));
        return None;
    }
    Some(address)
}

/// Reads an optional whole number that must be in a range.
fn read_bounded(
    reader: &mut Reader,
    section: &str,
    key: &str,
    default: u32,
    range: RangeInclusive<u32>,
) -> Option<u32> {
    let expected = format!("a whole number from {} to {}", range.start(), range.end());
    let value = reader.optional(section, key, &expected, default)?;
    if !range.contains(&value) {
        reader.add_fault(section, key, &format!("expected {expected}"));
        return None;
    }
    Some(value)
}

/// Returns the settings, or the faults that the reader has collected.
fn finish<T>(reader: Reader, settings: Option<T>) -> Result<T> {
    reader.finish()?;
    settings.ok_or_else(|| Error::Settings(yuccacroft_core::errors::Error::Faults(Box::new([]))))
}

/// Reads the certificate chain and the key. Their paths are relative to the folder of the settings
/// file.
fn read_certificate(reader: &mut Reader, file: &Path) -> Option<Certificate> {
    let folder = file.parent().unwrap_or(Path::new("."));
    let chain = reader.required::<String>("tls", "certificate", "a PEM file");
    let key = reader.required::<String>("tls", "key", "a PEM file");
    let (chain, key) = (folder.join(chain?), folder.join(key?));
    let certificates: std::result::Result<Vec<_>, _> =
        CertificateDer::pem_file_iter(chain).and_then(Iterator::collect);
    let private_key = PrivateKeyDer::from_pem_file(key);
    let certificates = ok_or_fault(reader, "certificate", certificates)?;
    if certificates.is_empty() {
        reader.add_fault("tls", "certificate", "expected a PEM file with a certificate");
        return None;
    }
    Some(Certificate { chain: certificates, key: ok_or_fault(reader, "key", private_key)? })
}

/// Adds a fault to the reader if a PEM file could not be read.
fn ok_or_fault<T, E: std::fmt::Display>(
    reader: &mut Reader,
    key: &str,
    result: std::result::Result<T, E>,
) -> Option<T> {
    result
        .map_err(|error| reader.add_fault("tls", key, &format!("expected a PEM file: {error}")))
        .ok()
}
