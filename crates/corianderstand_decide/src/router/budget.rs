//! How many tries beyond the first are made.

/// Tries beyond the first for each request that comes, in hundredths.
///
/// In an overload every target refuses, and each try elsewhere adds a message to those that are
/// overloaded. A tenth bounds what retries add, and is many times what single failures need.
const PERCENT: u32 = 10;
/// Tries that may be saved up, so that a lost host's requests are all tried again.
const MOST: u32 = 100;
/// Tries that a process may make before anything has come in.
const AT_START: u32 = 10;
const WHOLE: u32 = 100;

/// A budget of tries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    hundredths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { hundredths: AT_START * WHOLE }
    }
}

impl Budget {
    /// A request has come.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + PERCENT).min(MOST * WHOLE);
    }

    /// Takes one try; false if none is left.
    pub const fn spend(&mut self) -> bool {
        if self.hundredths < WHOLE {
            return false;
        }
        self.hundredths -= WHOLE;
        true
    }
}
