//! Notices that this process stood still.
//!
//! A process may be stopped for longer than it takes to declare its host gone and to give its
//! slots to others. When it goes on, its picture of the slots is as old as the pause, and a load
//! that it orders by it may make one replica too many at an engine that ignores fencing
//! numbers. So after a pause it orders nothing until it has read the log anew.

use std::time::{Duration, Instant};

/// Time between two turns of the loop that counts as a pause; the loop turns ten times a second
/// when nothing happens, and slots move after seconds at the earliest.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Reads of the log that must succeed after a pause: one may have been answered before it.
pub const READS_AFTER_PAUSE: u64 = 2;

/// Watches the turns of a loop.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessGuard {
    last_iteration_at: Instant,
    fresh_after_reads: u64,
}

impl FreshnessGuard {
    /// Nothing has been missed yet.
    pub const fn new(now: Instant) -> Self {
        Self { last_iteration_at: now, fresh_after_reads: 0 }
    }

    /// Notes a turn, with the reads of the log so far.
    pub fn on_iteration(&mut self, now: Instant, reads: u64) {
        if now.saturating_duration_since(self.last_iteration_at) > PAUSE_THRESHOLD {
            tracing::warn!("this process stood still: no orders until the log is read again");
            self.fresh_after_reads = reads + READS_AFTER_PAUSE;
        }
        self.last_iteration_at = now;
    }

    /// Whether the log has been read since the last pause.
    pub const fn is_fresh(&self, reads: u64) -> bool {
        reads >= self.fresh_after_reads
    }
}

#[cfg(test)]
mod tests;
