//! Admission to a batch of limited size, by priority.

use std::{
    cmp::Reverse,
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::sync::Notify;

pub struct Batch {
    max_running: u32,
    inner: Mutex<BatchState>,
    slots_changed: Notify,
}

#[derive(Default)]
struct BatchState {
    running: u32,
    last_sequence: u64,
    waiting: BTreeSet<(Reverse<u8>, u64)>,
}

/// Batch slot of a running request; released when dropped.
pub struct BatchSlot(Arc<Batch>);

/// Queue entry of a waiting request; removed when dropped.
struct QueueEntry<'a>(&'a Batch, (Reverse<u8>, u64));

impl Batch {
    pub fn new(max_running: u32) -> Arc<Self> {
        Arc::new(Self { max_running, inner: Mutex::default(), slots_changed: Notify::new() })
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    pub fn running_and_waiting(&self) -> (u32, u32) {
        let inner = self.lock();
        (inner.running, inner.waiting.len() as u32)
    }

    /// Waits for a batch slot, granted by priority, then in order of arrival.
    pub async fn acquire(self: &Arc<Self>, priority: u8) -> BatchSlot {
        let entry = {
            let mut inner = self.lock();
            inner.last_sequence += 1;
            let entry = (Reverse(priority), inner.last_sequence);
            inner.waiting.insert(entry);
            QueueEntry(self, entry)
        };
        loop {
            let changed = self.slots_changed.notified();
            {
                let mut inner = self.lock();
                if inner.running < self.max_running && inner.waiting.first() == Some(&entry.1) {
                    inner.running += 1;
                    break;
                }
            }
            changed.await;
        }
        drop(entry);
        BatchSlot(self.clone())
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting.remove(&self.1);
        self.0.slots_changed.notify_waiters();
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.slots_changed.notify_waiters();
    }
}
