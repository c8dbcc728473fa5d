//! Client for the platform's append-only log.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use corianderstand_derives::derives;
use serde_with::{base64::Base64, serde_as};
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

/// One record in the log.
#[serde_as]
#[derives(wire)]
#[derive(Eq)]
pub struct Entry {
    /// Offset in the log, from 1.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch; never decreases.
    pub at_ms: u64,
    /// The record's bytes.
    #[serde_as(as = "Base64")]
    pub data: Vec<u8>,
}

/// Result of one read.
#[derives(wire)]
#[derive(Eq, Default)]
pub struct Page {
    /// Oldest retained offset.
    pub oldest: u64,
    /// Offset of the next append.
    pub next: u64,
    /// The log service's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Records in order, from the requested offset or `oldest`, whichever is later.
    pub entries: Vec<Entry>,
    /// Time since the log service itself responded, in milliseconds; 0 if read directly.
    #[serde(default)]
    pub age_ms: u64,
    /// Number of routers that relayed this page; 0 if read directly.
    #[serde(default)]
    pub hops: u8,
}

/// The append-only log.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends records and returns the first one's offset; an error leaves the outcome unknown.
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError>;

    /// Reads up to `max` records from an offset, waiting up to `wait` for the first.
    async fn read(&self, from: u64, max: u32, wait: Duration) -> Result<Page, EdgeError>;
}

/// Body of an append request.
#[serde_as]
#[derives(wire)]
pub struct AppendRequest {
    /// Records in order.
    #[serde_as(as = "Vec<Base64>")]
    pub records: Vec<Vec<u8>>,
}

/// Body of an append response.
#[derives(wire)]
pub struct AppendResponse {
    /// Offset of the first record.
    pub first: u64,
}

/// [`LogService`] client over HTTP: `POST /append`, `GET /read`.
#[derive(Clone, Debug)]
pub struct HttpLog {
    http: HttpSystem,
    bearer: Option<String>,
}

/// Response timeout of the log, on top of the requested wait.
pub const LOG_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

impl HttpLog {
    /// Creates a client for the log at `base`; `max_wait` bounds the wait of any read.
    pub fn new(base: &str, max_wait: Duration) -> Self {
        let http = HttpSystem::new("the log service", base, max_wait + LOG_RESPONSE_TIMEOUT);
        Self { http, bearer: None }
    }

    /// Sends a bearer token with each read, as required by a router that relays the log.
    #[must_use]
    pub fn with_bearer(self, token: &str) -> Self {
        Self { bearer: Some(token.to_owned()), ..self }
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        let req = self.http.request(reqwest::Method::POST, "/append");
        let response: AppendResponse = self.http.json(req.json(&AppendRequest { records })).await?;
        Ok(response.first)
    }

    async fn read(&self, from: u64, max: u32, wait: Duration) -> Result<Page, EdgeError> {
        let path = format!("/read?from={from}&max={max}&wait_ms={}", wait.as_millis());
        let req = self.http.request(reqwest::Method::GET, &path);
        let req = match &self.bearer {
            Some(token) => req.bearer_auth(token),
            None => req,
        };
        self.http.json(req).await
    }
}

/// In-memory [`LogService`] for tests, with a manual clock.
#[derive(Debug, Default)]
pub struct MemoryLog {
    inner: Mutex<MemoryInner>,
}

#[derive(Debug, Default)]
struct MemoryInner {
    entries: Vec<Entry>,
    dropped: u64,
    now_ms: u64,
    down: bool,
    responses_to_drop: u32,
}

impl MemoryLog {
    fn lock(&self) -> MutexGuard<'_, MemoryInner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Sets the log's clock.
    pub fn set_time_ms(&self, now_ms: u64) {
        self.lock().now_ms = now_ms;
    }

    /// Makes the log unavailable or available.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Makes the next `count` appends take effect but fail without a response.
    pub fn drop_responses(&self, count: u32) {
        self.lock().responses_to_drop = count;
    }

    /// Drops all records below an offset, as retention does.
    pub fn drop_below(&self, offset: u64) {
        let mut inner = self.lock();
        inner.entries.retain(|entry| entry.offset >= offset);
        inner.dropped = inner.dropped.max(offset.saturating_sub(1));
    }
}

impl MemoryInner {
    fn next(&self) -> u64 {
        self.entries.last().map_or(self.dropped, |entry| entry.offset) + 1
    }

    fn check_available(&self) -> Result<(), EdgeError> {
        if self.down { Err(no_response()) } else { Ok(()) }
    }
}

fn no_response() -> EdgeError {
    let (url, detail) = ("memory".into(), "no response".into());
    EdgeError::Unreachable { system: "the log service", url, detail }
}

#[async_trait]
impl LogService for MemoryLog {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        let mut inner = self.lock();
        inner.check_available()?;
        let first = inner.next();
        let at_ms = inner.now_ms;
        let entries = (first..).zip(records).map(|(offset, data)| Entry { offset, at_ms, data });
        let entries: Vec<Entry> = entries.collect();
        inner.entries.extend(entries);
        if inner.responses_to_drop > 0 {
            inner.responses_to_drop -= 1;
            return Err(no_response());
        }
        Ok(first)
    }

    async fn read(&self, from: u64, max: u32, _wait: Duration) -> Result<Page, EdgeError> {
        let inner = self.lock();
        inner.check_available()?;
        let entries = inner.entries.iter().filter(|entry| entry.offset >= from);
        Ok(Page {
            oldest: inner.dropped + 1,
            next: inner.next(),
            now_ms: inner.now_ms,
            entries: entries.take(max as usize).cloned().collect(),
            ..Page::default()
        })
    }
}
