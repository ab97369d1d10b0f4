//! The parts with which answers were completed.

use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a completed answer speaks for the parts of its prompt.
const KNOWN_TIME: Duration = Duration::from_secs(600);
/// The most parts that are remembered; the half that was used last is kept beyond it.
const MAX_PARTS: usize = 8_192;

/// When an answer was last completed with each part.
#[derive(Clone, Debug, Default)]
pub(super) struct Uses(BTreeMap<PartId, Moment>);

impl Uses {
    pub(super) fn record(&mut self, now: Moment, part: PartId) {
        self.0.insert(part, now);
        if self.0.len() <= MAX_PARTS {
            return;
        }
        let mut times: Vec<Moment> = self.0.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_PARTS / 2);
        let median = *median;
        self.0.retain(|_, at| *at > median);
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether an answer was completed with a part recently.
    pub(super) fn is_known(&self, now: Moment, part: PartId) -> bool {
        self.0.get(&part).is_some_and(|at| now.since(*at) < KNOWN_TIME)
    }
}
