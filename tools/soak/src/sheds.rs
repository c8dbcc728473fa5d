//! Times at which routers shed new connections, by their logs.
//!
//! A router whose timers are late, as its host is short of processors, closes new connections unread while others have
//! room. Its callers get no response, and nothing of theirs has run.

use crate::{callers::RequestRecord, logs};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    time::{Duration, Instant, SystemTime},
};

/// A router sheds connections only if its timers are at least as late, in milliseconds.
const MIN_DELAY_MS: u64 = 100;
/// A router that doesn't log the end has shed connections for no longer.
const MAX_TIME: Duration = Duration::from_secs(2);
const DAY: Duration = Duration::from_hours(24);

#[derive(Clone, Copy, Debug)]
struct Shed {
    started_at: Instant,
    ended_at: Instant,
}

/// When each router shed connections.
#[derive(Debug, Default)]
pub struct Sheds {
    by_router: BTreeMap<usize, Vec<Shed>>,
}

impl Sheds {
    /// Reads the logs of the routers that got requests.
    pub fn read(requests: &[RequestRecord], log_dir: &Path) -> Self {
        let now = (SystemTime::now(), Instant::now());
        let routers: BTreeSet<usize> =
            requests.iter().map(|request| request.router_index).collect();
        let read = |router: usize| {
            // Without its log nothing of the router is excused.
            let lines = logs::lines_of(router, log_dir).unwrap_or_default();
            (router, sheds_of(&lines, now))
        };
        Self { by_router: routers.into_iter().map(read).collect() }
    }

    /// Whether the request's router shed connections while the caller waited for it.
    pub fn excuse(&self, request: &RequestRecord) -> bool {
        let sheds = self.by_router.get(&request.router_index).map_or(&[][..], Vec::as_slice);
        sheds
            .iter()
            .any(|shed| request.started_at <= shed.ended_at && request.ended_at >= shed.started_at)
    }
}

fn sheds_of(lines: &[Value], now: (SystemTime, Instant)) -> Vec<Shed> {
    let mut sheds: Vec<Shed> = Vec::new();
    for line in lines {
        if logs::text(line, "message") != "new connections" {
            continue;
        }
        let Some(at) = instant_of(logs::text(line, "timestamp"), now) else { continue };
        let delay_ms = line.get("delay_ms").and_then(Value::as_u64).unwrap_or(0);
        match line.get("sheds").and_then(Value::as_bool) {
            Some(true) if delay_ms >= MIN_DELAY_MS => {
                sheds.push(Shed { started_at: at, ended_at: at + MAX_TIME });
            }
            Some(false) => {
                if let Some(shed) = sheds.last_mut() {
                    shed.ended_at = shed.ended_at.min(at);
                }
            }
            _ => {}
        }
    }
    sheds
}

/// The time of a log line of the last day, such as `2026-01-31T23:59:59.123456Z`.
fn instant_of(timestamp: &str, (now_wall, now): (SystemTime, Instant)) -> Option<Instant> {
    let time = timestamp.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = time.splitn(3, ':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let since_midnight = Duration::from_secs(hours * 3_600 + minutes * 60)
        + Duration::try_from_secs_f64(seconds).ok()?;
    let since_epoch = now_wall.duration_since(SystemTime::UNIX_EPOCH).ok()?;
    let now_since_midnight = since_epoch.as_secs_f64() % DAY.as_secs_f64();
    let ago = (now_since_midnight - since_midnight.as_secs_f64()).rem_euclid(DAY.as_secs_f64());
    now.checked_sub(Duration::try_from_secs_f64(ago).ok()?)
}
