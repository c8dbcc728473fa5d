//! Which parts of prompts are blocked after targets ended, and which are not.

use corianderstand_fleet::{
    crashes::{Crash, Crashes, Success},
    fingerprint::{Feature, Fingerprint, PartId},
    targets::Incarnation,
};
use std::time::{Duration, Instant};

const FIRST: PartId = PartId(1);
const CRASHING: PartId = PartId(2);
const SUBJECT: PartId = PartId(3);
const RUN_TIME: Duration = Duration::from_millis(100);

struct History {
    start: Instant,
    crashes: Crashes,
    requests: u128,
    targets: u32,
}

impl History {
    fn new() -> Self {
        Self { start: Instant::now(), crashes: Crashes::default(), requests: 0, targets: 0 }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn new_request(&mut self) -> Fingerprint {
        self.requests += 1;
        Fingerprint(self.requests)
    }

    /// A further target ends [`RUN_TIME`] after it was sent a request with these parts.
    fn end(&mut self, ms: u64, parts: &[PartId]) {
        let request = self.new_request();
        self.end_under(ms, request, parts);
    }

    fn end_under(&mut self, ms: u64, request: Fingerprint, parts: &[PartId]) {
        self.targets += 1;
        self.run_at_last(ms, request, parts, Duration::ZERO);
    }

    /// The target that ended last was running one more request.
    fn run_at_last(&mut self, ms: u64, request: Fingerprint, parts: &[PartId], survived: Duration) {
        self.run_for(RUN_TIME, ms, request, parts, survived);
    }

    fn run_for(
        &mut self,
        run_time: Duration,
        ms: u64,
        request: Fingerprint,
        parts: &[PartId],
        survived: Duration,
    ) {
        let sent_at = self.at(ms);
        let crash = Crash {
            fingerprint: request,
            parts: self.crashes.accusable(parts.iter().copied(), sent_at),
            target: Incarnation {
                id: format!("target-{}", self.targets).as_str().into(),
                started_at_ms: 1,
            },
            sent_at,
            ended_at: sent_at + run_time,
            survived,
            observer: "router".into(),
        };
        self.crashes.record(sent_at + run_time, crash);
    }

    /// A target has been writing since then on a prompt with the part.
    fn succeed(&mut self, ms: u64, part: PartId) {
        let success = Success { feature: Feature::Part(part), at: self.at(ms) };
        self.crashes.record_success(&success);
    }

    fn blocked(&self, ms: u64) -> Vec<Feature> {
        self.crashes.blocks(self.at(ms)).map(|block| block.feature).collect()
    }

    fn is_blocked(&self, ms: u64, part: PartId) -> bool {
        self.crashes.block(self.at(ms), &Feature::Part(part)).is_some()
    }
}

/// Guards against differing requests with one part in common that end one target after another.
#[test]
fn a_part_is_blocked_after_three_consecutive_ends() {
    let mut history = History::new();
    for n in 0..3 {
        assert!(history.blocked(n * 1_000).is_empty());
        history.succeed(n * 1_000, FIRST);
        history.end(n * 1_000 - n, &[FIRST, CRASHING]);
    }
    assert_eq!(history.blocked(3_000), [Feature::Part(CRASHING)]);
}

/// Guards against waiting for a third wave where all targets end at the same time.
#[test]
fn five_ends_in_two_waves_block_a_part() {
    let mut history = History::new();
    history.succeed(1_050, FIRST);
    for n in 0..4 {
        history.end(1_000 + n, &[FIRST, CRASHING]);
    }
    assert!(history.blocked(1_500).is_empty());
    history.end(2_000, &[FIRST, CRASHING]);
    assert_eq!(history.blocked(3_000), [Feature::Part(CRASHING)]);
}

/// Guards against another part of a request that is repeated: at a router that has just started, nothing shows that it is
/// harmless, and the part that ended the third target is not heard of yet.
#[test]
fn ends_under_one_repeated_request_count_once_against_its_parts() {
    let mut history = History::new();
    let repeated = history.new_request();
    for n in 0..2 {
        history.succeed(n * 1_000, FIRST);
        history.end_under(n * 1_000, repeated, &[FIRST, CRASHING, SUBJECT]);
    }
    history.succeed(2_000, FIRST);
    history.end(2_000, &[FIRST, SUBJECT]);
    assert!(history.blocked(3_000).is_empty(), "{:?}", history.blocked(3_000));
    for n in 3..6 {
        history.succeed(n * 1_000, FIRST);
        history.end(n * 1_000, &[FIRST, CRASHING]);
    }
    assert_eq!(history.blocked(7_000), [Feature::Part(CRASHING)]);
}

/// Guards against blocking the part that all prompts of a route begin with, while nothing can show that it is harmless.
#[test]
fn the_first_part_is_not_blocked_while_all_targets_are_down() {
    let mut history = History::new();
    history.succeed(900, FIRST);
    for n in 0..8 {
        let ms = 1_000 + n * 300;
        history.end(ms, &[FIRST, CRASHING]);
        let sound = history.new_request();
        history.run_at_last(ms, sound, &[FIRST, PartId(100 + n % 4)], Duration::ZERO);
    }
    assert_eq!(history.blocked(5_000), [Feature::Part(CRASHING)]);
}

/// Guards against blocking the first part because of ends for which the router that knew the guilty part was lost.
#[test]
fn a_part_with_a_recent_success_is_not_blocked_for_one_that_never_had_any() {
    let mut history = History::new();
    history.succeed(900, FIRST);
    for n in 0..4 {
        history.end(1_000 + n * 300, &[FIRST, CRASHING]);
    }
    let sound = history.new_request();
    history.end_under(2_500, sound, &[FIRST]);
    assert_eq!(history.blocked(5_000), [Feature::Part(CRASHING)]);
}

/// Guards against a router that just started and has seen no success of any part.
#[test]
fn of_parts_that_never_succeeded_the_later_one_is_blocked() {
    let mut history = History::new();
    for n in 0..3 {
        history.end(1_000 + n * 300, &[FIRST, CRASHING]);
    }
    assert_eq!(history.blocked(5_000), [Feature::Part(CRASHING)]);
}

/// Guards against an innocent part that ran on the same targets and stands later, at routers that have all just started.
#[test]
fn of_parts_that_never_succeeded_one_that_ended_its_targets_after_the_same_time_is_blocked() {
    let mut history = History::new();
    for (n, run_time_ms) in [10, 100, 22].into_iter().enumerate() {
        let ms = n as u64 * 1_000;
        let beside = history.new_request();
        history.targets += 1;
        let run_time = Duration::from_millis(run_time_ms);
        history.run_for(
            run_time,
            ms + 100 - run_time_ms,
            beside,
            &[FIRST, SUBJECT],
            Duration::ZERO,
        );
        let request = history.new_request();
        history.run_at_last(ms, request, &[CRASHING], Duration::ZERO);
    }
    assert_eq!(history.blocked(3_000), [Feature::Part(CRASHING)]);
}

/// Guards against a part that was harmless until its model or its engines changed.
#[test]
fn successes_before_the_ends_do_not_protect_a_part() {
    let mut history = History::new();
    for n in 0..10 {
        history.succeed(n * 100, CRASHING);
        history.succeed(n * 100, FIRST);
    }
    for n in 0..3 {
        history.succeed(2_000 + n * 500, FIRST);
        history.end(1_900 + n * 500, &[FIRST, CRASHING]);
    }
    assert_eq!(history.blocked(5_000), [Feature::Part(CRASHING)]);
}

/// Guards against blocking a part whose targets failed by themselves while others answer it.
#[test]
fn a_success_between_the_ends_clears_a_part() {
    let mut history = History::new();
    history.end(1_000, &[FIRST, SUBJECT]);
    history.end(2_000, &[FIRST, SUBJECT]);
    history.succeed(2_500, SUBJECT);
    history.succeed(2_500, FIRST);
    history.end(3_000, &[FIRST, SUBJECT]);
    history.end(4_000, &[FIRST, SUBJECT]);
    assert!(history.blocked(5_000).is_empty());
}

/// Guards against an accusation by a run that its target had begun to write on.
#[rstest::rstest]
#[case::just_now(10)]
#[case::for_a_while(250)]
fn a_run_with_an_event_does_not_accuse_its_parts(#[case] survived_ms: u64) {
    let mut history = History::new();
    for n in 0..6 {
        history.end(1_000 + n * 300, &[]);
        let writing = history.new_request();
        let survived = Duration::from_millis(survived_ms);
        history.run_at_last(1_000 + n * 300, writing, &[SUBJECT], survived);
    }
    assert!(!history.is_blocked(5_000, SUBJECT));
}

/// Guards against blocking a rare part when many targets end for another cause, such as lost power.
#[test]
fn a_part_that_ran_on_few_of_the_ended_targets_is_a_bystander() {
    let mut history = History::new();
    for n in 0..3 {
        for target in 0..4 {
            let own = PartId(100 + n * 10 + target);
            history.end(1_000 + n * 3_000 + target, &[own]);
        }
        let request = history.new_request();
        history.run_at_last(1_000 + n * 3_000, request, &[SUBJECT], Duration::ZERO);
    }
    assert!(history.blocked(20_000).is_empty());
}

/// Guards against blocking all prompts with a part when one request, repeated as it is, ends the targets.
#[test]
fn a_request_that_explains_its_ends_alone_leaves_its_parts_free() {
    let mut history = History::new();
    let request = history.new_request();
    for n in 0..6 {
        history.end_under(1_000 + n * 500, request, &[SUBJECT]);
    }
    assert_eq!(history.blocked(5_000), [Feature::Request(request)]);
}

/// Guards against blocking the part of a request that ends its targets but can't be told apart from another one yet.
#[test]
fn a_request_with_a_rival_leaves_its_parts_free_too() {
    let mut history = History::new();
    let (request, rival) = (history.new_request(), history.new_request());
    for n in 0..4 {
        history.end_under(1_000 + n * 500, request, &[SUBJECT]);
        history.run_at_last(1_000 + n * 500, rival, &[], Duration::ZERO);
    }
    assert!(history.blocked(5_000).is_empty(), "neither request nor part");
}

/// Guards against missing the part because one of the requests with it is repeated and blocked first.
#[test]
fn a_part_is_blocked_though_one_of_its_requests_is_blocked_already() {
    let mut history = History::new();
    let request = history.new_request();
    for n in 0..3 {
        history.end_under(1_000 + n * 500, request, &[CRASHING]);
    }
    assert!(!history.is_blocked(2_900, CRASHING));
    history.end(3_000, &[CRASHING]);
    history.end(3_500, &[CRASHING]);
    assert!(history.is_blocked(4_000, CRASHING));
}

/// Guards against blocking a sound request that was repeated beside a part that ends targets.
#[test]
fn a_request_beside_a_crashing_part_is_not_blocked() {
    let mut history = History::new();
    let sound = history.new_request();
    for n in 0..4 {
        history.end(1_000 + n * 500, &[FIRST, CRASHING]);
        history.run_at_last(1_000 + n * 500, sound, &[FIRST, SUBJECT], Duration::ZERO);
    }
    assert!(history.is_blocked(5_000, CRASHING));
    assert!(history.crashes.block(history.at(5_000), &Feature::Request(sound)).is_none());
}

/// Guards against blocking a part of requests that were sent to targets that another one had just ended.
#[test]
fn requests_sent_to_a_target_that_had_ended_accuse_nothing() {
    let mut history = History::new();
    for n in 0..6 {
        let sent_at = history.at(1_000 + n * 300);
        let request = history.new_request();
        history.targets += 1;
        let crash = Crash {
            fingerprint: request,
            parts: history.crashes.accusable(std::iter::once(SUBJECT), sent_at),
            target: Incarnation {
                id: format!("target-{}", history.targets).as_str().into(),
                started_at_ms: 1,
            },
            sent_at,
            ended_at: sent_at + Duration::from_millis(2),
            survived: Duration::ZERO,
            observer: "router".into(),
        };
        history.crashes.record(sent_at, crash);
    }
    assert!(history.blocked(5_000).is_empty());
}

/// Guards against blocking another part in place of a guilty one, which gets no further ends as it is blocked.
#[test]
fn a_blocked_part_is_not_replaced_by_one_with_as_many_ends() {
    let mut history = History::new();
    for n in 0..2 {
        history.end(1_000 + n * 300, &[CRASHING, SUBJECT]);
    }
    history.end(1_600, &[CRASHING]);
    history.end(1_900, &[CRASHING]);
    assert_eq!(history.blocked(2_200), [Feature::Part(CRASHING)]);
    history.end(2_200, &[SUBJECT]);
    history.end(2_500, &[SUBJECT]);
    assert_eq!(history.blocked(3_000), [Feature::Part(CRASHING)]);
}

/// Guards against blocking the first part while the report that makes another one guilty is on its way.
#[rstest::rstest]
#[case::after_successes(Some(900))]
#[case::at_a_router_that_just_started(None)]
fn the_first_part_is_not_blocked_before_all_reports_of_an_end_are_there(
    #[case] success: Option<u64>,
) {
    let mut history = History::new();
    if let Some(ms) = success {
        history.succeed(ms, FIRST);
    }
    for n in 0..2 {
        history.end(1_000 + n * 300, &[FIRST, CRASHING]);
    }
    let sound = history.new_request();
    history.end_under(1_600, sound, &[FIRST]);
    assert!(history.blocked(1_700).is_empty());
    let crashing = history.new_request();
    history.run_at_last(1_600, crashing, &[FIRST, CRASHING], Duration::ZERO);
    assert_eq!(history.blocked(2_000), [Feature::Part(CRASHING)]);
}

/// Guards against two parts at the same time of which only one is found.
#[test]
fn two_crashing_parts_are_both_blocked() {
    const OTHER: PartId = PartId(9);
    let mut history = History::new();
    for n in 0..4 {
        history.end(1_000 + n * 600, &[FIRST, CRASHING]);
        history.end(1_300 + n * 600, &[FIRST, OTHER]);
        history.succeed(1_301 + n * 600, FIRST);
    }
    assert!(history.is_blocked(5_000, CRASHING) && history.is_blocked(5_000, OTHER));
    assert!(!history.is_blocked(5_000, FIRST));
}

/// Guards against routers that flood one another with successes of a part that nobody suspects.
#[test]
fn others_are_told_of_a_success_once_two_ends_are_refuted() {
    let mut history = History::new();
    history.end(1_000, &[SUBJECT]);
    history.succeed(1_500, SUBJECT);
    assert!(history.crashes.take_rebuttals().is_empty());
    history.end(2_000, &[SUBJECT]);
    history.succeed(2_500, SUBJECT);
    let told = history.crashes.take_rebuttals();
    assert_eq!(told, [Success { feature: Feature::Part(SUBJECT), at: history.at(2_500) }]);
    history.succeed(3_000, SUBJECT);
    assert!(history.crashes.take_rebuttals().is_empty());
}

fn is_on_probation(history: &History, part: PartId) -> bool {
    history.crashes.probations(std::iter::once(part)).next().is_some()
}

/// Guards against sending all requests that waited for the targets to the first one that is back.
#[test]
fn a_part_under_which_many_targets_ended_at_once_is_probed() {
    let mut history = History::new();
    for n in 0..6 {
        assert_eq!(is_on_probation(&history, CRASHING), n >= 5);
        history.end(1_000 + n, &[FIRST, CRASHING]);
    }
    assert!(history.blocked(2_000).is_empty());
    assert!(!is_on_probation(&history, FIRST), "requests without the part tell them apart");
    history.end(4_000, &[FIRST, CRASHING]);
    assert_eq!(history.blocked(5_000), [Feature::Part(CRASHING)]);
    assert!(!is_on_probation(&history, CRASHING));
}

/// Guards against a part that stays on probation though its probe succeeded.
#[test]
fn a_successful_probe_clears_a_part() {
    let mut history = History::new();
    for n in 0..8 {
        history.end(1_000 + n, &[SUBJECT]);
    }
    assert!(is_on_probation(&history, SUBJECT));
    history.succeed(4_000, SUBJECT);
    assert!(!is_on_probation(&history, SUBJECT));
    assert_eq!(history.crashes.take_rebuttals().len(), 1, "the others are told");
}

/// Guards against probes of several routers at the same time, and of none.
#[test]
fn one_router_at_a_time_probes() {
    let mut history = History::new();
    for n in 0..5 {
        history.end(1_000 + n, &[SUBJECT]);
    }
    let probation = history.crashes.probations(std::iter::once(SUBJECT)).next().unwrap();
    let routers: Vec<String> = (0..12).map(|n| format!("router-{n}")).collect();
    let elected_at = |ms| {
        let is_elected = |name: &&String| {
            let others = routers.iter().filter(|other| other != name).map(String::as_str);
            probation.is_elected(history.at(ms), name, others)
        };
        routers.iter().filter(is_elected).cloned().collect::<Vec<_>>()
    };
    let elected: Vec<Vec<String>> = (0..40).map(|n| elected_at(2_000 + n * 1_000)).collect();
    assert!(elected.iter().all(|names| names.len() == 1));
    assert!(elected.iter().any(|names| *names != elected[0]), "it changes");
}
