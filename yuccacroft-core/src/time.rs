//! Monotonic time and durations in microseconds, always passed in by the caller.

use {
    crate::errors::{Error, Result},
    std::{
        fmt::{Display, Formatter},
        ops::{Add, Sub},
        str::FromStr,
        time::Duration,
    },
};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MINUTE: u64 = 60 * MICROS_PER_SECOND;
/// Maximum number of decimals of a duration in text.
const MAX_DECIMALS: u32 = 6;

newtype! {
    /// A point in time on the monotonic clock of one process, in microseconds. Moments of different
    /// processes cannot be compared.
    Moment(u64), "a number of microseconds"
}

quantity! {
    /// A duration in microseconds. As text it carries its unit, for example `250 ms` or `3 s`.
    Span(u64)
}

impl Span {
    /// The duration zero.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a duration from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Multiplies the duration by a factor, saturating at the maximum.
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Moment {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.get().saturating_sub(earlier.get()))
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self::new(self.get().saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self::new(self.get().saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Display for Span {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        if self.0.is_multiple_of(MICROS_PER_SECOND) {
            write!(f, "{} s", self.0 / MICROS_PER_SECOND)
        } else if self.0.is_multiple_of(MICROS_PER_MILLI) {
            write!(f, "{} ms", self.0 / MICROS_PER_MILLI)
        } else {
            write!(f, "{} us", self.0)
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let fail = || Error::expected("a duration such as 250 ms, 3 s or 2.5 s", text);
        let number = text.trim_end_matches(|c: char| !c.is_ascii_digit());
        let unit = match text[number.len()..].trim() {
            "us" => 1,
            "ms" => MICROS_PER_MILLI,
            "s" => MICROS_PER_SECOND,
            "min" => MICROS_PER_MINUTE,
            _ => return Err(fail()),
        };
        let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
        let whole: u64 = whole.parse().map_err(|_| fail())?;
        // The sixth decimal of a second is one microsecond; further ones would be dropped silently.
        let decimals =
            u32::try_from(fraction.len()).ok().filter(|decimals| *decimals <= MAX_DECIMALS);
        let scale = 10u64.pow(decimals.ok_or_else(fail)?);
        let fraction: u64 = fraction.parse().map_err(|_| fail())?;
        let fraction_micros = fraction * unit / scale;
        let whole = whole.checked_mul(unit).and_then(|whole| whole.checked_add(fraction_micros));
        whole.map(Self).ok_or_else(fail)
    }
}
