//! Which streams get copies of their KV caches, and where.

use corianderstand_fleet::{
    choose,
    config::CacheSupport,
    copies::{self, Denial, Query, Usage},
    targets,
};
use rstest::rstest;
use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

const SERVICE: &str = "models";
const MODEL: &str = "m";
const CACHE_TOKENS: u64 = 90_000;

fn entry(id: &str, host: u8, zone: &str) -> targets::Entry {
    let resident = targets::Resident { model: MODEL.into(), adapters: vec!["a".into()] };
    let holdings = targets::Holdings { resident: vec![resident], ..Default::default() };
    targets::Entry {
        id: id.into(),
        started_at_ms: 1,
        renewals: 1,
        service: SERVICE.into(),
        addr: SocketAddr::from(([10, 0, 0, host], 80)),
        zone: zone.into(),
        slots: 32,
        draining: false,
        shutdown_in: None,
        version: Some("v1".into()),
        holdings,
    }
}

fn requested() -> choose::RequestedModel {
    choose::RequestedModel { model: MODEL.into(), adapter: None }
}

struct Fleet {
    now: Instant,
    targets: targets::Targets,
    usage: Usage,
}

impl Fleet {
    /// An engine that runs the stream, and others.
    fn new(others: Vec<targets::Entry>) -> Self {
        let mut targets = targets::Targets::default();
        let now = Instant::now();
        targets.register(now, entry("source", 1, "here"));
        for other in others {
            assert_eq!(targets.register(now, other), targets::RegistrationChange::New);
        }
        Self { now, targets, usage: Usage::default() }
    }

    fn key(&self, id: &str) -> targets::TargetKey {
        self.targets.key(&id.into()).unwrap()
    }

    fn target(&mut self, id: &str) -> &mut targets::Target {
        let key = self.key(id);
        self.targets.get_mut(key).unwrap()
    }

    fn place_with(&self, change: impl FnOnce(&mut Query)) -> Result<String, Denial> {
        let (service, requested) = (SERVICE.into(), requested());
        let mut query = Query {
            service: &service,
            requested: &requested,
            runs_at: self.key("source"),
            may_resume: false,
            priority: 0,
            prompt_tokens: 700,
            output_tokens: 300,
            cache_tokens: CACHE_TOKENS,
            support: CacheSupport {
                copies: true,
                copy_ttl: Duration::from_secs(5),
                ..Default::default()
            },
            hash: 7,
        };
        change(&mut query);
        let placed = copies::place(self.now, &self.targets, &self.usage, &query);
        placed.map(|key| self.targets.get(key).unwrap().entry.id.to_string())
    }

    fn place(&self) -> Result<String, Denial> {
        self.place_with(|_| {})
    }
}

/// A stream that may not be resumed has a copy, as nothing else outlives its engine.
#[test]
fn a_stream_that_ends_with_its_engine_has_a_copy() {
    assert_eq!(Fleet::new(vec![entry("other", 2, "here")]).place(), Ok("other".into()));
}

/// Guards against copies that cost more than they save, or that engines don't keep.
#[rstest]
#[case::resumable(|query: &mut Query| query.may_resume = true, Denial::Resumable)]
#[case::short(|query: &mut Query| query.output_tokens = 20, Denial::Short)]
#[case::not_offered(|query: &mut Query| query.support.copies = false, Denial::NotOffered)]
#[case::not_kept(|query: &mut Query| query.support.copy_ttl = Duration::ZERO, Denial::NotOffered)]
fn a_stream_has_no_copy(#[case] change: fn(&mut Query), #[case] why: Denial) {
    assert_eq!(Fleet::new(vec![entry("other", 2, "here")]).place_with(change), Err(why));
}

/// Guards against copies at engines that can't go on with the stream.
#[rstest]
#[case::without_the_model(|other: &mut targets::Entry| other.holdings = targets::Holdings::default())]
#[case::of_another_version(|other: &mut targets::Entry| other.version = Some("v2".into()))]
#[case::of_an_unknown_version(|other: &mut targets::Entry| other.version = None)]
#[case::of_another_service(|other: &mut targets::Entry| other.service = "plain".into())]
#[case::on_the_same_host(|other: &mut targets::Entry| other.addr = ([10, 0, 0, 1], 81).into())]
#[case::draining(|other: &mut targets::Entry| other.draining = true)]
#[case::leaving_at_short_notice(|other: &mut targets::Entry| other.shutdown_in = Some(Duration::from_secs(9)))]
fn an_engine_that_cannot_go_on_keeps_no_copy(#[case] change: fn(&mut targets::Entry)) {
    let mut other = entry("other", 2, "here");
    change(&mut other);
    assert_eq!(Fleet::new(vec![other]).place(), Err(Denial::NoSecondEngine));
}

/// Guards against copies at engines that would be slow or refuse to go on.
#[rstest]
#[case::slow(|now, target: &mut targets::Target| {
    (0..20).for_each(|_| target.pace.record_stated(now, 100));
    target.pace.record_stated(now, 250);
})]
#[case::resting(|now, target: &mut targets::Target| target.record_rest(now, Duration::from_secs(3)))]
#[case::refused_a_connection(|now, target: &mut targets::Target| target.record_unreachable(now))]
fn an_engine_in_need_keeps_no_copy(#[case] change: fn(Instant, &mut targets::Target)) {
    let mut fleet = Fleet::new(vec![entry("other", 2, "here")]);
    let now = fleet.now;
    change(now, fleet.target("other"));
    assert_eq!(fleet.place(), Err(Denial::NoSecondEngine));
}

/// Guards against an adapter that would have to be loaded before the stream can go on.
#[rstest]
#[case::there("a", Ok("other".into()))]
#[case::elsewhere("b", Err(Denial::NoSecondEngine))]
fn an_adapter_must_be_there(#[case] adapter: &str, #[case] placed: Result<String, Denial>) {
    let fleet = Fleet::new(vec![entry("other", 2, "here")]);
    let requested = choose::RequestedModel { adapter: Some(adapter.into()), ..requested() };
    let query = |query: &mut Query| query.requested = Box::leak(Box::new(requested));
    assert_eq!(fleet.place_with(query), placed);
}

/// Bytes between zones are dear; another zone is better than none.
#[test]
fn an_engine_of_the_same_zone_goes_first() {
    let mut fleet = Fleet::new(vec![entry("far", 3, "there"), entry("near", 2, "here")]);
    fleet.target("near").local_tokens = CACHE_TOKENS / 2;
    assert_eq!(fleet.place(), Ok("near".into()));
    fleet.target("near").local_tokens = CACHE_TOKENS;
    assert_eq!(fleet.place(), Ok("far".into()));
}

/// Guards against copies that take the room of streams.
#[test]
fn a_full_engine_keeps_no_copy() {
    let mut fleet = Fleet::new(vec![entry("other", 2, "here")]);
    fleet.target("other").local_tokens = CACHE_TOKENS * 4 / 5;
    assert_eq!(fleet.place(), Err(Denial::NoRoom));
}

/// Guards against an engine that is filled with copies by one router.
#[rstest]
#[case::by_number(copies::MAX_COPIES_PER_ENGINE, 1)]
#[case::by_tokens(1, CACHE_TOKENS / 4)]
fn copies_at_one_engine_are_bounded(#[case] count: u32, #[case] tokens: u64) {
    let mut fleet = Fleet::new(vec![entry("other", 2, "here")]);
    let key = fleet.key("other");
    (0..count).for_each(|_| fleet.usage.add(key, tokens));
    assert_eq!(fleet.place(), Err(Denial::NoRoom));
    fleet.usage.remove(key, tokens);
    assert_eq!(fleet.place(), Ok("other".into()));
}

/// Guards against low ranks that take the copies of high ones.
#[test]
fn low_ranks_leave_copies_to_high_ones() {
    let mut fleet = Fleet::new(vec![entry("other", 2, "here")]);
    let source = fleet.key("source");
    (0..copies::MAX_COPIES / 4).for_each(|_| fleet.usage.add(source, 1));
    let place = |priority| fleet.place_with(|query| query.priority = priority);
    assert_eq!(place(2), Err(Denial::TooMany));
    assert_eq!(place(1), Ok("other".into()));
}

/// Guards against a bound that leaks: what was added and removed is free again.
#[test]
fn removed_copies_do_not_count() {
    let mut fleet = Fleet::new(vec![entry("other", 2, "here")]);
    let key = fleet.key("other");
    fleet.usage.add(key, 10);
    fleet.usage.remove(key, 10);
    fleet.usage.remove(key, 10);
    assert_eq!(fleet.usage.copies(), 0);
}

/// Guards against all streams of one moment at one engine.
#[test]
fn equal_engines_share_the_copies() {
    let others = (2..10).map(|host| entry(&format!("other-{host}"), host, "here")).collect();
    let fleet = Fleet::new(others);
    let mut chosen: Vec<_> = (0..64_u64)
        .map(|hash| fleet.place_with(|query| query.hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    chosen.sort_unstable_by_key(|placed| placed.clone().unwrap());
    chosen.dedup();
    assert!(chosen.len() >= 6, "{chosen:?}");
}

/// A choice among the engines of a large fleet is cheap beside a request.
#[test]
fn a_choice_among_many_engines_takes_little_time() {
    const ENGINES: u16 = 730;
    const CHOICES: u32 = 200;
    /// Generous, as tests aren't optimized.
    const MAX_TIME: Duration = Duration::from_millis(4);
    let others = (0..ENGINES).map(|number| {
        let [high, low] = number.to_be_bytes();
        let addr = SocketAddr::from(([10, 1, high, low], 80));
        targets::Entry { addr, ..entry(&format!("other-{number}"), 2, "here") }
    });
    let fleet = Fleet::new(others.collect());
    let started_at = Instant::now();
    for _ in 0..CHOICES {
        drop(black_box(fleet.place()));
    }
    let time = started_at.elapsed() / CHOICES;
    println!("{time:?} for one choice among {ENGINES} engines");
    assert!(time < MAX_TIME, "{time:?}");
}
