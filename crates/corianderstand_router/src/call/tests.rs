use super::{CallInProgress, Part};
use crate::{
    event::{Call, Event, Update},
    problem::Problem,
};
use bytes::Bytes;
use corianderstand_decide::request::{Refusal, RequestShape, RequestSpec, Requirement};
use corianderstand_schema::messages::{Ending, OpenStream, Operation, RefusalReason};
use corianderstand_types::names::{ServiceId, WorkspaceId};
use rstest::rstest;
use std::{sync::mpsc, time::Duration};
use tokio::time::Instant;

struct TestCall {
    call: CallInProgress,
    events: mpsc::Receiver<Event>,
    submitted_call: Call,
}

impl TestCall {
    fn new(repeatable: bool) -> Self {
        let service = ServiceId::new("agenda").expect("valid name");
        let team = WorkspaceId::new("vidrio").expect("valid name");
        let deadline = Instant::now().into_std() + Duration::from_secs(60);
        let requirement = Requirement::Service(service.clone());
        let spec = RequestSpec {
            team: team.clone(),
            requirement,
            urgency: 1,
            deadline,
            repeatable,
            shape: RequestShape::default(),
        };
        let operation = Operation::Call {
            service,
            method: "POST".into(),
            path: "/".into(),
            content_type: "".into(),
            idempotency_key: None,
        };
        let open = OpenStream {
            stream: 0,
            request: "r-1".into(),
            team,
            operation,
            urgency: 1,
            deadline_ms: 60_000,
            position: 0,
            window: 0,
            traceparent: "".into(),
            expires_ms: 0,
            as_of: 0,
        };
        let (tx, events) = mpsc::sync_channel(64);
        let call = CallInProgress::submit(&tx, spec, open, Bytes::new())
            .expect("the channel has capacity");
        let submitted_call = submitted(&events);
        Self { call, events, submitted_call }
    }

    fn send(&self, update: Update) {
        self.submitted_call.update_tx.try_send(update).expect("the channel has capacity");
    }

    fn chunk(&self, position: u64) {
        let body = Bytes::from(format!("{position} "));
        self.send(Update::Chunk { position, body });
    }

    fn end(&self, position: u64) {
        let (prompt_tokens, completion_tokens) = (1, position);
        let finish_reason = "stop".into();
        let ending = Ending::Whole { prompt_tokens, completion_tokens, finish_reason };
        self.send(Update::End { position, ending });
    }

    async fn read(&mut self) -> Result<String, Problem> {
        let mut text = String::new();
        loop {
            match self.call.next(Instant::now() + Duration::from_secs(30)).await? {
                Part::Chunk(body) => text.push_str(&String::from_utf8_lossy(&body)),
                Part::Whole { .. } => return Ok(text),
                Part::Head { .. } => {}
            }
        }
    }
}

fn submitted(events: &mpsc::Receiver<Event>) -> Call {
    match events.recv().expect("the call was submitted") {
        Event::Submit(submitted) => submitted.1,
        other => panic!("expected a submitted call, got {other:?}"),
    }
}

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime starts").block_on(run)
}

/// Duplicate parts after a connection was replaced must not reach the caller.
#[rstest]
fn duplicate_parts_are_skipped() {
    block_on(async {
        let mut test_call = TestCall::new(true);
        for position in [0, 1, 0, 1, 2, 2] {
            test_call.chunk(position);
        }
        test_call.end(3);
        assert_eq!(test_call.read().await, Ok("0 1 2 ".into()));
    });
}

/// Guards against a complete answer with a gap.
#[rstest]
#[case::gap(&[0, 2], 3)]
#[case::reordered(&[1, 0], 2)]
#[case::end_too_early(&[0, 1], 1)]
#[case::end_too_late(&[0, 1], 5)]
fn an_answer_with_a_gap_is_never_complete(#[case] positions: &[u64], #[case] end: u64) {
    block_on(async {
        let mut test_call = TestCall::new(false);
        positions.iter().for_each(|position| test_call.chunk(*position));
        test_call.end(end);
        assert!(matches!(test_call.read().await, Err(Problem::Failed(_))));
    });
}

/// Guards against repeated or mixed parts after a target is lost during an answer.
#[rstest]
fn a_lost_answer_resumes_at_its_position() {
    block_on(async {
        let mut test_call = TestCall::new(true);
        test_call.chunk(0);
        test_call.chunk(1);
        test_call.send(Update::Lost { target_failed: false });
        test_call.chunk(2);
        let events = std::mem::replace(&mut test_call.events, mpsc::sync_channel(1).1);
        let second = std::thread::spawn(move || {
            let call = submitted(&events);
            let finish_reason = "stop".into();
            let ending = Ending::Whole { prompt_tokens: 1, completion_tokens: 3, finish_reason };
            let body = Bytes::from("second ");
            call.update_tx
                .try_send(Update::Chunk { position: 2, body })
                .expect("the channel has capacity");
            call.update_tx
                .try_send(Update::End { position: 3, ending })
                .expect("the channel has capacity");
            call.open_message.position
        });
        assert_eq!(test_call.read().await, Ok("0 1 second ".into()));
        assert_eq!(second.join().expect("the thread does not panic"), 2);
    });
}

/// Submitting an unrepeatable call again after a loss could run it twice.
#[rstest]
fn an_unrepeatable_call_is_not_submitted_again() {
    block_on(async {
        let mut test_call = TestCall::new(false);
        test_call.send(Update::Lost { target_failed: false });
        assert!(matches!(test_call.read().await, Err(Problem::Failed(_))));
        assert!(test_call.events.try_recv().is_err());
    });
}

/// A refusal must reach the caller without retries unless a replica is briefly out of service.
#[rstest]
fn a_refusal_is_returned_at_once() {
    block_on(async {
        let mut test_call = TestCall::new(true);
        let reason = RefusalReason::QueueFull;
        let retry_after = Duration::from_secs(1);
        test_call.send(Update::Refused {
            refusal: Refusal { reason, retry_after },
            is_transient: false,
        });
        assert_eq!(test_call.read().await, Err(Problem::Refused(reason, retry_after)));
        assert!(test_call.events.try_recv().is_err());
    });
}
