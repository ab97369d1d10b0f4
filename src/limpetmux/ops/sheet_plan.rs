//! `sheet check`, `sheet plan` and `sheet apply`: turns a sheet into a plan against the
//! configuration in force.

use super::config::Plan;
use super::config_client::ConfigClient;
use super::config_files::{self, FilesError};
use super::sheet::{Reference, Sheet, SheetError};
use crate::core::config::{Config, Ownership};
use crate::core::revision::Revision;
use std::path::{Path, PathBuf};

/// The reason why a sheet cannot be planned.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SheetPlanError {
    /// The sheet has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Sheet(#[from] Box<SheetError>),
    /// The sheet or the declarations that it names cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Files(#[from] FilesError),
    /// The sheet refers to the configuration in force, but no log was given to read it from.
    #[error("{} refers to the configuration in force", path.display())]
    #[diagnostic(code(limpetmux::sheet::log), help("pass --log with the platform log's URL"))]
    NeedsLog {
        /// The sheet.
        path: PathBuf,
    },
}

/// Reads a sheet and returns the configuration that it describes.
///
/// `in_force` is the configuration in force; without it only a sheet that names a declarations
/// file can be checked.
///
/// # Errors
/// Returns [`SheetPlanError`] with every fault of the sheet.
pub fn target(
    path: &Path,
    in_force: Option<(Revision, &Config)>,
) -> Result<Config, SheetPlanError> {
    let text = config_files::read(path)?;
    let sheet = Sheet::parse(&path.display().to_string(), &text).map_err(Box::new)?;
    let declared = match (sheet.reference(), in_force) {
        (Reference::File { path: file, .. }, _) => {
            let declared = config_files::load(&path.with_file_name("").join(file))?;
            sheet.check_digest(config_files::digest(&declared)).map_err(Box::new)?;
            declared
        }
        (Reference::InForce(_), Some((revision, config))) => {
            sheet.check_revision(revision).map_err(Box::new)?;
            config.clone()
        }
        (Reference::InForce(_), None) => {
            return Err(SheetPlanError::NeedsLog { path: path.to_owned() });
        }
    };
    Ok(sheet.resolve(&declared).map_err(Box::new)?)
}

/// Plans a sheet against the configuration in force; the sheet sets which hosts run and which zones
/// serve.
///
/// # Errors
/// Returns [`SheetPlanError`] as [`target`] does.
pub fn plan(client: &ConfigClient, path: &Path) -> Result<Plan, SheetPlanError> {
    let fold = client.fold();
    let target = target(path, Some((fold.revision(), fold.config())))?;
    Ok(Plan::new(fold, &target, Ownership::Declared))
}
