use super::{CacheEvent, Decision, Router, TargetKey};
use crate::{
    queue::Length,
    request::{Refusal, RequestKey, RequestShape, RequestSpec, Requirement},
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
        router.set_replica_slot_owners(BTreeMap::from([("a".into(), keys.clone())]));
        router.set_services(BTreeMap::from([("agenda".into(), keys.clone())]));
        Self { router, clock: ManualClock::default(), keys }
    }

    fn spec(&self, prefix: Option<u64>) -> RequestSpec {
        RequestSpec {
            team: "crew".into(),
            requirement: Requirement::Weights {
                base: Weights::model("a".into(), "1".into()),
                adapter: None,
            },
            urgency: 1,
            deadline: self.clock.now() + Duration::from_secs(600),
            repeatable: true,
            shape: RequestShape { length: Length::Short, prefix },
        }
    }

    fn send(&mut self, prefix: Option<u64>) -> (RequestKey, TargetKey) {
        let spec = self.spec(prefix);
        let (key, decision) = self.router.submit(self.clock.now(), spec);
        let Decision::Send(target) = decision else { panic!("not sent: {decision:?}") };
        (key, target)
    }

    /// Warms up every replica, each in turn as the only one without a queue.
    fn warm_up_all(&mut self) {
        for key in self.keys.clone() {
            let now = self.clock.now();
            for other in &self.keys {
                let wait_ms = if *other == key { 0 } else { 60_000 };
                self.router.record_load(now, *other, Load { wait_ms, ..IDLE });
            }
            let mut reached = false;
            while !reached {
                let (request, target) = self.send(None);
                reached = target == key;
                let wait_ms = if reached { 0 } else { 60_000 };
                self.router.finished(now, request, Some(Load { wait_ms, ..IDLE }));
            }
        }
        let now = self.clock.now();
        self.keys.iter().for_each(|key| self.router.record_load(now, *key, IDLE));
    }

    /// Runs rounds of 18 concurrent requests, one a second; returns how many reached `watched`.
    fn rounds(
        &mut self,
        count: usize,
        ms_per_part: impl Fn(TargetKey) -> u64,
        watched: TargetKey,
    ) -> u32 {
        let mut hits = 0;
        for _ in 0..count {
            let sent: Vec<_> = (0..18).map(|_| self.send(None)).collect();
            for (key, target) in sent {
                hits += u32::from(target == watched);
                self.router.progressed(
                    self.clock.now(),
                    key,
                    10,
                    Duration::from_millis(10 * ms_per_part(target)),
                );
                self.router.finished(self.clock.now(), key, Some(IDLE));
            }
            self.clock.advance(Duration::from_secs(1));
        }
        hits
    }

    /// Sends a request and completes it, in ten parts at its target's pace.
    fn complete(
        &mut self,
        prefix: Option<u64>,
        ms_per_part: impl Fn(TargetKey) -> u64,
    ) -> TargetKey {
        let (key, target) = self.send(prefix);
        self.router.progressed(
            self.clock.now(),
            key,
            10,
            Duration::from_millis(10 * ms_per_part(target)),
        );
        self.clock.advance(Duration::from_millis(50));
        self.router.finished(self.clock.now(), key, Some(IDLE));
        target
    }
}

/// Guards against loading a cold model at several replicas.
#[rstest]
fn routers_load_a_cold_model_at_one_replica() {
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

/// Guards against queueing at a warm replica for longer than the load of another would take.
#[rstest]
fn a_long_wait_starts_the_next_replica() {
    let mut bench = Bench::new(3, 1);
    let (_, first) = bench.send(None);
    bench.router.record_load(
        bench.clock.now(),
        first,
        Load { running: 8, queued: 90, wait_ms: 9000 },
    );
    assert_ne!(bench.send(None).1, first);
}

/// Guards against ignoring a cached prefix, and against a long wait for its target.
#[rstest]
fn a_session_returns_to_its_cached_prefix_unless_the_wait_is_too_long() {
    let mut bench = Bench::new(9, 7);
    for session in 0..40 {
        bench.complete(Some(session), |_| 20);
    }
    let (key, home) = bench.send(Some(5));
    bench.router.finished(bench.clock.now(), key, Some(IDLE));
    for _ in 0..5 {
        assert_eq!(bench.complete(Some(5), |_| 20), home);
    }
    let others: Vec<TargetKey> = bench.keys.iter().copied().filter(|key| *key != home).collect();
    let now = bench.clock.now();
    bench.router.record_load(now, home, Load { running: 8, queued: 40, wait_ms: 20_000 });
    others.iter().for_each(|key| bench.router.record_load(now, *key, IDLE));
    assert_ne!(bench.send(Some(5)).1, home, "the wait must outweigh the cached prefix");
}

/// Guards against routing by prefixes whose removal was lost in a gap of cache events.
#[rstest]
fn a_gap_in_cache_events_invalidates_the_target() {
    let mut bench = Bench::new(3, 3);
    let target = bench.keys[1];
    let event = |sequence, stored: &[u64]| CacheEvent {
        sequence,
        stored: stored.to_vec(),
        removed: vec![],
    };
    let now = bench.clock.now();
    bench.router.apply_cache_event(now, target, &event(1, &[42]));
    assert_eq!(bench.router.prefixes.find(42), Some(target));
    bench.router.apply_cache_event(now, target, &event(5, &[43]));
    assert_eq!(bench.router.prefixes.find(42), None);
    assert_eq!(bench.router.prefixes.find(43), Some(target));
}

#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn a_slow_target_is_ejected_probed_and_readmitted(#[case] seed: u64) {
    let mut bench = Bench::new(9, seed);
    bench.warm_up_all();
    let slow = bench.send(None).1;
    let slowly = |key| if key == slow { 160 } else { 20 };
    assert!(bench.rounds(20, |_| 20, slow) > 5, "it gets its part before it slows down");
    bench.rounds(20, slowly, slow);
    assert!(bench.router.target_state(slow).unwrap().is_ejected());
    let hits = bench.rounds(20, slowly, slow);
    assert!(hits <= 5, "20 s at one probe each 5 s, of 360 requests: {hits}");
    bench.rounds(60, |_| 20, slow);
    assert!(!bench.router.target_state(slow).unwrap().is_ejected());
    assert!(bench.rounds(20, |_| 20, slow) > 5, "it gets its part after it recovered");
}

/// Guards against ejecting so many targets in a general slowdown that the rest are overloaded.
#[rstest]
fn the_number_of_ejected_targets_is_limited() {
    let mut bench = Bench::new(9, 5);
    for session in 0..200 {
        bench.complete(Some(session), |_| 20);
    }
    for session in 200..1200 {
        bench.complete(Some(session), |_| 400);
        let ejected = bench.router.targets().filter(|target| target.is_ejected()).count();
        assert!(ejected <= 3, "{ejected} of 9 are ejected");
    }
}

#[rstest]
fn a_long_response_does_not_eject_its_target() {
    let mut bench = Bench::new(3, 9);
    for session in 0..100 {
        let (key, target) = bench.send(Some(session));
        let parts = if target == bench.keys[0] { 5000 } else { 10 };
        bench.router.progressed(bench.clock.now(), key, parts, Duration::from_millis(20 * parts));
        bench.router.finished(bench.clock.now(), key, Some(IDLE));
    }
    assert!(bench.router.targets().all(|target| !target.is_ejected()));
}

/// Guards against retries amplifying an overload in which every target refuses.
#[rstest]
fn retries_stay_within_the_budget() {
    let mut bench = Bench::new(9, 11);
    let refusal = Refusal { reason: RefusalReason::QueueFull, retry_after: Duration::from_secs(2) };
    let mut messages = 0;
    for _ in 0..1000 {
        let spec = bench.spec(None);
        let (key, mut decision) = bench.router.submit(bench.clock.now(), spec);
        while let Decision::Send(_) = decision {
            messages += 1;
            decision = bench.router.refused(bench.clock.now(), key, refusal, IDLE);
        }
        assert_eq!(decision, Decision::Refuse(refusal), "the target's own retry delay");
    }
    assert!(messages <= 1000 + 110, "{messages}");
}

/// Guards against running a request twice that isn't repeatable, after its connection is lost.
#[rstest]
#[case::repeatable(true)]
#[case::not_repeatable(false)]
fn only_repeatable_requests_are_retried_after_a_lost_connection(#[case] repeatable: bool) {
    let mut bench = Bench::new(3, 13);
    let spec = RequestSpec { repeatable, ..bench.spec(None) };
    let (key, _) = bench.router.submit(bench.clock.now(), spec);
    let refusal = Refusal { reason: RefusalReason::NotLoaded, retry_after: Duration::from_secs(1) };
    let decision = bench.router.connection_lost(bench.clock.now(), key, refusal);
    assert_eq!(matches!(decision, Some(Decision::Send(_))), repeatable);
    assert_eq!(decision.is_none(), !repeatable);
}

/// Guards against leaving a second replica cold while the first refuses most requests.
#[rstest]
#[case::serving(true)]
#[case::loading(false)]
fn a_refusal_by_deadline_starts_the_next_replica_if_the_first_is_serving(#[case] serving: bool) {
    let mut bench = Bench::new(3, 1);
    let (served, first) = bench.send(None);
    if serving {
        bench.router.finished(bench.clock.now(), served, Some(IDLE));
    }
    bench.clock.advance(Duration::from_millis(200));
    let (key, target) = bench.send(None);
    assert_eq!(target, first);
    let refusal = Refusal { reason: RefusalReason::Deadline, retry_after: Duration::from_secs(1) };
    let reported = Load { running: 8, queued: 3, wait_ms: 900 };
    let decision = bench.router.refused(bench.clock.now(), key, refusal, reported);
    let started_next = matches!(decision, Decision::Send(target) if target != first);
    assert_eq!(started_next, serving, "{decision:?}");
}
