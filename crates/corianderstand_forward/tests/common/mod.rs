//! Test harness: a router on its own thread, an in-memory store and scripted targets.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod link;

use bytes::Bytes;
use corianderstand_fleet::{budget, choose, config, quota, targets, workspaces};
use corianderstand_forward::{dialect, router};
use corianderstand_schema::peers::{RouterUpdate, StoreUse};
use corianderstand_types::clock::SystemClock;
use dialect::{Page, ReadOptions, Record, RecordError, RouterEntry, StoreError, Subject, Update};
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeMap,
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, oneshot},
};

pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Contents and simulated faults of the store.
#[derive(Default)]
pub struct StoreState {
    entries: BTreeMap<u64, (Subject, Record, Option<Update>)>,
    next: u64,
    down: bool,
    read_delay: Duration,
}

/// An in-memory store that tests can write to and make unavailable.
#[derive(Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    unavailable: Arc<AtomicBool>,
    read_count: Arc<AtomicUsize>,
    router_list_reads: Arc<AtomicUsize>,
    link: Option<link::Link>,
}

impl MemoryStore {
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
            ..self.clone()
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
        self.put_value(subject, key, update, Bytes::from_static(b"x"));
    }

    fn put_value(&self, subject: Subject, key: &str, update: Option<Update>, value: Bytes) {
        let mut state = self.state.lock().unwrap();
        let offset = state.next;
        let value = Some(value);
        let record = Record { key: key.into(), value, offset };
        state.entries.insert(offset, (subject, record, update));
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
        self.put(Subject::Targets, id, Some(Update::TargetRemoved(id.into())));
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

    fn page(&self, subject: Subject, from: u64) -> Result<Page, StoreError> {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        if subject == Subject::Routers {
            self.router_list_reads.fetch_add(1, Ordering::Relaxed);
        }
        let state = self.state.lock().unwrap();
        if state.down || self.unavailable.load(Ordering::Relaxed) {
            return Err(StoreError::Refused(503));
        }
        let records = state
            .entries
            .range(from..)
            .filter(|(_, (entry_subject, ..))| *entry_subject == subject);
        let records = records.map(|(_, (_, record, _))| record.clone()).collect();
        Ok(Page { records, next: state.next, whole: false, reaches_end: true })
    }
}

/// A platform with plain header names, backed by the in-memory store.
pub struct PlainPlatform(pub MemoryStore);

impl dialect::Dialect for PlainPlatform {
    fn parse_request(&self, headers: &HeaderMap) -> dialect::RequestHead {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let millis = |name: &str| text(name)?.parse().ok().map(Duration::from_millis);
        let requested_model = text("x-model").map(|model| choose::RequestedModel {
            model: model.into(),
            adapter: text("x-adapter").map(Into::into),
        });
        dialect::RequestHead {
            id: text("x-id").unwrap_or_default().into(),
            caller_timeout: millis("x-deadline-ms"),
            requested_model,
            prompt_tokens: text("x-prompt").and_then(|text| text.parse().ok()).unwrap_or(0),
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
        if let Some(last) = forwarded.last_event_id {
            headers.insert("x-last-event", HeaderValue::from(last));
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
            request_limit: text("x-limit").and_then(|text| text.parse().ok()),
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
        let read_delay = self.0.state.lock().unwrap().read_delay;
        tokio::time::sleep(read_delay).await;
        self.0.page(subject, 0)
    }

    async fn read(
        &self,
        subject: Subject,
        from: u64,
        options: &ReadOptions,
    ) -> Result<Page, StoreError> {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let page = self.0.page(subject, from)?;
        if let Some(link) = &self.0.link {
            let values = page.records.iter().filter_map(|record| record.value.as_ref());
            let len = values.map(Bytes::len).sum();
            link.transfer(len, || options.last_received.record(Instant::now())).await;
        }
        Ok(page)
    }

    async fn announce(&self, _: &RouterEntry) -> Result<(), StoreError> {
        Ok(())
    }

    async fn withdraw(&self, _: &str) -> Result<(), StoreError> {
        Ok(())
    }

    fn decode(&self, _: Subject, record: &Record) -> Result<Option<Update>, RecordError> {
        let state = self.0.state.lock().unwrap();
        let (_, _, update) = &state.entries[&record.offset];
        let unreadable =
            || RecordError::Unreadable { key: record.key.clone(), reason: "garbage".into() };
        update.clone().map(Some).ok_or_else(unreadable)
    }
}

/// The status of a router that knows no records and may not plan.
pub fn router_update(name: &str) -> RouterUpdate {
    RouterUpdate {
        router: name.into(),
        incarnation: 1,
        zone: "here".into(),
        store: StoreUse::Reads,
        strength: 1,
        fit: false,
        config_next: 0,
        targets_next: 0,
        routers_next: 0,
        planner: "".into(),
        expects_updates: true,
        models: Vec::new(),
        running: Vec::new(),
    }
}

/// Below the ephemeral range, so that the system assigns no port between the check and the bind.
const FIRST_PORT: u32 = 20_000;
const PORTS_PER_PROCESS: u32 = 12;
const PROCESS_SLOTS: u32 = 1_000;

/// Returns an address whose port is free for both TCP and UDP.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first_port = FIRST_PORT + std::process::id() % PROCESS_SLOTS * PORTS_PER_PROCESS;
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(next < PORTS_PER_PROCESS, "a test starts two routers and an agent at most");
        let addr = SocketAddr::from(([127, 0, 0, 1], (first_port + next) as u16));
        let is_free = std::net::TcpListener::bind(addr).is_ok();
        if is_free && std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

struct ReloadChannel(mpsc::UnboundedReceiver<router::Settings>);

impl router::Reload for ReloadChannel {
    async fn next(&mut self) -> router::Settings {
        match self.0.recv().await {
            Some(settings) => settings,
            None => std::future::pending().await,
        }
    }
}

pub struct RouterThread {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub settings: router::Settings,
    pub reload: mpsc::UnboundedSender<router::Settings>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl RouterThread {
    pub fn start(store: &MemoryStore) -> Self {
        Self::start_with(store, "router-a", Vec::new(), Duration::from_secs(8))
    }

    pub fn start_with(
        store: &MemoryStore,
        name: &str,
        seeds: Vec<SocketAddr>,
        stop_within: Duration,
    ) -> Self {
        Self::start_on(store, Self::settings(name, seeds, stop_within))
    }

    /// Settings of a router on free ports.
    pub fn settings(name: &str, seeds: Vec<SocketAddr>, stop_within: Duration) -> router::Settings {
        let peers = free_port();
        router::Settings {
            name: name.into(),
            zone: "here".into(),
            cpu_millicores: 1_000,
            caller_addr: free_port(),
            readiness_addr: free_port(),
            ready_path: "/ready".into(),
            metrics_addr: Some(free_port()),
            peer_addr: peers,
            agent_port: peers.port(),
            is_first_start: false,
            bounds: router::Bounds {
                seeds,
                allowance: budget::Allowance::default(),
                drain_within: Duration::from_millis(200),
                config_within: Duration::from_secs(2),
                revoke_within: None,
                quota_tolerance: quota::Tolerance::default(),
                stop_within,
            },
        }
    }

    pub fn start_on(store: &MemoryStore, settings: router::Settings) -> Self {
        let (front, ready) = (settings.caller_addr, settings.readiness_addr);
        let (peers, metrics) =
            (settings.peer_addr, settings.metrics_addr.unwrap_or(settings.readiness_addr));
        let store = store.clone();
        let (stop, stop_requested) = oneshot::channel::<()>();
        let (reload, reloaded) = mpsc::unbounded_channel();
        let initial_settings = settings.clone();
        let thread = std::thread::spawn(move || {
            let stopping = async move { drop(stop_requested.await) };
            let platform = |_| PlainPlatform(store);
            let clock = Arc::new(SystemClock);
            router::run(settings, clock, platform, stopping, ReloadChannel(reloaded)).unwrap();
        });
        let (stop, thread) = (Some(stop), Some(thread));
        Self { front, ready, peers, metrics, settings: initial_settings, reload, stop, thread }
    }

    pub async fn wait_ready(&self) {
        let poll = async {
            loop {
                if let Ok(answer) = get(self.ready, "/ready", &[]).await
                    && answer.starts_with("HTTP/1.1 200")
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, poll).await.expect("the router becomes ready");
    }

    pub fn stop(&mut self) {
        let stop = self.stop.take().expect("it was not stopped before");
        stop.send(()).expect("the router runs");
    }

    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(std::thread::JoinHandle::is_finished)
    }
}

pub async fn get(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> std::io::Result<String> {
    let mut stream = send(addr, "GET", path, headers, "").await?;
    read_all(&mut stream).await
}

/// Sends an HTTP/1.1 request and returns the connection to read the response from.
pub async fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<TcpStream> {
    send_from(Ipv4Addr::LOCALHOST, addr, method, path, headers, body).await
}

/// Like [`send`], from a loopback address.
pub async fn send_from(
    caller: Ipv4Addr,
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((caller, 0).into())?;
    let mut stream = socket.connect(addr).await?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str("Host: desk.example\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).await?;
    Ok(stream)
}

pub async fn read_all(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    tokio::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut bytes)).await??;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// A request received by a target, and its connection.
pub struct ReceivedRequest {
    pub head: String,
    pub stream: TcpStream,
}

impl ReceivedRequest {
    /// Sends raw bytes and closes the connection.
    pub async fn answer(mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
        self.stream.shutdown().await.unwrap();
    }

    /// Sends a complete signed response.
    pub async fn answer_whole(self, id: &str, body: &str) {
        let len = body.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: {id}\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}"
        );
        self.answer(&text).await;
    }

    /// Like [`Self::answer_whole`], but tolerates a connection that the router has closed.
    pub async fn answer_whole_unless_reset(self, id: &str, body: &str) {
        self.answer_with_head(id, "", body).await;
    }

    /// Like [`Self::answer_whole_unless_reset`], with further header lines.
    pub async fn answer_with_head(mut self, id: &str, head: &str, body: &str) {
        let len = body.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: {id}\r\n{head}Content-Length: {len}\r\nConnection: close\r\n\r\n{body}"
        );
        let sent = self.stream.write_all(text.as_bytes()).await;
        drop(sent.and(self.stream.shutdown().await));
    }

    /// Sends the head of a chunked response.
    pub async fn begin_stream(&mut self, id: &str) {
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    pub async fn send_chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.stream.write_all(chunk.as_bytes()).await.unwrap();
    }

    /// Sends the last chunk and closes the connection.
    pub async fn end(mut self) {
        self.stream.write_all(b"0\r\n\r\n").await.unwrap();
        self.stream.shutdown().await.unwrap();
    }

    /// Like [`Self::end`], but tolerates a connection that the router has reset.
    pub async fn end_unless_reset(mut self) {
        let end = async {
            self.stream.write_all(b"0\r\n\r\n").await?;
            self.stream.shutdown().await
        };
        let reset_kinds =
            [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe, ErrorKind::NotConnected];
        let end = end.await.map_err(|error| error.kind());
        assert!(end.is_ok() || end.is_err_and(|kind| reset_kinds.contains(&kind)), "{end:?}");
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// A target whose responses are scripted by a test.
pub struct Target {
    pub addr: SocketAddr,
    listener: TcpListener,
}

impl Target {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { addr: listener.local_addr().unwrap(), listener }
    }

    pub async fn next(&self) -> ReceivedRequest {
        let next = self.next_or_wait();
        tokio::time::timeout(WAIT_LIMIT, next).await.expect("a request arrives")
    }

    /// Like [`Self::next`], but without a time limit.
    pub async fn next_or_wait(&self) -> ReceivedRequest {
        loop {
            let (mut stream, _) = self.listener.accept().await.unwrap();
            if let Some(head) = read_head(&mut stream).await {
                return ReceivedRequest { head, stream };
            }
        }
    }

    pub fn entry(&self, id: &str, service: &str) -> targets::Entry {
        targets::Entry {
            id: id.into(),
            started_at_ms: 1,
            renewals: 1,
            service: service.into(),
            addr: self.addr,
            zone: "here".into(),
            slots: 8,
            draining: false,
            shutdown_in: None,
            holdings: targets::Holdings::default(),
        }
    }
}

/// Reads a request's head as lowercase text; none if the connection is closed before.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let len = stream.read(&mut buf).await.ok()?;
        if len == 0 {
            return None;
        }
        bytes.extend_from_slice(&buf[..len]);
        if bytes.windows(4).any(|window| window == b"\r\n\r\n") {
            return Some(String::from_utf8_lossy(&bytes).to_lowercase());
        }
    }
}

pub fn route(prefix: &str, service: &str) -> config::Route {
    config::Route {
        name: prefix.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        timeout: Duration::from_secs(10),
        latency_objective: Duration::from_millis(300),
        max_targets: 2,
        services: vec![(service.into(), 1)],
        ..Default::default()
    }
}

/// A configuration of routes and services without engines.
pub fn config(version: u64, routes: Vec<config::Route>) -> config::Config {
    let mut services: Vec<_> =
        routes.iter().flat_map(|route| &route.services).map(|(name, _)| name.clone()).collect();
    services.dedup();
    let services = services
        .into_iter()
        .map(|name| config::Service {
            name,
            health_path: "/well".into(),
            connections: 100,
            engine: None,
        })
        .collect();
    config::Config {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services,
        limits: config::Limits::default(),
        workspaces: None,
    }
}
