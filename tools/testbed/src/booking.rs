//! A client of the plain service `agenda`, which books under an idempotency key.

use crate::{Deployment, plan::VIDRIO_KEY};
use serde_json::{Value, json};
use std::time::Duration;

/// Client-side request timeout, longer than every deadline sent.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// A response as the caller receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `ran`, `not-run` or `unknown`; empty without the outcome header.
    pub outcome: String,
    /// `Content-Type` header.
    pub content_type: String,
    /// Seconds in `Retry-After`.
    pub retry_after: Option<u64>,
    /// Response body.
    pub body: String,
}

impl Answer {
    /// Error code of the router; empty if the service itself answered.
    pub fn error_code(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// A booking request.
#[derive(Clone, Debug)]
pub struct Booking {
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: String,
    /// Day booked; a different day makes a different body.
    pub day: u32,
    /// Deadline sent to the router, in milliseconds.
    pub deadline_ms: u64,
}

impl Booking {
    /// Creates a booking with a key and a deadline.
    pub fn new(idempotency_key: &str, deadline_ms: u64) -> Self {
        Self { idempotency_key: idempotency_key.to_owned(), day: 3, deadline_ms }
    }

    /// Sends the booking via a router; `None` without a complete response.
    pub async fn send_via(&self, deployment: &Deployment, router: &str) -> Option<Answer> {
        self.send(&deployment.http, deployment.url(router, "/services/agenda/bookings")).await
    }

    /// Sends the booking to a URL; `None` without a complete response.
    pub async fn send(&self, http: &reqwest::Client, url: String) -> Option<Answer> {
        let req = http.post(url).bearer_auth(VIDRIO_KEY).timeout(REQUEST_TIMEOUT);
        let req = req.header("idempotency-key", &self.idempotency_key);
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
    /// Number of times that the services executed the booking with this key.
    pub async fn execution_count(&self, idempotency_key: &str) -> u64 {
        let mut ran = 0;
        for i in 0..self.plan.services {
            let counts = self.counters(&format!("service-{i}")).await;
            ran += counts["by_key"][idempotency_key].as_u64().unwrap_or_default();
        }
        ran
    }
}
