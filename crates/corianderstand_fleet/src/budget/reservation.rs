//! A retry that was granted to one request.

use super::{Allowance, Budget};
use std::{cell::RefCell, rc::Rc, time::Instant};

/// The budget of a service, shared by its requests.
pub type Shared = Rc<RefCell<Budget>>;

/// A reserved retry, released unless it is sent.
#[derive(Debug)]
pub struct Reservation {
    budget: Shared,
    is_sent: bool,
}

impl Reservation {
    /// Reserves a retry; none if the budget is exhausted. `fixed_share` is as for [`Budget::reserve`].
    pub fn new(
        budget: &Shared,
        now: Instant,
        allowance: &Allowance,
        fixed_share: Option<f64>,
    ) -> Option<Self> {
        let is_granted = budget.borrow_mut().reserve(now, allowance, fixed_share);
        // Only then: each reservation gives its retry back.
        is_granted.then(|| Self { budget: budget.clone(), is_sent: false })
    }

    /// Records that the retry is sent.
    pub fn record_sent(mut self, now: Instant) {
        self.budget.borrow_mut().record_sent(now);
        self.is_sent = true;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_sent {
            self.budget.borrow_mut().release();
        }
    }
}
