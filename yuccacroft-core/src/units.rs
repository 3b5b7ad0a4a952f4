//! Sizes, counts and rates.

use {
    crate::{
        errors::{Error, Result},
        time::Span,
    },
    std::{
        fmt::{Display, Formatter},
        str::FromStr,
    },
};

const MICROS_PER_SECOND: u64 = 1_000_000;

newtype! {
    /// A number of requests that may run at the same time.
    Slots(u32), "a number of slots"
}

newtype! {
    /// A number of open connections.
    Connections(u32), "a number of connections"
}

newtype! {
    /// The relative share of new flows that a member receives. A member with weight zero gets none.
    Weight(u32), "a weight"
}

newtype! {
    /// A ratio or a mean in hundredths.
    Percent(u32), "a number of hundredths"
}

newtype! {
    /// A number of events or entries.
    Count(u64), "a count"
}

newtype! {
    /// A number of bytes.
    Size(u64), "a number of bytes"
}

quantity! {
    /// Events or bytes per second. As text it carries its unit, for example `20/s`.
    Rate(u64)
}

impl Rate {
    /// Creates a rate from the number of events or bytes per second.
    pub const fn new(per_second: u64) -> Self {
        Self(per_second)
    }

    /// Returns the number of events or bytes per second.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of events or bytes in a duration, rounded down.
    pub const fn amount_in(self, span: Span) -> u64 {
        span.as_micros().saturating_mul(self.0) / MICROS_PER_SECOND
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
        let number = text.strip_suffix("/s").and_then(|number| number.trim().parse().ok());
        number.map(Self).ok_or_else(|| Error::expected("a rate such as 20/s", text))
    }
}
