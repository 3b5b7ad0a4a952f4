//! A checked reader of INI texts that collects every fault instead of stopping at the first.

use {
    crate::errors::{Error, Fault, Result},
    ini::Ini,
    std::{
        collections::{BTreeMap, BTreeSet},
        str::FromStr,
    },
};

/// A section and a key in it; the key is empty when the section itself is meant.
type Place = (Box<str>, Box<str>);

/// Reads typed values from an INI text and remembers what is missing, ill-typed or unknown.
///
/// Callers ask for every key that they know and then call [`Reader::finish`], which reports all
/// faults together. A section or key that nobody asked for is a fault too.
#[derive(Debug)]
pub struct Reader {
    source: Box<str>,
    ini: Ini,
    known: BTreeSet<Place>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses a text. `source` names it in faults, for example a file name.
    pub fn new(source: &str, text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            Error::Faults(Box::new([Fault {
                source: source.into(),
                section: "".into(),
                key: "".into(),
                expected: format!("expected an INI text: {error}").into(),
            }]))
        })?;
        let mut reader =
            Self { source: source.into(), ini, known: BTreeSet::new(), faults: Vec::new() };
        reader.reject_duplicates();
        Ok(reader)
    }

    /// Returns the names of all sections in their order.
    pub fn sections(&self) -> Vec<Box<str>> {
        self.ini.sections().flatten().map(Box::from).collect()
    }

    /// Returns true when the text has the section.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Reads a value that must be there. `None` means that a fault was noted.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        match self.text(section, key) {
            Some(text) => self.parse(section, key, &text, expected),
            None => {
                self.add_fault(section, key, &format!("missing, expected {expected}"));
                None
            }
        }
    }

    /// Reads a value that may be left out, in which case `default` stands for it.
    pub fn optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        default: T,
    ) -> Option<T> {
        match self.text(section, key) {
            Some(text) => self.parse(section, key, &text, expected),
            None => Some(default),
        }
    }

    /// Reads a list of values separated by commas; an empty or missing list is a fault.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        let Some(text) = self.text(section, key) else {
            self.add_fault(section, key, &format!("missing, expected {expected}"));
            return Vec::new();
        };
        let parts = text.split(',').map(str::trim);
        parts.filter_map(|part| self.parse(section, key, part, expected)).collect()
    }

    /// Notes a fault that the caller found, for example a value out of range.
    pub fn add_fault(&mut self, section: &str, key: &str, expected: &str) {
        self.faults.push(Fault {
            source: self.source.clone(),
            section: section.into(),
            key: key.into(),
            expected: expected.into(),
        });
    }

    /// Ends the reading. All faults so far and every unknown section and key are the error.
    pub fn finish(mut self) -> Result<()> {
        let mut unknown: Vec<Place> = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            if !section.is_empty() && !self.known.iter().any(|(known, _)| &**known == section) {
                unknown.push((Box::from(section), Box::from("")));
                continue;
            }
            for (key, _) in properties.iter() {
                if !self.known.contains(&(section.into(), key.into())) {
                    unknown.push((section.into(), key.into()));
                }
            }
        }
        for (section, key) in unknown {
            let what = if key.is_empty() { "unknown section" } else { "unknown key" };
            self.add_fault(&section, &key, what);
        }
        if self.faults.is_empty() { Ok(()) } else { Err(Error::Faults(self.faults.into())) }
    }

    fn text(&mut self, section: &str, key: &str) -> Option<Box<str>> {
        self.known.insert((section.into(), key.into()));
        self.ini.get_from(Some(section), key).map(|text| text.trim().into())
    }

    fn parse<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        expected: &str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.add_fault(section, key, &format!("expected {expected}"));
        }
        value
    }

    /// The library keeps repeated sections and keys; one of them would silently win.
    fn reject_duplicates(&mut self) {
        let mut seen: BTreeSet<Place> = BTreeSet::new();
        let mut repeated: Vec<Place> = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section: Box<str> = section.unwrap_or("").into();
            if !section.is_empty() && !seen.insert((section.clone(), Box::from(""))) {
                repeated.push((section.clone(), Box::from("")));
            }
            for (key, _) in properties.iter() {
                if !seen.insert((section.clone(), key.into())) {
                    repeated.push((section.clone(), key.into()));
                }
            }
        }
        for (section, key) in repeated {
            self.add_fault(&section, &key, "given more than once");
        }
    }
}

/// Returns the keys whose values differ between two texts, as `section.key` in order. A text that
/// cannot be parsed counts as empty.
pub fn changed_keys(before: &str, after: &str) -> Vec<Box<str>> {
    let values = |text: &str| -> BTreeMap<Box<str>, Box<str>> {
        let Ok(ini) = Ini::load_from_str(text) else { return BTreeMap::new() };
        let keys = ini.iter().flat_map(|(section, properties)| {
            let section = section.unwrap_or_default().to_owned();
            properties.iter().map(move |(key, value)| {
                (format!("{section}.{key}").into(), Box::from(value.trim()))
            })
        });
        keys.collect()
    };
    let (before, after) = (values(before), values(after));
    let keys: BTreeSet<&Box<str>> = before.keys().chain(after.keys()).collect();
    keys.into_iter().filter(|key| before.get(*key) != after.get(*key)).cloned().collect()
}
