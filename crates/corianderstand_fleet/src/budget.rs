//! Limits the retries of all routers together.
//!
//! Each router may retry a ratio of its own requests, plus its part of a fixed number ([`FixedShare`]). Retries count when
//! they are sent: one that was granted may wait for a target, and reach it together with later ones.

mod reservation;
mod share;

pub use reservation::{Reservation, Shared};
pub use share::{FixedShare, RoutersSeen};

use corianderstand_derives::derives;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Requests are counted in spans of this part of the window. Only whole spans count, so that no request counts for
/// too long.
const SPANS_PER_WINDOW: u32 = 50;
/// Windows that end later are checked in steps of this part of the window.
const CHECKS_PER_WINDOW: u32 = 25;
/// Windows of requests that may count for a window of retries begin so many halves of a window before it.
const EARLIER_HALVES: [u32; 3] = [0, 1, 2];
/// Usable part of the retries by requests. These are counted when they are read, some time after they were sent.
const USABLE_RATIO: f64 = 0.9;
/// Longest time from sending a retry until it reaches its target, over an impaired link.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_secs(1);

/// Retry allowance of the deployment.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio.
    pub fixed: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for Allowance {
    /// Applies if the operator sets no allowance.
    fn default() -> Self {
        Self { ratio: 0.1, fixed: 10.0, window: Duration::from_secs(10) }
    }
}

impl Allowance {
    fn by_requests(&self, requests: u32) -> f64 {
        f64::from(requests) * self.ratio * USABLE_RATIO
    }

    fn span_length(&self) -> Duration {
        self.window / SPANS_PER_WINDOW
    }

    /// Time after which a retry no longer counts.
    fn retention(&self) -> Duration {
        self.window + MAX_ARRIVAL_DELAY
    }
}

/// What a budget holds at a moment.
#[derives(data)]
#[derive(Copy)]
pub struct Usage {
    /// Requests within the window.
    pub requests: u32,
    /// Retries that were sent within the window, or may still be sent.
    pub retries: u32,
    /// Number of retries that are allowed: the least of the windows that hold them.
    pub limit: f64,
}

impl Usage {
    fn left(&self) -> f64 {
        self.limit - f64::from(self.retries)
    }
}

#[derive(Clone, Copy, Debug)]
struct Span {
    started_at: Instant,
    /// Number of the requests up to its last one, modulo 2³².
    total: u32,
}

/// Requests and retries of one service within the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    first_request_at: Option<Instant>,
    spans: VecDeque<Span>,
    /// Number of all requests, modulo 2³².
    total: u32,
    /// Number of the requests before the first span, modulo 2³².
    total_before_spans: u32,
    sent: VecDeque<Instant>,
    /// Retries that were granted and not sent yet.
    reserved: u32,
}

impl Budget {
    /// Counts a request.
    pub fn earn(&mut self, now: Instant, allowance: &Allowance) {
        self.expire(now, allowance);
        let span_length = allowance.span_length();
        self.total = self.total.wrapping_add(1);
        self.first_request_at.get_or_insert(now);
        match self.spans.back_mut().filter(|span| now < span.started_at + span_length) {
            Some(span) => span.total = self.total,
            None => self.spans.push_back(Span { started_at: now, total: self.total }),
        }
    }

    /// Reserves one retry until it is sent or released; false if the budget is exhausted. `fixed_share` is this
    /// router's part of the fixed number; none if it may not retry yet.
    pub fn reserve(
        &mut self,
        now: Instant,
        allowance: &Allowance,
        fixed_share: Option<f64>,
    ) -> bool {
        let is_granted = self.usage(now, allowance, fixed_share).left() >= 1.0;
        self.reserved += u32::from(is_granted);
        is_granted
    }

    /// Records that a reserved retry is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.release();
        self.sent.push_back(now);
    }

    /// Returns a reserved retry that is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// What is used of the window that has least left. A retry of now counts in all windows that end until a window
    /// later, and requests may cease.
    pub fn usage(
        &mut self,
        now: Instant,
        allowance: &Allowance,
        fixed_share: Option<f64>,
    ) -> Usage {
        self.expire(now, allowance);
        let step = allowance.window / CHECKS_PER_WINDOW;
        let windows = (0..CHECKS_PER_WINDOW).map(|later| {
            let (requests, retries) = self.window_usage(now, step * later, allowance);
            let limit = fixed_share.map_or(0.0, |fixed| allowance.by_requests(requests) + fixed);
            Usage { requests, retries, limit }
        });
        let tightest = windows.min_by(|a, b| a.left().total_cmp(&b.left()));
        tightest.unwrap_or(Usage { requests: 0, retries: self.reserved, limit: 0.0 })
    }

    /// Requests and retries that count in a window that ends `later` than now.
    ///
    /// All routers take the requests of the same window, the one before it, as callers may go from one router to
    /// another. While a service has its first requests there are none before, and any window counts.
    fn window_usage(&self, now: Instant, later: Duration, allowance: &Allowance) -> (u32, u32) {
        let half = allowance.window / 2;
        let is_new = self
            .first_request_at
            .is_none_or(|at| now.saturating_duration_since(at) < allowance.retention());
        let earlier_halves = if is_new { &EARLIER_HALVES[..] } else { &EARLIER_HALVES[2..] };
        let requests = earlier_halves.iter().map(|&halves| {
            let ended = (half * halves).saturating_sub(later);
            let began = (allowance.window + half * halves).saturating_sub(later);
            self.requests_between(now, began, ended, allowance)
        });
        let requests = requests.max().unwrap_or(0);
        let retries =
            self.sent.iter().rev().take_while(|at| {
                now.saturating_duration_since(**at) + later < allowance.retention()
            });
        (requests, retries.count() as u32 + self.reserved)
    }

    /// Requests of the whole spans that began at most `began` ago and ended at least `ended` ago.
    fn requests_between(
        &self,
        now: Instant,
        began: Duration,
        ended: Duration,
        allowance: &Allowance,
    ) -> u32 {
        let age = |span: &Span| now.saturating_duration_since(span.started_at);
        let first = self.spans.partition_point(|span| age(span) >= began);
        let end = match ended.is_zero() {
            true => self.spans.len(),
            false => {
                self.spans.partition_point(|span| age(span) >= ended + allowance.span_length())
            }
        };
        if first >= end {
            return 0;
        }
        let total_before = |index: usize| match index.checked_sub(1) {
            Some(last) => self.spans[last].total,
            None => self.total_before_spans,
        };
        total_before(end).wrapping_sub(total_before(first))
    }

    fn expire(&mut self, now: Instant, allowance: &Allowance) {
        let is_past = |at: Instant, time| now.saturating_duration_since(at) >= time;
        let first = allowance.window * 2;
        while let Some(span) = self.spans.front().filter(|span| is_past(span.started_at, first)) {
            self.total_before_spans = span.total;
            self.spans.pop_front();
        }
        while self.sent.front().is_some_and(|at| is_past(*at, allowance.retention())) {
            self.sent.pop_front();
        }
    }
}
