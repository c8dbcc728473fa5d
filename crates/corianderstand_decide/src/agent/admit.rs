//! Admission control and retry hints.

use super::{Agent, MIN_RETRY_AFTER};
use crate::{
    queue::{Length, QueueDiscipline, QueuedRequest},
    request::{Refusal, RequestSpec, Requirement, SchedulingConfig},
};
use corianderstand_derives::derives;
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::names::WorkspaceId;
use std::time::{Duration, Instant};

const INITIAL_SHORT_RUN_TIME: Duration = Duration::from_millis(100);
const INITIAL_LONG_RUN_TIME: Duration = Duration::from_secs(2);
const RUN_TIME_SMOOTHING_DIVISOR: u32 = 8;
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Fraction of the load time over which retries after a cold start are spread, as a divisor.
const COLD_START_JITTER_DIVISOR: u32 = 8;
/// Increment of the low-discrepancy jitter sequence: 2^64 divided by the golden ratio.
const JITTER_INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;

/// Exponentially weighted mean and mean deviation of run times.
#[derives(data)]
#[derive(Copy)]
pub struct RunTimeEstimate {
    mean: Duration,
    deviation: Duration,
}

impl RunTimeEstimate {
    /// Estimates for short and long requests, indexed by [`Length`].
    pub const fn initial() -> [Self; 2] {
        let deviation = Duration::ZERO;
        let short = Self { mean: INITIAL_SHORT_RUN_TIME, deviation };
        [short, Self { mean: INITIAL_LONG_RUN_TIME, deviation }]
    }

    pub const fn lower_bound(self) -> Duration {
        self.mean.saturating_sub(self.deviation)
    }

    pub const fn mean(self) -> Duration {
        self.mean
    }

    pub fn observe(&mut self, run_time: Duration) {
        let error = run_time.abs_diff(self.mean);
        self.deviation = (self.deviation * (RUN_TIME_SMOOTHING_DIVISOR - 1) + error)
            / RUN_TIME_SMOOTHING_DIVISOR;
        self.mean =
            (self.mean * (RUN_TIME_SMOOTHING_DIVISOR - 1) + run_time) / RUN_TIME_SMOOTHING_DIVISOR;
    }
}

/// Schedule of retry times, spaced at the rate at which the target completes requests.
#[derives(data)]
#[derive(Default)]
pub struct RetrySchedule {
    next: Option<Instant>,
    jitter_state: u64,
}

impl RetrySchedule {
    /// Returns a retry delay of at least `base`, for a retry at least `spacing` after the previous one.
    pub fn schedule(&mut self, now: Instant, base: Duration, spacing: Duration) -> Duration {
        let base = base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
        let at = self.next.map_or(now + base, |next| next.max(now + base));
        let after = at.saturating_duration_since(now);
        if after <= MAX_RETRY_AFTER {
            self.next = Some(at + spacing);
            return after;
        }
        // The schedule is full up to the limit: spread over its second half.
        MAX_RETRY_AFTER / 2 + self.jitter(MAX_RETRY_AFTER / 2)
    }

    /// Returns the next delay of a low-discrepancy sequence below `width`.
    pub fn jitter(&mut self, width: Duration) -> Duration {
        self.jitter_state = self.jitter_state.wrapping_add(JITTER_INCREMENT);
        width.mul_f64(self.jitter_state as f64 / u64::MAX as f64)
    }
}

impl Agent {
    /// Returns why a request must be refused on arrival, if it must.
    pub(super) fn refusal(
        &mut self,
        now: Instant,
        spec: &RequestSpec,
        waiting: &QueuedRequest,
        config: &dyn SchedulingConfig,
    ) -> Option<Refusal> {
        if self.draining {
            return Some(Refusal { reason: RefusalReason::Draining, retry_after: MIN_RETRY_AFTER });
        }
        if let Requirement::Weights { base, .. } = &spec.requirement
            && !self.replica_slots.contains(&base.model)
        {
            return Some(Refusal {
                reason: RefusalReason::NotLoaded,
                retry_after: MIN_RETRY_AFTER,
            });
        }
        let length = spec.shape.length;
        let share = config.share(&spec.team);
        let mean = self.run_times[length as usize].mean();
        let wait = self.queue.expected_wait(waiting, share, mean);
        if self.is_queue_full_for(&spec.team, share, config.total_shares()) {
            let retry_after = self.schedule_retry(now, wait, length);
            return Some(Refusal { reason: RefusalReason::QueueFull, retry_after });
        }
        if self.policy.discipline == QueueDiscipline::Fifo {
            return None;
        }
        let load = self.expected_load_wait(now, spec, config);
        let excess = (now + wait.max(load) + mean).checked_duration_since(spec.deadline)?;
        if excess.is_zero() {
            return None;
        }
        let retry_after = if load > wait {
            // The load is scheduled despite the refusal, so a retry finds the model loaded.
            load.max(MIN_RETRY_AFTER) + self.retry_schedule.jitter(load / COLD_START_JITTER_DIVISOR)
        } else {
            self.schedule_retry(now, excess, length)
        };
        Some(Refusal { reason: RefusalReason::Deadline, retry_after })
    }

    /// Whether the queue is full for a team; teams below their guaranteed share may exceed its limit.
    fn is_queue_full_for(&self, team: &WorkspaceId, share: u32, total_shares: u32) -> bool {
        if self.queue.len() < self.limits.queue as usize {
            return false;
        }
        let owed = u64::from(self.limits.queue) * u64::from(share) / u64::from(total_shares.max(1));
        self.queue.waiting_of(team) as u64 >= owed
    }

    fn expected_load_wait(
        &self,
        now: Instant,
        spec: &RequestSpec,
        config: &dyn SchedulingConfig,
    ) -> Duration {
        let remaining = |weights| {
            if self.is_ready(weights) {
                return Duration::ZERO;
            }
            self.loads.remaining(now, weights, config.load_time(weights))
        };
        spec.weights().map(remaining).sum()
    }

    pub(super) fn schedule_retry(
        &mut self,
        now: Instant,
        base: Duration,
        length: Length,
    ) -> Duration {
        let spacing = self.run_times[length as usize].mean() / self.limits.concurrency.max(1);
        self.retry_schedule.schedule(now, base, spacing)
    }

    /// Expected wait of a short request of normal urgency, as reported to routers.
    pub(super) fn typical_queue_wait(&self) -> Duration {
        if self.queue.running() < self.limits.concurrency {
            return Duration::ZERO;
        }
        let mean = self.run_times[Length::Short as usize].mean();
        mean * (self.queue.len() as u32 + 1) / self.limits.concurrency.max(1)
    }
}
