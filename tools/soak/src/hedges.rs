//! Second requests for late answers: operators limit them, over all routers.

use crate::{
    callers::{RequestKind, RequestRecord},
    logs,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
};

/// What routers logged of their second requests.
#[derive(Debug, Default)]
pub struct Hedges {
    /// How often each end was logged, and each reason why none was sent.
    ends: BTreeMap<String, usize>,
    /// Requests that may be repeated and second requests, by router.
    by_router: BTreeMap<usize, (usize, usize)>,
    /// Routers whose lines could not be read, or were left out.
    unread: BTreeSet<usize>,
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
            let Ok(lines) = logs::lines_of(*router, log_dir) else {
                hedges.unread.insert(*router);
                continue;
            };
            for line in &lines {
                let message = logs::text(line, "message");
                if message == "log lines suppressed" && logs::text(line, "kind") == "Hedge" {
                    hedges.unread.insert(*router);
                }
                if !ids.contains(logs::text(line, "id")) {
                    continue;
                }
                let end = match message {
                    "sent to a second target" => {
                        *sent += 1;
                        continue;
                    }
                    "second request ended" => logs::text(line, "result"),
                    "no second request" => logs::text(line, "why"),
                    _ => continue,
                };
                *hedges.ends.entry(end.to_owned()).or_default() += 1;
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

    /// A violation if routers sent more than the share that operators allow, together or one of them, or if their
    /// logs don't tell.
    pub fn violation(&self, percent: f64) -> Option<String> {
        if percent > 0.0 && !self.unread.is_empty() {
            return Some(format!(
                "second requests unknown, by the logs of routers {:?}",
                self.unread
            ));
        }
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
