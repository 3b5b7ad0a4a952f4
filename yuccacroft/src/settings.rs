//! Settings files of processes, checked as a whole before anything starts.

use {
    crate::errors::{Error, Result},
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::{fs, path::Path},
    yuccacroft_agent::{endpoint::Certificate, process as agent},
    yuccacroft_balancer::{control::Mesh, process as balancer},
    yuccacroft_core::{errors::Fault, ini::Reader, units::Weight},
};

const DEFAULT_THREADS: usize = 2;
const DEFAULT_WEIGHT: Weight = Weight::new(100);
const ADDRESS: &str = "an address such as 127.0.0.1:7000";

/// Reads the settings of a balancer.
pub fn balancer(file: &Path) -> Result<balancer::Settings> {
    let mut reader = open(file)?;
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let packets = reader.required("listen", "packets", ADDRESS);
    let capsules = reader.required("listen", "capsules", ADDRESS);
    let control = reader.required("listen", "control", ADDRESS);
    let store = reader.required("store", "address", ADDRESS);
    let threads = reader.optional("process", "threads", "a number of threads", DEFAULT_THREADS);
    let mesh = mesh(&mut reader);
    let settings = (|| {
        Some(balancer::Settings {
            name: name?,
            domain: domain?,
            packets: packets?,
            capsules: capsules?,
            control: control?,
            store: store?,
            mesh,
            threads: threads?,
        })
    })();
    finish(reader, settings)
}

/// Reads how to reach other balancers; a balancer without the section knows no other.
fn mesh(reader: &mut Reader) -> Option<Mesh> {
    if !reader.has("mesh") {
        return None;
    }
    let key = reader.required("mesh", "key", "64 hexadecimal digits");
    let peers = reader.list("mesh", "peers", "control addresses of balancers");
    Some(Mesh { key: key?, peers: peers.into() })
}

/// Reads the settings of an agent and the certificate files that they name.
pub fn agent(file: &Path) -> Result<agent::Settings> {
    let mut reader = open(file)?;
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let customer = reader.required("service", "customer", "a customer name");
    let service = reader.required("service", "name", "a service name");
    let key = reader.required("service", "key", "64 hexadecimal digits");
    let capsules = reader.required("listen", "capsules", ADDRESS);
    let balancers = reader.list("mesh", "balancers", "control addresses of balancers");
    let upstream = reader.required("upstream", "address", ADDRESS);
    let weight = reader.optional("upstream", "weight", "a weight", DEFAULT_WEIGHT);
    let certificate = certificate(&mut reader, file);
    let settings = (|| {
        Some(agent::Settings {
            name: name?,
            domain: domain?,
            customer: customer?,
            service: service?,
            key: key?,
            capsules: capsules?,
            balancers: balancers.into(),
            upstream: upstream?,
            weight: weight?,
            certificate: certificate?,
        })
    })();
    finish(reader, settings)
}

fn open(file: &Path) -> Result<Reader> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|cause| Error::File { name: name.as_str().into(), cause })?;
    Ok(Reader::new(&name, &text)?)
}

fn finish<T>(reader: Reader, settings: Option<T>) -> Result<T> {
    reader.finish()?;
    settings.ok_or_else(|| Error::Settings(yuccacroft_core::errors::Error::Faults(Box::new([]))))
}

/// Reads the certificate files; their names are relative to the settings file.
fn certificate(reader: &mut Reader, file: &Path) -> Option<Certificate> {
    let folder = file.parent().unwrap_or(Path::new("."));
    let chain = reader.required::<String>("tls", "certificate", "a PEM file");
    let key = reader.required::<String>("tls", "key", "a PEM file");
    let (chain, key) = (folder.join(chain?), folder.join(key?));
    let certificates: std::result::Result<Vec<_>, _> =
        CertificateDer::pem_file_iter(chain).and_then(Iterator::collect);
    let private = PrivateKeyDer::from_pem_file(key);
    let certificates = note(reader, "certificate", certificates)?;
    if certificates.is_empty() {
        reader.fault("tls", "certificate", "expected a PEM file with a certificate");
        return None;
    }
    Some(Certificate { chain: certificates, key: note(reader, "key", private)? })
}

fn note<T, E: std::fmt::Display>(
    reader: &mut Reader,
    key: &str,
    result: std::result::Result<T, E>,
) -> Option<T> {
    result.map_err(|error| reader.fault("tls", key, &format!("expected a PEM file: {error}"))).ok()
}

/// Builds the error for a single fault, for checks outside of a file.
pub fn fault(source: &str, expected: &str) -> Error {
    Error::Settings(yuccacroft_core::errors::Error::Faults(Box::new([Fault {
        source: source.into(),
        section: "".into(),
        key: "".into(),
        expected: expected.into(),
    }])))
}
