//! Sizes, counts and rates.

use {
    crate::errors::{Error, Result},
    std::{
        fmt::{Display, Formatter},
        str::FromStr,
    },
};

newtype! {
    /// A number of requests that may run at the same time.
    Slots(u32), "a number of slots"
}

newtype! {
    /// A number of open connections.
    Connections(u32), "a number of connections"
}

newtype! {
    /// The relative share of new flows that a member receives. Zero receives none.
    Weight(u32), "a weight"
}

newtype! {
    /// A number of events since the process started.
    Count(u64), "a count"
}

newtype! {
    /// A number of bytes.
    Size(u64), "a number of bytes"
}

/// Events per second, never negative and always finite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, serde::Serialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Checks and wraps a rate; a negative or infinite one is an error.
    pub fn new(per_second: f64) -> Result<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(Error::expected("a rate per second", &per_second.to_string()));
        }
        Ok(Self(per_second))
    }

    /// Returns the events per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Display for Rate {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix("/s").map(str::trim).and_then(|t| t.parse().ok());
        number.map_or_else(|| Err(Error::expected("a rate such as 20/s", text)), Self::new)
    }
}
