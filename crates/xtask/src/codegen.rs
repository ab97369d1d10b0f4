//! Generates the committed gRPC code from the protocol definitions.

use argh::FromArgs;
use std::path::{Path, PathBuf};

/// Compile proto/*.proto into the committed sources.
#[derive(FromArgs)]
#[argh(subcommand, name = "codegen")]
pub struct CodegenArgs {}

/// A failure of code generation.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CodegenError {
    /// The protocol definitions do not compile.
    #[error("cannot compile the protocol definitions")]
    Compile(#[from] protox::Error),
    /// A file cannot be read or written.
    #[error("cannot read or write generated code")]
    Io(#[from] std::io::Error),
}

/// Runs the generator.
pub fn exec(_args: CodegenArgs) -> Result<(), CodegenError> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut protos: Vec<PathBuf> = std::fs::read_dir(root.join("proto"))?
        .map(|entry| entry.map(|e| e.path()))
        .collect::<Result<_, _>>()?;
    protos.retain(|p| p.extension().is_some_and(|e| e == "proto"));
    protos.sort();
    let descriptors = protox::compile(&protos, [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(root.join("src/limpetmux/wire/gen"))
        .btree_map(".")
        .bytes(".limpetmux.stage.v1")
        .compile_fds(descriptors)?;
    Ok(())
}
