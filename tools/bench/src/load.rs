//! Callers in a closed loop: each begins its next stream when the last has ended.

use futures::{StreamExt, future};
use hdrhistogram::Histogram;
use reqwest::RequestBuilder;
use std::time::{Duration, Instant};

/// Longest time that is recorded, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What the callers saw.
pub struct Seen {
    /// Time to the first part of a stream, in microseconds.
    pub first: Histogram<u64>,
    /// Parts of answers.
    pub chunks: u64,
    /// Whole answers.
    pub whole: u64,
    /// Requests that were refused or broke off.
    pub failed: u64,
    /// How long it took.
    pub took: Duration,
}

impl Seen {
    fn new() -> Self {
        let first = Histogram::new_with_max(LONGEST_US, 3).expect("the bounds are valid");
        Self { first, chunks: 0, whole: 0, failed: 0, took: Duration::ZERO }
    }

    fn add(&mut self, other: &Self) {
        self.first.add(&other.first).expect("the bounds are the same");
        self.chunks += other.chunks;
        self.whole += other.whole;
        self.failed += other.failed;
    }

    /// A percentile of the time to the first part, in microseconds.
    pub fn percentile(&self, quantile: f64) -> u64 {
        self.first.value_at_quantile(quantile)
    }
}

/// Runs `callers` callers until `until` and lets each end its last stream.
pub async fn run<F>(callers: usize, until: Duration, request: F) -> Seen
where
    F: Fn(usize) -> RequestBuilder + Clone + Send + Sync + 'static,
{
    let began = Instant::now();
    let tasks = (0..callers).map(|caller| {
        let request = request.clone();
        tokio::spawn(async move {
            let mut seen = Seen::new();
            while began.elapsed() < until {
                one(request(caller), &mut seen).await;
            }
            seen
        })
    });
    let mut all = Seen::new();
    for seen in future::join_all(tasks).await {
        all.add(&seen.expect("callers do not panic"));
    }
    all.took = began.elapsed();
    all
}

async fn one(request: RequestBuilder, seen: &mut Seen) {
    let began = Instant::now();
    let answer = match request.send().await {
        Ok(answer) if answer.status().is_success() => answer,
        _ => {
            seen.failed += 1;
            return;
        }
    };
    let mut stream = answer.bytes_stream();
    let (mut is_first, mut is_whole) = (true, false);
    while let Some(Ok(bytes)) = stream.next().await {
        if is_first {
            seen.first.saturating_record(began.elapsed().as_micros() as u64);
            is_first = false;
        }
        seen.chunks += bytes.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
        is_whole |= bytes.ends_with(b"[DONE]\n\n");
    }
    if is_whole {
        seen.whole += 1;
    } else {
        seen.failed += 1;
    }
}
