//! Targets that ended while they ran requests.

use crate::targets::Incarnation;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

const MAX_ENDED_TARGETS: usize = 512;
/// Targets that end within this time may end for the same cause.
const TOGETHER_TIME: Duration = Duration::from_millis(500);

/// The last targets that ended, in no particular order.
#[derive(Clone, Debug, Default)]
pub struct EndedTargets {
    ended: VecDeque<(Incarnation, Instant)>,
}

impl EndedTargets {
    pub fn record(&mut self, target: &Incarnation, at: Instant) {
        if self.ended.iter().any(|(known, _)| known == target) {
            return;
        }
        if self.ended.len() == MAX_ENDED_TARGETS {
            self.ended.pop_front();
        }
        self.ended.push_back((target.clone(), at));
    }

    /// The targets that ended between two times, or at about these.
    pub fn between(&self, first: Instant, last: Instant) -> impl Iterator<Item = &Incarnation> {
        let is_between =
            move |at: Instant| at + TOGETHER_TIME >= first && at <= last + TOGETHER_TIME;
        let ended = self.ended.iter().filter(move |(_, at)| is_between(*at));
        ended.map(|(target, _)| target)
    }
}
