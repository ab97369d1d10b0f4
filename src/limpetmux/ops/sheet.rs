//! The planners' morning sheet: which hosts run, which availability zones serve, and which
//! configuration applies.
//!
//! The sheet is CSV in the format of `docs/SHEET.md`. [`Sheet::parse`] checks each cell by itself,
//! [`Sheet::resolve`] checks the whole against declarations. Both report every fault that they
//! find, and nothing is applied if there is any.

use super::sheet_error::{FaultKind, SheetFault};
use crate::core::config::{Config, Coverage, Name, Object, ObjectKind};
use crate::core::revision::Revision;
use csv::{ReaderBuilder, StringRecord, Trim};
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeMap;
use std::path::PathBuf;

pub use super::sheet_error::SheetError;

/// The published columns.
pub const COLUMNS: [&str; 3] = ["kind", "name", "state"];
const DIGEST_PREFIX: &str = "xxh64:";

/// Which configuration applies.
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

/// A cell's place in the file.
#[derive(Clone, Copy, Debug)]
struct Place {
    line: u64,
    column: &'static str,
    span: (usize, usize),
}

#[derive(Clone, Debug)]
struct Row {
    is_on: bool,
    line: u64,
    name: Place,
    state: Place,
}

/// A sheet whose cells are well formed.
#[derive(Clone, Debug)]
pub struct Sheet {
    file: String,
    text: String,
    reference: Reference,
    place: Place,
    rows: BTreeMap<Object, Row>,
}

/// Returns the text by which a sheet names a digest.
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
            parser.fault(Place::start(text), FaultKind::NoConfiguration);
        }
        match parser.reference {
            Some((reference, place)) if parser.faults.is_empty() => Ok(Self {
                file: file.to_owned(),
                text: text.to_owned(),
                reference,
                place,
                rows: parser.rows,
            }),
            _ => Err(error(file, text, parser.faults)),
        }
    }

    /// Returns which configuration applies.
    pub fn reference(&self) -> &Reference {
        &self.reference
    }

    /// Checks that the declarations are the ones that the planners meant.
    ///
    /// # Errors
    /// Returns [`SheetError`] if the sheet names another digest.
    pub fn check_digest(&self, found: u64) -> Result<(), SheetError> {
        match self.reference {
            Reference::File { digest, .. } if digest != found => {
                let found = digest_text(found);
                Err(self.error(vec![fault(self.place, FaultKind::Digest { found })]))
            }
            _ => Ok(()),
        }
    }

    /// Checks that the revision in force is the one that the planners meant.
    ///
    /// # Errors
    /// Returns [`SheetError`] if the sheet names another revision.
    pub fn check_revision(&self, found: Revision) -> Result<(), SheetError> {
        match self.reference {
            Reference::InForce(revision) if revision != found => {
                Err(self.error(vec![fault(self.place, FaultKind::Revision { found })]))
            }
            _ => Ok(()),
        }
    }

    /// Sets the sheet's hosts and zones in declarations.
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
                fault(self.place_of_loss(declared, service), kind)
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
            .map(|object| fault(Place::start(&self.text), FaultKind::Missing { object }))
            .collect()
    }

    /// Returns the first row that takes a backend server of the service away.
    fn place_of_loss(&self, declared: &Config, service: &Name) -> Place {
        let hosts = declared.hosts.iter().filter(|(_, h)| h.service == *service);
        let objects = hosts.flat_map(|(name, host)| {
            let host_object = Object { kind: ObjectKind::Host, name: name.clone() };
            [host_object, Object { kind: ObjectKind::Zone, name: host.zone.clone() }]
        });
        let rows = objects.filter_map(|o| self.rows.get(&o)).filter(|r| !r.is_on);
        rows.min_by_key(|r| r.line).map_or(Place::start(&self.text), |r| r.state)
    }

    fn error(&self, faults: Vec<SheetFault>) -> SheetError {
        error(&self.file, &self.text, faults)
    }
}

impl Place {
    /// Returns the place of the header.
    fn start(text: &str) -> Self {
        Self { line: 1, column: COLUMNS[0], span: (0, text.lines().next().map_or(0, str::len)) }
    }
}

fn fault(place: Place, kind: FaultKind) -> SheetFault {
    let span = SourceSpan::from(place.span);
    SheetFault { line: place.line, column: place.column, kind, span }
}

fn error(file: &str, text: &str, faults: Vec<SheetFault>) -> SheetError {
    SheetError { text: NamedSource::new(file, text.to_owned()), faults }
}

#[derive(Default)]
struct Parser<'a> {
    text: &'a str,
    faults: Vec<SheetFault>,
    reference: Option<(Reference, Place)>,
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
                Ok(record) if has_header => self.record(&record),
                Ok(record) => {
                    has_header = true;
                    if record.iter().ne(COLUMNS) {
                        self.fault(self.place(&record, 0), FaultKind::Header);
                        return;
                    }
                }
                Err(_) => self.fault(Place::start(self.text), FaultKind::Csv),
            }
        }
        if !has_header {
            self.fault(Place::start(self.text), FaultKind::Header);
        }
    }

    fn record(&mut self, record: &StringRecord) {
        let [name, state] = [self.place(record, 1), self.place(record, 2)];
        if record.len() != COLUMNS.len() {
            let count = record.len();
            self.fault(self.place(record, 0), FaultKind::Columns { count });
            return;
        }
        match &record[0] {
            "configuration" => self.configuration(&record[1], &record[2], name, state),
            "zone" => self.object(ObjectKind::Zone, record, ("in", "out"), "`in` or `out`"),
            "host" => self.object(ObjectKind::Host, record, ("run", "off"), "`run` or `off`"),
            text => {
                let text = text.to_owned();
                self.fault(self.place(record, 0), FaultKind::Kind { text });
            }
        }
    }

    fn configuration(&mut self, name: &str, state: &str, name_place: Place, place: Place) {
        if let Some((_, first)) = self.reference {
            let first = first.line;
            self.fault(name_place, FaultKind::TwoConfigurations { first });
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
            Some(reference) => self.reference = Some((reference, place)),
            None => self.fault(place, FaultKind::State { text: state.to_owned(), expected }),
        }
    }

    fn object(
        &mut self,
        kind: ObjectKind,
        record: &StringRecord,
        (on, off): (&str, &str),
        expected: &'static str,
    ) {
        let [name_place, place] = [self.place(record, 1), self.place(record, 2)];
        let name = match Name::new(&record[1]) {
            Ok(name) => name,
            Err(e) => return self.fault(name_place, e.into()),
        };
        let state = &record[2];
        if state != on && state != off {
            return self.fault(place, FaultKind::State { text: state.to_owned(), expected });
        }
        let (is_on, object) = (state == on, Object { kind, name });
        if let Some(row) = self.rows.get(&object) {
            let (first, is_same) = (row.line, row.is_on == is_on);
            let kind = match is_same {
                true => FaultKind::Duplicate { object, first },
                false => FaultKind::Contradiction { object, first },
            };
            return self.fault(if is_same { name_place } else { place }, kind);
        }
        let row = Row { is_on, line: place.line, name: name_place, state: place };
        self.rows.insert(object, row);
    }

    /// Returns the place of a cell; one that is not there stands for the whole row.
    fn place(&self, record: &StringRecord, cell: usize) -> Place {
        let position = record.position();
        let before = position.map_or(0, |p| usize::try_from(p.byte()).unwrap_or(0));
        let (start, row) = row_at(self.text, before);
        let skipped = self.text.get(before..start).map_or(0, |t| t.matches('\n').count());
        let line = position.map_or(1, csv::Position::line) + skipped as u64;
        let span = cell_span(row, cell).unwrap_or((0, row.len()));
        let column = COLUMNS.get(cell).copied().unwrap_or(COLUMNS[0]);
        Place { line, column, span: (start + span.0, span.1) }
    }

    fn fault(&mut self, place: Place, kind: FaultKind) {
        self.faults.push(fault(place, kind));
    }
}

/// Returns the first row at or after a byte, without empty lines, comments and its line end.
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

/// Returns start and length of a cell of a row, without quotes' meaning lost.
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
