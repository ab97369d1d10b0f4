//! Diagnostics that point at a row and a cell of the sheet.

use crate::core::config::{Name, NameError, Object, ObjectKind};
use crate::core::revision::Revision;
use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// A sheet with faults, which is not applied.
#[derive(Debug, Error, Diagnostic)]
#[error("the sheet has {} fault(s)", faults.len())]
#[diagnostic(code(limpetmux::sheet), help("nothing was applied"))]
pub struct SheetError {
    #[source_code]
    pub(super) text: NamedSource<String>,
    /// The faults in the order of the rows.
    #[related]
    pub faults: Vec<SheetFault>,
}

/// One fault of a sheet.
#[derive(Debug, Error, Diagnostic)]
#[error("line {line}, column `{column}`: {kind}")]
pub struct SheetFault {
    /// The line number, counted from 1.
    pub line: u64,
    /// The column's name.
    pub column: &'static str,
    /// What is wrong.
    pub kind: FaultKind,
    #[label("here")]
    pub(super) span: SourceSpan,
}

/// What is wrong with a cell.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultKind {
    /// The header does not name the columns of the sheet format.
    #[error("the header must be `kind,name,state`")]
    Header,
    /// The row has the wrong number of columns.
    #[error("the row has {count} column(s) instead of 3")]
    Columns {
        /// The number of columns in the row.
        count: usize,
    },
    /// The row's kind is unknown.
    #[error("`{text}` is not `configuration`, `zone` or `host`")]
    Kind {
        /// The cell.
        text: String,
    },
    /// The name is not well formed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The state does not fit the row's kind.
    #[error("`{text}` is not {expected}")]
    State {
        /// The cell.
        text: String,
        /// The states that the cell may hold.
        expected: &'static str,
    },
    /// The configuration does not declare the object.
    #[error("the configuration declares no {object}")]
    Unknown {
        /// The object.
        object: Object,
    },
    /// An earlier row lists the object with the same state.
    #[error("{object} is already listed on line {first}")]
    Duplicate {
        /// The object.
        object: Object,
        /// The earlier line.
        first: u64,
    },
    /// An earlier row lists the object with the opposite state.
    #[error("{object} is listed with the opposite state on line {first}")]
    Contradiction {
        /// The object.
        object: Object,
        /// The earlier line.
        first: u64,
    },
    /// The configuration declares an object that the sheet does not list.
    #[error("the sheet has no row for {object}")]
    Missing {
        /// The object.
        object: Object,
    },
    /// No row names the configuration that applies.
    #[error("the sheet has no `configuration` row")]
    NoConfiguration,
    /// Two rows name the configuration that applies.
    #[error("line {first} already has a `configuration` row")]
    TwoConfigurations {
        /// The earlier line.
        first: u64,
    },
    /// The digest of the declarations is not the one that the sheet names.
    #[error("the declarations have digest {found}")]
    Digest {
        /// The digest of the file.
        found: String,
    },
    /// The revision in force is not the one that the sheet names.
    #[error("the revision in force is {found}")]
    Revision {
        /// The revision in force.
        found: Revision,
    },
    /// A service that pipelines use would be left without any backend server.
    #[error("service `{service}` is left without any backend server")]
    NoServer {
        /// The service.
        service: Name,
    },
    /// The file is not CSV in UTF-8.
    #[error("the row is not CSV in UTF-8")]
    Csv,
}

impl FaultKind {
    /// Returns the fault for an object that the configuration does not declare.
    pub(super) fn unknown(kind: ObjectKind, name: &Name) -> Self {
        Self::Unknown { object: Object { kind, name: name.clone() } }
    }
}
