//! Settings of the segment front end.

use {
    super::{finish, open_ini},
    crate::errors::Result,
    std::{net::SocketAddrV4, path::Path},
    yuccacroft_core::{
        ini::{Override, Reader},
        limits::Tolerance,
        requirements::Requirements,
        time::Span,
        units::Percent,
    },
    yuccacroft_segment::{agent, balancer},
};

/// A settings file with this section selects the segment front end.
pub const SECTION: &str = "segments";

const EXPECTED_ADDRESS: &str = "an IPv4 address of this machine such as 10.0.0.1:7000";
const EXPECTED_STORE_ADDRESS: &str = "an IPv4 address such as 10.0.0.1:7000";
const EXPECTED_DECIMAL: &str = "a number from 0 to 10000 such as 1.5";
const EXPECTED_DURATION: &str = "a duration such as 6 s";
/// Highest decimal number that is taken for valid.
const MAX_DECIMAL: f64 = 10_000.0;
/// A shorter grace period ends before the routers have moved packets to other balancers.
const MIN_GRACE: Span = Span::from_secs(2);

/// Reads the settings of a balancer and the address of its metrics, if it serves them.
pub fn read_balancer(
    file: &Path,
    overrides: &[Override],
) -> Result<(balancer::Settings, Option<SocketAddrV4>)> {
    let mut reader = open_ini(file)?.with_overrides(overrides);
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let segments = read_address(&mut reader, SECTION, "listen");
    let messages = read_address(&mut reader, SECTION, "messages");
    let ready = read_address(&mut reader, SECTION, "ready");
    let store = reader.required("store", "address", EXPECTED_STORE_ADDRESS);
    let grace = read_grace(&mut reader);
    let requirements = read_requirements(&mut reader);
    let crossing_price =
        reader.optional("process", "crossing_price", EXPECTED_DURATION, Span::ZERO);
    let metrics = read_metrics(&mut reader);
    let settings = (|| {
        let settings = balancer::Settings {
            name: name?,
            domain: domain?,
            segments: segments?,
            messages: messages?,
            ready: ready?,
            store: store?,
            grace: grace?,
            requirements: requirements?,
            crossing_price: crossing_price?,
        };
        Some((settings, metrics?))
    })();
    finish(reader, settings)
}

/// Reads the settings of an agent and the address of its metrics, if it serves them.
pub fn read_agent(
    file: &Path,
    overrides: &[Override],
) -> Result<(agent::Settings, Option<SocketAddrV4>)> {
    let mut reader = open_ini(file)?.with_overrides(overrides);
    let name = reader.required("process", "name", "a process name");
    let domain = reader.required("process", "domain", "a failure domain");
    let default = Tolerance::default();
    let messages = read_address(&mut reader, SECTION, "listen");
    let ready = read_address(&mut reader, SECTION, "ready");
    let service = reader.required("upstream", "service", "the name of a service");
    let upstream = read_address(&mut reader, "upstream", "address");
    let outbound = read_address(&mut reader, "upstream", "outbound");
    let reports = read_address(&mut reader, "upstream", "reports");
    let factor = read_hundredths(&mut reader, "upstream", "warmup_factor", default.factor);
    let slack = read_hundredths(&mut reader, "upstream", "warmup_slack", default.slack);
    let report_interval = reader.required("upstream", "report_interval", EXPECTED_DURATION);
    let store = reader.required("store", "address", EXPECTED_STORE_ADDRESS);
    let grace = read_grace(&mut reader);
    let requirements = read_requirements(&mut reader);
    let metrics = read_metrics(&mut reader);
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
            requirements: requirements?,
            tolerance: Tolerance { factor: factor?, slack: slack? },
        };
        Some((settings, metrics?))
    })();
    finish(reader, settings)
}

/// Reads a unicast IPv4 address of this machine whose port is not 0.
fn read_address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddrV4> {
    let address: SocketAddrV4 = reader.required(section, key, EXPECTED_ADDRESS)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        reader.add_fault(section, key, &format!("expected {EXPECTED_ADDRESS}"));
        return None;
    }
    Some(address)
}

/// Reads the grace period of a shutdown, which is at least [`MIN_GRACE`].
fn read_grace(reader: &mut Reader) -> Option<Span> {
    let grace: Span = reader.required("process", "grace", EXPECTED_DURATION)?;
    if grace < MIN_GRACE {
        reader.add_fault("process", "grace", &format!("expected at least {MIN_GRACE}"));
        return None;
    }
    Some(grace)
}

/// Reads the requirements of the deployment, which are none by default.
fn read_requirements(reader: &mut Reader) -> Option<Requirements> {
    let expected = "a list of requirements such as health, places";
    reader.optional("process", "requirements", expected, Requirements::default())
}

/// Reads a decimal number of at most [`MAX_DECIMAL`]. A missing or empty one is the default, since a
/// template leaves the value empty where a deployment has none.
fn read_hundredths(
    reader: &mut Reader,
    section: &str,
    key: &str,
    default: Percent,
) -> Option<Percent> {
    let text: String = reader.optional(section, key, EXPECTED_DECIMAL, String::new())?;
    if text.is_empty() {
        return Some(default);
    }
    let number: Option<f64> = text.parse().ok();
    let Some(number) = number.filter(|number| (0.0..=MAX_DECIMAL).contains(number)) else {
        reader.add_fault(section, key, &format!("expected {EXPECTED_DECIMAL}"));
        return None;
    };
    Some(Percent::new((number * 100.0).round() as u32))
}

/// Reads the optional section `metrics`. Without it no metrics are served. The outer `None` means
/// that the section has faults.
fn read_metrics(reader: &mut Reader) -> Option<Option<SocketAddrV4>> {
    if !reader.has_section("metrics") {
        return Some(None);
    }
    read_address(reader, "metrics", "listen").map(Some)
}
