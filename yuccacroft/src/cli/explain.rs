//! The `explain` command: tells where a new flow would go now, and why. It sends nothing to agents or
//! upstreams.

mod text;

use {
    crate::{
        client,
        errors::{Error, Result},
    },
    argh::FromArgs,
    std::{fs, net::SocketAddr, path::PathBuf, str::FromStr},
    yuccacroft_core::{ids::Domain, route::ServiceName},
    yuccacroft_rpc::admin::DUMP_PATH,
    yuccacroft_segment::{
        dump::Placement,
        explain::{Destination, Question},
    },
};

/// Explain where a new flow would go now, from the state of a balancer of the segment front end.
/// Nothing is sent to agents or upstreams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// metrics address of the balancer, which serves its state
    #[argh(option)]
    admin: Option<String>,
    /// file with a state dump of a balancer, in place of --admin
    #[argh(option)]
    dump: Option<PathBuf>,
    /// address and port of the caller
    #[argh(option)]
    caller: Option<String>,
    /// address and port that the caller opens a flow to
    #[argh(option)]
    address: Option<String>,
    /// name of the service, in place of --address
    #[argh(option)]
    service: Option<String>,
    /// failure domain of the caller, to check that the balancer is one of this domain
    #[argh(option)]
    domain: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Explain {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let question = self.question().map_err(Error::Explanation)?;
        let text = self.read_state().await.map_err(Error::Explanation)?;
        let state: Placement = serde_json::from_str(&text).map_err(|error| {
            Error::Explanation(format!("not a state dump of a balancer: {error}").into())
        })?;
        let answer =
            question.answer(state).map_err(|error| Error::Explanation(error.to_string().into()))?;
        if self.json {
            let text = serde_json::to_string_pretty(&answer);
            println!("{}", text.map_err(|error| Error::Explanation(error.to_string().into()))?);
        } else {
            print!("{}", text::format(&answer));
        }
        match text::reason(&answer) {
            Some(reason) => Err(Error::NotPlaced(reason.into())),
            None => Ok(()),
        }
    }

    fn question(&self) -> std::result::Result<Question, Box<str>> {
        let caller = self.caller.as_deref().ok_or("expected --caller")?;
        let destination = match (&self.address, &self.service) {
            (Some(address), None) => Destination::Address(parse("--address", address)?),
            (None, Some(service)) => {
                Destination::Service(parse::<ServiceName>("--service", service)?)
            }
            _ => return Err("expected either --address or --service".into()),
        };
        let domain = self.domain.as_deref().map(|text| parse::<Domain>("--domain", text));
        Ok(Question {
            caller: parse("--caller", caller)?,
            destination,
            domain: domain.transpose()?,
        })
    }

    async fn read_state(&self) -> std::result::Result<String, Box<str>> {
        match (&self.admin, &self.dump) {
            (Some(address), None) => {
                let address: SocketAddr = parse("--admin", address)?;
                let text = client::get_public(address, DUMP_PATH).await;
                text.map_err(|error| error.to_string().into())
            }
            (None, Some(file)) => {
                let text = fs::read_to_string(file);
                text.map_err(|error| format!("{}: {error}", file.display()).into())
            }
            _ => Err("expected either --admin or --dump".into()),
        }
    }
}

fn parse<T: FromStr<Err: ToString>>(option: &str, text: &str) -> std::result::Result<T, Box<str>> {
    text.parse().map_err(|error: T::Err| format!("{option} {text}: {}", error.to_string()).into())
}
