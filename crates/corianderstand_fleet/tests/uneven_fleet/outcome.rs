//! What callers got, and which engines did the work.

use super::SPEEDS;
use std::collections::BTreeMap;

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub streams: u32,
    pub refused: u32,
    pub late_first_events: u32,
    pub late_gaps: u32,
    /// Streams whose first event and pauses were all within their objectives.
    pub on_time: u32,
    pub first_events_s: Vec<f64>,
    /// Tokens of work by speed, and engines of the speed.
    pub work: BTreeMap<u64, (f64, u32)>,
    /// Streams of the uninformed router that were late.
    pub late_of_first_router: u32,
    pub streams_of_first_router: u32,
    /// Streams by engine, with its speed.
    pub by_engine: Vec<(f64, u32, u32)>,
}

impl Outcome {
    pub fn late_ratio(&self) -> f64 {
        f64::from(self.late_gaps + self.late_first_events) / f64::from(self.streams.max(1))
    }

    /// Each speed's share of the work relative to its share of the speed, the slowest first.
    pub fn shares(&self) -> Vec<f64> {
        let speed = |key: &u64| f64::from_bits(*key);
        let work: f64 = self.work.values().map(|(work, _)| work).sum();
        let total: f64 = self.work.iter().map(|(key, (_, n))| speed(key) * f64::from(*n)).sum();
        let share = |(key, (own, n)): (&u64, &(f64, u32))| {
            (own / work) / (speed(key) * f64::from(*n) / total)
        };
        self.work.iter().map(share).collect()
    }

    pub fn describe(&self) -> String {
        let mut first = self.first_events_s.clone();
        first.sort_by(f64::total_cmp);
        let at =
            |part: f64| first.get((first.len() as f64 * part) as usize).copied().unwrap_or(0.0);
        let shares: Vec<_> = self.shares().iter().map(|share| format!("{share:.2}")).collect();
        let by_speed = SPEEDS.map(|speed| {
            let of_speed = self.by_engine.iter().filter(|(other, _, _)| *other == speed);
            let (streams, late) =
                of_speed.fold((0, 0), |sum, (_, streams, late)| (sum.0 + streams, sum.1 + late));
            format!("{late}/{streams}")
        });
        let all = f64::from((self.streams + self.refused).max(1));
        format!(
            "on time {:.1}%, late gaps {:.1}% (by speed {}), late first events {:.1}%, refused {}, first event p50 {:.0} ms p99 {:.0} ms, share against speed {}",
            100.0 * f64::from(self.on_time) / all,
            100.0 * f64::from(self.late_gaps) / f64::from(self.streams.max(1)),
            by_speed.join(" "),
            100.0 * f64::from(self.late_first_events) / f64::from(self.streams.max(1)),
            self.refused,
            at(0.5) * 1e3,
            at(0.99) * 1e3,
            shares.join(" "),
        )
    }
}
