//! The section `[change]` of a stored contract: which change wrote it, on top of what.

use {
    super::{Accepted, Checked, Contract, Draft},
    crate::{
        errors::Result,
        ids::{ChangeId, Revision},
        ini::Reader,
    },
    std::{collections::VecDeque, fmt::Write},
};

const SECTION: &str = "change";
/// Earlier changes that a value names. A writer whose answer was lost finds its own change among
/// them even when others have written since.
const MAX_EARLIER: usize = 16;

/// Where a stored contract comes from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// The change that wrote it.
    pub id: ChangeId,
    /// The revision that it was based on; zero for the first contract of a customer.
    pub base: Revision,
    /// The changes before it, the latest first.
    pub earlier: VecDeque<ChangeId>,
}

/// A contract as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The contract.
    pub contract: Contract<Accepted>,
    /// Where it comes from.
    pub origin: Origin,
}

impl Origin {
    /// Describes a change on top of what the store holds.
    pub fn new(id: ChangeId, current: Option<&Stored>) -> Self {
        let Some(current) = current else { return Self { id, ..Self::default() } };
        let mut earlier = current.origin.earlier.clone();
        earlier.push_front(current.origin.id);
        earlier.truncate(MAX_EARLIER);
        Self { id, base: current.contract.revision(), earlier }
    }

    /// Returns true when the change is this one or one before it.
    pub fn includes(&self, change: ChangeId) -> bool {
        self.id == change || self.earlier.contains(&change)
    }

    /// Returns true when the earlier changes reach back to the first contract of the customer.
    pub fn is_whole(&self) -> bool {
        self.earlier.len() < MAX_EARLIER
    }

    /// Writes the section as text.
    pub fn text(&self) -> String {
        let mut text = format!("\n[{SECTION}]\nid = {}\nbase = {}\n", self.id, self.base);
        if !self.earlier.is_empty() {
            let earlier: Vec<_> = self.earlier.iter().map(ToString::to_string).collect();
            // Writing to a string cannot fail.
            let _ = writeln!(text, "earlier = {}", earlier.join(", "));
        }
        text
    }

    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        if !reader.has_section(SECTION) {
            return None;
        }
        let id = reader.required(SECTION, "id", "32 hexadecimal digits");
        let base = reader.required(SECTION, "base", "a revision number");
        let earlier: Option<Box<str>> = reader
            .optional::<String>(SECTION, "earlier", "ids of changes", String::new())
            .map(Into::into);
        let ids = earlier.as_deref().unwrap_or_default().split(',').map(str::trim);
        let earlier: Result<VecDeque<ChangeId>> =
            ids.filter(|id| !id.is_empty()).map(str::parse).collect();
        if earlier.is_err() {
            reader.add_fault(SECTION, "earlier", "expected ids of changes");
        }
        Some(Self { id: id?, base: base?, earlier: earlier.ok()? })
    }
}

impl Stored {
    /// Parses and checks a value of the store.
    pub fn parse(source: &str, text: &str, revision: Revision) -> Result<Self> {
        let (draft, origin) = Contract::<Draft>::parse_stored(source, text)?;
        let contract = draft.check(source)?.accept(revision, origin.id);
        Ok(Self { contract, origin })
    }
}

impl Contract<Checked> {
    /// Writes the contract as the value that the store holds.
    pub fn stored_text(&self, origin: &Origin) -> String {
        self.text() + &origin.text()
    }
}
