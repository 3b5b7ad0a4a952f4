//! The cases.

use {
    crate::{
        Verdict,
        consumer::{Consumer, End, Plan},
        deployment::{Deployment, Route, entry_key, manifest},
        record::Record,
        store::Access,
        system::DATAGRAM_PORT,
    },
    std::{net::SocketAddrV4, thread, time::Duration},
};

/// Plays a case. Its record is written to `folder`.
pub fn play(case: &str, folder: &str, has_trouble: bool) -> Verdict {
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => record,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let result = match case {
        "silent-store" => play_silent_store(&record, has_trouble),
        "keys-taken" => play_keys_taken(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let verdict = result.unwrap_or_else(Verdict::NotRun);
    if let Verdict::Broken(what) = &verdict {
        record.line(&format!("the rule was broken: {what}"));
    }
    verdict
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

fn consume(
    system: &Deployment,
    record: &Record,
    index: u8,
    route: SocketAddrV4,
    flows: u16,
    first_port: u16,
) -> Result<Consumer, String> {
    let plan = Plan {
        address: system.consumer_address(index),
        port: DATAGRAM_PORT,
        route,
        flows,
        first_port,
        pause: Duration::from_millis(700),
    };
    Consumer::start(plan, &system.router, record).map_err(|error| error.to_string())
}

/// The store is silent for one second amid changes of the manifest. A later manifest drops a route.
fn play_silent_store(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    /// `configApplyMs` of the small sites.
    const CONFIG_APPLY_S: f64 = 3.0;
    /// `contactMs` of the small sites.
    const CONTACT_S: f64 = 4.0;
    /// Changes in quick succession: 1.8 s, every 0.08 s.
    const CHANGES: u32 = 22;
    const CHANGE_GAP_S: f64 = 0.08;
    const SILENCE_S: f64 = 1.0;
    /// The first port of the flows that are opened when the manifest without the route is in force.
    const LATE_PORT: u16 = 30_000;
    /// Time for the packets of one attempt.
    const MARGIN_S: f64 = 0.1;

    let (kept, dropped) = (443, 8443);
    let with_both = |system: &Deployment, version| {
        let route = |port, name| Route { address: system.route_address(port), name };
        manifest(version, &[route(kept, "kept"), route(dropped, "dropped")])
    };
    let system = Deployment::start(record, 3, 3)?;
    let mut version = 3;
    system.store.write("op/config", &with_both(&system, version));
    sleep(1.0);
    let early = consume(&system, record, 0, system.route_address(dropped), 5, 20_000)?;
    sleep(3.0);
    early.stop();
    if early.answers() == 0 {
        return Err("the route was not served at first".into());
    }
    let mut change = |what: &str| {
        version += 2;
        let text = if what == "drop" {
            let route = Route { address: system.route_address(kept), name: "kept" };
            manifest(version, &[route])
        } else {
            with_both(&system, version)
        };
        system.store.write("op/config", &text);
        record.line(&format!("manifest {version} is confirmed: {what}"));
        record.now()
    };
    for _ in 0..CHANGES {
        change("no change of the routes");
        sleep(CHANGE_GAP_S);
    }
    if has_trouble {
        system.set_access_of_all(Access::Silent);
        record.line("the store is silent");
    }
    sleep(SILENCE_S);
    system.set_access_of_all(Access::Served);
    let ended = record.now();
    record.line("the store answers again");
    sleep(0.6);
    let confirmed = change("drop");
    let checked_from = (confirmed + CONFIG_APPLY_S).max(ended + CONTACT_S) + MARGIN_S;
    sleep(checked_from - record.now());
    record.line("from now on the dropped route must not be served");
    let late = consume(&system, record, 1, system.route_address(dropped), 5, LATE_PORT)?;
    sleep(2.5);
    late.stop();
    let runs: u32 = system.backends.iter().map(|backend| backend.runs_from(LATE_PORT)).sum();
    record.line(&format!("{runs} requests ran on the dropped route"));
    if runs == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("{runs} requests ran on a route that had been dropped")))
}

/// The store turns one agent's machine away and its key is taken away, while a balancer is stopped and
/// started again.
fn play_keys_taken(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    /// The longest time for which the store turns machines away.
    const REFUSAL_S: f64 = 9.0;
    /// Answers of a run in which the system serves at all: there are 40 flows for about 15 s.
    const MIN_ANSWERS: u32 = 100;

    let system = Deployment::start(record, 3, 3)?;
    let route = system.route_address(443);
    system.store.write("op/config", &manifest(3, &[Route { address: route, name: "board" }]));
    sleep(1.0);
    let consumer = consume(&system, record, 0, route, 40, 20_000)?;
    sleep(5.0);
    let hit = &system.agents[0];
    if has_trouble {
        record.line(&format!("the store turns {} away, and its key is taken away", hit.name));
        system.store.set_access(hit.store, Access::Reset);
        if !system.store.take_away(&entry_key(hit)) {
            return Err("the agent had no key".into());
        }
    }
    sleep(1.0);
    let restarted = &system.balancers[0];
    record.line(&format!("planned work: SIGTERM to {}", restarted.name));
    restarted.signal("TERM");
    sleep(REFUSAL_S - 1.0);
    system.store.set_access(hit.store, Access::Served);
    record.line("the store serves all machines");
    sleep(2.0);
    consumer.stop();
    if restarted.starts() < 2 {
        return Err("the balancer was not restarted".into());
    }
    let reports = consumer.reports();
    let answers: u32 = reports.iter().map(|report| report.answers).sum();
    let is_held = |id| system.backends.iter().any(|backend| backend.holds(id));
    let mut broken = 0;
    for report in &reports {
        if let Some((at, End::Reset)) = report.end
            && report.opened_at.is_some()
            && is_held(report.id)
        {
            broken += 1;
            let caller = report.id.0;
            record.line(&format!("flow {caller}, which its backend holds, was reset at {at:.3}"));
        }
    }
    record.line(&format!("{} flows, {answers} answers, {broken} broken", reports.len()));
    if answers < MIN_ANSWERS {
        return Err(format!("only {answers} answers"));
    }
    if broken == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("{broken} open flows were reset, not by their backends")))
}
