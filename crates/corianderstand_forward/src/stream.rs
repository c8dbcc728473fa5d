//! Relays the events of one stream to the caller, and resumes it at another target when it breaks.

use crate::{
    attempt, body, body_end, continuations, copies, decisions, dialect, ended_targets, exchange,
    job, pool, relay, resume, router, suspicion,
};
use bytes::Bytes;
use corianderstand_fleet::{crashes, streams, targets};
use futures::{
    StreamExt,
    stream::{self, Peekable},
};
use http::Response;
use http_body_util::{BodyDataStream, BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Multiple of the gap objective after which another target is sought for a stream.
const IDLE_TIMEOUT_GAPS: u32 = 5;
/// Idle timeout of streams whose route has no gap objective.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A target that streams for this long is not ended by the request.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Lets the target end the stream itself at the deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

const SILENT: &str = "the target fell silent";
const NO_EVENTS: &str = "the target sends bytes that are no event";

struct RelayedStream<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    job: job::Job,
    upstream: Option<Upstream<P>>,
    splitter: relay::EventSplitter,
    /// When the first bytes came after the last event.
    event_begun_at: Option<Instant>,
    /// Whether another target may go on after the last event.
    may_go_on: bool,
    /// Whether the caller has events after which another target may go on.
    has_forwarded: bool,
    /// Where they began; none if that isn't known.
    origin: Option<streams::Origin>,
    resumes: u32,
    has_ended: bool,
    timings: EventTimings,
}

/// When the events of a stream arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTimings {
    /// Arrival of the first event.
    pub first_event_at: Option<Instant>,
    /// Arrival of the last event.
    pub last_event_at: Option<Instant>,
    /// Longest gap between two events.
    pub longest_gap: Duration,
}

impl EventTimings {
    fn record(&mut self, now: Instant) {
        self.first_event_at.get_or_insert(now);
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }
}

struct Upstream<P: router::Platform> {
    body: Peekable<BodyDataStream<Incoming>>,
    lease: pool::Lease,
    in_flight: job::InFlight<P>,
    response_head: dialect::ResponseHead,
    framing: body_end::Framing,
    /// When its first event arrived.
    first_event_at: Option<Instant>,
    /// What its streaming has shown so far.
    survival: Survival,
}

/// How long a target has been streaming without ending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Survival {
    /// Not long enough to show anything.
    Unproven,
    /// It was not ended by a part of the prompt.
    Writing,
    /// It is not ended by the request.
    Survived,
}

impl Survival {
    fn after(streamed_for: Duration) -> Self {
        if streamed_for >= SURVIVAL_TIME {
            Self::Survived
        } else if streamed_for >= crashes::WRITING_START_TIME {
            Self::Writing
        } else {
            Self::Unproven
        }
    }
}

impl<P: router::Platform> Upstream<P> {
    /// Splits a response into its head and its stream.
    fn new(answered: attempt::Answered<P>) -> (http::response::Parts, Self) {
        let attempt::Answered { head, framing, response_head, body, lease, in_flight } = answered;
        let body = body.into_data_stream().peekable();
        let (first_event_at, survival) = (None, Survival::Unproven);
        let upstream =
            Self { body, lease, in_flight, response_head, framing, first_event_at, survival };
        (head, upstream)
    }

    /// Records an event, and what it shows of the request and the parts of its prompt.
    fn record_event(&mut self, suspicion: &suspicion::State, job: &job::Job, now: Instant) {
        let first_event_at = *self.first_event_at.get_or_insert(now);
        let survival = Survival::after(now.saturating_duration_since(first_event_at));
        if self.survival < Survival::Writing && survival >= Survival::Writing {
            suspicion.record_written(now, job, first_event_at);
        }
        if self.survival < Survival::Survived && survival == Survival::Survived {
            suspicion.record_completed(now, job);
        }
        self.survival = survival;
    }
}

enum Step {
    Data(Bytes),
    Complete(body_end::Whole),
    Interrupted,
    Silent,
    DeadlineExceeded,
}

/// Logs that the caller left if the stream is dropped before its end.
struct AbandonGuard<P: router::Platform>(RelayedStream<P>);

impl<P: router::Platform> Drop for AbandonGuard<P> {
    fn drop(&mut self) {
        if !self.0.has_ended {
            let now = self.0.shared.clock.now();
            self.0.shared.decision_log.caller_left(
                &self.0.job.request.id,
                self.0.splitter.events(),
                now,
            );
        }
    }
}

/// Waits for the first event and returns the response with the stream, or the job and why there was no
/// event.
pub async fn start<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: job::Job,
    answered: attempt::Answered<P>,
) -> Result<Response<body::ResponseBody>, (Box<job::Job>, &'static str)> {
    let (mut head, upstream) = Upstream::new(answered);
    let may_go_on = job.route.resumable || job.copy.is_some();
    let mut relayed = RelayedStream {
        shared: shared.clone(),
        job,
        upstream: Some(upstream),
        splitter: relay::EventSplitter::default(),
        event_begun_at: None,
        may_go_on,
        has_forwarded: false,
        origin: None,
        resumes: 0,
        has_ended: false,
        timings: EventTimings::default(),
    };
    shared.platform.rewrite_response(&mut head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let first = match relayed.next().await {
        Some(Ok(first)) => first,
        Some(Err(_)) | None => {
            return Err((Box::new(relayed.job), "the stream ended before its first event"));
        }
    };
    let rest = stream::unfold(AbandonGuard(relayed), |mut guard| async move {
        let next = guard.0.next().await?;
        Some((next.map(Frame::data), guard))
    });
    let first = stream::iter([Ok(Frame::data(first))]);
    let body = body::ResponseBody::stream(StreamBody::new(first.chain(rest)));
    Ok(Response::from_parts(head, body))
}

impl<P: router::Platform> RelayedStream<P> {
    async fn next(&mut self) -> Option<Result<Bytes, exchange::Aborted>> {
        if self.has_ended {
            return None;
        }
        loop {
            match self.step().await {
                Step::Data(chunk) => match self.forward(chunk) {
                    Ok(Some(out)) => return Some(Ok(out)),
                    Ok(None) => {}
                    Err(relay::EventError::Gap) => {
                        let why = "the other target went on at another event";
                        return self.abort(why, exchange::Aborted::ByTarget);
                    }
                    Err(relay::EventError::TooLong | relay::EventError::NoEvent) => {
                        if !self.resume(NO_EVENTS).await {
                            return self.abort(NO_EVENTS, exchange::Aborted::ByTarget);
                        }
                    }
                },
                Step::Complete(whole) => return self.complete(whole),
                Step::DeadlineExceeded => {
                    return self.abort("the time is over", exchange::Aborted::DeadlineExceeded);
                }
                Step::Interrupted => {
                    if let Some(upstream) = &self.upstream {
                        ended_targets::record_broken(
                            &self.shared,
                            &self.job,
                            &upstream.in_flight,
                            upstream.first_event_at,
                        );
                    }
                    let why = "the target broke off its stream";
                    if !self.resume(why).await {
                        return self.abort(why, exchange::Aborted::ByTarget);
                    }
                }
                Step::Silent => {
                    let Some(key) = self.find_other_target().await else { continue };
                    self.leave_target(SILENT);
                    self.update_progress();
                    let resumed = resume::resume_at(&self.shared, &mut self.job, key).await;
                    if !self.continue_at(resumed) {
                        return self.abort(SILENT, exchange::Aborted::ByTarget);
                    }
                }
            }
        }
    }

    /// Returns what can be forwarded: whole events, as part of one may be followed by bytes that belong to none.
    fn forward(&mut self, chunk: Bytes) -> Result<Option<Bytes>, relay::EventError> {
        let complete = self.splitter.push(chunk)?;
        self.check_event_time()?;
        if complete.is_none() {
            return Ok(None);
        }
        if self.splitter.has_ended_event() {
            self.record_event();
        }
        if self.may_go_on && !self.has_forwarded {
            self.has_forwarded = true;
            if self.job.route.resumable {
                self.record_origin();
            }
        }
        Ok(complete)
    }

    /// Fails if bytes have come for so long without completing an event that the caller leaves.
    fn check_event_time(&mut self) -> Result<(), relay::EventError> {
        if self.splitter.has_ended_event() {
            self.event_begun_at = None;
        }
        if !self.splitter.has_more() {
            return Ok(());
        }
        let now = self.shared.clock.now();
        let begun_at = *self.event_begun_at.get_or_insert(now);
        if now.saturating_duration_since(begun_at) > self.job.abandon_timeout() {
            return Err(relay::EventError::TooLong);
        }
        Ok(())
    }

    /// Records an event that came now.
    fn record_event(&mut self) {
        let now = self.shared.clock.now();
        let Some(upstream) = &mut self.upstream else { return };
        let key = upstream.in_flight.key();
        match self.timings.last_event_at {
            Some(at) => self.shared.record_event_interval(key, now, at),
            None => self.shared.record_first_event(key, &self.job, now),
        }
        upstream.record_event(&self.shared.suspicion, &self.job, now);
        self.timings.record(now);
    }

    /// Remembers where the stream began, before its first event is forwarded.
    fn record_origin(&mut self) {
        let Some(upstream) = &self.upstream else { return };
        self.origin = continuations::origin(&self.job, &upstream.in_flight);
        if let Some(origin) = &self.origin {
            continuations::record(&self.shared, &self.job.request, origin);
        }
    }

    /// Sets at which version the stream may go on.
    fn update_progress(&mut self) {
        if self.has_forwarded {
            let (origin, last_event) = (self.origin.as_ref(), self.last_event());
            self.job.progress = continuations::progress(&self.shared, origin, last_event);
        }
    }

    async fn step(&mut self) -> Step {
        let end = self.job.deadline + DEADLINE_GRACE;
        let idle_timeout = match self.job.route.gap_objective {
            Some(gap) => gap * IDLE_TIMEOUT_GAPS,
            None => DEFAULT_IDLE_TIMEOUT,
        };
        loop {
            let now = self.shared.clock.now();
            if now >= end {
                return Step::DeadlineExceeded;
            }
            let Some(upstream) = &mut self.upstream else { return Step::Interrupted };
            let poll_at: Instant = (now + idle_timeout).min(end);
            match tokio::time::timeout_at(poll_at.into(), upstream.body.next()).await {
                Ok(Some(Ok(data))) if data.is_empty() => {}
                Ok(Some(Ok(data))) => return Step::Data(data),
                Ok(None) => return self.body_ended(false).await,
                Ok(Some(Err(error))) => {
                    tracing::debug!(id = %self.job.request.id, %error, "stream interrupted");
                    return self.body_ended(true).await;
                }
                Err(_) => {
                    let now = self.shared.clock.now();
                    let key = upstream.in_flight.key();
                    let resumable = self.splitter.events() > 0 && self.job.route.resumable;
                    self.update_progress();
                    if now < end && resumable && self.shared.has_alternative(now, &self.job, key) {
                        return Step::Silent;
                    }
                    if self.has_ended_in_silence() {
                        return Step::Interrupted;
                    }
                }
            }
        }
    }

    /// Whether the target of a silent stream that could go on from its copy is known to have ended. It isn't asked:
    /// most silent targets are busy.
    fn has_ended_in_silence(&self) -> bool {
        let copy = self.job.copy.as_ref();
        copy.is_some_and(|copy| copies::is_source_ended(&self.shared, copy))
    }

    async fn body_ended(&self, failed: bool) -> Step {
        let Some(upstream) = &self.upstream else { return Step::Interrupted };
        let received = if self.splitter.has_partial() {
            body_end::Received::InsideEvent
        } else if self.splitter.lacks_event() {
            body_end::Received::LacksEvent
        } else if upstream.first_event_at.is_none() {
            body_end::Received::Nothing
        } else {
            body_end::Received::Content
        };
        let read = body_end::Read { framing: upstream.framing, received, failed };
        let in_flight = &upstream.in_flight;
        let concluded = ended_targets::conclude(&self.shared, &self.job, in_flight, read).await;
        concluded.map_or(Step::Interrupted, Step::Complete)
    }

    fn log_end(&self, how: &str) {
        let stream_end = decisions::StreamEnd {
            how,
            events: self.splitter.events(),
            resumes: self.resumes,
            timings: self.timings,
        };
        self.shared.decision_log.streamed(&self.job, &stream_end, self.shared.clock.now());
    }

    fn complete(&mut self, _: body_end::Whole) -> Option<Result<Bytes, exchange::Aborted>> {
        self.has_ended = true;
        if let Some(upstream) = self.upstream.take() {
            let Upstream { lease, in_flight, response_head: info, first_event_at, .. } = upstream;
            self.shared.record_target_success(in_flight.key());
            self.shared.record_stream_events(&self.job, self.splitter.events());
            let now = self.shared.clock.now();
            let written_since = first_event_at.unwrap_or_else(|| in_flight.started_at());
            self.shared.suspicion.record_written(now, &self.job, written_since);
            self.shared.suspicion.record_completed(now, &self.job);
            let keep_alive =
                if info.closes_connection { Some(Duration::ZERO) } else { info.keep_alive };
            self.shared.connection_pool.release(self.shared.clock.now(), lease, keep_alive);
        }
        self.log_end("whole");
        None
    }

    fn abort(
        &mut self,
        why: &'static str,
        aborted: exchange::Aborted,
    ) -> Option<Result<Bytes, exchange::Aborted>> {
        self.has_ended = true;
        if let Some(upstream) = self.upstream.take() {
            self.shared.record_target_failure(upstream.in_flight.key(), why);
        }
        self.log_end(why);
        Some(Err(aborted))
    }

    /// Has the caller wait since the last event.
    fn record_idle(&mut self) {
        self.job.idle_since = self.timings.last_event_at.unwrap_or(self.job.arrived_at);
    }

    /// Finds another target for the stream of a silent one; none if that one goes on first, or no other can
    /// take it: a target may be silent for long and still end its stream well.
    async fn find_other_target(&mut self) -> Option<targets::TargetKey> {
        self.record_idle();
        let upstream = self.upstream.as_mut()?;
        let found = tokio::select! {
            biased;
            _ = Pin::new(&mut upstream.body).peek() => {
                self.job.sends.release();
                return None;
            }
            found = resume::find_other_target(&self.shared, &mut self.job, SILENT) => found,
        };
        let id = &self.job.request.id;
        found.inspect_err(|why| tracing::debug!(%id, why, "no other target for the stream")).ok()
    }

    /// Closes the connection to the target, which cancels the request there before it continues elsewhere.
    fn leave_target(&mut self, why: &'static str) {
        let now = self.shared.clock.now();
        self.shared.decision_log.attempt_failed(&self.job, why, None, now);
        if let Some(upstream) = self.upstream.take() {
            self.shared.record_target_failure(upstream.in_flight.key(), why);
        }
        self.splitter.resume();
        self.event_begun_at = None;
    }

    fn last_event(&self) -> Option<u64> {
        self.splitter.last_event().or(self.job.request.last_event_id)
    }

    /// Continues at another target after the last whole event.
    async fn resume(&mut self, why: &'static str) -> bool {
        // A break may be noticed late, after a pause of this router.
        let last_sign = self.timings.last_event_at.unwrap_or_else(|| self.shared.clock.now());
        self.leave_target(why);
        self.record_idle();
        if self.go_on_from_copy(last_sign, why).await {
            return true;
        }
        if !self.job.route.resumable {
            return false;
        }
        self.update_progress();
        let resumed = resume::resume(&self.shared, &mut self.job, why).await;
        self.continue_at(resumed)
    }

    /// Goes on with the same run at the engine that keeps its copy.
    async fn go_on_from_copy(&mut self, last_sign: Instant, why: &'static str) -> bool {
        let last_event = self.last_event();
        if self.has_forwarded && last_event.is_none() {
            // Its events have no ids: where to go on can't be said.
            return false;
        }
        let broken = copies::Broken { last_event, last_sign, why };
        let Some(answered) = copies::go_on(&self.shared, &mut self.job, broken).await else {
            return false;
        };
        self.continue_at(Ok(answered))
    }

    /// Goes on with another target's response, if it sent one.
    fn continue_at(&mut self, resumed: Result<attempt::Answered<P>, &'static str>) -> bool {
        match resumed {
            Ok(answered) => {
                self.upstream = Some(Upstream::new(answered).1);
                self.resumes += 1;
                true
            }
            Err(why) => {
                tracing::debug!(id = %self.job.request.id, why, "could not resume the stream");
                false
            }
        }
    }
}
