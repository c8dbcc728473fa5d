//! How often requests of each rank are served, so that no rank starves behind a flood of higher ones.

/// Ranks told apart; lower ones count as the last.
pub const RANKS: usize = 10;
/// Requests after which the counts are halved, so that they tell of the last ones.
const MAX_ASKED: f64 = 512.0;
/// A rank starves if it is served less than this part as often as all.
const STARVING_RATIO: f64 = 0.5;

/// Requests by rank, and those of them that were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    asked: [f64; RANKS],
    served: [f64; RANKS],
}

/// Position of a rank in counts by rank.
pub const fn index(rank: u8) -> usize {
    let rank = rank as usize;
    if rank < RANKS { rank } else { RANKS - 1 }
}

impl Served {
    /// Counts a request.
    pub fn record_asked(&mut self, rank: u8) {
        self.asked[index(rank)] += 1.0;
        if self.asked.iter().sum::<f64>() > MAX_ASKED {
            self.asked.iter_mut().chain(&mut self.served).for_each(|count| *count /= 2.0);
        }
    }

    /// Counts a request that was served.
    pub fn record_served(&mut self, rank: u8) {
        self.served[index(rank)] += 1.0;
    }

    /// Part of the requests of a rank that was served.
    pub fn ratio(&self, rank: u8) -> f64 {
        let index = index(rank);
        self.served[index] / self.asked[index].max(1.0)
    }

    /// Whether requests of a rank are served much less often than all.
    pub fn is_starving(&self, rank: u8) -> bool {
        let (served, asked): (f64, f64) = (self.served.iter().sum(), self.asked.iter().sum());
        self.ratio(rank) < STARVING_RATIO * served / asked.max(1.0)
    }
}
