//! Prefill permits on a simulated engine, without a network.

use corianderstand_fleet::prefill::{PermitQueue, PermitRequest, PermitResponse};
use rstest::rstest;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Prefill time of a typical prompt alone.
const PREFILL_TIME: Duration = Duration::from_millis(45);
const MAX_PAUSE: Duration = Duration::from_millis(250);
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(500);

fn permit_request(id: u64, now: Instant, objective: Duration) -> PermitRequest<()> {
    PermitRequest {
        id,
        requester: (),
        prefill_time: PREFILL_TIME,
        latency_objective_at: now + objective,
        expires_at: now + Duration::from_secs(2),
        max_pause: Some(MAX_PAUSE),
    }
}

/// Engine with chunked prefill: each step processes at most one chunk and emits one token per
/// stream.
#[derive(Default)]
struct Engine {
    queue: VecDeque<(u64, Duration)>,
    /// Prompts after prefill, with the tokens missing until their first event.
    prefilled: Vec<(u64, usize)>,
    steps: Vec<Duration>,
}

const MAX_CHUNK: Duration = Duration::from_millis(80);
/// Duration of a step without prefill.
const DECODE_STEP: Duration = Duration::from_millis(8);
/// Prefill part of the time under permits: the limit, less the steps' own time (8 of 88 ms).
const PREFILL_RATIO: f64 = 0.75;
const TOKENS_PER_EVENT: usize = 3;

impl Engine {
    /// Executes one step; returns its duration and the prompts with a first event at its end.
    fn step(&mut self) -> (Duration, Vec<u64>) {
        let mut budget = MAX_CHUNK;
        let mut finished = Vec::new();
        while let Some((id, left)) = self.queue.front_mut() {
            let chunk = budget.min(*left);
            budget -= chunk;
            *left -= chunk;
            if !left.is_zero() {
                break;
            }
            finished.push((*id, TOKENS_PER_EVENT));
            self.queue.pop_front();
        }
        let took = DECODE_STEP + (MAX_CHUNK - budget);
        self.steps.push(took);
        self.prefilled.iter_mut().for_each(|(_, missing)| *missing -= 1);
        let first =
            self.prefilled.extract_if(.., |(_, missing)| *missing == 0).map(|(id, _)| id).collect();
        self.prefilled.extend(finished);
        (took, first)
    }

    fn longest_pause(&self) -> Duration {
        let events = self.steps.windows(TOKENS_PER_EVENT).map(|steps| steps.iter().sum());
        events.max().unwrap_or_default()
    }
}

/// First events on time, and the longest pause of the streams.
struct Outcome {
    on_time: Vec<u64>,
    longest_pause: Duration,
}

/// Simulates arrivals, each `(after, objective)`, with permits or sent at once.
fn simulate(arrivals: &[(Duration, Duration)], with_permits: bool) -> Outcome {
    let began = Instant::now();
    let mut now = began;
    let mut engine = Engine::default();
    let mut queue = PermitQueue::default();
    let (mut next, mut on_time) = (0, Vec::new());
    while next < arrivals.len() || now < began + Duration::from_secs(10) {
        while next < arrivals.len() && began + arrivals[next].0 <= now {
            let id = next as u64;
            let sent = !with_permits
                || queue.request(now, permit_request(id, now, arrivals[next].1))
                    == PermitResponse::Granted;
            if sent {
                engine.queue.push_back((id, PREFILL_TIME));
            }
            next += 1;
        }
        engine.queue.extend(queue.grant_due(now).into_iter().map(|((), id)| (id, PREFILL_TIME)));
        let (took, first) = engine.step();
        now += took;
        let due = |id: &u64| began + arrivals[*id as usize].0 + arrivals[*id as usize].1;
        on_time.extend(first.into_iter().filter(|id| now <= due(id)));
    }
    Outcome { on_time, longest_pause: engine.longest_pause() }
}

fn arrivals_at_interval(
    count: usize,
    interval: Duration,
    objective: Duration,
) -> Vec<(Duration, Duration)> {
    (0..count).map(|n| (interval * n as u32, objective)).collect()
}

/// Guards against streams that stall while the prompts of a burst are processed without a break.
#[rstest]
fn streams_do_not_pause_during_a_burst_of_prompts() {
    let bursts = (0..5).flat_map(|burst| {
        arrivals_at_interval(8, Duration::ZERO, LATENCY_OBJECTIVE * 2)
            .into_iter()
            .map(move |(after, objective)| (after + Duration::from_secs(burst), objective))
    });
    let bursts: Vec<_> = bursts.collect();
    let (without, with) = (simulate(&bursts, false), simulate(&bursts, true));
    assert!(without.longest_pause > MAX_PAUSE, "at once: {:?}", without.longest_pause);
    assert!(with.longest_pause <= MAX_PAUSE, "with permits: {:?}", with.longest_pause);
    assert_eq!((without.on_time.len(), with.on_time.len()), (40, 40));
}

/// Guards against urgent prompts that miss their objective behind prompts with a later one.
#[rstest]
fn urgent_prompts_have_priority() {
    let mixed: Vec<_> = (0..24)
        .map(|n| {
            (
                Duration::ZERO,
                if n % 2 == 0 { Duration::from_millis(2_500) } else { LATENCY_OBJECTIVE },
            )
        })
        .collect();
    let urgent = |outcome: &Outcome| outcome.on_time.iter().filter(|id| *id % 2 == 1).count();
    let (without, with) = (simulate(&mixed, false), simulate(&mixed, true));
    // Of the objective, less half a pause for the first event, three quarters of the time go to
    // prefill, and three of four permits to prompts that can be on time.
    let possible = (LATENCY_OBJECTIVE - MAX_PAUSE / 2)
        .mul_f64(PREFILL_RATIO * 0.75)
        .div_duration_f64(PREFILL_TIME);
    assert!(urgent(&with) >= possible as usize, "{} of {possible}", urgent(&with));
    assert!(urgent(&with) > urgent(&without), "{}, then {}", urgent(&without), urgent(&with));
    assert_eq!(with.on_time.len() - urgent(&with), 12, "all prompts with the later objective");
}

/// Guards against overload in which every prompt is late because each waits for the ones before it.
#[rstest]
fn some_prompts_are_on_time_under_overload() {
    let flood = arrivals_at_interval(200, PREFILL_TIME / 2, LATENCY_OBJECTIVE);
    let (without, with) = (simulate(&flood, false), simulate(&flood, true));
    // Three quarters of the time go to prefill, and three quarters of that to prompts that can be
    // on time.
    let possible = (PREFILL_TIME / 2 * 200)
        .mul_f64(PREFILL_RATIO * 0.75)
        .div_duration_f64(PREFILL_TIME) as usize;
    assert!(without.on_time.len() < possible / 2, "{}", without.on_time.len());
    assert!(with.on_time.len() >= possible * 9 / 10, "{} of {possible}", with.on_time.len());
}

/// Guards against starvation of a prompt that exceeds the window's limit by itself.
#[rstest]
fn a_prompt_longer_than_the_limit_is_granted() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    assert_eq!(
        queue.request(now, permit_request(1, now, LATENCY_OBJECTIVE)),
        PermitResponse::Granted
    );
    let long =
        PermitRequest { prefill_time: MAX_PAUSE * 2, ..permit_request(2, now, LATENCY_OBJECTIVE) };
    assert!(matches!(queue.request(now, long), PermitResponse::Wait(_)));
    // Shorter prompts keep arriving and must not overtake it for ever.
    let mut granted = Vec::new();
    for n in 0..20 {
        let now = now + PREFILL_TIME * n;
        let _answer = queue.request(now, permit_request(10 + u64::from(n), now, LATENCY_OBJECTIVE));
        granted.extend(queue.grant_due(now).into_iter().map(|((), id)| id));
    }
    assert!(granted.contains(&2), "{granted:?}");
}

/// Guards against counting a prompt twice if the response to its request was lost.
#[rstest]
fn a_repeated_request_is_counted_once() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    assert_eq!(
        queue.request(now, permit_request(1, now, LATENCY_OBJECTIVE)),
        PermitResponse::Granted
    );
    assert_eq!(
        queue.request(now, permit_request(1, now, LATENCY_OBJECTIVE)),
        PermitResponse::Granted
    );
    assert_eq!(queue.backlog(now), PREFILL_TIME);
}

/// Guards against permits for callers that have left, which would leave the engine idle.
#[rstest]
#[case::withdrawn(true)]
#[case::expired(false)]
fn no_permit_is_granted_to_a_caller_that_left(#[case] withdrawn: bool) {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    let full =
        PermitRequest { prefill_time: MAX_PAUSE, ..permit_request(1, now, LATENCY_OBJECTIVE) };
    assert_eq!(queue.request(now, full), PermitResponse::Granted);
    assert!(matches!(
        queue.request(now, permit_request(2, now, LATENCY_OBJECTIVE)),
        PermitResponse::Wait(_)
    ));
    let later = now + if withdrawn { MAX_PAUSE } else { Duration::from_secs(3) };
    if withdrawn {
        queue.cancel(2);
    }
    assert_eq!(queue.grant_due(later), vec![]);
    assert_eq!(queue.next_grant_in(later), None);
}
