//! Starts the control thread of a process.

use crate::{
    appender::{self, Appender, Identity},
    follower::{Follower, FollowerConfig},
    hosts,
    lease::LeaseTask,
    peers::Peers,
    snapshot::CurrentSnapshot,
};
use corianderstand_edge::{hosts::HostList, log::LogService};
use corianderstand_schema::records::Body;
use corianderstand_types::clock::SharedClock;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{runtime, sync::watch};

/// Configuration of the control thread.
pub struct ControlThread {
    /// The writer identity of this process.
    pub identity: Identity,
    /// The log.
    pub log: Arc<dyn LogService>,
    /// The host list.
    pub hosts: Arc<dyn HostList>,
    /// Processes to request state from.
    pub peers: Arc<dyn Peers>,
    /// The clock.
    pub clock: SharedClock,
    /// Longest wait of one read of the log.
    pub log_read_wait: Duration,
    /// Interval at which the host list is polled.
    pub hosts_poll_interval: Duration,
    /// Whether this process may hold the control lease.
    pub may_hold_lease: bool,
}

/// Gives other threads access to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    /// The current snapshot.
    pub current: CurrentSnapshot,
    /// Appends records to the log.
    pub appender: Appender,
    identity: Identity,
    resigned: Arc<AtomicBool>,
}

const RESIGN_TIMEOUT: Duration = Duration::from_secs(1);

impl ControlHandle {
    /// Releases the control lease permanently, so that another process can acquire it at once.
    pub async fn resign(&self) {
        self.resigned.store(true, Ordering::Relaxed);
        let snapshot = self.current.load();
        let lease = &snapshot.state.lease;
        if !lease.held_by(&self.identity.writer, self.identity.incarnation) {
            return;
        }
        let body = Body::LeaseReleased { epoch: lease.epoch };
        if let Err(error) = self.appender.append(body, RESIGN_TIMEOUT).await {
            tracing::warn!(%error, "lease not released: it stays held until it expires");
        }
    }
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread or its runtime cannot be created.
    pub fn start(self) -> std::io::Result<ControlHandle> {
        let current = CurrentSnapshot::default();
        let resigned = Arc::new(AtomicBool::new(false));
        let (appender, queue, notifier) = appender::channel(self.identity.clone());
        let handle = ControlHandle {
            current: current.clone(),
            appender: appender.clone(),
            identity: self.identity.clone(),
            resigned: resigned.clone(),
        };
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("control".into()).spawn(move || {
            let (hosts_tx, hosts_rx) = watch::channel(Arc::default());
            let (log, clock) = (self.log.clone(), self.clock.clone());
            let (wait, peers) = (self.log_read_wait, self.peers);
            let recovery_appender = self.may_hold_lease.then(|| appender.clone());
            let config =
                FollowerConfig { log, wait, peers, clock, hosts: hosts_rx, recovery_appender };
            let follower = Follower::new(config, current.clone(), notifier);
            let (clock, identity) = (self.clock.clone(), self.identity);
            runtime.block_on(async {
                tokio::spawn(queue.run(self.log));
                let interval = self.hosts_poll_interval;
                tokio::spawn(hosts::run(
                    self.hosts,
                    interval,
                    self.clock,
                    current.clone(),
                    hosts_tx,
                ));
                if self.may_hold_lease {
                    let lease_task = LeaseTask { identity, clock, current, appender, resigned };
                    tokio::spawn(lease_task.run());
                }
                follower.run().await;
            });
        })?;
        Ok(handle)
    }
}
