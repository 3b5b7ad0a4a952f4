//! Secrets of customers, keys and signatures derived from them, and digests of services.

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

/// A secret key of 32 bytes. `Debug` hides the bytes, so that they are not logged by accident.
#[derive(Clone, PartialEq, Eq, serde_with::SerializeDisplay, serde_with::DeserializeFromStr)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Creates the secret from its bytes.
    pub const fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes.
    pub const fn bytes(&self) -> &[u8; SECRET_BYTES] {
        &self.0
    }

    /// Derives the secret of a service for one purpose. Different purposes never share a key.
    pub fn derive(&self, purpose: &str, customer: &Customer, service: &Service) -> Self {
        let text = format!("yuccacroft/1/{purpose}/{customer}/{service}");
        Self(self.sign(&[text.as_bytes()]))
    }

    /// Returns the HMAC-SHA256 of the parts, each prefixed with its length as a big-endian `u64`.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; SECRET_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Verifies a signature in constant time.
    pub fn verify(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.mac(parts).verify_slice(signature).is_ok()
    }

    /// Verifies a truncated signature in constant time. The caller chooses the length; RFC 2104,
    /// section 5, requires at least half of the signature.
    pub fn verify_prefix(&self, parts: &[&[u8]], prefix: &[u8]) -> bool {
        self.mac(parts).verify_truncated_left(prefix).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0)
            .expect("HMAC accepts keys of any length");
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

/// Writes the whole secret in hexadecimal, as it stands in contracts and settings.
impl Display for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Secret {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut bytes = [0; SECRET_BYTES];
        // The error omits the text, since it may be a mistyped secret.
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| Error::expected("64 hexadecimal digits", "(hidden)"))?;
        Ok(Self(bytes))
    }
}

/// A 64-bit digest that identifies a service of a customer in capsules.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct ServiceDigest(u64);

impl ServiceDigest {
    /// Computes the digest from the names of the customer and the service.
    pub fn new(customer: &Customer, service: &Service) -> Self {
        use sha2::Digest as _;
        let hash = Sha256::digest(format!("{customer}/{service}"));
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash[..8]);
        Self(u64::from_be_bytes(bytes))
    }

    /// Returns the digest as a number.
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
