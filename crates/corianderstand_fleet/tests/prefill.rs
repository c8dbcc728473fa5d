//! Prefill permits on a simulated engine, without a network.

use corianderstand_fleet::prefill::{PermitQueue, PermitRequest, PermitResponse};
use rstest::rstest;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Prefill time of a typical prompt alone.
const WORK: Duration = Duration::from_millis(45);
/// Maximum pause of the streams.
const PAUSE: Duration = Duration::from_millis(250);
/// Latency objective for the first event.
const AIM: Duration = Duration::from_millis(500);

fn ask(id: u64, now: Instant, aim: Duration) -> PermitRequest<()> {
    PermitRequest {
        id,
        requester: (),
        prefill_time: WORK,
        latency_objective_at: now + aim,
        expires_at: now + Duration::from_secs(2),
        max_pause: Some(PAUSE),
    }
}

/// Engine with chunked prefill: each step processes at most one chunk and emits one token per stream.
#[derive(Default)]
struct Engine {
    queue: VecDeque<(u64, Duration)>,
    /// Prompts after prefill, with the tokens missing until their first event.
    begun: Vec<(u64, usize)>,
    /// Durations of all steps.
    steps: Vec<Duration>,
}

/// Largest prefill chunk of one step.
const PIECE: Duration = Duration::from_millis(80);
/// Duration of a step without prefill.
const STEP: Duration = Duration::from_millis(8);
/// Prefill part of the time under permits: the limit, less the steps' own time (8 of 88 ms).
const FOR_PROMPTS: f64 = 0.75;
/// Tokens per event.
const TOKENS: usize = 3;

impl Engine {
    /// Executes one step; returns its duration and the prompts with a first event at its end.
    fn step(&mut self) -> (Duration, Vec<u64>) {
        let mut room = PIECE;
        let mut read = Vec::new();
        while let Some((id, left)) = self.queue.front_mut() {
            let piece = room.min(*left);
            room -= piece;
            *left -= piece;
            if !left.is_zero() {
                break;
            }
            read.push((*id, TOKENS));
            self.queue.pop_front();
        }
        let took = STEP + (PIECE - room);
        self.steps.push(took);
        self.begun.iter_mut().for_each(|(_, lacks)| *lacks -= 1);
        let first = self.begun.extract_if(.., |(_, lacks)| *lacks == 0).map(|(id, _)| id).collect();
        self.begun.extend(read);
        (took, first)
    }

    fn longest_pause(&self) -> Duration {
        let events = self.steps.windows(TOKENS).map(|steps| steps.iter().sum());
        events.max().unwrap_or_default()
    }
}

/// First events on time, and the longest pause of the streams.
struct Outcome {
    in_time: Vec<u64>,
    longest_pause: Duration,
}

/// Simulates arrivals, each `(after, objective)`, with permits or sent at once.
fn play(arrivals: &[(Duration, Duration)], turns: bool) -> Outcome {
    let began = Instant::now();
    let mut now = began;
    let mut engine = Engine::default();
    let mut queue = PermitQueue::default();
    let (mut next, mut in_time) = (0, Vec::new());
    while next < arrivals.len() || now < began + Duration::from_secs(10) {
        while next < arrivals.len() && began + arrivals[next].0 <= now {
            let id = next as u64;
            let sent = !turns
                || queue.request(now, ask(id, now, arrivals[next].1)) == PermitResponse::Granted;
            if sent {
                engine.queue.push_back((id, WORK));
            }
            next += 1;
        }
        engine.queue.extend(queue.grant_due(now).into_iter().map(|((), id)| (id, WORK)));
        let (took, first) = engine.step();
        now += took;
        let due = |id: &u64| began + arrivals[*id as usize].0 + arrivals[*id as usize].1;
        in_time.extend(first.into_iter().filter(|id| now <= due(id)));
    }
    Outcome { in_time, longest_pause: engine.longest_pause() }
}

fn every(count: usize, pause: Duration, aim: Duration) -> Vec<(Duration, Duration)> {
    (0..count).map(|n| (pause * n as u32, aim)).collect()
}

/// Guards against streams that stall while the prompts of a burst are processed without a break.
#[rstest]
fn streams_do_not_pause_during_a_burst_of_prompts() {
    let bursts = (0..5).flat_map(|burst| {
        every(8, Duration::ZERO, AIM * 2)
            .into_iter()
            .map(move |(after, aim)| (after + Duration::from_secs(burst), aim))
    });
    let bursts: Vec<_> = bursts.collect();
    let (before, after) = (play(&bursts, false), play(&bursts, true));
    assert!(before.longest_pause > PAUSE, "at once: {:?}", before.longest_pause);
    assert!(after.longest_pause <= PAUSE, "in turns: {:?}", after.longest_pause);
    assert_eq!((before.in_time.len(), after.in_time.len()), (40, 40));
}

/// Guards against urgent prompts that miss their objective behind prompts with a later one.
#[rstest]
fn urgent_prompts_have_priority() {
    let mixed: Vec<_> = (0..24)
        .map(|n| (Duration::ZERO, if n % 2 == 0 { Duration::from_millis(2_500) } else { AIM }))
        .collect();
    let urgent = |outcome: &Outcome| outcome.in_time.iter().filter(|id| *id % 2 == 1).count();
    let (before, after) = (play(&mixed, false), play(&mixed, true));
    // Of the objective, less half a pause for the first event, three quarters of the time go to
    // prefill, and three of four permits to prompts that can be on time.
    let possible = (AIM - PAUSE / 2).mul_f64(FOR_PROMPTS * 0.75).div_duration_f64(WORK);
    assert!(urgent(&after) >= possible as usize, "{} of {possible}", urgent(&after));
    assert!(urgent(&after) > urgent(&before), "{}, then {}", urgent(&before), urgent(&after));
    assert_eq!(after.in_time.len() - urgent(&after), 12, "all patient ones");
}

/// Guards against overload in which every prompt is late because each waits for the ones before it.
#[rstest]
fn some_prompts_are_on_time_under_overload() {
    let flood = every(200, WORK / 2, AIM);
    let (before, after) = (play(&flood, false), play(&flood, true));
    // Three quarters of the time go to prefill, and three quarters of that to prompts that can be
    // on time.
    let possible = (WORK / 2 * 200).mul_f64(FOR_PROMPTS * 0.75).div_duration_f64(WORK) as usize;
    assert!(before.in_time.len() < possible / 2, "{}", before.in_time.len());
    assert!(after.in_time.len() >= possible * 9 / 10, "{} of {possible}", after.in_time.len());
}

/// Guards against starvation of a prompt that exceeds the window's limit by itself.
#[rstest]
fn a_prompt_longer_than_the_limit_is_granted() {
    let now = Instant::now();
    let mut turns = PermitQueue::default();
    assert_eq!(turns.request(now, ask(1, now, AIM)), PermitResponse::Granted);
    let long = PermitRequest { prefill_time: PAUSE * 2, ..ask(2, now, AIM) };
    assert!(matches!(turns.request(now, long), PermitResponse::Wait(_)));
    // Shorter prompts keep arriving and must not overtake it for ever.
    let mut given = Vec::new();
    for n in 0..20 {
        let now = now + WORK * n;
        let _answer = turns.request(now, ask(10 + u64::from(n), now, AIM));
        given.extend(turns.grant_due(now).into_iter().map(|((), id)| id));
    }
    assert!(given.contains(&2), "{given:?}");
}

/// Guards against counting a prompt twice if the response to its request was lost.
#[rstest]
fn a_repeated_request_is_counted_once() {
    let now = Instant::now();
    let mut turns = PermitQueue::default();
    assert_eq!(turns.request(now, ask(1, now, AIM)), PermitResponse::Granted);
    assert_eq!(turns.request(now, ask(1, now, AIM)), PermitResponse::Granted);
    assert_eq!(turns.backlog(now), WORK);
}

/// Guards against permits for callers that have left, which would leave the engine idle.
#[rstest]
#[case::withdrawn(true)]
#[case::expired(false)]
fn no_permit_is_granted_to_a_caller_that_left(#[case] withdrawn: bool) {
    let now = Instant::now();
    let mut turns = PermitQueue::default();
    let full = PermitRequest { prefill_time: PAUSE, ..ask(1, now, AIM) };
    assert_eq!(turns.request(now, full), PermitResponse::Granted);
    assert!(matches!(turns.request(now, ask(2, now, AIM)), PermitResponse::Wait(_)));
    let later = now + if withdrawn { PAUSE } else { Duration::from_secs(3) };
    if withdrawn {
        turns.cancel(2);
    }
    assert_eq!(turns.grant_due(later), vec![]);
    assert_eq!(turns.next_grant_in(later), None);
}
