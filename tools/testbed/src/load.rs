//! Closed-loop load from callers behind a readiness-polling load balancer.

use crate::{
    booking::Booking,
    plan::{HINOKUNI_KEY, VIDRIO_KEY},
};
use serde_json::json;
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinHandle, time};

const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause of a caller between a response and its next request.
const THINK_TIME: Duration = Duration::from_millis(20);
const REQUEST_DEADLINE_MS: u64 = 20_000;

/// Results of all callers.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Number of complete model responses.
    pub completions: usize,
    /// Number of executed bookings.
    pub bookings: usize,
    /// Descriptions of all failed requests.
    pub errors: Vec<String>,
}

struct LoadState {
    http: reqwest::Client,
    routers: Vec<String>,
    ready_routers: Mutex<Vec<String>>,
    report: Mutex<LoadReport>,
    stop: AtomicBool,
}

/// Running callers and the results of their requests.
pub struct LoadGenerator {
    shared: Arc<LoadState>,
    tasks: Vec<JoinHandle<()>>,
}

impl LoadGenerator {
    /// Starts callers against the routers; half request completions, half send bookings.
    pub fn start(routers: Vec<String>, caller_count: usize) -> Self {
        let shared = Arc::new(LoadState {
            http: reqwest::Client::builder().no_proxy().build().expect("a plain client"),
            ready_routers: Mutex::new(routers.clone()),
            routers,
            report: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let mut tasks = vec![tokio::spawn(poll_readiness(shared.clone()))];
        tasks.extend(
            (0..caller_count)
                .map(|caller_index| tokio::spawn(run_caller(shared.clone(), caller_index))),
        );
        Self { shared, tasks }
    }

    /// Results so far.
    pub fn report(&self) -> LoadReport {
        self.shared.report.lock().expect("no holder of this lock panics").clone()
    }

    /// Stops all callers after their current request and returns the results.
    pub async fn finish(self) -> LoadReport {
        self.shared.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            drop(task.await);
        }
        self.shared.report.lock().expect("no holder of this lock panics").clone()
    }
}

async fn poll_readiness(shared: Arc<LoadState>) {
    while !shared.stop.load(Ordering::Relaxed) {
        let mut ready = Vec::new();
        for router in &shared.routers {
            let poll = shared
                .http
                .get(format!("http://{router}/readyz"))
                .timeout(READINESS_POLL_INTERVAL * 10);
            if poll.send().await.is_ok_and(|answer| answer.status().is_success()) {
                ready.push(router.clone());
            }
        }
        *shared.ready_routers.lock().expect("no holder of this lock panics") = ready;
        time::sleep(READINESS_POLL_INTERVAL).await;
    }
}

async fn run_caller(shared: Arc<LoadState>, caller_index: usize) {
    let mut sequence = caller_index;
    while !shared.stop.load(Ordering::Relaxed) {
        let router = {
            let ready = shared.ready_routers.lock().expect("no holder of this lock panics");
            ready.get(sequence % ready.len().max(1)).cloned()
        };
        sequence += 1;
        if let Some(router) = router {
            let result = if caller_index.is_multiple_of(2) {
                request_completion(&shared.http, &router, caller_index).await.map(|()| true)
            } else {
                request_booking(&shared.http, &router, &format!("load-{caller_index}-{sequence}"))
                    .await
                    .map(|()| false)
            };
            let mut report = shared.report.lock().expect("no holder of this lock panics");
            match result {
                Ok(true) => report.completions += 1,
                Ok(false) => report.bookings += 1,
                Err(error) => report.errors.push(error),
            }
        }
        time::sleep(THINK_TIME).await;
    }
}

async fn request_completion(
    http: &reqwest::Client,
    router: &str,
    caller_index: usize,
) -> Result<(), String> {
    let (model, key) = match caller_index % 3 {
        0 => ("design-13b", HINOKUNI_KEY),
        1 => ("quotes-7b", VIDRIO_KEY),
        _ => ("rounds-3b", VIDRIO_KEY),
    };
    let body = json!({ "model": model, "prompt": "stripes", "max_tokens": 40, "stream": true });
    let req = http.post(format!("http://{router}/v1/completions")).bearer_auth(key).json(&body);
    let answer = req.header("x-deadline-ms", REQUEST_DEADLINE_MS).send().await;
    let answer = answer.map_err(|error| format!("{model}: {error:?}"))?;
    let text = answer.text().await.map_err(|error| format!("{model}: {error:?}"))?;
    if text.contains("[DONE]") { Ok(()) } else { Err(format!("{model}: {text}")) }
}

async fn request_booking(http: &reqwest::Client, router: &str, key: &str) -> Result<(), String> {
    let url = format!("http://{router}/services/agenda/bookings");
    match Booking::new(key, REQUEST_DEADLINE_MS).send(http, url).await {
        Some(answer) if answer.outcome == "ran" => Ok(()),
        Some(answer) => Err(format!("{key}: {answer:?}")),
        None => Err(format!("{key}: no answer")),
    }
}
