//! The control lease: its holder plans, marks leaving targets and writes checkpoints.
//!
//! Expiry uses the log's append time, so every process agrees on whether the lease had expired.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::Record;
use corianderstand_types::names::WriterId;

/// State of the control lease.
#[derives(wire)]
#[derive(Default)]
pub struct Lease {
    /// Epoch; each acquisition increments it.
    pub epoch: u64,
    /// Holder and its incarnation, unless released.
    pub holder: Option<(WriterId, u64)>,
    /// Time to live without renewal, in milliseconds.
    pub ttl_ms: u64,
    /// Log time at which the lease expires, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

impl Lease {
    /// Acquires the lease if it is free or has expired.
    pub fn acquire(
        &mut self,
        epoch: u64,
        ttl_ms: u64,
        now_ms: u64,
        record: &Record,
    ) -> Result<(), Rejection> {
        let free = self.holder.is_none() || now_ms >= self.until_ms;
        if epoch != self.epoch + 1 || !free {
            return Err(Rejection::LeaseNotHeld);
        }
        let holder = Some((record.writer.clone(), record.incarnation));
        *self = Self { epoch, holder, ttl_ms, until_ms: now_ms + ttl_ms };
        Ok(())
    }

    /// Extends the lease by its time to live.
    pub fn renew(&mut self, epoch: u64, now_ms: u64, record: &Record) -> Result<(), Rejection> {
        self.check(epoch, record)?;
        self.until_ms = now_ms + self.ttl_ms;
        Ok(())
    }

    /// Releases the lease, so that another writer can acquire it at once.
    pub fn release(&mut self, epoch: u64, record: &Record) -> Result<(), Rejection> {
        self.check(epoch, record)?;
        self.holder = None;
        Ok(())
    }

    /// Fails unless `record` was written by the lease holder in this epoch.
    pub fn check(&self, epoch: u64, record: &Record) -> Result<(), Rejection> {
        let is_holder = self.held_by(&record.writer, record.incarnation);
        if epoch == self.epoch && is_holder { Ok(()) } else { Err(Rejection::LeaseNotHeld) }
    }

    /// Whether a writer holds the lease.
    pub fn held_by(&self, writer: &WriterId, incarnation: u64) -> bool {
        self.holder.as_ref().is_some_and(|(w, i)| w == writer && *i == incarnation)
    }
}
