//! Decisions without I/O or clocks.
//!
//! Every function here takes the time as a parameter and returns its decision as a value, so a
//! whole session can be replayed from its inputs. Traffic and control code outside this module
//! performs the I/O and feeds the results back in.

pub mod admission;
pub mod answer_limits;
pub mod answer_proof;
pub mod arena;
pub mod budget;
pub mod catalog;
pub mod chain;
pub mod config;
pub mod cost;
pub(crate) mod doubt;
pub mod engines;
pub mod evacuations;
pub mod event_stream;
pub mod frames;
pub mod keys;
pub mod listed;
pub mod listing;
pub mod log_position;
pub mod membership;
pub mod memory;
pub mod node_stop;
pub mod nodes;
pub mod once;
pub mod operator;
pub mod pieces;
pub mod placement;
pub mod planner;
pub mod prompt_part;
pub mod quarantine;
pub mod queue_waits;
pub mod quota;
pub mod read_limits;
pub mod read_times;
pub mod refusal;
pub mod retry_share;
pub mod revision;
pub mod rollout;
pub mod routing;
pub mod server_limits;
pub mod server_notices;
pub mod share;
pub mod shutdown;
pub mod time;
pub mod view;
pub mod work;
