//! `config activate`: activates a record format once every node knows it.
//!
//! A node that is too old for an active format stops at the first record of that format, so the
//! command asks every process first. All nodes accept the activation by the same rule; see
//! `docs/design/configuration.md`.

use super::status::{FleetStatus, NodeStatus};
use thiserror::Error;

/// The reason why a format is not activated.
#[derive(Clone, Debug, PartialEq, Eq, Error, miette::Diagnostic)]
pub enum ActivateError {
    /// This program does not know the format.
    #[error("format {format} is unknown to this program, which knows formats up to {known}")]
    #[diagnostic(
        code(limpetmux::config::format_unknown),
        help("use a newer version of the program")
    )]
    Unknown {
        /// The format.
        format: u32,
        /// The newest format that this program knows.
        known: u32,
    },
    /// The format is active already.
    #[error("format {active} is active, so format {format} is too")]
    #[diagnostic(code(limpetmux::config::format_active))]
    AlreadyActive {
        /// The format.
        format: u32,
        /// The format that is active.
        active: u32,
    },
    /// No process answered.
    #[error("no process reported which formats it knows")]
    #[diagnostic(
        code(limpetmux::config::format_unasked),
        help("give the gRPC addresses of all entries with --node")
    )]
    NoAnswers,
    /// Processes run a program that does not know the format, or did not answer.
    #[error("{} process(es) do not know format {format} or did not answer", nodes.len())]
    #[diagnostic(
        code(limpetmux::config::format_early),
        help("upgrade them first; --allow-silent skips hosts that are off")
    )]
    NotReady {
        /// The format.
        format: u32,
        /// The processes.
        #[related]
        nodes: Vec<UnreadyNode>,
    },
}

/// A process that does not know a format or did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Error, miette::Diagnostic)]
pub enum UnreadyNode {
    /// The process is too old.
    #[error("{node} knows formats up to {known}")]
    Old {
        /// The process.
        node: String,
        /// The newest format that it knows.
        known: u32,
    },
    /// The process did not answer.
    #[error("{address} did not answer")]
    NoAnswer {
        /// The address.
        address: std::net::SocketAddr,
    },
}

/// Checks that a format can be activated: this program and every process know it.
///
/// # Errors
/// Returns [`ActivateError`] with the reason why it cannot be activated.
pub fn check(
    format: u32,
    (active, known): (u32, u32),
    fleet: &FleetStatus,
    allow_silent: bool,
) -> Result<(), ActivateError> {
    if format > known {
        return Err(ActivateError::Unknown { format, known });
    }
    if format <= active {
        return Err(ActivateError::AlreadyActive { format, active });
    }
    if fleet.nodes.iter().all(NodeStatus::is_unreachable) {
        return Err(ActivateError::NoAnswers);
    }
    let unready = |node: &NodeStatus| match node.is_unreachable() {
        true if allow_silent => None,
        true => Some(UnreadyNode::NoAnswer { address: node.address }),
        false if node.format >= format => None,
        false => Some(UnreadyNode::Old { node: node.node.clone(), known: node.format }),
    };
    let nodes: Vec<UnreadyNode> = fleet.nodes.iter().filter_map(unready).collect();
    if nodes.is_empty() { Ok(()) } else { Err(ActivateError::NotReady { format, nodes }) }
}
