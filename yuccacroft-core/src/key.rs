//! Keys of a customer and what is derived from them.

use {
    crate::{
        errors::{Error, Result},
        ids::{Customer, Service},
    },
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::{
        fmt::{Debug, Display, Formatter},
        str::FromStr,
    },
};

const SECRET_BYTES: usize = 32;

/// A secret of 32 bytes. `Debug` hides it, so that it cannot reach a log by accident.
#[derive(Clone, PartialEq, Eq, serde_with::SerializeDisplay, serde_with::DeserializeFromStr)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Wraps the raw bytes.
    pub const fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the raw bytes.
    pub const fn bytes(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }

    /// Derives a secret for one purpose, so that no two uses share a key.
    pub fn derive(&self, purpose: &str, customer: &Customer, service: &Service) -> Self {
        let text = format!("yuccacroft/1/{purpose}/{customer}/{service}");
        Self(self.sign(&[text.as_bytes()]))
    }

    /// Returns the HMAC-SHA256 of the parts, each preceded by its length.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; SECRET_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Compares a signature in constant time.
    pub fn verify(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.mac(parts).verify_slice(signature).is_ok()
    }

    /// Compares the first bytes of a signature in constant time. Their number is the caller's
    /// choice; RFC 2104, section 5, asks for at least half of them.
    pub fn verify_prefix(&self, parts: &[&[u8]], prefix: &[u8]) -> bool {
        self.mac(parts).verify_truncated_left(prefix).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("HMAC takes any key length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// Splits the secret into two 128-bit halves.
    pub fn halves(&self) -> ([u8; 16], [u8; 16]) {
        let mut first = [0; 16];
        let mut second = [0; 16];
        first.copy_from_slice(&self.0[..16]);
        second.copy_from_slice(&self.0[16..]);
        (first, second)
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Shows the secret in full, as contracts and settings spell it.
impl Display for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Secret {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut bytes = [0; SECRET_BYTES];
        // The text itself stays out of the error, since it may be a mistyped secret.
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| Error::expected("64 hexadecimal digits", "(hidden)"))?;
        Ok(Self(bytes))
    }
}

/// A short digest that names one customer's service in capsules.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ServiceDigest(u64);

impl ServiceDigest {
    /// Computes the digest of a service of a customer.
    pub fn new(customer: &Customer, service: &Service) -> Self {
        use sha2::Digest as _;
        let hash = Sha256::digest(format!("{customer}/{service}"));
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash[..8]);
        Self(u64::from_be_bytes(bytes))
    }

    /// Returns the raw number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl Display for ServiceDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ServiceDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| Error::expected("16 hexadecimal digits", text))
    }
}
