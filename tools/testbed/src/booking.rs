//! A caller of the plain service `agenda`: books under a key and reads what it is told.

use crate::{Deployment, plan::VIDRIO_KEY};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest wait of a caller for any answer, well beyond every deadline that it names.
const CALLER_PATIENCE: Duration = Duration::from_secs(40);

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `ran`, `not-run` or `unknown`; empty if the header is missing.
    pub outcome: String,
    /// Content type.
    pub content_type: String,
    /// Seconds in `Retry-After`.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: String,
}

impl Answer {
    /// The error's code; empty for a service's own answer.
    pub fn code(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// One booking to ask for.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Its key.
    pub key: String,
    /// The day booked; another day is another body.
    pub day: u32,
    /// Deadline named to the router, in milliseconds.
    pub deadline_ms: u64,
}

impl Booking {
    /// A booking under a key with a deadline.
    pub fn new(key: &str, deadline_ms: u64) -> Self {
        Self { key: key.to_owned(), day: 3, deadline_ms }
    }

    /// Asks through a router; `None` if the connection broke before an answer came.
    pub async fn send_via(&self, deployment: &Deployment, router: &str) -> Option<Answer> {
        self.send(&deployment.http, deployment.url(router, "/services/agenda/bookings")).await
    }

    /// Asks at a URL; `None` if the connection broke before an answer came.
    pub async fn send(&self, http: &reqwest::Client, url: String) -> Option<Answer> {
        let req = http.post(url).bearer_auth(VIDRIO_KEY).timeout(CALLER_PATIENCE);
        let req = req.header("idempotency-key", &self.key);
        let req = req.header("x-deadline-ms", self.deadline_ms);
        let answer = req.json(&json!({ "day": self.day })).send().await.ok()?;
        let header = |name: &str| {
            let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Some(Answer {
            status: answer.status().as_u16(),
            outcome: header("x-corianderstand-outcome"),
            content_type: header("content-type"),
            retry_after: header("retry-after").parse().ok(),
            body: answer.text().await.ok()?,
        })
    }
}

impl Deployment {
    /// How often the services really ran the booking under a key.
    pub async fn execution_count(&self, key: &str) -> u64 {
        let mut ran = 0;
        for i in 0..self.plan.services {
            let counts = self.counters(&format!("service-{i}")).await;
            ran += counts["by_key"][key].as_u64().unwrap_or_default();
        }
        ran
    }
}
