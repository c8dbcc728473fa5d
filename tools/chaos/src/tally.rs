//! Outcome counts and guarantee violations over all rounds.

use corianderstand_derives::derives;
use std::fmt;
use testbed::booking::Answer;

#[derives(data)]
#[derive(Default)]
pub struct Tally {
    pub bookings: usize,
    pub bookings_ran: usize,
    pub bookings_ran_twice: usize,
    /// Bookings that ran although they were reported as not run.
    pub bookings_falsely_not_run: usize,
    /// Bookings with differing results, or reported both as run and as not run.
    pub bookings_contradictory: usize,
    pub unknown_during_round: usize,
    pub unknown_after_round: usize,
    /// Refusals after which the caller may retry under the same key.
    pub retryable_refusals: usize,
    pub streams_complete: usize,
    /// Streams that ended with an error event.
    pub streams_failed: usize,
    pub streams_refused: usize,
    pub streams_disconnected: usize,
    /// Streams with tokens that are out of order or of another stream.
    pub streams_corrupted: usize,
    /// Streams that ended early without an error event.
    pub streams_truncated: usize,
}

impl Tally {
    pub const fn violation_count(&self) -> usize {
        self.bookings_ran_twice
            + self.bookings_falsely_not_run
            + self.bookings_contradictory
            + self.streams_corrupted
            + self.streams_truncated
    }

    pub const fn is_clean(&self) -> bool {
        self.violation_count() == 0
    }

    /// Classifies a stream by comparison with its reference.
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

    /// Checks all answers for a key against the number of times that the services ran it.
    ///
    /// A 410 rejects the key; a 503 refuses one request only.
    pub fn record_booking(&mut self, key: &str, answers: &[Option<Answer>], run_count: u64) {
        let received: Vec<&Answer> = answers.iter().flatten().collect();
        let outcome = |expected: &str| received.iter().any(|answer| answer.outcome == expected);
        let reported_ran: Vec<&&Answer> = received.iter().filter(|a| a.outcome == "ran").collect();
        let rejected = received.iter().any(|a| a.status == 410 && a.outcome == "not-run");
        let all_refused =
            received.len() == answers.len() && received.iter().all(|a| a.outcome == "not-run");
        let identical = reported_ran.windows(2).all(|pair| pair[0].body == pair[1].body);
        self.bookings += 1;
        self.bookings_ran += usize::from(run_count > 0);
        self.bookings_ran_twice += usize::from(run_count > 1);
        self.bookings_falsely_not_run += usize::from(run_count > 0 && (rejected || all_refused));
        let contradictory = !identical || !reported_ran.is_empty() && (rejected || run_count == 0);
        self.bookings_contradictory += usize::from(contradictory);
        let first = received.len().saturating_sub(2);
        self.unknown_during_round +=
            usize::from(received[..first].iter().any(|a| a.outcome == "unknown"));
        self.unknown_after_round +=
            usize::from(received.last().is_some_and(|a| a.outcome == "unknown"));
        self.retryable_refusals += received.iter().filter(|a| a.status == 503).count();
        if run_count > 1
            || run_count > 0 && (rejected || all_refused)
            || contradictory
            || !outcome("") && received.is_empty()
        {
            println!("{key}: ran {run_count} times, answers {answers:#?}");
        }
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "bookings {} (ran {})", self.bookings, self.bookings_ran)?;
        writeln!(f, "  ran twice {}", self.bookings_ran_twice)?;
        writeln!(f, "  wrongly reported as not run {}", self.bookings_falsely_not_run)?;
        writeln!(f, "  contradictory outcomes {}", self.bookings_contradictory)?;
        let (first, last) = (self.unknown_during_round, self.unknown_after_round);
        writeln!(f, "  unknown: {first} during the round, {last} after it")?;
        writeln!(f, "  retryable refusals {}", self.retryable_refusals)?;
        let (complete, failed) = (self.streams_complete, self.streams_failed);
        writeln!(f, "streams complete {complete}, failed with an error {failed}")?;
        let (refused, disconnected) = (self.streams_refused, self.streams_disconnected);
        writeln!(f, "  refused {refused}, disconnected {disconnected}")?;
        write!(
            f,
            "  corrupted {}, truncated without an error {}",
            self.streams_corrupted, self.streams_truncated
        )
    }
}
