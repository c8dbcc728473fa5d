//! `GET /internal/read?from=&max=&wait_ms=`: serves log reads to followers of this router.

use crate::problem;
use corianderstand_control::relay::{RecordTail, RelayError};
use salvo::{Request, Response, http::StatusCode};
use std::time::Duration;

const MAX_RECORDS: u32 = 1024;

pub async fn answer(tail: &RecordTail, req: &mut Request, res: &mut Response) {
    let number = |name: &str| req.query::<u64>(name).unwrap_or_default();
    let max = u32::try_from(number("max")).map_or(MAX_RECORDS, |max| max.min(MAX_RECORDS));
    let wait = Duration::from_millis(number("wait_ms"));
    match tail.read(number("from"), max, wait).await {
        Ok(page) => {
            problem::set_header(res, "content-type", "application/json");
            drop(res.write_body(serde_json::to_vec(&page).expect("a page is plain data")));
        }
        Err(error) => write_error(error, res),
    }
}

fn write_error(error: RelayError, res: &mut Response) {
    let status = match error {
        RelayError::Gone => StatusCode::GONE,
        RelayError::Stale | RelayError::Busy(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    if let RelayError::Busy(after) = error {
        problem::set_header(res, "retry-after", &after.as_secs().max(1).to_string());
    }
    res.status_code(status);
    drop(res.write_body(error.to_string()));
}
