//! Tests of the pages and errors that a relay returns.

use super::{HTTP_OVERHEAD_BYTES, MAX_PAGE_AGE, RecordTail, RelayError};
use crate::budget::{BURST_SECONDS, Budget, SERVE_RATE};
use corianderstand_edge::log::{Entry, Page};
use corianderstand_types::clock::ManualClock;
use rstest::rstest;
use std::{sync::Arc, time::Duration};

const MAX_RECORDS: u32 = 1024;

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the system gives a runtime").block_on(run)
}

fn tail(max_bytes: usize) -> (ManualClock, RecordTail) {
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(100));
    let shared = Arc::new(clock.clone());
    let budget = Arc::new(Budget::new(shared.clone()));
    (clock, RecordTail::new(shared, budget, max_bytes))
}

fn page(offsets: std::ops::Range<u64>) -> Page {
    let next = offsets.end;
    let entry = |offset| Entry { offset, at_ms: offset, data: vec![0; 100] };
    let entries = offsets.map(entry).collect();
    Page { oldest: 1, next, now_ms: 5000, entries, ..Page::default() }
}

async fn offsets(tail: &RecordTail, start_offset: u64) -> Result<Vec<u64>, RelayError> {
    let page = tail.read(start_offset, MAX_RECORDS, Duration::ZERO).await?;
    Ok(page.entries.iter().map(|entry| entry.offset).collect())
}

#[rstest]
fn records_are_returned_in_order_from_any_retained_offset() {
    let (_clock, tail) = tail(1 << 20);
    tail.extend(&page(5..9));
    tail.extend(&page(9..12));
    block_on(async {
        assert_eq!(offsets(&tail, 5).await, Ok((5..12).collect()));
        assert_eq!(offsets(&tail, 10).await, Ok(vec![10, 11]));
        assert_eq!(offsets(&tail, 12).await, Ok(vec![]));
        assert_eq!(offsets(&tail, 4).await, Err(RelayError::Gone));
    });
}

#[rstest]
fn a_waiting_reader_receives_a_record_on_arrival() {
    let (_clock, tail) = tail(1 << 20);
    tail.extend(&page(1..2));
    block_on(async {
        let reader = tail.clone();
        let read =
            tokio::spawn(async move { reader.read(2, MAX_RECORDS, Duration::from_secs(2)).await });
        tokio::task::yield_now().await;
        tail.extend(&page(2..3));
        let page = read.await.expect("the task ends").expect("a page");
        assert_eq!(page.entries.len(), 1);
    });
}

#[rstest]
fn memory_is_bounded_and_dropped_records_are_reported_as_gone() {
    let (_clock, tail) = tail(10_000);
    tail.extend(&page(1..1000));
    block_on(async {
        assert_eq!(offsets(&tail, 1).await, Err(RelayError::Gone));
        let kept = offsets(&tail, 990).await.expect("the newest are kept");
        assert_eq!(kept.last(), Some(&999));
    });
}

/// Guards against followers that cannot tell a relay cut off from the log from an idle log.
#[rstest]
fn a_relay_cut_off_from_the_log_returns_its_records_and_then_reports_staleness() {
    let (clock, tail) = tail(1 << 20);
    tail.extend(&page(1..3));
    clock.advance(MAX_PAGE_AGE * 2);
    block_on(async {
        assert_eq!(offsets(&tail, 1).await, Ok(vec![1, 2]), "known records are served");
        assert_eq!(offsets(&tail, 3).await, Err(RelayError::Stale));
    });
}

/// Guards against diverging states: a relay that restored a checkpoint has a gap in its records.
#[rstest]
fn no_page_reaches_over_a_gap() {
    let (_clock, tail) = tail(1 << 20);
    tail.extend(&page(1..5));
    tail.extend(&page(50..52));
    block_on(async {
        assert_eq!(offsets(&tail, 3).await, Err(RelayError::Gone));
        assert_eq!(offsets(&tail, 50).await, Ok(vec![50, 51]));
    });
}

/// Guards the network of a relay's host when one record wakes a thousand waiting followers.
#[rstest]
fn a_large_fan_in_is_refused_beyond_the_budget() {
    let (_clock, tail) = tail(1 << 20);
    tail.extend(&page(1..3));
    block_on(async {
        let read = |_| {
            let tail = tail.clone();
            tokio::spawn(async move { tail.read(3, MAX_RECORDS, Duration::from_secs(2)).await })
        };
        let reads: Vec<_> = (0..1000).map(read).collect();
        tokio::task::yield_now().await;
        tail.extend(&page(3..4));
        let mut served = 0;
        for read in reads {
            match read.await.expect("the task ends") {
                Ok(_) => served += 1,
                Err(error) => assert!(matches!(error, RelayError::Busy(_)), "{error}"),
            }
        }
        let max_served = (SERVE_RATE.bytes_per_s * BURST_SECONDS / HTTP_OVERHEAD_BYTES) as usize;
        assert!((10..=max_served + 1).contains(&served), "{served} reads served at once");
    });
}
