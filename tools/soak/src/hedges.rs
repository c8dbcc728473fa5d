//! Second requests for late answers: operators limit them, over all routers.

use crate::callers::{RequestKind, RequestRecord};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

/// What routers logged of their second requests.
#[derive(Debug, Default)]
pub struct Hedges {
    /// How often each end was logged, and each reason why none was sent.
    ends: BTreeMap<String, usize>,
    /// Requests that may be repeated and second requests, by router.
    by_router: BTreeMap<usize, (usize, usize)>,
}

impl Hedges {
    /// Counts what routers logged for the requests of callers.
    pub fn read(requests: &[RequestRecord], log_dir: &Path) -> Self {
        let mut hedges = Self::default();
        for request in requests.iter().filter(|request| request.kind == RequestKind::Look) {
            hedges.by_router.entry(request.router_index).or_default().0 += 1;
        }
        let ids: BTreeSet<&str> = requests.iter().map(|request| request.id.as_str()).collect();
        for (router, (_, sent)) in &mut hedges.by_router {
            let text = fs::read_to_string(log_dir.join(format!("router-{router}.log")));
            for line in text.unwrap_or_default().lines() {
                let Ok(line) = serde_json::from_str::<Value>(line) else { continue };
                let field = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or_default();
                if !ids.contains(field("id")) {
                    continue;
                }
                match field("message") {
                    "sent to a second target" => *sent += 1,
                    "second request ended" => {
                        *hedges.ends.entry(field("result").to_owned()).or_default() += 1;
                    }
                    "no second request" => {
                        *hedges.ends.entry(field("why").to_owned()).or_default() += 1;
                    }
                    _ => {}
                }
            }
        }
        hedges
    }

    /// Number of second requests of all routers.
    pub fn sent(&self) -> usize {
        self.by_router.values().map(|(_, sent)| sent).sum()
    }

    /// How second requests ended, and why none were sent.
    pub const fn ends(&self) -> &BTreeMap<String, usize> {
        &self.ends
    }

    /// A violation if routers sent more than the share that operators allow, together or one of them.
    pub fn violation(&self, percent: f64) -> Option<String> {
        let is_beyond =
            |requests: usize, sent: usize| sent as f64 > requests as f64 * percent / 100.0;
        let requests = self.by_router.values().map(|(requests, _)| requests).sum();
        let is_any_beyond =
            self.by_router.values().any(|(requests, sent)| is_beyond(*requests, *sent));
        (is_any_beyond || is_beyond(requests, self.sent())).then(|| {
            let by_router = &self.by_router;
            format!("second requests beyond {percent}%, (requests, second ones) by router: {by_router:?}")
        })
    }
}
