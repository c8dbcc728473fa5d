//! Test harness: a router on its own thread, an in-memory store and scripted targets.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod crashing;
pub mod cut;
pub mod link;
pub mod platform;

pub use platform::{MemoryStore, PlainPlatform};

use corianderstand_fleet::{budget, config, features, quota, targets};
use corianderstand_forward::{
    precedence::Stamp,
    replicated_records::{Content, Progress},
    router,
};
use corianderstand_schema::peers::{RouterUpdate, StoreUse};
use corianderstand_types::{
    clock::SystemClock,
    position::{Era, Position},
};
use std::{
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, oneshot},
};

pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The status of a router that knows no records and may not plan.
pub fn router_update(name: &str) -> RouterUpdate {
    RouterUpdate {
        router: name.into(),
        incarnation: 1,
        zone: "here".into(),
        store: StoreUse::Reads,
        strength: 1,
        delay_ms: 0,
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

/// A position in the first era.
pub const fn position(offset: u64) -> Position {
    Position::new(Era(0), offset)
}

/// How far a subject without versions is known.
pub const fn progress(offset: u64) -> Progress {
    Progress { config_version: 0, next: position(offset) }
}

/// Content that says nothing of its age.
pub const fn content(hash: u64) -> Content {
    Content { hash, stamp: Stamp::None }
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

/// Has a router start for the first time and retry as often as it gets requests.
pub fn may_retry_at_once(mut settings: router::Settings) -> router::Settings {
    settings.is_first_start = true;
    settings.bounds.allowance.ratio = 2.0;
    settings
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

    /// Starts a router for the first time, so that it may retry at once.
    pub fn start_first(store: &MemoryStore) -> Self {
        let settings = Self::settings("router-a", Vec::new(), Duration::from_secs(8));
        Self::start_on(store, may_retry_at_once(settings))
    }

    pub fn start_with(
        store: &MemoryStore,
        name: &str,
        seeds: Vec<SocketAddr>,
        stop_within: Duration,
    ) -> Self {
        Self::start_on(store, Self::settings(name, seeds, stop_within))
    }

    /// Settings of a router on free ports. After a start it retries nothing for a window of its allowance.
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
                features: features::Features::default(),
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
        Self::start_at(Ipv4Addr::LOCALHOST).await
    }

    /// Starts on a host of its own.
    pub async fn start_at(host: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((host, 0)).await.unwrap();
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

    /// Accepts a connection and closes it; false if none can be accepted.
    pub async fn close_next(&self) -> bool {
        self.listener.accept().await.is_ok()
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
            version: Some("v1".into()),
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
