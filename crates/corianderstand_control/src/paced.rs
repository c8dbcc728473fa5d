//! Reads of the host list, no more often than control traffic may cost.

use crate::budget;
use async_trait::async_trait;
use corianderstand_edge::{
    EdgeError,
    hosts::{HostEntry, HostList},
};
use corianderstand_types::clock::SharedClock;
use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::time;

/// A host list that is read the more seldom the longer it is.
pub struct Paced<L> {
    list: L,
    clock: SharedClock,
    not_before: Mutex<Option<Instant>>,
}

impl<L: HostList> Paced<L> {
    /// Reads `list`, the first time at once.
    pub const fn new(list: L, clock: SharedClock) -> Self {
        Self { list, clock, not_before: Mutex::new(None) }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.not_before.lock().expect("no holder of this lock panics")
    }
}

#[async_trait]
impl<L: HostList> HostList for Paced<L> {
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError> {
        let not_before = *self.lock();
        if let Some(at) = not_before {
            time::sleep(at.saturating_duration_since(self.clock.now())).await;
        }
        let hosts = self.list.hosts().await?;
        let pause = budget::host_list_pause(Duration::ZERO, hosts.len());
        *self.lock() = Some(self.clock.now() + pause);
        Ok(hosts)
    }
}

/// For a process that has no use for the host list: an agent, which neither plans nor chooses
/// among targets. Seven hundred agents would take most of what the list gives.
#[derive(Clone, Copy, Debug)]
pub struct UnusedHostList;

#[async_trait]
impl HostList for UnusedHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError> {
        std::future::pending().await
    }
}
