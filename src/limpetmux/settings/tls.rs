//! The certificates that authenticate a process to the others; see `docs/design/security.md`.

use crate::adapters::channel::Channels;
use crate::adapters::tls::{TlsCredentials, TlsError, TlsField};
use crate::core::config::Name;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The paths at which the platform mounts the certificates of one process.
///
/// The settings name files, so that no private key is kept in version control or printed in a
/// diagnostic.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The name of the deployment, which the certificates of all its processes contain.
    pub deployment: Name,
    /// The process's certificate as PEM, followed by the intermediate certificates.
    pub certificate: PathBuf,
    /// The private key of the certificate as PEM.
    pub key: PathBuf,
    /// The certificate, as PEM, of the authority that signs the certificates of all processes.
    pub authority: PathBuf,
}

impl TlsSettings {
    /// Reads the files and returns the connection settings that use them.
    ///
    /// # Errors
    /// Returns [`TlsError`] naming the file that cannot be used.
    pub fn channels(&self) -> Result<Channels, TlsError> {
        Channels::tls(&TlsCredentials {
            deployment: self.deployment.clone(),
            certificate: read(TlsField::Certificate, &self.certificate)?,
            key: read(TlsField::Key, &self.key)?,
            authority: read(TlsField::Authority, &self.authority)?,
        })
    }
}

fn read(field: TlsField, path: &Path) -> Result<String, TlsError> {
    std::fs::read_to_string(path).map_err(|source| TlsError::Read { field, source })
}
