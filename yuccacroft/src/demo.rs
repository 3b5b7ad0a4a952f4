//! The demo: the whole system on the loopback interface, in one process.

mod callers;
mod system;
mod tally;

use {
    crate::{
        client::Client,
        errors::{Error, Result},
        logs,
    },
    callers::{Attempt, Board, download, reserve},
    std::time::{Duration, Instant},
    system::{Site, System},
    tally::Tally,
    yuccacroft_core::{
        ids::{Instance, Revision},
        member::Phase,
        units::Slots,
    },
    yuccacroft_fakes::caller,
    yuccacroft_wire::admin::{
        ActiveContract, Kind, Member, MemberFlows, PutContract, Report, Stored,
    },
};

/// Boards that parents leave open from the beginning to the end.
const BOARDS: usize = 3;
/// Twice as many as there are slots, so that half of them wait or try again.
const RESERVATIONS: u32 = 24;
const PACK_CHUNKS: u32 = 512;
/// A contract change has to be in force everywhere within this time at today's sizes.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(20);

type Outcome<T> = std::result::Result<T, caller::Error>;

/// Runs the demo. An error means that an answer was not whole, a flow broke or a step failed.
pub async fn run() -> Result<()> {
    let show = Show { begin: Instant::now() };
    let tally = play(&show).await.map_err(|error| Error::Demo(error.to_string().into()))?;
    println!("\n{tally}");
    tally.verdict().map_err(Error::Demo)?;
    println!("demo ok");
    Ok(())
}

/// Prints what happens with the time since the beginning.
struct Show {
    begin: Instant,
}

impl Show {
    fn line(&self, text: &str) {
        println!("{:6.2} s  {text}", self.begin.elapsed().as_secs_f64());
    }
}

async fn play(show: &Show) -> Outcome<Tally> {
    let mut system = System::start(&logs::silent()).await?;
    let mut tally = Tally::default();
    show.line("3 balancers behind a fabric that sprays packets; 3 booking and 2 pack upstreams");
    let mut boards = Vec::new();
    for _ in 0..BOARDS {
        boards.push(Board::open(&system).await?);
    }
    show.line(&format!("{BOARDS} seat boards are open and stay open to the end"));
    reservations(show, &system, &mut tally, "before").await;
    pack(show, &system, &mut tally).await?;
    update(show, &system, &mut boards, &mut tally).await;

    contract_change(show, &system, &mut tally).await?;
    reservations(show, &system, &mut tally, "after the change").await;
    update(show, &system, &mut boards, &mut tally).await;

    drain(show, &system).await?;
    reservations(show, &system, &mut tally, "after the drain").await;
    update(show, &system, &mut boards, &mut tally).await;

    replacement(show, &mut system, &mut tally).await?;
    reservations(show, &system, &mut tally, "after the replacement").await;
    update(show, &system, &mut boards, &mut tally).await;

    tally.broken_flows += boards.iter().filter(|board| board.is_broken()).count();
    drop(boards);
    system.stop().await;
    show.line("all processes have stopped");
    Ok(tally)
}

/// Several callers reserve at the same time.
async fn reservations(show: &Show, system: &System, tally: &mut Tally, when: &str) {
    let begin = Instant::now();
    let name = when.replace(' ', "-");
    let calls = (0..RESERVATIONS).map(|number| reserve(system, format!("{name}-{number}")));
    let attempts: Vec<_> = futures::future::join_all(calls).await.into_iter().flatten().collect();
    let before = tally.whole;
    let runs = system.runs();
    for Attempt { key, ending } in attempts {
        tally.count(Ok(ending));
        tally.judge(ending, runs.get(&key).copied().unwrap_or_default());
    }
    let (whole, took) = (tally.whole - before, begin.elapsed().as_millis());
    show.line(&format!("{when}: {whole} of {RESERVATIONS} reservations made in {took} ms"));
    if whole < RESERVATIONS as usize {
        tally.missed += RESERVATIONS as usize - whole;
    }
}

async fn pack(show: &Show, system: &System, tally: &mut Tally) -> Outcome<()> {
    tally.count(download(system, PACK_CHUNKS).await);
    show.line(&format!("a camp pack of {} KiB was downloaded", PACK_CHUNKS * 16));
    Ok(())
}

/// Changes the seats and waits until all boards show it.
async fn update(show: &Show, system: &System, boards: &mut [Board], tally: &mut Tally) {
    let line = system.update_boards();
    let mut shown = 0;
    for board in boards.iter_mut() {
        if board.shows(line).await {
            shown += 1;
        } else {
            tally.broken_flows += 1;
        }
    }
    show.line(&format!("{shown} of {} boards show the new seats (line {line})", boards.len()));
}

async fn contract_change(show: &Show, system: &System, tally: &mut Tally) -> Outcome<()> {
    let path = format!("/v1/contracts/{}", system::CUSTOMER);
    let (anna, ben) = (system.operator(0), system.operator(1));
    let seen: Stored = anna.get(&path).await?;
    let put = |wait: &str| PutContract {
        base: Some(seen.revision),
        change: None,
        force: false,
        contract: seen.contract.replace("wait = 500 ms", wait).into(),
    };
    let begin = Instant::now();
    let accepted = anna.put(&seen.customer, &put("wait = 800 ms")).await?;
    in_force(system, accepted.revision).await?;
    tally.changes += 1;
    let took = begin.elapsed().as_millis();
    show.line(&format!("anna's contract change is in force on all balancers after {took} ms"));
    match ben.put(&seen.customer, &put("wait = 300 ms")).await {
        Err(Error::Refused(problem)) if problem.error == Kind::Conflict => {
            show.line("ben's change of the same contract is refused and shows him anna's");
            Ok(())
        }
        _ => Err("two changes on one revision were not told apart".into()),
    }
}

async fn in_force(system: &System, revision: Revision) -> Outcome<()> {
    let begin = Instant::now();
    for balancer in 0..system.balancers() {
        let operator = system.operator(balancer);
        loop {
            let contracts: Vec<ActiveContract> = operator.get("/v1/contracts").await?;
            if contracts.iter().any(|contract| contract.revision >= revision) {
                break;
            }
            if begin.elapsed() > IN_FORCE_WITHIN {
                return Err("a contract change was not in force in time".into());
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(())
}

/// Drains the booking upstream with the most connections.
async fn drain(show: &Show, system: &System) -> Outcome<()> {
    let operator = system.operator(0);
    let flows: Vec<MemberFlows> = operator.get("/v1/flows").await?;
    let booking = |instance: Instance| system.site(instance) == Some(Site::Booking);
    let held = |flows: &&MemberFlows| flows.report.map(|report| report.connections);
    let Some(MemberFlows { instance, .. }) =
        flows.iter().filter(|f| booking(f.instance)).max_by_key(held)
    else {
        return Err("no balancer knows a booking upstream".into());
    };
    let path = format!("/v1/members/{instance}/drain");
    let report: Report = operator.send(http::Method::POST, &path, Vec::new()).await?;
    let boards = report.requests;
    show.line(&format!("an operator drains one upstream, which keeps its {boards} open boards"));
    Ok(())
}

/// Replaces a balancer while a download and the boards go on.
async fn replacement(show: &Show, system: &mut System, tally: &mut Tally) -> Outcome<()> {
    let (address, root) = system.entry(Site::Pack);
    let download = tokio::spawn(callers::download_from(address, root, PACK_CHUNKS));
    system.replace_balancer().await?;
    tally.count(download.await?);
    show.line("a balancer was replaced by a new one during a pack download");
    Ok(())
}

/// Returns the number of members that take new flows and may run requests.
async fn serving(operator: &Client) -> usize {
    let members = operator.get::<Vec<Member>>("/v1/members").await.unwrap_or_default();
    let flows = operator.get::<Vec<MemberFlows>>("/v1/flows").await.unwrap_or_default();
    let may_run = |instance| {
        let flows = flows.iter().find(|flows| flows.instance == instance);
        let allowed = flows.and_then(|flows| flows.report).map(|report| report.allowed);
        allowed.unwrap_or_default() > Slots::default()
    };
    let serving = members.iter().filter(|member| member.phase == Phase::Serving);
    serving.filter(|member| may_run(member.instance)).count()
}
