//! Which requests run: as many as the batch has room for, the more urgent first.

use std::{
    cmp::Reverse,
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::sync::Notify;

/// Room for a number of requests.
pub struct Batch {
    room: u32,
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Default)]
struct Inner {
    running: u32,
    next: u64,
    waiting: BTreeSet<(Reverse<u8>, u64)>,
}

/// A place in the batch, given back when dropped.
pub struct Place(Arc<Batch>);

/// A place in the queue, given back when dropped, as when the caller leaves.
struct Turn<'a>(&'a Batch, (Reverse<u8>, u64));

impl Batch {
    /// An empty batch.
    pub fn new(room: u32) -> Arc<Self> {
        Arc::new(Self { room, inner: Mutex::default(), changed: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Requests running and waiting.
    pub fn counts(&self) -> (u32, u32) {
        let inner = self.lock();
        (inner.running, inner.waiting.len() as u32)
    }

    /// Waits for a place; the highest priority goes first, then the earliest.
    pub async fn enter(self: &Arc<Self>, priority: u8) -> Place {
        let turn = {
            let mut inner = self.lock();
            inner.next += 1;
            let turn = (Reverse(priority), inner.next);
            inner.waiting.insert(turn);
            Turn(self, turn)
        };
        loop {
            let changed = self.changed.notified();
            {
                let mut inner = self.lock();
                if inner.running < self.room && inner.waiting.first() == Some(&turn.1) {
                    inner.running += 1;
                    break;
                }
            }
            changed.await;
        }
        drop(turn);
        Place(self.clone())
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting.remove(&self.1);
        self.0.changed.notify_waiters();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.changed.notify_waiters();
    }
}
