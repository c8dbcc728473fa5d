//! Appends for one process: packed, numbered, repeated until answered.

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
    sync::{mpsc, oneshot},
    time,
};

/// Records that wait to be appended; more are refused.
pub const MAX_QUEUED_RECORDS: usize = 4096;
/// Records in one append.
pub const MAX_APPEND_RECORDS: usize = 256;
/// Shortest time between two appends of one process, so that records gather.
pub const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(5);
/// Pause before an append is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An append that was not decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum AppendError {
    /// too many records wait for the log: it is slow or down; try again in a few seconds
    Full,
    /// the log has not answered in time: whether the record took effect is not known yet
    Undecided,
}

impl std::error::Error for AppendError {}

/// A record folded: where, and what it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decided {
    /// Its offset.
    pub offset: u64,
    /// What it did.
    pub outcome: Outcome,
}

struct QueuedAppend {
    body: Body,
    decided: oneshot::Sender<Decided>,
}

type Pending = Arc<Mutex<BTreeMap<u64, oneshot::Sender<Decided>>>>;

/// Hands records to the thread that appends them.
#[derive(Clone, Debug)]
pub struct Appender {
    tx: mpsc::Sender<QueuedAppend>,
}

impl std::fmt::Debug for QueuedAppend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.body.fmt(f)
    }
}

impl Appender {
    /// Appends a record and waits until it was read back and folded.
    ///
    /// # Errors
    ///
    /// [`AppendError::Undecided`] after `timeout`; the record may still take effect.
    pub async fn append(&self, body: Body, timeout: Duration) -> Result<Decided, AppendError> {
        let (decided, rx) = oneshot::channel();
        self.tx.try_send(QueuedAppend { body, decided }).map_err(|_| AppendError::Full)?;
        match time::timeout(timeout, rx).await {
            Ok(Ok(decided)) => Ok(decided),
            _ => Err(AppendError::Undecided),
        }
    }
}

/// The end of the ring that the control thread holds.
pub struct AppendQueue {
    rx: mpsc::Receiver<QueuedAppend>,
    pending: Pending,
    identity: Identity,
}

/// Who writes: the process, and which start of it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The process.
    pub writer: WriterId,
    /// Its start.
    pub incarnation: u64,
}

/// What the follower tells of records that it folded.
#[derive(Clone, Debug)]
pub struct FoldNotifier {
    pending: Pending,
    identity: Identity,
}

/// A ring for records, its far end, and the follower's end.
pub fn channel(identity: Identity) -> (Appender, AppendQueue, FoldNotifier) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_RECORDS);
    let pending = Pending::default();
    let notifier = FoldNotifier { pending: pending.clone(), identity: identity.clone() };
    (Appender { tx }, AppendQueue { rx, pending, identity }, notifier)
}

fn lock(pending: &Pending) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<Decided>>> {
    pending.lock().expect("no holder of this lock panics")
}

impl FoldNotifier {
    /// Tells the queued writer what became of its record.
    pub fn notify(&self, record: &Record, offset: u64, outcome: &Outcome) {
        let is_own = record.writer == self.identity.writer
            && record.incarnation == self.identity.incarnation;
        if !is_own || *outcome == Outcome::Repeated {
            return;
        }
        if let Some(tx) = lock(&self.pending).remove(&record.sequence) {
            // Nobody waits any more if the caller gave up; the record stands all the same.
            drop(tx.send(Decided { offset, outcome: outcome.clone() }));
        }
    }
}

impl AppendQueue {
    /// Appends until all senders are gone.
    pub async fn run(mut self, log: Arc<dyn LogService>) {
        let mut sequence = 0;
        let mut queued = Vec::new();
        while self.rx.recv_many(&mut queued, MAX_APPEND_RECORDS).await > 0 {
            let records = queued
                .drain(..)
                .map(|append| self.assign_sequence(append, &mut sequence))
                .collect();
            append_until_answered(&*log, records).await;
            time::sleep(MIN_APPEND_INTERVAL).await;
        }
    }

    fn assign_sequence(&self, queued: QueuedAppend, sequence: &mut u64) -> Vec<u8> {
        *sequence += 1;
        lock(&self.pending).insert(*sequence, queued.decided);
        let Identity { writer, incarnation } = self.identity.clone();
        let record = Record { writer, incarnation, sequence: *sequence, body: queued.body };
        postcard::to_stdvec(&record).expect("records are plain data")
    }
}

/// Repeats an append until the log answers.
///
/// An answer may be lost after the write took effect. The records carry their numbers, so a
/// second copy is folded once; giving up instead would leave later records ahead of earlier.
async fn append_until_answered(log: &dyn LogService, records: Vec<Vec<u8>>) {
    while let Err(error) = log.append(records.clone()).await {
        tracing::warn!(%error, "append not answered, repeating it");
        time::sleep(RETRY_PAUSE).await;
    }
}
