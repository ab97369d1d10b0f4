//! The certificates and the key of one process, and their validation.

use crate::core::config::Name;
use strum::{Display, IntoStaticStr};
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

/// The first line of a certificate's PEM block.
const CERTIFICATE_MARKER: &str = "-----BEGIN CERTIFICATE-----";
/// The end of the first line of a private key's PEM block; its beginning depends on the key type.
const KEY_MARKER: &str = "PRIVATE KEY-----";

/// The certificates and the key of one process as PEM text.
#[derive(Clone)]
pub struct TlsCredentials {
    /// The name of the deployment, which the certificates of all its processes contain.
    pub deployment: Name,
    /// The certificate of the process, followed by the intermediate certificates.
    pub certificate: String,
    /// The private key of the certificate.
    pub key: String,
    /// The certificate of the authority that signs the certificates of all processes.
    pub authority: String,
}

/// A file of [`TlsCredentials`], named by its key in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TlsField {
    /// The certificate of the process.
    Certificate,
    /// The private key.
    Key,
    /// The certificate of the authority.
    Authority,
}

/// The reason why certificates cannot be used; messages never contain a private key.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum TlsError {
    /// The file cannot be read.
    #[error("cannot read the file of `{field}`")]
    Read {
        /// The file.
        field: TlsField,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// The file holds no PEM block of the right kind.
    #[error("the file of `{field}` holds no PEM block of a {kind}")]
    NoPemBlock {
        /// The file.
        field: TlsField,
        /// The kind of block that the file should contain.
        kind: &'static str,
    },
    /// The certificate or the key cannot be parsed, or the key does not match the certificate.
    #[error("the key cannot be used with the certificate")]
    KeyPair(#[source] tonic::transport::Error),
    /// The certificate of the authority cannot be parsed.
    #[error("the authority's certificate cannot be used")]
    Authority(#[source] tonic::transport::Error),
}

impl TlsError {
    /// Returns the file that caused the error.
    pub fn field(&self) -> TlsField {
        match self {
            Self::Read { field, .. } | Self::NoPemBlock { field, .. } => *field,
            Self::KeyPair(_) => TlsField::Key,
            Self::Authority(_) => TlsField::Authority,
        }
    }
}

impl TlsCredentials {
    pub(super) fn authority(&self) -> Certificate {
        Certificate::from_pem(&self.authority)
    }

    pub(super) fn identity(&self) -> Identity {
        Identity::from_pem(&self.certificate, &self.key)
    }

    /// Checks each file in turn, so that the error names the right one.
    pub(super) fn check(&self) -> Result<(), TlsError> {
        let files = [
            (TlsField::Certificate, &self.certificate, CERTIFICATE_MARKER, "certificate"),
            (TlsField::Key, &self.key, KEY_MARKER, "private key"),
            (TlsField::Authority, &self.authority, CERTIFICATE_MARKER, "certificate"),
        ];
        for (field, text, marker, kind) in files {
            if !text.contains(marker) {
                return Err(TlsError::NoPemBlock { field, kind });
            }
        }
        let config = ServerTlsConfig::new().identity(self.identity());
        check_config(config.clone()).map_err(TlsError::KeyPair)?;
        check_config(config.client_ca_root(self.authority())).map_err(TlsError::Authority)
    }
}

fn check_config(config: ServerTlsConfig) -> Result<(), tonic::transport::Error> {
    Server::builder().tls_config(config).map(drop)
}
