use super::{Coordinator, LoadLimiter, LoadRequest};
use crate::request::StoreLimits;
use corianderstand_types::{
    clock::{Clock, ManualClock},
    weights::Weights,
};
use rstest::rstest;
use std::time::{Duration, Instant};

const STORE: StoreLimits = StoreLimits { per_second: 2, concurrent: 4, engines: 12 };
const LOAD: Duration = Duration::from_secs(20);

fn load_request(now: Instant, number: usize, urgency: u8, load_time: Duration) -> LoadRequest {
    LoadRequest {
        target: format!("engine-{number}").as_str().into(),
        weights: Weights::model("a".into(), "1".into()),
        urgency,
        deadline: now + Duration::from_secs(60),
        load_time,
    }
}

/// Guards against exceeding the store's rate and concurrency when many models load at once.
#[rstest]
fn a_burst_respects_rate_and_concurrency_urgent_and_short_first() {
    let clock = ManualClock::default();
    let mut coordinator = Coordinator::new(clock.now(), STORE);
    for number in 0..10 {
        coordinator.request(load_request(clock.now(), number, 1, LOAD));
    }
    coordinator.request(load_request(clock.now(), 10, 1, LOAD / 2));
    coordinator.request(load_request(clock.now(), 11, 2, LOAD));
    let mut running: Vec<(Instant, LoadRequest)> = Vec::new();
    let mut order = Vec::new();
    let mut last_start = None;
    while order.len() < 12 {
        let now = clock.now();
        running.retain(|(end, request)| {
            if *end <= now {
                coordinator.done(&request.target, &request.weights);
            }
            *end > now
        });
        for granted in coordinator.grant_due_loads(now) {
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

/// Guards against a dead agent holding a grant for ever.
#[rstest]
fn the_grant_of_a_dead_agent_expires() {
    let clock = ManualClock::default();
    let store = StoreLimits { concurrent: 1, ..STORE };
    let mut coordinator = Coordinator::new(clock.now(), store);
    coordinator.request(load_request(clock.now(), 0, 1, LOAD));
    assert_eq!(coordinator.grant_due_loads(clock.now()).len(), 1);
    coordinator.request(load_request(clock.now(), 1, 1, LOAD));
    clock.advance(LOAD * 2);
    assert!(
        coordinator.grant_due_loads(clock.now()).is_empty(),
        "a slow store must not expire a grant early"
    );
    clock.advance(LOAD * 4);
    assert_eq!(coordinator.grant_due_loads(clock.now()).len(), 1);
}

#[rstest]
fn an_uncoordinated_agent_backs_off_from_a_slow_store_and_recovers() {
    let clock = ManualClock::default();
    let mut limiter = LoadLimiter::new(STORE);
    let load = |limiter: &mut LoadLimiter, took: Duration| {
        clock.advance(Duration::from_secs(1));
        assert!(limiter.try_start(clock.now()));
        limiter.ended(took, LOAD, true);
    };
    for _ in 0..5 {
        load(&mut limiter, LOAD);
    }
    assert_eq!(limiter.limit(), 4);
    load(&mut limiter, LOAD * 4);
    load(&mut limiter, LOAD * 4);
    assert_eq!(limiter.limit(), 1);
    for _ in 0..3 {
        load(&mut limiter, LOAD);
    }
    assert_eq!(limiter.limit(), 4);
}
