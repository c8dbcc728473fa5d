//! Reads the log and folds it.

use crate::{
    appender::Decisions,
    snapshot::{Current, Hosts, Snapshot},
};
use corianderstand_edge::{
    EdgeError,
    log::{Entry, LogService, Page},
};
use corianderstand_schema::records::Record;
use corianderstand_state::view::View;
use corianderstand_types::clock::{self, SharedClock};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time};

/// Records in one read.
const PAGE: u32 = 1024;
/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Folds the log and publishes snapshots.
pub struct Follower {
    log: Arc<dyn LogService>,
    wait: Duration,
    clock: SharedClock,
    current: Current,
    decisions: Decisions,
    hosts: watch::Receiver<Arc<Hosts>>,
    snapshot: Snapshot,
}

impl Follower {
    /// A follower that starts from nothing; one read waits up to `wait` for a record.
    pub fn new(
        log: Arc<dyn LogService>,
        wait: Duration,
        clock: SharedClock,
        current: Current,
        decisions: Decisions,
        hosts: watch::Receiver<Arc<Hosts>>,
    ) -> Self {
        let mut snapshot = Snapshot::default();
        snapshot.state.next = 1;
        Self { log, wait, clock, current, decisions, hosts, snapshot }
    }

    /// Follows for ever.
    pub async fn run(mut self) {
        loop {
            let read = self.log.read(self.snapshot.state.next, PAGE, self.wait);
            tokio::select! {
                page = read => self.take(page).await,
                _ = self.hosts.changed() => {
                    self.snapshot.hosts = self.hosts.borrow_and_update().clone();
                    self.current.store(self.snapshot.clone());
                }
            }
        }
    }

    async fn take(&mut self, page: Result<Page, EdgeError>) {
        match page {
            Ok(page) => self.fold(&page),
            Err(error) => {
                tracing::warn!(%error, "log not read");
                self.snapshot.log_up = false;
                self.current.store(self.snapshot.clone());
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn fold(&mut self, page: &Page) {
        let decided: Vec<_> =
            page.entries.iter().filter_map(|entry| self.fold_one(entry)).collect();
        let snapshot = &mut self.snapshot;
        let changed = !page.entries.is_empty() || !snapshot.log_up || !snapshot.caught_up;
        snapshot.log_up = true;
        snapshot.caught_up |= snapshot.state.next >= page.next;
        let now = clock::unix_ms(self.clock.wall());
        snapshot.log_clock_ms = page.now_ms as i64 - now as i64;
        if snapshot.view.version != snapshot.state.documents.version {
            snapshot.view = Arc::new(View::new(&snapshot.state.documents));
        }
        if changed {
            self.current.store(snapshot.clone());
        }
        // Writers hear of their records only once the snapshot holds them, so that whoever is
        // told "accepted" finds the change in force on this process.
        for (record, offset, outcome) in decided {
            self.decisions.folded(&record, offset, &outcome);
        }
    }

    fn fold_one(
        &mut self,
        entry: &Entry,
    ) -> Option<(Record, u64, corianderstand_state::fold::Outcome)> {
        match postcard::from_bytes::<Record>(&entry.data) {
            Ok(record) => {
                let outcome = self.snapshot.state.apply(entry.offset, entry.at_ms, &record);
                Some((record, entry.offset, outcome))
            }
            Err(error) => {
                // A record of a later version must not stop the fold for ever; it is skipped
                // on all processes of this version alike.
                tracing::error!(offset = entry.offset, %error, "record cannot be read");
                self.snapshot.state.next = entry.offset + 1;
                None
            }
        }
    }
}
