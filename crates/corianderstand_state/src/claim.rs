//! Decisions after the log has applied or rejected a claim or a void.
//!
//! The log grants each key to at most one claim. Its agent runs the call once, or records that it
//! will not run if the request is no longer pending: the caller may already have been told so.
//!
//! No other process or incarnation runs a claimed call, because it may have run already. The
//! outcome of such a claim stays unknown.

use crate::fold::{Outcome, Rejection};
use corianderstand_derives::derives;

/// Action for a decided claim.
#[derives(key)]
pub enum ClaimAction {
    /// Make the call and record the answer.
    Run,
    /// Record that the call did not run.
    Withdraw,
    /// An earlier record decided the key: report its status.
    ReadStatus,
    /// The key limit is reached: report that the call did not run.
    Refuse,
}

/// Returns the action for a claim whose record had `outcome`.
///
/// A claim may be decided minutes later if the process was paused or the log was down. The call
/// runs only if the request is still pending and its deadline has not passed (`in_time`).
pub const fn claim_action(outcome: &Outcome, is_pending: bool, in_time: bool) -> ClaimAction {
    match outcome {
        Outcome::Applied if is_pending && in_time => ClaimAction::Run,
        Outcome::Applied => ClaimAction::Withdraw,
        Outcome::Rejected(Rejection::CallsFull) => ClaimAction::Refuse,
        Outcome::Repeated | Outcome::Rejected(_) => ClaimAction::ReadStatus,
    }
}

/// What a router may report after a decided void.
#[derives(key)]
pub enum VoidDecision {
    /// The key was unclaimed and can no longer be claimed.
    NotRun,
    /// An earlier record decided the key: report its status.
    ReadStatus,
    /// The void had no effect for another reason.
    Unknown,
}

/// Returns the decision for a void whose record had `outcome`.
pub const fn void_decision(outcome: &Outcome) -> VoidDecision {
    match outcome {
        Outcome::Applied => VoidDecision::NotRun,
        Outcome::Rejected(Rejection::CallConflict) => VoidDecision::ReadStatus,
        Outcome::Repeated | Outcome::Rejected(_) => VoidDecision::Unknown,
    }
}
