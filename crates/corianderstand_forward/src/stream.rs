//! The events of one stream on their way to the caller.

use crate::{attempt, body, decisions, dialect, exchange, job, pool, relay, router};
use bytes::Bytes;
use futures::{StreamExt, stream};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// A target that sends nothing for this many of the longest useful pauses is given up for another
/// that can take the stream up.
const SILENT_PAUSES: u32 = 5;
/// Used where a route names no pause.
const DEFAULT_SILENCE: Duration = Duration::from_secs(2);
/// A stream is ended this long after its route's time; the target ends its own before that.
const GRACE: Duration = Duration::from_millis(100);

/// A stream that is being passed on.
struct Passing<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    job: job::Job,
    source: Option<Source<P>>,
    splitter: relay::EventSplitter,
    resumes: u32,
    over: bool,
    pace: EventTimings,
}

/// How the events of a stream came, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTimings {
    /// When the first came.
    pub first_at: Option<Instant>,
    /// When the last came.
    pub last_at: Option<Instant>,
    /// Longest pause between two.
    pub longest_gap: Duration,
}

impl EventTimings {
    fn note(&mut self, now: Instant) {
        self.first_at.get_or_insert(now);
        if let Some(last) = self.last_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }
}

/// Where the events come from.
struct Source<P: router::Platform> {
    body: Incoming,
    lease: pool::Lease,
    in_flight: job::InFlight<P>,
    info: dialect::ResponseHead,
}

/// What the next wait brought.
enum Step {
    Data(Bytes),
    Whole,
    Broke,
    Silent,
    TimeOver,
}

/// A stream whose head has gone out; says so when the caller leaves before its end.
struct Watched<P: router::Platform>(Passing<P>);

impl<P: router::Platform> Drop for Watched<P> {
    fn drop(&mut self) {
        if !self.0.over {
            let now = self.0.shared.clock.now();
            self.0.shared.log.left(&self.0.job.call.id, self.0.splitter.events(), now);
        }
    }
}

/// Waits for the first event and answers with the stream.
///
/// # Errors
///
/// Why no event came; nothing has gone to the caller yet.
pub async fn start<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: job::Job,
    answered: attempt::Answered<P>,
) -> Result<Response<body::ResponseBody>, (Box<job::Job>, &'static str)> {
    let attempt::Answered { mut head, info, body: source, lease, in_flight } = answered;
    let mut passing = Passing {
        shared: shared.clone(),
        job,
        source: Some(Source { body: source, lease, in_flight, info }),
        splitter: relay::EventSplitter::default(),
        resumes: 0,
        over: false,
        pace: EventTimings::default(),
    };
    shared.platform.rewrite_response(&mut head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let first = match passing.next().await {
        Some(Ok(first)) => first,
        Some(Err(_)) | None => {
            return Err((Box::new(passing.job), "the stream ended before its first event"));
        }
    };
    let rest = stream::unfold(Watched(passing), |mut watched| async move {
        let next = watched.0.next().await?;
        Some((next.map(Frame::data), watched))
    });
    let begin = stream::iter([Ok(Frame::data(first))]);
    let body = body::ResponseBody::stream(StreamBody::new(begin.chain(rest)));
    Ok(Response::from_parts(head, body))
}

impl<P: router::Platform> Passing<P> {
    /// The next bytes for the caller.
    async fn next(&mut self) -> Option<Result<Bytes, exchange::Aborted>> {
        if self.over {
            return None;
        }
        loop {
            match self.step().await {
                Step::Data(chunk) => match self.pass(chunk) {
                    Ok(Some(out)) => return Some(Ok(out)),
                    Ok(None) => {}
                    Err(relay::EventGap) => {
                        let why = "the other target went on at another event";
                        return self.break_off(why, exchange::Aborted::ByTarget);
                    }
                },
                Step::Whole => return self.end(),
                Step::TimeOver => {
                    return self.break_off("the time is over", exchange::Aborted::DeadlineExceeded);
                }
                Step::Broke => {
                    let why = "the target broke off its stream";
                    if !self.take_up(why).await {
                        return self.break_off(why, exchange::Aborted::ByTarget);
                    }
                }
                Step::Silent => {
                    if !self.take_up("the target fell silent").await {
                        return self
                            .break_off("the target fell silent", exchange::Aborted::ByTarget);
                    }
                }
            }
        }
    }

    fn pass(&mut self, chunk: Bytes) -> Result<Option<Bytes>, relay::EventGap> {
        let whole = self.splitter.push(chunk.clone())?;
        // What cannot be taken up elsewhere goes on as it comes.
        Ok(if self.job.route.resumable { whole } else { Some(chunk) })
    }

    async fn step(&mut self) -> Step {
        let end = self.job.deadline + GRACE;
        let silence = match self.job.route.gap_objective {
            Some(pause) => pause * SILENT_PAUSES,
            None => DEFAULT_SILENCE,
        };
        loop {
            let now = self.shared.clock.now();
            if now >= end {
                return Step::TimeOver;
            }
            let Some(source) = &mut self.source else { return Step::Broke };
            let look: Instant = (now + silence).min(end);
            match tokio::time::timeout_at(look.into(), source.body.frame()).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => {
                        let now = self.shared.clock.now();
                        match self.pace.last_at {
                            Some(last) => self.shared.note_pause(source.in_flight.key(), now, last),
                            None => self.shared.note_first(&self.job, now),
                        }
                        self.pace.note(now);
                        return Step::Data(data);
                    }
                    Err(_trailers) => {}
                },
                Ok(None) if self.job.route.resumable && self.splitter.has_partial() => {
                    return Step::Broke;
                }
                Ok(None) => return Step::Whole,
                Ok(Some(Err(error))) => {
                    tracing::debug!(id = %self.job.call.id, %error, "stream broke");
                    return Step::Broke;
                }
                Err(_) => {
                    let now = self.shared.clock.now();
                    let key = source.in_flight.key();
                    let can = self.splitter.events() > 0 && self.job.route.resumable;
                    if now < end && can && self.shared.has_alternative(now, &self.job, key) {
                        return Step::Silent;
                    }
                }
            }
        }
    }

    fn say(&self, how: &str) {
        let ended = decisions::StreamEnd {
            how,
            events: self.splitter.events(),
            resumes: self.resumes,
            pace: self.pace,
        };
        self.shared.log.streamed(&self.job, &ended, self.shared.clock.now());
    }

    /// The stream is whole.
    fn end(&mut self) -> Option<Result<Bytes, exchange::Aborted>> {
        self.over = true;
        if let Some(source) = self.source.take() {
            let Source { lease, in_flight, info, .. } = source;
            self.shared.target_succeeded(in_flight.key());
            let keep = if info.closes_connection { Some(Duration::ZERO) } else { info.keep_alive };
            self.shared.pool.release(self.shared.clock.now(), lease, keep);
        }
        self.say("whole");
        None
    }

    /// The rest of the stream cannot be had; the caller's connection ends without its end.
    fn break_off(
        &mut self,
        why: &'static str,
        broken: exchange::Aborted,
    ) -> Option<Result<Bytes, exchange::Aborted>> {
        self.over = true;
        if let Some(source) = self.source.take() {
            self.shared.target_failed(source.in_flight.key(), why);
        }
        self.say(why);
        Some(Err(broken))
    }

    /// Has another target go on after the last event that went out.
    async fn take_up(&mut self, why: &'static str) -> bool {
        let now = self.shared.clock.now();
        self.shared.log.attempt_failed(&self.job, why, None, now);
        if let Some(source) = self.source.take() {
            self.shared.target_failed(source.in_flight.key(), why);
            // Closing the connection ends the work there before it goes on elsewhere.
            drop(source);
        }
        if !self.job.route.resumable {
            return false;
        }
        self.splitter.resume();
        self.job.idle_since = self.pace.last_at.unwrap_or(self.job.arrived);
        let last = self.splitter.last_event().or(self.job.call.last_event);
        let shared = self.shared.clone();
        match exchange::resume(&shared, &mut self.job, last).await {
            Ok(answered) => {
                let attempt::Answered { info, body, lease, in_flight, .. } = answered;
                self.source = Some(Source { body, lease, in_flight, info });
                self.resumes += 1;
                true
            }
            Err(why) => {
                tracing::debug!(id = %self.job.call.id, why, "stream not taken up");
                false
            }
        }
    }
}
