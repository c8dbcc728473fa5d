//! The control lease: who plans, tells which targets leave and writes checkpoints.
//!
//! Time in the fold is the log's own append time, so every process judges alike whether the
//! lease had lapsed when another writer took it.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::Record;
use corianderstand_types::names::WriterId;

/// The lease as agreed.
#[derives(wire)]
#[derive(Default)]
pub struct Lease {
    /// Number of the lease; each taking adds one.
    pub epoch: u64,
    /// Holder and its incarnation, unless released.
    pub holder: Option<(WriterId, u64)>,
    /// Length without renewal, in milliseconds.
    pub ttl_ms: u64,
    /// Log time at which it lapses, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

impl Lease {
    /// Takes the lease if it is free or has lapsed.
    pub fn acquire(
        &mut self,
        epoch: u64,
        ttl_ms: u64,
        now: u64,
        record: &Record,
    ) -> Result<(), Rejection> {
        let free = self.holder.is_none() || now >= self.until_ms;
        if epoch != self.epoch + 1 || !free {
            return Err(Rejection::LeaseNotHeld);
        }
        let holder = Some((record.writer.clone(), record.incarnation));
        *self = Self { epoch, holder, ttl_ms, until_ms: now + ttl_ms };
        Ok(())
    }

    /// Keeps the lease for another term.
    pub fn renew(&mut self, epoch: u64, now: u64, record: &Record) -> Result<(), Rejection> {
        self.check(epoch, record)?;
        self.until_ms = now + self.ttl_ms;
        Ok(())
    }

    /// Gives the lease back, so that another can take it at once.
    pub fn release(&mut self, epoch: u64, record: &Record) -> Result<(), Rejection> {
        self.check(epoch, record)?;
        self.holder = None;
        Ok(())
    }

    /// Whether `record` was written by the holder of this epoch.
    ///
    /// A holder that was paused past its lease still believes it holds it and writes what it
    /// had decided. Its epoch is old by then, so all processes void what it wrote.
    pub fn check(&self, epoch: u64, record: &Record) -> Result<(), Rejection> {
        let held = self.held_by(&record.writer, record.incarnation);
        if epoch == self.epoch && held { Ok(()) } else { Err(Rejection::LeaseNotHeld) }
    }

    /// Whether a writer holds the lease.
    pub fn held_by(&self, writer: &WriterId, incarnation: u64) -> bool {
        self.holder.as_ref().is_some_and(|(w, i)| w == writer && *i == incarnation)
    }
}
