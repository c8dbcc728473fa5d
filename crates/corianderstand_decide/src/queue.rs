//! Requests waiting beside a target, by urgency, then deadline.

use crate::work::RequestKey;
use std::{collections::BTreeSet, time::Instant};

/// Place in the queue: higher urgency first, then the earlier deadline.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct Place {
    less_urgent: u8,
    deadline: Instant,
    key: RequestKey,
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    places: BTreeSet<Place>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, key: RequestKey, urgency: u8, deadline: Instant) {
        self.places.insert(Place { less_urgent: u8::MAX - urgency, deadline, key });
    }

    /// Removes a request.
    pub fn remove(&mut self, key: RequestKey) {
        self.places.retain(|place| place.key != key);
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Requests in the order they are to be served.
    pub fn iter(&self) -> impl Iterator<Item = RequestKey> {
        self.places.iter().map(|place| place.key)
    }

    /// Earliest deadline of any request waiting.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.places.iter().map(|place| place.deadline).min()
    }

    /// Takes out all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<RequestKey> {
        let expired = self.places.iter().filter(|place| place.deadline <= now);
        let expired: Vec<RequestKey> = expired.map(|place| place.key).collect();
        self.places.retain(|place| place.deadline > now);
        expired
    }
}
