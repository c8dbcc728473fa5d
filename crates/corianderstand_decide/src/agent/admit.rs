//! Whether a request can be answered in time, and when to come back if not.

use super::{Agent, MIN_RETRY_AFTER};
use crate::{
    queue::{Length, Order, Waiting},
    work::{Need, Refusal, SchedulingConfig, Work},
};
use corianderstand_derives::derives;
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::names::WorkspaceId;
use std::time::{Duration, Instant};

/// Expected run of short work before any was seen.
const INITIAL_SHORT_RUN_TIME: Duration = Duration::from_millis(100);
/// Expected run of long work before any was seen.
const INITIAL_LONG_RUN_TIME: Duration = Duration::from_secs(2);
/// Part of the difference that each run moves the expectation by: one in this many.
const RUN_TIME_SMOOTHING_DIVISOR: u32 = 8;
/// Longest time to come back that a refusal names. Booked further ahead, callers would stay away
/// long after a burst is over.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Callers refused for a load come back within this part of its time after it: together they
/// would fill the queue in one instant, much later they would find the model idle for long.
const COLD_START_JITTER_DIVISOR: u32 = 8;
/// Odd factor of the multiplicative spread of those who find no place before
/// [`MAX_RETRY_AFTER`]; consecutive multiples of it modulo 2^64 lie far apart.
const JITTER_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Expected length of a run.
#[derives(data)]
#[derive(Copy)]
pub struct RunTimeEstimate {
    mean: Duration,
    deviation: Duration,
}

impl RunTimeEstimate {
    /// Expectations for short and long work.
    pub const fn initial() -> [Self; 2] {
        let deviation = Duration::ZERO;
        let short = Self { mean: INITIAL_SHORT_RUN_TIME, deviation };
        [short, Self { mean: INITIAL_LONG_RUN_TIME, deviation }]
    }

    /// A length that a run has at the least, as far as can be expected.
    pub const fn lower_bound(self) -> Duration {
        self.mean.saturating_sub(self.deviation)
    }

    /// The expectation.
    pub const fn mean(self) -> Duration {
        self.mean
    }

    /// Folds the length of a run into it.
    pub fn observe(&mut self, run_time: Duration) {
        let error = run_time.abs_diff(self.mean);
        self.deviation = (self.deviation * (RUN_TIME_SMOOTHING_DIVISOR - 1) + error)
            / RUN_TIME_SMOOTHING_DIVISOR;
        self.mean =
            (self.mean * (RUN_TIME_SMOOTHING_DIVISOR - 1) + run_time) / RUN_TIME_SMOOTHING_DIVISOR;
    }
}

/// Times to come back that were handed out.
///
/// Made for bursts that are refused: callers told the same time return together and are refused
/// together again. Each is booked after the one before, at the pace at which the target works
/// off requests, so that whoever comes back finds room.
#[derives(data)]
#[derive(Default)]
pub struct RetrySchedule {
    next: Option<Instant>,
    jitter_state: u64,
}

impl RetrySchedule {
    /// Books a time no sooner than `base` from now, and `spacing` after the one before.
    pub fn schedule(&mut self, now: Instant, base: Duration, spacing: Duration) -> Duration {
        let base = base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
        let at = self.next.map_or(now + base, |next| next.max(now + base));
        let after = at.saturating_duration_since(now);
        if after <= MAX_RETRY_AFTER {
            self.next = Some(at + spacing);
            return after;
        }
        // No place is left before the limit: spread over its second half.
        MAX_RETRY_AFTER / 2 + self.jitter(MAX_RETRY_AFTER / 2)
    }

    /// A time below `width`, far from those given before.
    pub fn jitter(&mut self, width: Duration) -> Duration {
        self.jitter_state = self.jitter_state.wrapping_add(JITTER_MULTIPLIER);
        width.mul_f64(self.jitter_state as f64 / u64::MAX as f64)
    }
}

impl Agent {
    /// Made for bursts: a request that cannot be answered in time, or finds no room to wait, is
    /// refused on arrival. Admitting it would use the target for an answer nobody awaits and
    /// make those behind it late too.
    pub(super) fn refusal(
        &mut self,
        now: Instant,
        work: &Work,
        waiting: &Waiting,
        config: &dyn SchedulingConfig,
    ) -> Option<Refusal> {
        if self.draining {
            return Some(Refusal { reason: RefusalReason::Draining, retry_after: MIN_RETRY_AFTER });
        }
        if let Need::Weights { base, .. } = &work.need
            && !self.slots.contains(&base.model)
        {
            return Some(Refusal {
                reason: RefusalReason::NotLoaded,
                retry_after: MIN_RETRY_AFTER,
            });
        }
        let length = work.shape.length;
        let share = config.share(&work.team);
        let mean = self.run_times[length as usize].mean();
        let wait = self.queue.expected_wait(waiting, share, mean);
        if self.is_queue_full_for(&work.team, share, config.total_shares()) {
            let retry_after = self.schedule_retry(now, wait, length);
            return Some(Refusal { reason: RefusalReason::QueueFull, retry_after });
        }
        if self.policy.order == Order::FirstCome {
            return None;
        }
        let load = self.expected_load_wait(now, work, config);
        let excess = (now + wait.max(load) + mean).checked_duration_since(work.deadline)?;
        if excess.is_zero() {
            return None;
        }
        let retry_after = if load > wait {
            // It comes back to a model that is loaded: the load is ordered all the same.
            load.max(MIN_RETRY_AFTER) + self.retry_schedule.jitter(load / COLD_START_JITTER_DIVISOR)
        } else {
            self.schedule_retry(now, excess, length)
        };
        Some(Refusal { reason: RefusalReason::Deadline, retry_after })
    }

    /// Made for one team's flood: it may fill the queue, but a team that has less waiting than
    /// its share of the queue still gets in. The queue grows to twice its limit at most.
    fn is_queue_full_for(&self, team: &WorkspaceId, share: u32, total_shares: u32) -> bool {
        if self.queue.len() < self.limits.queue as usize {
            return false;
        }
        let owed = u64::from(self.limits.queue) * u64::from(share) / u64::from(total_shares.max(1));
        self.queue.waiting_of(team) as u64 >= owed
    }

    /// Time until all that a request needs is loaded.
    fn expected_load_wait(
        &self,
        now: Instant,
        work: &Work,
        config: &dyn SchedulingConfig,
    ) -> Duration {
        let remaining = |weights| {
            if self.is_usable(weights) {
                return Duration::ZERO;
            }
            self.loads.remaining(now, weights, config.load_time(weights))
        };
        work.weights().map(remaining).sum()
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

    /// Time that a short request of ordinary urgency would wait, as told to routers.
    pub(super) fn typical_queue_wait(&self) -> Duration {
        if self.queue.running() < self.limits.concurrency {
            return Duration::ZERO;
        }
        let mean = self.run_times[Length::Short as usize].mean();
        mean * (self.queue.len() as u32 + 1) / self.limits.concurrency.max(1)
    }
}
