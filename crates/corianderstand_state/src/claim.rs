//! Actions after the log has applied or rejected a claim or a void.
//!
//! The log grants each key to at most one claim. No other process or incarnation runs a claimed
//! call, as it may have run already.

use crate::fold::{Outcome, Rejection};
use corianderstand_derives::derives;

/// Action of the agent after its claim was applied or rejected.
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
pub const fn claim_action(
    outcome: &Outcome,
    is_pending: bool,
    before_deadline: bool,
) -> ClaimAction {
    match outcome {
        Outcome::Applied if is_pending && before_deadline => ClaimAction::Run,
        Outcome::Applied => ClaimAction::Withdraw,
        Outcome::Rejected(Rejection::CallsFull) => ClaimAction::Refuse,
        Outcome::Repeated | Outcome::Rejected(_) => ClaimAction::ReadStatus,
    }
}

/// What a router may report after its void was applied or rejected.
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
