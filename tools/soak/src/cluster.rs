//! A small cluster: real routers and agents, and stand-ins for the platform.

use crate::{
    configs::Configs,
    datagrams::{self, Cut, Relays},
    proxy, retries, workspaces,
};
use bytes::Bytes;
use corianderstand_platform_standins::{
    copies::COPY_TTL,
    ledger::Ledger,
    serve::ListenerHandle,
    settings,
    store::Store,
    target::{ENTRIES_TOPIC, HEALTH_PATH, Target, TargetSpec, UnframedResponses},
    workspaces as standin_workspaces,
};
use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use testbed::process::Process;
use tokio::task::AbortHandle;

/// `Host` header of callers.
pub const HOST: &str = "soak.example";
/// Names of the models; [`MODELS_PER_ENGINE`] fit on an engine.
pub const MODELS: [&str; 5] = ["m0", "m1", "m2", "m3", "m4"];
const MODELS_PER_ENGINE: usize = 2;
const STORE_PORT: u16 = 8_142;
const TARGET_PORT: u16 = 8_145;
const PROXY_PORT: u16 = 8_245;
const RELAY_PORT: u16 = 8_244;
const CONFIG_TOPIC: &str = "keyed.op";
const ROUTERS_TOPIC: &str = "keyed.routers";
const FOREIGN_ENTRY_BYTES: usize = 100_000;
const READERS_PER_ZONE: usize = 2;
const SEEDS: usize = 3;
/// A starved process has a quarter of the time.
const STARVED_STOP_TIME: Duration = Duration::from_millis(60);
const STARVED_RUN_TIME: Duration = Duration::from_millis(20);
const UNFRAMED_RESPONSES: UnframedResponses = UnframedResponses { ratio: 0.15, cut_ratio: 0.3 };
/// Software versions of engines; a third one comes with restarts in place.
const VERSIONS: u64 = 2;
/// Share of the answers of plain services that are late, if routers send second requests.
const LATE_RATIO: f64 = 0.04;
/// Longest time until a record that the store lost is written again.
const MAX_WRITE_AGAIN_DELAY: Duration = Duration::from_millis(1_800);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Features of the routers: copies are kept, although no target states its pace.
fn features(size: &ClusterSize) -> String {
    json!({
        "quota_order": "auto", "room": "auto", "pace": "auto", "placement": "auto",
        "stream_copies": "on", "hedge_percent": size.hedge_percent,
    })
    .to_string()
}

/// Line in the settings of processes that start together for the first time.
const FIRST_START_SETTING: &str = "bootstrap=true\n";

#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    pub routers: usize,
    pub engines: usize,
    pub service_targets: usize,
    pub zones: usize,
    /// Time after which no request may reach a target that is leaving.
    pub drain_within: Duration,
    /// Whether datagrams between routers can be lost.
    pub has_relays: bool,
    /// Most second requests of routers, in percent of those that may be repeated.
    pub hedge_percent: f64,
}

impl ClusterSize {
    /// Availability zone of the process or target with an index.
    fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones)
    }
}

/// A router or agent process that can be restarted.
#[derive(Debug)]
pub struct ManagedProcess {
    pub name: String,
    pub ip: IpAddr,
    pub store_proxy: proxy::Proxy,
    pub process: Option<Process>,
    /// Stops and resumes the process in turns while it is starved.
    starvation: Option<AbortHandle>,
    role: &'static str,
    config_path: PathBuf,
    /// Contents of its settings file.
    settings: String,
    /// Contents of its file of features, if it is a router.
    features: String,
    /// Whether it has started before.
    has_started: bool,
    log_dir: PathBuf,
}

impl ManagedProcess {
    pub fn start(&mut self) {
        let first = if self.has_started { "" } else { FIRST_START_SETTING };
        std::fs::write(&self.config_path, format!("{}{first}", self.settings))
            .expect("the folder can be written");
        self.has_started = true;
        let mut args = [self.role, "--platform"].map(str::to_owned).to_vec();
        if self.role == "router" {
            // Its own: another router would read it while it is written.
            let features = self.config_path.with_extension("features.json");
            std::fs::write(&features, &self.features).expect("the folder can be written");
            args.extend(["--features".to_owned(), features.display().to_string()]);
        }
        let config = ("CORIANDERSTAND_CONFIG", self.config_path.as_path());
        let process =
            Process::start_with(&self.name, "corianderstand", &args, &self.log_dir, &[config]);
        self.process = Some(process);
    }

    /// Lets the process run for a part of the time only, until [`Self::end_starvation`].
    pub fn starve(&mut self) {
        let Some(pid) = self.process.as_ref().map(Process::pid) else { return };
        let pid = Pid::from_raw(pid.cast_signed());
        let turns = tokio::spawn(async move {
            // Ends once the process is gone.
            while signal::kill(pid, Signal::SIGSTOP).is_ok() {
                tokio::time::sleep(STARVED_STOP_TIME).await;
                if signal::kill(pid, Signal::SIGCONT).is_err() {
                    return;
                }
                tokio::time::sleep(STARVED_RUN_TIME).await;
            }
        });
        self.starvation = Some(turns.abort_handle());
    }

    pub fn end_starvation(&mut self) {
        if let Some(turns) = self.starvation.take() {
            turns.abort();
        }
        if let Some(process) = &self.process {
            process.resume();
        }
    }
}

#[derive(Debug)]
pub struct ProxiedTarget {
    pub target: Target,
    /// Proxy between routers and the target.
    pub target_proxy: proxy::Proxy,
    pub start_count: u64,
    index: u64,
    name: String,
}

impl ProxiedTarget {
    pub async fn start(&mut self) {
        // It may have started again by itself.
        self.target.crash();
        self.start_count += 1;
        self.target.set_version(1 + (self.index + self.start_count) % VERSIONS);
        let name = format!("{}-{}", self.name, self.start_count);
        let started_at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_at_ms = started_at_ms.as_millis() as u64;
        self.target.start(&name, started_at_ms).await.expect("the address is free");
    }
}

#[derive(Debug)]
pub struct Cluster {
    pub store: Store,
    pub ledger: Ledger,
    pub routers: Vec<ManagedProcess>,
    /// Proxies between callers and routers.
    pub router_proxies: Vec<proxy::Proxy>,
    pub agents: Vec<ManagedProcess>,
    pub engines: Vec<ProxiedTarget>,
    pub service_targets: Vec<ProxiedTarget>,
    pub configs: Configs,
    /// Routers that read the store for their zones while all run.
    pub readers: Vec<usize>,
    config_version: u64,
    relays: Option<Relays>,
    _store_listeners: [ListenerHandle; 2],
}

/// The routers of each zone with the least names, as all are equally strong.
fn readers(size: &ClusterSize) -> Vec<usize> {
    let of_zone = |zone: usize| {
        let mut routers: Vec<usize> = (zone..size.routers).step_by(size.zones).collect();
        routers.sort_by_key(|index| format!("router-{index}"));
        routers.into_iter().take(READERS_PER_ZONE)
    };
    (0..size.zones).flat_map(of_zone).collect()
}

/// Returns a loopback address derived from the process id, so that parallel runs do not collide.
fn loopback_ip(role_offset: u8, index: usize) -> IpAddr {
    let pid = std::process::id();
    let part = |shift: u32| (pid >> shift & 0x7f) as u8;
    IpAddr::V4(Ipv4Addr::new(
        127,
        128 + part(7),
        part(0) * 2 + role_offset / 128,
        role_offset % 128 + index as u8,
    ))
}

/// Offsets of IP addresses by role; the gaps limit the processes of a role.
const ROUTER_IP_OFFSET: u8 = 1;
const AGENT_IP_OFFSET: u8 = 25;
const SERVICE_IP_OFFSET: u8 = 65;
const STORE_IP_OFFSET: u8 = 120;

impl Cluster {
    /// Starts a cluster with logs and settings in `dir`.
    pub async fn start(size: ClusterSize, dir: &Path) -> Self {
        let (store, ledger) = (Store::default(), Ledger::default());
        let store_addr = SocketAddr::new(loopback_ip(STORE_IP_OFFSET, 0), STORE_PORT);
        let store_listener = store.listen(store_addr).await.expect("the address is free");
        let router_addresses: Vec<SocketAddr> = (0..size.routers)
            .map(|index| settings::control(loopback_ip(ROUTER_IP_OFFSET, index)))
            .collect();
        let relays = datagrams::relay_addresses(&router_addresses, RELAY_PORT);
        let relays = if size.has_relays { relays } else { BTreeMap::new() };
        let routers_store_addr = SocketAddr::new(loopback_ip(STORE_IP_OFFSET, 1), STORE_PORT);
        let routers_store_listener = store
            .listen_with(routers_store_addr, with_relays(relays.clone()))
            .await
            .expect("the address is free");
        let mut engines = Vec::new();
        for index in 0..size.engines {
            // Each engine caches three models, so that every model is cached at some engine.
            let cached_models = [0, 1, 2].map(|offset| MODELS[(index + offset) % MODELS.len()]);
            let ip_addr = loopback_ip(AGENT_IP_OFFSET, index);
            let place = (ip_addr, size.zone(index));
            let target =
                start_target(("models", "engine"), index, place, (&store, &ledger), &cached_models);
            engines.push(target.await);
        }
        let mut service_targets = Vec::new();
        for index in 0..size.service_targets {
            let ip_addr = loopback_ip(SERVICE_IP_OFFSET, index);
            let place = (ip_addr, size.zone(index));
            let target = start_target(("desk", "desk"), index, place, (&store, &ledger), &[]);
            let target = target.await;
            target.target.set_late(if size.hedge_percent > 0.0 { LATE_RATIO } else { 0.0 });
            service_targets.push(target);
        }
        let (mut routers, mut router_proxies, mut agents) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..size.routers {
            let ip_addr = loopback_ip(ROUTER_IP_OFFSET, index);
            let zone = size.zone(index);
            let place = settings::Place { ip: ip_addr, zone: &zone };
            let seeds = seeds(&router_addresses, index, &relays);
            let process = start_process(
                ("router", index),
                ip_addr,
                routers_store_addr,
                dir,
                features(&size),
                |name, store| {
                    settings::router(name, place, &seeds, store, size.drain_within)
                        + workspaces::settings().as_str()
                        + retries::settings().as_str()
                },
            );
            routers.push(process.await);
            let router_address = settings::front(ip_addr);
            let proxy_addr = SocketAddr::new(ip_addr, PROXY_PORT + 1);
            router_proxies.push(
                proxy::Proxy::open(proxy_addr, router_address).await.expect("the address is free"),
            );
        }
        for index in 0..size.engines {
            let ip_addr = loopback_ip(AGENT_IP_OFFSET, index);
            let zone = size.zone(index);
            let place = settings::Place { ip: ip_addr, zone: &zone };
            let engine_addr = SocketAddr::new(ip_addr, TARGET_PORT);
            let process = start_process(
                ("agent", index),
                ip_addr,
                store_addr,
                dir,
                String::new(),
                |name, store| settings::agent(name, place, engine_addr, store),
            );
            agents.push(process.await);
        }
        let relays = match size.has_relays {
            true => Some(Relays::open(router_addresses, RELAY_PORT).await.expect("ports are free")),
            false => None,
        };
        let mut cluster = Self {
            store,
            ledger,
            routers,
            router_proxies,
            agents,
            engines,
            service_targets,
            configs: Configs::default(),
            readers: readers(&size),
            config_version: 0,
            relays,
            _store_listeners: [store_listener, routers_store_listener],
        };
        cluster.configure();
        cluster.wait_ready().await;
        cluster
    }

    /// Writes the next configuration and returns the path prefix of a route unique to it.
    pub fn configure(&mut self) -> String {
        self.config_version += 7;
        // Each second configuration has the key that the others lack.
        let is_revoked = self.config_version.is_multiple_of(2);
        let unique_prefix = format!("/only-{}/", self.config_version);
        let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
            json!({
                "name": prefix.trim_matches('/'), "host": HOST, "path_prefix": prefix,
                "kind": kind, "service": service, "timeout_ms": 8_000, "target_latency_ms": 300,
                "priority": 1, "max_attempts": 2, "resumable": resumable, "gap_aim_ms": 150,
            })
        };
        let models = MODELS.map(|name| {
            json!({
                "name": name, "weights_mb": 100, "load_time_s": 0.3, "disk_s": 0.3, "warm_s": 0.3,
                "adapters": 0, "adapter_mb": 1,
            })
        });
        let mut config = json!({
            "version": self.config_version,
            "routes": [
                route("/look/", "idempotent", "desk", false),
                route("/pay/", "non_idempotent", "desk", false),
                route("/chat/", "streaming", "models", true),
                route("/draft/", "streaming", "models", false),
                route(&unique_prefix, "idempotent", "desk", false),
            ],
            "services": [
                { "name": "desk", "health_path": HEALTH_PATH, "max_conns": 500 },
                { "name": "models", "health_path": HEALTH_PATH, "max_conns": 500, "engine": {
                    "slots": 16, "kv_tokens": 100_000, "models": models,
                    "weights_mb": 100 * MODELS_PER_ENGINE + 50, "adapter_slots": 1, "loads_per_s": 100,
                    "backups": true, "kv_token_bytes": 1_000, "handle_s": COPY_TTL.as_secs_f64(),
                } },
            ],
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
        });
        standin_workspaces::add(&mut config, &workspaces::specs(is_revoked));
        // Before, so that no router has it in force earlier.
        self.configs.record_written(self.config_version, &unique_prefix, is_revoked);
        self.store.put(CONFIG_TOPIC, "config", Some(config.to_string().into()));
        unique_prefix
    }

    /// Has the store go back to a copy that is `age` old. What the operator and the targets wrote since is written again
    /// within a short time, what routers wrote is not.
    pub fn restore_store(&self, age: Duration) {
        let Some(copied_at) = Instant::now().checked_sub(age) else { return };
        let lost = self.store.restore(copied_at);
        self.ledger.record_lost(copied_at);
        self.configs.record_lost(copied_at);
        for record in lost.into_iter().filter(|record| record.topic != ROUTERS_TOPIC) {
            let (store, configs) = (self.store.clone(), self.configs.clone());
            let delay = rand::random_range(Duration::ZERO..MAX_WRITE_AGAIN_DELAY);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                if store.write_again(&record) && record.topic == CONFIG_TOPIC {
                    configs.record_written_again();
                }
            });
        }
    }

    /// Loses datagrams between routers from now on, or none.
    pub fn lose_datagrams(&self, cut: Option<Cut>) {
        if let Some(relays) = &self.relays {
            relays.cut(cut);
        }
    }

    /// Writes entries that no engine of this deployment would write.
    pub fn write_invalid_entries(&self) {
        let long = format!("{{\"service\":\"{}\"}}", "x".repeat(FOREIGN_ENTRY_BYTES));
        let entries: [&[u8]; 6] = [
            b"{\"service\":7",
            b"{}",
            b"{\"service\":\"models\",\"state\":\"asleep\",\"born\":-1}",
            b"{\"service\":\"nobody\",\"addr\":\"0.0.0.0:0\"}",
            b"\xff\x00\xfe",
            long.as_bytes(),
        ];
        for (index, entry) in entries.iter().enumerate() {
            let key = format!("stranger-{index}");
            self.store.put(ENTRIES_TOPIC, &key, Some(Bytes::copy_from_slice(entry)));
        }
    }

    /// Has all targets state a length or chunks from now on.
    pub fn end_unframed_responses(&self) {
        let targets = self.engines.iter().chain(&self.service_targets);
        targets.for_each(|target| target.target.set_unframed(UnframedResponses::default()));
    }

    pub async fn wait_ready(&mut self) {
        let poll = async {
            for router in &self.routers {
                while !crate::requests::is_ready(settings::ready(router.ip)).await {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, poll).await.expect("all routers become ready");
    }
}

/// Addresses at which a router finds others when it starts: their relays, and its own.
fn seeds(
    routers: &[SocketAddr],
    index: usize,
    relays: &BTreeMap<SocketAddr, SocketAddr>,
) -> Vec<SocketAddr> {
    let seeds = routers.iter().take(SEEDS).enumerate();
    let relay = |addr: &SocketAddr| relays.get(addr).copied().unwrap_or(*addr);
    seeds.map(|(seed, addr)| if seed == index { *addr } else { relay(addr) }).collect()
}

/// Has routers read the addresses of relays in the entries of other routers.
fn with_relays(
    relays: BTreeMap<SocketAddr, SocketAddr>,
) -> impl Fn(&str, &Bytes) -> Bytes + Send + Sync {
    move |topic, value| {
        let Some(mut entry) = (topic == ROUTERS_TOPIC && !relays.is_empty())
            .then(|| serde_json::from_slice::<serde_json::Value>(value).ok())
            .flatten()
        else {
            return value.clone();
        };
        let addr = entry["addr"].as_str().and_then(|addr| addr.parse().ok());
        if let Some(relay) = addr.and_then(|addr: SocketAddr| relays.get(&addr)) {
            entry["addr"] = json!(relay.to_string());
        }
        entry.to_string().into()
    }
}

async fn start_target(
    (service, name): (&str, &str),
    index: usize,
    (ip_addr, zone): (IpAddr, String),
    (store, ledger): (&Store, &Ledger),
    cached_models: &[&str],
) -> ProxiedTarget {
    let addr = SocketAddr::new(ip_addr, TARGET_PORT);
    let target_proxy = proxy::Proxy::open(SocketAddr::new(ip_addr, PROXY_PORT), addr).await;
    let target_proxy = target_proxy.expect("the address is free");
    let is_engine = service == "models";
    let spec = TargetSpec {
        service: service.into(),
        addr,
        zone,
        advertised_addr: target_proxy.addr,
        slots: 16,
        model_capacity: is_engine.then_some(MODELS_PER_ENGINE),
        keeps_name: index.is_multiple_of(2),
    };
    let target = Target::new(spec, store.clone(), ledger.clone(), cached_models);
    target.set_unframed(UNFRAMED_RESPONSES);
    let mut target = ProxiedTarget {
        target,
        target_proxy,
        start_count: 0,
        index: index as u64,
        name: format!("{name}-{index}"),
    };
    target.start().await;
    target
}

async fn start_process(
    (role, index): (&'static str, usize),
    ip_addr: IpAddr,
    store_address: SocketAddr,
    dir: &Path,
    features: String,
    settings: impl FnOnce(&str, SocketAddr) -> String,
) -> ManagedProcess {
    let name = format!("{role}-{index}");
    let proxy_addr = SocketAddr::new(ip_addr, PROXY_PORT + 2);
    let store_proxy =
        proxy::Proxy::open(proxy_addr, store_address).await.expect("the address is free");
    let config_path = dir.join(format!("{name}.conf"));
    let settings = settings(&name, store_proxy.addr);
    let log_dir = dir.to_owned();
    let mut process = ManagedProcess {
        name,
        ip: ip_addr,
        store_proxy,
        process: None,
        starvation: None,
        role,
        config_path,
        settings,
        features,
        has_started: false,
        log_dir,
    };
    process.start();
    process
}
