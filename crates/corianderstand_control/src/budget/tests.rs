//! Tests of the traffic budget under bursts.

use super::{
    BURST_SECONDS, Budget, HOST_LIST_BYTES_PER_S, MAX_READ_DELAY, PROCESS_RATE, SERVE_RATE,
    TrafficClass, checkpoint_pause, host_list_pause,
};
use corianderstand_types::clock::ManualClock;
use rstest::rstest;
use std::{sync::Arc, time::Duration};

const BURST_DURATION_S: u64 = 60;

fn budget() -> (ManualClock, Budget) {
    let clock = ManualClock::default();
    let budget = Budget::new(Arc::new(clock.clone()));
    (clock, budget)
}

/// Guards the host of a relay that a thousand followers fail over to and retry without pause.
#[rstest]
#[case::small(400)]
#[case::large(30_000)]
fn a_large_fan_in_stays_within_the_budget(#[case] bytes: u64) {
    let (clock, budget) = budget();
    for _ in 0..BURST_DURATION_S * 10 {
        for _ in 0..1000 {
            if budget.admit_follower(400).is_ok() {
                budget.add_bytes(TrafficClass::Serve, bytes - 400);
            }
        }
        clock.advance(Duration::from_millis(100));
    }
    let usage = budget.totals().serve;
    let max_bytes = SERVE_RATE.bytes_per_s * (BURST_DURATION_S + BURST_SECONDS) + bytes;
    assert!(usage.bytes <= max_bytes, "{} bytes served, at most {max_bytes}", usage.bytes);
    assert!(usage.messages <= SERVE_RATE.messages_per_s * (BURST_DURATION_S + BURST_SECONDS) + 1);
    assert!(usage.limited > 0, "refusals are counted");
    assert!(
        usage.bytes >= SERVE_RATE.bytes_per_s * BURST_DURATION_S / 2,
        "at least half of the budget is used"
    );
}

/// Guards against one read per record during a burst of appends.
#[rstest]
fn a_burst_of_records_is_read_in_few_messages() {
    let (clock, budget) = budget();
    let (end, started_at) = (Duration::from_secs(BURST_DURATION_S), clock.elapsed());
    while clock.elapsed() - started_at < end {
        let delay = budget.read_delay();
        clock.advance(delay + Duration::from_millis(1));
        budget.spend(TrafficClass::Follow, 400);
    }
    let usage = budget.totals().follow;
    let allowed = BURST_DURATION_S + BURST_SECONDS;
    assert!(
        usage.messages <= PROCESS_RATE.messages_per_s * allowed + 1,
        "{} reads",
        usage.messages
    );
    assert!(usage.bytes <= PROCESS_RATE.bytes_per_s * allowed + 400, "{} bytes", usage.bytes);
    assert!(usage.limited > 0, "delays are counted");
}

/// Guards against a large page that delays later changes of settings for long.
#[rstest]
fn a_large_debt_delays_a_read_by_a_bounded_time() {
    let (_clock, budget) = budget();
    budget.spend(TrafficClass::Follow, PROCESS_RATE.bytes_per_s * 1000);
    assert_eq!(budget.read_delay(), MAX_READ_DELAY);
    assert!(budget.admit_follower(400).is_err(), "followers are rejected while in debt");
}

#[rstest]
fn a_long_host_list_is_read_less_often_than_the_set_interval() {
    let interval = Duration::from_secs(1);
    assert_eq!(host_list_pause(interval, 24), interval);
    let pause = host_list_pause(interval, 1070);
    assert!(1070 * 54 / pause.as_secs() <= HOST_LIST_BYTES_PER_S + 200, "{pause:?}");
}

/// Guards against a checkpoint at full size that exhausts the budget of every process.
#[rstest]
fn reading_a_checkpoint_at_full_size_each_hour_fits_the_budget() {
    const PARTS: usize = 100;
    const PART_WIRE_BYTES: u64 = 48 * 1024 * 4 / 3 + 400;
    let interval = Duration::from_secs(3600);
    let pause = checkpoint_pause(interval, PARTS);
    assert!(pause * PARTS as u32 <= interval / 2, "complete before the next is due");
    let rate = PART_WIRE_BYTES * 1000 / pause.as_millis() as u64;
    assert!(rate < PROCESS_RATE.bytes_per_s / 4, "{rate} bytes a second");
}
