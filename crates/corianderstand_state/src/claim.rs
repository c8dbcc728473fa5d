//! What follows once the log has decided a claim or a void.
//!
//! The log gives a key to at most one claim, for ever. The agent that holds the claim runs the
//! call once, or withdraws: it records that the call did not and will not run. It runs the call
//! only while the request that wrote the claim still waits and is in time, because after that
//! its caller may have been told that it did not run.
//!
//! A claim is never run by another process or a later start: nobody can know how far its writer
//! came. Such a claim stays without an outcome, and repeats are told "unknown".

use crate::fold::{Outcome, Rejection};
use corianderstand_derives::derives;

/// What to do about a decided claim.
#[derives(key)]
pub enum ClaimAction {
    /// Make the call, then record what the service answered.
    Run,
    /// Record that the call did not run.
    Withdraw,
    /// Another record for the key came first: tell what the log says of it.
    ReadStatus,
    /// There is no room for the key: it did not run.
    Refuse,
}

/// Decides about a claim whose record had `outcome`.
///
/// A process may be frozen, or the log down, between a claim and its decision, for minutes.
/// `is_pending` tells whether the request is still held and `in_time` whether its deadline is ahead.
/// Without these a booking would run long after its caller had made another.
pub const fn claim_action(outcome: &Outcome, is_pending: bool, in_time: bool) -> ClaimAction {
    match outcome {
        Outcome::Applied if is_pending && in_time => ClaimAction::Run,
        Outcome::Applied => ClaimAction::Withdraw,
        Outcome::Rejected(Rejection::CallsFull) => ClaimAction::Refuse,
        Outcome::Repeated | Outcome::Rejected(_) => ClaimAction::ReadStatus,
    }
}

/// What a decided void lets a router say.
#[derives(key)]
pub enum VoidDecision {
    /// Nobody claimed the key before, and nobody can any more.
    NotRun,
    /// Another record came first: what it says is in the log.
    ReadStatus,
    /// Nothing is settled.
    Unknown,
}

/// Decides about a void whose record had `outcome`.
pub const fn void_decision(outcome: &Outcome) -> VoidDecision {
    match outcome {
        Outcome::Applied => VoidDecision::NotRun,
        Outcome::Rejected(Rejection::CallConflict) => VoidDecision::ReadStatus,
        Outcome::Repeated | Outcome::Rejected(_) => VoidDecision::Unknown,
    }
}
