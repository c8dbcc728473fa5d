//! Limits how long a request waits for a model or for capacity.
//!
//! A request is held only while its model can be ready before the caller's deadline. Otherwise it
//! is refused at once with a retry time.

use corianderstand_derives::derives;
use std::time::{Duration, Instant};

/// Time between the end of the load and the first event of the answer.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// Time for the planner to decide on a load, and for the engine to unload another model first.
const LOAD_DECISION_TIME: Duration = Duration::from_millis(500);
/// Maximum random part of a retry delay, so that refused callers do not all retry at once.
const RETRY_SPREAD_RATIO: f64 = 0.3;
/// Lower bound of a recommended retry delay; below it, a new connection costs the caller more than the pause.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Recommended retry delay while a service has no target; one that crashed takes 2 to 4 s to return.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When the model that a request waits for is expected to be ready.
#[derives(key)]
pub enum Readiness {
    /// An engine is loading it and will finish at this time.
    ReadyAt(Instant),
    /// No engine is loading it; a load takes this long.
    LoadTime(Duration),
    /// Targets hold it and are at capacity.
    AtCapacity,
    /// Cannot be estimated: the service has no available target, or the model is not configured.
    Unknown,
}

/// What to do with a request that cannot be sent now.
#[derives(key)]
pub enum Decision {
    /// Hold it, and decide again on each change.
    Hold {
        /// End of the wait.
        until: Instant,
    },
    /// Refuse it.
    Refuse {
        /// Retry time for the caller.
        after: Duration,
    },
}

/// Decides whether a request that cannot be sent now is held until `deadline` at the latest, or
/// refused with a retry delay randomized by `spread`, from 0 to 1.
pub fn decide(now: Instant, deadline: Instant, readiness: Readiness, spread: f64) -> Decision {
    let ready_at = match readiness {
        Readiness::ReadyAt(at) => at.max(now),
        Readiness::LoadTime(load_time) => now + LOAD_DECISION_TIME + load_time,
        Readiness::AtCapacity => now,
        Readiness::Unknown => {
            return Decision::Refuse { after: retry_after(NO_TARGET_RETRY_AFTER, spread) };
        }
    };
    let until = deadline.checked_sub(FIRST_EVENT_TIME).unwrap_or(now);
    if ready_at < until {
        return Decision::Hold { until };
    }
    Decision::Refuse { after: retry_after(ready_at.saturating_duration_since(now), spread) }
}

/// Retry time for a model that is ready in `ready_in`, randomized by `spread`.
pub fn retry_after(ready_in: Duration, spread: f64) -> Duration {
    ready_in.max(MIN_RETRY_AFTER).mul_f64(1.0 + RETRY_SPREAD_RATIO * spread)
}
