//! Units used in settings and messages.

use corianderstand_derives::derives;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// A duration, serialised as whole milliseconds.
#[serde_as]
#[derives(key)]
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Millis(#[serde_as(as = "DurationMilliSeconds<u64>")] pub Duration);

impl Millis {
    /// Creates a duration of `ms` milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns the duration in whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0.as_millis() as u64
    }
}

impl From<Millis> for Duration {
    fn from(ms: Millis) -> Self {
        ms.0
    }
}

impl std::fmt::Display for Millis {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ms", self.as_millis())
    }
}

/// An amount of memory in MiB.
#[derives(key)]
#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Mib(pub u64);

impl std::fmt::Display for Mib {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} MiB", self.0)
    }
}
