//! `limpetmux explain`

use argh::FromArgs;
use limpetmux::ops::explain::RequestLog;
use miette::{IntoDiagnostic, WrapErr, miette};
use std::fs::File;
use std::io::{BufReader, IsTerminal, Write};
use std::path::PathBuf;

/// The number of bytes between two updates of the progress bar.
const UPDATE_BYTES: u64 = 16 * 1024 * 1024;
/// The width of the progress bar in characters.
const BAR_WIDTH: u64 = 40;

/// Reconstruct the course of one request from the log lines of several processes.
///
/// Exit codes: 0 if the request is found, 1 if not or if a file cannot be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the id of the request, as its caller sent it
    #[argh(positional)]
    request: String,
    /// files with log lines of one or more processes; the name of a file is shown as the process
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Reads the files and prints the events of the request.
pub fn exec(args: ExplainArgs) -> miette::Result<()> {
    if args.files.is_empty() {
        return Err(miette!("give at least one file with log lines"));
    }
    let mut log = RequestLog::default();
    for path in &args.files {
        let name = path.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        let file = File::open(path).into_diagnostic();
        let file = file.wrap_err_with(|| format!("cannot open {}", path.display()))?;
        let mut progress = Progress::new(file.metadata().map_or(0, |m| m.len()));
        let read = log.read(&args.request, &name, BufReader::new(file), |n| progress.add(n));
        read.into_diagnostic().wrap_err_with(|| format!("cannot read {}", path.display()))?;
        progress.clear();
    }
    print!("{}", log.render());
    println!("{} lines read, {} unreadable", log.lines, log.unreadable);
    if log.is_empty() {
        Err(miette!("no line belongs to request {}", args.request))
    } else {
        Ok(())
    }
}

/// A progress bar for a long file, shown if standard error is a terminal.
struct Progress {
    total: u64,
    read: u64,
    shown: u64,
    visible: bool,
}

impl Progress {
    fn new(total: u64) -> Self {
        let visible = std::io::stderr().is_terminal() && total > UPDATE_BYTES;
        Self { total, read: 0, shown: 0, visible }
    }

    fn add(&mut self, bytes: usize) {
        self.read += bytes as u64;
        if self.visible && self.read - self.shown > UPDATE_BYTES {
            self.shown = self.read;
            let done = (self.read * BAR_WIDTH / self.total.max(1)).min(BAR_WIDTH) as usize;
            let bar = format!("{}{}", "#".repeat(done), ".".repeat(BAR_WIDTH as usize - done));
            eprint!("\r{bar} {} of {} MB", self.read >> 20, self.total >> 20);
            drop(std::io::stderr().flush());
        }
    }

    fn clear(&self) {
        if self.visible {
            eprintln!();
        }
    }
}
