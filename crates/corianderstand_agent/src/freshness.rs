//! Detects that this process was suspended, after which its view of the slots is stale.
//!
//! The slots may have been reassigned meanwhile, and an engine may ignore fencing tokens, so the
//! agent loads nothing until it has read the log again.

use std::time::{Duration, Instant};

/// Time between two iterations of the loop that counts as a pause; slots move later than this.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Log reads that must succeed after a pause; the response to the first may predate it.
pub const READS_AFTER_PAUSE: u64 = 2;

/// Tracks whether the log has been read since the last pause.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessGuard {
    last_iteration_at: Instant,
    fresh_after_reads: u64,
}

impl FreshnessGuard {
    pub const fn new(now: Instant) -> Self {
        Self { last_iteration_at: now, fresh_after_reads: 0 }
    }

    /// Records an iteration of the loop and the number of log reads so far.
    pub fn on_iteration(&mut self, now: Instant, reads: u64) {
        if now.saturating_duration_since(self.last_iteration_at) > PAUSE_THRESHOLD {
            tracing::warn!(
                "this process stood still: no load commands until the log is read again"
            );
            self.fresh_after_reads = reads + READS_AFTER_PAUSE;
        }
        self.last_iteration_at = now;
    }

    pub const fn is_fresh(&self, reads: u64) -> bool {
        reads >= self.fresh_after_reads
    }
}

#[cfg(test)]
mod tests;
