//! Folds the log and publishes snapshots.

use crate::{
    appender::{Appender, FoldNotifier},
    peers::Peers,
    restore::{self, CheckpointSearch},
    snapshot::{CurrentSnapshot, Hosts, Snapshot, Waiting},
};
use corianderstand_edge::{
    EdgeError,
    log::{Entry, LogService, Page},
};
use corianderstand_schema::records::Record;
use corianderstand_state::{
    fold::{Outcome, State},
    view::View,
};
use corianderstand_types::clock::{self, SharedClock};
use rand::RngExt;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, time};

const MAX_PAGE_RECORDS: u32 = 1024;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Configuration of a [`Follower`].
pub struct FollowerConfig {
    /// The log.
    pub log: Arc<dyn LogService>,
    /// Longest wait of one read.
    pub wait: Duration,
    /// Source of state besides the log.
    pub peers: Arc<dyn Peers>,
    /// The clock.
    pub clock: SharedClock,
    /// Updates of the hosts.
    pub hosts: watch::Receiver<Arc<Hosts>>,
    /// Appends recovery checkpoints; `None` for agents.
    pub recovery_appender: Option<Appender>,
}

/// Reads the log, folds its records into the state and publishes snapshots.
pub struct Follower {
    config: FollowerConfig,
    current: CurrentSnapshot,
    notifier: FoldNotifier,
    snapshot: Snapshot,
    search: Option<CheckpointSearch>,
    recovery_due_at: Option<Instant>,
}

impl Follower {
    /// A follower that starts with an empty state.
    pub fn new(config: FollowerConfig, current: CurrentSnapshot, notifier: FoldNotifier) -> Self {
        let mut snapshot = Snapshot::default();
        snapshot.state.next = 1;
        Self { config, current, notifier, snapshot, search: None, recovery_due_at: None }
    }

    /// Follows the log; never returns.
    pub async fn run(mut self) {
        loop {
            let from = self.search.as_ref().map_or(self.snapshot.state.next, |s| s.cursor);
            let read = self.config.log.read(from, MAX_PAGE_RECORDS, self.config.wait);
            tokio::select! {
                page = read => self.handle_read(page).await,
                _ = self.config.hosts.changed() => {
                    self.snapshot.hosts = self.config.hosts.borrow_and_update().clone();
                    self.current.store(self.snapshot.clone());
                }
            }
        }
    }

    async fn handle_read(&mut self, page: Result<Page, EdgeError>) {
        match page {
            Ok(page) if restore::has_gap(&self.snapshot.state, &page) => self.restore(&page).await,
            Ok(page) => self.fold(&page),
            Err(error) => {
                tracing::warn!(%error, "log read failed");
                self.snapshot.log_up = false;
                if !self.snapshot.caught_up {
                    self.snapshot.waiting = Waiting::Log;
                    self.query_peers(0).await;
                }
                self.current.store(self.snapshot.clone());
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Applies the state of a peer if it is newer and the log continues it.
    async fn query_peers(&mut self, oldest: u64) -> bool {
        let state = self.config.peers.state().await;
        let next = self.snapshot.state.next;
        let Some(state) = state.filter(|s| s.next > next && s.next >= oldest) else { return false };
        tracing::info!(next = state.next, "state loaded from a peer");
        self.replace_state(state);
        self.snapshot.caught_up = true;
        true
    }

    fn replace_state(&mut self, state: State) {
        self.snapshot.state = state;
        self.refresh_view();
        self.search = None;
    }

    async fn restore(&mut self, page: &Page) {
        let search = self.search.get_or_insert_with(|| CheckpointSearch::new(page.oldest));
        search.cursor = search.cursor.max(page.oldest);
        let found = search.scan(page);
        let next = self.snapshot.state.next;
        match found.filter(|state| state.next > next) {
            Some(state) => {
                tracing::info!(next = state.next, "state loaded from a checkpoint");
                self.replace_state(state);
            }
            None if self.query_peers(page.oldest).await => {}
            None => {
                self.snapshot.waiting = Waiting::Checkpoint;
                self.snapshot.caught_up = false;
                self.write_recovery_checkpoint(page);
            }
        }
        self.current.store(self.snapshot.clone());
    }

    fn write_recovery_checkpoint(&mut self, page: &Page) {
        let Some(appender) = self.config.recovery_appender.clone() else { return };
        let now = self.config.clock.now();
        let factor: f64 = rand::rng().random_range(1.0..2.0);
        let due =
            *self.recovery_due_at.get_or_insert(now + restore::RECOVERY_DELAY.mul_f64(factor));
        if now < due || self.snapshot.state.documents.version == 0 {
            return;
        }
        tracing::error!(
            "dropped records were never read: writing a recovery checkpoint without them"
        );
        self.recovery_due_at = Some(now + restore::RECOVERY_DELAY);
        let bodies = restore::recovery_records(&self.snapshot.state, page);
        // The checkpoint search reads them back, not the fold, so the appends are never resolved.
        tokio::spawn(async move {
            let appends = bodies.into_iter().map(|body| appender.append(body, RETRY_PAUSE));
            drop(futures::future::join_all(appends).await);
        });
    }

    fn fold(&mut self, page: &Page) {
        self.search = None;
        self.recovery_due_at = None;
        let decided: Vec<_> =
            page.entries.iter().filter_map(|entry| self.fold_one(entry)).collect();
        let at_end = self.snapshot.state.next >= page.next;
        let snapshot = &mut self.snapshot;
        snapshot.log_up = true;
        snapshot.reads += 1;
        snapshot.oldest = page.oldest;
        snapshot.caught_up |= at_end;
        if at_end {
            snapshot.read_to_ms = snapshot.read_to_ms.max(page.now_ms);
        }
        let now = clock::unix_ms(self.config.clock.wall());
        snapshot.log_clock_ms = page.now_ms as i64 - now as i64;
        self.refresh_view();
        self.current.store(self.snapshot.clone());
        // After the snapshot is published, so that an accepted change is in force on this process.
        for (record, offset, outcome) in decided {
            self.notifier.notify(&record, offset, &outcome);
        }
    }

    fn refresh_view(&mut self) {
        let snapshot = &mut self.snapshot;
        if snapshot.view.version != snapshot.state.documents.version {
            snapshot.view = Arc::new(View::new(&snapshot.state.documents));
        }
    }

    fn fold_one(&mut self, entry: &Entry) -> Option<(Record, u64, Outcome)> {
        match postcard::from_bytes::<Record>(&entry.data) {
            Ok(record) => {
                let outcome = self.snapshot.state.apply(entry.offset, entry.at_ms, &record);
                Some((record, entry.offset, outcome))
            }
            Err(error) => {
                // A record of a later version, which all processes of this version skip.
                tracing::error!(offset = entry.offset, %error, "record cannot be decoded, skipping it");
                self.snapshot.state.next = entry.offset + 1;
                None
            }
        }
    }
}
