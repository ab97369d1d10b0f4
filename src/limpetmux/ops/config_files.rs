//! Declarations as files under version control.
//!
//! A declaration file is JSON with comments and holds any part of a [`Config`]. A directory is
//! loaded as the union of its `.json` and `.jsonc` files, where each object may be declared in one
//! file only.

use crate::core::config::{Config, Name, Object, ObjectKind};
use crate::util::hash::hash_bytes;
use crate::util::jsonc::{self, JsoncError};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The maximum length of a declaration file or sheet, in bytes.
const MAX_FILE_BYTES: u64 = 8 << 20;

/// A failure to load declarations.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FilesError {
    /// A file or directory cannot be read.
    #[error("cannot read {}", path.display())]
    #[diagnostic(code(limpetmux::declarations::read))]
    Read {
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        #[source]
        error: std::io::Error,
    },
    /// A file exceeds the maximum length.
    #[error("{} is longer than {MAX_FILE_BYTES} bytes", path.display())]
    #[diagnostic(code(limpetmux::declarations::length))]
    TooLong {
        /// The file.
        path: PathBuf,
    },
    /// A file is not a declaration.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Parse(#[from] Box<JsoncError>),
    /// Two files declare one object.
    #[error("{} declares {object}, which another file declares too", path.display())]
    #[diagnostic(code(limpetmux::declarations::twice))]
    Duplicate {
        /// The second file in name order.
        path: PathBuf,
        /// The object.
        object: Object,
    },
    /// A directory holds no declaration file.
    #[error("{} holds no .json or .jsonc file", path.display())]
    #[diagnostic(code(limpetmux::declarations::none))]
    Empty {
        /// The directory.
        path: PathBuf,
    },
}

/// Loads a file or a directory.
///
/// # Errors
/// Returns [`FilesError`] with the location of the first fault.
pub fn load(path: &Path) -> Result<Config, FilesError> {
    let mut config = Config::default();
    for file in files(path)? {
        let text = read(&file)?;
        let part: Config = jsonc::parse(&file.display().to_string(), &text, "declarations")?;
        merge(&mut config, part, &file)?;
    }
    Ok(config)
}

/// Returns the digest that identifies declarations in a sheet: xxHash64 over their canonical form.
pub fn digest(config: &Config) -> u64 {
    serde_json::to_vec(config).map_or(0, |bytes| hash_bytes(&bytes))
}

fn files(path: &Path) -> Result<Vec<PathBuf>, FilesError> {
    let read_error = |error| FilesError::Read { path: path.to_owned(), error };
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).map_err(read_error)?;
    let mut files = Vec::new();
    for entry in entries {
        let file = entry.map_err(read_error)?.path();
        if file.extension().is_some_and(|e| e == "json" || e == "jsonc") {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(FilesError::Empty { path: path.to_owned() });
    }
    Ok(files)
}

/// Reads a text file of at most [`MAX_FILE_BYTES`].
pub(super) fn read(path: &Path) -> Result<String, FilesError> {
    let read_error = |error| FilesError::Read { path: path.to_owned(), error };
    if std::fs::metadata(path).map_err(read_error)?.len() > MAX_FILE_BYTES {
        return Err(FilesError::TooLong { path: path.to_owned() });
    }
    std::fs::read_to_string(path).map_err(read_error)
}

fn merge(config: &mut Config, part: Config, file: &Path) -> Result<(), FilesError> {
    let duplicate = |kind| {
        move |name: Name| {
            let object = Object { kind, name };
            FilesError::Duplicate { path: file.to_owned(), object }
        }
    };
    insert_all(&mut config.zones, part.zones).map_err(duplicate(ObjectKind::Zone))?;
    insert_all(&mut config.hosts, part.hosts).map_err(duplicate(ObjectKind::Host))?;
    insert_all(&mut config.services, part.services).map_err(duplicate(ObjectKind::Service))?;
    insert_all(&mut config.pipelines, part.pipelines).map_err(duplicate(ObjectKind::Pipeline))?;
    insert_all(&mut config.workspaces, part.workspaces).map_err(duplicate(ObjectKind::Workspace))
}

/// Inserts all values; fails with the first name that is present already.
fn insert_all<V>(to: &mut BTreeMap<Name, V>, from: BTreeMap<Name, V>) -> Result<(), Name> {
    for (name, value) in from {
        if to.contains_key(&name) {
            return Err(name);
        }
        to.insert(name, value);
    }
    Ok(())
}
