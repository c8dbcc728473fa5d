//! A simulated weight store with limited rate and concurrency.

use crate::serve::{self, ApiRequest, Endpoint, Reply};
use corianderstand_edge::weights::StoreReport;
use futures::FutureExt;
use getopts::Matches;
use salvo::Router;
use serde::Deserialize;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::time::{self, Instant};

/// Injected faults.
#[derive(Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Factor by which fetches take longer.
    slow: f64,
    /// Fetches fail with status 503.
    down: bool,
}

impl Default for Fault {
    fn default() -> Self {
        Self { slow: 1.0, down: false }
    }
}

struct Store {
    full_speed_fetches: u32,
    fetch_start_interval: Duration,
    inner: Mutex<StoreState>,
}

struct StoreState {
    report: StoreReport,
    next_fetch_start: Instant,
    fault: Fault,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.inner.lock().expect("no holder of this lock panics")
    }
}

async fn fetch(store: Arc<Store>, req: ApiRequest) -> Reply {
    let fetch_ms: u64 = req.param("ms");
    let start = {
        let mut inner = store.lock();
        if inner.fault.down {
            return Reply::text(503, "the store is down");
        }
        let start = inner.next_fetch_start.max(Instant::now());
        inner.next_fetch_start = start + store.fetch_start_interval;
        start
    };
    time::sleep_until(start).await;
    let slowdown = {
        let mut inner = store.lock();
        inner.report.begun += 1;
        inner.report.running += 1;
        let contention =
            (f64::from(inner.report.running) / f64::from(store.full_speed_fetches)).max(1.0);
        if contention > 1.0 {
            inner.report.throttled += 1;
        }
        contention * inner.fault.slow
    };
    time::sleep(Duration::from_millis(fetch_ms).mul_f64(slowdown)).await;
    store.lock().report.running -= 1;
    Reply::text(200, "fetched")
}

async fn report(store: Arc<Store>, _req: ApiRequest) -> Reply {
    Reply::json(&store.lock().report)
}

async fn set_fault(store: Arc<Store>, req: ApiRequest) -> Reply {
    match req.json() {
        Ok(fault) => {
            store.lock().fault = fault;
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

pub async fn run(matches: &Matches) -> Result<(), String> {
    let rate: f64 = serve::parse_option(matches, "rate", 2.0)?;
    let store = Arc::new(Store {
        full_speed_fetches: serve::parse_option(matches, "concurrent", 4)?,
        fetch_start_interval: Duration::from_secs_f64(1.0 / rate),
        inner: Mutex::new(StoreState {
            report: StoreReport::default(),
            next_fetch_start: Instant::now(),
            fault: Fault::default(),
        }),
    });
    let routes = Router::new()
        .push(Router::with_path("fetch").get(Endpoint(store.clone(), |s, r| fetch(s, r).boxed())))
        .push(Router::with_path("report").get(Endpoint(store.clone(), |s, r| report(s, r).boxed())))
        .push(Router::with_path("fault").post(Endpoint(store, |s, r| set_fault(s, r).boxed())));
    serve::serve(&serve::listen_address(matches)?, routes).await
}
