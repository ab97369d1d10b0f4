//! The certificates of one process, and what can be wrong with them.

use crate::core::config::Name;
use strum::{Display, IntoStaticStr};
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

/// What every PEM block of a certificate begins with.
const CERTIFICATE_MARK: &str = "-----BEGIN CERTIFICATE-----";
/// What the first line of every PEM block of a private key ends with.
const KEY_MARK: &str = "PRIVATE KEY-----";

/// The certificates of one process as PEM text.
#[derive(Clone)]
pub struct TlsParts {
    /// The name that the certificate of every process of the deployment carries.
    pub deployment: Name,
    /// The process's own certificate, with those between it and the authority.
    pub certificate: String,
    /// The private key of the certificate.
    pub key: String,
    /// The certificate of the authority that has signed those of all processes.
    pub authority: String,
}

/// One of the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TlsField {
    /// The process's own certificate.
    Certificate,
    /// The private key.
    Key,
    /// The authority's certificate.
    Authority,
}

/// Why certificates cannot be used; never shows a key.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum TlsFault {
    /// The file cannot be read.
    #[error("cannot read the file of `{field}`")]
    Read {
        /// Which file.
        field: TlsField,
        /// Why not.
        #[source]
        source: std::io::Error,
    },
    /// The file holds no PEM block of the right kind.
    #[error("the file of `{field}` holds no PEM block of a {kind}")]
    Absent {
        /// Which file.
        field: TlsField,
        /// What it should hold.
        kind: &'static str,
    },
    /// The certificate or the key cannot be read, or the key is that of another certificate.
    #[error("the key cannot be used with the certificate")]
    Pair(#[source] tonic::transport::Error),
    /// The authority's certificate cannot be read.
    #[error("the authority's certificate cannot be used")]
    Authority(#[source] tonic::transport::Error),
}

impl TlsFault {
    /// Returns the file that is at fault.
    pub fn field(&self) -> TlsField {
        match self {
            Self::Read { field, .. } | Self::Absent { field, .. } => *field,
            Self::Pair(_) => TlsField::Key,
            Self::Authority(_) => TlsField::Authority,
        }
    }
}

impl TlsParts {
    pub(super) fn authority(&self) -> Certificate {
        Certificate::from_pem(&self.authority)
    }

    pub(super) fn identity(&self) -> Identity {
        Identity::from_pem(&self.certificate, &self.key)
    }

    /// Tries each file, so that the fault names the right one.
    pub(super) fn check(&self) -> Result<(), TlsFault> {
        let marked = [
            (TlsField::Certificate, &self.certificate, CERTIFICATE_MARK, "certificate"),
            (TlsField::Key, &self.key, KEY_MARK, "private key"),
            (TlsField::Authority, &self.authority, CERTIFICATE_MARK, "certificate"),
        ];
        for (field, text, mark, kind) in marked {
            if !text.contains(mark) {
                return Err(TlsFault::Absent { field, kind });
            }
        }
        let own = ServerTlsConfig::new().identity(self.identity());
        accept(own.clone()).map_err(TlsFault::Pair)?;
        accept(own.client_ca_root(self.authority())).map_err(TlsFault::Authority)
    }
}

fn accept(config: ServerTlsConfig) -> Result<(), tonic::transport::Error> {
    Server::builder().tls_config(config).map(drop)
}
