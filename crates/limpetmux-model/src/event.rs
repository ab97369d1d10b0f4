//! Events of the simulation.

use super::Fault;
use super::host::Answer;
use limpetmux::core::admission::{Load, Offer};
use limpetmux::core::routing::Pick;
use limpetmux::core::time::Moment;
use limpetmux::core::view::View;
use std::rc::Rc;

/// An event, with the entry, host, request or attempt that it concerns.
pub(super) enum Event {
    Arrive,
    Offer(usize, Offer),
    Tick(usize, u64),
    Reply(usize, Answer, Load),
    Expire(usize),
    Cancel(usize),
    Hedge(usize),
    Poll(usize),
    Probe(usize),
    Fault(Fault),
    SidecarUpdate(usize, bool),
    EntryUpdate(usize, Rc<View>),
}

/// One attempt at one stage of a request.
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) pick: Pick,
    pub(super) sent_at: Moment,
    pub(super) open: bool,
}
