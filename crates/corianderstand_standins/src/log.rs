//! A simulated log service with limited retention and outages.

use crate::serve::{self, ApiRequest, Endpoint, Reply};
use corianderstand_edge::log::{AppendRequest, AppendResponse, Entry, Page};
use futures::FutureExt;
use getopts::Matches;
use salvo::Router;
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime},
};
use tokio::{sync::watch, time};

/// Injected faults.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Requests fail with status 503.
    down: bool,
    /// Delay of each operation.
    slow_ms: u64,
    /// Number of appends that take effect, but return status 504.
    lose_answers: u32,
}

#[derive(Clone, Copy, Default, Serialize)]
struct Counters {
    appends: u64,
    records: u64,
    reads: u64,
    bytes_in: u64,
    bytes_out: u64,
}

struct Log {
    retention: Duration,
    inner: Mutex<LogState>,
    last_appended: watch::Sender<u64>,
}

#[derive(Default)]
struct LogState {
    entries: VecDeque<Entry>,
    next_offset: u64,
    fault: Fault,
    counters: Counters,
}

fn now_ms() -> u64 {
    corianderstand_types::clock::unix_ms(SystemTime::now())
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    async fn apply_fault(&self) -> Option<Reply> {
        let fault = self.lock().fault;
        time::sleep(Duration::from_millis(fault.slow_ms)).await;
        self.lock().fault.down.then(|| Reply::text(503, "the log is down"))
    }

    fn page(&self, start_offset: u64, max_entries: usize) -> Page {
        let mut inner = self.lock();
        let oldest_kept_ms = now_ms().saturating_sub(self.retention.as_millis() as u64);
        while inner.entries.front().is_some_and(|entry| entry.at_ms < oldest_kept_ms) {
            inner.entries.pop_front();
        }
        let oldest = inner.entries.front().map_or(inner.next_offset, |entry| entry.offset);
        let entries = inner.entries.iter().filter(|entry| entry.offset >= start_offset);
        let entries: Vec<Entry> = entries.take(max_entries).cloned().collect();
        inner.counters.bytes_out += entries.iter().map(|e| e.data.len() as u64).sum::<u64>();
        Page { oldest, next: inner.next_offset, now_ms: now_ms(), entries, ..Page::default() }
    }
}

async fn append(log: Arc<Log>, req: ApiRequest) -> Reply {
    if let Some(reply) = log.apply_fault().await {
        return reply;
    }
    let request: AppendRequest = match req.json() {
        Ok(request) => request,
        Err(reply) => return reply,
    };
    let (first_offset, response_is_lost) = {
        let mut inner = log.lock();
        let first_offset = inner.next_offset;
        inner.counters.appends += 1;
        let last_entry_ms = inner.entries.back().map_or(0, |entry| entry.at_ms);
        let at_ms = now_ms().max(last_entry_ms);
        for data in request.records {
            inner.counters.records += 1;
            inner.counters.bytes_in += data.len() as u64;
            let offset = inner.next_offset;
            inner.entries.push_back(Entry { offset, at_ms, data });
            inner.next_offset += 1;
        }
        let response_is_lost = inner.fault.lose_answers > 0;
        inner.fault.lose_answers = inner.fault.lose_answers.saturating_sub(1);
        (first_offset, response_is_lost)
    };
    log.last_appended.send_replace(first_offset);
    if response_is_lost {
        Reply::text(504, "response lost")
    } else {
        Reply::json(&AppendResponse { first: first_offset })
    }
}

async fn read(log: Arc<Log>, req: ApiRequest) -> Reply {
    if let Some(reply) = log.apply_fault().await {
        return reply;
    }
    log.lock().counters.reads += 1;
    let (start_offset, max_entries): (u64, usize) = (req.param("from"), req.param("max"));
    let wait_limit = Duration::from_millis(req.param("wait_ms"));
    let mut appended = log.last_appended.subscribe();
    let deadline = time::Instant::now() + wait_limit;
    loop {
        let page = log.page(start_offset, max_entries);
        let appended_before_deadline = time::timeout_at(deadline, appended.changed());
        if !page.entries.is_empty() || appended_before_deadline.await.is_err() {
            return Reply::json(&page);
        }
    }
}

async fn counters(log: Arc<Log>, _req: ApiRequest) -> Reply {
    Reply::json(&log.lock().counters)
}

async fn set_fault(log: Arc<Log>, req: ApiRequest) -> Reply {
    match req.json() {
        Ok(fault) => {
            log.lock().fault = fault;
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

pub async fn run(matches: &Matches) -> Result<(), String> {
    let retention =
        Duration::from_millis(serve::parse_option(matches, "retention-ms", 86_400_000)?);
    let inner = Mutex::new(LogState { next_offset: 1, ..LogState::default() });
    let log = Arc::new(Log { retention, inner, last_appended: watch::Sender::new(0) });
    let routes = Router::new()
        .push(Router::with_path("append").post(Endpoint(log.clone(), |s, r| append(s, r).boxed())))
        .push(Router::with_path("read").get(Endpoint(log.clone(), |s, r| read(s, r).boxed())))
        .push(
            Router::with_path("counters").get(Endpoint(log.clone(), |s, r| counters(s, r).boxed())),
        )
        .push(Router::with_path("fault").post(Endpoint(log, |s, r| set_fault(s, r).boxed())));
    serve::serve(&serve::listen_address(matches)?, routes).await
}
