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

/// Allowed length of a token in bytes. A token of sixteen random characters cannot be guessed over
/// a network.
const TOKEN_BYTES: std::ops::RangeInclusive<usize> = 16..=256;

/// A bearer token. `Debug` hides its value and `Display` is not implemented, so that it cannot end
/// up in a log.
#[derive(Clone)]
pub struct Token(Box<str>);

impl Token {
    /// Returns true if `given` is the token. The time of the comparison does not depend on where
    /// the two differ.
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
            // The error omits the text, since it may be a mistyped token.
            return Err(Error::expected("16 to 256 visible ASCII characters", "(hidden)"));
        }
        Ok(Self(text.into()))
    }
}
