//! Routers without connections: the test answers for the targets.

use super::{CacheEvent, Decision, Router, TargetKey};
use crate::{
    queue::Length,
    request::{Refusal, RequestKey, RequestSpec, Requirement, Shape},
};
use corianderstand_schema::messages::{Load, RefusalReason};
use corianderstand_types::{
    clock::{Clock, ManualClock},
    names::TargetId,
    weights::Weights,
};
use rstest::rstest;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const IDLE: Load = Load { running: 0, queued: 0, wait_ms: 0 };

struct Bench {
    router: Router,
    clock: ManualClock,
    keys: Vec<TargetKey>,
}

impl Bench {
    fn new(targets: usize, seed: u64) -> Self {
        println!("seed {seed}");
        let mut router = Router::new("conce".into(), seed);
        let name = |number: usize| TargetId::from(format!("engine-{number}").as_str());
        let keys: Vec<TargetKey> =
            (0..targets).map(|number| router.add_target(&name(number), &"conce".into())).collect();
        keys.iter().for_each(|key| router.set_connected(*key, true));
        router.set_owners(BTreeMap::from([("a".into(), keys.clone())]));
        router.set_services(BTreeMap::from([("agenda".into(), keys.clone())]));
        Self { router, clock: ManualClock::default(), keys }
    }

    fn work(&self, prefix: Option<u64>) -> RequestSpec {
        RequestSpec {
            team: "crew".into(),
            requirement: Requirement::Weights {
                base: Weights::model("a".into(), "1".into()),
                adapter: None,
            },
            urgency: 1,
            deadline: self.clock.now() + Duration::from_secs(600),
            repeatable: true,
            shape: Shape { length: Length::Short, prefix },
        }
    }

    fn send(&mut self, prefix: Option<u64>) -> (RequestKey, TargetKey) {
        let work = self.work(prefix);
        let (key, decision) = self.router.submit(self.clock.now(), work);
        let Decision::Send(target) = decision else { panic!("not sent: {decision:?}") };
        (key, target)
    }

    /// Makes every replica warm, each in turn the only one without a queue.
    fn wake_all(&mut self) {
        for key in self.keys.clone() {
            let now = self.clock.now();
            for other in &self.keys {
                let wait_ms = if *other == key { 0 } else { 60_000 };
                self.router.note_load(now, *other, Load { wait_ms, ..IDLE });
            }
            let mut woken = false;
            while !woken {
                let (request, target) = self.send(None);
                woken = target == key;
                let wait_ms = if woken { 0 } else { 60_000 };
                self.router.finished(now, request, Some(Load { wait_ms, ..IDLE }));
            }
        }
        let now = self.clock.now();
        self.keys.iter().for_each(|key| self.router.note_load(now, *key, IDLE));
    }

    /// Rounds of 18 requests at once, one round a second; how many met `watched`.
    fn rounds(&mut self, count: usize, each: impl Fn(TargetKey) -> u64, watched: TargetKey) -> u32 {
        let mut met = 0;
        for _ in 0..count {
            let sent: Vec<_> = (0..18).map(|_| self.send(None)).collect();
            for (key, target) in sent {
                met += u32::from(target == watched);
                self.router.progressed(
                    self.clock.now(),
                    key,
                    10,
                    Duration::from_millis(10 * each(target)),
                );
                self.router.finished(self.clock.now(), key, Some(IDLE));
            }
            self.clock.advance(Duration::from_secs(1));
        }
        met
    }

    /// Sends a request and answers it, ten parts at the pace of its target.
    fn answer(&mut self, prefix: Option<u64>, each: impl Fn(TargetKey) -> u64) -> TargetKey {
        let (key, target) = self.send(prefix);
        self.router.progressed(self.clock.now(), key, 10, Duration::from_millis(10 * each(target)));
        self.clock.advance(Duration::from_millis(50));
        self.router.finished(self.clock.now(), key, Some(IDLE));
        target
    }
}

/// First requests for a cold model come through many routers. Each choosing on its own would
/// wake several replicas; they meet at one, so there is one load and one warm replica.
#[rstest]
fn routers_meet_at_one_replica_of_a_cold_model() {
    let mut chosen = BTreeSet::new();
    for seed in 0..20 {
        let mut bench = Bench::new(9, seed);
        for session in 0..10 {
            let (_, target) = bench.send(Some(session));
            chosen.insert(bench.router.target_state(target).unwrap().name.clone());
        }
    }
    assert_eq!(chosen.len(), 1);
}

/// A model's first replica has a long queue. Further requests wake the next one rather than
/// wait for longer than its load would take.
#[rstest]
fn a_long_wait_wakes_the_next_replica() {
    let mut bench = Bench::new(3, 1);
    let (_, first) = bench.send(None);
    bench.router.note_load(
        bench.clock.now(),
        first,
        Load { running: 8, queued: 90, wait_ms: 9000 },
    );
    assert_ne!(bench.send(None).1, first);
}

/// A coach's chat goes on where its prompt is cached, unless the wait there is worse than
/// computing it again.
#[rstest]
fn a_session_returns_to_its_cache_within_bounds() {
    let mut bench = Bench::new(9, 7);
    for session in 0..40 {
        bench.answer(Some(session), |_| 20);
    }
    let (key, home) = bench.send(Some(5));
    bench.router.finished(bench.clock.now(), key, Some(IDLE));
    for _ in 0..5 {
        assert_eq!(bench.answer(Some(5), |_| 20), home);
    }
    let others: Vec<TargetKey> = bench.keys.iter().copied().filter(|key| *key != home).collect();
    let now = bench.clock.now();
    bench.router.note_load(now, home, Load { running: 8, queued: 40, wait_ms: 20_000 });
    others.iter().for_each(|key| bench.router.note_load(now, *key, IDLE));
    assert_ne!(bench.send(Some(5)).1, home, "not at any price");
}

/// Cache events come with gaps. What was removed in a gap is not known, so nothing of the target
/// is relied upon; sent there for a cache that is gone, a chat would only wait longer.
#[rstest]
fn a_gap_in_cache_events_ends_what_was_known() {
    let mut bench = Bench::new(3, 3);
    let target = bench.keys[1];
    let event =
        |number, stored: &[u64]| CacheEvent { number, stored: stored.to_vec(), removed: vec![] };
    let now = bench.clock.now();
    bench.router.cache_event(now, target, &event(1, &[42]));
    assert_eq!(bench.router.prefixes.find(42), Some(target));
    bench.router.cache_event(now, target, &event(5, &[43]));
    assert_eq!(bench.router.prefixes.find(42), None);
    assert_eq!(bench.router.prefixes.find(43), Some(target));
}

/// One of nine engines becomes eight times slower. Callers soon hardly meet it; once it is well
/// again it gets its part of the work back.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn a_slow_target_gets_a_trickle_and_comes_back(#[case] seed: u64) {
    let mut bench = Bench::new(9, seed);
    bench.wake_all();
    let slow = bench.send(None).1;
    let slowly = |key| if key == slow { 160 } else { 20 };
    assert!(bench.rounds(20, |_| 20, slow) > 5, "it has its part while it is well");
    bench.rounds(20, slowly, slow);
    assert!(bench.router.target_state(slow).unwrap().is_out());
    let met = bench.rounds(20, slowly, slow);
    assert!(met <= 5, "20 s, a try each 5 s, of 360 requests: {met}");
    bench.rounds(60, |_| 20, slow);
    assert!(!bench.router.target_state(slow).unwrap().is_out());
    assert!(bench.rounds(20, |_| 20, slow) > 5, "it has its part again");
}

/// All engines slow down together, as when all are full. None is the cause, and putting many out
/// would bring down the rest.
#[rstest]
fn never_so_many_are_put_out_that_the_rest_collapse() {
    let mut bench = Bench::new(9, 5);
    for session in 0..200 {
        bench.answer(Some(session), |_| 20);
    }
    for session in 200..1200 {
        bench.answer(Some(session), |_| 400);
        let out = bench.router.targets().filter(|target| target.is_out()).count();
        assert!(out <= 3, "{out} of 9 are out");
    }
}

/// Long answers from one target, short ones from the others, at the same pace: it is not slow.
#[rstest]
fn a_long_answer_does_not_make_a_target_slow() {
    let mut bench = Bench::new(3, 9);
    for session in 0..100 {
        let (key, target) = bench.send(Some(session));
        let parts = if target == bench.keys[0] { 5000 } else { 10 };
        bench.router.progressed(bench.clock.now(), key, parts, Duration::from_millis(20 * parts));
        bench.router.finished(bench.clock.now(), key, Some(IDLE));
    }
    assert!(bench.router.targets().all(|target| !target.is_out()));
}

/// Every target refuses. Tried everywhere, each request would be three messages to targets that
/// have too much to do; beyond the budget the refusal is passed on at once.
#[rstest]
fn tries_elsewhere_stay_within_the_budget() {
    let mut bench = Bench::new(9, 11);
    let refusal = Refusal { reason: RefusalReason::QueueFull, retry_after: Duration::from_secs(2) };
    let mut messages = 0;
    for _ in 0..1000 {
        let work = bench.work(None);
        let (key, mut decision) = bench.router.submit(bench.clock.now(), work);
        while let Decision::Send(_) = decision {
            messages += 1;
            decision = bench.router.refused(bench.clock.now(), key, refusal, IDLE);
        }
        assert_eq!(decision, Decision::Refuse(refusal), "the target's own time to come back");
    }
    assert!(messages <= 1000 + 110, "{messages}");
}

/// The connection breaks while a booking may be running. A second try could book twice, so its
/// caller is told; a draft is tried elsewhere.
#[rstest]
#[case::draft(true)]
#[case::booking(false)]
fn only_what_may_be_repeated_is_tried_again(#[case] repeatable: bool) {
    let mut bench = Bench::new(3, 13);
    let work = RequestSpec { repeatable, ..bench.work(None) };
    let (key, _) = bench.router.submit(bench.clock.now(), work);
    let refusal = Refusal { reason: RefusalReason::NotLoaded, retry_after: Duration::from_secs(1) };
    let decision = bench.router.lost(bench.clock.now(), key, refusal);
    assert_eq!(matches!(decision, Some(Decision::Send(_))), repeatable);
    assert_eq!(decision.is_none(), !repeatable);
}

/// A model's first replica answers some callers and refuses the rest, whose deadlines its queue would
/// pass. Its queue stays short by that, so nothing else shows that a second replica is needed, and
/// most callers are refused for as long as the load lasts.
#[rstest]
#[case::it_answers_others(true)]
#[case::it_is_still_loading(false)]
fn a_replica_that_refuses_by_deadline_wakes_the_next_if_it_is_serving(#[case] serving: bool) {
    let mut bench = Bench::new(3, 1);
    let (served, first) = bench.send(None);
    if serving {
        bench.router.finished(bench.clock.now(), served, Some(IDLE));
    }
    bench.clock.advance(Duration::from_millis(200));
    let (key, target) = bench.send(None);
    assert_eq!(target, first);
    let refusal = Refusal { reason: RefusalReason::Deadline, retry_after: Duration::from_secs(1) };
    let told = Load { running: 8, queued: 3, wait_ms: 900 };
    let decision = bench.router.refused(bench.clock.now(), key, refusal, told);
    let woken = matches!(decision, Decision::Send(target) if target != first);
    assert_eq!(woken, serving, "{decision:?}");
}
