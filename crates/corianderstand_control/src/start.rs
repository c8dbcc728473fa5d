//! Starts the control thread of a process.

use crate::{
    appender::{self, Appender, Identity},
    duty,
    follower::Follower,
    hosts,
    snapshot::Current,
};
use corianderstand_edge::{hosts::HostList, log::LogService};
use corianderstand_types::clock::SharedClock;
use std::{sync::Arc, thread, time::Duration};
use tokio::{runtime, sync::watch};

/// What the control thread needs.
pub struct Control {
    /// Who this process is.
    pub identity: Identity,
    /// The log.
    pub log: Arc<dyn LogService>,
    /// The host list.
    pub hosts: Arc<dyn HostList>,
    /// Time.
    pub clock: SharedClock,
    /// Longest wait of one read of the log.
    pub log_poll: Duration,
    /// Time between two readings of the host list.
    pub hosts_poll: Duration,
    /// Whether this process may hold the control lease.
    pub takes_lease: bool,
}

/// What the other threads use of it.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Snapshots.
    pub current: Current,
    /// Appends.
    pub appender: Appender,
}

impl Control {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn start(self) -> std::io::Result<Handle> {
        let current = Current::default();
        let (appender, queue, decisions) = appender::channel(self.identity.clone());
        let handle = Handle { current: current.clone(), appender: appender.clone() };
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("control".into()).spawn(move || {
            let (hosts_tx, hosts_rx) = watch::channel(Arc::default());
            let log = self.log.clone();
            let follower = Follower::new(
                log,
                self.log_poll,
                self.clock.clone(),
                current.clone(),
                decisions,
                hosts_rx,
            );
            runtime.block_on(async {
                tokio::spawn(queue.run(self.log.clone()));
                tokio::spawn(hosts::run(self.hosts, self.hosts_poll, hosts_tx));
                if self.takes_lease {
                    tokio::spawn(duty::run(self.identity, self.clock, current, appender));
                }
                follower.run().await;
            });
        })?;
        Ok(handle)
    }
}
