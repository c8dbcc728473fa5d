//! Quotas of workspaces, kept over all routers.
//!
//! One router, the keeper, holds the token bucket of a workspace ([`ledger`]). The other routers hold an
//! [`account`] with it: they claim what they have spent and what they hold unspent, and are granted more.
//! As each claim replaces the one before, lost, late and repeated messages change nothing in the sum, and
//! a second keeper that hears the same claims arrives at the same level.
//!
//! What is granted ahead saves a question for each request. Both it and the debt that a large request may
//! cause are parts of the [`Tolerance`], so that the sum stays within the quota and its tolerance.
//!
//! A keeper has the [`Part`] of the quota that belongs to the routers which turn to it ([`crate::limit_shares`]).
//!
//! Where requests wait in order, a claim names them, and the keeper answers for each ([`queue`]).

pub mod account;
pub mod lanes;
pub mod ledger;
pub mod queue;
pub mod returns;
pub mod unanswered;

use crate::workspaces;
use corianderstand_derives::derives;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::time::Duration;

/// How far the requests of a workspace may exceed its quota within a window.
#[derives(data)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Excess as a share of the quota.
    pub ratio: f64,
    /// Excess beyond that, in cost units.
    pub fixed: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(8), ratio: 0.0, fixed: 0.0 }
    }
}

/// Share of the tolerance for what routers hold unspent.
const ADVANCE_RATIO: f64 = 0.1;
/// Share of the tolerance for what a standby grants in place of a keeper that doesn't answer.
const FAILOVER_RATIO: f64 = 0.2;
/// Share of the fixed tolerance for the debt of a large request.
const DEBT_RATIO: f64 = 0.3;

/// What the keeper of a share of a quota may use of the excess that one keeper of all may. A usual request must fit into
/// half of the quota as well; all keepers together exceed it by no more than twice as much as one.
fn share_of_excess(share: f64) -> f64 {
    (share * 2.0).min(1.0)
}

impl Tolerance {
    /// The excess that is tolerated in a window.
    fn excess(&self, quota: &workspaces::Quota) -> f64 {
        let in_window = quota.per_s * self.window.as_secs_f64() + quota.burst;
        in_window * self.ratio + self.fixed
    }

    /// The most that the routers which turn to the keeper of a share of a quota may hold unspent.
    fn max_advance(&self, quota: &workspaces::Quota, share: f64) -> f64 {
        self.excess(quota) * ADVANCE_RATIO * share_of_excess(share)
    }

    /// The most that a standby grants while it can't know whether the keeper still does.
    fn max_failover(&self, quota: &workspaces::Quota) -> f64 {
        self.excess(quota) * FAILOVER_RATIO
    }

    /// The most by which a request may exceed what there is of a share of a quota.
    fn max_debt(&self, share: f64) -> f64 {
        self.fixed * DEBT_RATIO * share_of_excess(share)
    }
}

/// What a keeper has of a quota.
#[derives(data)]
#[derive(Copy)]
pub struct Part {
    /// Share of the quota.
    pub share: f64,
    /// Whether another router grants it as long as it answers.
    pub is_standby: bool,
}

impl Part {
    /// The whole quota.
    pub const WHOLE: Self = Self { share: 1.0, is_standby: false };
}

/// What a router has spent and holds of a workspace's quota, and what it needs.
#[derives(data)]
pub struct Claim {
    /// The workspace.
    pub workspace: names::WorkspaceId,
    /// Cost units spent since the router started.
    pub spent: u64,
    /// Cost units granted and not spent.
    pub held: u64,
    /// Cost of the first waiting request; 0 if none waits.
    pub first: u64,
    /// Cost of all waiting requests beyond what is held.
    pub needed: u64,
    /// Cost units wanted ahead of requests.
    pub ahead: u64,
    /// Cost units spent per second in the last seconds.
    pub per_s: u64,
    /// What concerns requests that wait in order.
    pub ordered: Ordered,
}

/// A request that waits in order.
#[derives(key)]
pub struct Waiter {
    /// The router's number of it.
    pub id: u64,
    /// Its cost.
    pub cost: u64,
    /// Priority of its workspace and route; 0 is the highest.
    pub rank: u8,
    /// Time until it must be granted to meet its latency objective.
    pub objective: Duration,
    /// Time until granting it is of no use.
    pub expiry: Duration,
    /// Hash of its caller and content.
    pub key: u64,
}

/// The part of a claim that concerns requests that wait in order.
#[derives(data)]
#[derive(Default)]
pub struct Ordered {
    /// Whether the router waits for answers.
    pub is_asking: bool,
    /// Requests that wait, those not named before first.
    pub waiters: Vec<Waiter>,
    /// Numbers of requests that were named and wait no more.
    pub left: Vec<u64>,
    /// Bookings that were told to callers lately.
    pub told: Vec<returns::Told>,
}

/// Sender and order of a claim.
#[derives(data)]
pub struct ClaimSource {
    /// Name of the router.
    pub router: SmolStr,
    /// Start of the router.
    pub incarnation: u64,
    /// Increases with each message of the router.
    pub sequence: u64,
}

/// A keeper's answer to a claim.
#[derives(data)]
pub struct Grant {
    /// Cost units granted.
    pub granted: u64,
    /// Time until the requests that wait should return, after those refused before; zero if the first was
    /// granted.
    pub wait: Duration,
    /// Decisions on requests that wait in order; what is granted includes their costs.
    pub answers: Vec<queue::Answer>,
    /// Time after which the router should ask again for those without one; zero if nothing waits.
    pub again: Duration,
}
