//! Composition and settings of a small deployment.

use serde_json::{Value, json};

/// Describes a deployment to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines, each with an agent.
    pub engines: usize,
    /// Number of plain services, each with an agent.
    pub services: usize,
    /// Command-line options of the engine stand-ins.
    pub engine_options: Vec<String>,
    /// Command-line options of the log stand-in.
    pub log_options: Vec<String>,
    /// Command-line options of the host list stand-in.
    pub host_list_options: Vec<String>,
    /// `timing` settings of all processes.
    pub timing: Value,
    /// Concurrent requests of each target, if not the default.
    pub target_concurrency: Option<u32>,
    /// Address of the statsd sink, or null.
    pub statsd_address: Value,
    /// `limits` settings of the routers.
    pub limits: Value,
    /// Whether a relay with fault injection forwards connections to each agent.
    pub use_relays: bool,
    /// Whether agents follow the routers instead of reading the log.
    pub follow_routers: bool,
    /// Settings documents by path.
    pub documents: Vec<(String, Value)>,
}

/// Bearer token of the team `vidrio`.
pub const VIDRIO_KEY: &str = "vidrio-key";
/// Bearer token of the team `hinokuni`.
pub const HINOKUNI_KEY: &str = "hinokuni-key";
/// Bearer token of the operators.
pub const OPERATOR_KEY: &str = "operator-key";
/// Key of the hash function for bearer tokens.
pub const AUTH_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Hashes a bearer token with [`AUTH_KEY`].
pub fn hash_token(token: &str) -> String {
    let hasher = corianderstand_router::auth::Hasher::new(AUTH_KEY).expect("a well-formed key");
    hasher.hash(token).to_string()
}

impl Default for Plan {
    fn default() -> Self {
        let to_strings = |options: &[&str]| options.iter().map(|o| (*o).to_owned()).collect();
        Self {
            routers: 2,
            engines: 3,
            services: 1,
            engine_options: to_strings(&["--token-us", "2000", "--load-ms", "200"]),
            log_options: Vec::new(),
            host_list_options: Vec::new(),
            timing: json!({ "heartbeat_ms": 100, "silence_ms": 1000, "reconnect_ms": 200,
                "log_poll_ms": 500, "host_list_poll_ms": 200, "drain_ms": 30000, "grace_ms": 500 }),
            target_concurrency: None,
            statsd_address: Value::Null,
            limits: json!({}),
            use_relays: false,
            follow_routers: false,
            documents: documents(),
        }
    }
}

fn documents() -> Vec<(String, Value)> {
    let model = |memory: u64| {
        json!({ "memory_mib": memory, "versions": ["1", "2"],
        "load_ms": 500, "adapter_memory_mib": 500 })
    };
    let team = |key: &str, tail: u32, idle: u32| {
        json!({ "key_hashes": [hash_token(key)], "share": 300,
        "default_deadline_ms": 20000, "default_urgency": "normal",
        "weight_tail": tail, "weight_idle": idle })
    };
    let doc = |path: &str, value: Value| (path.to_owned(), value);
    vec![
        doc("system/deployment", json!({ "lease_ttl_ms": 1500 })),
        doc("shared/models/quotes-7b", model(16000)),
        doc("shared/models/rounds-3b", model(8000)),
        doc("shared/models/design-13b", model(30000)),
        doc(
            "shared/services/agenda",
            json!({ "unrepeatable": [
            { "method": "POST", "path_prefix": "/bookings" }], "timeout_ms": 10000 }),
        ),
        doc("teams/vidrio/team", team(VIDRIO_KEY, 80, 20)),
        doc(
            "teams/vidrio/models/quotes-7b",
            json!({ "replicas": 2,
            "adapters": [{ "name": "conce", "version": "1" }] }),
        ),
        doc("teams/vidrio/models/rounds-3b", json!({ "replicas": 1 })),
        doc("teams/vidrio/services/agenda", json!({ "path_prefixes": ["/"] })),
        doc("teams/hinokuni/team", team(HINOKUNI_KEY, 20, 80)),
        doc("teams/hinokuni/models/design-13b", json!({ "replicas": 1, "urgency": "low" })),
    ]
}
