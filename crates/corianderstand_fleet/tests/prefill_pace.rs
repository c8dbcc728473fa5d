//! Prefill permits where the pace of the engine and a longest pause decide.

use corianderstand_fleet::prefill::{Claim, PermitQueue, PermitRequest, PermitResponse, UsualPace};
use rstest::rstest;
use std::time::{Duration, Instant};

const USUAL_EVENT: Duration = Duration::from_millis(38);
const USUAL_READING: Duration = Duration::from_millis(20);
const POLLS: u32 = 400;
const SLOW_MOMENT_PERCENT: u32 = 250;
const STREAM_MAX_PAUSE: Duration = Duration::from_millis(200);
const PATIENT_OBJECTIVE: Duration = Duration::from_secs(10);

/// A queue whose engine said for a while how long work takes, a fifth of the time 2.5 times as long.
fn queue_with_slow_moments(began: Instant) -> (PermitQueue<()>, Instant) {
    let mut queue = PermitQueue::default();
    let at = |n: u32| began + Duration::from_millis(250) * n;
    for n in 0..=POLLS {
        queue.record_stated_pace(at(n), if n % 5 == 1 { SLOW_MOMENT_PERCENT } else { 100 });
    }
    (queue, at(POLLS))
}

fn paced(id: u64, now: Instant, speed: f64) -> PermitRequest<()> {
    PermitRequest {
        id,
        requester: (),
        prefill_time: USUAL_READING.div_f64(speed) * 3,
        streams: Some(UsualPace {
            event_time: USUAL_EVENT.div_f64(speed),
            reading_time: USUAL_READING.div_f64(speed),
        }),
        latency_objective_at: now + PATIENT_OBJECTIVE,
        expires_at: now + Duration::from_secs(2),
        max_pause: Some(STREAM_MAX_PAUSE),
        claim: Claim::default(),
    }
}

/// Load: prompts that come without a break to an engine whose host has slow moments. Guards against streams that pause
/// too long in a slow moment for what is read between two events, and against a slow engine that reads nothing.
#[rstest]
#[case::fast(1.6, 40)]
#[case::usual(1.0, 20)]
#[case::slow(0.6, 10)]
fn what_is_read_leaves_room_for_an_event_of_the_engine(#[case] speed: f64, #[case] least: usize) {
    let (mut queue, began) = queue_with_slow_moments(Instant::now());
    let ask = |id: &u64| queue.request(began, paced(*id, began, speed)) == PermitResponse::Granted;
    let mut grants = vec![began; (0..60).filter(ask).count()];
    for n in 1..1_000 {
        let now = began + Duration::from_millis(n);
        if n % 30 == 0 {
            queue.record_stated_pace(now, 100);
        }
        grants.extend(queue.grant_due(now).into_iter().map(|_| now));
    }
    // In a slow moment the same takes as long as the longest pause.
    let interval = STREAM_MAX_PAUSE.div_f64(2.5);
    let within = |at: &Instant| {
        grants.iter().filter(|other| **other >= *at && **other < *at + interval * 9 / 10).count()
    };
    let densest = grants.iter().map(within).max().unwrap_or_default();
    let pause = (USUAL_EVENT + USUAL_READING * densest as u32).div_f64(speed).mul_f64(2.5);
    assert!(pause <= STREAM_MAX_PAUSE || densest == 1, "{pause:?}, {densest} at once");
    assert!(grants.len() >= least, "{} granted", grants.len());
}

/// Guards against prompts that are read in a slow moment as if it were a usual one.
#[rstest]
fn in_a_slow_moment_as_little_is_read_as_leaves_room_for_the_event() {
    let (mut queue, now) = queue_with_slow_moments(Instant::now());
    queue.record_stated_pace(now, SLOW_MOMENT_PERCENT);
    let ask = |id: &u64| queue.request(now, paced(*id, now, 1.0)) == PermitResponse::Granted;
    let granted = (0..10).filter(ask).count() as u32;
    let pause = (USUAL_EVENT + USUAL_READING * granted).mul_f64(2.5);
    assert!(granted >= 1 && pause <= STREAM_MAX_PAUSE, "{granted} granted, {pause:?}");
    assert_eq!(queue.grant_due(now + Duration::from_millis(90)), vec![]);
    assert!(!queue.grant_due(now + STREAM_MAX_PAUSE).is_empty());
}

/// Guards against a prompt whose first event is late so that streams are kept from a slow moment that may not come, and
/// against streams that pause too long without one.
#[rstest]
fn a_prompt_that_would_be_late_waits_only_for_what_would_pause_streams_now() {
    let (mut queue, now) = queue_with_slow_moments(Instant::now());
    let urgent = |id| PermitRequest {
        latency_objective_at: now + Duration::from_millis(130),
        ..paced(id, now, 1.0)
    };
    let ask = |id: &u64| queue.request(now, urgent(*id)) == PermitResponse::Granted;
    let granted = (0..20).filter(ask).count();
    let possible = (STREAM_MAX_PAUSE - USUAL_EVENT).div_duration_f64(USUAL_READING);
    assert!(granted > 2 && granted <= possible as usize, "{granted} of {possible:.1}");
}

/// Guards against deployments that are served otherwise than before, as nothing there calls for it.
#[rstest]
#[case::routers_state_no_event(true, false)]
#[case::the_engine_states_no_pace(false, true)]
fn without_both_figures_permits_are_as_before(
    #[case] engine_states_pace: bool,
    #[case] routers_state_event: bool,
) {
    let began = Instant::now();
    let (mut queue, mut before) = (PermitQueue::default(), PermitQueue::default());
    for id in 0..200 {
        let now = began + Duration::from_millis(7) * id;
        if engine_states_pace {
            queue.record_stated_pace(now, SLOW_MOMENT_PERCENT);
        }
        let request = paced(u64::from(id), now, 0.5);
        let plain = PermitRequest { streams: None, ..request };
        let asked = if routers_state_event { request } else { plain };
        assert_eq!(queue.request(now, asked), before.request(now, plain));
        assert_eq!(queue.grant_due(now), before.grant_due(now));
        assert_eq!(queue.backlog(now), before.backlog(now));
    }
}
