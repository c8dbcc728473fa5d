//! What control traffic may cost one process: a limit in bytes and messages a second.
//!
//! Made for two loads. A burst of appends would wake every follower for each record: beyond the
//! limit a follower waits a little before it reads again, and the records gather in one page.
//! A failed relay sends its followers to the next one, which would spend its host's network and
//! processor on them: beyond the limit it refuses, and they read elsewhere. Requests of callers
//! are never counted here, and what is in the log is never dropped.

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
    /// Bytes a second, both ways.
    pub bytes: u64,
    /// Messages a second.
    pub messages: u64,
}

/// What one process may spend on control: 16 KB a second, as its users ask.
pub const PROCESS_RATE: Rate = Rate { bytes: 16_000, messages: 128 };
/// The part of it that serving followers may take; the rest is for this process's own reading,
/// its appends and its heartbeats.
pub const SERVE_RATE: Rate = Rate { bytes: 11_000, messages: 64 };
/// How many seconds' worth may be spent at once. A burst of settings or the followers of a
/// relay that died fit; more would be felt by callers on the same host.
pub const BURST_SECONDS: u64 = 4;
/// Longest time that a read is put off. A change of settings must be in force within seconds
/// on every process, over at most three reads one after another.
pub const MAX_READ_DELAY: Duration = Duration::from_millis(500);

/// Bytes a second that reading the host list may take on one process.
pub const HOST_LIST_BYTES_PER_S: u64 = 3_000;
/// Bytes of one entry of the host list, as measured by `tools/capacity`.
const HOST_ENTRY_BYTES: u64 = 54;

/// Pause between two readings of the host list of so many entries.
///
/// The list comes whole each time. At a thousand hosts it has 57 KB: read each second, it alone
/// would take three times what a process may spend on control.
pub fn host_list_pause(interval: Duration, entries: usize) -> Duration {
    let bytes = entries as u64 * HOST_ENTRY_BYTES;
    interval.max(Duration::from_millis(bytes * 1000 / HOST_LIST_BYTES_PER_S))
}

/// Pause between two parts of a checkpoint that is written at each `interval`.
///
/// Every process reads the parts as they come. A large state written at one go takes many times
/// what a process may spend; spread over half the interval it takes twice the average, and the
/// checkpoint is still whole long before the next one is due.
pub fn checkpoint_pause(interval: Duration, parts: usize) -> Duration {
    interval / 2 / u32::try_from(parts.max(1)).unwrap_or(u32::MAX)
}

/// What traffic is for.
#[derives(key)]
pub enum TrafficClass {
    /// Reading the log or a relay.
    Follow,
    /// Giving records to followers.
    Serve,
    /// Heartbeats and greetings on connections.
    Link,
}

impl TrafficClass {
    /// Its name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Follow => "follow",
            Self::Serve => "serve",
            Self::Link => "link",
        }
    }
}

/// What has been spent since the start, for metrics.
#[derives(key)]
#[derive(Default)]
pub struct TrafficUsage {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
    /// Times that something was put off or refused.
    pub limited: u64,
}

/// All that has been spent, by class.
#[derives(key)]
#[derive(Default)]
pub struct UsageTotals {
    /// Reading.
    pub follow: TrafficUsage,
    /// Giving to followers.
    pub serve: TrafficUsage,
    /// Heartbeats.
    pub link: TrafficUsage,
}

/// A token bucket that may go into debt, as the size of an answer is known only afterwards.
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
            bytes: rate.bytes as f64 * burst,
            messages: rate.messages as f64 * burst,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let (bytes, messages) = (self.rate.bytes as f64, self.rate.messages as f64);
        let burst = BURST_SECONDS as f64;
        self.bytes = (self.bytes + bytes * passed).min(bytes * burst);
        self.messages = (self.messages + messages * passed).min(messages * burst);
    }

    fn spend(&mut self, bytes: u64) {
        self.bytes -= bytes as f64;
        self.messages -= 1.0;
    }

    /// Time until nothing is owed.
    fn time_until_available(&self) -> Duration {
        let bytes = -self.bytes / self.rate.bytes as f64;
        let messages = (1.0 - self.messages) / self.rate.messages as f64;
        Duration::from_secs_f64(bytes.max(messages).max(0.0))
    }
}

#[derive(Debug)]
struct Inner {
    process: TokenBucket,
    serve: TokenBucket,
    totals: UsageTotals,
    reported: UsageTotals,
}

/// The budget of one process, shared by its threads.
#[derive(Debug)]
pub struct Budget {
    clock: DebugClock,
    inner: Mutex<Inner>,
}

impl Inner {
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
    /// A full budget.
    pub fn new(clock: SharedClock) -> Self {
        let now = clock.now();
        let (process, serve) =
            (TokenBucket::new(PROCESS_RATE, now), TokenBucket::new(SERVE_RATE, now));
        let inner = Mutex::new(Inner {
            process,
            serve,
            totals: UsageTotals::default(),
            reported: UsageTotals::default(),
        });
        Self { clock: DebugClock(clock), inner }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        let mut inner = self.inner.lock().expect("no holder of this lock panics");
        let now = self.clock.0.now();
        inner.process.refill(now);
        inner.serve.refill(now);
        inner
    }

    /// Counts one message that has been sent or received.
    pub fn spend(&self, class: TrafficClass, bytes: u64) {
        self.lock().spend(class, bytes);
    }

    /// How long to put off the next read; none while the budget lasts.
    ///
    /// A read is put off, never left out: what is in the log has to be folded everywhere.
    pub fn read_delay(&self) -> Duration {
        let mut inner = self.lock();
        let delay = inner.process.time_until_available().min(MAX_READ_DELAY);
        if !delay.is_zero() {
            inner.totals.follow.limited += 1;
        }
        delay
    }

    /// Counts further bytes of a message that was counted before.
    pub fn add_bytes(&self, class: TrafficClass, bytes: u64) {
        let mut inner = self.lock();
        inner.process.bytes -= bytes as f64;
        if class == TrafficClass::Serve {
            inner.serve.bytes -= bytes as f64;
        }
        inner.totals.usage_mut(class).bytes += bytes;
    }

    /// Admits one read of a follower and counts it with the `bytes` that it costs at the least.
    ///
    /// # Errors
    ///
    /// The time after which the follower may come back, if the budget is spent.
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

    /// What has been spent since the start.
    pub fn totals(&self) -> UsageTotals {
        self.lock().totals
    }

    /// Sends what has been spent since the last report.
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
