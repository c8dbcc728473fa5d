//! Requests that came before the records they were chosen by.
//!
//! A router may fold a slot's assignment some milliseconds before the slot's owner does and send
//! a request at once. The owner would refuse it as `not_loaded` although it is the right one,
//! and the first callers of every new slot would notice a refusal. The router therefore names
//! the offset that it chose by, and the agent holds the request until it has folded that far.

use crate::event::ConnectionId;
use std::time::{Duration, Instant};

/// Longest time a request is held. An agent that is further behind has lost the log; the request
/// then goes on as it is, so that it is refused in time to be tried elsewhere.
pub const MAX_HOLD_TIME: Duration = Duration::from_millis(1000);
/// Requests held at once. Made for the burst after a change of slots; beyond it a request goes
/// on at once, so that an agent that lags for long does not gather all of a burst.
pub const MAX_HELD_REQUESTS: usize = 1024;
/// Time between two looks while requests are held.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One request that is held.
#[derive(Debug)]
struct HeldRequest<T> {
    as_of: u64,
    until: Instant,
    stream: (ConnectionId, u64),
    request: T,
}

/// Requests held, in the order they came.
#[derive(Debug)]
pub struct HeldRequests<T> {
    held: Vec<HeldRequest<T>>,
}

impl<T> Default for HeldRequests<T> {
    fn default() -> Self {
        Self { held: Vec::new() }
    }
}

impl<T> HeldRequests<T> {
    /// Holds a request chosen by the record at `as_of`, unless the fold has passed it or too
    /// many are held; then the request comes back.
    pub fn hold(
        &mut self,
        now: Instant,
        next: u64,
        as_of: u64,
        stream: (ConnectionId, u64),
        request: T,
    ) -> Option<T> {
        if as_of < next || self.held.len() >= MAX_HELD_REQUESTS {
            return Some(request);
        }
        self.held.push(HeldRequest { as_of, until: now + MAX_HOLD_TIME, stream, request });
        None
    }

    /// Takes out all requests whose record is folded or whose time is over, in order.
    pub fn take_ready(&mut self, now: Instant, next: u64) -> Vec<T> {
        let ready = |held: &mut HeldRequest<T>| held.as_of < next || held.until <= now;
        self.held.extract_if(.., ready).map(|held| held.request).collect()
    }

    /// Forgets a request whose caller has left.
    pub fn cancel(&mut self, stream: (ConnectionId, u64)) {
        self.held.retain(|held| held.stream != stream);
    }

    /// Forgets all requests of a connection that is gone.
    pub fn remove_connection(&mut self, connection: ConnectionId) {
        self.held.retain(|held| held.stream.0 != connection);
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
mod tests;
