//! The `check` command, which validates settings and contracts without starting a process.

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

/// Check settings files and contracts, and list all faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings files of balancers or agents, and contracts
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Kind of a file, determined by its sections.
#[derive(Clone, Copy)]
enum FileKind {
    Contract,
    Agent,
    Balancer,
}

impl Check {
    /// Runs the command. The returned error lists the faults of all files.
    pub fn run(self) -> Result<()> {
        if self.files.is_empty() {
            return Err(Error::Usage("expected at least one file".into()));
        }
        let mut faults = Vec::new();
        for file in &self.files {
            match check_file(file) {
                Ok(kind) => println!("{}: {} ok", file.display(), kind.description()),
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

impl FileKind {
    fn description(self) -> &'static str {
        match self {
            Self::Contract => "contract",
            Self::Agent => "settings of an agent",
            Self::Balancer => "settings of a balancer",
        }
    }
}

fn check_file(file: &Path) -> Result<FileKind> {
    let reader = settings::open_ini(file)?;
    if reader.has_section("customer") {
        let (name, text) = settings::read_file(file)?;
        Contract::parse(&name, &text)?.check(&name)?;
        Ok(FileKind::Contract)
    } else if reader.has_section("service") || reader.has_section("upstream") {
        if reader.has_section(SECTION) {
            segment::read_agent(file, &[])?;
        } else {
            settings::read_agent(file)?;
        }
        Ok(FileKind::Agent)
    } else {
        if reader.has_section(SECTION) {
            segment::read_balancer(file, &[])?;
        } else {
            settings::read_balancer(file)?;
        }
        Ok(FileKind::Balancer)
    }
}
