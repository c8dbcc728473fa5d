//! Messages for claims on quotas and for the answers of keepers.

use corianderstand_fleet::quota::{self, lanes, queue, returns};
use corianderstand_schema::peers as wire;
use corianderstand_types::names;
use std::time::Duration;

/// The message for a claim.
pub fn claim_to_wire(claim: quota::Claim) -> wire::QuotaClaim {
    let quota::Claim { workspace, spent, held, first, needed, ahead, per_s, ordered } = claim;
    let waiter = |waiter: quota::Waiter| wire::QuotaWaiter {
        id: waiter.id,
        cost: waiter.cost,
        rank: waiter.rank,
        objective_ms: to_millis(waiter.objective),
        expiry_ms: to_millis(waiter.expiry),
        key: waiter.key,
    };
    let told = |told: returns::Told| wire::QuotaBooking {
        key: told.key,
        cost: told.cost,
        rank: told.kind.rank,
        patience: told.kind.patience,
        after_ms: to_millis(told.after),
    };
    let waiters = ordered.waiters.into_iter().map(waiter).collect();
    let told = ordered.told.into_iter().map(told).collect();
    let left = ordered.left;
    wire::QuotaClaim { workspace, spent, held, first, needed, ahead, per_s, waiters, left, told }
}

/// The claim of a message.
pub fn claim_from_wire(claim: &wire::QuotaClaim, is_asking: bool) -> quota::Claim {
    let waiter = |waiter: &wire::QuotaWaiter| quota::Waiter {
        id: waiter.id,
        cost: waiter.cost,
        rank: waiter.rank,
        objective: from_millis(waiter.objective_ms),
        expiry: from_millis(waiter.expiry_ms),
        key: waiter.key,
    };
    let told = |told: &wire::QuotaBooking| returns::Told {
        key: told.key,
        cost: told.cost,
        kind: lanes::Kind { rank: told.rank, patience: told.patience },
        after: from_millis(told.after_ms),
    };
    quota::Claim {
        workspace: claim.workspace.clone(),
        spent: claim.spent,
        held: claim.held,
        first: claim.first,
        needed: claim.needed,
        ahead: claim.ahead,
        per_s: claim.per_s,
        ordered: quota::Ordered {
            is_asking,
            waiters: claim.waiters.iter().map(waiter).collect(),
            left: claim.left.clone(),
            told: claim.told.iter().map(told).collect(),
        },
    }
}

/// The message for a keeper's answer.
pub fn grant_to_wire(workspace: names::WorkspaceId, grant: &quota::Grant) -> wire::QuotaGrant {
    let answer = |answer: &queue::Answer| {
        let (served, booked, retry_after, before) = match answer.decision {
            queue::Decision::Served => (true, false, Duration::ZERO, 0),
            queue::Decision::Refused { retry_after, is_booked, before } => {
                (false, is_booked, retry_after, before)
            }
        };
        let retry_after_ms = to_millis(retry_after);
        wire::QuotaAnswer { id: answer.id, served, booked, retry_after_ms, before }
    };
    wire::QuotaGrant {
        workspace,
        granted: grant.granted,
        wait_ms: to_millis(grant.wait),
        answers: grant.answers.iter().map(answer).collect(),
        again_ms: to_millis(grant.again),
    }
}

/// The keeper's answer of a message.
pub fn grant_from_wire(grant: &wire::QuotaGrant) -> quota::Grant {
    let answer = |answer: &wire::QuotaAnswer| {
        let decision = match answer.served {
            true => queue::Decision::Served,
            false => queue::Decision::Refused {
                retry_after: from_millis(answer.retry_after_ms),
                is_booked: answer.booked,
                before: answer.before,
            },
        };
        queue::Answer { id: answer.id, decision }
    };
    quota::Grant {
        granted: grant.granted,
        wait: from_millis(grant.wait_ms),
        answers: grant.answers.iter().map(answer).collect(),
        again: from_millis(grant.again_ms),
    }
}

/// Whole milliseconds, rounded up.
fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
