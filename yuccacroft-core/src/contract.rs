//! Contracts: the services of a customer with their addresses, capacity and time limits.
//!
//! The state of a contract is part of its type: `Draft` (parsed), `Checked` (validated) or
//! `Accepted` (stored under a revision). Only an accepted contract can be put in force.

pub mod change;
pub mod registry;
pub mod store_reader;
pub mod writer;

use {
    crate::{
        errors::Result,
        ids::{ChangeId, Customer, Revision, Service},
        ini::Reader,
        key::Secret,
        time::Span,
        units::{Connections, Slots},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, fmt::Write, net::SocketAddr},
};

const MAX_SLOTS: u32 = 10_000;
const MAX_CONNECTIONS: u32 = 1_000_000;
const MAX_UPSTREAMS: u32 = 10_000;
/// Maximum of the durations of a contract.
const MAX_DURATION: Span = Span::from_secs(3_600);
const SERVICE_PREFIX: &str = "service ";

/// The terms of a contract for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// The name of the service.
    pub service: Service,
    /// The addresses at which callers reach the service.
    pub addresses: Box<[SocketAddr]>,
    /// Maximum number of concurrent requests of one upstream, unless its agent's settings override
    /// it.
    pub slots: Slots,
    /// Maximum number of open connections of one upstream.
    pub connections: Connections,
    /// Maximum number of upstreams serving at the same time. Each claims an equal part of the
    /// share.
    pub upstreams_max: u32,
    /// Maximum number of concurrent requests over all upstreams of the service.
    pub share: Slots,
    /// Time limit of a request whose caller sets no deadline.
    pub deadline: Span,
    /// Maximum time that a request waits for a slot.
    pub wait: Span,
    /// Time over which the weight of a new upstream rises to its full value.
    pub warmup: Span,
    /// Maximum time for running work to complete when its upstream drains.
    pub drain: Span,
}

/// The state of a contract that was parsed but not validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft(());

/// The state of a valid contract that can be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Checked(());

/// The state of a contract that is in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision under which the store accepted it.
    pub revision: Revision,
    /// The id of the change that wrote it.
    pub change: ChangeId,
}

/// The contract of one customer in the state `S`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract<S> {
    customer: Customer,
    key: Secret,
    capacity: Slots,
    terms: Box<[Terms]>,
    state: S,
}

impl Contract<Draft> {
    /// Parses a contract. `source` identifies the text in faults; all faults are returned together.
    pub fn parse(source: &str, text: &str) -> Result<Self> {
        let mut reader = Reader::new(source, text)?;
        let draft = read_draft(&mut reader);
        reader.finish()?;
        Ok(draft.expect("a contract without faults is complete"))
    }

    /// Parses a value of the store: a contract with the section `[change]`, which may be missing in
    /// a value that was written by hand.
    pub fn parse_stored(source: &str, text: &str) -> Result<(Self, change::Origin)> {
        let mut reader = Reader::new(source, text)?;
        let draft = read_draft(&mut reader);
        let origin = change::Origin::read(&mut reader);
        reader.finish()?;
        Ok((draft.expect("a contract without faults is complete"), origin.unwrap_or_default()))
    }

    /// Checks the rules that involve several keys. They are listed in `docs/operators.md`.
    pub fn check(self, source: &str) -> Result<Contract<Checked>> {
        let mut faults = Faults { source, list: Vec::new() };
        check_addresses(&self.terms, &mut faults);
        check_shares(self.capacity, &self.terms, &mut faults);
        if !faults.list.is_empty() {
            return Err(crate::errors::Error::Faults(faults.list.into()));
        }
        Ok(self.with_state(Checked(())))
    }
}

impl Contract<Checked> {
    /// Marks the contract as stored under a revision by a change.
    pub fn accept(self, revision: Revision, change: ChangeId) -> Contract<Accepted> {
        self.with_state(Accepted { revision, change })
    }
}

impl Contract<Accepted> {
    /// Returns the revision under which the store accepted the contract.
    pub fn revision(&self) -> Revision {
        self.state.revision
    }

    /// Returns the id of the change that wrote the contract.
    pub fn change(&self) -> ChangeId {
        self.state.change
    }
}

impl<S> Contract<S> {
    fn with_state<T>(self, state: T) -> Contract<T> {
        let Self { customer, key, capacity, terms, .. } = self;
        Contract { customer, key, capacity, terms, state }
    }

    /// Returns the customer.
    pub fn customer(&self) -> &Customer {
        &self.customer
    }

    /// Returns the secret from which the keys of all services are derived.
    pub fn key(&self) -> &Secret {
        &self.key
    }

    /// Returns the maximum number of concurrent requests over all services.
    pub fn capacity(&self) -> Slots {
        self.capacity
    }

    /// Returns the terms of all services.
    pub fn terms(&self) -> &[Terms] {
        &self.terms
    }

    /// Returns the terms of a service, or `None` if the contract does not include it.
    pub fn service(&self, service: &Service) -> Option<&Terms> {
        self.terms.iter().find(|terms| terms.service == *service)
    }

    /// Formats the contract as the INI text that [`Contract::parse`] reads.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let Self { customer, key, capacity, .. } = self;
        // Writing to a string cannot fail.
        let _ = writeln!(text, "[customer]\nname = {customer}\nkey = {key}\ncapacity = {capacity}");
        for terms in &self.terms {
            write_terms(&mut text, terms);
        }
        text
    }
}

fn write_terms(text: &mut String, terms: &Terms) {
    let addresses: Vec<_> = terms.addresses.iter().map(ToString::to_string).collect();
    let _ = writeln!(text, "\n[{SERVICE_PREFIX}{}]", terms.service);
    let _ = writeln!(text, "addresses = {}", addresses.join(", "));
    let _ = writeln!(text, "slots = {}", terms.slots);
    let _ = writeln!(text, "connections = {}", terms.connections);
    let _ = writeln!(text, "upstreams_max = {}", terms.upstreams_max);
    let _ = writeln!(text, "share = {}", terms.share);
    let _ = writeln!(text, "deadline = {}", terms.deadline);
    let _ = writeln!(text, "wait = {}", terms.wait);
    let _ = writeln!(text, "warmup = {}", terms.warmup);
    let _ = writeln!(text, "drain = {}", terms.drain);
}

struct Faults<'a> {
    source: &'a str,
    list: Vec<crate::errors::Fault>,
}

impl Faults<'_> {
    fn push(&mut self, section: String, key: &str, expected: String) {
        self.list.push(crate::errors::Fault {
            source: self.source.into(),
            section: section.into(),
            key: key.into(),
            expected: expected.into(),
        });
    }
}

fn check_addresses(terms: &[Terms], faults: &mut Faults<'_>) {
    let mut seen = BTreeSet::new();
    for terms in terms {
        for address in &terms.addresses {
            if !seen.insert(*address) {
                let section = format!("{SERVICE_PREFIX}{}", terms.service);
                faults.push(section, "addresses", format!("{address} is used by two services"));
            }
        }
    }
}

fn check_shares(capacity: Slots, terms: &[Terms], faults: &mut Faults<'_>) {
    let total: u64 = terms.iter().map(|terms| u64::from(terms.share.get())).sum();
    if total > u64::from(capacity.get()) {
        let expected = format!("expected at least {total}, the sum of all shares");
        faults.push("customer".to_owned(), "capacity", expected);
    }
}

/// Reads all keys before it returns `None` for a missing one, so that all faults are recorded.
fn read_draft(reader: &mut Reader) -> Option<Contract<Draft>> {
    let customer = reader.required("customer", "name", "a customer name");
    let key = reader.required("customer", "key", "64 hexadecimal digits");
    let capacity = reader.required("customer", "capacity", "a number of requests");
    let sections = reader.sections();
    let service_names: Vec<_> =
        sections.iter().filter_map(|s| s.strip_prefix(SERVICE_PREFIX)).collect();
    let terms: Vec<_> = service_names.iter().map(|name| read_terms(reader, name)).collect();
    let terms: Option<Vec<_>> = terms.into_iter().collect();
    Some(Contract {
        customer: customer?,
        key: key?,
        capacity: capacity?,
        terms: terms?.into(),
        state: Draft(()),
    })
}

fn read_terms(reader: &mut Reader, name: &str) -> Option<Terms> {
    let section = &*format!("{SERVICE_PREFIX}{name}");
    let service: Option<Service> = name.parse().ok();
    if service.is_none() {
        reader.add_fault(section, "", "expected a service name after \"service\"");
    }
    let addresses = reader.list(section, "addresses", "addresses such as 127.0.40.1:4433");
    let slots = read_bounded(reader, section, "slots", MAX_SLOTS);
    let connections = read_bounded(reader, section, "connections", MAX_CONNECTIONS);
    let upstreams_max = read_bounded(reader, section, "upstreams_max", MAX_UPSTREAMS);
    let share = reader.required(section, "share", "a number of requests");
    let deadline = read_span(reader, section, "deadline", Span::from_secs(5));
    let wait = read_span(reader, section, "wait", Span::from_millis(500));
    let warmup = read_span(reader, section, "warmup", Span::from_secs(10));
    let drain = read_span(reader, section, "drain", Span::from_secs(30));
    Some(Terms {
        service: service?,
        addresses: addresses.into(),
        slots: Slots::new(slots?),
        connections: Connections::new(connections?),
        upstreams_max: upstreams_max?,
        share: share?,
        deadline: deadline?,
        wait: wait?,
        warmup: warmup?,
        drain: drain?,
    })
}

fn read_bounded(reader: &mut Reader, section: &str, key: &str, max: u32) -> Option<u32> {
    let expected = format!("a whole number from 1 to {max}");
    let value = reader.required(section, key, &expected)?;
    if !(1..=max).contains(&value) {
        reader.add_fault(section, key, &format!("expected {expected}"));
        return None;
    }
    Some(value)
}

fn read_span(reader: &mut Reader, section: &str, key: &str, default: Span) -> Option<Span> {
    let value = reader.optional(section, key, "a duration such as 250 ms or 3 s", default)?;
    if value > MAX_DURATION {
        reader.add_fault(section, key, &format!("expected at most {MAX_DURATION}"));
        return None;
    }
    Some(value)
}
