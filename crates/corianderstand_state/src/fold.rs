//! The fold: deduplicates records and dispatches each to the module that applies it.

use crate::{calls, checkpoint, documents, expiry, history, lease, slots, targets};
use corianderstand_derives::derives;
use corianderstand_schema::records::{Body, Change, Record};
use corianderstand_types::names::WriterId;

/// Result of applying a record.
#[derives(data)]
#[derive(Eq)]
pub enum Outcome {
    /// The record took effect.
    Applied,
    /// The record had already been applied: a retried append.
    Repeated,
    /// The record's condition did not hold.
    Rejected(Rejection),
}

/// Why a record had no effect.
#[derives(data)]
#[derive(Eq, displaydoc::Display)]
pub enum Rejection {
    /// `{path}` is at version {version}, not {base}: fetch it, merge and apply again
    Conflict {
        /// Path of the conflicting document.
        path: smol_str::SmolStr,
        /// Current version.
        version: u64,
        /// Version that the change was based on.
        base: u64,
    },
    /// the change reached the log after its time ({until}): apply it again
    Expired {
        /// Last log time at which the change could apply.
        until: u64,
    },
    /// the lease is held by another writer or its epoch is out of date
    LeaseNotHeld,
    /// the slot is occupied or was reassigned
    SlotConflict,
    /// the target is unknown or was announced again
    TargetChanged,
    /// an earlier record decided this call
    CallConflict,
    /// a part of the checkpoint is missing: the next checkpoint replaces it
    CheckpointGap,
    /// the limit on remembered calls is reached: retry later
    CallsFull,
}

/// Last record applied from one writer.
#[derives(wire)]
#[derive(Copy, Eq)]
pub struct Progress {
    /// Incarnation of the writer.
    pub incarnation: u64,
    /// Sequence number of the record.
    pub sequence: u64,
    /// Log time of the record.
    pub at_ms: u64,
}

/// The replicated state at one offset.
#[derives(wire)]
#[derive(Default)]
pub struct State {
    /// Next offset to apply.
    pub next: u64,
    /// Log time of the last record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Settings documents by path.
    pub documents: documents::Documents,
    /// Results of the latest settings changes.
    pub history: history::History,
    /// Checkpoints written to the log.
    pub checkpoints: checkpoint::Checkpoints,
    /// Announced targets.
    pub targets: targets::Targets,
    /// Replica slots and their owners.
    pub slots: slots::Slots,
    /// The control lease.
    pub lease: lease::Lease,
    /// Calls that must run at most once.
    pub calls: calls::Calls,
    /// Progress of each writer.
    pub writers: imbl::OrdMap<WriterId, Progress>,
}

impl State {
    /// Applies the record at `offset`, unless already applied; `at_ms` is its log time.
    pub fn apply(&mut self, offset: u64, at_ms: u64, record: &Record) -> Outcome {
        if offset < self.next {
            return Outcome::Repeated;
        }
        self.next = offset + 1;
        let before_ms = self.time_ms;
        self.time_ms = self.time_ms.max(at_ms);
        if expiry::is_due(before_ms, self.time_ms) {
            expiry::sweep(self);
        }
        if !self.advance_writer(record) {
            return Outcome::Repeated;
        }
        match self.apply_body(offset, record) {
            Ok(()) => Outcome::Applied,
            Err(rejection) => Outcome::Rejected(rejection),
        }
    }

    /// Returns false if the record is a duplicate from a retried append.
    fn advance_writer(&mut self, record: &Record) -> bool {
        let (incarnation, sequence) = (record.incarnation, record.sequence);
        let progress = Progress { incarnation, sequence, at_ms: self.time_ms };
        let known = self.writers.get(&record.writer);
        let newer = known.is_none_or(|known| {
            (progress.incarnation, progress.sequence) > (known.incarnation, known.sequence)
        });
        if newer {
            self.writers.insert(record.writer.clone(), progress);
        }
        newer
    }

    fn apply_body(&mut self, offset: u64, record: &Record) -> Result<(), Rejection> {
        let now_ms = self.time_ms;
        match &record.body {
            Body::Settings { changes, author, ticket, not_after_ms } => {
                let result = self.apply_settings(offset, changes, author, *not_after_ms);
                self.history.record((offset, now_ms), ticket, author, changes, &result);
                result
            }
            Body::LeaseTaken { epoch, ttl_ms } => {
                self.lease.acquire(*epoch, *ttl_ms, now_ms, record)
            }
            Body::LeaseRenewed { epoch } => self.lease.renew(*epoch, now_ms, record),
            Body::LeaseReleased { epoch } => self.lease.release(*epoch, record),
            Body::TargetUp { target } => {
                self.targets.announce(offset, target, record);
                Ok(())
            }
            Body::TargetDown { target } => self.targets.withdraw(offset, target, record),
            Body::SlotAssigned { epoch, model, index, target, target_offset } => {
                self.lease.check(*epoch, record)?;
                self.targets.check(target, *target_offset)?;
                self.slots.assign(offset, model, *index, target)
            }
            Body::SlotReleased { model, index, assigned, epoch } => {
                if let Some(epoch) = epoch {
                    self.lease.check(*epoch, record)?;
                }
                self.slots.release(offset, model, *index, *assigned, epoch.is_some(), record)
            }
            Body::Claimed { key, digest, target } => {
                self.calls.claim(offset, now_ms, key, *digest, target, record)
            }
            Body::CallEnded { key, claim, answer } => self.calls.end(key, *claim, answer.as_ref()),
            Body::CallVoided { key } => self.calls.void(offset, now_ms, key),
            Body::TargetGone { epoch, target, target_offset } => {
                self.lease.check(*epoch, record)?;
                self.targets.remove(offset, target, *target_offset)?;
                self.slots.remove_target(offset, target);
                Ok(())
            }
            Body::TargetMarked { epoch, target, target_offset, leaving } => {
                self.lease.check(*epoch, record)?;
                self.targets.set_leaving(offset, target, *target_offset, *leaving)
            }
            Body::CheckpointPart { epoch, as_of, part, parts, .. } => {
                self.lease.check(*epoch, record)?;
                self.checkpoints.record_part((offset, now_ms), *as_of, *part, *parts)
            }
        }
    }

    /// Rejects changes appended after their deadline: they were already reported as refused.
    fn apply_settings(
        &mut self,
        offset: u64,
        changes: &[Change],
        author: &str,
        not_after_ms: u64,
    ) -> Result<(), Rejection> {
        if self.time_ms > not_after_ms {
            return Err(Rejection::Expired { until: not_after_ms });
        }
        self.documents.change(offset, changes, author)
    }
}
