//! Turns of the requests that can't be told apart.

use crate::fingerprint::Fingerprint;
use std::time::{Duration, Instant};

/// Interval at which the requests that can't be told apart take turns.
const TURN_TIME: Duration = Duration::from_millis(1_000);
/// Part of a turn in which they are sent, so that they have run for a while when the next turn begins.
const SEND_WINDOW: Duration = Duration::from_millis(400);

/// Requests that ended the same targets as another.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// Sorted, so that all routers agree on the turns.
    requests: Vec<Fingerprint>,
    /// The last of the ends.
    first_turn_at: Option<Instant>,
}

impl Turns {
    pub fn new(mut requests: Vec<Fingerprint>, first_turn_at: Option<Instant>) -> Self {
        requests.sort_unstable();
        Self { requests, first_turn_at }
    }

    pub fn requests(&self) -> &[Fingerprint] {
        &self.requests
    }

    /// Whether a request is sent in a turn: a few requests one by one; of many, any two are apart in some
    /// turns, as the bits of their positions differ.
    fn has_turn(&self, position: usize, turn: u32) -> bool {
        let count = self.requests.len().max(2);
        let bits = usize::BITS - (count - 1).leading_zeros();
        let turns_by_bits = 2 * bits as usize;
        if count <= turns_by_bits {
            return turn as usize % count == position;
        }
        let bit = (turn / 2) % bits;
        (position >> bit & 1) as u32 == turn % 2
    }

    /// When a request may be sent; none if it may be sent now.
    pub fn held_until(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Instant> {
        let position = self.requests.binary_search(fingerprint).ok()?;
        let first_turn_at = self.first_turn_at?;
        let elapsed = now.saturating_duration_since(first_turn_at);
        let turn = u32::try_from(elapsed.as_millis() / TURN_TIME.as_millis()).ok()?;
        let in_window = now < first_turn_at + TURN_TIME * turn + SEND_WINDOW;
        if in_window && self.has_turn(position, turn) {
            return None;
        }
        let next = (turn + 1..).find(|turn| self.has_turn(position, *turn))?;
        Some(first_turn_at + TURN_TIME * next)
    }
}
