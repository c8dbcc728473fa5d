//! Closed-loop load generator: each caller starts a stream once its previous one has ended.

use futures::{StreamExt, future};
use hdrhistogram::Histogram;
use reqwest::RequestBuilder;
use std::time::{Duration, Instant};

const MAX_LATENCY_US: u64 = 60_000_000;

pub struct LoadResult {
    pub first_chunk_us: Histogram<u64>,
    pub chunks: u64,
    pub completed: u64,
    /// Requests that were refused or did not complete.
    pub failed: u64,
    pub elapsed: Duration,
}

impl LoadResult {
    fn new() -> Self {
        let first_chunk_us =
            Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid");
        Self { first_chunk_us, chunks: 0, completed: 0, failed: 0, elapsed: Duration::ZERO }
    }

    fn merge(&mut self, other: &Self) {
        self.first_chunk_us.add(&other.first_chunk_us).expect("the bounds are the same");
        self.chunks += other.chunks;
        self.completed += other.completed;
        self.failed += other.failed;
    }

    pub fn first_chunk_quantile_us(&self, quantile: f64) -> u64 {
        self.first_chunk_us.value_at_quantile(quantile)
    }
}

/// Runs `callers` callers for `duration`, then waits for their open streams to end.
pub async fn run<F>(callers: usize, duration: Duration, request: F) -> LoadResult
where
    F: Fn(usize) -> RequestBuilder + Clone + Send + Sync + 'static,
{
    let started_at = Instant::now();
    let tasks = (0..callers).map(|caller| {
        let request = request.clone();
        tokio::spawn(async move {
            let mut result = LoadResult::new();
            while started_at.elapsed() < duration {
                run_stream(request(caller), &mut result).await;
            }
            result
        })
    });
    let mut total = LoadResult::new();
    for result in future::join_all(tasks).await {
        total.merge(&result.expect("callers do not panic"));
    }
    total.elapsed = started_at.elapsed();
    total
}

async fn run_stream(request: RequestBuilder, result: &mut LoadResult) {
    let started_at = Instant::now();
    let answer = match request.send().await {
        Ok(answer) if answer.status().is_success() => answer,
        _ => {
            result.failed += 1;
            return;
        }
    };
    let mut stream = answer.bytes_stream();
    let (mut is_first, mut is_complete) = (true, false);
    while let Some(Ok(bytes)) = stream.next().await {
        if is_first {
            result.first_chunk_us.saturating_record(started_at.elapsed().as_micros() as u64);
            is_first = false;
        }
        result.chunks += bytes.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
        is_complete |= bytes.ends_with(b"[DONE]\n\n");
    }
    if is_complete {
        result.completed += 1;
    } else {
        result.failed += 1;
    }
}
