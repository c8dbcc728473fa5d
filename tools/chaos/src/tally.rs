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
    pub doubles: usize,
    /// Bookings that ran though their callers were told "not run".
    pub false_not_run: usize,
    /// Bookings with two outcomes, or said to have run and not run.
    pub mixed: usize,
    /// Bookings that a caller was told "unknown" of during the round.
    pub unknown_first: usize,
    /// Bookings still "unknown" when asked again after the round.
    pub unknown_last: usize,
    /// Refusals that may come back under the same key.
    pub refused: usize,
    /// Streams that were whole.
    pub streams_whole: usize,
    /// Streams that ended with an explicit error.
    pub streams_failed: usize,
    /// Streams refused before they began.
    pub streams_refused: usize,
    /// Streams whose router's connection broke.
    pub streams_broken: usize,
    /// Streams with words of another answer, or not in order.
    pub streams_mixed: usize,
    /// Streams that ended short without an error.
    pub streams_cut: usize,
}

impl Tally {
    /// Promises broken.
    pub const fn broken(&self) -> usize {
        self.doubles + self.false_not_run + self.mixed + self.streams_mixed + self.streams_cut
    }

    /// Whether every promise was kept.
    pub const fn is_clean(&self) -> bool {
        self.broken() == 0
    }

    /// Judges one stream against the undisturbed answer.
    pub fn stream(&mut self, tokens: &[String], kept: &[String], whole: bool, explicit: bool) {
        if !kept.starts_with(tokens) {
            self.streams_mixed += 1;
        } else if whole && tokens.len() == kept.len() {
            self.streams_whole += 1;
        } else if explicit && !whole {
            self.streams_failed += 1;
        } else {
            self.streams_cut += 1;
        }
    }

    /// Judges all answers for one key against how often the services ran it.
    ///
    /// A void, 410, speaks of the key for ever. A refusal, 503, speaks of its own request: it is
    /// false if every request was refused and yet the booking ran.
    pub fn booking(&mut self, key: &str, answers: &[Option<Answer>], ran: u64) {
        let told: Vec<&Answer> = answers.iter().flatten().collect();
        let outcome = |wanted: &str| told.iter().any(|answer| answer.outcome == wanted);
        let said_ran: Vec<&&Answer> = told.iter().filter(|a| a.outcome == "ran").collect();
        let void = told.iter().any(|a| a.status == 410 && a.outcome == "not-run");
        let all_refused =
            told.len() == answers.len() && told.iter().all(|a| a.outcome == "not-run");
        let same = said_ran.windows(2).all(|pair| pair[0].body == pair[1].body);
        self.bookings += 1;
        self.ran += usize::from(ran > 0);
        self.doubles += usize::from(ran > 1);
        self.false_not_run += usize::from(ran > 0 && (void || all_refused));
        let mixed = !same || !said_ran.is_empty() && (void || ran == 0);
        self.mixed += usize::from(mixed);
        let first = told.len().saturating_sub(2);
        self.unknown_first += usize::from(told[..first].iter().any(|a| a.outcome == "unknown"));
        self.unknown_last += usize::from(told.last().is_some_and(|a| a.outcome == "unknown"));
        self.refused += told.iter().filter(|a| a.status == 503).count();
        if ran > 1 || ran > 0 && (void || all_refused) || mixed || !outcome("") && told.is_empty() {
            println!("{key}: ran {ran} times, told {answers:#?}");
        }
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "bookings {} (ran {})", self.bookings, self.ran)?;
        writeln!(f, "  doubles {}", self.doubles)?;
        writeln!(f, "  false \"not run\" {}", self.false_not_run)?;
        writeln!(f, "  mixed outcomes {}", self.mixed)?;
        let (first, last) = (self.unknown_first, self.unknown_last);
        writeln!(f, "  unknown: {first} in the round, {last} still after it")?;
        writeln!(f, "  refusals with a time to come back {}", self.refused)?;
        let (whole, failed) = (self.streams_whole, self.streams_failed);
        writeln!(f, "streams whole {whole}, explicit error {failed}")?;
        let (refused, broken) = (self.streams_refused, self.streams_broken);
        writeln!(f, "  refused {refused}, connection to the router broke {broken}")?;
        write!(f, "  mixed {}, cut without an error {}", self.streams_mixed, self.streams_cut)
    }
}
