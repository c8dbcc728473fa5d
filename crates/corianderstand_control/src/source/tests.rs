//! Tests of relay selection and of the fallback when a relay fails.

use super::{LOG_READERS, MAX_RELAYS_TRIED, RelayClient, STATUS_GONE, Source, choose_relays};
use crate::{
    budget::Budget,
    relay::{MAX_HOPS, RecordTail},
};
use async_trait::async_trait;
use corianderstand_edge::{
    EdgeError,
    log::{LogService, MemoryLog, Page},
};
use corianderstand_types::{clock::SystemClock, names::WriterId};
use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

const ROUTERS: usize = 85;
const AGENTS: usize = 182;

fn addresses(count: usize) -> Vec<SmolStr> {
    (0..count).map(|i| format_smolstr!("10.0.0.{i}:8080")).collect()
}

fn choose_as_router(own: &SmolStr, all: &[SmolStr]) -> Vec<SmolStr> {
    let others: Vec<SmolStr> = all.iter().filter(|address| *address != own).cloned().collect();
    choose_relays(&WriterId(format_smolstr!("router-{own}")), Some(own), &others)
}

/// Whether every route from an address reaches the log over at most `hops` further relays.
fn all_routes_reach_log(follower: &SmolStr, all: &[SmolStr], hops: u8) -> bool {
    let relays = choose_as_router(follower, all);
    relays.is_empty()
        || (hops > 0 && relays.iter().all(|next| all_routes_reach_log(next, all, hops - 1)))
}

#[rstest]
fn a_zone_has_few_log_readers_and_short_routes_to_the_log() {
    let all = addresses(ROUTERS);
    let readers = all.iter().filter(|own| choose_as_router(own, &all).is_empty()).count();
    assert_eq!(readers, LOG_READERS);
    let mut followers = BTreeMap::<SmolStr, usize>::new();
    for own in &all {
        assert!(all_routes_reach_log(own, &all, MAX_HOPS - 1), "{own}");
        for first in choose_as_router(own, &all).into_iter().take(1) {
            *followers.entry(first).or_default() += 1;
        }
    }
    for agent in 0..AGENTS {
        let relays = choose_relays(&WriterId(format_smolstr!("engine-{agent}")), None, &all);
        assert_eq!(relays.len(), MAX_RELAYS_TRIED);
        assert!(relays.iter().all(|router| all_routes_reach_log(router, &all, MAX_HOPS - 1)));
        *followers.entry(relays[0].clone()).or_default() += 1;
    }
    let max_followers = followers.values().max().copied().unwrap_or_default();
    assert!(max_followers <= 40, "{max_followers} followers of one relay");
}

#[rstest]
fn a_process_without_peers_reads_the_log() {
    let own = addresses(1);
    assert!(choose_relays(&WriterId("router-0".into()), own.first(), &[]).is_empty());
    assert!(choose_relays(&WriterId("engine-0".into()), None, &[]).is_empty());
}

#[derive(Clone, Copy, Debug)]
enum RelayBehavior {
    Healthy,
    Failing,
    Unresponsive,
    Behind,
    TooManyHops,
    Stale,
    Gone,
}

struct FakeRelay {
    behavior: RelayBehavior,
    requests: Arc<AtomicUsize>,
}

#[async_trait]
impl LogService for FakeRelay {
    async fn append(&self, _records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        unreachable!("appends go to the log")
    }

    async fn read(&self, start_offset: u64, _max: u32, _wait: Duration) -> Result<Page, EdgeError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let page = Page { oldest: 1, next: start_offset, now_ms: 77, hops: 1, ..Page::default() };
        let error = |status| EdgeError::Status { system: "a relay", status, detail: String::new() };
        match self.behavior {
            RelayBehavior::Healthy => Ok(page),
            RelayBehavior::Failing => Err(error(503)),
            RelayBehavior::Unresponsive => std::future::pending().await,
            RelayBehavior::Behind => Ok(Page { next: start_offset - 1, ..page }),
            RelayBehavior::TooManyHops => Ok(Page { hops: MAX_HOPS + 1, ..page }),
            RelayBehavior::Stale => Ok(Page { age_ms: 60_000, ..page }),
            RelayBehavior::Gone => Err(error(STATUS_GONE)),
        }
    }
}

fn source(behaviors: &[RelayBehavior]) -> (Source, Arc<MemoryLog>, Vec<Arc<AtomicUsize>>) {
    let log = Arc::new(MemoryLog::default());
    log.set_time_ms(11);
    let clock = Arc::new(SystemClock);
    let budget = Arc::new(Budget::new(clock.clone()));
    let requests: Vec<Arc<AtomicUsize>> = behaviors.iter().map(|_| Arc::default()).collect();
    let peer = |(behavior, requests): (&RelayBehavior, &Arc<AtomicUsize>)| RelayClient {
        address: format_smolstr!("{behavior:?}"),
        log: Arc::new(FakeRelay { behavior: *behavior, requests: requests.clone() }),
    };
    let peers = behaviors.iter().zip(&requests).map(peer).collect();
    let tail = RecordTail::new(clock, budget, 1 << 20);
    (Source::new(log.clone(), peers, tail), log, requests)
}

/// Guards against followers that miss accepted changes because of a faulty relay.
#[rstest]
#[case::failing(RelayBehavior::Failing)]
#[case::unresponsive(RelayBehavior::Unresponsive)]
#[case::behind(RelayBehavior::Behind)]
#[case::in_a_cycle(RelayBehavior::TooManyHops)]
#[case::cut_off(RelayBehavior::Stale)]
fn a_failing_relay_is_replaced_by_the_next_one_and_then_by_the_log(
    #[case] behavior: RelayBehavior,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    runtime.expect("the system gives a runtime").block_on(async {
        let (source, _log, requests) = source(&[behavior, RelayBehavior::Healthy]);
        let page = source.read(5, 10, Duration::ZERO).await.expect("a page");
        let unresponsive = matches!(behavior, RelayBehavior::Unresponsive);
        assert_eq!(page.now_ms, if unresponsive { 11 } else { 77 }, "the next in order responds");
        drop(source.read(5, 10, Duration::ZERO).await);
        assert_eq!(requests[0].load(Ordering::Relaxed), 1, "the first is in backoff");
        let (source, _log, _requests) = self::source(&[behavior, behavior]);
        let page = source.read(5, 10, Duration::ZERO).await.expect("a page");
        assert_eq!(page.now_ms, 11, "the log responds");
    });
}

#[rstest]
fn records_that_a_relay_dropped_are_read_from_the_log_without_ejecting_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    runtime.expect("the system gives a runtime").block_on(async {
        let (source, _log, requests) = source(&[RelayBehavior::Gone]);
        for _ in 0..2 {
            let page = source.read(5, 10, Duration::ZERO).await.expect("a page");
            assert_eq!(page.now_ms, 11);
        }
        assert_eq!(requests[0].load(Ordering::Relaxed), 2);
    });
}

/// Guards against a timeout that restarts with each cancelled read.
#[rstest]
fn cancelled_reads_do_not_hide_an_unresponsive_relay() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    runtime.expect("the system gives a runtime").block_on(async {
        let (source, _log, requests) = source(&[RelayBehavior::Unresponsive]);
        let mut responded = false;
        for _ in 0..100 {
            let read = source.read(5, 10, Duration::ZERO);
            let read = tokio::time::timeout(Duration::from_millis(100), read).await;
            responded = read.is_ok();
            if responded {
                break;
            }
        }
        assert!(responded, "the log responds in the end");
        assert!(requests[0].load(Ordering::Relaxed) < 30);
    });
}
