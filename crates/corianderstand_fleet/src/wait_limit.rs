//! How long a request waits for a model or for room, and when it is refused.
//!
//! The load it is made for: first requests for models that are on no engine, in bursts and from
//! many routers, while the weight store gives a load every second or so. The harm it prevents: a
//! caller who waits until its deadline for an answer that could not come. A request is held only
//! while its model can be there in time, and is told at once when it cannot, with the time at
//! which it can.

use corianderstand_derives::derives;
use std::time::{Duration, Instant};

/// Time for an engine to read a prompt and for the first event to arrive, beyond the load.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// Unless a model is known to be on its way, this much is allowed for the decision to load it and
/// for dropping another: a run that has to end first takes about 1.4 s.
const LOAD_DECISION_TIME: Duration = Duration::from_millis(500);
/// Part of the time to come back that callers are spread over, so that they do not return at once.
const RETRY_SPREAD_RATIO: f64 = 0.3;
/// Least time to come back: below it the caller's new connection costs more than the pause.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time to come back while a service has no target at all: one that crashed takes 2 to 4 s.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is known of the model that a request waits for.
#[derives(key)]
pub enum Readiness {
    /// An engine is loading it and is done then.
    ReadyAt(Instant),
    /// No engine is loading it; loading it takes this long.
    LoadTime(Duration),
    /// Targets hold it, and are full.
    AtCapacity,
    /// No target of the service can be used.
    Unknown,
}

/// What becomes of the request.
#[derives(key)]
pub enum Decision {
    /// Held until then at the latest; asked again when something changes.
    Hold {
        /// When to give up.
        until: Instant,
    },
    /// Refused at once.
    Refuse {
        /// When to come back.
        after: Duration,
    },
}

/// Decides on a request that cannot be sent now. `latest` is when its caller or its route gives
/// up; `spread` is between 0 and 1, from the request's hash.
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

/// A time to come back, spread so that those refused together do not return together.
pub fn retry_after(ready_in: Duration, spread: f64) -> Duration {
    ready_in.max(MIN_RETRY_AFTER).mul_f64(1.0 + RETRY_SPREAD_RATIO * spread)
}
