//! Certificates of services that no authority has signed.

use rustls_pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

/// A certificate with its key.
#[derive(Debug)]
pub struct Certificate {
    /// The certificate, which callers take as their root.
    pub certificate: CertificateDer<'static>,
    /// The private key.
    pub key: PrivateKeyDer<'static>,
    /// The certificate as PEM text.
    pub certificate_pem: Box<str>,
    /// The private key as PEM text.
    pub key_pem: Box<str>,
}

impl Certificate {
    /// Makes a certificate for a name.
    pub fn new(name: &str) -> Self {
        let made = rcgen::generate_simple_self_signed([name.to_owned()])
            .expect("a self-signed certificate needs nothing from outside");
        Self {
            certificate: made.cert.der().clone(),
            key: PrivatePkcs8KeyDer::from(made.signing_key.serialize_der()).into(),
            certificate_pem: made.cert.pem().into(),
            key_pem: made.signing_key.serialize_pem().into(),
        }
    }
}
