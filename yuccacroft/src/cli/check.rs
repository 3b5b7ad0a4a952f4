//! The command that checks settings and contracts without starting anything.

use {
    crate::{
        errors::{Error, Result},
        settings::{
            self,
            segment::{self, SECTION},
        },
    },
    argh::FromArgs,
    std::path::{Path, PathBuf},
    yuccacroft_core::{contract::Contract, errors},
};

/// Check settings of both roles and contracts, and list all faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// What a file is, as its sections tell.
#[derive(Clone, Copy)]
enum Content {
    Contract,
    Agent,
    Balancer,
}

impl Check {
    /// Runs the command. The error holds the faults of all files.
    pub fn run(self) -> Result<()> {
        if self.files.is_empty() {
            return Err(Error::Usage("expected at least one file".into()));
        }
        let mut faults = Vec::new();
        for file in &self.files {
            match check(file) {
                Ok(content) => println!("{}: {} ok", file.display(), content.name()),
                Err(Error::Settings(errors::Error::Faults(list))) => faults.extend(list),
                Err(error) => return Err(error),
            }
        }
        if faults.is_empty() {
            return Ok(());
        }
        Err(Error::Settings(errors::Error::Faults(faults.into())))
    }
}

impl Content {
    fn name(self) -> &'static str {
        match self {
            Self::Contract => "contract",
            Self::Agent => "settings of an agent",
            Self::Balancer => "settings of a balancer",
        }
    }
}

fn check(file: &Path) -> Result<Content> {
    let reader = settings::open(file)?;
    if reader.has_section("customer") {
        let (name, text) = settings::read(file)?;
        Contract::parse(&name, &text)?.check(&name)?;
        Ok(Content::Contract)
    } else if reader.has_section("service") || reader.has_section("upstream") {
        if reader.has_section(SECTION) {
            segment::agent(file)?;
        } else {
            settings::agent(file)?;
        }
        Ok(Content::Agent)
    } else {
        if reader.has_section(SECTION) {
            segment::balancer(file)?;
        } else {
            settings::balancer(file)?;
        }
        Ok(Content::Balancer)
    }
}
