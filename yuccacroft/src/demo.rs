//! The demo, which runs the whole system on the loopback interface in one process.

mod callers;
mod counts;
mod system;

use {
    crate::{
        client::Client,
        errors::{Error, Result},
        logs,
    },
    callers::{Attempt, Board, download, reserve},
    counts::Counts,
    std::time::{Duration, Instant},
    system::{Service, System},
    yuccacroft_core::{
        ids::{Instance, Revision},
        member::MemberPhase,
        units::Slots,
    },
    yuccacroft_fakes::caller,
    yuccacroft_wire::admin::{
        ActiveContract, AgentReport, ContractStatus, Member, MemberFlows, ProblemKind, PutContract,
    },
};

/// Seat boards that stay open from the beginning to the end.
const BOARDS: usize = 3;
/// Concurrent reservations. They are twice as many as there are slots, so that half of them wait or
/// are retried.
const RESERVATIONS: u32 = 24;
/// Length of a camp pack in chunks.
const PACK_CHUNKS: u32 = 512;
/// Limit for a contract change to be in force on all balancers of a system of this size.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which balancers are asked whether they have reached a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The result of a step of the demo.
type DemoResult<T> = std::result::Result<T, caller::Error>;

/// Runs the demo. Returns an error if an answer was incomplete, a flow broke or a step failed.
pub async fn run() -> Result<()> {
    let progress = Progress { started_at: Instant::now() };
    let counts =
        run_steps(&progress).await.map_err(|error| Error::Demo(error.to_string().into()))?;
    println!("\n{counts}");
    counts.check().map_err(Error::Demo)?;
    println!("demo ok");
    Ok(())
}

/// Prints each step with the time since the start of the demo.
struct Progress {
    started_at: Instant,
}

impl Progress {
    fn print(&self, text: &str) {
        println!("{:6.2} s  {text}", self.started_at.elapsed().as_secs_f64());
    }
}

async fn run_steps(progress: &Progress) -> DemoResult<Counts> {
    let mut system = System::start(&logs::discarding_logger()).await?;
    let mut counts = Counts::default();
    progress
        .print("3 balancers behind a fabric that spreads packets; 3 booking and 2 pack upstreams");
    let mut boards = Vec::new();
    for _ in 0..BOARDS {
        boards.push(Board::open(&system).await?);
    }
    progress.print(&format!("{BOARDS} seat boards are open and stay open to the end"));
    make_reservations(progress, &system, &mut counts, "before").await;
    download_pack(progress, &system, &mut counts).await?;
    update_boards(progress, &system, &mut boards, &mut counts).await;

    change_contract(progress, &system, &mut counts).await?;
    make_reservations(progress, &system, &mut counts, "after the change").await;
    update_boards(progress, &system, &mut boards, &mut counts).await;

    drain_upstream(progress, &system).await?;
    make_reservations(progress, &system, &mut counts, "after the drain").await;
    update_boards(progress, &system, &mut boards, &mut counts).await;

    replace_balancer(progress, &mut system, &mut counts).await?;
    make_reservations(progress, &system, &mut counts, "after the replacement").await;
    update_boards(progress, &system, &mut boards, &mut counts).await;

    counts.broken_flows += boards.iter().filter(|board| board.has_ended()).count();
    drop(boards);
    system.stop().await;
    progress.print("all processes have stopped");
    Ok(counts)
}

/// Makes reservations from concurrent callers and checks the answers against the runs that the
/// upstreams recorded.
async fn make_reservations(progress: &Progress, system: &System, counts: &mut Counts, phase: &str) {
    let started_at = Instant::now();
    let key_prefix = phase.replace(' ', "-");
    let calls = (0..RESERVATIONS).map(|number| reserve(system, format!("{key_prefix}-{number}")));
    let attempts: Vec<_> = futures::future::join_all(calls).await.into_iter().flatten().collect();
    let before = counts.complete;
    let runs = system.runs();
    for Attempt { key, outcome } in attempts {
        counts.add(Ok(outcome));
        counts.check_runs(outcome, runs.get(&key).copied().unwrap_or_default());
    }
    let (complete, took_ms) = (counts.complete - before, started_at.elapsed().as_millis());
    progress
        .print(&format!("{phase}: {complete} of {RESERVATIONS} reservations made in {took_ms} ms"));
    if complete < RESERVATIONS as usize {
        counts.failed_reservations += RESERVATIONS as usize - complete;
    }
}

/// Downloads a camp pack.
async fn download_pack(
    progress: &Progress,
    system: &System,
    counts: &mut Counts,
) -> DemoResult<()> {
    counts.add(download(system, PACK_CHUNKS).await);
    progress.print(&format!("a camp pack of {} KiB was downloaded", PACK_CHUNKS * 16));
    Ok(())
}

/// Sends the next line to all boards and waits until each of them shows it.
async fn update_boards(
    progress: &Progress,
    system: &System,
    boards: &mut [Board],
    counts: &mut Counts,
) {
    let line = system.update_boards();
    let mut shown = 0;
    for board in boards.iter_mut() {
        if board.wait_for_line(line).await {
            shown += 1;
        } else {
            counts.broken_flows += 1;
        }
    }
    progress.print(&format!("{shown} of {} boards show the new seats (line {line})", boards.len()));
}

/// Changes a contract, and checks that a second change of the same revision conflicts.
async fn change_contract(
    progress: &Progress,
    system: &System,
    counts: &mut Counts,
) -> DemoResult<()> {
    let path = format!("/v1/contracts/{}", system::CUSTOMER);
    let (first_operator, second_operator) = (system.operator(0), system.operator(1));
    let stored: ContractStatus = first_operator.get(&path).await?;
    let put = |wait: &str| PutContract {
        base: Some(stored.revision),
        change: None,
        force: false,
        contract: stored.contract.replace("wait = 500 ms", wait).into(),
    };
    let started_at = Instant::now();
    let accepted = first_operator.put(&stored.customer, &put("wait = 800 ms")).await?;
    wait_in_force(system, accepted.revision).await?;
    counts.changes += 1;
    let took_ms = started_at.elapsed().as_millis();
    progress.print(&format!("a contract change is in force on all balancers after {took_ms} ms"));
    match second_operator.put(&stored.customer, &put("wait = 300 ms")).await {
        Err(Error::Refused(problem)) if problem.error == ProblemKind::Conflict => {
            progress.print(
                "a second change of the same revision is refused, with the contract in force",
            );
            Ok(())
        }
        _ => Err("a second change of the same revision did not conflict".into()),
    }
}

/// Waits until a revision is in force on all balancers.
async fn wait_in_force(system: &System, revision: Revision) -> DemoResult<()> {
    let started_at = Instant::now();
    for balancer in 0..system.balancer_count() {
        let operator = system.operator(balancer);
        loop {
            let contracts: Vec<ActiveContract> = operator.get("/v1/contracts").await?;
            if contracts.iter().any(|contract| contract.revision >= revision) {
                break;
            }
            if started_at.elapsed() > IN_FORCE_TIMEOUT {
                return Err("a contract change was not in force in time".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Drains the booking upstream with the most connections.
async fn drain_upstream(progress: &Progress, system: &System) -> DemoResult<()> {
    let operator = system.operator(0);
    let flows: Vec<MemberFlows> = operator.get("/v1/flows").await?;
    let is_booking = |instance: Instance| system.service(instance) == Some(Service::Booking);
    let connections = |flows: &&MemberFlows| flows.report.map(|report| report.connections);
    let Some(MemberFlows { instance, .. }) =
        flows.iter().filter(|f| is_booking(f.instance)).max_by_key(connections)
    else {
        return Err("the balancer knows no booking upstream".into());
    };
    let path = format!("/v1/members/{instance}/drain");
    let report: AgentReport = operator.send(http::Method::POST, &path, Vec::new()).await?;
    let open_boards = report.requests;
    progress.print(&format!(
        "an operator drains one upstream, which keeps its {open_boards} open boards"
    ));
    Ok(())
}

/// Replaces a balancer during a download and while the boards are open.
async fn replace_balancer(
    progress: &Progress,
    system: &mut System,
    counts: &mut Counts,
) -> DemoResult<()> {
    let (address, root) = system.endpoint(Service::Pack);
    let download = tokio::spawn(callers::download_from(address, root, PACK_CHUNKS));
    system.replace_balancer().await?;
    counts.add(download.await?);
    progress.print("a balancer was replaced by a new one during a pack download");
    Ok(())
}

/// Returns the number of members that take new flows and have slots to run requests.
async fn count_serving(operator: &Client) -> usize {
    let members = operator.get::<Vec<Member>>("/v1/members").await.unwrap_or_default();
    let flows = operator.get::<Vec<MemberFlows>>("/v1/flows").await.unwrap_or_default();
    let has_slots = |instance| {
        let flows = flows.iter().find(|flows| flows.instance == instance);
        let allowed = flows.and_then(|flows| flows.report).map(|report| report.allowed);
        allowed.unwrap_or_default() > Slots::default()
    };
    let serving = members.iter().filter(|member| member.phase == MemberPhase::Serving);
    serving.filter(|member| has_slots(member.instance)).count()
}
