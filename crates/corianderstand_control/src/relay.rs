//! Relays the records that this process has read to its followers.
//!
//! Relays bound the number of readers of the log: a few routers of each availability zone read
//! it, the other routers read from those, and agents read from routers. [`crate::source`] is the
//! client side.

#[cfg(test)]
mod tests;

use crate::budget::{Budget, TrafficClass};
use corianderstand_edge::log::{Entry, Page};
use corianderstand_types::clock::SharedClock;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::{sync::watch, time};

/// Base path under which a router serves reads.
pub const RELAY_PATH: &str = "/internal";
/// Maximum size of a router's [`RecordTail`].
pub const MAX_TAIL_BYTES: usize = 4 * 1024 * 1024;
/// Time since the last response of the log after which an empty page is stale.
pub const MAX_PAGE_AGE: Duration = Duration::from_secs(4);
/// Maximum number of relays between the log and a process.
pub const MAX_HOPS: u8 = 2;
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Estimated size of the heads of an HTTP request and its response.
pub const HTTP_OVERHEAD_BYTES: u64 = 330;
/// Bytes that JSON adds to each record.
const ENTRY_OVERHEAD_BYTES: u64 = 48;

/// Why a relay returned no page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum RelayError {
    /// the log has not responded to this router recently: follow another one, or read the log
    Stale,
    /// the requested records are no longer kept here: read the log
    Gone,
    /// too many processes follow this router: retry after {0:?}, or follow another one
    Busy(Duration),
}

impl std::error::Error for RelayError {}

#[derive(Debug, Default)]
struct TailState {
    entries: VecDeque<Entry>,
    bytes: usize,
    next: u64,
    last_response: Option<LastResponse>,
}

#[derive(Clone, Copy, Debug)]
struct LastResponse {
    received_at: Instant,
    log_now_ms: u64,
    hops: u8,
}

/// The newest records of the log, served to followers.
#[derive(Clone)]
pub struct RecordTail {
    inner: Arc<Mutex<TailState>>,
    next_offset: watch::Sender<u64>,
    clock: SharedClock,
    budget: Arc<Budget>,
    max_bytes: usize,
}

impl std::fmt::Debug for RecordTail {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.inner.fmt(f)
    }
}

/// Bytes on the wire of a page and its request.
pub fn wire_bytes(page: &Page) -> u64 {
    let records =
        page.entries.iter().map(|entry| entry.data.len() as u64 * 4 / 3 + ENTRY_OVERHEAD_BYTES);
    HTTP_OVERHEAD_BYTES + records.sum::<u64>()
}

impl RecordTail {
    /// An empty tail that keeps at most `max_bytes` of records.
    pub fn new(clock: SharedClock, budget: Arc<Budget>, max_bytes: usize) -> Self {
        Self { inner: Arc::default(), next_offset: watch::Sender::new(0), clock, budget, max_bytes }
    }

    /// The clock of this process.
    pub const fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// The traffic budget of this process.
    pub const fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    fn lock(&self) -> MutexGuard<'_, TailState> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    fn next(&self) -> u64 {
        self.lock().next
    }

    /// Appends the records of a page; drops the earlier records if there is a gap.
    pub fn extend(&self, page: &Page) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let age = Duration::from_millis(page.age_ms);
        let received_at = now.checked_sub(age).unwrap_or(now);
        inner.last_response =
            Some(LastResponse { received_at, log_now_ms: page.now_ms, hops: page.hops });
        for entry in &page.entries {
            inner.push(entry, self.max_bytes);
        }
        if inner.entries.is_empty() {
            inner.next = inner.next.max(page.next);
        }
        let next = inner.next;
        drop(inner);
        self.next_offset.send_if_modified(|current| std::mem::replace(current, next) != next);
    }

    /// Returns records from an offset; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// See [`RelayError`].
    pub async fn read(
        &self,
        start_offset: u64,
        max: u32,
        wait: Duration,
    ) -> Result<Page, RelayError> {
        // Charged before the wait: one record wakes all waiting readers at the same time.
        self.budget.admit_follower(HTTP_OVERHEAD_BYTES).map_err(RelayError::Busy)?;
        let mut next_offset = self.next_offset.subscribe();
        let waited = time::timeout(wait.min(MAX_WAIT), async {
            while self.next() <= start_offset && next_offset.changed().await.is_ok() {}
        });
        let _in_time = waited.await;
        let page = self.page(start_offset, max)?;
        self.budget.add_bytes(TrafficClass::Serve, wire_bytes(&page) - HTTP_OVERHEAD_BYTES);
        Ok(page)
    }

    fn page(&self, start_offset: u64, max: u32) -> Result<Page, RelayError> {
        let now = self.clock.now();
        let inner = self.lock();
        let last_response = inner.last_response.ok_or(RelayError::Stale)?;
        let oldest = inner.entries.front().map_or(inner.next, |entry| entry.offset);
        if start_offset < oldest {
            return Err(RelayError::Gone);
        }
        let entries =
            inner.entries.iter().skip((start_offset - oldest) as usize).take(max as usize);
        let entries: Vec<Entry> = entries.cloned().collect();
        let age = now.saturating_duration_since(last_response.received_at);
        // Known records are served even if the log is down, so that they reach every process.
        if entries.is_empty() && age > MAX_PAGE_AGE {
            return Err(RelayError::Stale);
        }
        let (age_ms, hops) = (age.as_millis() as u64, last_response.hops + 1);
        let now_ms = last_response.log_now_ms + age_ms;
        Ok(Page { oldest, next: inner.next, now_ms, entries, age_ms, hops })
    }
}

impl TailState {
    fn push(&mut self, entry: &Entry, max_bytes: usize) {
        if !self.entries.is_empty() && entry.offset < self.next {
            return;
        }
        // After a gap, left by a restored checkpoint, the kept records are not contiguous.
        if entry.offset != self.next {
            self.entries.clear();
            self.bytes = 0;
        }
        self.next = entry.offset + 1;
        self.bytes += entry.data.len() + size_of::<Entry>();
        self.entries.push_back(entry.clone());
        while self.bytes > max_bytes {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.data.len() + size_of::<Entry>();
        }
    }
}
