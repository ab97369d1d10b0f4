//! What an engine pool remembers of the parts that one engine has read.
//!
//! Both the tokens and the number of the parts are bounded: callers choose how many parts a prompt has,
//! and most of the memory that they take is for their number. See `docs/design/memory.md`.

use super::PromptPart;
use crate::core::time::Moment;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The leading parts of a prompt that are remembered; the engine is taken not to hold the others.
const MAX_PROMPT_PARTS: usize = 512;
/// The part of the most parts that is kept once there are more, so that not each prompt evicts some.
const KEPT_PART: f64 = 0.875;

/// The bounds on what is remembered of one engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct CacheBounds {
    /// The sum of the tokens of all parts.
    pub(super) tokens: u64,
    /// The number of the parts.
    pub(super) parts: usize,
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    tokens: u32,
    /// The place of the part in the prompt.
    index: u32,
    used_at: Moment,
    /// Whether a prompt with this part was sent; otherwise one is only planned.
    is_read: bool,
}

/// The parts that one engine has read, or will read for planned prompts.
#[derive(Clone, Debug, Default)]
pub(super) struct PartCache {
    parts: BTreeMap<u64, Cached>,
}

impl PartCache {
    /// Adds the leading parts of a prompt that was sent or is only planned.
    pub(super) fn add(&mut self, now: Moment, parts: &[PromptPart], is_read: bool) {
        for (index, part) in (0..).zip(&parts[..parts.len().min(MAX_PROMPT_PARTS)]) {
            let new = Cached { tokens: part.tokens, index, used_at: now, is_read };
            let cached = self.parts.entry(part.key).or_insert(new);
            cached.used_at = now;
            cached.is_read |= is_read;
        }
    }

    /// Returns the tokens of the leading parts that are held; parts of planned prompts count unless
    /// `only_read` is set.
    pub(super) fn tokens(&self, parts: &[PromptPart], only_read: bool) -> u32 {
        let holds =
            |p: &&PromptPart| self.parts.get(&p.key).is_some_and(|c| c.is_read || !only_read);
        parts.iter().take_while(holds).fold(0, |sum, p| p.tokens.saturating_add(sum))
    }

    /// Returns the number of parts that are remembered.
    pub(super) fn count(&self) -> usize {
        self.parts.len()
    }

    /// Evicts the least recently used parts until the rest is within the bounds, of one prompt the last
    /// part first: without those before it no part is of use.
    pub(super) fn evict(&mut self, bounds: CacheBounds) {
        let mut held: u64 = self.parts.values().map(|c| u64::from(c.tokens)).sum();
        let is_over = self.parts.len() > bounds.parts;
        if held <= bounds.tokens && !is_over {
            return;
        }
        let kept = if is_over { (bounds.parts as f64 * KEPT_PART) as usize } else { bounds.parts };
        let mut oldest: Vec<(Moment, Reverse<u32>, u64, u32)> =
            self.parts.iter().map(|(k, c)| (c.used_at, Reverse(c.index), *k, c.tokens)).collect();
        oldest.sort_unstable();
        for (_, _, key, tokens) in oldest {
            if held <= bounds.tokens && self.parts.len() <= kept {
                return;
            }
            self.parts.remove(&key);
            held -= u64::from(tokens);
        }
    }
}
