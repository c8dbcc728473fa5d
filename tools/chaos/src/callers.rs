//! Callers of one round, and what they are told.

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
const TOKENS: usize = 40;

/// Whole answers as they were before any fault.
pub struct Kept(Vec<Vec<String>>);

/// What came of a stream.
enum Streamed {
    Refused,
    Broken,
    Text(String),
}

async fn stream(http: reqwest::Client, url: String, prompt: &'static str) -> Streamed {
    let body = json!({ "model": "design-13b", "prompt": prompt, "max_tokens": TOKENS,
        "stream": true });
    let answer = http.post(url).bearer_auth(HINOKUNI_KEY).json(&body).send().await;
    match answer {
        Err(_) => Streamed::Broken,
        Ok(answer) if !answer.status().is_success() => Streamed::Refused,
        Ok(answer) => answer.text().await.map_or(Streamed::Broken, Streamed::Text),
    }
}

/// The texts of all token events, in order.
fn tokens(text: &str) -> Vec<String> {
    let events = text.split("\n\n").filter(|event| event.starts_with("id: "));
    let data = events.filter_map(|event| event.split_once("data: "));
    let values = data.filter_map(|(_, data)| serde_json::from_str::<Value>(data).ok());
    values.filter_map(|v| v["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}

impl Kept {
    /// Asks each prompt until its answer is whole.
    pub async fn read(deployment: &Deployment) -> Self {
        let mut kept = Vec::new();
        for prompt in PROMPTS {
            let mut answer = Vec::new();
            wait_for("an answer before any fault", async || {
                let url = deployment.url("router-0", "/v1/completions");
                if let Streamed::Text(text) = stream(deployment.http.clone(), url, prompt).await {
                    answer = tokens(&text);
                }
                answer.len() == TOKENS
            })
            .await;
            kept.push(answer);
        }
        Self(kept)
    }
}

/// Answers by key; `None` where the connection broke.
pub type Answers = BTreeMap<String, Vec<Option<Answer>>>;

/// All that is asked in one round.
#[derive(Default)]
pub struct Asked {
    bookings: Vec<(String, JoinHandle<Option<Answer>>)>,
    streams: Vec<(usize, JoinHandle<Streamed>)>,
}

impl Asked {
    /// Asks for a booking after a pause.
    pub fn book(
        &mut self,
        deployment: &Deployment,
        booking: &Booking,
        router: usize,
        after: Duration,
    ) {
        let url = deployment.url(&format!("router-{router}"), "/services/agenda/bookings");
        let (http, booking) = (deployment.http.clone(), booking.clone());
        let key = booking.key.clone();
        let asked = async move {
            time::sleep(after).await;
            booking.send(&http, url).await
        };
        self.bookings.push((key, tokio::spawn(asked)));
    }

    /// Asks for a stream.
    pub fn stream(&mut self, deployment: &Deployment, number: usize, router: usize) {
        let prompt = number % PROMPTS.len();
        let url = deployment.url(&format!("router-{router}"), "/v1/completions");
        let asked = stream(deployment.http.clone(), url, PROMPTS[prompt]);
        self.streams.push((prompt, tokio::spawn(asked)));
    }

    /// Waits for all answers and judges the streams.
    pub async fn finish(self, kept: &Kept, tally: &mut Tally) -> Answers {
        for (prompt, task) in self.streams {
            match task.await {
                Ok(Streamed::Text(text)) => {
                    let whole = text.contains("[DONE]");
                    let explicit = text.contains("\"error\"");
                    tally.stream(&tokens(&text), &kept.0[prompt], whole, explicit);
                }
                Ok(Streamed::Refused) => tally.streams_refused += 1,
                Ok(Streamed::Broken) | Err(_) => tally.streams_broken += 1,
            }
        }
        let mut answers = Answers::new();
        for (key, task) in self.bookings {
            answers.entry(key).or_default().push(task.await.unwrap_or_default());
        }
        answers
    }
}
