//! Snapshots of the agreed state and the hosts.

use arc_swap::ArcSwap;
use corianderstand_derives::derives;
use corianderstand_state::{fold::State, view::View};
use corianderstand_types::{clock, names::HostId};
use std::{collections::BTreeSet, sync::Arc, time::SystemTime};
use tokio::sync::watch;

/// The hosts by state, derived from the host list.
#[derives(data)]
#[derive(Default, Eq)]
pub struct Hosts {
    /// Hosts that may be used.
    pub live: BTreeSet<HostId>,
    /// Hosts that are about to be reclaimed.
    pub leaving: BTreeSet<HostId>,
    /// Hosts that are no longer listed; see [`crate::membership`].
    pub gone: BTreeSet<HostId>,
}

/// What a process without state waits for.
#[derives(key)]
#[derive(Default)]
pub enum Waiting {
    /// The log is being read.
    #[default]
    Start,
    /// The log does not respond and no peer returned its state.
    Log,
    /// The log dropped its oldest records and neither a checkpoint nor a peer provides the state.
    Checkpoint,
}

impl Waiting {
    /// The reason why the process is not ready.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::Start => "it has no settings yet: it is reading the log",
            Self::Log => "it has no settings yet: the log does not respond and no peer has them",
            Self::Checkpoint => {
                "it has no settings yet: the log dropped old records and no checkpoint or peer has them"
            }
        }
    }
}

/// A consistent view of state and hosts; cheap to clone, as the state shares its parts.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The folded log.
    pub state: State,
    /// The parsed settings.
    pub view: Arc<View>,
    /// The hosts.
    pub hosts: Arc<Hosts>,
    /// Whether the log has been read to its end at least once.
    pub caught_up: bool,
    /// What the process waits for until `caught_up` is set.
    pub waiting: Waiting,
    /// Number of successful reads of the log since startup.
    pub reads: u64,
    /// Oldest offset that the log retains.
    pub oldest: u64,
    /// Log time up to which every record has been folded.
    pub read_to_ms: u64,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// Estimated offset of the log's clock from this host's, in milliseconds.
    pub log_clock_ms: i64,
}

impl Snapshot {
    /// Estimated time of the log's clock, in milliseconds since the Unix epoch.
    pub fn log_now_ms(&self, wall: SystemTime) -> u64 {
        clock::unix_ms(wall).saturating_add_signed(self.log_clock_ms)
    }
}

/// Holds the current snapshot and notifies subscribers of each new one.
#[derive(Clone, Debug)]
pub struct CurrentSnapshot {
    swap: Arc<ArcSwap<Snapshot>>,
    changed: watch::Sender<u64>,
}

impl Default for CurrentSnapshot {
    fn default() -> Self {
        Self { swap: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl CurrentSnapshot {
    /// Returns the current snapshot.
    pub fn load(&self) -> Arc<Snapshot> {
        self.swap.load_full()
    }

    /// Replaces the snapshot and notifies subscribers.
    pub fn store(&self, snapshot: Snapshot) {
        self.swap.store(Arc::new(snapshot));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Subscribes to new snapshots.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
