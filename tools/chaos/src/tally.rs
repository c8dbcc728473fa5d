//! Counts of promises kept and broken.

use corianderstand_derives::derives;
use std::fmt;
use testbed::booking::Answer;

/// What was seen over all rounds.
#[derives(data)]
#[derive(Default)]
pub struct Tally {
    /// Bookings judged.
    pub bookings: usize,
    /// Bookings whose service ran them.
    pub ran: usize,
    /// Bookings that ran twice.
    pub ran_twice: usize,
    /// Bookings that ran though their callers were told "not run".
    pub false_not_run: usize,
    /// Bookings with two outcomes, or said to have run and not run.
    pub contradictory: usize,
    /// Bookings that a caller was told "unknown" of during the round.
    pub unknown_during_round: usize,
    /// Bookings still "unknown" when asked again after the round.
    pub unknown_after_round: usize,
    /// Refusals that may come back under the same key.
    pub retryable_refusals: usize,
    /// Streams that were whole.
    pub streams_complete: usize,
    /// Streams that ended with an explicit error.
    pub streams_failed: usize,
    /// Streams refused before they began.
    pub streams_refused: usize,
    /// Streams whose router's connection broke.
    pub streams_disconnected: usize,
    /// Streams with words of another answer, or not in order.
    pub streams_corrupted: usize,
    /// Streams that ended short without an error.
    pub streams_truncated: usize,
}

impl Tally {
    /// Promises broken.
    pub const fn violations(&self) -> usize {
        self.ran_twice
            + self.false_not_run
            + self.contradictory
            + self.streams_corrupted
            + self.streams_truncated
    }

    /// Whether every promise was kept.
    pub const fn is_clean(&self) -> bool {
        self.violations() == 0
    }

    /// Judges one stream against the undisturbed answer.
    pub fn record_stream(
        &mut self,
        tokens: &[String],
        reference: &[String],
        is_complete: bool,
        has_error: bool,
    ) {
        if !reference.starts_with(tokens) {
            self.streams_corrupted += 1;
        } else if is_complete && tokens.len() == reference.len() {
            self.streams_complete += 1;
        } else if has_error && !is_complete {
            self.streams_failed += 1;
        } else {
            self.streams_truncated += 1;
        }
    }

    /// Judges all answers for one key against how often the services ran it.
    ///
    /// A void, 410, speaks of the key for ever. A refusal, 503, speaks of its own request: it is
    /// false if every request was refused and yet the booking ran.
    pub fn record_booking(&mut self, key: &str, answers: &[Option<Answer>], ran: u64) {
        let received: Vec<&Answer> = answers.iter().flatten().collect();
        let outcome = |expected: &str| received.iter().any(|answer| answer.outcome == expected);
        let reported_ran: Vec<&&Answer> = received.iter().filter(|a| a.outcome == "ran").collect();
        let rejected = received.iter().any(|a| a.status == 410 && a.outcome == "not-run");
        let all_refused =
            received.len() == answers.len() && received.iter().all(|a| a.outcome == "not-run");
        let identical = reported_ran.windows(2).all(|pair| pair[0].body == pair[1].body);
        self.bookings += 1;
        self.ran += usize::from(ran > 0);
        self.ran_twice += usize::from(ran > 1);
        self.false_not_run += usize::from(ran > 0 && (rejected || all_refused));
        let contradictory = !identical || !reported_ran.is_empty() && (rejected || ran == 0);
        self.contradictory += usize::from(contradictory);
        let first = received.len().saturating_sub(2);
        self.unknown_during_round +=
            usize::from(received[..first].iter().any(|a| a.outcome == "unknown"));
        self.unknown_after_round +=
            usize::from(received.last().is_some_and(|a| a.outcome == "unknown"));
        self.retryable_refusals += received.iter().filter(|a| a.status == 503).count();
        if ran > 1
            || ran > 0 && (rejected || all_refused)
            || contradictory
            || !outcome("") && received.is_empty()
        {
            println!("{key}: ran {ran} times, told {answers:#?}");
        }
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "bookings {} (ran {})", self.bookings, self.ran)?;
        writeln!(f, "  doubles {}", self.ran_twice)?;
        writeln!(f, "  false \"not run\" {}", self.false_not_run)?;
        writeln!(f, "  mixed outcomes {}", self.contradictory)?;
        let (first, last) = (self.unknown_during_round, self.unknown_after_round);
        writeln!(f, "  unknown: {first} in the round, {last} still after it")?;
        writeln!(f, "  refusals with a time to come back {}", self.retryable_refusals)?;
        let (complete, failed) = (self.streams_complete, self.streams_failed);
        writeln!(f, "streams whole {complete}, explicit error {failed}")?;
        let (refused, disconnected) = (self.streams_refused, self.streams_disconnected);
        writeln!(f, "  refused {refused}, connection to the router broke {disconnected}")?;
        write!(
            f,
            "  mixed {}, cut without an error {}",
            self.streams_corrupted, self.streams_truncated
        )
    }
}
