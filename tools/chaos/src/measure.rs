//! Cost of non-repeatable calls: log appends, latency, memory, and refusals during a log outage.

use serde_json::json;
use std::{
    fs,
    time::{Duration, Instant},
};
use testbed::{
    Deployment, Plan,
    booking::{Answer, Booking},
    deployment::wait_for,
};

use corianderstand_schema::records::{Body, CallAnswer, CallKey, Record};
use corianderstand_state::fold::State;
use corianderstand_types::names::{ServiceId, TargetId, WorkspaceId};

const CALLS_PER_RUN: usize = 2_000;
const OUTAGE_CALLS: usize = 500;
const STORED_KEYS: u64 = 50_000;
const STORED_ANSWER_BYTES: usize = 120;
const CALL_DEADLINE_MS: u64 = 5_000;

struct Latencies(Vec<Duration>);

impl Latencies {
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let index = ((self.0.len() - 1) as f64 * quantile) as usize;
        self.0[index].as_secs_f64() * 1000.0
    }
}

/// Sends `calls` bookings from concurrent callers. Returns sorted latencies and all answers.
async fn send_bookings(
    deployment: &Deployment,
    path: &str,
    prefix: &str,
    callers: usize,
    calls: usize,
) -> (Latencies, Vec<Answer>) {
    let mut tasks = Vec::new();
    for caller in 0..callers {
        let (http, prefix) = (deployment.http.clone(), prefix.to_owned());
        let url = deployment.url(&format!("router-{}", caller % deployment.plan.routers), path);
        tasks.push(tokio::spawn(async move {
            let mut results = Vec::new();
            for number in 0..calls / callers {
                let booking =
                    Booking::new(&format!("{prefix}-{caller}-{number}"), CALL_DEADLINE_MS);
                let started_at = Instant::now();
                let answer = booking.send(&http, url.clone()).await;
                results.push((started_at.elapsed(), answer));
            }
            results
        }));
    }
    let (mut latencies, mut answers) = (Vec::new(), Vec::new());
    for task in tasks {
        for (latency, answer) in task.await.unwrap_or_default() {
            latencies.push(latency);
            answers.extend(answer);
        }
    }
    latencies.sort();
    (Latencies(latencies), answers)
}

async fn log_counts(deployment: &Deployment) -> (u64, u64, u64) {
    let counters = deployment.counters("log").await;
    let count = |name: &str| counters[name].as_u64().unwrap_or_default();
    (count("appends"), count("records"), count("bytes_in"))
}

pub async fn run() {
    let deployment = Deployment::start(Plan { services: 2, engines: 2, ..Plan::default() }).await;
    let warm = Booking::new("warm", CALL_DEADLINE_MS);
    wait_for("the first booking", async || {
        warm.send_via(&deployment, "router-0").await.is_some_and(|answer| answer.outcome == "ran")
    })
    .await;
    for callers in [1, 16, 64] {
        let calls = if callers == 1 { CALLS_PER_RUN / 4 } else { CALLS_PER_RUN };
        let (unkeyed, _) =
            send_bookings(&deployment, "/services/agenda/rounds", "plain", callers, calls).await;
        let before = log_counts(&deployment).await;
        let started_at = Instant::now();
        let prefix = format!("once-{callers}");
        let path = "/services/agenda/bookings";
        let (keyed, answers) = send_bookings(&deployment, path, &prefix, callers, calls).await;
        let rate = keyed.0.len() as f64 / started_at.elapsed().as_secs_f64();
        let after = log_counts(&deployment).await;
        let per_call = |a: u64, b: u64| (a - b) as f64 / keyed.0.len() as f64;
        let ran = answers.iter().filter(|answer| answer.outcome == "ran").count();
        println!(
            "{callers} callers: {ran} of {} ran, {rate:.0}/s; p50 {:.1} ms, p99 {:.1} ms; \
             without a key p50 {:.1} ms, p99 {:.1} ms; \
             {:.2} appends, {:.2} records, {:.0} bytes a call",
            keyed.0.len(),
            keyed.quantile_ms(0.5),
            keyed.quantile_ms(0.99),
            unkeyed.quantile_ms(0.5),
            unkeyed.quantile_ms(0.99),
            per_call(after.0, before.0),
            per_call(after.1, before.1),
            per_call(after.2, before.2),
        );
    }
    measure_outage(&deployment).await;
    measure_memory();
}

async fn measure_outage(deployment: &Deployment) {
    deployment.inject_fault("log", &json!({ "down": true })).await;
    let path = "/services/agenda/bookings";
    let (latencies, answers) = send_bookings(deployment, path, "outage", 16, OUTAGE_CALLS).await;
    let count = |outcome: &str| answers.iter().filter(|a| a.outcome == outcome).count();
    println!(
        "log down: {} answered, {} not run, {} unknown, {} ran; p50 {:.1} ms, p99 {:.1} ms, longest {:.0} ms",
        answers.len(),
        count("not-run"),
        count("unknown"),
        count("ran"),
        latencies.quantile_ms(0.5),
        latencies.quantile_ms(0.99),
        latencies.quantile_ms(1.0),
    );
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

fn record(sequence: u64, body: Body) -> Record {
    Record { writer: "agent-service-0".into(), incarnation: 1, sequence, body }
}

fn measure_memory() {
    let before = resident_kib();
    let mut state = State::default();
    for number in 0..STORED_KEYS {
        let key = CallKey {
            team: WorkspaceId::new("vidrio").expect("the name is valid"),
            service: ServiceId::new("agenda").expect("the name is valid"),
            key: format!("018f3b2c-4d5e-7abc-8def-{number:012x}").into(),
        };
        let target = TargetId("service-0".into());
        let claim = 2 * number + 1;
        let claimed = Body::Claimed { key: key.clone(), digest: number, target };
        state.apply(claim, claim, &record(claim, claimed));
        let body = Some(vec![b'x'; STORED_ANSWER_BYTES]);
        let answer = CallAnswer { status: 200, content_type: "application/json".into(), body };
        let ended = Body::CallEnded { key, claim, answer: Some(answer) };
        state.apply(claim + 1, claim + 1, &record(claim + 1, ended));
    }
    let used_bytes = (resident_kib() - before) * 1024;
    println!(
        "memory: {} keys with answers of {STORED_ANSWER_BYTES} bytes take {} bytes each",
        state.calls.len(),
        used_bytes / STORED_KEYS
    );
}
