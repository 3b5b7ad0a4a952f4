//! Settings of the segment front end.

use {
    super::{finish, open},
    crate::errors::Result,
    std::{net::SocketAddrV4, path::Path},
    yuccacroft_core::{ini::Reader, time::Span},
    yuccacroft_segment::{agent, balancer},
};

/// The section by which a settings file chooses this front end.
pub const SECTION: &str = "segments";

const ADDRESS: &str = "an IPv4 address of this machine such as 10.0.0.1:7000";
const STORE_ADDRESS: &str = "an IPv4 address such as 10.0.0.1:7000";
const DURATION: &str = "a duration such as 6 s";
/// Shorter than this a process cannot wait for routers that move.
const SHORTEST_GRACE: Span = Span::from_secs(2);

/// Reads the settings of a balancer and where its metrics are served.
pub fn balancer(file: &Path) -> Result<(balancer::Settings, Option<SocketAddrV4>)> {
    let mut reader = open(file)?;
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let segments = address(&mut reader, SECTION, "listen");
    let messages = address(&mut reader, SECTION, "messages");
    let ready = address(&mut reader, SECTION, "ready");
    let store = reader.required("store", "address", STORE_ADDRESS);
    let grace = grace(&mut reader);
    let metrics = metrics(&mut reader);
    let settings = (|| {
        let settings = balancer::Settings {
            name: name?,
            domain: domain?,
            segments: segments?,
            messages: messages?,
            ready: ready?,
            store: store?,
            grace: grace?,
        };
        Some((settings, metrics?))
    })();
    finish(reader, settings)
}

/// Reads the settings of an agent and where its metrics are served.
pub fn agent(file: &Path) -> Result<(agent::Settings, Option<SocketAddrV4>)> {
    let mut reader = open(file)?;
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let messages = address(&mut reader, SECTION, "listen");
    let ready = address(&mut reader, SECTION, "ready");
    let service = reader.required("upstream", "service", "the name of a service");
    let upstream = address(&mut reader, "upstream", "address");
    let outbound = address(&mut reader, "upstream", "outbound");
    let reports = address(&mut reader, "upstream", "reports");
    let report_interval = reader.required("upstream", "report_interval", DURATION);
    let store = reader.required("store", "address", STORE_ADDRESS);
    let grace = grace(&mut reader);
    let metrics = metrics(&mut reader);
    let settings = (|| {
        let messages = messages?;
        let settings = agent::Settings {
            name: name?,
            domain: domain?,
            service: service?,
            messages,
            outbound: outbound?,
            upstream: upstream?,
            reports: reports?,
            report_interval: report_interval?,
            ready: ready?,
            // All machines of a deployment use the same port for segments.
            caller_port: messages.port(),
            store: store?,
            grace: grace?,
        };
        Some((settings, metrics?))
    })();
    finish(reader, settings)
}

fn address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddrV4> {
    let address: SocketAddrV4 = reader.required(section, key, ADDRESS)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        reader.add_fault(section, key, &format!("expected {ADDRESS}"));
        return None;
    }
    Some(address)
}

fn grace(reader: &mut Reader) -> Option<Span> {
    let grace: Span = reader.required("process", "grace", DURATION)?;
    if grace < SHORTEST_GRACE {
        reader.add_fault("process", "grace", &format!("expected at least {SHORTEST_GRACE}"));
        return None;
    }
    Some(grace)
}

/// Reads where metrics are served; without the section they are not.
fn metrics(reader: &mut Reader) -> Option<Option<SocketAddrV4>> {
    if !reader.has_section("metrics") {
        return Some(None);
    }
    address(reader, "metrics", "listen").map(Some)
}
