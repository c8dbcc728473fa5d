//! Targets of uneven speed, with and without a pace that they state.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::features;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::task::JoinSet;

const FAST: Duration = Duration::from_millis(5);
const SLOW: Duration = Duration::from_millis(80);
const REQUESTS: usize = 120;
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
const METRIC: &str = "placed_by_time_total{";

/// Answers each request after some work; counts them.
async fn run(target: Target, work: Duration, pace: Option<&'static str>, count: Arc<AtomicUsize>) {
    let mut responses = JoinSet::new();
    loop {
        let request = target.next_or_wait().await;
        count.fetch_add(1, Ordering::Relaxed);
        let id = request.header("x-id").unwrap_or_default().to_owned();
        responses.spawn(async move {
            tokio::time::sleep(work).await;
            let head = pace.map(|pace| format!("x-pace: {pace}\r\n")).unwrap_or_default();
            request.answer_with_head(&id, &head, "done").await;
        });
    }
}

/// Sends requests to a router before a fast and a slow target; returns the slow one's part, and the metrics.
async fn load(pace: Option<&'static str>, switch: features::Switch) -> (f64, String) {
    let store = MemoryStore::default();
    let (fast, slow) = (Target::start().await, Target::start().await);
    store.put_config(common::config(1, vec![common::route("/desk/", "desk")]));
    store.put_target(fast.entry("fast", "desk"));
    store.put_target(slow.entry("slow", "desk"));
    let mut settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
    settings.bounds.features.pace = switch;
    let router = RouterThread::start_on(&store, settings);
    router.wait_ready().await;
    let counts = [Arc::<AtomicUsize>::default(), Arc::default()];
    let mut targets = JoinSet::new();
    targets.spawn(run(fast, FAST, pace, counts[0].clone()));
    targets.spawn(run(slow, SLOW, pace, counts[1].clone()));
    let mut callers = JoinSet::new();
    for number in 0..REQUESTS {
        let (front, id) = (router.front, format!("request-{number}"));
        callers.spawn(async move {
            let headers = [("x-id", id.as_str()), ("x-deadline-ms", "2000")];
            let mut caller = common::send(front, "GET", "/desk/1", &headers, "").await.unwrap();
            common::read_all(&mut caller).await.unwrap()
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let answers = callers.join_all().await;
    assert!(answers.iter().all(|answer| answer.contains("done")), "all are answered");
    let metrics = common::get(router.metrics, "/metrics", &[]).await.unwrap();
    (counts[1].load(Ordering::Relaxed) as f64 / REQUESTS as f64, metrics)
}

/// Guards against a slow target that gets as much as a fast one although both state their pace.
#[tokio::test]
async fn a_slow_target_gets_less_where_targets_state_their_pace() {
    let (slow, metrics) = load(Some("100"), features::Switch::Auto).await;
    assert!(slow < 0.35, "{slow}");
    assert!(metrics.contains(METRIC), "{metrics}");
}

/// Guards against deployments that are served otherwise than before, as nothing there calls for it.
#[rstest::rstest]
#[case::no_pace_is_stated(None, features::Switch::Auto)]
#[case::an_unreadable_one_is_stated(Some("fast"), features::Switch::Auto)]
#[case::an_absurd_one_is_stated(Some("0"), features::Switch::Auto)]
#[case::the_operator_switched_it_off(Some("100"), features::Switch::Off)]
#[tokio::test]
async fn without_a_pace_or_switched_off_nothing_is_predicted(
    #[case] pace: Option<&'static str>,
    #[case] switch: features::Switch,
) {
    let (_, metrics) = load(pace, switch).await;
    assert!(!metrics.contains(METRIC), "{metrics}");
}

/// Guards against a switch without effect.
#[tokio::test]
async fn the_operator_can_switch_it_on_without_a_stated_pace() {
    let (slow, metrics) = load(None, features::Switch::On).await;
    assert!(slow < 0.35, "{slow}");
    assert!(metrics.contains(METRIC), "{metrics}");
}
