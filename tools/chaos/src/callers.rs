//! Sends the requests of one round and collects the responses.

use crate::tally::Tally;
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};
use testbed::{
    Deployment,
    booking::{Answer, Booking},
    deployment::wait_for,
    plan::HINOKUNI_KEY,
};
use tokio::{task::JoinHandle, time};

const PROMPTS: [&str; 2] = ["stripes on the sleeve", "a red collar"];
const TOKENS_PER_STREAM: usize = 40;

/// Complete stream for each prompt, recorded before any fault is injected.
pub struct ReferenceAnswers(Vec<Vec<String>>);

enum StreamOutcome {
    Refused,
    Disconnected,
    Text(String),
}

async fn request_stream(http: reqwest::Client, url: String, prompt: &'static str) -> StreamOutcome {
    let body = json!({ "model": "design-13b", "prompt": prompt, "max_tokens": TOKENS_PER_STREAM,
        "stream": true });
    let answer = http.post(url).bearer_auth(HINOKUNI_KEY).json(&body).send().await;
    match answer {
        Err(_) => StreamOutcome::Disconnected,
        Ok(answer) if !answer.status().is_success() => StreamOutcome::Refused,
        Ok(answer) => answer.text().await.map_or(StreamOutcome::Disconnected, StreamOutcome::Text),
    }
}

/// Extracts the token texts of a server-sent event stream, in order.
fn stream_tokens(text: &str) -> Vec<String> {
    let events = text.split("\n\n").filter(|event| event.starts_with("id: "));
    let data = events.filter_map(|event| event.split_once("data: "));
    let values = data.filter_map(|(_, data)| serde_json::from_str::<Value>(data).ok());
    values.filter_map(|v| v["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}

impl ReferenceAnswers {
    /// Sends each prompt until its stream completes.
    pub async fn record(deployment: &Deployment) -> Self {
        let mut reference = Vec::new();
        for prompt in PROMPTS {
            let mut answer = Vec::new();
            wait_for("a complete stream before any fault", async || {
                let url = deployment.url("router-0", "/v1/completions");
                if let StreamOutcome::Text(text) =
                    request_stream(deployment.http.clone(), url, prompt).await
                {
                    answer = stream_tokens(&text);
                }
                answer.len() == TOKENS_PER_STREAM
            })
            .await;
            reference.push(answer);
        }
        Self(reference)
    }
}

/// Answers to each booking by its key; `None` for a closed connection.
pub type AnswersByKey = BTreeMap<String, Vec<Option<Answer>>>;

/// Bookings and streams that one round has started.
#[derive(Default)]
pub struct InFlightRequests {
    bookings: Vec<(String, JoinHandle<Option<Answer>>)>,
    streams: Vec<(usize, JoinHandle<StreamOutcome>)>,
}

impl InFlightRequests {
    pub fn start_booking(
        &mut self,
        deployment: &Deployment,
        booking: &Booking,
        router_index: usize,
        delay: Duration,
    ) {
        let url = deployment.url(&format!("router-{router_index}"), "/services/agenda/bookings");
        let (http, booking) = (deployment.http.clone(), booking.clone());
        let key = booking.idempotency_key.clone();
        let request = async move {
            time::sleep(delay).await;
            booking.send(&http, url).await
        };
        self.bookings.push((key, tokio::spawn(request)));
    }

    pub fn start_stream(
        &mut self,
        deployment: &Deployment,
        stream_index: usize,
        router_index: usize,
    ) {
        let prompt = stream_index % PROMPTS.len();
        let url = deployment.url(&format!("router-{router_index}"), "/v1/completions");
        let request = request_stream(deployment.http.clone(), url, PROMPTS[prompt]);
        self.streams.push((prompt, tokio::spawn(request)));
    }

    /// Waits for all responses, records the streams and returns the bookings' answers.
    pub async fn finish(self, reference: &ReferenceAnswers, tally: &mut Tally) -> AnswersByKey {
        for (prompt, task) in self.streams {
            match task.await {
                Ok(StreamOutcome::Text(text)) => {
                    let is_complete = text.contains("[DONE]");
                    let has_error = text.contains("\"error\"");
                    tally.record_stream(
                        &stream_tokens(&text),
                        &reference.0[prompt],
                        is_complete,
                        has_error,
                    );
                }
                Ok(StreamOutcome::Refused) => tally.streams_refused += 1,
                Ok(StreamOutcome::Disconnected) | Err(_) => tally.streams_disconnected += 1,
            }
        }
        let mut answers = AnswersByKey::new();
        for (key, task) in self.bookings {
            answers.entry(key).or_default().push(task.await.unwrap_or_default());
        }
        answers
    }
}
