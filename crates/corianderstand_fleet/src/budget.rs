//! How many second attempts all routers together may make.
//!
//! The allowance is the deployment's: a share of the requests of the last seconds and a fixed
//! part on top. Each router keeps to its own requests' share and to an even part of the fixed
//! part, so that nothing has to be asked before a second attempt.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Steps that the window is divided into; a step that falls out takes a tenth of the counts with
/// it, so the sum lags the true window by at most a tenth.
const BUCKETS: u32 = 10;
/// Part of the allowance that is used. Requests that other processes lost and attempts whose
/// arrival this process cannot see (a connection reset after the request was written) count as
/// well, so a tenth is left to them.
const USABLE_RATIO: f64 = 0.9;

/// What the deployment allows.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Allowance {
    /// Second attempts for each request.
    pub ratio: f64,
    /// Second attempts in each window besides.
    pub fixed: f64,
    /// The window.
    pub window: Duration,
}

impl Default for Allowance {
    /// A tenth of the requests, the usual choice where an operator says nothing.
    fn default() -> Self {
        Self { ratio: 0.1, fixed: 10.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    since: Instant,
    requests: u32,
    retries: u32,
}

/// Requests and second attempts of one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// A request has come.
    pub fn earn(&mut self, now: Instant, allowance: &Allowance) {
        self.bucket(now, allowance).requests += 1;
    }

    /// Takes one second attempt; false if none is left. `routers` is how many share the fixed
    /// part.
    pub fn spend(&mut self, now: Instant, allowance: &Allowance, routers: usize) -> bool {
        self.bucket(now, allowance);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let fixed = allowance.fixed / routers.max(1) as f64;
        let limit = (f64::from(requests) * allowance.ratio + fixed) * USABLE_RATIO;
        if f64::from(retries + 1) > limit {
            return false;
        }
        self.bucket(now, allowance).retries += 1;
        true
    }

    fn bucket(&mut self, now: Instant, allowance: &Allowance) -> &mut Bucket {
        let bucket_length = allowance.window / BUCKETS;
        while self.buckets.front().is_some_and(|bucket| now >= bucket.since + allowance.window) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now >= bucket.since + bucket_length) {
            self.buckets.push_back(Bucket { since: now, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just pushed if there was none")
    }
}
