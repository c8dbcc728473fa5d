//! Notices that this process stood still.
//!
//! A request that came while the process was frozen is read from its socket as if it had just
//! come. Its caller may have given up long ago and have booked elsewhere; run now, the booking
//! would be a second one. Nothing in the request tells its age, so calls that may not be
//! repeated are not run for a moment after a pause; who still waits asks again.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Time between two turns of the watch.
pub const TURN: Duration = Duration::from_millis(100);
/// Time without a turn that counts as a pause: callers give up after seconds at the earliest.
const PAUSE: Duration = Duration::from_secs(1);
/// Time after a pause in which what was in the sockets has been read.
const AFTERMATH: Duration = Duration::from_millis(500);

/// Watches the turns of the thread that reads requests.
#[derive(Debug)]
pub struct PauseWatch {
    origin: Instant,
    turned_ms: AtomicU64,
    doubtful_until_ms: AtomicU64,
}

impl PauseWatch {
    /// Nothing has been missed yet.
    pub const fn new(now: Instant) -> Self {
        let (turned_ms, doubtful_until_ms) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { origin: now, turned_ms, doubtful_until_ms }
    }

    /// Whether a request read now may be older than it looks; also notes the turn.
    ///
    /// After a pause either a request or the watch itself may be the first to run, so both
    /// ask here.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        let now_ms = now.saturating_duration_since(self.origin).as_millis() as u64;
        let turned_ms = self.turned_ms.swap(now_ms, Ordering::Relaxed);
        if now_ms.saturating_sub(turned_ms) > PAUSE.as_millis() as u64 {
            tracing::warn!("this process stood still: calls that may not be repeated wait");
            let until_ms = now_ms + AFTERMATH.as_millis() as u64;
            self.doubtful_until_ms.store(until_ms, Ordering::Relaxed);
        }
        now_ms < self.doubtful_until_ms.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
