//! Requests that arrive before the log records they were routed by.
//!
//! A router may apply a slot assignment before the slot's owner does. The owner holds the request,
//! instead of refusing it, until it has applied the log up to the router's offset.

use crate::event::ConnectionId;
use std::time::{Duration, Instant};

/// Time after which a held request is submitted; short enough for a retry elsewhere.
pub const MAX_HOLD_TIME: Duration = Duration::from_millis(1000);
/// Maximum number of held requests; further requests are submitted immediately.
pub const MAX_HELD_REQUESTS: usize = 1024;
/// Poll interval of the snapshot while requests are held.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct HeldRequest<T> {
    as_of: u64,
    until: Instant,
    stream: (ConnectionId, u64),
    request: T,
}

/// Requests in order of arrival.
#[derive(Debug)]
pub struct HeldRequests<T> {
    requests: Vec<HeldRequest<T>>,
}

impl<T> Default for HeldRequests<T> {
    fn default() -> Self {
        Self { requests: Vec::new() }
    }
}

impl<T> HeldRequests<T> {
    /// Holds a request routed by the record at `as_of`. Returns the request if that record has
    /// been applied or too many are held.
    pub fn hold(
        &mut self,
        now: Instant,
        next: u64,
        as_of: u64,
        stream: (ConnectionId, u64),
        request: T,
    ) -> Option<T> {
        if as_of < next || self.requests.len() >= MAX_HELD_REQUESTS {
            return Some(request);
        }
        self.requests.push(HeldRequest { as_of, until: now + MAX_HOLD_TIME, stream, request });
        None
    }

    /// Removes and returns, in order, all requests whose record is applied or whose hold expired.
    pub fn remove_ready(&mut self, now: Instant, next: u64) -> Vec<T> {
        let ready = |held: &mut HeldRequest<T>| held.as_of < next || held.until <= now;
        self.requests.extract_if(.., ready).map(|held| held.request).collect()
    }

    pub fn cancel(&mut self, stream: (ConnectionId, u64)) {
        self.requests.retain(|held| held.stream != stream);
    }

    pub fn remove_connection(&mut self, connection: ConnectionId) {
        self.requests.retain(|held| held.stream.0 != connection);
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

#[cfg(test)]
mod tests;
