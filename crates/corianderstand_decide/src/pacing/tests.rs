//! Pacing without a store: the test answers for it.

use super::{Ask, Coordinator, Gate};
use crate::request::StoreLimits;
use corianderstand_types::{
    clock::{Clock, ManualClock},
    weights::Weights,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const STORE: StoreLimits = StoreLimits { per_second: 2, concurrent: 4, engines: 12 };
const LOAD: Duration = Duration::from_secs(20);

fn ask(now: Instant, number: usize, urgency: u8, load_time: Duration) -> Ask {
    Ask {
        target: format!("engine-{number}").as_str().into(),
        weights: Weights::model("a".into(), "1".into()),
        urgency,
        deadline: now + Duration::from_secs(60),
        load_time,
    }
}

/// A burst wakes many models at once. All loads together would each take three times as long;
/// in turn, and within rate and concurrency, the first crews work while the last still wait.
#[rstest]
fn a_burst_keeps_to_rate_and_concurrency_urgent_and_short_first() {
    let clock = ManualClock::default();
    let mut coordinator = Coordinator::new(clock.now(), STORE);
    for number in 0..10 {
        coordinator.ask(ask(clock.now(), number, 1, LOAD));
    }
    coordinator.ask(ask(clock.now(), 10, 1, LOAD / 2));
    coordinator.ask(ask(clock.now(), 11, 2, LOAD));
    let mut running: Vec<(Instant, Ask)> = Vec::new();
    let mut order = Vec::new();
    let mut last_start = None;
    while order.len() < 12 {
        let now = clock.now();
        running.retain(|(end, ask)| {
            if *end <= now {
                coordinator.done(&ask.target, &ask.weights);
            }
            *end > now
        });
        for granted in coordinator.step(now) {
            assert!(last_start.is_none_or(|last| now - last >= Duration::from_millis(500)));
            last_start = Some(now);
            order.push(granted.target.to_string());
            running.push((now + granted.load_time, granted));
        }
        assert!(running.len() <= 4);
        clock.advance(Duration::from_millis(100));
    }
    assert_eq!(order[..2], ["engine-11", "engine-10"]);
    assert!(clock.elapsed() < LOAD * 12 / 4 * 115 / 100, "{:?}", clock.elapsed());
}

/// An agent dies in the middle of a load and never says that it is done. Its grant lapses, else
/// the store would be narrower for all others until the coordinator changes.
#[rstest]
fn the_grant_of_a_dead_agent_lapses() {
    let clock = ManualClock::default();
    let store = StoreLimits { concurrent: 1, ..STORE };
    let mut coordinator = Coordinator::new(clock.now(), store);
    coordinator.ask(ask(clock.now(), 0, 1, LOAD));
    assert_eq!(coordinator.step(clock.now()).len(), 1);
    coordinator.ask(ask(clock.now(), 1, 1, LOAD));
    clock.advance(LOAD * 2);
    assert!(coordinator.step(clock.now()).is_empty(), "a slow store is no dead agent");
    clock.advance(LOAD * 4);
    assert_eq!(coordinator.step(clock.now()).len(), 1);
}

/// Nobody coordinates and the store slows down. Each agent sees its own loads take longer and
/// has fewer on their way, down to one; when the store is well again it has more.
#[rstest]
fn an_agent_alone_backs_off_from_a_slow_store_and_recovers() {
    let clock = ManualClock::default();
    let mut gate = Gate::new(STORE);
    let load = |gate: &mut Gate, took: Duration| {
        clock.advance(Duration::from_secs(1));
        assert!(gate.try_start(clock.now()));
        gate.ended(took, LOAD, true);
    };
    for _ in 0..5 {
        load(&mut gate, LOAD);
    }
    assert_eq!(gate.limit(), 4);
    load(&mut gate, LOAD * 4);
    load(&mut gate, LOAD * 4);
    assert_eq!(gate.limit(), 1);
    for _ in 0..3 {
        load(&mut gate, LOAD);
    }
    assert_eq!(gate.limit(), 4);
}
