//! Appends for one process: batched, numbered and retried until the log responds.

use corianderstand_edge::log::LogService;
use corianderstand_schema::records::{Body, Record};
use corianderstand_state::fold::Outcome;
use corianderstand_types::names::WriterId;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

/// Capacity of the append queue.
pub const MAX_QUEUED_RECORDS: usize = 4096;
/// Maximum number of records in one append.
pub const MAX_APPEND_RECORDS: usize = 256;
/// Minimum pause between two appends, during which records are batched.
pub const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Failed attempts in a row after which the log counts as down; one or two responses may be lost.
const MAX_FAILED_ATTEMPTS: u32 = 3;

/// Why the outcome of an append is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum AppendError {
    /// the append queue is full: the log is slow or down; retry in a few seconds
    Full,
    /// the log has not responded in time: it is not yet known whether the record took effect
    Undecided,
}

impl std::error::Error for AppendError {}

/// The offset and outcome of a folded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldedAppend {
    /// The offset of the record.
    pub offset: u64,
    /// The effect of the record on the state.
    pub outcome: Outcome,
}

struct QueuedAppend {
    body: Body,
    decided: oneshot::Sender<FoldedAppend>,
}

type Pending = Arc<Mutex<BTreeMap<u64, oneshot::Sender<FoldedAppend>>>>;

/// Queues records for the control thread to append.
#[derive(Clone, Debug)]
pub struct Appender {
    tx: mpsc::Sender<QueuedAppend>,
    failed_attempts: watch::Receiver<u32>,
}

impl std::fmt::Debug for QueuedAppend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.body.fmt(f)
    }
}

impl Appender {
    /// Appends a record and waits until it has been read back and folded.
    ///
    /// # Errors
    ///
    /// [`AppendError::Full`] if the queue is full; [`AppendError::Undecided`] after `timeout`, in
    /// which case the record may still take effect.
    pub async fn append(&self, body: Body, timeout: Duration) -> Result<FoldedAppend, AppendError> {
        let (decided, rx) = oneshot::channel();
        self.tx.try_send(QueuedAppend { body, decided }).map_err(|_| AppendError::Full)?;
        match time::timeout(timeout, rx).await {
            Ok(Ok(decided)) => Ok(decided),
            _ => Err(AppendError::Undecided),
        }
    }

    /// Whether the log has failed the last attempts.
    pub fn is_failing(&self) -> bool {
        *self.failed_attempts.borrow() >= MAX_FAILED_ATTEMPTS
    }

    /// Waits until the log has failed some attempts in a row.
    pub async fn wait_until_failing(&self) {
        let mut failed_attempts = self.failed_attempts.clone();
        if failed_attempts.wait_for(|failed| *failed >= MAX_FAILED_ATTEMPTS).await.is_err() {
            // The queue has ended, and with it all knowledge of the log.
            std::future::pending::<()>().await;
        }
    }
}

/// The receiving end of the append queue.
pub struct AppendQueue {
    rx: mpsc::Receiver<QueuedAppend>,
    pending: Pending,
    identity: Identity,
    failed_attempts: watch::Sender<u32>,
}

/// Identifies an incarnation of a process as a writer of the log.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the process.
    pub writer: WriterId,
    /// Distinguishes restarts of the process.
    pub incarnation: u64,
}

/// Notifies writers whose records the follower has folded.
#[derive(Clone, Debug)]
pub struct FoldNotifier {
    pending: Pending,
    identity: Identity,
}

/// Creates an append queue and the notifier for the follower.
pub fn channel(identity: Identity) -> (Appender, AppendQueue, FoldNotifier) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_RECORDS);
    let pending = Pending::default();
    let (failed_tx, failed_attempts) = watch::channel(0);
    let notifier = FoldNotifier { pending: pending.clone(), identity: identity.clone() };
    let queue = AppendQueue { rx, pending, identity, failed_attempts: failed_tx };
    (Appender { tx, failed_attempts }, queue, notifier)
}

fn lock(pending: &Pending) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<FoldedAppend>>> {
    pending.lock().expect("no holder of this lock panics")
}

impl FoldNotifier {
    /// Sends the outcome of a record to the writer that waits for it.
    pub fn notify(&self, record: &Record, offset: u64, outcome: &Outcome) {
        let is_own = record.writer == self.identity.writer
            && record.incarnation == self.identity.incarnation;
        if !is_own || *outcome == Outcome::Repeated {
            return;
        }
        if let Some(tx) = lock(&self.pending).remove(&record.sequence) {
            drop(tx.send(FoldedAppend { offset, outcome: outcome.clone() }));
        }
    }
}

impl AppendQueue {
    /// Appends queued records until all senders are dropped.
    pub async fn run(mut self, log: Arc<dyn LogService>) {
        let mut sequence = 0;
        let mut queued = Vec::new();
        while self.rx.recv_many(&mut queued, MAX_APPEND_RECORDS).await > 0 {
            let records = queued
                .drain(..)
                .map(|append| self.assign_sequence(append, &mut sequence))
                .collect();
            self.append_until_answered(&*log, records).await;
            time::sleep(MIN_APPEND_INTERVAL).await;
        }
    }

    /// Retries an append until the log responds; the fold ignores duplicates by sequence number.
    async fn append_until_answered(&self, log: &dyn LogService, records: Vec<Vec<u8>>) {
        while let Err(error) = log.append(records.clone()).await {
            tracing::warn!(%error, "append failed, retrying");
            self.failed_attempts.send_modify(|failed| *failed = failed.saturating_add(1));
            time::sleep(RETRY_PAUSE).await;
        }
        self.failed_attempts.send_replace(0);
    }

    fn assign_sequence(&self, queued: QueuedAppend, sequence: &mut u64) -> Vec<u8> {
        *sequence += 1;
        lock(&self.pending).insert(*sequence, queued.decided);
        let Identity { writer, incarnation } = self.identity.clone();
        let record = Record { writer, incarnation, sequence: *sequence, body: queued.body };
        postcard::to_stdvec(&record).expect("records are plain data")
    }
}
