//! Limits how often the host list is read, to stay within the control traffic budget.

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

/// A host list that is read less often the longer it is.
pub struct Paced<L> {
    list: L,
    clock: SharedClock,
    not_before: Mutex<Option<Instant>>,
}

impl<L: HostList> Paced<L> {
    /// Limits the reads of `list`; the first one is not delayed.
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

/// A host list whose reads never complete, for agents: they neither plan nor select targets.
#[derive(Clone, Copy, Debug)]
pub struct UnusedHostList;

#[async_trait]
impl HostList for UnusedHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError> {
        std::future::pending().await
    }
}
