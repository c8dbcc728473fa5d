//! Requests that are sent once more, at a running router.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::budget;
use rstest::rstest;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

const NOT_RUN: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// A router with two targets, and the allowance.
async fn start(
    allowance: budget::Allowance,
    is_first_start: bool,
) -> (RouterThread, Target, Target) {
    start_on(&MemoryStore::default(), allowance, is_first_start).await
}

/// Like [`start`], with a given store.
async fn start_on(
    store: &MemoryStore,
    allowance: budget::Allowance,
    is_first_start: bool,
) -> (RouterThread, Target, Target) {
    let (first, second) = (Target::start().await, Target::start().await);
    store.put_config(common::config(1, vec![common::route("/desk/", "desk")]));
    store.put_target(first.entry("target-1", "desk"));
    store.put_target(second.entry("target-2", "desk"));
    let mut settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
    settings.bounds.allowance = allowance;
    settings.is_first_start = is_first_start;
    let router = RouterThread::start_on(store, settings);
    router.wait_ready().await;
    (router, first, second)
}

/// Turns each request away, and counts them.
fn refuse_all(target: Target) -> Arc<AtomicUsize> {
    let count = Arc::<AtomicUsize>::default();
    let counted = count.clone();
    tokio::spawn(async move {
        loop {
            let request = target.next_or_wait().await;
            counted.fetch_add(1, Ordering::Relaxed);
            request.answer(NOT_RUN).await;
        }
    });
    count
}

/// Guards against a router that uses, just after it started, what the process before it has used.
#[rstest]
#[case::again(false, 2.0, 50.0, false)]
#[case::for_the_first_time(true, 2.0, 50.0, true)]
#[case::for_the_first_time_by_the_fixed_number(true, 0.0, 50.0, false)]
#[tokio::test]
async fn a_router_that_has_just_started_retries_nothing_that_may_be_spent(
    #[case] is_first_start: bool,
    #[case] ratio: f64,
    #[case] fixed: f64,
    #[case] retries: bool,
) {
    let allowance = budget::Allowance { ratio, fixed, window: Duration::from_secs(10) };
    let (router, first, second) = start(allowance, is_first_start).await;
    let counts = [refuse_all(first), refuse_all(second)];
    let answer = common::get(router.front, "/desk/1", &[("x-id", "a")]).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
    let arrivals: usize = counts.iter().map(|count| count.load(Ordering::Relaxed)).sum();
    assert_eq!(arrivals > 1, retries, "{arrivals} arrivals");
}

/// Guards against a budget that stays closed once a router has run for long enough.
#[tokio::test]
async fn a_router_uses_its_part_of_the_fixed_number_once_a_window_has_passed() {
    let allowance =
        budget::Allowance { ratio: 0.0, fixed: 50.0, window: Duration::from_millis(200) };
    let (router, first, second) = start(allowance, false).await;
    let counts = [refuse_all(first), refuse_all(second)];
    let arrivals = || -> usize { counts.iter().map(|count| count.load(Ordering::Relaxed)).sum() };
    let poll = async {
        let mut number = 0;
        while arrivals() <= number {
            number += 1;
            let id = format!("request-{number}");
            common::get(router.front, "/desk/1", &[("x-id", &id)]).await.unwrap();
        }
    };
    tokio::time::timeout(common::WAIT_LIMIT, poll).await.expect("a request is sent once more");
}

/// Guards against a router that takes all of the fixed number, as it read the list of routers before the others that
/// started with it stood in it, and hears none of them.
#[tokio::test]
async fn a_list_that_was_read_during_the_start_allows_no_retry() {
    const REQUESTS: usize = 20;
    let allowance =
        budget::Allowance { ratio: 0.0, fixed: 50.0, window: Duration::from_millis(200) };
    let store = MemoryStore::default();
    let (router, first, second) = start_on(&store, allowance, true).await;
    store.set_unavailable(true);
    let counts = [refuse_all(first), refuse_all(second)];
    tokio::time::sleep(Duration::from_secs(4)).await;
    for number in 0..REQUESTS {
        let id = format!("request-{number}");
        common::get(router.front, "/desk/1", &[("x-id", &id)]).await.unwrap();
    }
    let arrivals: usize = counts.iter().map(|count| count.load(Ordering::Relaxed)).sum();
    assert!(arrivals <= REQUESTS, "{arrivals} arrivals of {REQUESTS} requests");
}
