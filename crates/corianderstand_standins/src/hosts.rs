//! A simulated host list whose updates become visible after a lag.

use crate::serve::{self, ApiRequest, Endpoint, Reply};
use corianderstand_edge::hosts::HostEntry;
use futures::FutureExt;
use getopts::Matches;
use salvo::Router;
use serde::Deserialize;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Injected faults.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    /// Requests fail with status 503.
    down: bool,
    /// The list is empty.
    empty: bool,
}

struct HostList {
    visibility_lag: Duration,
    inner: Mutex<HostListState>,
}

#[derive(Default)]
struct HostListState {
    published_lists: Vec<(Instant, Vec<HostEntry>)>,
    fault: Fault,
}

impl HostList {
    fn lock(&self) -> MutexGuard<'_, HostListState> {
        self.inner.lock().expect("no holder of this lock panics")
    }
}

async fn get_hosts(list: Arc<HostList>, _req: ApiRequest) -> Reply {
    let inner = list.lock();
    if inner.fault.down {
        return Reply::text(503, "the host list is down");
    }
    let visible = inner
        .published_lists
        .iter()
        .rev()
        .find(|(published_at, _)| published_at.elapsed() >= list.visibility_lag);
    let visible = visible.or(inner.published_lists.first()).filter(|_| !inner.fault.empty);
    Reply::json(&visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default())
}

async fn put_hosts(list: Arc<HostList>, req: ApiRequest) -> Reply {
    match req.json::<Vec<HostEntry>>() {
        Ok(hosts) => {
            list.lock().published_lists.push((Instant::now(), hosts));
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

async fn set_fault(list: Arc<HostList>, req: ApiRequest) -> Reply {
    match req.json() {
        Ok(fault) => {
            list.lock().fault = fault;
            Reply::text(200, "set")
        }
        Err(reply) => reply,
    }
}

pub async fn run(matches: &Matches) -> Result<(), String> {
    let visibility_lag = Duration::from_millis(serve::parse_option(matches, "lag-ms", 0)?);
    let list = Arc::new(HostList { visibility_lag, inner: Mutex::default() });
    let hosts_route = Router::with_path("hosts")
        .get(Endpoint(list.clone(), |s, r| get_hosts(s, r).boxed()))
        .put(Endpoint(list.clone(), |s, r| put_hosts(s, r).boxed()));
    let routes = Router::new()
        .push(hosts_route)
        .push(Router::with_path("fault").post(Endpoint(list, |s, r| set_fault(s, r).boxed())));
    serve::serve(&serve::listen_address(matches)?, routes).await
}
