//! Positions in the logs of a store that may come back from an older copy of itself.
//!
//! After it came back, it gives offsets out again, so that an offset alone names no record and says nothing of what is
//! newer. Each time it comes back, its era rises.
//!
//! ```
//! use corianderstand_types::position::{Era, Position};
//!
//! let known = Position::new(Era(1), 40);
//! assert!(Position::new(Era(2), 3) > known);
//! assert!(known > Position::new(Era(1), 39));
//! ```

use corianderstand_derives::derives;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How often the store came back from an older copy; 0 if it does not tell.
#[derives(key)]
#[derive(Default, Serialize, Deserialize)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in a log. Positions of a later era come after all those of an earlier one.
#[derives(key)]
#[derive(Default)]
pub struct Position {
    era: Era,
    offset: u64,
}

impl Position {
    /// The position of an offset in an era.
    pub const fn new(era: Era, offset: u64) -> Self {
        Self { era, offset }
    }

    /// The beginning of the log in an era.
    pub const fn start_of(era: Era) -> Self {
        Self { era, offset: 0 }
    }

    /// The era that the offset belongs to.
    pub const fn era(self) -> Era {
        self.era
    }

    /// The offset, to read from the store or to be logged. It must not be compared: offsets of two eras have no order.
    pub const fn offset(self) -> u64 {
        self.offset
    }

    /// The position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self { offset: self.offset + 1, ..self }
    }

    /// The position before this one; the same at the beginning of the log.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self { offset: self.offset.saturating_sub(1), ..self }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
