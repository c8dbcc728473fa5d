//! What a process knows of the agreed state and the hosts, as of a moment.

use arc_swap::ArcSwap;
use corianderstand_derives::derives;
use corianderstand_state::{fold::State, view::View};
use corianderstand_types::{clock, names::HostId};
use std::{collections::BTreeSet, sync::Arc, time::SystemTime};
use tokio::sync::watch;

/// The hosts as the list last told.
#[derives(data)]
#[derive(Default, Eq)]
pub struct Hosts {
    /// Hosts in use.
    pub live: BTreeSet<HostId>,
    /// Hosts about to be taken back.
    pub leaving: BTreeSet<HostId>,
}

/// One consistent picture; cheap to clone, as the state shares its parts.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The folded log.
    pub state: State,
    /// Its settings, parsed.
    pub view: Arc<View>,
    /// The hosts.
    pub hosts: Arc<Hosts>,
    /// Whether the log has been read to its end at least once.
    pub caught_up: bool,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// Estimate of the log's clock minus this host's, in milliseconds.
    pub log_clock_ms: i64,
}

impl Snapshot {
    /// The log's clock, estimated, in milliseconds since the Unix epoch.
    pub fn log_now_ms(&self, wall: SystemTime) -> u64 {
        clock::unix_ms(wall).saturating_add_signed(self.log_clock_ms)
    }
}

/// The current snapshot, and word of each new one.
#[derive(Clone, Debug)]
pub struct Current {
    swap: Arc<ArcSwap<Snapshot>>,
    changed: watch::Sender<u64>,
}

impl Default for Current {
    fn default() -> Self {
        Self { swap: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl Current {
    /// The snapshot now.
    pub fn load(&self) -> Arc<Snapshot> {
        self.swap.load_full()
    }

    /// Replaces it and tells all who wait.
    pub fn store(&self, snapshot: Snapshot) {
        self.swap.store(Arc::new(snapshot));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Word of each new snapshot.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
