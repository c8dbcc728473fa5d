//! Turns in which an engine reads prompts: what callers get of a load, without a network.

use corianderstand_fleet::prefill::{PermitQueue, PermitRequest, PermitResponse};
use rstest::rstest;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time in which the engine under load reads a prompt of the usual size alone.
const WORK: Duration = Duration::from_millis(45);
/// Longest useful pause of the streams.
const PAUSE: Duration = Duration::from_millis(250);
/// Time to a first event that is of full use.
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

/// An engine that reads what it is sent in pieces, a piece a step, and makes a token for each stream
/// at the end of each step.
#[derive(Default)]
struct Engine {
    queue: VecDeque<(u64, Duration)>,
    /// Prompts that are read, and the tokens that their first events lack.
    begun: Vec<(u64, usize)>,
    /// Steps so far, by their length.
    steps: Vec<Duration>,
}

/// Reading in one step at most.
const PIECE: Duration = Duration::from_millis(80);
/// A step without any reading.
const STEP: Duration = Duration::from_millis(8);
/// Part of its time that the engine may spend on prompts: the share that turns leave, less what the
/// steps themselves take of it (8 of 88 ms).
const FOR_PROMPTS: f64 = 0.75;
/// Tokens in one event.
const TOKENS: usize = 3;

impl Engine {
    /// One step; the ids of prompts whose first events come at its end.
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

/// What callers got of a load: first events in time, and the longest pause of streams.
struct Outcome {
    in_time: Vec<u64>,
    longest_pause: Duration,
}

/// Plays arrivals, each `(after, aim)`, with turns or sent at once.
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

/// A model becomes busy and its one engine gets bursts of eight prompts, which it could read in time
/// one after the other. Sent at once, they are read without a break, and each stream at the engine
/// stands still for longer than its reader bears.
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

/// After a power cut all callers ask again at once: thirty prompts that take 1.4 s to read, of which
/// most would come after their callers' aim. Read in the order of their arrival with patient ones
/// among them, urgent ones come late behind prompts that have two seconds to spare.
#[rstest]
fn urgent_prompts_have_priority() {
    let mixed: Vec<_> = (0..24)
        .map(|n| (Duration::ZERO, if n % 2 == 0 { Duration::from_millis(2_500) } else { AIM }))
        .collect();
    let urgent = |outcome: &Outcome| outcome.in_time.iter().filter(|id| *id % 2 == 1).count();
    let (before, after) = (play(&mixed, false), play(&mixed, true));
    // Within the aim, less half a pause for the first event, three quarters of the time go to
    // prompts, and three turns of four to those that can be in time.
    let possible = (AIM - PAUSE / 2).mul_f64(FOR_PROMPTS * 0.75).div_duration_f64(WORK);
    assert!(urgent(&after) >= possible as usize, "{} of {possible}", urgent(&after));
    assert!(urgent(&after) > urgent(&before), "{}, then {}", urgent(&before), urgent(&after));
    assert_eq!(after.in_time.len() - urgent(&after), 12, "all patient ones");
}

/// Twice as much is asked for as the engine can read. Each prompt behind the ones before it would be
/// late, and so nobody in time; the ones that are late already have to let others pass.
#[rstest]
fn some_prompts_are_on_time_under_overload() {
    let flood = every(200, WORK / 2, AIM);
    let (before, after) = (play(&flood, false), play(&flood, true));
    // Of the time of the flood three quarters go to prompts, and of these three quarters to those
    // that can be in time.
    let possible = (WORK / 2 * 200).mul_f64(FOR_PROMPTS * 0.75).div_duration_f64(WORK) as usize;
    assert!(before.in_time.len() < possible / 2, "{}", before.in_time.len());
    assert!(after.in_time.len() >= possible * 9 / 10, "{} of {possible}", after.in_time.len());
}

/// A prompt is longer than what may be read at a time. Waiting for room that never comes, its caller
/// would leave.
#[rstest]
fn a_prompt_longer_than_the_limit_is_granted() {
    let now = Instant::now();
    let mut turns = PermitQueue::default();
    assert_eq!(turns.request(now, ask(1, now, AIM)), PermitResponse::Granted);
    let long = PermitRequest { prefill_time: PAUSE * 2, ..ask(2, now, AIM) };
    assert!(matches!(turns.request(now, long), PermitResponse::Wait(_)));
    // Shorter ones come all the while and do not pass it for ever.
    let mut given = Vec::new();
    for n in 0..20 {
        let now = now + WORK * n;
        let _answer = turns.request(now, ask(10 + u64::from(n), now, AIM));
        given.extend(turns.grant_due(now).into_iter().map(|((), id)| id));
    }
    assert!(given.contains(&2), "{given:?}");
}

/// The datagram with a turn is lost and the router asks again. Counted as a second prompt, the turn
/// would keep others waiting for reading that never comes.
#[rstest]
fn a_repeated_request_is_counted_once() {
    let now = Instant::now();
    let mut turns = PermitQueue::default();
    assert_eq!(turns.request(now, ask(1, now, AIM)), PermitResponse::Granted);
    assert_eq!(turns.request(now, ask(1, now, AIM)), PermitResponse::Granted);
    assert_eq!(turns.backlog(now), WORK);
}

/// Callers leave while they wait. A turn given to one of them would leave the engine idle.
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
