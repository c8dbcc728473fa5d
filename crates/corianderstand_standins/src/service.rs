//! A simulated plain service that counts the calls it executed.

use crate::serve::{self, ApiRequest, Endpoint, Reply};
use futures::FutureExt;
use getopts::Matches;
use salvo::Router;
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time;

/// Injected faults.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Delay before a call takes effect.
    before_ms: u64,
    /// Delay between a call's effect and its response.
    after_ms: u64,
    /// Responds with status 201 and plain text instead of 200 and JSON.
    plain: bool,
}

#[derive(Default)]
struct Service {
    inner: Mutex<ServiceState>,
}

#[derive(Default)]
struct ServiceState {
    execution_count: u64,
    executions_by_key: BTreeMap<String, u64>,
    fault: Fault,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.inner.lock().expect("no holder of this lock panics")
    }
}

async fn call(service: Arc<Service>, req: ApiRequest) -> Reply {
    let fault = service.lock().fault;
    time::sleep(Duration::from_millis(fault.before_ms)).await;
    let key: String = req.header("idempotency-key");
    let execution_count = {
        let mut inner = service.lock();
        inner.execution_count += 1;
        *inner.executions_by_key.entry(key.clone()).or_default() += 1;
        inner.execution_count
    };
    time::sleep(Duration::from_millis(fault.after_ms)).await;
    if fault.plain {
        let text = format!("booked as number {execution_count}");
        return Reply::Complete(201, "text/plain", text.into_bytes().into());
    }
    let body = String::from_utf8_lossy(&req.body).into_owned();
    let traceparent: String = req.header("traceparent");
    Reply::json(
        &json!({ "ran": execution_count, "key": key, "method": req.method, "path": req.path,
        "body": body, "traceparent": traceparent }),
    )
}

async fn counts(service: Arc<Service>, _req: ApiRequest) -> Reply {
    let inner = service.lock();
    Reply::json(&json!({ "ran": inner.execution_count, "by_key": inner.executions_by_key }))
}

async fn set_fault(service: Arc<Service>, req: ApiRequest) -> Reply {
    match req.json() {
        Ok(fault) => {
            service.lock().fault = fault;
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

pub async fn run(matches: &Matches) -> Result<(), String> {
    let service = Arc::<Service>::default();
    let endpoint = |operation| Endpoint(service.clone(), operation);
    let routes = Router::new()
        .push(Router::with_path("counts").get(endpoint(|s, r| counts(s, r).boxed())))
        .push(Router::with_path("fault").post(endpoint(|s, r| set_fault(s, r).boxed())))
        .push(Router::with_path("{**rest}").goal(endpoint(|s, r| call(s, r).boxed())));
    serve::serve(&serve::listen_address(matches)?, routes).await
}
