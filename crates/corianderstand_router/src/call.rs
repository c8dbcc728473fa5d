//! One call from the handler's side: hand it in, receive its updates, give credit, cancel.
//!
//! Parts are handed out in order, each once. Where the connection to the agent, the agent or its
//! engine is lost, a call that may be repeated is handed in again from the position reached, so
//! that its caller gets the rest and notices a pause at most.

use crate::{
    event::{Attachment, Call, Command, Event, REPLY_RING, Update, WINDOW},
    problem::Problem,
};
use bytes::Bytes;
use corianderstand_decide::request::{Refusal, RequestSpec};
use corianderstand_schema::messages::{Ending, OpenStream, RefusalReason};
use smol_str::SmolStr;
use std::{sync::mpsc::SyncSender, time::Duration};
use tokio::{sync::mpsc, time};

/// Positions passed on before credit is given for more.
const CREDIT_STEP: u64 = WINDOW / 2;
/// Pause before a call is taken up again; doubled each time, so that a target that restarts or
/// a slot that moves is not asked without end.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause before a call is taken up again.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Tries without progress before a call is given up: some four seconds in all, the time that a
/// planned restart or the replacement of a silent connection takes.
const MAX_ATTEMPTS: u32 = 12;
/// Tries that a failure at the engine counts for: a request that makes engines fail must not
/// go round all of them.
const ATTEMPTS_PER_FAILURE: u32 = 4;
/// Least time that an answer which has begun has to be taken up elsewhere. Its deadline was
/// met by its first part, so it must not be refused for that deadline.
const MIN_RESUME_TIME: Duration = Duration::from_secs(10);
/// When to come back if this router is overwhelmed.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What comes of a call.
#[derive(Debug)]
pub enum Part {
    /// Status of a service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
    },
    /// Part of the answer.
    Chunk(Bytes),
    /// The whole answer was handed out.
    Whole {
        /// Tokens in the prompt.
        prompt_tokens: u64,
        /// Tokens generated.
        completion_tokens: u64,
        /// Why generation stopped.
        finish_reason: SmolStr,
    },
}

/// What was asked, so that it can be asked again.
struct Submission {
    events: SyncSender<Event>,
    spec: RequestSpec,
    open: OpenStream,
    body: Bytes,
}

impl Submission {
    fn send(&self) -> Result<mpsc::Receiver<Update>, Problem> {
        let (reply, rx) = mpsc::channel(REPLY_RING);
        let call = Call { open: self.open.clone(), body: self.body.clone(), reply };
        let event = Event::Submit(Box::new((self.spec.clone(), call)));
        let rejected = Problem::Refused(RefusalReason::QueueFull, QUEUE_FULL_RETRY_AFTER);
        self.events.try_send(event).map_err(|_| rejected)?;
        Ok(rx)
    }
}

/// Why no further part comes from this try.
enum AttemptEnd {
    /// The call is over.
    Final(Problem),
    /// The try is over; it counts for so many.
    Retryable(Problem, u32),
}

/// A call in progress; dropping it cancels it.
pub struct CallInProgress {
    submission: Submission,
    updates: mpsc::Receiver<Update>,
    attachment: Option<Attachment>,
    position: u64,
    credit_limit: u64,
    attempts: u32,
    pending_retry: Option<(Problem, u32)>,
    finished: bool,
}

impl CallInProgress {
    /// Hands a call to the `decide` thread.
    ///
    /// # Errors
    ///
    /// A full ring is a refusal: waiting for room would only make the answer late.
    pub fn submit(
        events: &SyncSender<Event>,
        spec: RequestSpec,
        mut open: OpenStream,
        body: Bytes,
    ) -> Result<Self, Problem> {
        open.window = WINDOW;
        let position = open.position;
        let submission = Submission { events: events.clone(), spec, open, body };
        let updates = submission.send()?;
        let credit_limit = position + WINDOW;
        let (attachment, pending_retry) = (None, None);
        Ok(Self {
            submission,
            updates,
            attachment,
            position,
            credit_limit,
            attempts: 0,
            pending_retry,
            finished: false,
        })
    }

    /// Position of the next part.
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// The next part of the answer, by `deadline`.
    ///
    /// # Errors
    ///
    /// A [`Problem`] ends the call.
    pub async fn next(&mut self, deadline: time::Instant) -> Result<Part, Problem> {
        loop {
            if let Some((problem, attempts)) = self.pending_retry.take() {
                self.resume(problem, attempts, deadline).await?;
            }
            let update = time::timeout_at(deadline, self.updates.recv()).await;
            match self.apply(update.map_err(|_| Problem::Deadline)?) {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(AttemptEnd::Final(problem)) => return Err(problem),
                Err(AttemptEnd::Retryable(problem, attempts)) => {
                    self.pending_retry = Some((problem, attempts))
                }
            }
        }
    }

    /// The next part if it has come already.
    ///
    /// # Errors
    ///
    /// A [`Problem`] ends the call.
    pub fn try_next(&mut self) -> Result<Option<Part>, Problem> {
        while self.pending_retry.is_none()
            && let Ok(update) = self.updates.try_recv()
        {
            match self.apply(Some(update)) {
                Ok(Some(part)) => return Ok(Some(part)),
                Ok(None) => {}
                Err(AttemptEnd::Final(problem)) => return Err(problem),
                Err(AttemptEnd::Retryable(problem, attempts)) => {
                    self.pending_retry = Some((problem, attempts))
                }
            }
        }
        Ok(None)
    }

    /// Hands the call in again from the position reached, after a pause.
    async fn resume(
        &mut self,
        problem: Problem,
        attempts: u32,
        deadline: time::Instant,
    ) -> Result<(), Problem> {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.attempts.min(8));
        self.attempts += attempts;
        let now = time::Instant::now();
        let until = now + backoff.min(MAX_BACKOFF);
        if self.attempts > MAX_ATTEMPTS || until >= deadline {
            return Err(problem);
        }
        time::sleep_until(until).await;
        let submission = &mut self.submission;
        let now = time::Instant::now().into_std();
        if self.position > submission.open.position {
            submission.spec.deadline = submission.spec.deadline.max(now + MIN_RESUME_TIME);
            submission.open.position = self.position;
        }
        let remaining = submission.spec.deadline.saturating_duration_since(now);
        submission.open.deadline_ms = remaining.as_millis() as u64;
        tracing::info!(
            request = %submission.open.request,
            position = self.position,
            cause = %problem,
            "call taken up again"
        );
        self.updates = submission.send()?;
        (self.attachment, self.finished) = (None, false);
        self.credit_limit = self.position + WINDOW;
        Ok(())
    }

    fn apply(&mut self, update: Option<Update>) -> Result<Option<Part>, AttemptEnd> {
        match update {
            // Whoever held the far end has let go of it without an ending. That tells nothing of
            // whether the request ran, so it must not be answered as a refusal.
            None => Err(self.on_lost("its state was lost", 1)),
            Some(Update::Attached(attachment)) => {
                self.attachment = Some(attachment);
                // A second target does not know the credit that the first was given.
                if self.position > self.submission.open.position {
                    self.send_command(|stream, upto| Command::Credit { stream, upto });
                }
                Ok(None)
            }
            Some(Update::Head { status, content_type }) => {
                Ok(Some(Part::Head { status, content_type }))
            }
            Some(Update::Chunk { position, body }) => self.on_chunk(position, body),
            Some(Update::End { position, ending }) => self.on_end(position, ending).map(Some),
            Some(Update::Refused { refusal, moving }) => Err(self.on_refused(refusal, moving)),
            Some(Update::Lost { failed: false }) => {
                Err(self.on_lost("the connection to the target broke", 1))
            }
            Some(Update::Lost { failed: true }) => {
                Err(self.on_lost("the target failed", ATTEMPTS_PER_FAILURE))
            }
        }
    }

    fn on_lost(&mut self, reason: &str, attempts: u32) -> AttemptEnd {
        self.finished = true;
        self.retry_if_repeatable(Problem::Failed(reason.into()), attempts)
    }

    /// What may run a second time is taken up again; of the rest the caller hears.
    const fn retry_if_repeatable(&self, problem: Problem, attempts: u32) -> AttemptEnd {
        if self.submission.spec.repeatable {
            AttemptEnd::Retryable(problem, attempts)
        } else {
            AttemptEnd::Final(problem)
        }
    }

    /// A refusal is passed on, so that its caller can go elsewhere at once; but an answer that
    /// has begun looks for another replica, and while a target restarts or a slot moves, which
    /// takes a moment, a planned stop must not be seen by callers. A refused request has not
    /// run, so this holds for those that may not be repeated as well.
    fn on_refused(&mut self, refusal: Refusal, moving: bool) -> AttemptEnd {
        self.finished = true;
        if self.position > self.submission.open.position || self.attempts > 0 && self.position > 0 {
            return self.retry_if_repeatable(Problem::Failed("no replica takes it up".into()), 1);
        }
        if moving {
            AttemptEnd::Retryable(refusal.into(), 1)
        } else {
            AttemptEnd::Final(refusal.into())
        }
    }

    /// Takes chunks in order only: one that was sent twice is skipped, and a gap ends the try,
    /// as an answer with a hole would look whole.
    fn on_chunk(&mut self, position: u64, body: Bytes) -> Result<Option<Part>, AttemptEnd> {
        if position < self.position {
            return Ok(None);
        }
        if position > self.position {
            return Err(self.on_gap());
        }
        self.position += 1;
        self.attempts = 0;
        if self.position + CREDIT_STEP >= self.credit_limit {
            self.credit_limit = self.position + WINDOW;
            self.send_command(|stream, upto| Command::Credit { stream, upto });
        }
        Ok(Some(Part::Chunk(body)))
    }

    fn on_gap(&mut self) -> AttemptEnd {
        if !self.finished {
            self.send_command(|stream, _| Command::Cancel { stream });
            self.finished = true;
        }
        self.retry_if_repeatable(
            Problem::Failed("a part of the answer is missing".into()),
            ATTEMPTS_PER_FAILURE,
        )
    }

    fn on_end(&mut self, position: u64, ending: Ending) -> Result<Part, AttemptEnd> {
        self.finished = true;
        match ending {
            Ending::Whole { .. } if position != self.position => Err(self.on_gap()),
            Ending::Whole { prompt_tokens, completion_tokens, finish_reason } => {
                Ok(Part::Whole { prompt_tokens, completion_tokens, finish_reason })
            }
            Ending::Failed { reason } => {
                Err(self.retry_if_repeatable(Problem::Failed(reason), ATTEMPTS_PER_FAILURE))
            }
            Ending::Unknown { reason } => Err(AttemptEnd::Final(Problem::Unknown(reason))),
            Ending::NotRun { reason } => Err(AttemptEnd::Final(Problem::NotRun(reason))),
        }
    }

    fn send_command(&self, command: impl FnOnce(u64, u64) -> Command) {
        if let Some(Attachment { stream, commands, .. }) = &self.attachment {
            // A full ring delays credit until the next chunk, and a cancel until the
            // connection finds the handler's ring closed.
            drop(commands.try_send(command(*stream, self.credit_limit)));
        }
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        if !self.finished {
            self.updates.close();
            while let Ok(update) = self.updates.try_recv() {
                if let Update::Attached(attachment) = update {
                    self.attachment = Some(attachment);
                }
            }
            self.send_command(|stream, _| Command::Cancel { stream });
        }
    }
}

#[cfg(test)]
mod tests;
