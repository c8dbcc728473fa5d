//! A clock abstraction, so that tests control time.

use nix::time;
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;
    /// Wall-clock time, for the time of day and timestamps.
    fn wall(&self) -> SystemTime;
    /// Time since boot, including time for which the host was suspended.
    fn since_boot(&self) -> Duration;
}

/// A clock shared between threads.
pub type SharedClock = Arc<dyn Clock>;

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn since_boot(&self) -> Duration {
        let time_since_boot = time::clock_gettime(time::ClockId::CLOCK_BOOTTIME);
        time_since_boot.expect("CLOCK_BOOTTIME is supported").into()
    }
}

/// A clock for tests that only moves on [`ManualClock::advance`].
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    start_wall: SystemTime,
    elapsed: Arc<Mutex<Duration>>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self { start: Instant::now(), start_wall: UNIX_EPOCH, elapsed: Arc::default() }
    }
}

impl ManualClock {
    /// Moves time forward.
    pub fn advance(&self, by: Duration) {
        *self.lock() += by;
    }

    /// Time by which the clock was advanced.
    pub fn elapsed(&self) -> Duration {
        *self.lock()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Duration> {
        self.elapsed.lock().expect("no holder of this lock panics")
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.start_wall + self.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed()
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
