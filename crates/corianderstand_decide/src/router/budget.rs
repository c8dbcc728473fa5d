//! A retry budget proportional to the rate of requests.

/// Retries granted by each request, in hundredths.
const RETRY_PERCENT: u32 = 10;
/// Limit of accumulated retries; enough to retry the requests of a lost host.
const MAX_RETRIES: u32 = 100;
const INITIAL_RETRIES: u32 = 10;
const HUNDREDTHS_PER_RETRY: u32 = 100;

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
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + RETRY_PERCENT).min(MAX_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    pub const fn try_withdraw(&mut self) -> bool {
        if self.hundredths < HUNDREDTHS_PER_RETRY {
            return false;
        }
        self.hundredths -= HUNDREDTHS_PER_RETRY;
        true
    }
}
