//! The platform's append-only log.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use corianderstand_derives::derives;
use serde_with::{base64::Base64, serde_as};
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

/// One record as the log holds it.
#[serde_as]
#[derives(wire)]
#[derive(Eq)]
pub struct Entry {
    /// Place in the log, from 1.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch; never decreases.
    pub at_ms: u64,
    /// What was appended.
    #[serde_as(as = "Base64")]
    pub data: Vec<u8>,
}

/// What one read brings.
#[derives(wire)]
#[derive(Eq, Default)]
pub struct Page {
    /// Oldest offset still kept.
    pub oldest: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Time at the log service, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Records in order, from the offset asked for or from `oldest` if that is later.
    pub entries: Vec<Entry>,
    /// Time since the log itself answered, in milliseconds; 0 from the log.
    #[serde(default)]
    pub age_ms: u64,
    /// Routers that relayed this page; 0 from the log.
    #[serde(default)]
    pub hops: u8,
}

/// The append-only log.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends records in order and returns the offset of the first.
    ///
    /// An error leaves open whether they were appended.
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError>;

    /// Reads from an offset, waiting up to `wait` for the first record.
    async fn read(&self, from: u64, max: u32, wait: Duration) -> Result<Page, EdgeError>;
}

/// Body of an append.
#[serde_as]
#[derives(wire)]
pub struct AppendRequest {
    /// Records in order.
    #[serde_as(as = "Vec<Base64>")]
    pub records: Vec<Vec<u8>>,
}

/// Answer to an append.
#[derives(wire)]
pub struct AppendResponse {
    /// Offset of the first record.
    pub first: u64,
}

/// The log over HTTP: `POST /append`, `GET /read`.
#[derive(Clone, Debug)]
pub struct HttpLog {
    http: HttpSystem,
    bearer: Option<String>,
}

/// Time an answer of the log may take beyond the wait that was asked for.
pub const LOG_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

impl HttpLog {
    /// The log at `base`; `longest_wait` is the longest that reads will ask to wait.
    pub fn new(base: &str, longest_wait: Duration) -> Self {
        let http = HttpSystem::new("the log service", base, longest_wait + LOG_RESPONSE_TIMEOUT);
        Self { http, bearer: None }
    }

    /// Sends a bearer token with each read, as a router that relays the log wants it.
    #[must_use]
    pub fn with_bearer(self, token: &str) -> Self {
        Self { bearer: Some(token.to_owned()), ..self }
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        let req = self.http.request(reqwest::Method::POST, "/append");
        let answer: AppendResponse = self.http.json(req.json(&AppendRequest { records })).await?;
        Ok(answer.first)
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

/// A log in memory, for tests; its time is set by hand.
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
    lose_answers: u32,
}

impl MemoryLog {
    fn lock(&self) -> MutexGuard<'_, MemoryInner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Sets the log's time.
    pub fn set_time_ms(&self, now_ms: u64) {
        self.lock().now_ms = now_ms;
    }

    /// Takes the log down or up.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Makes the next appends take effect but lose their answers.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lose_answers = count;
    }

    /// Drops all records below an offset, as limited retention does.
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

    fn check_up(&self) -> Result<(), EdgeError> {
        if self.down { Err(lost_answer()) } else { Ok(()) }
    }
}

fn lost_answer() -> EdgeError {
    let (url, detail) = ("memory".into(), "no answer".into());
    EdgeError::Unreachable { system: "the log service", url, detail }
}

#[async_trait]
impl LogService for MemoryLog {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        let mut inner = self.lock();
        inner.check_up()?;
        let first = inner.next();
        let at_ms = inner.now_ms;
        let entries = (first..).zip(records).map(|(offset, data)| Entry { offset, at_ms, data });
        let entries: Vec<Entry> = entries.collect();
        inner.entries.extend(entries);
        if inner.lose_answers > 0 {
            inner.lose_answers -= 1;
            return Err(lost_answer());
        }
        Ok(first)
    }

    async fn read(&self, from: u64, max: u32, _wait: Duration) -> Result<Page, EdgeError> {
        let inner = self.lock();
        inner.check_up()?;
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
