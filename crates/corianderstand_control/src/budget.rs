//! Rate limit of the control traffic of one process, in bytes and messages per second.
//!
//! Beyond the limit a follower delays its reads and a relay rejects reads. Callers' requests are not
//! counted.

#[cfg(test)]
mod tests;

use crate::metrics::{Metric, Metrics};
use corianderstand_derives::derives;
use corianderstand_types::clock::SharedClock;
use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// A rate of control traffic.
#[derives(key)]
pub struct Rate {
    /// Bytes per second, sent and received.
    pub bytes_per_s: u64,
    /// Messages per second.
    pub messages_per_s: u64,
}

/// Limit of all control traffic of one process.
pub const PROCESS_RATE: Rate = Rate { bytes_per_s: 16_000, messages_per_s: 128 };
/// Part of [`PROCESS_RATE`] that a relay may spend on serving followers.
pub const SERVE_RATE: Rate = Rate { bytes_per_s: 11_000, messages_per_s: 64 };
/// Capacity of each token bucket, in seconds of its rate.
pub const BURST_SECONDS: u64 = 4;
/// Maximum delay of a read.
pub const MAX_READ_DELAY: Duration = Duration::from_millis(500);

/// Rate limit of one process for reading the host list.
pub const HOST_LIST_BYTES_PER_S: u64 = 3_000;
const BYTES_PER_HOST_ENTRY: u64 = 54;

/// Pause between two reads of a host list with this many entries.
pub fn host_list_pause(interval: Duration, entries: usize) -> Duration {
    let bytes = entries as u64 * BYTES_PER_HOST_ENTRY;
    interval.max(Duration::from_millis(bytes * 1000 / HOST_LIST_BYTES_PER_S))
}

/// Pause between two parts of a checkpoint, which spreads them over half of the checkpoint interval.
pub fn checkpoint_pause(interval: Duration, parts: usize) -> Duration {
    interval / 2 / u32::try_from(parts.max(1)).unwrap_or(u32::MAX)
}

/// Classes of control traffic that are counted separately.
#[derives(key)]
pub enum TrafficClass {
    /// Reading the log or a relay.
    Follow,
    /// Serving records to followers.
    Serve,
    /// Heartbeats and handshakes on connections.
    Link,
}

impl TrafficClass {
    /// The value of the metric tag `duty`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Follow => "follow",
            Self::Serve => "serve",
            Self::Link => "link",
        }
    }
}

/// Control traffic of one class since startup.
#[derives(key)]
#[derive(Default)]
pub struct TrafficUsage {
    /// Messages sent and received.
    pub messages: u64,
    /// Bytes sent and received.
    pub bytes: u64,
    /// Number of delayed or rejected reads.
    pub limited: u64,
}

/// Control traffic since startup, by class.
#[derives(key)]
#[derive(Default)]
pub struct UsageTotals {
    /// Usage of [`TrafficClass::Follow`].
    pub follow: TrafficUsage,
    /// Usage of [`TrafficClass::Serve`].
    pub serve: TrafficUsage,
    /// Usage of [`TrafficClass::Link`].
    pub link: TrafficUsage,
}

/// A token bucket that may go into debt, as the size of a response is only known afterwards.
#[derive(Debug)]
struct TokenBucket {
    rate: Rate,
    bytes: f64,
    messages: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: Rate, now: Instant) -> Self {
        let burst = BURST_SECONDS as f64;
        Self {
            rate,
            bytes: rate.bytes_per_s as f64 * burst,
            messages: rate.messages_per_s as f64 * burst,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let (bytes, messages) = (self.rate.bytes_per_s as f64, self.rate.messages_per_s as f64);
        let burst = BURST_SECONDS as f64;
        self.bytes = (self.bytes + bytes * elapsed).min(bytes * burst);
        self.messages = (self.messages + messages * elapsed).min(messages * burst);
    }

    fn spend(&mut self, bytes: u64) {
        self.bytes -= bytes as f64;
        self.messages -= 1.0;
    }

    fn time_until_available(&self) -> Duration {
        let bytes = -self.bytes / self.rate.bytes_per_s as f64;
        let messages = (1.0 - self.messages) / self.rate.messages_per_s as f64;
        Duration::from_secs_f64(bytes.max(messages).max(0.0))
    }
}

#[derive(Debug)]
struct BudgetState {
    process: TokenBucket,
    serve: TokenBucket,
    totals: UsageTotals,
    reported: UsageTotals,
}

/// The traffic budget of one process, shared by its threads.
#[derive(Debug)]
pub struct Budget {
    clock: DebugClock,
    inner: Mutex<BudgetState>,
}

impl BudgetState {
    fn spend(&mut self, class: TrafficClass, bytes: u64) {
        self.process.spend(bytes);
        if class == TrafficClass::Serve {
            self.serve.spend(bytes);
        }
        let spent = self.totals.usage_mut(class);
        spent.messages += 1;
        spent.bytes += bytes;
    }
}

struct DebugClock(SharedClock);

impl std::fmt::Debug for DebugClock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DebugClock")
    }
}

impl Budget {
    /// A budget with full buckets.
    pub fn new(clock: SharedClock) -> Self {
        let now = clock.now();
        let (process, serve) =
            (TokenBucket::new(PROCESS_RATE, now), TokenBucket::new(SERVE_RATE, now));
        let inner = Mutex::new(BudgetState {
            process,
            serve,
            totals: UsageTotals::default(),
            reported: UsageTotals::default(),
        });
        Self { clock: DebugClock(clock), inner }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        let mut inner = self.inner.lock().expect("no holder of this lock panics");
        let now = self.clock.0.now();
        inner.process.refill(now);
        inner.serve.refill(now);
        inner
    }

    /// Charges one message that was sent or received.
    pub fn spend(&self, class: TrafficClass, bytes: u64) {
        self.lock().spend(class, bytes);
    }

    /// Delay of the next read, at most [`MAX_READ_DELAY`]; zero while budget is left.
    pub fn read_delay(&self) -> Duration {
        let mut inner = self.lock();
        let delay = inner.process.time_until_available().min(MAX_READ_DELAY);
        if !delay.is_zero() {
            inner.totals.follow.limited += 1;
        }
        delay
    }

    /// Charges further bytes of a message that is already counted.
    pub fn add_bytes(&self, class: TrafficClass, bytes: u64) {
        let mut inner = self.lock();
        inner.process.bytes -= bytes as f64;
        if class == TrafficClass::Serve {
            inner.serve.bytes -= bytes as f64;
        }
        inner.totals.usage_mut(class).bytes += bytes;
    }

    /// Admits one read of a follower and charges `bytes` for it.
    ///
    /// # Errors
    ///
    /// The delay before a retry, if the budget is spent.
    pub fn admit_follower(&self, bytes: u64) -> Result<(), Duration> {
        let mut inner = self.lock();
        let retry_after =
            inner.serve.time_until_available().max(inner.process.time_until_available());
        if retry_after.is_zero() {
            inner.spend(TrafficClass::Serve, bytes);
            return Ok(());
        }
        inner.totals.serve.limited += 1;
        Err(retry_after)
    }

    /// Traffic since startup.
    pub fn totals(&self) -> UsageTotals {
        self.lock().totals
    }

    /// Sends the traffic since the last report as metrics.
    pub fn report(&self, metrics: &Metrics) {
        let (mut current, mut previous) = {
            let mut inner = self.lock();
            let current = inner.totals;
            (current, std::mem::replace(&mut inner.reported, current))
        };
        for class in [TrafficClass::Follow, TrafficClass::Serve, TrafficClass::Link] {
            let (current, previous) = (*current.usage_mut(class), *previous.usage_mut(class));
            let count = |metric, count| metrics.count_tagged(metric, count, "duty", class.name());
            count(Metric::ControlTrafficBytes, current.bytes - previous.bytes);
            count(Metric::ControlTrafficMessages, current.messages - previous.messages);
            count(Metric::ControlTrafficLimited, current.limited - previous.limited);
        }
    }
}

impl UsageTotals {
    const fn usage_mut(&mut self, class: TrafficClass) -> &mut TrafficUsage {
        match class {
            TrafficClass::Follow => &mut self.follow,
            TrafficClass::Serve => &mut self.serve,
            TrafficClass::Link => &mut self.link,
        }
    }
}
