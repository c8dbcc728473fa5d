//! Which requests are blocked after targets ended, and which are not.

use corianderstand_fleet::{
    crashes::{Crash, Crashes, Success},
    fingerprint::{Feature, Fingerprint},
    targets::Incarnation,
};
use std::time::{Duration, Instant};

const CRASHING: Fingerprint = Fingerprint(1);
const NEIGHBOUR: Fingerprint = Fingerprint(2);

struct History {
    start: Instant,
    crashes: Crashes,
}

impl History {
    fn new() -> Self {
        Self { start: Instant::now(), crashes: Crashes::default() }
    }

    fn at(&self, second: u64) -> Instant {
        self.start + Duration::from_secs(second)
    }

    /// Target number `second` ends after it ran the requests for 100 ms.
    fn end(&mut self, second: u64, requests: &[Fingerprint]) {
        self.end_after(second, requests, Duration::ZERO);
    }

    fn end_after(&mut self, second: u64, requests: &[Fingerprint], survived: Duration) {
        for &fingerprint in requests {
            let crash = Crash {
                fingerprint,
                parts: Vec::new(),
                target: Incarnation {
                    id: format!("target-{second}").as_str().into(),
                    started_at_ms: 1,
                },
                sent_at: self.at(second),
                ended_at: self.at(second) + Duration::from_millis(100),
                survived,
                observer: "router".into(),
            };
            self.crashes.record(self.at(second), crash);
        }
    }

    /// A complete response arrives; returns whether the request had been suspected.
    fn complete(&mut self, second: u64, fingerprint: Fingerprint) -> bool {
        let success = Success { feature: Feature::Request(fingerprint), at: self.at(second) };
        self.crashes.record_success(&success)
    }

    fn is_blocked(&self, second: u64, fingerprint: Fingerprint) -> bool {
        self.crashes.block(self.at(second), &Feature::Request(fingerprint)).is_some()
    }
}

#[test]
fn a_request_is_blocked_after_three_consecutive_ends() {
    let mut history = History::new();
    history.end(1, &[CRASHING]);
    history.end(2, &[CRASHING]);
    assert!(!history.is_blocked(3, CRASHING));
    history.end(3, &[CRASHING]);
    assert!(history.is_blocked(4, CRASHING));
    assert!(!history.is_blocked(4, NEIGHBOUR));
}

/// Guards against blocking a request whose hosts failed, but which other targets run.
#[test]
fn a_complete_response_clears_a_request() {
    let mut history = History::new();
    history.end(1, &[NEIGHBOUR]);
    history.end(2, &[NEIGHBOUR]);
    assert!(history.complete(3, NEIGHBOUR));
    history.end(3, &[NEIGHBOUR]);
    history.end(4, &[NEIGHBOUR]);
    assert!(!history.is_blocked(5, NEIGHBOUR));
}

/// Guards against counting an end again that a late datagram reports after the request completed.
#[test]
fn an_end_before_a_complete_response_is_not_counted_again() {
    let mut history = History::new();
    history.end(1, &[NEIGHBOUR]);
    history.end(2, &[NEIGHBOUR]);
    history.complete(3, NEIGHBOUR);
    history.end(1, &[NEIGHBOUR]);
    history.end(2, &[NEIGHBOUR]);
    history.end(3, &[NEIGHBOUR]);
    assert!(!history.is_blocked(4, NEIGHBOUR));
}

/// Guards against blocking a frequent request after one failure of many hosts.
#[test]
fn copies_that_ran_at_the_same_time_count_once() {
    let mut history = History::new();
    for target in 0..9 {
        let crash = Crash {
            fingerprint: NEIGHBOUR,
            parts: Vec::new(),
            target: Incarnation {
                id: format!("target-{target}").as_str().into(),
                started_at_ms: 1,
            },
            sent_at: history.at(1),
            ended_at: history.at(2),
            survived: Duration::ZERO,
            observer: "router".into(),
        };
        history.crashes.record(history.at(2), crash);
    }
    assert!(!history.is_blocked(3, NEIGHBOUR));
}

/// Guards against blocking the requests that were sent on together with the crashing one.
#[test]
fn a_request_is_not_blocked_while_another_explains_the_same_ends() {
    let mut history = History::new();
    for second in 1..=3 {
        history.end(second, &[CRASHING, NEIGHBOUR]);
    }
    assert!(!history.is_blocked(4, CRASHING) && !history.is_blocked(4, NEIGHBOUR));
    history.end(4, &[CRASHING]);
    assert!(history.is_blocked(5, CRASHING));
    assert!(!history.is_blocked(5, NEIGHBOUR), "the crashing request explains its ends");
}

/// Guards against blocking a request because the router that had seen the guilty one was killed.
#[test]
fn a_request_is_not_blocked_while_another_explains_all_ends_but_one() {
    let mut history = History::new();
    history.end(1, &[NEIGHBOUR]);
    history.end(2, &[CRASHING, NEIGHBOUR]);
    history.end(3, &[CRASHING, NEIGHBOUR]);
    assert!(!history.is_blocked(4, NEIGHBOUR));
    history.end(4, &[CRASHING]);
    history.end(5, &[CRASHING]);
    assert!(history.is_blocked(6, CRASHING) && !history.is_blocked(6, NEIGHBOUR));
}

/// Guards against blocking a request in place of another because one of its targets failed by itself.
#[test]
fn requests_that_each_lost_one_target_more_are_not_told_apart() {
    let mut history = History::new();
    history.end(1, &[CRASHING]);
    for second in 2..=4 {
        history.end(second, &[CRASHING, NEIGHBOUR]);
    }
    assert!(history.is_blocked(5, CRASHING));
    history.end(5, &[NEIGHBOUR]);
    assert!(!history.is_blocked(6, NEIGHBOUR));
    assert!(history.crashes.has_held_requests(), "they take turns");
    history.complete(6, NEIGHBOUR);
    assert!(history.is_blocked(7, CRASHING));
}

/// Guards against blocking a stream that ran well until another request ended its targets.
#[test]
fn a_request_that_had_been_streaming_is_less_suspect() {
    let mut history = History::new();
    for second in 1..=3 {
        history.end_after(second, &[NEIGHBOUR], Duration::from_secs(1));
        history.end(second, &[CRASHING]);
    }
    assert!(history.is_blocked(4, CRASHING));
    assert!(!history.is_blocked(4, NEIGHBOUR));
}

/// Guards against blocking a frequent request because one of its copies had just begun each time.
#[test]
fn the_copy_that_survived_longest_counts() {
    let mut history = History::new();
    for second in 1..=5 {
        history.end(second, &[NEIGHBOUR]);
        history.end_after(second, &[NEIGHBOUR], Duration::from_secs(1));
    }
    assert!(!history.is_blocked(6, NEIGHBOUR));
}

/// Guards against a request that ends each target some time after it began to stream.
#[test]
fn many_late_ends_block_as_well() {
    let mut history = History::new();
    for second in 1..=8 {
        assert!(!history.is_blocked(second, CRASHING));
        history.end_after(second, &[CRASHING], Duration::from_millis(900));
    }
    assert!(history.is_blocked(9, CRASHING));
}

/// Guards against sending the same requests together again each time that a model is loaded.
#[test]
fn requests_that_cannot_be_told_apart_take_turns() {
    let mut history = History::new();
    for second in 1..=2 {
        history.end(second, &[CRASHING, NEIGHBOUR]);
    }
    let may_be_sent = |fingerprint, at| history.crashes.held_until(at, &fingerprint).is_none();
    let times: Vec<Instant> =
        (0..400).map(|step| history.at(3) + Duration::from_millis(10) * step).collect();
    for &at in &times {
        assert!(!may_be_sent(CRASHING, at) || !may_be_sent(NEIGHBOUR, at), "never both");
    }
    for fingerprint in [CRASHING, NEIGHBOUR] {
        assert!(times.iter().any(|&at| may_be_sent(fingerprint, at)));
        let next = history.crashes.held_until(times[399], &fingerprint).unwrap_or(times[399]);
        assert!(may_be_sent(fingerprint, next));
    }
    assert!(may_be_sent(Fingerprint(3), times[0]), "others aren't held");
}

/// Guards against a request that never runs apart from the one that ends targets.
#[rstest::rstest]
#[case(2)]
#[case(3)]
#[case(5)]
fn few_requests_that_cannot_be_told_apart_take_turns_one_by_one(#[case] count: u64) {
    let requests: Vec<Fingerprint> = (1..=count).map(|n| Fingerprint(n.into())).collect();
    let mut history = History::new();
    for second in 1..=2 {
        history.end(second, &requests);
    }
    for step in 0..800 {
        let at = history.at(3) + Duration::from_millis(10) * step;
        let may_be_sent =
            |request: &&Fingerprint| history.crashes.held_until(at, request).is_none();
        assert!(requests.iter().filter(may_be_sent).count() <= 1);
    }
}

/// Guards against two requests that hide behind each other for ever.
#[test]
fn ambiguity_ends_after_six_ends() {
    let mut history = History::new();
    for second in 1..=6 {
        history.end(second, &[CRASHING, NEIGHBOUR]);
    }
    assert!(history.is_blocked(7, CRASHING) && history.is_blocked(7, NEIGHBOUR));
}

/// Guards against a block that outlives what the request's caller changed, and against three further
/// ends once it is over.
#[test]
fn a_block_ends_and_one_further_end_renews_it() {
    const AFTER_BLOCK: u64 = 3 + 10 * 60 + 1;
    let mut history = History::new();
    for second in 1..=3 {
        history.end(second, &[CRASHING]);
    }
    assert!(history.is_blocked(AFTER_BLOCK - 2, CRASHING));
    assert!(!history.is_blocked(AFTER_BLOCK, CRASHING));
    history.end(AFTER_BLOCK, &[CRASHING]);
    assert!(history.is_blocked(AFTER_BLOCK + 1, CRASHING));
}

/// Guards against unbounded memory when endless different requests end targets.
#[test]
fn blocks_survive_a_flood_of_other_suspects() {
    let mut history = History::new();
    for second in 1..=3 {
        history.end(second, &[CRASHING]);
    }
    for other in 0..290_u64 {
        history.end(4 + other, &[Fingerprint(100 + u128::from(other))]);
    }
    assert!(history.is_blocked(5, CRASHING));
}
