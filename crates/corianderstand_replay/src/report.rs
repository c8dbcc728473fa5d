//! Formats outcomes for comparison.

use crate::{bounds, outcome::Outcome, trace::Trace};
use corianderstand_derives::derives;
use std::fmt::Write;

/// Outcomes of one trace with its theoretical bounds.
#[derives(wire)]
pub struct Report {
    /// Name of the trace.
    pub trace: String,
    /// Lower bound on the worst load wait; see [`bounds::store_wait`].
    pub store_bound_ms: u64,
    /// Minimum idle hours at the number of cold wakes of the first outcome.
    pub clairvoyant_idle_hours: f64,
    /// One outcome for each strategy.
    pub outcomes: Vec<Outcome>,
}

impl Report {
    /// Computes the bounds for the outcomes of a trace.
    pub fn new(trace: &Trace, outcomes: Vec<Outcome>) -> Self {
        let cold_wakes = outcomes.first().map_or(0, |outcome| outcome.cold as usize);
        Self {
            trace: trace.header.trace.to_string(),
            store_bound_ms: bounds::store_wait(trace).as_millis() as u64,
            clairvoyant_idle_hours: bounds::clairvoyant_idle_hours(trace, cold_wakes),
            outcomes,
        }
    }

    /// Formats the report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("a report is JSON")
    }

    /// Formats the report as a text table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{}: the store's bound for a burst {} ms; clairvoyant {:.2} idle hours at as many \
             cold wakes as the first line\n",
            self.trace, self.store_bound_ms, self.clairvoyant_idle_hours
        );
        let heads = [
            "way", "calls", "served", "given up", "late", "silent", "refusals", "loads", "wakes",
            "cold", "p50 ms", "p99 ms", "mean ms", "idle h",
        ];
        text.push_str(&row(&heads.map(str::to_owned)));
        for o in &self.outcomes {
            text.push_str(&row(&[
                o.strategy.to_string(),
                o.calls.to_string(),
                o.served.to_string(),
                o.given_up.to_string(),
                o.late.to_string(),
                o.unanswered.to_string(),
                o.refusals.to_string(),
                o.loads.to_string(),
                o.wake_count.to_string(),
                o.cold.to_string(),
                o.cold_p50_ms.to_string(),
                o.cold_p99_ms.to_string(),
                o.cold_mean_ms.to_string(),
                format!("{:.2}", o.idle_hours),
            ]));
        }
        text
    }
}

fn row(cells: &[String; 14]) -> String {
    let mut line = String::new();
    for (index, cell) in cells.iter().enumerate() {
        let written =
            if index == 0 { write!(line, "{cell:<14}") } else { write!(line, " {cell:>8}") };
        written.expect("writing to a string succeeds");
    }
    line.push('\n');
    line
}
