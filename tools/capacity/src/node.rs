//! Measures one process against platform stand-ins and emulated peers.

use crate::{emulate, forward, process, size};
use corianderstand_control::source;
use corianderstand_derives::derives;
use corianderstand_edge::{
    hosts::{HostEntry, HostState},
    log::{HttpLog, LogService},
};
use corianderstand_schema::records::Record;
use corianderstand_types::names;
use serde_json::{Value, json};
use smol_str::format_smolstr;
use std::{
    fs,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use testbed::{
    plan::{AUTH_KEY, OPERATOR_KEY, hash_token},
    process::{Process, STATE_TIMEOUT, free_addresses},
};
use tokio::time;

const APPEND_BATCH_RECORDS: usize = 256;
pub const MEASUREMENT_WINDOW: Duration = Duration::from_secs(4);
/// Time without a change after which a state counts as steady.
const STEADY_TIME: Duration = Duration::from_secs(1);
/// Maximum wait of a long-polling read of the log.
pub const LOG_POLL_WAIT: Duration = Duration::from_secs(1);

/// Resource usage of a process in a steady state.
#[derives(wire)]
#[derive(Copy, Default)]
pub struct NodeCost {
    /// Bytes per second to and from the log.
    pub log_bytes: f64,
    /// Bytes per second to and from the host list.
    pub hosts_bytes: f64,
    /// Bytes per second to and from agents or routers.
    pub link_bytes: f64,
    /// Connections to agents or from routers.
    pub connections: f64,
    /// CPU time, in percent of a core.
    pub cpu_percent: f64,
    pub resident_kib: f64,
    /// Time from start to readiness, in milliseconds.
    pub start_ms: f64,
}

impl NodeCost {
    pub fn bytes_per_s(&self) -> f64 {
        self.log_bytes + self.hosts_bytes + self.link_bytes
    }
}

/// Stand-ins for the log and the host list, each behind a counting proxy.
pub struct Platform {
    dir: PathBuf,
    http: reqwest::Client,
    log: HttpLog,
    host_list_url: String,
    log_counter: Arc<forward::ByteCounter>,
    hosts_counter: Arc<forward::ByteCounter>,
    log_proxy_url: String,
    host_list_proxy_url: String,
    processes: Vec<Process>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.processes.clear();
        drop(fs::remove_dir_all(&self.dir));
    }
}

impl Platform {
    /// Starts both stand-ins and waits until they respond.
    pub async fn start() -> Self {
        let dir = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("the temporary directory can be created");
        let addresses = free_addresses(2);
        let start = |kind: &str, address: &str| {
            let args = [kind, "--listen", address].map(str::to_owned);
            Process::start(kind, "corianderstand-standins", &args, &dir)
        };
        let processes = vec![start("log", &addresses[0]), start("hosts", &addresses[1])];
        let (log_counter, hosts_counter) = (Arc::default(), Arc::default());
        let log_proxy = forward::start(addresses[0].clone(), Arc::clone(&log_counter)).await;
        let hosts_proxy = forward::start(addresses[1].clone(), Arc::clone(&hosts_counter)).await;
        let platform = Self {
            dir,
            http: reqwest::Client::builder().no_proxy().build().expect("the client can be built"),
            log: HttpLog::new(&format!("http://{}", addresses[0]), LOG_POLL_WAIT),
            host_list_url: format!("http://{}/hosts", addresses[1]),
            log_counter,
            hosts_counter,
            log_proxy_url: format!("http://{log_proxy}"),
            host_list_proxy_url: format!("http://{hosts_proxy}"),
            processes,
        };
        platform.wait_for(&format!("http://{}/counters", addresses[0])).await;
        platform.wait_for(&platform.host_list_url).await;
        platform
    }

    /// Polls a URL until it returns a success status; panics after [`STATE_TIMEOUT`].
    pub async fn wait_for(&self, url: &str) {
        let started_at = Instant::now();
        while !self.http.get(url).send().await.is_ok_and(|a| a.status().is_success()) {
            assert!(started_at.elapsed() < STATE_TIMEOUT, "{url} did not respond in time");
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub async fn append(&self, records: &[Record]) {
        for batch in records.chunks(APPEND_BATCH_RECORDS) {
            let data =
                batch.iter().map(|r| postcard::to_stdvec(r).expect("records can be serialized"));
            self.log.append(data.collect()).await.expect("the log accepts records");
        }
    }

    /// Replaces the host list by `count` live hosts.
    pub async fn list_hosts(&self, count: usize) {
        let entry = |i: usize| HostEntry {
            host: names::HostId(format_smolstr!("host-{i:03}")),
            availability_zone: names::AvailabilityZoneId(format_smolstr!("place-{}", i % 4)),
            state: HostState::Live,
        };
        let hosts: Vec<HostEntry> = (0..count).map(entry).collect();
        let response = self.http.put(&self.host_list_url).json(&hosts).send().await;
        response.expect("the host list responds");
    }

    fn common_settings(&self, name: &str, listen: &str) -> Value {
        json!({
            "name": name,
            "host": "host-000",
            "place": "place-0",
            "listen": listen,
            "log_url": self.log_proxy_url,
            "host_list_url": self.host_list_proxy_url,
            "timing": { "log_poll_ms": LOG_POLL_WAIT.as_millis() as u64 },
        })
    }

    fn start_process(&self, name: &str, role: &str, settings: &Value) -> Process {
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the temporary directory is writable");
        let args = [role.to_owned(), path.display().to_string()];
        Process::start(name, "corianderstand", &args, &self.dir)
    }

    /// Starts a router and returns its process, its address and the time until it was ready.
    pub async fn start_router(&self, name: &str) -> (Process, String, Duration) {
        let listen = free_addresses(1).remove(0);
        let mut settings = self.common_settings(name, &listen);
        settings["auth_key"] = json!(AUTH_KEY);
        settings["operator_key_hash"] = json!(hash_token(OPERATOR_KEY));
        let started_at = Instant::now();
        let process = self.start_process(name, "router", &settings);
        self.wait_for(&format!("http://{listen}/readyz")).await;
        (process, listen, started_at.elapsed())
    }

    /// Starts an agent for the engine at `engine_url` and returns its process and its address.
    pub async fn start_agent(&self, name: &str, engine_url: &str) -> (Process, String) {
        let listen = free_addresses(1).remove(0);
        let mut settings = self.common_settings(name, &listen);
        let kind = json!({ "engine": { "memory_mib": 640_000, "checks_fencing": false } });
        settings["target"] = json!({ "url": engine_url, "kind": kind });
        let process = self.start_process(name, "agent", &settings);
        (process, listen)
    }

    /// Starts an engine stand-in and returns its process and its URL.
    pub async fn start_engine(&self, options: &[&str]) -> (Process, String) {
        let listen = free_addresses(1).remove(0);
        let mut args = vec!["engine".to_owned(), "--listen".into(), listen.clone()];
        args.extend(options.iter().map(|option| (*option).to_owned()));
        let process = Process::start("engine", "corianderstand-standins", &args, &self.dir);
        self.wait_for(&format!("http://{listen}/loaded")).await;
        (process, format!("http://{listen}"))
    }

    /// Measures a process over [`MEASUREMENT_WINDOW`].
    pub async fn measure(&self, process: &Process, link: &forward::ByteCounter) -> NodeCost {
        let pid = process.pid();
        let before = (self.log_counter.total(), self.hosts_counter.total(), link.total());
        let (cpu_time_before, started_at) = (process::cpu_time(pid), Instant::now());
        time::sleep(MEASUREMENT_WINDOW).await;
        let seconds = started_at.elapsed().as_secs_f64();
        let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
        NodeCost {
            log_bytes: rate(self.log_counter.total(), before.0),
            hosts_bytes: rate(self.hosts_counter.total(), before.1),
            link_bytes: rate(link.total(), before.2),
            cpu_percent: (process::cpu_time(pid) - cpu_time_before).as_secs_f64() / seconds * 100.0,
            resident_kib: process::resident_kib(pid) as f64,
            ..NodeCost::default()
        }
    }
}

/// Waits until a value has not changed for [`STEADY_TIME`].
pub async fn wait_until_steady(read: impl Fn() -> usize) {
    let (mut last_value, mut last_changed_at) = (read(), Instant::now());
    while last_changed_at.elapsed() < STEADY_TIME {
        time::sleep(Duration::from_millis(50)).await;
        let value = read();
        if value != last_value {
            (last_value, last_changed_at) = (value, Instant::now());
        }
    }
}

/// Measures a router with the state and the emulated agents of a deployment at `percent` of the
/// design size.
pub async fn measure_router(percent: usize) -> NodeCost {
    let size = size::DESIGN.scaled_to(percent);
    let platform = Platform::start().await;
    let agents = emulate::Agents::start(size.targets).await;
    platform.append(&size::records(size, |i| agents.addresses[i].clone())).await;
    platform.list_hosts(size.writers).await;
    let (process, _, startup) = platform.start_router("router-0").await;
    let open_connections = agents.open_connections.clone();
    wait_until_steady(|| open_connections.load(Ordering::Relaxed)).await;
    let cost = platform.measure(&process, &agents.counter).await;
    let connections = open_connections.load(Ordering::Relaxed) as f64;
    NodeCost { connections, start_ms: startup.as_secs_f64() * 1e3, ..cost }
}

/// Measures an agent with connections from `routers` emulated routers.
pub async fn measure_agent(percent: usize, routers: usize, heartbeat: Duration) -> NodeCost {
    let size = size::DESIGN.scaled_to(percent);
    let platform = Platform::start().await;
    platform.append(&size::records(size, |_| "127.0.0.1:9".into())).await;
    platform.list_hosts(size.writers).await;
    let (_engine, url) = platform.start_engine(&[]).await;
    let (process, listen) = platform.start_agent("engine-000", &url).await;
    let started_at = Instant::now();
    while tokio::net::TcpStream::connect(&listen).await.is_err()
        && started_at.elapsed() < STATE_TIMEOUT
    {
        time::sleep(Duration::from_millis(20)).await;
    }
    let counter = Arc::default();
    emulate::start_routers(&listen, routers, heartbeat, &counter);
    wait_until_steady(|| 0).await;
    let cost = platform.measure(&process, &counter).await;
    NodeCost { connections: routers as f64, ..cost }
}

/// Measures the lease holder as relay of the log to emulated followers, at the design size.
pub async fn measure_relay(followers: usize) -> NodeCost {
    let size = size::DESIGN;
    let platform = Platform::start().await;
    let records = size::records(size, |_| "127.0.0.1:9".into());
    platform.append(&records).await;
    platform.list_hosts(size.writers).await;
    let (process, listen, _) = platform.start_router("router-0").await;
    let counter: Arc<forward::ByteCounter> = Arc::default();
    let proxy = forward::start(listen, counter.clone()).await;
    let base_url = format!("http://{proxy}/internal");
    emulate::start_followers(&base_url, followers, records.len() as u64 + 1, source::RELAY_WAIT);
    wait_until_steady(|| 0).await;
    let cost = platform.measure(&process, &counter).await;
    NodeCost { connections: followers as f64, ..cost }
}
