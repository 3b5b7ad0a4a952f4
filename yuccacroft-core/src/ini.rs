//! A validating reader of INI texts that collects all faults instead of stopping at the first.

use {
    crate::errors::{Error, Fault, Result},
    ini::Ini,
    std::{
        collections::{BTreeMap, BTreeSet},
        str::FromStr,
    },
};

/// A section and a key in it; an empty key stands for the section itself.
type Location = (Box<str>, Box<str>);

/// Reads typed values from an INI text and records what is missing, invalid or unknown.
///
/// Callers read every key that they support and then call [`Reader::finish`], which returns all
/// faults together. A section or key that was never read is a fault too.
#[derive(Debug)]
pub struct Reader {
    source: Box<str>,
    ini: Ini,
    requested: BTreeSet<Location>,
    faults: Vec<Fault>,
}

/// A value that replaces or adds one of the text, such as `process.grace=6 s`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    section: Box<str>,
    key: Box<str>,
    value: Box<str>,
}

impl FromStr for Override {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let split = || {
            let (location, value) = text.split_once('=')?;
            let (section, key) = location.split_once('.')?;
            (!section.is_empty() && !key.is_empty()).then_some((section, key, value))
        };
        let (section, key, value) =
            split().ok_or_else(|| Error::expected("a setting such as process.grace=6 s", text))?;
        Ok(Self { section: section.into(), key: key.into(), value: value.trim().into() })
    }
}

impl Reader {
    /// Parses a text. `source` identifies it in faults, for example by its file name.
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
            Self { source: source.into(), ini, requested: BTreeSet::new(), faults: Vec::new() };
        reader.record_duplicates();
        Ok(reader)
    }

    /// Replaces or adds values. An override with an empty value is ignored, since a platform that fills
    /// in command lines leaves out what it does not know.
    pub fn with_overrides(mut self, overrides: &[Override]) -> Self {
        for Override { section, key, value } in overrides.iter().filter(|o| !o.value.is_empty()) {
            self.ini.set_to(Some(&**section), key.to_string(), value.to_string());
        }
        self
    }

    /// Returns the names of all sections in the order of the text.
    pub fn sections(&self) -> Vec<Box<str>> {
        self.ini.sections().flatten().map(Box::from).collect()
    }

    /// Returns true if the text has the section.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Reads a mandatory value. Returns `None` after recording a fault if it is missing or invalid.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        match self.value(section, key) {
            Some(text) => self.parse(section, key, &text, expected),
            None => {
                self.add_fault(section, key, &format!("missing, expected {expected}"));
                None
            }
        }
    }

    /// Reads an optional value and returns `default` if it is missing. Returns `None` after
    /// recording a fault if it is invalid.
    pub fn optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        default: T,
    ) -> Option<T> {
        match self.value(section, key) {
            Some(text) => self.parse(section, key, &text, expected),
            None => Some(default),
        }
    }

    /// Reads a list of values separated by commas. A missing list and each invalid value are
    /// faults.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        let Some(text) = self.value(section, key) else {
            self.add_fault(section, key, &format!("missing, expected {expected}"));
            return Vec::new();
        };
        let parts = text.split(',').map(str::trim);
        parts.filter_map(|part| self.parse(section, key, part, expected)).collect()
    }

    /// Records a fault that the caller found, for example a value out of range.
    pub fn add_fault(&mut self, section: &str, key: &str, expected: &str) {
        self.faults.push(Fault {
            source: self.source.clone(),
            section: section.into(),
            key: key.into(),
            expected: expected.into(),
        });
    }

    /// Finishes reading. Returns all recorded faults and every unknown section and key as the
    /// error.
    pub fn finish(mut self) -> Result<()> {
        let mut unknown: Vec<Location> = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            if !section.is_empty()
                && !self.requested.iter().any(|(requested, _)| &**requested == section)
            {
                unknown.push((Box::from(section), Box::from("")));
                continue;
            }
            for (key, _) in properties.iter() {
                if !self.requested.contains(&(section.into(), key.into())) {
                    unknown.push((section.into(), key.into()));
                }
            }
        }
        for (section, key) in unknown {
            let description = if key.is_empty() { "unknown section" } else { "unknown key" };
            self.add_fault(&section, &key, description);
        }
        if self.faults.is_empty() { Ok(()) } else { Err(Error::Faults(self.faults.into())) }
    }

    fn value(&mut self, section: &str, key: &str) -> Option<Box<str>> {
        self.requested.insert((section.into(), key.into()));
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

    /// Records repeated sections and keys as faults. The library accepts them, and all but one
    /// would be ignored silently.
    fn record_duplicates(&mut self) {
        let mut seen: BTreeSet<Location> = BTreeSet::new();
        let mut repeated: Vec<Location> = Vec::new();
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

/// Returns the keys whose values differ between two texts, as `section.key` in alphabetical order.
/// A text that cannot be parsed counts as empty.
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
