//! The planners' morning sheet: which hosts run, which availability zones serve, and which
//! configuration applies.
//!
//! The sheet is CSV in the format of `docs/SHEET.md`. [`Sheet::parse`] checks each cell by itself;
//! [`Sheet::resolve`] checks the whole sheet against the declarations. Both report every fault that
//! they find, and a sheet with any fault is not applied.

use super::sheet_error::{FaultKind, SheetFault};
use crate::core::config::{Config, Coverage, Name, Object, ObjectKind};
use crate::core::revision::Revision;
use csv::{ReaderBuilder, StringRecord, Trim};
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeMap;
use std::path::PathBuf;

pub use super::sheet_error::SheetError;

/// The columns of the sheet format.
pub const COLUMNS: [&str; 3] = ["kind", "name", "state"];
const DIGEST_PREFIX: &str = "xxh64:";

/// The configuration that the sheet refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reference {
    /// Declarations in a file or directory, relative to the sheet, with their digest.
    File {
        /// The path as written.
        path: PathBuf,
        /// The digest of the declarations.
        digest: u64,
    },
    /// The configuration in force, which must be at this revision.
    InForce(Revision),
}

/// The location of a cell in the file.
#[derive(Clone, Copy, Debug)]
struct CellLocation {
    line: u64,
    column: &'static str,
    span: (usize, usize),
}

#[derive(Clone, Debug)]
struct Row {
    is_on: bool,
    line: u64,
    name: CellLocation,
    state: CellLocation,
}

/// A sheet whose cells are well formed.
#[derive(Clone, Debug)]
pub struct Sheet {
    file: String,
    text: String,
    reference: Reference,
    reference_state: CellLocation,
    rows: BTreeMap<Object, Row>,
}

/// Formats a digest as it is written in a sheet.
pub fn digest_text(digest: u64) -> String {
    format!("{DIGEST_PREFIX}{digest:016x}")
}

impl Sheet {
    /// Reads a sheet and checks each cell.
    ///
    /// # Errors
    /// Returns [`SheetError`] with all faults.
    pub fn parse(file: &str, text: &str) -> Result<Self, SheetError> {
        let mut parser = Parser { text, ..Parser::default() };
        parser.run();
        if parser.faults.is_empty() && parser.reference.is_none() {
            parser.fault(CellLocation::start(text), FaultKind::NoConfiguration);
        }
        match parser.reference {
            Some((reference, reference_state)) if parser.faults.is_empty() => Ok(Self {
                file: file.to_owned(),
                text: text.to_owned(),
                reference,
                reference_state,
                rows: parser.rows,
            }),
            _ => Err(error(file, text, parser.faults)),
        }
    }

    /// Returns the configuration that the sheet refers to.
    pub fn reference(&self) -> &Reference {
        &self.reference
    }

    /// Checks that the declarations have the digest that the sheet names, if it names one.
    ///
    /// # Errors
    /// Returns [`SheetError`] if the sheet names another digest.
    pub fn check_digest(&self, found: u64) -> Result<(), SheetError> {
        match self.reference {
            Reference::File { digest, .. } if digest != found => {
                let found = digest_text(found);
                Err(self.error(vec![fault(self.reference_state, FaultKind::Digest { found })]))
            }
            _ => Ok(()),
        }
    }

    /// Checks that the revision in force is the one that the sheet names, if it names one.
    ///
    /// # Errors
    /// Returns [`SheetError`] if the sheet names another revision.
    pub fn check_revision(&self, found: Revision) -> Result<(), SheetError> {
        match self.reference {
            Reference::InForce(revision) if revision != found => {
                Err(self.error(vec![fault(self.reference_state, FaultKind::Revision { found })]))
            }
            _ => Ok(()),
        }
    }

    /// Returns the declarations with the sheet's states of hosts and zones.
    ///
    /// # Errors
    /// Returns [`SheetError`] if the sheet lists an object that is not declared, lacks one that
    /// is, or leaves a service that pipelines use without any backend server.
    pub fn resolve(&self, declared: &Config) -> Result<Config, SheetError> {
        let mut config = declared.clone();
        let mut faults = self.set_states(&mut config);
        faults.extend(self.missing_rows(declared));
        if faults.is_empty() {
            let coverage = Coverage::of(&config);
            faults.extend(coverage.unserved().map(|service| {
                let kind = FaultKind::NoServer { service: service.clone() };
                fault(self.first_off_row(declared, service), kind)
            }));
        }
        if faults.is_empty() { Ok(config) } else { Err(self.error(faults)) }
    }

    fn set_states(&self, config: &mut Config) -> Vec<SheetFault> {
        let mut faults = Vec::new();
        for (object, row) in &self.rows {
            let Object { kind, name } = object;
            let state = match kind {
                ObjectKind::Zone => config.zones.get_mut(name).map(|z| &mut z.serving),
                _ => config.hosts.get_mut(name).map(|h| &mut h.running),
            };
            match state {
                Some(state) => *state = row.is_on,
                None => faults.push(fault(row.name, FaultKind::unknown(*kind, name))),
            }
        }
        faults.sort_by_key(|f| f.line);
        faults
    }

    fn missing_rows(&self, declared: &Config) -> Vec<SheetFault> {
        let zones = declared.zones.keys().map(|n| (ObjectKind::Zone, n));
        let hosts = declared.hosts.keys().map(|n| (ObjectKind::Host, n));
        let objects = zones.chain(hosts).map(|(kind, n)| Object { kind, name: n.clone() });
        objects
            .filter(|object| !self.rows.contains_key(object))
            .map(|object| fault(CellLocation::start(&self.text), FaultKind::Missing { object }))
            .collect()
    }

    /// Returns the state cell of the first row that turns off a backend server of the service by
    /// its host or its zone.
    fn first_off_row(&self, declared: &Config, service: &Name) -> CellLocation {
        let hosts = declared.hosts.iter().filter(|(_, h)| h.service == *service);
        let objects = hosts.flat_map(|(name, host)| {
            let host_object = Object { kind: ObjectKind::Host, name: name.clone() };
            [host_object, Object { kind: ObjectKind::Zone, name: host.zone.clone() }]
        });
        let rows = objects.filter_map(|o| self.rows.get(&o)).filter(|r| !r.is_on);
        rows.min_by_key(|r| r.line).map_or(CellLocation::start(&self.text), |r| r.state)
    }

    fn error(&self, faults: Vec<SheetFault>) -> SheetError {
        error(&self.file, &self.text, faults)
    }
}

impl CellLocation {
    /// Returns the location of the header.
    fn start(text: &str) -> Self {
        Self { line: 1, column: COLUMNS[0], span: (0, text.lines().next().map_or(0, str::len)) }
    }
}

fn fault(location: CellLocation, kind: FaultKind) -> SheetFault {
    let span = SourceSpan::from(location.span);
    SheetFault { line: location.line, column: location.column, kind, span }
}

fn error(file: &str, text: &str, faults: Vec<SheetFault>) -> SheetError {
    SheetError { text: NamedSource::new(file, text.to_owned()), faults }
}

#[derive(Default)]
struct Parser<'a> {
    text: &'a str,
    faults: Vec<SheetFault>,
    reference: Option<(Reference, CellLocation)>,
    rows: BTreeMap<Object, Row>,
}

impl Parser<'_> {
    fn run(&mut self) {
        let mut reader = ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .comment(Some(b'#'))
            .trim(Trim::All)
            .from_reader(self.text.as_bytes());
        let mut has_header = false;
        for record in reader.records() {
            match record {
                Ok(record) if has_header => self.parse_row(&record),
                Ok(record) => {
                    has_header = true;
                    if record.iter().ne(COLUMNS) {
                        self.fault(self.location(&record, 0), FaultKind::Header);
                        return;
                    }
                }
                Err(_) => self.fault(CellLocation::start(self.text), FaultKind::Csv),
            }
        }
        if !has_header {
            self.fault(CellLocation::start(self.text), FaultKind::Header);
        }
    }

    fn parse_row(&mut self, record: &StringRecord) {
        let [name, state] = [self.location(record, 1), self.location(record, 2)];
        if record.len() != COLUMNS.len() {
            let count = record.len();
            self.fault(self.location(record, 0), FaultKind::Columns { count });
            return;
        }
        match &record[0] {
            "configuration" => self.parse_configuration(&record[1], &record[2], name, state),
            "zone" => self.parse_object(ObjectKind::Zone, record, ("in", "out"), "`in` or `out`"),
            "host" => self.parse_object(ObjectKind::Host, record, ("run", "off"), "`run` or `off`"),
            text => {
                let text = text.to_owned();
                self.fault(self.location(record, 0), FaultKind::Kind { text });
            }
        }
    }

    fn parse_configuration(
        &mut self,
        name: &str,
        state: &str,
        name_cell: CellLocation,
        state_cell: CellLocation,
    ) {
        if let Some((_, first)) = self.reference {
            let first = first.line;
            self.fault(name_cell, FaultKind::TwoConfigurations { first });
            return;
        }
        let (reference, expected) = if name == "revision" {
            let number = state.strip_prefix('r').and_then(|n| n.parse().ok());
            let reference = number.map(|n| Reference::InForce(Revision(n)));
            (reference, "a revision such as `r12`")
        } else {
            let hex = state.strip_prefix(DIGEST_PREFIX).filter(|h| h.len() == 16);
            let digest = hex.and_then(|h| u64::from_str_radix(h, 16).ok());
            let reference = digest.map(|digest| Reference::File { path: name.into(), digest });
            (reference, "a digest such as `xxh64:0123456789abcdef`")
        };
        match reference {
            Some(reference) => self.reference = Some((reference, state_cell)),
            None => self.fault(state_cell, FaultKind::State { text: state.to_owned(), expected }),
        }
    }

    fn parse_object(
        &mut self,
        kind: ObjectKind,
        record: &StringRecord,
        (on, off): (&str, &str),
        expected: &'static str,
    ) {
        let [name_cell, state_cell] = [self.location(record, 1), self.location(record, 2)];
        let name = match Name::new(&record[1]) {
            Ok(name) => name,
            Err(e) => return self.fault(name_cell, e.into()),
        };
        let state = &record[2];
        if state != on && state != off {
            return self.fault(state_cell, FaultKind::State { text: state.to_owned(), expected });
        }
        let (is_on, object) = (state == on, Object { kind, name });
        if let Some(row) = self.rows.get(&object) {
            let (first, is_same) = (row.line, row.is_on == is_on);
            let kind = match is_same {
                true => FaultKind::Duplicate { object, first },
                false => FaultKind::Contradiction { object, first },
            };
            return self.fault(if is_same { name_cell } else { state_cell }, kind);
        }
        let row = Row { is_on, line: state_cell.line, name: name_cell, state: state_cell };
        self.rows.insert(object, row);
    }

    /// Returns the location of a cell, or of the whole row if the row lacks the cell.
    fn location(&self, record: &StringRecord, cell: usize) -> CellLocation {
        let position = record.position();
        let from = position.map_or(0, |p| usize::try_from(p.byte()).unwrap_or(0));
        let (start, row) = row_at(self.text, from);
        let skipped = self.text.get(from..start).map_or(0, |t| t.matches('\n').count());
        let line = position.map_or(1, csv::Position::line) + skipped as u64;
        let span = cell_span(row, cell).unwrap_or((0, row.len()));
        let column = COLUMNS.get(cell).copied().unwrap_or(COLUMNS[0]);
        CellLocation { line, column, span: (start + span.0, span.1) }
    }

    fn fault(&mut self, location: CellLocation, kind: FaultKind) {
        self.faults.push(fault(location, kind));
    }
}

/// Returns the start and text of the first row at or after a byte offset, skipping empty lines and
/// comments; the text excludes the line end.
fn row_at(text: &str, start: usize) -> (usize, &str) {
    let mut at = start.min(text.len());
    for line in text.get(at..).unwrap_or_default().split_inclusive('\n') {
        let row = line.trim_end();
        if !row.is_empty() && !row.starts_with('#') {
            return (at, row);
        }
        at += line.len();
    }
    (text.len(), "")
}

/// Returns the start and length of a cell of a row; a comma inside quotes does not end a cell.
fn cell_span(row: &str, cell: usize) -> Option<(usize, usize)> {
    let mut is_quoted = false;
    let mut starts = vec![0];
    for (i, b) in row.bytes().enumerate() {
        match b {
            b'"' => is_quoted = !is_quoted,
            b',' if !is_quoted => starts.push(i + 1),
            _ => {}
        }
    }
    starts.push(row.len() + 1);
    let (start, end) = (*starts.get(cell)?, starts.get(cell + 1)? - 1);
    Some((start, end - start))
}
