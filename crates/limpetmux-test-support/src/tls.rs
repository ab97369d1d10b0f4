//! Certificate authorities and signed certificates, generated for each test.

use crate::config::name;
use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::tls::TlsCredentials;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use serde_json::{Value, json};
use std::path::Path;

/// Deployment name in the certificates of the fixtures.
pub const DEPLOYMENT: &str = "ph-luzon";

/// A certificate authority.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    ///
    /// # Panics
    /// Panics if no key can be generated.
    pub fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).unwrap().pem();
        Self { issuer: Issuer::new(params, key), certificate }
    }

    /// Issues a new certificate for a deployment name.
    ///
    /// # Panics
    /// Panics if the name is not valid for a deployment.
    pub fn issue(&self, deployment: &str) -> TlsCredentials {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![deployment.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsCredentials {
            deployment: name(deployment),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
            authority: self.certificate.clone(),
        }
    }

    /// Returns channels that authenticate with a new certificate.
    ///
    /// # Panics
    /// Panics if the certificate cannot be used.
    pub fn channels(&self) -> Channels {
        Channels::tls(&self.issue(DEPLOYMENT)).unwrap()
    }

    /// Writes a new certificate for a node to a directory and returns the `tls` section of the
    /// node's settings.
    ///
    /// # Panics
    /// Panics if the directory cannot be written to.
    pub fn write_files(&self, dir: &Path, node: &str) -> Value {
        let credentials = self.issue(DEPLOYMENT);
        let files = [("certificate", credentials.certificate), ("key", credentials.key)];
        let mut settings = json!({ "deployment": DEPLOYMENT });
        for (field, text) in files.into_iter().chain([("authority", credentials.authority)]) {
            let file = dir.join(format!("{node}.{field}.pem"));
            std::fs::write(&file, text).unwrap();
            settings[field] = json!(file);
        }
        settings
    }
}

impl Default for Authority {
    fn default() -> Self {
        Self::new()
    }
}
