//! Self-signed certificates of services.

use rustls_pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

/// A self-signed certificate with its private key.
#[derive(Debug)]
pub struct Certificate {
    /// The certificate, which callers trust as a root.
    pub certificate: CertificateDer<'static>,
    /// The private key.
    pub key: PrivateKeyDer<'static>,
    /// The certificate as PEM text.
    pub certificate_pem: Box<str>,
    /// The private key as PEM text.
    pub key_pem: Box<str>,
}

impl Certificate {
    /// Generates a certificate for a host name.
    pub fn new(name: &str) -> Self {
        let generated = rcgen::generate_simple_self_signed([name.to_owned()])
            .expect("a self-signed certificate can be generated");
        Self {
            certificate: generated.cert.der().clone(),
            key: PrivatePkcs8KeyDer::from(generated.signing_key.serialize_der()).into(),
            certificate_pem: generated.cert.pem().into(),
            key_pem: generated.signing_key.serialize_pem().into(),
        }
    }
}
