//! Commands for operators, which call the administration interface of a process.

use {
    crate::{
        client::Client,
        errors::{Error, Result},
    },
    argh::FromArgs,
    http::Method,
    std::{fs, net::SocketAddr, path::PathBuf},
    yuccacroft_core::{
        contract,
        ids::{ChangeId, Customer, Instance, Revision},
    },
    yuccacroft_rpc::admin::{DUMP_PATH, DUMP_TEXT_PATH},
    yuccacroft_wire::admin::{
        ActiveContract, AgentReport, ContractStatus, PutContract as PutRequest, Source,
    },
};

/// Start of the comment line in which `contract get` prints the revision and from which
/// `contract put` reads it.
const REVISION_PREFIX: &str = "; revision ";

/// Read and change the contracts of customers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "contract")]
pub struct Contract {
    #[argh(subcommand)]
    command: ContractCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ContractCommand {
    Get(Get),
    Put(Put),
    List(List),
}

/// Print the accepted contract of a customer as INI text, preceded by a line with its revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// address of the administration interface of a balancer
    #[argh(option)]
    admin: SocketAddr,
    /// file with the token
    #[argh(option)]
    token_file: PathBuf,
    /// the customer
    #[argh(positional)]
    customer: Customer,
}

/// Change the contract of the customer that the file names.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
struct Put {
    /// address of the administration interface of a balancer
    #[argh(option)]
    admin: SocketAddr,
    /// file with the token
    #[argh(option)]
    token_file: PathBuf,
    /// the revision that the change is based on, 0 for a new contract; by default the one in the
    /// first line of the file, as `contract get` writes it
    #[argh(option)]
    base: Option<Revision>,
    /// allow the change to remove a service
    #[argh(switch)]
    force: bool,
    /// the contract as INI text
    #[argh(positional)]
    file: PathBuf,
}

/// List the contracts in force on a balancer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// address of the administration interface of a balancer
    #[argh(option)]
    admin: SocketAddr,
    /// file with the token
    #[argh(option)]
    token_file: PathBuf,
}

/// Drain an upstream: it gets no new work, keeps its open flows and goes on running.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// address of the administration interface of a balancer
    #[argh(option)]
    admin: SocketAddr,
    /// file with the token
    #[argh(option)]
    token_file: PathBuf,
    /// the capsule address of the agent
    #[argh(positional)]
    instance: Instance,
}

/// Print the state of a balancer or an agent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct Dump {
    /// address of the administration interface of the process
    #[argh(option)]
    admin: SocketAddr,
    /// file with the token
    #[argh(option)]
    token_file: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Contract {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        match self.command {
            ContractCommand::Get(command) => command.run().await,
            ContractCommand::Put(command) => command.run().await,
            ContractCommand::List(command) => command.run().await,
        }
    }
}

impl Get {
    async fn run(self) -> Result<()> {
        let client = Client::with_token_file(self.admin, &self.token_file)?;
        let stored: ContractStatus =
            client.get(&format!("/v1/contracts/{}", self.customer)).await?;
        if stored.source == Source::Balancer {
            eprintln!("the store does not answer; this is the contract in force on the balancer");
        }
        print!("{REVISION_PREFIX}{}\n{}", stored.revision, stored.contract);
        Ok(())
    }
}

impl Put {
    async fn run(self) -> Result<()> {
        let name = self.file.display().to_string();
        let text = fs::read_to_string(&self.file)
            .map_err(|cause| Error::File { name: name.as_str().into(), cause })?;
        let draft = contract::Contract::parse(&name, &text)?.check(&name)?;
        let base = match self.base.or_else(|| base_revision(&text)) {
            Some(base) => base,
            None => {
                let text = format!("{name}: first line: expected \"{REVISION_PREFIX}N\" or --base");
                return Err(Error::Usage(text.into()));
            }
        };
        let change = ChangeId::new(rand::random());
        let request = PutRequest {
            base: Some(base),
            change: Some(change),
            force: self.force,
            contract: text.into(),
        };
        let client = Client::with_token_file(self.admin, &self.token_file)?;
        let stored = client.put(draft.customer(), &request).await?;
        if stored.change == change {
            println!("accepted: {} revision {} change {change}", stored.customer, stored.revision);
        } else {
            let (customer, revision) = (&stored.customer, stored.revision);
            println!("accepted, then replaced: {customer} revision {revision} change {change}");
        }
        Ok(())
    }
}

impl List {
    async fn run(self) -> Result<()> {
        let client = Client::with_token_file(self.admin, &self.token_file)?;
        let contracts: Vec<ActiveContract> = client.get("/v1/contracts").await?;
        for ActiveContract { customer, revision, services, .. } in contracts {
            let services: Vec<_> = services.iter().map(ToString::to_string).collect();
            println!("{customer} revision {revision} services {}", services.join(" "));
        }
        Ok(())
    }
}

impl Drain {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let client = Client::with_token_file(self.admin, &self.token_file)?;
        let path = format!("/v1/members/{}/drain", self.instance);
        let report: AgentReport = client.send(Method::POST, &path, Vec::new()).await?;
        let AgentReport { connections, requests, .. } = report;
        println!("draining: {} connections {connections} requests {requests}", self.instance);
        Ok(())
    }
}

impl Dump {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let client = Client::with_token_file(self.admin, &self.token_file)?;
        if self.json {
            println!("{}", client.get_text(DUMP_PATH).await?);
        } else {
            print!("{}", client.get_text(DUMP_TEXT_PATH).await?);
        }
        Ok(())
    }
}

/// Reads the revision from the first line of a contract that `contract get` printed.
fn base_revision(text: &str) -> Option<Revision> {
    text.lines().next()?.strip_prefix(REVISION_PREFIX)?.trim().parse().ok()
}
