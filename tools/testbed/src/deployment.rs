//! A deployment of real processes on loopback.

use crate::{
    plan::{AUTH_KEY, OPERATOR_KEY, Plan, hash_token},
    process::{Process, STATE_TIMEOUT, free_addresses},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};
use tokio::time;

const AVAILABILITY_ZONES: [&str; 3] = ["conce", "talca-hall", "losangeles"];

#[derive(Clone, Debug)]
struct LaunchSpec {
    program: &'static str,
    args: Vec<String>,
}

/// The processes of a deployment; dropping it kills them.
#[derive(Debug)]
pub struct Deployment {
    /// The plan it was started from.
    pub plan: Plan,
    /// Listen addresses by process name.
    pub addresses: BTreeMap<String, String>,
    /// Directory of settings and logs.
    pub dir: PathBuf,
    /// Shared HTTP client.
    pub http: reqwest::Client,
    processes: BTreeMap<String, Process>,
    launch_specs: BTreeMap<String, LaunchSpec>,
    keep_files: bool,
}

static NEXT_DEPLOYMENT: AtomicU32 = AtomicU32::new(0);

fn temporary_dir() -> PathBuf {
    let number = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
    let name = format!("corianderstand-{}-{number}", std::process::id());
    std::env::temp_dir().join(name)
}

impl Deployment {
    /// Starts all processes, applies the settings and waits until the routers are ready.
    pub async fn start(plan: Plan) -> Self {
        let mut deployment = Self::prepare(plan);
        deployment.start_platform().await;
        deployment.start_targets().await;
        deployment.start_routers();
        deployment.apply_plan().await;
        deployment.wait_for_replica_slots().await;
        deployment
    }

    /// Allocates addresses and writes process settings without starting anything.
    pub fn prepare(plan: Plan) -> Self {
        let dir = temporary_dir();
        fs::create_dir_all(&dir).expect("the temporary folder can be written");
        let http = reqwest::Client::builder().no_proxy().build().expect("a plain client");
        let names = process_names(&plan);
        let addresses = names.iter().cloned().zip(free_addresses(names.len())).collect();
        let (processes, launch_specs) = Default::default();
        let mut deployment =
            Self { plan, addresses, dir, http, processes, launch_specs, keep_files: false };
        deployment.define_processes();
        deployment
    }

    /// Listen address of a process.
    pub fn address(&self, name: &str) -> &str {
        &self.addresses[name]
    }

    /// URL of a path served by a process.
    pub fn url(&self, name: &str, path: &str) -> String {
        format!("http://{}{path}", self.address(name))
    }

    fn define_processes(&mut self) {
        self.define_standin("log", "log", self.plan.log_options.clone());
        self.define_standin("hosts", "hosts", self.plan.host_list_options.clone());
        self.define_standin("weights", "weights", vec!["--rate".into(), "50".into()]);
        for i in 0..self.plan.engines {
            self.define_standin(&format!("engine-{i}"), "engine", self.plan.engine_options.clone());
            let kind = json!({ "engine": { "memory_mib": 80000, "checks_fencing": false } });
            self.define_agent(&format!("engine-{i}"), i, &kind);
        }
        for i in 0..self.plan.services {
            self.define_standin(&format!("service-{i}"), "service", vec![]);
            let kind = json!({ "service": { "service": "agenda" } });
            self.define_agent(&format!("service-{i}"), i, &kind);
        }
        for i in 0..self.plan.routers {
            self.define_router(i);
        }
    }

    fn define_process(&mut self, name: &str, program: &'static str, args: Vec<String>) {
        self.launch_specs.insert(name.to_owned(), LaunchSpec { program, args });
    }

    fn define_standin(&mut self, name: &str, kind: &str, options: Vec<String>) {
        let mut args = vec![kind.to_owned(), "--listen".into(), self.address(name).to_owned()];
        args.extend(options);
        self.define_process(name, "corianderstand-standins", args);
    }

    fn define_agent(&mut self, target: &str, index: usize, kind: &Value) {
        let name = format!("agent-{target}");
        if self.plan.use_relays {
            let relay = format!("relay-{target}");
            let control = format!("relay-control-{target}");
            let args = ["relay", "--listen", self.address(&relay), "--to", self.address(&name)];
            let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
            args.extend(["--control".into(), self.address(&control).to_owned()]);
            self.define_process(&relay, "corianderstand-standins", args);
        }
        let advertised = if self.plan.use_relays {
            json!(self.address(&format!("relay-{target}")))
        } else {
            Value::Null
        };
        let mut settings = json!({
            "name": target,
            "host": format!("host-{target}"),
            "place": AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.len()],
            "listen": self.address(&name),
            "log_url": self.url("log", ""),
            "host_list_url": self.url("hosts", ""),
            "target": { "url": self.url(target, ""), "kind": kind },
            "timing": self.plan.timing,
            "statsd": self.plan.statsd_address,
        });
        if let Some(concurrency) = self.plan.target_concurrency {
            settings["target"]["concurrency"] = json!(concurrency);
        }
        if !advertised.is_null() {
            settings["advertise"] = advertised;
        }
        if self.plan.follow_routers {
            let routers = (0..self.plan.routers).map(|i| format!("router-{i}"));
            let peers: Vec<&str> = routers.map(|router| self.address(&router)).collect();
            settings["peers"] = json!(peers);
            settings["peer_token"] = json!(hash_token("peer"));
        }
        let args = vec!["agent".into(), self.write_config(&name, &settings)];
        self.define_process(&name, "corianderstand", args);
    }

    fn define_router(&mut self, index: usize) {
        let name = format!("router-{index}");
        let others = (0..self.plan.routers).filter(|other| *other != index);
        let peers: Vec<_> = others.map(|o| self.address(&format!("router-{o}"))).collect();
        let settings = json!({
            "name": name,
            "host": format!("host-{name}"),
            "place": AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.len()],
            "listen": self.address(&name),
            "log_url": self.url("log", ""),
            "host_list_url": self.url("hosts", ""),
            "peers": peers,
            "auth_key": AUTH_KEY,
            "operator_key_hash": hash_token(OPERATOR_KEY),
            "limits": self.plan.limits,
            "timing": self.plan.timing,
            "statsd": self.plan.statsd_address,
        });
        let args = vec!["router".into(), self.write_config(&name, &settings)];
        self.define_process(&name, "corianderstand", args);
    }

    fn write_config(&self, name: &str, settings: &Value) -> String {
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the temporary folder can be written");
        path.display().to_string()
    }

    /// Starts or restarts a process by name.
    pub fn start_process(&mut self, name: &str) {
        let spec = self.launch_specs[name].clone();
        let process = Process::start(name, spec.program, &spec.args, &self.dir);
        self.processes.insert(name.to_owned(), process);
    }

    /// Returns a started process by name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("the process was started")
    }

    /// Names of all started processes, sorted.
    pub fn started_processes(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Starts the platform stand-ins and marks all hosts as live in the host list.
    pub async fn start_platform(&mut self) {
        for name in ["log", "hosts", "weights"] {
            self.start_process(name);
        }
        self.wait_for_answer("log", "/counters").await;
        self.wait_for_answer("hosts", "/hosts").await;
        self.set_hosts(&[]).await;
    }

    /// Publishes a host list with all hosts; those in `leaving` are marked as leaving.
    pub async fn set_hosts(&self, leaving: &[&str]) {
        self.set_host_list(leaving, &[]).await;
    }

    /// Publishes a host list without `missing`; hosts in `leaving` are marked as leaving.
    pub async fn set_host_list(&self, leaving: &[&str], missing: &[&str]) {
        let target = |name: &String| name.strip_prefix("agent-").map(str::to_owned);
        let routers = (0..self.plan.routers).map(|i| format!("router-{i}"));
        let names = self.launch_specs.keys().filter_map(target).chain(routers);
        let hosts: Vec<Value> = names
            .filter(|name| !missing.contains(&name.as_str()))
            .map(|name| {
                let state = if leaving.contains(&name.as_str()) { "leaving" } else { "live" };
                json!({ "host": format!("host-{name}"), "place": "conce", "state": state })
            })
            .collect();
        let put = self.http.put(self.url("hosts", "/hosts")).json(&hosts).send().await;
        put.expect("the host list answers");
    }

    /// Starts all targets with their relays and agents.
    pub async fn start_targets(&mut self) {
        let all: Vec<String> = self.launch_specs.keys().cloned().collect();
        let is_target = |n: &str| n.starts_with("engine-") || n.starts_with("service-");
        for name in all.iter().filter(|name| is_target(name)) {
            self.start_process(name);
        }
        for name in all.iter().filter(|name| is_target(name)) {
            let path = if name.starts_with("engine-") { "/loaded" } else { "/counts" };
            self.wait_for_answer(name, path).await;
        }
        for name in all.iter().filter(|n| n.starts_with("agent-") || n.starts_with("relay-")) {
            self.start_process(name);
        }
    }

    /// Starts all routers.
    pub fn start_routers(&mut self) {
        for i in 0..self.plan.routers {
            self.start_process(&format!("router-{i}"));
        }
    }

    /// Applies the plan's settings with the operator's command line.
    pub async fn apply_plan(&mut self) {
        self.wait_for_answer("router-0", "/readyz").await;
        let settings = self.settings_folder();
        let (code, output) = self.run_operator_command(&["apply", &settings.display().to_string()]);
        assert_eq!(code, Some(0), "apply: {output}");
    }

    /// Writes the plan's documents as an operator's settings folder and returns its path.
    pub fn settings_folder(&self) -> PathBuf {
        let root = self.dir.join("settings");
        for (path, value) in &self.plan.documents {
            let file = root.join(path).with_extension("json");
            fs::create_dir_all(file.parent().unwrap_or(Path::new("."))).expect("writable");
            let text = serde_json::to_string_pretty(value).expect("documents are plain data");
            fs::write(file, text).expect("the temporary folder can be written");
        }
        root
    }

    /// Runs an operator command against the first router; returns exit code and output.
    pub fn run_operator_command(&self, args: &[&str]) -> (Option<i32>, String) {
        self.run_operator_command_at("router-0", args)
    }

    /// Runs an operator command against a router; returns exit code and output.
    pub fn run_operator_command_at(&self, router: &str, args: &[&str]) -> (Option<i32>, String) {
        let output =
            std::process::Command::new(crate::process::binary_dir().join("corianderstand"))
                .args(args)
                .env("CORIANDERSTAND_ROUTER", self.address(router))
                .env("CORIANDERSTAND_OPERATOR_KEY", OPERATOR_KEY)
                .output()
                .expect("the binary has been built");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    }

    /// Waits until a path responds with a success status.
    pub async fn wait_for_answer(&self, name: &str, path: &str) {
        let url = self.url(name, path);
        wait_for(&format!("{name}{path}"), async || {
            let answer = self.http.get(&url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Status of the deployment as reported by a router, null without a response.
    pub async fn status(&self, router: &str) -> Value {
        let url = self.url(router, "/operator/status?own=true");
        let answer = self.http.get(url).bearer_auth(OPERATOR_KEY).send().await;
        match answer {
            Ok(answer) => answer.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Waits until every router is ready and reports all configured replica slots.
    pub async fn wait_for_replica_slots(&self) {
        let expected: u64 = self
            .plan
            .documents
            .iter()
            .filter(|(path, _)| path.starts_with("teams/") && path.contains("/models/"))
            .filter_map(|(_, value)| value["replicas"].as_u64())
            .sum();
        for i in 0..self.plan.routers {
            let name = format!("router-{i}");
            wait_for(&format!("slots at {name}"), async || {
                let status = self.status(&name).await;
                status["slots"].as_array().is_some_and(|slots| slots.len() as u64 >= expected)
            })
            .await;
            self.wait_for_answer(&name, "/readyz").await;
        }
    }

    /// Injects a fault into a stand-in; an empty object clears it.
    pub async fn inject_fault(&self, name: &str, fault: &Value) {
        let control = name.replacen("relay-", "relay-control-", 1);
        let post = self.http.post(self.url(&control, "/fault")).json(fault).send().await;
        let status = post.expect("the stand-in answers").status();
        assert!(status.is_success(), "{name} rejects the fault {fault}");
    }

    /// Counters of a stand-in.
    pub async fn counters(&self, name: &str) -> Value {
        let path = if name.starts_with("service") { "/counts" } else { "/counters" };
        let answer = self.http.get(self.url(name, path)).send().await;
        answer.expect("the stand-in answers").json().await.expect("counters are JSON")
    }

    /// Keeps settings and logs after the deployment is dropped; returns their directory.
    pub fn keep_files(&mut self) -> &Path {
        self.keep_files = true;
        &self.dir
    }

    /// Names of the models that an engine has loaded or is loading.
    pub async fn loaded_models(&self, engine: &str) -> Vec<String> {
        let answer = self.http.get(self.url(engine, "/loaded")).send().await;
        let answer: Value = answer.expect("it answers").json().await.expect("it is JSON");
        let weights = answer.as_array().into_iter().flatten().map(|loaded| &loaded["weights"]);
        weights.map(|w| w["model"].as_str().unwrap_or_default().to_owned()).collect()
    }

    /// Log output of a process.
    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.dir.display());
        } else if !self.keep_files {
            drop(fs::remove_dir_all(&self.dir));
        }
    }
}

fn process_names(plan: &Plan) -> Vec<String> {
    let mut names: Vec<String> = ["log", "hosts", "weights"].map(str::to_owned).into();
    names.extend((0..plan.routers).map(|i| format!("router-{i}")));
    let engines = (0..plan.engines).map(|i| format!("engine-{i}"));
    let targets = engines.chain((0..plan.services).map(|i| format!("service-{i}")));
    for target in targets {
        for prefix in ["agent-", "relay-", "relay-control-"] {
            names.push(format!("{prefix}{target}"));
        }
        names.push(target);
    }
    names
}

/// Polls a condition until it holds.
pub async fn wait_for(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < STATE_TIMEOUT, "timed out waiting for: {description}");
        time::sleep(Duration::from_millis(20)).await;
    }
}
