//! The fold itself: repeats and order are settled here, each record's meaning in its module.

use crate::{calls, checkpoint, documents, expiry, history, lease, slots, targets};
use corianderstand_derives::derives;
use corianderstand_schema::records::{Body, Change, Record};
use corianderstand_types::names::WriterId;

/// What a record did.
#[derives(data)]
#[derive(Eq)]
pub enum Outcome {
    /// It took effect.
    Applied,
    /// It had been folded before; a repeat after a lost answer.
    Repeated,
    /// Its condition no longer held.
    Rejected(Rejection),
}

/// Why a record had no effect.
#[derives(data)]
#[derive(Eq, displaydoc::Display)]
pub enum Rejection {
    /// `{path}` is at version {version}, not {base}: fetch it, merge and apply again
    Conflict {
        /// Path of the document in the way.
        path: smol_str::SmolStr,
        /// Version in force.
        version: u64,
        /// Version the change was made from.
        base: u64,
    },
    /// the change reached the log after its time ({until}): apply it again
    Expired {
        /// Last log time at which it would have had effect.
        until: u64,
    },
    /// the lease is held or has moved on: the writer no longer decides
    LeaseNotHeld,
    /// the slot is taken or has moved on
    SlotConflict,
    /// the target is unknown or was announced anew
    TargetChanged,
    /// another record for this call came first
    CallConflict,
    /// a part of the checkpoint is missing: another one follows
    CheckpointGap,
    /// as many calls are remembered as may be: come back later
    CallsFull,
}

/// Last record folded from one writer.
#[derives(wire)]
#[derive(Copy, Eq)]
pub struct Progress {
    /// Start of the writer.
    pub incarnation: u64,
    /// Last sequence folded.
    pub sequence: u64,
    /// Log time of its last record.
    pub at_ms: u64,
}

/// Everything agreed, as of one offset.
#[derives(wire)]
#[derive(Default)]
pub struct State {
    /// Next offset to fold.
    pub next: u64,
    /// Log time of the last record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Settings documents by path.
    pub documents: documents::Documents,
    /// What became of the last changes to them.
    pub history: history::History,
    /// Checkpoints in the log.
    pub checkpoints: checkpoint::Checkpoints,
    /// Announced targets.
    pub targets: targets::Targets,
    /// Slots and their owners.
    pub slots: slots::Slots,
    /// The control lease.
    pub lease: lease::Lease,
    /// Calls that may not be repeated.
    pub calls: calls::Calls,
    /// Progress of each writer.
    pub writers: imbl::OrdMap<WriterId, Progress>,
}

impl State {
    /// Folds the record at `offset`, appended at log time `at_ms`.
    ///
    /// Offsets are folded in order; one below [`State::next`] is a repeat, so state never
    /// goes back.
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

    /// Notes the writer's progress; false for a record folded before.
    ///
    /// An append whose answer was lost is sent again and so may stand in the log twice. The
    /// writer numbers its records, so the second copy is recognised and skipped.
    fn advance_writer(&mut self, record: &Record) -> bool {
        let (incarnation, sequence) = (record.incarnation, record.sequence);
        let now = Progress { incarnation, sequence, at_ms: self.time_ms };
        let known = self.writers.get(&record.writer);
        let newer = known.is_none_or(|known| {
            (now.incarnation, now.sequence) > (known.incarnation, known.sequence)
        });
        if newer {
            self.writers.insert(record.writer.clone(), now);
        }
        newer
    }

    fn apply_body(&mut self, offset: u64, record: &Record) -> Result<(), Rejection> {
        let now = self.time_ms;
        match &record.body {
            Body::Settings { changes, author, ticket, not_after_ms } => {
                let result = self.apply_settings(offset, changes, author, *not_after_ms);
                self.history.record((offset, now), ticket, author, changes, &result);
                result
            }
            Body::LeaseTaken { epoch, ttl_ms } => self.lease.acquire(*epoch, *ttl_ms, now, record),
            Body::LeaseRenewed { epoch } => self.lease.renew(*epoch, now, record),
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
                self.calls.claim(offset, now, key, *digest, target, record)
            }
            Body::CallEnded { key, claim, answer } => self.calls.end(key, *claim, answer.as_ref()),
            Body::CallVoided { key } => self.calls.void(offset, now, key),
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
                self.checkpoints.record_part((offset, now), *as_of, *part, *parts)
            }
        }
    }

    /// Changes settings, unless the record came into the log too late.
    ///
    /// An operator may have been told "not known yet" and have asked again after the record's
    /// time: it is then called refused, so a copy that reaches the log later must do nothing.
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
