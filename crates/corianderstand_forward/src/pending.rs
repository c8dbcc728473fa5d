//! Requests by datagram that wait for their response.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};
use tokio::sync::Notify;
use xxhash_rust::xxh3;

/// Requests of this process that wait for a response.
pub struct Pending<T> {
    responses: RefCell<HashMap<u64, Rc<Response<T>>>>,
    last_sequence_number: Cell<u64>,
}

struct Response<T> {
    value: Cell<Option<T>>,
    changed: Notify,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Self { responses: RefCell::default(), last_sequence_number: Cell::default() }
    }
}

impl<T> Pending<T> {
    /// Registers a request under an id that is unique among all incarnations of all processes.
    pub fn register(&self, incarnation: u64) -> Waiter<'_, T> {
        let number = self.last_sequence_number.get() + 1;
        self.last_sequence_number.set(number);
        let id = xxh3::xxh3_64_with_seed(&number.to_le_bytes(), incarnation);
        let response = Rc::new(Response { value: Cell::new(None), changed: Notify::new() });
        self.responses.borrow_mut().insert(id, response.clone());
        Waiter { pending: self, id, response }
    }

    /// Passes a response to the request that waits for it, unless it has been withdrawn.
    pub fn resolve(&self, id: u64, value: T) {
        let Some(response) = self.responses.borrow().get(&id).cloned() else { return };
        response.value.set(Some(value));
        response.changed.notify_one();
    }
}

/// A request that waits for its response.
pub struct Waiter<'a, T> {
    pending: &'a Pending<T>,
    id: u64,
    response: Rc<Response<T>>,
}

impl<T> Waiter<'_, T> {
    /// Id of the request.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the next response.
    pub async fn response(&self, timeout: Duration) -> Option<T> {
        tokio::time::timeout(timeout, self.response.changed.notified()).await.ok()?;
        self.response.value.take()
    }
}

impl<T> Drop for Waiter<'_, T> {
    fn drop(&mut self) {
        self.pending.responses.borrow_mut().remove(&self.id);
    }
}
