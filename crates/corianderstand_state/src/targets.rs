//! Targets as their agents announce them.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::{Record, TargetRecord};
use corianderstand_types::names::TargetId;

/// One announced target.
#[derives(wire)]
pub struct Target {
    /// The announcement.
    pub record: TargetRecord,
    /// Offset of the announcement.
    pub offset: u64,
    /// Start of the agent that announced it.
    pub incarnation: u64,
    /// Whether its host leaves, by the host list as the lease holder read it.
    pub leaving: bool,
}

/// All announced targets.
#[derives(wire)]
#[derive(Default)]
pub struct Targets {
    /// Targets by name.
    pub by_name: imbl::OrdMap<TargetId, Target>,
    /// Offset of the last change, for followers that copy the map.
    pub version: u64,
}

impl Targets {
    /// Notes an announcement; a later one of the same target replaces it.
    pub fn announce(&mut self, offset: u64, target: &TargetRecord, record: &Record) {
        let (record, incarnation) = (target.clone(), record.incarnation);
        let entry = Target { record, offset, incarnation, leaving: false };
        self.by_name.insert(target.target.clone(), entry);
        self.version = offset;
    }

    /// Removes a target whose agent stopped as planned.
    pub fn withdraw(
        &mut self,
        offset: u64,
        target: &TargetId,
        record: &Record,
    ) -> Result<(), Rejection> {
        let current = self.by_name.get(target).ok_or(Rejection::TargetChanged)?;
        // A late farewell of an agent that has been restarted must not remove its successor.
        if current.incarnation != record.incarnation {
            return Err(Rejection::TargetChanged);
        }
        self.by_name.remove(target);
        self.version = offset;
        Ok(())
    }

    /// Removes a target whose host is gone, if it was not announced anew since.
    pub fn remove(
        &mut self,
        offset: u64,
        target: &TargetId,
        announced: u64,
    ) -> Result<(), Rejection> {
        self.check(target, announced)?;
        self.by_name.remove(target);
        self.version = offset;
        Ok(())
    }

    /// Notes whether a target's host leaves, if it was not announced anew since.
    ///
    /// The host list is long, so agents do not read it and routers read it seldom. Without this
    /// record a leaving target would get new work until they did, and would keep its slots.
    pub fn set_leaving(
        &mut self,
        offset: u64,
        target: &TargetId,
        announced: u64,
        leaving: bool,
    ) -> Result<(), Rejection> {
        self.check(target, announced)?;
        if let Some(entry) = self.by_name.get_mut(target) {
            entry.leaving = leaving;
            self.version = offset;
        }
        Ok(())
    }

    /// Whether a target's host leaves.
    pub fn is_leaving(&self, target: &TargetId) -> bool {
        self.by_name.get(target).is_some_and(|entry| entry.leaving)
    }

    /// Whether `target` is still announced as a planner saw it.
    pub fn check(&self, target: &TargetId, offset: u64) -> Result<(), Rejection> {
        let current = self.by_name.get(target).ok_or(Rejection::TargetChanged)?;
        if current.offset == offset { Ok(()) } else { Err(Rejection::TargetChanged) }
    }
}
