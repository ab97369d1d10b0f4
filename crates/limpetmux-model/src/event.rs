//! What happens in the model, in the order of virtual time.

use super::Fault;
use super::side::Answer;
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
    Poll(usize),
    Probe(usize),
    Fault(Fault),
    SideLearns(usize, bool),
    EntryLearns(usize, Rc<View>),
}

/// One attempt at one stage of a request.
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) pick: Pick,
    pub(super) sent: Moment,
    pub(super) open: bool,
}
