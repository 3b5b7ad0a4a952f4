//! The section `[change]` of a stored contract, which records the latest changes.

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
/// Maximum number of earlier changes in a stored contract. With them, a writer that lost a response
/// finds its own change even after later writes.
const MAX_EARLIER_CHANGES: usize = 16;

/// The change that wrote a stored contract, with the changes before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// The change that wrote the contract.
    pub id: ChangeId,
    /// The revision that the change replaced; zero for the first contract of a customer.
    pub base: Revision,
    /// The preceding changes, latest first.
    pub earlier: VecDeque<ChangeId>,
}

/// A contract in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredContract {
    /// The contract.
    pub contract: Contract<Accepted>,
    /// The change that wrote it, with the changes before it.
    pub origin: Origin,
}

impl Origin {
    /// Creates the origin of a change that replaces `current`.
    pub fn new(id: ChangeId, current: Option<&StoredContract>) -> Self {
        let Some(current) = current else { return Self { id, ..Self::default() } };
        let mut earlier = current.origin.earlier.clone();
        earlier.push_front(current.origin.id);
        earlier.truncate(MAX_EARLIER_CHANGES);
        Self { id, base: current.contract.revision(), earlier }
    }

    /// Returns true if `change` is this change or one of the recorded earlier ones.
    pub fn includes(&self, change: ChangeId) -> bool {
        self.id == change || self.earlier.contains(&change)
    }

    /// Returns true if the earlier changes are complete back to the first contract of the customer.
    pub fn is_complete(&self) -> bool {
        self.earlier.len() < MAX_EARLIER_CHANGES
    }

    /// Formats the section `[change]`.
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

impl StoredContract {
    /// Parses and validates a value of the store.
    pub fn parse(source: &str, text: &str, revision: Revision) -> Result<Self> {
        let (draft, origin) = Contract::<Draft>::parse_stored(source, text)?;
        let contract = draft.check(source)?.accept(revision, origin.id);
        Ok(Self { contract, origin })
    }
}

impl Contract<Checked> {
    /// Formats the contract with its origin as the value to store.
    pub fn stored_text(&self, origin: &Origin) -> String {
        self.text() + &origin.text()
    }
}
