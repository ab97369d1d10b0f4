//! The time that model engines need to read a prompt, learned from the prompts that they have read.
//!
//! The time grows with the tokens that are read, and with the tokens before each of them: the last
//! thousand of a long prompt take longer than the first. [`ReadCost`] fits both from the times of
//! prompts that waited for nothing, and starts with a guess. Its state is a fixed number of sums. See
//! `docs/design/expected-work.md`.

use std::time::Duration;

/// The guess: fixed time of a prompt, time of a thousand tokens, and time of a million pairs of a token
/// with one before it, in milliseconds.
const GUESS: Terms = [20.0, 25.0, 0.0];
/// By how much each value of the guess may be wrong, as seen by one prompt.
const SPREAD: Terms = [20.0, 12.5, 0.5];
/// The part of the sums that each new prompt replaces.
const FORGET: f64 = 0.003;
/// The longest expected time; callers state the sizes of prompts.
const MAX_TIME: Duration = Duration::from_secs(3_600);
/// The least expected time that errors are relative to, in milliseconds.
const LEAST_TIME_MS: f64 = 1.0;
/// A prompt that took more or less than the expected time by this factor is not learned from.
const MAX_FACTOR: f64 = 2.5;

/// One value for each term: fixed, by token, by pair.
type Terms = [f64; 3];

/// What an engine reads of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadSize {
    /// The tokens that it reads.
    pub tokens: u32,
    /// The tokens before them, which it has cached.
    pub cached: u32,
}

impl ReadSize {
    /// Returns the size of a prompt of which some tokens are cached.
    pub fn new(prompt: u32, cached: u32) -> Self {
        Self { tokens: prompt.saturating_sub(cached), cached: cached.min(prompt) }
    }

    fn terms(self) -> Terms {
        let (tokens, cached) = (f64::from(self.tokens), f64::from(self.cached));
        [1.0, tokens / 1e3, tokens * (cached + tokens / 2.0) / 1e6]
    }
}

/// The learned time of reading.
#[derive(Clone, Copy, Debug)]
pub struct ReadCost {
    /// The milliseconds of each term.
    coefficients: Terms,
    /// The weighted sums of the products of terms, and of terms and times.
    products: [Terms; 3],
    moments: Terms,
}

impl Default for ReadCost {
    fn default() -> Self {
        Self { coefficients: GUESS, products: [[0.0; 3]; 3], moments: [0.0; 3] }
    }
}

impl ReadCost {
    /// Returns the expected time of reading.
    pub fn time(&self, size: ReadSize) -> Duration {
        let seconds = dot(&self.coefficients, &size.terms()) / 1e3;
        Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, |time| time.min(MAX_TIME))
    }

    /// Learns from a prompt that took a time at an engine of usual speed; returns whether the time was
    /// near enough to the expected one to be used.
    ///
    /// Prompts count by their relative error, so that the many short ones and the long ones fit alike.
    pub fn learn(&mut self, size: ReadSize, took: Duration) -> bool {
        let terms = size.terms();
        let took = took.as_secs_f64() * 1e3;
        let expected = dot(&self.coefficients, &terms).max(LEAST_TIME_MS);
        if took > expected * MAX_FACTOR || took * MAX_FACTOR < expected {
            return false;
        }
        let weight = expected.powi(-2);
        for (row, term) in terms.iter().enumerate() {
            for (column, other) in terms.iter().enumerate() {
                let product = &mut self.products[row][column];
                *product += term * other * weight - *product * FORGET;
            }
            self.moments[row] += term * took * weight - self.moments[row] * FORGET;
        }
        self.fit();
        true
    }

    /// Solves for the coefficients that fit the sums and the guess best.
    fn fit(&mut self) {
        let (mut rows, mut values) = (self.products, self.moments);
        for (term, spread) in SPREAD.iter().enumerate() {
            let weight = spread.powi(-2);
            rows[term][term] += weight;
            values[term] += weight * GUESS[term];
        }
        if let Some(coefficients) = solve(rows, values) {
            self.coefficients = coefficients.map(|c| c.max(0.0));
        }
    }
}

fn dot(left: &Terms, right: &Terms) -> f64 {
    left.iter().zip(right).map(|(l, r)| l * r).sum()
}

/// Solves three equations with a positive definite matrix by elimination; `None` if they have no
/// finite solution.
fn solve(mut rows: [Terms; 3], mut values: Terms) -> Option<Terms> {
    for pivot in 0..3 {
        let (pivot_row, pivot_value) = (rows[pivot], values[pivot]);
        for row in (0..3).filter(|row| *row != pivot) {
            let factor = rows[row][pivot] / pivot_row[pivot];
            for column in 0..3 {
                rows[row][column] -= factor * pivot_row[column];
            }
            values[row] -= factor * pivot_value;
        }
    }
    let solution = [0, 1, 2].map(|row| values[row] / rows[row][row]);
    solution.iter().all(|v| v.is_finite()).then_some(solution)
}
