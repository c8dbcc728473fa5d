//! How many tries beyond the first are made.

/// Tries beyond the first for each request that comes, in hundredths.
///
/// In an overload every target refuses, and each try elsewhere adds a message to those that are
/// overloaded. A tenth bounds what retries add, and is many times what single failures need.
const RETRY_PERCENT: u32 = 10;
/// Tries that may be saved up, so that a lost host's requests are all tried again.
const MAX_RETRIES: u32 = 100;
/// Tries that a process may make before anything has come in.
const INITIAL_RETRIES: u32 = 10;
const HUNDREDTHS_PER_RETRY: u32 = 100;

/// A budget of tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { hundredths: INITIAL_RETRIES * HUNDREDTHS_PER_RETRY }
    }
}

impl RetryBudget {
    /// A request has come.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + RETRY_PERCENT).min(MAX_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Takes one try; false if none is left.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.hundredths < HUNDREDTHS_PER_RETRY {
            return false;
        }
        self.hundredths -= HUNDREDTHS_PER_RETRY;
        true
    }
}
