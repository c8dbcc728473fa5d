//! Compares what routers log of the requests that they send once more with what reaches the targets.

use crate::{callers::RequestRecord, leavings::Restart, logs};
use corianderstand_platform_standins::ledger::Ledger;
use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    time::Duration,
};

/// Lines that a router wrote so shortly before it was killed may be lost.
const LOST_LINES_TIME: Duration = Duration::from_secs(2);

/// What a router logged of its retries.
#[derive(Debug, Default)]
struct RetryLog {
    /// Retries that were granted, by request.
    granted: BTreeMap<String, usize>,
    /// Whether lines were left out.
    is_incomplete: bool,
}

impl RetryLog {
    fn read(router: usize, log_dir: &Path) -> Self {
        let Ok(lines) = logs::lines_of(router, log_dir) else {
            return Self { is_incomplete: true, ..Self::default() };
        };
        let mut log = Self { is_incomplete: lines.is_empty(), ..Self::default() };
        for line in &lines {
            match logs::text(line, "message") {
                "retry" if logs::text(line, "outcome") == "granted" => {
                    *log.granted.entry(logs::text(line, "id").to_owned()).or_default() += 1;
                }
                "log lines suppressed" => log.is_incomplete |= logs::text(line, "kind") == "Retry",
                _ => {}
            }
        }
        log
    }
}

/// Result of the comparison.
#[derive(Debug, Default)]
pub struct Compared {
    /// Arrivals beyond the first of their request that were compared.
    pub repeats: usize,
    pub violations: Vec<String>,
}

/// Checks that each arrival beyond the first of its request was granted by the request's router, unless the router was
/// killed or frozen at the time.
pub fn compare(
    requests: &[RequestRecord],
    ledger: &Ledger,
    restarts: &[Restart],
    log_dir: &Path,
) -> Compared {
    let routers: BTreeSet<usize> = requests.iter().map(|request| request.router_index).collect();
    let logs: BTreeMap<usize, RetryLog> =
        routers.into_iter().map(|router| (router, RetryLog::read(router, log_dir))).collect();
    let mut arrivals: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in ledger.arrivals() {
        *arrivals.entry(arrival.id).or_default() += 1;
    }
    let mut compared = Compared::default();
    for request in requests {
        let router = request.router_index;
        let (from, to) = (request.started_at, request.ended_at + LOST_LINES_TIME);
        let log = &logs[&router];
        if log.is_incomplete || restarts.iter().any(|restart| restart.excuses(router, from, to)) {
            continue;
        }
        let repeats = arrivals.get(&request.id).map_or(0, |count| count.saturating_sub(1));
        let granted = log.granted.get(&request.id).copied().unwrap_or(0);
        compared.repeats += repeats;
        if repeats > granted {
            compared.violations.push(format!(
                "{repeats} arrivals beyond the first, router {router} granted {granted}: {}",
                request.id
            ));
        }
    }
    compared
}
