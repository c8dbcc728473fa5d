//! Callers of the simulated routers: what they ask for, when they come back, and what they get.

use super::{ANSWER_TIMEOUT, Cluster, Pending, STEP, Way};
use corianderstand_fleet::quota::account;
use rand::RngExt;
use std::time::{Duration, Instant};

/// Requests with the same needs.
#[derive(Clone, Debug)]
pub struct Class {
    pub rank: u8,
    /// Time until it must be sent to meet its latency objective.
    pub objective: Duration,
    pub deadline: Duration,
    pub cost: u64,
    /// Requests per second.
    pub per_s: f64,
}

/// What the callers of a class got.
#[derive(Clone, Default, Debug)]
pub struct Served {
    pub callers: u64,
    /// Admitted within their objective, from their first attempt.
    pub in_time: u64,
    pub late: u64,
    /// Refused twice.
    pub refused_again: u64,
    /// Came back at the time of a booking.
    pub booked: u64,
    pub booked_served: u64,
    /// Came back without one.
    pub unbooked: u64,
    pub unbooked_served: u64,
    /// Longest wait before a refusal or admission.
    pub longest_wait: Duration,
    /// Waits of those that were admitted at their first attempt.
    pub waits: Vec<Duration>,
    /// Waits before the first refusal.
    pub refusal_waits: Vec<Duration>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Caller {
    class: usize,
    cost: u64,
    key: u64,
    first_at: Instant,
    arrived_at: Instant,
    /// Whether it came back, and with a booking.
    returned: Option<bool>,
}

/// Classes of the mix that [`Cluster::run`] sends in order, one for each of its costs.
pub(super) fn mixed_classes() -> Vec<Class> {
    let class = |rank, objective_ms, deadline_ms, cost| Class {
        rank,
        objective: Duration::from_millis(objective_ms),
        deadline: Duration::from_millis(deadline_ms),
        cost,
        per_s: 0.0,
    };
    vec![class(2, 4_850, 25_000, 2_500), class(1, 850, 4_000, 200), class(0, 100, 12_000, 750)]
}

impl Cluster {
    /// Plays a time in which the classes are asked for at a multiple of their rate.
    pub fn play(&mut self, time: Duration, factor: f64) {
        let end = self.now + time;
        self.served.resize_with(self.classes.len(), Served::default);
        while self.now < end {
            self.step();
            self.come_back();
            for class in 0..self.classes.len() {
                let chance = self.classes[class].per_s * factor * STEP.as_secs_f64();
                let count = chance as u64 + u64::from(self.rng.random::<f64>() < chance.fract());
                for _ in 0..count {
                    let spread = 0.4 + 1.2 * self.rng.random::<f64>();
                    let cost = (self.classes[class].cost as f64 * spread) as u64;
                    self.first_attempt(class, cost);
                }
            }
        }
    }

    /// Counts from now on only callers that come from now on.
    pub fn forget_served(&mut self) {
        self.counted_from = self.last_key;
        self.served.clear();
    }

    /// Adds what callers got before.
    pub fn add_served(&mut self, before: &[Served]) {
        for (served, before) in self.served.iter_mut().zip(before) {
            served.callers += before.callers;
            served.in_time += before.in_time;
            served.late += before.late;
            served.refused_again += before.refused_again;
            served.booked += before.booked;
            served.booked_served += before.booked_served;
            served.unbooked += before.unbooked;
            served.unbooked_served += before.unbooked_served;
            served.longest_wait = served.longest_wait.max(before.longest_wait);
            served.waits.extend_from_slice(&before.waits);
            served.refusal_waits.extend_from_slice(&before.refusal_waits);
        }
    }

    pub(super) fn first_attempt(&mut self, class: usize, cost: u64) {
        self.last_key += 1;
        self.served[class].callers += 1;
        let (now, key) = (self.now, self.last_key);
        let caller = Caller { class, cost, key, first_at: now, arrived_at: now, returned: None };
        self.attempt(caller);
    }

    /// Sends a caller's request to a router; few get most of them.
    fn attempt(&mut self, mut caller: Caller) {
        let spread = self.rng.random::<f64>() * self.rng.random::<f64>();
        let index = (spread * self.routers.len() as f64) as usize;
        if !self.routers[index].is_up || self.routers[index].is_frozen {
            return;
        }
        caller.arrived_at = self.now;
        let class = &self.classes[caller.class];
        let request = account::Request {
            cost: caller.cost,
            rank: class.rank,
            objective_at: self.now + class.objective,
            expires_at: caller.first_at + class.deadline,
            key: caller.key,
        };
        let router = &mut self.routers[index];
        let admission = match self.way {
            Way::InOrder => router.accounts.admit_in_order(self.now, &self.workspace, request),
            _ => router.accounts.admit(self.now, &self.workspace, caller.cost),
        };
        match admission {
            account::Admission::Admitted => self.conclude(caller, None),
            account::Admission::Refused(refusal) => self.conclude(caller, Some(refusal)),
            account::Admission::Waits(id) => {
                router.waiting.insert(id, Pending { cost: caller.cost, caller: Some(caller) });
            }
        }
    }

    pub(super) fn come_back(&mut self) {
        while let Some((&(at, key), &caller)) = self.returning.first_key_value() {
            if at > self.now {
                break;
            }
            self.returning.remove(&(at, key));
            self.attempt(caller);
        }
    }

    /// Records what a caller got, and lets it come back once if it was refused.
    pub(super) fn conclude(&mut self, caller: Caller, refusal: Option<account::Refusal>) {
        if caller.key <= self.counted_from {
            if refusal.is_none() {
                self.spend(caller.cost);
            }
            return;
        }
        let class = &self.classes[caller.class];
        let in_time = self.now <= caller.first_at + class.objective + STEP;
        let deadline = caller.first_at + class.deadline;
        let waited = self.now.saturating_duration_since(caller.arrived_at);
        let served = &mut self.served[caller.class];
        served.longest_wait = served.longest_wait.max(waited);
        match caller.returned {
            Some(true) => served.booked += 1,
            Some(false) => served.unbooked += 1,
            None => {}
        }
        let Some(refusal) = refusal else {
            if in_time {
                served.in_time += 1;
            } else {
                served.late += 1;
            }
            match caller.returned {
                Some(true) => served.booked_served += 1,
                Some(false) => served.unbooked_served += 1,
                None => served.waits.push(waited),
            }
            self.spend(caller.cost);
            return;
        };
        if caller.returned.is_some() {
            served.refused_again += 1;
            self.tally.refused += caller.cost;
            return;
        }
        served.refusal_waits.push(waited);
        let (retry_after, is_booked) = match refusal {
            account::Refusal::OutOfTime { retry_after, is_booked, .. } => (retry_after, is_booked),
            account::Refusal::UsedUp { retry_after } => (retry_after, false),
            account::Refusal::Unanswered => (Duration::from_millis(250), false),
        };
        if self.rng.random::<f64>() < self.absent_ratio {
            self.tally.refused += caller.cost;
            return;
        }
        let honoured = deadline.saturating_duration_since(self.now) / 3;
        let on_the_way = Duration::from_millis(self.rng.random_range(3..12));
        let at = self.now + retry_after.min(honoured) + on_the_way;
        let caller = Caller { returned: Some(is_booked), ..caller };
        self.returning.insert((at, caller.key), caller);
    }

    /// Callers whose router ended come back at once, at another one.
    pub(super) fn disconnect(&mut self, index: usize) {
        let pending: Vec<_> = self.routers[index].waiting.drain().collect();
        for caller in pending.into_iter().filter_map(|(_, pending)| pending.caller) {
            if caller.returned.is_none() {
                let caller = Caller { returned: Some(false), ..caller };
                self.returning.insert((self.now + ANSWER_TIMEOUT, caller.key), caller);
            }
        }
    }
}
