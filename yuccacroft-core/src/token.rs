//! The bearer token of the administration interface.

use {
    crate::{
        errors::{Error, Result},
        key::Secret,
    },
    std::{
        fmt::{Debug, Formatter},
        str::FromStr,
    },
};

/// Shortest and longest token in bytes. Sixteen characters are beyond guessing over a network.
const TOKEN_BYTES: std::ops::RangeInclusive<usize> = 16..=256;

/// A bearer token. `Debug` hides it, and there is no `Display`, so that it cannot reach a log.
#[derive(Clone)]
pub struct Token(Box<str>);

impl Token {
    /// Compares a token in a time that does not depend on where the two differ.
    pub fn matches(&self, given: &str) -> bool {
        let key = Secret::new([0; 32]);
        key.verify(&[given.as_bytes()], &key.sign(&[self.0.as_bytes()]))
    }

    /// Returns the value of the `authorization` header that a client sends (RFC 6750, 2.1).
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl Debug for Token {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token(..)")
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if !TOKEN_BYTES.contains(&text.len()) || !text.bytes().all(|b| b.is_ascii_graphic()) {
            // The text itself stays out of the error, since it may be a mistyped token.
            return Err(Error::expected("16 to 256 visible ASCII characters", "(hidden)"));
        }
        Ok(Self(text.into()))
    }
}
