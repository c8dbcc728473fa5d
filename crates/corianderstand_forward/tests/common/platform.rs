//! A platform with plain header names, backed by an in-memory store.

use super::{cut, link};
use bytes::Bytes;
use corianderstand_fleet::{choose, config, fingerprint, targets, workspaces};
use corianderstand_forward::dialect;
use corianderstand_types::position::{Era, Position};
use dialect::{Page, ReadOptions, Record, RecordError, RouterEntry, StoreError, Subject, Update};
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Contents and simulated faults of the store.
#[derive(Default)]
pub struct StoreState {
    entries: BTreeMap<u64, (Subject, Record)>,
    /// What values mean, also those that were lost; none if they can't be read.
    updates: HashMap<Bytes, Option<Update>>,
    next: u64,
    era: Era,
    down: bool,
    read_delay: Duration,
    /// Records of one response to a read; all if it is none.
    max_read_records: Option<usize>,
}

/// A moment of a store, to which it can go back.
#[derive(Clone, Copy, Debug)]
pub struct StoreCopy {
    next: u64,
}

/// An in-memory store that tests can write to and make unavailable.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    unavailable: Arc<AtomicBool>,
    read_count: Arc<AtomicUsize>,
    router_list_reads: Arc<AtomicUsize>,
    announcements: Arc<AtomicUsize>,
    newest_reads: Arc<AtomicUsize>,
    link: Option<link::Link>,
    /// Whether routers' announcements are kept.
    keeps_routers: Arc<AtomicBool>,
    forgets_withdrawals: Arc<AtomicBool>,
    /// Addresses of routers as one router sees them.
    seen_addresses: Arc<Mutex<cut::SeenAddresses>>,
}

impl MemoryStore {
    /// A copy of the present contents.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { next: self.state.lock().unwrap().next }
    }

    /// Goes back to a copy: what was written since is lost, and its offsets are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.entries.split_off(&copy.next);
        state.next = copy.next;
        state.era = Era(state.era.0 + 1);
    }

    /// Number of reads of the newest record of each key.
    pub fn newest_reads(&self) -> usize {
        self.newest_reads.load(Ordering::Relaxed)
    }

    /// How often routers announced themselves.
    pub fn announcements(&self) -> usize {
        self.announcements.load(Ordering::Relaxed)
    }

    /// The same store, unavailable to one process.
    #[must_use]
    pub fn unavailable(&self) -> Self {
        let isolated = self.isolated();
        isolated.set_unavailable(true);
        isolated
    }

    /// The same store with a read count and availability of its own.
    #[must_use]
    pub fn isolated(&self) -> Self {
        Self {
            unavailable: Arc::default(),
            read_count: Arc::default(),
            router_list_reads: Arc::default(),
            seen_addresses: Arc::default(),
            ..self.clone()
        }
    }

    /// Keeps what routers announce.
    pub fn keep_routers(&self) {
        self.keeps_routers.store(true, Ordering::Relaxed);
    }

    /// Ignores that routers withdraw, as if they were killed.
    pub fn forget_withdrawals(&self) {
        self.forgets_withdrawals.store(true, Ordering::Relaxed);
    }

    /// Whether a router's entry states a software version of a service.
    pub fn states_version(&self, service: &str, version: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.entries.values().any(|(_, record)| {
            let update = record.value.as_ref().and_then(|value| state.updates.get(value));
            matches!(update, Some(Some(Update::Router(entry))) if entry
                .versions
                .get(&service.into())
                .is_some_and(|all| all.iter().any(|known| known.0 == version)))
        })
    }

    /// Has one router see another at an address.
    pub fn see_router_at(&self, router: &str, addr: std::net::SocketAddr) {
        self.seen_addresses.lock().unwrap().insert(router.into(), addr);
    }

    /// Lists a router, or takes it off the list.
    pub fn list_router(&self, name: &str, entry: Option<RouterEntry>) {
        match entry {
            Some(entry) => self.put_router(entry),
            None => self.put_record(Subject::Routers, name, None),
        }
    }

    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.store(unavailable, Ordering::Relaxed);
    }

    pub fn read_count(&self) -> usize {
        self.read_count.load(Ordering::Relaxed)
    }

    /// Number of reads of the list of routers.
    pub fn router_list_reads(&self) -> usize {
        self.router_list_reads.load(Ordering::Relaxed)
    }

    /// The same store, reached over a simulated link.
    #[must_use]
    pub fn over_link(&self, link: &link::Link) -> Self {
        Self { link: Some(link.clone()), ..self.clone() }
    }

    fn put(&self, subject: Subject, key: &str, update: Option<Update>) {
        let value = format!("value {}", self.state.lock().unwrap().updates.len());
        self.put_value(subject, key, update, value.into());
    }

    fn put_value(&self, subject: Subject, key: &str, update: Option<Update>, value: Bytes) {
        self.state.lock().unwrap().updates.insert(value.clone(), update);
        self.put_record(subject, key, Some(value));
    }

    fn put_record(&self, subject: Subject, key: &str, value: Option<Bytes>) {
        let mut state = self.state.lock().unwrap();
        let offset = state.next;
        let position = Position::new(state.era, offset);
        let record = Record { key: key.into(), value, position };
        state.entries.insert(offset, (subject, record));
        state.next += 1;
    }

    pub fn put_config(&self, config: config::Config) {
        self.put(Subject::Config, "config", Some(Update::Config(Arc::new(config))));
    }

    /// Writes a configuration with a document of `len` bytes, which can't be compressed.
    pub fn put_large_config(&self, config: config::Config, len: usize) {
        let update = Update::Config(Arc::new(config));
        let mut document = vec![0; len];
        ChaCha8Rng::seed_from_u64(1).fill(&mut document[..]);
        self.put_value(Subject::Config, "config", Some(update), document.into());
    }

    /// Writes a target's entry with its stored form.
    pub fn put_target_as(&self, entry: targets::Entry, value: String) {
        let key = entry.id.to_string();
        self.put_value(Subject::Targets, &key, Some(Update::Target(entry)), value.into());
    }

    pub fn put_target(&self, entry: targets::Entry) {
        let key = entry.id.to_string();
        self.put(Subject::Targets, &key, Some(Update::Target(entry)));
    }

    pub fn put_router(&self, entry: RouterEntry) {
        let key = entry.router.to_string();
        self.put(Subject::Routers, &key, Some(Update::Router(entry)));
    }

    pub fn remove_target(&self, id: &str) {
        self.put_record(Subject::Targets, id, None);
    }

    pub fn put_unreadable_record(&self, subject: Subject, key: &str) {
        self.put(subject, key, None);
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    pub fn set_read_delay(&self, read_delay: Duration) {
        self.state.lock().unwrap().read_delay = read_delay;
    }

    /// Limits the records of one response to a read.
    pub fn set_max_read_records(&self, count: usize) {
        self.state.lock().unwrap().max_read_records = Some(count);
    }

    /// The first records of a page that one response may have.
    fn limited(&self, mut page: Page) -> Page {
        let count = self.state.lock().unwrap().max_read_records.unwrap_or(usize::MAX);
        if page.records.len() > count {
            page.records.truncate(count);
            page.next = page.records.last().map_or(page.next, |record| record.position.next());
            page.reaches_end = false;
        }
        page
    }

    fn page(&self, subject: Subject, from: u64) -> Result<Page, StoreError> {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        if subject == Subject::Routers {
            self.router_list_reads.fetch_add(1, Ordering::Relaxed);
        }
        let state = self.state.lock().unwrap();
        if state.down || self.unavailable.load(Ordering::Relaxed) {
            return Err(StoreError::Refused(503));
        }
        if from > state.next {
            return Err(StoreError::Compacted(0));
        }
        let records =
            state.entries.range(from..).filter(|(_, (entry_subject, _))| *entry_subject == subject);
        let records = records.map(|(offset, (_, record))| {
            let position = Position::new(state.era, *offset);
            Record { position, ..record.clone() }
        });
        // Records of other subjects do not advance this one.
        let mut entries = state.entries.iter().rev();
        let last = entries.find(|(_, (entry_subject, _))| *entry_subject == subject);
        let next = last.map_or(0, |(offset, _)| offset + 1).max(from);
        let next = Position::new(state.era, next);
        Ok(Page { records: records.collect(), next, whole: false, reaches_end: true })
    }
}

/// The newest record of each key that was not removed.
fn newest_of_each(page: Page) -> Page {
    let newest: BTreeMap<_, _> =
        page.records.into_iter().map(|record| (record.key.clone(), record)).collect();
    let mut records: Vec<Record> =
        newest.into_values().filter(|record| record.value.is_some()).collect();
    records.sort_by_key(|record| record.position);
    Page { records, whole: true, ..page }
}

/// Header with the processor time that a router takes to read the request.
pub const SPIN_HEADER: &str = "x-spin-ms";

fn spin(time: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < time {
        std::hint::spin_loop();
    }
}

/// Parses a list of ids of parts, separated by commas.
fn parse_parts(text: &str) -> Vec<dialect::PromptPart> {
    let id = |part: &str| fingerprint::PartId(xxh3::xxh3_64(part.as_bytes()));
    text.split(',').map(|part| dialect::PromptPart { id: id(part), tokens: 1 }).collect()
}

/// A platform with plain header names, backed by the in-memory store.
pub struct PlainPlatform(pub MemoryStore);

impl dialect::Dialect for PlainPlatform {
    fn parse_request(&self, headers: &HeaderMap) -> dialect::RequestHead {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let millis = |name: &str| text(name)?.parse().ok().map(Duration::from_millis);
        if let Some(time) = millis(SPIN_HEADER) {
            spin(time);
        }
        let requested_model = text("x-model").map(|model| choose::RequestedModel {
            model: model.into(),
            adapter: text("x-adapter").map(Into::into),
        });
        dialect::RequestHead {
            id: text("x-id").unwrap_or_default().into(),
            caller_timeout: millis("x-deadline-ms"),
            requested_model,
            prompt_tokens: text("x-prompt").and_then(|text| text.parse().ok()).unwrap_or(0),
            last_event_id: text("x-last-event").and_then(|text| text.parse().ok()),
            resumes: text("x-resumes").map(Into::into),
            prompt_parts: text("x-parts").map(parse_parts).unwrap_or_default(),
            has_token_counts: headers.contains_key("x-prompt"),
            credential: text("x-key").map_or(dialect::RequestCredential::Absent, |key| {
                dialect::RequestCredential::Present(workspaces::Credential::new(key.as_bytes()))
            }),
            ..Default::default()
        }
    }

    fn rewrite_request(&self, headers: &mut HeaderMap, forwarded: &dialect::ForwardedRequest) {
        headers.remove(http::header::CONNECTION);
        headers.remove(http::header::CONTENT_LENGTH);
        headers.insert("x-target", HeaderValue::from_str(forwarded.target.as_str()).unwrap());
        headers.insert("x-left-ms", HeaderValue::from(forwarded.time_left.as_millis() as u64));
        headers.remove("x-workspace");
        if let Some(workspace) = forwarded.workspace {
            headers.insert("x-workspace", HeaderValue::from_str(workspace.as_str()).unwrap());
        }
        for name in ["x-copy-to", "x-copy-from"] {
            headers.remove(name);
        }
        if let Some(addr) = forwarded.copy_to {
            headers.insert("x-copy-to", HeaderValue::from_str(&addr.to_string()).unwrap());
        }
        if let Some(source) = forwarded.copy_from {
            let text = format!("{}/{}", source.addr, source.run);
            headers.insert("x-copy-from", HeaderValue::from_str(&text).unwrap());
        }
        if let Some(progress) = forwarded.progress {
            headers.remove("x-last-event");
            if let Some(continuation) = progress.continuation() {
                headers.insert("x-last-event", HeaderValue::from(continuation.last_event()));
            }
        }
    }

    fn remove_credential(&self, headers: &mut HeaderMap) {
        headers.remove("x-key");
    }

    fn parse_response(&self, _: StatusCode, headers: &HeaderMap) -> dialect::ResponseHead {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        dialect::ResponseHead {
            not_run: headers.contains_key("x-not-run"),
            is_signed: headers.contains_key("x-signed"),
            request_id: text("x-id").map(Into::into),
            target: text("x-target").map(Into::into),
            rest: text("x-rest-ms").and_then(|text| text.parse().ok()).map(Duration::from_millis),
            is_leaving: headers.contains_key("x-leaving"),
            request_limit: text("x-limit").and_then(|text| text.parse().ok()),
            load: text("x-pace").map(|percent| targets::Load {
                slowdown_percent: percent.parse().ok(),
                ..Default::default()
            }),
            ..Default::default()
        }
    }

    fn rewrite_response(&self, headers: &mut HeaderMap) {
        headers.remove(http::header::CONNECTION);
        headers.remove(http::header::TRANSFER_ENCODING);
    }
}

impl dialect::Store for PlainPlatform {
    async fn newest(&self, subject: Subject, _: &ReadOptions) -> Result<Page, StoreError> {
        self.0.newest_reads.fetch_add(1, Ordering::Relaxed);
        let read_delay = self.0.state.lock().unwrap().read_delay;
        tokio::time::sleep(read_delay).await;
        self.0.page(subject, 0).map(newest_of_each)
    }

    async fn read(
        &self,
        subject: Subject,
        from: u64,
        options: &ReadOptions,
    ) -> Result<Page, StoreError> {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let page = self.0.page(subject, from).map(|page| self.0.limited(page))?;
        if let Some(link) = &self.0.link {
            let values = page.records.iter().filter_map(|record| record.value.as_ref());
            let len = values.map(Bytes::len).sum();
            link.transfer(len, || options.last_received.record(Instant::now())).await;
        }
        Ok(page)
    }

    fn era(&self) -> Era {
        self.0.state.lock().unwrap().era
    }

    async fn announce(&self, entry: &RouterEntry) -> Result<(), StoreError> {
        if self.0.unavailable.load(Ordering::Relaxed) {
            return Err(StoreError::Refused(503));
        }
        self.0.announcements.fetch_add(1, Ordering::Relaxed);
        if self.0.keeps_routers.load(Ordering::Relaxed) {
            self.0.put_router(entry.clone());
        }
        Ok(())
    }

    async fn withdraw(&self, router: &str) -> Result<(), StoreError> {
        let forgets = self.0.forgets_withdrawals.load(Ordering::Relaxed);
        if self.0.keeps_routers.load(Ordering::Relaxed) && !forgets {
            self.0.list_router(router, None);
        }
        Ok(())
    }

    fn decode(&self, subject: Subject, record: &Record) -> Result<Option<Update>, RecordError> {
        let Some(value) = &record.value else {
            return Ok(Some(match subject {
                Subject::Routers => Update::RouterRemoved(record.key.clone()),
                _ => Update::TargetRemoved(record.key.as_str().into()),
            }));
        };
        let mut update = self.0.state.lock().unwrap().updates.get(value).cloned().flatten();
        if let Some(Update::Router(entry)) = &mut update {
            let seen = self.0.seen_addresses.lock().unwrap();
            entry.addr = seen.get(&entry.router).copied().unwrap_or(entry.addr);
        }
        let unreadable =
            || RecordError::Unreadable { key: record.key.clone(), reason: "garbage".into() };
        update.map(Some).ok_or_else(unreadable)
    }
}
