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
const BITS_PER_BYTE: u64 = 8;
const UNLIMITED_TEXT: &str = "unlimited";
/// The units of [`BitRate`] with their numbers of bits per second, largest first.
const BIT_RATE_UNITS: [(&str, u64); 3] = [("Mbit/s", 1_000_000), ("kbit/s", 1_000), ("bit/s", 1)];

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

quantity! {
    /// The data rate of a network link in bits per second. As text it carries its unit, for example
    /// `10 Mbit/s`; a link without a limit is written as `unlimited`.
    BitRate(u64)
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

impl BitRate {
    /// The rate of a link that takes no time to send data.
    pub const UNLIMITED: Self = Self(u64::MAX);

    /// Creates a rate from the number of bits per second.
    pub const fn new(bits_per_second: u64) -> Self {
        Self(bits_per_second)
    }

    /// Returns the number of bits per second.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time that a link of this rate takes to send an amount of data, rounded down to
    /// microseconds.
    pub const fn time_to_send(self, size: Size) -> Span {
        let bit_micros = size.0.saturating_mul(BITS_PER_BYTE).saturating_mul(MICROS_PER_SECOND);
        match bit_micros.checked_div(self.0) {
            Some(micros) => Span::from_micros(micros),
            // A link with rate zero never sends anything.
            None => Span::from_micros(u64::MAX),
        }
    }
}

impl Display for BitRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        if *self == Self::UNLIMITED {
            return f.write_str(UNLIMITED_TEXT);
        }
        let is_exact = |(_, factor): &&(&str, u64)| self.0.is_multiple_of(*factor);
        let (unit, factor) = BIT_RATE_UNITS.iter().find(is_exact).unwrap_or(&("bit/s", 1));
        write!(f, "{} {unit}", self.0 / factor)
    }
}

impl FromStr for BitRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text == UNLIMITED_TEXT {
            return Ok(Self::UNLIMITED);
        }
        let parse = |(unit, factor): &(&str, u64)| {
            text.strip_suffix(unit)?.trim().parse::<u64>().ok()?.checked_mul(*factor)
        };
        let bits_per_second = BIT_RATE_UNITS.iter().find_map(parse);
        bits_per_second.map(Self).ok_or_else(|| Error::expected("a rate such as 10 Mbit/s", text))
    }
}
