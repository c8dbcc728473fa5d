//! Drives one agent without sockets or an engine; the tests supply the results of commands.

use super::{Action, Agent, Eviction, KeepAlive, Limits, Policy};
use crate::{
    queue::Length,
    request::{
        CostFactors, Refusal, RequestKey, RequestShape, RequestSpec, Requirement, SchedulingConfig,
        StoreLimits,
    },
};
use corianderstand_schema::messages::RefusalReason;
use corianderstand_types::{
    clock::{Clock, ManualClock},
    names::{ModelId, WorkspaceId},
    units::Mib,
    weights::Weights,
};
use rstest::rstest;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

const LOAD_TIME: Duration = Duration::from_secs(20);
const MODEL_MIB: u64 = 1000;

#[derive(Default)]
struct TestConfig {
    shares: BTreeMap<WorkspaceId, u32>,
    cost_factors: CostFactors,
}

impl SchedulingConfig for TestConfig {
    fn memory(&self, weights: &Weights) -> Option<Mib> {
        Some(Mib(if weights.adapter.is_some() { 10 } else { MODEL_MIB }))
    }

    fn load_time(&self, weights: &Weights) -> Duration {
        if weights.adapter.is_some() { Duration::from_secs(1) } else { LOAD_TIME }
    }

    fn share(&self, team: &WorkspaceId) -> u32 {
        self.shares.get(team).copied().unwrap_or(100)
    }

    fn cost_factors(&self, _: &ModelId) -> CostFactors {
        self.cost_factors
    }

    fn store(&self) -> StoreLimits {
        StoreLimits { per_second: 1000, concurrent: 4, engines: 1 }
    }
}

struct Harness {
    agent: Agent,
    config: TestConfig,
    clock: ManualClock,
}

fn model(name: &str) -> Weights {
    Weights::model(name.into(), "1".into())
}

impl Harness {
    fn new(concurrency: u32, models: u64, policy: Policy) -> Self {
        let limits = Limits { concurrency, queue: 64 };
        let mut agent = Agent::with_policy(limits, Mib(models * MODEL_MIB), policy);
        let slots = ["a", "b", "c", "d"].into_iter().map(ModelId::from);
        agent.set_replica_slots(slots.collect::<BTreeSet<_>>());
        let mut harness =
            Self { agent, config: TestConfig::default(), clock: ManualClock::default() };
        let now = harness.now();
        harness.agent.set_unix_time(now, 0);
        harness
    }

    fn warm(concurrency: u32, names: &[&str]) -> Self {
        let mut harness = Self::new(concurrency, 4, Policy::default());
        let ready = names.iter().map(|name| (model(name), Mib(MODEL_MIB), true));
        harness.agent.rebuild(ready.collect::<Vec<_>>());
        harness
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn spec(&self, team: &str, name: &str, length: Length, seconds: u64) -> RequestSpec {
        RequestSpec {
            team: team.into(),
            requirement: Requirement::Weights { base: model(name), adapter: None },
            urgency: 1,
            deadline: self.now() + Duration::from_secs(seconds),
            repeatable: true,
            shape: RequestShape { length, prefix: None },
        }
    }

    fn submit(&mut self, spec: RequestSpec) -> (RequestKey, Vec<Action>) {
        self.agent.submit(self.now(), spec, &self.config)
    }

    fn short(&mut self, team: &str, name: &str, seconds: u64) -> (RequestKey, Vec<Action>) {
        let spec = self.spec(team, name, Length::Short, seconds);
        self.submit(spec)
    }

    fn finish(&mut self, key: RequestKey) -> Vec<Action> {
        self.agent.on_request_finished(self.now(), key, &self.config)
    }

    fn advance(&mut self, time: Duration) -> Vec<Action> {
        self.clock.advance(time);
        self.agent.step(self.now(), &self.config)
    }

    fn loaded(&mut self, name: &str) -> Vec<Action> {
        self.agent.on_load_finished(self.now(), &model(name), Some(true), &self.config)
    }
}

fn runs(actions: &[Action]) -> Vec<RequestKey> {
    let run = |action: &Action| match action {
        Action::Run(key) => Some(*key),
        _ => None,
    };
    actions.iter().filter_map(run).collect()
}

fn refusals(actions: &[Action]) -> Vec<Refusal> {
    let refusal = |action: &Action| match action {
        Action::Refuse(_, refusal) => Some(*refusal),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Guards against concurrent first requests for a cold model reserving memory more than once.
#[rstest]
fn concurrent_first_requests_start_one_load() {
    let mut harness = Harness::new(8, 4, Policy::default());
    let mut actions = Vec::new();
    for _ in 0..50 {
        actions.extend(harness.short("crew", "a", 60).1);
    }
    let loads = actions.iter().filter(|action| matches!(action, Action::Load(..)));
    assert_eq!(loads.count(), 1);
    harness.clock.advance(LOAD_TIME);
    assert_eq!(runs(&harness.loaded("a")).len(), 8, "requests start once the load finishes");
}

/// Guards against a model never being loaded because all deadlines are shorter than its load.
#[rstest]
fn a_request_refused_for_its_deadline_still_loads_the_model() {
    let mut harness = Harness::new(8, 4, Policy::default());
    let (_, actions) = harness.short("crew", "a", 5);
    let refusal = refusals(&actions)[0];
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert!(refusal.retry_after >= LOAD_TIME && refusal.retry_after <= LOAD_TIME * 5 / 4);
    assert!(actions.iter().any(|action| matches!(action, Action::Load(..))));
    harness.clock.advance(LOAD_TIME);
    harness.loaded("a");
    harness.advance(refusal.retry_after - LOAD_TIME);
    assert_eq!(runs(&harness.short("crew", "a", 5).1).len(), 1);
}

/// Guards against the callers of a refused burst all retrying at the same time.
#[rstest]
fn a_refused_burst_gets_spread_retry_times() {
    let mut harness = Harness::warm(2, &["a"]);
    let mut refused = Vec::new();
    for _ in 0..400 {
        let actions = harness.short("crew", "a", 1).1;
        refused.extend(refusals(&actions));
    }
    assert!(refused.len() > 300);
    let mut times: Vec<Duration> = refused.iter().map(|refusal| refusal.retry_after).collect();
    times.sort();
    times.dedup();
    assert!(
        times.len() * 10 > refused.len() * 9,
        "{} retry times for {} refusals",
        times.len(),
        refused.len()
    );
    let first = refused[0].retry_after;
    assert!(first < Duration::from_secs(2), "the first retry time is short: {first:?}");
}

/// Guards against admitted requests that wait until their deadline on a slowed target.
#[rstest]
fn hopeless_requests_are_refused_before_their_deadline() {
    let mut harness = Harness::warm(1, &["a"]);
    let (first, _) = harness.short("crew", "a", 60);
    for _ in 0..20 {
        harness.short("crew", "a", 60);
    }
    harness.clock.advance(Duration::from_secs(30));
    harness.finish(first);
    let mut refused = 0;
    for _ in 0..40 {
        refused += refusals(&harness.advance(Duration::from_millis(250))).len();
    }
    assert!(refused > 0, "some are refused within 40 s of admission");
}

/// Guards against urgent requests of one team holding capacity that is guaranteed to another.
#[rstest]
fn a_borrowed_share_is_returned_as_requests_finish() {
    let mut harness = Harness::warm(10, &["a"]);
    harness.config.shares = BTreeMap::from([("a".into(), 800), ("b".into(), 200)]);
    let mut running = Vec::new();
    for _ in 0..60 {
        let mut spec = harness.spec("b", "a", Length::Short, 600);
        spec.urgency = 2;
        running.extend(runs(&harness.submit(spec).1));
    }
    assert_eq!(harness.agent.running_of(&"b".into()), 10, "idle capacity is lent");
    for _ in 0..20 {
        harness.short("a", "a", 600);
    }
    for key in running.into_iter().take(8) {
        harness.clock.advance(Duration::from_millis(100));
        harness.finish(key);
    }
    assert_eq!(
        harness.agent.running_of(&"a".into()),
        8,
        "eight of ten slots after eight requests finished"
    );
    assert_eq!(harness.agent.running_of(&"b".into()), 2, "the borrower keeps its own share");
}

/// Guards against a team being refused because another team filled the queue.
#[rstest]
fn a_full_queue_admits_a_team_below_its_share() {
    let mut harness = Harness::warm(1, &["a"]);
    harness.config.shares = BTreeMap::from([("a".into(), 500), ("b".into(), 500)]);
    for _ in 0..200 {
        harness.short("b", "a", 600);
    }
    let (_, actions) = harness.short("a", "a", 600);
    assert!(refusals(&actions).is_empty());
}

/// Guards against long requests that block short ones, and the reverse.
#[rstest]
fn neither_length_starves_the_other() {
    let mut harness = Harness::warm(8, &["a"]);
    let mut chats = 0;
    for _ in 0..20 {
        let chat = harness.spec("coach", "a", Length::Long, 600);
        chats += runs(&harness.submit(chat).1).len();
    }
    assert_eq!(chats, 6, "three quarters of the capacity");
    assert_eq!(runs(&harness.short("manager", "a", 10).1).len(), 1);

    let mut harness = Harness::warm(8, &["a"]);
    let mut running = Vec::new();
    for _ in 0..40 {
        running.extend(runs(&harness.short("manager", "a", 600).1));
    }
    let chat = harness.spec("manager", "a", Length::Long, 900);
    let (chat, _) = harness.submit(chat);
    harness.finish(running[0]);
    assert!(harness.agent.is_running(chat), "a flood of summaries does not hold up a chat");
}

/// Guards against evicting weights in use, or frequently used ones before rarely used ones.
#[rstest]
fn the_lowest_utility_is_evicted_and_never_weights_in_use() {
    let mut harness = Harness::new(
        8,
        3,
        Policy { keep_alive: KeepAlive::Fixed(LOAD_TIME * 1000), ..Policy::default() },
    );
    let ready = ["a", "b", "c"].map(|name| (model(name), Mib(MODEL_MIB), true));
    harness.agent.rebuild(ready);
    harness.short("crew", "a", 86_400);
    for _ in 0..20 {
        harness.advance(Duration::from_secs(60));
        let (key, _) = harness.short("crew", "b", 60);
        harness.finish(key);
    }
    let (key, _) = harness.short("crew", "c", 60);
    harness.finish(key);
    let (_, actions) = harness.short("crew", "d", 60);
    let unloaded: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Unload(weights, _) => Some(weights.model.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(unloaded, [ModelId::from("c")], "c has the lowest utility");
}

/// Guards against a request waiting for memory until its deadline.
#[rstest]
fn requests_are_refused_soon_when_memory_is_full() {
    let mut harness =
        Harness::new(8, 1, Policy { eviction: Eviction::LowestUtility, ..Policy::default() });
    harness.agent.rebuild([(model("a"), Mib(MODEL_MIB), true)]);
    harness.short("crew", "a", 600);
    let (_, actions) = harness.short("crew", "b", 600);
    assert!(refusals(&actions).is_empty());
    let refused = refusals(&harness.advance(Duration::from_secs(3)));
    assert_eq!(refused.len(), 1);
}

/// An idle model is unloaded sooner if idle time outweighs cold starts.
#[rstest]
#[case::idle_time_weighted(CostFactors { cold_start: 10, idle: 90 }, 300, true)]
#[case::cold_start_weighted(CostFactors { cold_start: 90, idle: 10 }, 300, false)]
fn cost_factors_set_the_keep_alive_time(
    #[case] factors: CostFactors,
    #[case] after: u64,
    #[case] unloaded: bool,
) {
    let mut harness = Harness::warm(8, &["a"]);
    harness.config.cost_factors = factors;
    let (key, _) = harness.short("crew", "a", 60);
    harness.finish(key);
    let actions = harness.advance(Duration::from_secs(after));
    assert_eq!(actions.iter().any(|action| matches!(action, Action::Unload(..))), unloaded);
}

/// A model called at about the same time each day is loaded ahead of the call after some days.
#[rstest]
fn a_daily_burst_is_prewarmed() {
    let mut harness = Harness::new(8, 4, Policy::default());
    let day = Duration::from_secs(86_400);
    let mut waited = Vec::new();
    let mut at = Duration::from_secs(7 * 3600);
    for number in 0..6 {
        while harness.clock.elapsed() < at {
            let actions = harness.advance(Duration::from_secs(30));
            if actions.iter().any(|action| matches!(action, Action::Load(..))) {
                harness.clock.advance(LOAD_TIME);
                harness.loaded("a");
            }
            if let Some(Action::Unload(weights, _)) = actions.first() {
                harness.agent.on_unload_finished(harness.now(), weights, true, &harness.config);
            }
        }
        let (key, actions) = harness.short("crew", "a", 60);
        waited.push(runs(&actions).is_empty());
        harness.clock.advance(LOAD_TIME);
        if runs(&actions).is_empty() {
            harness.loaded("a");
        }
        harness.finish(key);
        at = day * (number + 1) + Duration::from_secs(7 * 3600 + u64::from(number * 40 % 120));
    }
    assert!(waited[0]);
    assert_eq!(waited[4..], [false, false]);
}
