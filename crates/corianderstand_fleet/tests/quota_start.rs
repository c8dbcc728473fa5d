//! Requests that come while all routers start, so that no keeper answers yet.

use corianderstand_fleet::quota::{
    Grant,
    account::{Accounts, Admission, Refusal, WaiterId},
    unanswered::{GivingUp, Unanswered, patient_until},
};
use corianderstand_types::names::WorkspaceId;
use rstest::rstest;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const COST: u64 = 200;
const STEP: Duration = Duration::from_millis(5);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Later than all that is played.
const NEVER: Duration = Duration::from_secs(3_600);
/// Time until the caller needs an answer to begin, and until it gives up.
const KINDS: [(Duration, Duration); 4] = [
    (Duration::from_millis(150), Duration::from_millis(2_500)),
    (Duration::from_millis(300), Duration::from_millis(2_000)),
    (Duration::from_secs(1), Duration::from_secs(4)),
    (Duration::from_secs(5), Duration::from_secs(25)),
];

#[derive(Clone, Copy)]
struct Caller {
    arrived_at: Instant,
    patient_until: Instant,
}

/// One router, whose questions are answered from a time on.
struct Router {
    accounts: Accounts,
    unanswered: Unanswered,
    asked: Option<(u64, Instant)>,
    sequence: u64,
    waiting: HashMap<WaiterId, Caller>,
    served: usize,
    /// The callers that were refused, and when.
    refused: Vec<(Caller, Instant)>,
}

impl Router {
    fn new() -> Self {
        Self {
            accounts: Accounts::default(),
            unanswered: Unanswered::default(),
            asked: None,
            sequence: 0,
            waiting: HashMap::new(),
            served: 0,
            refused: Vec::new(),
        }
    }

    fn arrive(&mut self, now: Instant, workspace: &WorkspaceId, kind: (Duration, Duration)) {
        let patient_until = patient_until(now, now + kind.0, now + kind.1);
        let caller = Caller { arrived_at: now, patient_until };
        match self.accounts.admit(now, workspace, COST) {
            Admission::Admitted => self.served += 1,
            Admission::Refused(_) => self.refused.push((caller, now)),
            Admission::Waits(id) => {
                self.waiting.insert(id, caller);
            }
        }
    }

    fn step(&mut self, now: Instant, workspace: &WorkspaceId, is_answered: bool) {
        if let Some((sequence, _)) = self.asked.filter(|_| is_answered) {
            let grant = Grant {
                granted: 100 * COST,
                wait: Duration::ZERO,
                answers: Vec::new(),
                again: Duration::ZERO,
            };
            self.unanswered.record_answered(workspace);
            let outcomes = self.accounts.apply(now, workspace, sequence, &grant);
            self.served += outcomes.len();
            for outcome in outcomes {
                self.waiting.remove(&outcome.waiter);
            }
            self.asked = None;
        } else if let Some((sequence, _)) = self.asked.filter(|(_, deadline)| now >= *deadline) {
            self.asked = None;
            self.accounts.abandon(workspace, sequence);
            let giving_up = self.unanswered.record(now, workspace);
            self.give_up(now, workspace, giving_up);
        }
        if self.asked.is_none() && self.accounts.should_ask(now, workspace) {
            self.sequence += 1;
            self.unanswered.record_asked(now);
            self.accounts.claim(now, workspace, Some(self.sequence));
            self.asked = Some((self.sequence, now + ANSWER_TIMEOUT));
        }
    }

    fn give_up(&mut self, now: Instant, workspace: &WorkspaceId, giving_up: GivingUp) {
        let waiting = &self.waiting;
        let outcomes = match giving_up {
            GivingUp::None => Vec::new(),
            GivingUp::OutOfTime => {
                self.accounts.refuse_out_of_time(workspace, |id| now >= waiting[&id].patient_until)
            }
            GivingUp::All => {
                self.accounts.refuse_unanswered(now, workspace, Duration::from_millis(250))
            }
        };
        for outcome in outcomes {
            assert_eq!(outcome.refusal, Some(Refusal::Unanswered));
            let caller = self.waiting.remove(&outcome.waiter).unwrap();
            self.refused.push((caller, now));
        }
    }
}

/// Plays a time in which callers of all kinds come; keepers answer only from `answered_from` to `answered_to`.
fn play(time: Duration, answered_from: Duration, answered_to: Duration) -> (Router, Instant) {
    let (workspace, start) = (WorkspaceId::from("w"), Instant::now());
    let mut router = Router::new();
    let mut kinds = KINDS.into_iter().cycle();
    let mut arrives_at = start;
    let mut now = start;
    while now < start + time {
        if now >= arrives_at {
            arrives_at += ARRIVAL_INTERVAL;
            router.arrive(now, &workspace, kinds.next().unwrap());
        }
        let is_answered = now >= start + answered_from && now < start + answered_to;
        router.step(now, &workspace, is_answered);
        now += STEP;
    }
    (router, start)
}

/// Guards against a refusal of callers that could have waited until the routers that start know each other.
#[rstest]
fn routers_that_all_start_let_callers_wait(#[values(300, 700, 1_500)] answered_after_ms: u64) {
    let answered_after = Duration::from_millis(answered_after_ms);
    let (router, start) = play(Duration::from_secs(3), answered_after, NEVER);
    let first_answer = start + answered_after + ANSWER_TIMEOUT;
    let early = router.refused.iter().filter(|(caller, _)| caller.patient_until > first_answer);
    assert_eq!(early.count(), 0, "refused though their time was not over");
    let late = router.refused.iter().filter(|(caller, at)| *at < caller.patient_until);
    assert_eq!(late.count(), 0, "refused before their time was over");
    assert!(router.served > 140, "{} of 150", router.served);
}

/// Guards against callers that are held by a router that is cut off, as none of their waiting helps.
#[test]
fn a_router_that_is_cut_off_refuses_soon() {
    let cut_at = Duration::from_secs(6);
    let (router, start) = play(Duration::from_secs(10), Duration::ZERO, cut_at);
    let longest = router.refused.iter().map(|(caller, at)| *at - caller.arrived_at).max().unwrap();
    assert!(longest <= 4 * ANSWER_TIMEOUT, "{longest:?}");
    assert!(router.refused.iter().all(|(caller, _)| caller.arrived_at > start + cut_at - 2 * STEP));
}

/// Guards against callers that wait on and on where no keeper ever answers.
#[test]
fn callers_are_refused_when_their_time_is_over() {
    let (router, _) = play(Duration::from_secs(8), NEVER, NEVER);
    let is_late = |(caller, at): &&(Caller, Instant)| {
        *at > caller.patient_until + ANSWER_TIMEOUT + STEP
            && *at > caller.arrived_at + 4 * ANSWER_TIMEOUT
    };
    assert_eq!(router.refused.iter().filter(is_late).count(), 0);
    assert_eq!(router.served, 0);
}
