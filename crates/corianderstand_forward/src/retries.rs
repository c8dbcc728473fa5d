//! Sending requests once more, within the budget that all routers share ([`corianderstand_fleet::budget`]).
//!
//! A retry is reserved when it is decided on, so that a request that can't have one is answered at once, and counts
//! when it is written to a target.

use crate::{decisions, dialect, job, router};
use corianderstand_fleet::budget;
use corianderstand_types::names;
use std::{
    cell::RefCell,
    collections::HashMap,
    time::{Duration, Instant},
};

/// Reason logged when a request may not be sent once more.
pub const BUDGET_EXHAUSTED: &str = "the retry budget is exhausted";
/// Time in which routers that start together announce themselves. A list that was read earlier may lack some of them.
pub const ANNOUNCE_TIME: Duration = Duration::from_secs(2);

/// The retry budgets of services at this router.
pub struct State {
    started_at: Instant,
    budgets: RefCell<HashMap<names::ServiceId, budget::Shared>>,
    fixed_share: RefCell<budget::FixedShare>,
}

impl State {
    /// The state of a router that starts now, be it the first start of all routers or not.
    pub fn new(now: Instant, is_first_start: bool) -> Self {
        Self {
            started_at: now,
            budgets: RefCell::default(),
            fixed_share: RefCell::new(budget::FixedShare::new(now, is_first_start)),
        }
    }

    /// When this router started.
    pub const fn started_at(&self) -> Instant {
        self.started_at
    }

    fn budget(&self, service: &names::ServiceId) -> budget::Shared {
        self.budgets.borrow_mut().entry(service.clone()).or_default().clone()
    }

    /// Counts a request for a service.
    pub fn record_request(
        &self,
        now: Instant,
        service: &names::ServiceId,
        allowance: &budget::Allowance,
    ) {
        self.budget(service).borrow_mut().earn(now, allowance);
    }
}

/// How often a request was written to targets, and what that cost.
#[derive(Default)]
pub struct Sends {
    written: u32,
    /// Retries that were charged; one that could not be written covers the next one.
    charged: u32,
    reservation: Option<budget::Reservation>,
}

impl Sends {
    /// A request that is being sent to another target, so that the next one is a retry.
    pub const fn after_first() -> Self {
        Self { written: 1, charged: 0, reservation: None }
    }

    /// How often the request was written to a target.
    pub const fn written(&self) -> u32 {
        self.written
    }

    /// Returns the retry that was reserved, as it is not needed now.
    pub fn release(&mut self) {
        self.reservation = None;
    }

    const fn needs_charge(&self) -> bool {
        self.charged < self.written
    }
}

/// Records which routers share the allowance, as far as this one sees them.
pub fn observe_routers<P: router::Platform>(shared: &router::Shared<P>, now: Instant) {
    let peers = shared.peers.borrow();
    let read_at = shared.replicated_records.borrow().read_at(dialect::Subject::Routers);
    let settled_at = shared.retries.started_at + ANNOUNCE_TIME;
    // In a large deployment only hubs read the list again.
    let is_list_complete = read_at.is_some_and(|at| at >= settled_at || !peers.is_mesh());
    let seen = budget::RoutersSeen {
        known: is_list_complete.then(|| 1 + peers.addresses().count()),
        heard: 1 + peers.live(now).count(),
    };
    let allowance = shared.bounds.borrow().allowance;
    shared.retries.fixed_share.borrow_mut().observe(now, seen, &allowance);
}

/// Reserves a retry for a request, unless it has one; false if the budget of its service is exhausted. `cause` is
/// why the last attempt failed.
pub fn reserve<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &mut job::Job,
    cause: &'static str,
) -> bool {
    if job.sends.reservation.is_some() || !job.sends.needs_charge() {
        return true;
    }
    let now = shared.clock.now();
    observe_routers(shared, now);
    let allowance = shared.bounds.borrow().allowance;
    let (fixed_share, routers) = {
        let share = shared.retries.fixed_share.borrow();
        (share.retries(now, &allowance), share.routers())
    };
    let budget = shared.retries.budget(&job.service);
    let reservation = budget::Reservation::new(&budget, now, &allowance, fixed_share);
    let is_granted = reservation.is_some();
    let usage = budget.borrow_mut().usage(now, &allowance, fixed_share);
    let decided = decisions::RetryDecision { is_granted, usage, fixed_share, routers, cause };
    shared.decision_log.retry_decided(job, &decided, now);
    job.sends.reservation = reservation;
    is_granted
}

/// Charges a request that is about to be written once more; false if it may not be.
pub fn charge<P: router::Platform>(shared: &router::Shared<P>, job: &mut job::Job) -> bool {
    if !reserve(shared, job, job.last_failure) {
        return false;
    }
    if let Some(reservation) = job.sends.reservation.take() {
        reservation.record_sent(shared.clock.now());
        job.sends.charged += 1;
    }
    true
}

/// Records that a request was written to a target.
pub fn record_written<P: router::Platform>(shared: &router::Shared<P>, job: &mut job::Job) {
    shared.decision_log.metrics.written(job.sends.written > 0);
    job.sends.written += 1;
}
