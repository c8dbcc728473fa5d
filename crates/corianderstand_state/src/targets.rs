//! Targets announced by their agents.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::{Record, TargetRecord};
use corianderstand_types::names::TargetId;

/// One announced target.
#[derives(wire)]
pub struct Target {
    /// The announced record.
    pub record: TargetRecord,
    /// Offset of the announcement.
    pub offset: u64,
    /// Incarnation of the agent that announced it.
    pub incarnation: u64,
    /// Whether its host is leaving, according to the lease holder's host list.
    pub leaving: bool,
}

/// All announced targets.
#[derives(wire)]
#[derive(Default)]
pub struct Targets {
    /// Targets by name.
    pub by_name: imbl::OrdMap<TargetId, Target>,
    /// Offset of the last change.
    pub version: u64,
}

impl Targets {
    /// Adds a target or replaces its earlier announcement.
    pub fn announce(&mut self, offset: u64, target: &TargetRecord, record: &Record) {
        let (record, incarnation) = (target.clone(), record.incarnation);
        let entry = Target { record, offset, incarnation, leaving: false };
        self.by_name.insert(target.target.clone(), entry);
        self.version = offset;
    }

    /// Removes a target whose agent shut down cleanly.
    pub fn withdraw(
        &mut self,
        offset: u64,
        target: &TargetId,
        record: &Record,
    ) -> Result<(), Rejection> {
        let current = self.by_name.get(target).ok_or(Rejection::TargetChanged)?;
        // A late withdrawal must not remove the announcement of a restarted agent.
        if current.incarnation != record.incarnation {
            return Err(Rejection::TargetChanged);
        }
        self.by_name.remove(target);
        self.version = offset;
        Ok(())
    }

    /// Removes a target whose host is gone, unless it was announced again.
    pub fn remove(
        &mut self,
        offset: u64,
        target: &TargetId,
        target_offset: u64,
    ) -> Result<(), Rejection> {
        self.check(target, target_offset)?;
        self.by_name.remove(target);
        self.version = offset;
        Ok(())
    }

    /// Sets whether a target's host is leaving, unless the target was announced again.
    pub fn set_leaving(
        &mut self,
        offset: u64,
        target: &TargetId,
        target_offset: u64,
        leaving: bool,
    ) -> Result<(), Rejection> {
        self.check(target, target_offset)?;
        if let Some(entry) = self.by_name.get_mut(target) {
            entry.leaving = leaving;
            self.version = offset;
        }
        Ok(())
    }

    /// Whether a target's host is leaving.
    pub fn is_leaving(&self, target: &TargetId) -> bool {
        self.by_name.get(target).is_some_and(|entry| entry.leaving)
    }

    /// Fails unless the announcement of `target` at `offset` is still current.
    pub fn check(&self, target: &TargetId, offset: u64) -> Result<(), Rejection> {
        let current = self.by_name.get(target).ok_or(Rejection::TargetChanged)?;
        if current.offset == offset { Ok(()) } else { Err(Rejection::TargetChanged) }
    }
}
