//! Which of two values of a key is newer, by what they say themselves.
//!
//! A store that came back from an older copy returns old values at new positions. They must not replace what is known:
//! a configuration in force, the leaving of a target, or its removal.

use crate::dialect::Update;
use corianderstand_derives::derives;
use corianderstand_fleet::targets;
use corianderstand_types::names;

/// What a value says of its age.
#[derives(data)]
pub enum Stamp {
    /// Of a configuration.
    Config {
        /// Its version.
        version: u64,
    },
    /// Of a target's entry.
    Target(TargetStamp),
    /// Nothing.
    None,
}

/// What a target's entry says of its age.
#[derives(data)]
pub struct TargetStamp {
    started_at_ms: u64,
    software: Option<names::SoftwareVersion>,
    is_draining: bool,
    renewals: u64,
}

impl From<&targets::Entry> for TargetStamp {
    fn from(entry: &targets::Entry) -> Self {
        Self {
            started_at_ms: entry.started_at_ms,
            software: entry.version.clone(),
            is_draining: entry.draining,
            renewals: entry.renewals,
        }
    }
}

/// How a value relates to the known one of its key.
#[derive(Clone, Copy, Debug)]
pub struct Relation {
    /// Whether the known value was read before the store came back.
    pub is_of_later_era: bool,
    /// Whether the key was removed after the known value.
    pub is_removed: bool,
}

impl Stamp {
    /// The stamp of a decoded value.
    pub fn of(update: Option<&Update>) -> Self {
        match update {
            Some(Update::Config(config)) => Self::Config { version: config.version },
            Some(Update::Target(entry)) => Self::Target(entry.into()),
            _ => Self::None,
        }
    }

    /// Whether the value with this stamp stays, although `other` has a later position.
    pub fn outranks(&self, other: &Self, relation: Relation) -> bool {
        match (self, other) {
            (Self::Config { version }, Self::Config { version: other }) => version > other,
            (Self::Target(own), Self::Target(other)) => own.outranks(other, relation),
            _ => false,
        }
    }
}

impl TargetStamp {
    fn outranks(&self, other: &Self, relation: Relation) -> bool {
        if self.started_at_ms != other.started_at_ms {
            return self.started_at_ms > other.started_at_ms;
        }
        if relation.is_removed {
            // A target that is alive renews its entry, so that a return has more renewals.
            return relation.is_of_later_era && self.renewals >= other.renewals;
        }
        if self.software != other.software {
            // A release started it again in place, and nothing tells which of them is later.
            return relation.is_of_later_era;
        }
        if self.is_draining != other.is_draining {
            return self.is_draining;
        }
        self.renewals > other.renewals
    }
}
