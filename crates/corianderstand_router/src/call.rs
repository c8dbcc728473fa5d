//! A call in progress: returns its parts in order, each once, and resumes it if the target is lost.

use crate::{
    event::{Attachment, CHUNK_WINDOW, Call, Command, Event, REPLY_QUEUE_CAPACITY, Update},
    problem::Problem,
};
use bytes::Bytes;
use corianderstand_decide::request::{Refusal, RequestSpec};
use corianderstand_schema::messages::{Ending, OpenStream, RefusalReason};
use smol_str::SmolStr;
use std::{sync::mpsc::SyncSender, time::Duration};
use tokio::{sync::mpsc, time};

/// Chunks that the caller must read before the target is granted more credit.
const CREDIT_STEP_CHUNKS: u64 = CHUNK_WINDOW / 2;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Attempts without progress before a call fails; enough for a planned restart of its target.
const MAX_ATTEMPTS_WITHOUT_PROGRESS: u32 = 12;
/// Attempts that an engine failure counts as; bounds the engines that one request can crash.
const ATTEMPTS_PER_FAILURE: u32 = 4;
/// Minimum time to resume an answer whose first part met the deadline.
const MIN_RESUME_TIME: Duration = Duration::from_secs(10);
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub enum Part {
    /// Status and content type of a service's answer.
    Head {
        status: u16,
        content_type: SmolStr,
    },
    Chunk(Bytes),
    Whole {
        prompt_tokens: u64,
        completion_tokens: u64,
        finish_reason: SmolStr,
    },
}

struct Submission {
    events: SyncSender<Event>,
    spec: RequestSpec,
    open_message: OpenStream,
    body: Bytes,
}

impl Submission {
    fn send(&self) -> Result<mpsc::Receiver<Update>, Problem> {
        let (reply, rx) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        let call = Call {
            open_message: self.open_message.clone(),
            body: self.body.clone(),
            update_tx: reply,
        };
        let event = Event::Submit(Box::new((self.spec.clone(), call)));
        let rejected = Problem::Refused(RefusalReason::QueueFull, QUEUE_FULL_RETRY_AFTER);
        self.events.try_send(event).map_err(|_| rejected)?;
        Ok(rx)
    }
}

enum AttemptEnd {
    Final(Problem),
    /// The error to return if no attempt is left, and how many attempts this one counts as.
    Retry(Problem, u32),
}

/// A call in progress; dropping it cancels it.
pub struct CallInProgress {
    submission: Submission,
    updates: mpsc::Receiver<Update>,
    attachment: Option<Attachment>,
    next_position: u64,
    credit_limit: u64,
    attempts_without_progress: u32,
    next_retry: Option<(Problem, u32)>,
    finished: bool,
}

impl CallInProgress {
    /// Submits a call to the `decide` thread; refused if the event channel is full.
    pub fn submit(
        events: &SyncSender<Event>,
        spec: RequestSpec,
        mut open: OpenStream,
        body: Bytes,
    ) -> Result<Self, Problem> {
        open.window = CHUNK_WINDOW;
        let position = open.position;
        let submission = Submission { events: events.clone(), spec, open_message: open, body };
        let updates = submission.send()?;
        let credit_limit = position + CHUNK_WINDOW;
        let (attachment, retry) = (None, None);
        Ok(Self {
            submission,
            updates,
            attachment,
            next_position: position,
            credit_limit,
            attempts_without_progress: 0,
            next_retry: retry,
            finished: false,
        })
    }

    pub const fn position(&self) -> u64 {
        self.next_position
    }

    /// Waits for the next part, resuming the call if its target is lost. An error ends the call.
    pub async fn next(&mut self, deadline: time::Instant) -> Result<Part, Problem> {
        loop {
            if let Some((problem, attempts)) = self.next_retry.take() {
                self.resume(problem, attempts, deadline).await?;
            }
            let update = time::timeout_at(deadline, self.updates.recv()).await;
            match self.apply(update.map_err(|_| Problem::Deadline)?) {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(AttemptEnd::Final(problem)) => return Err(problem),
                Err(AttemptEnd::Retry(problem, count)) => self.next_retry = Some((problem, count)),
            }
        }
    }

    /// Returns the next part if it was received already. An error ends the call.
    pub fn try_next(&mut self) -> Result<Option<Part>, Problem> {
        while self.next_retry.is_none()
            && let Ok(update) = self.updates.try_recv()
        {
            match self.apply(Some(update)) {
                Ok(Some(part)) => return Ok(Some(part)),
                Ok(None) => {}
                Err(AttemptEnd::Final(problem)) => return Err(problem),
                Err(AttemptEnd::Retry(problem, count)) => self.next_retry = Some((problem, count)),
            }
        }
        Ok(None)
    }

    /// Submits the call again from the first missing chunk, after a backoff.
    async fn resume(
        &mut self,
        problem: Problem,
        attempts: u32,
        deadline: time::Instant,
    ) -> Result<(), Problem> {
        let backoff = INITIAL_BACKOFF * 2_u32.pow(self.attempts_without_progress.min(8));
        self.attempts_without_progress += attempts;
        let now = time::Instant::now();
        let until = now + backoff.min(MAX_BACKOFF);
        if self.attempts_without_progress > MAX_ATTEMPTS_WITHOUT_PROGRESS || until >= deadline {
            return Err(problem);
        }
        time::sleep_until(until).await;
        let submission = &mut self.submission;
        let now = time::Instant::now().into_std();
        if self.next_position > submission.open_message.position {
            submission.spec.deadline = submission.spec.deadline.max(now + MIN_RESUME_TIME);
            submission.open_message.position = self.next_position;
        }
        let remaining = submission.spec.deadline.saturating_duration_since(now);
        submission.open_message.deadline_ms = remaining.as_millis() as u64;
        tracing::info!(
            request = %submission.open_message.request,
            position = self.next_position,
            cause = %problem,
            "call taken up again"
        );
        self.updates = submission.send()?;
        (self.attachment, self.finished) = (None, false);
        self.credit_limit = self.next_position + CHUNK_WINDOW;
        Ok(())
    }

    fn apply(&mut self, update: Option<Update>) -> Result<Option<Part>, AttemptEnd> {
        match update {
            // The sender was dropped. The request may have run, so this is not a refusal.
            None => Err(self.on_lost("the router lost its state", 1)),
            Some(Update::Attached(attachment)) => {
                self.attachment = Some(attachment);
                // Credit granted to an earlier target does not carry over.
                if self.next_position > self.submission.open_message.position {
                    self.send_command(|stream, upto| Command::Credit { stream, window_end: upto });
                }
                Ok(None)
            }
            Some(Update::Head { status, content_type }) => {
                Ok(Some(Part::Head { status, content_type }))
            }
            Some(Update::Chunk { position, body }) => self.on_chunk(position, body),
            Some(Update::End { position, ending }) => self.on_end(position, ending).map(Some),
            Some(Update::Refused { refusal, is_transient: transient }) => {
                Err(self.on_refused(refusal, transient))
            }
            Some(Update::Lost { target_failed: false }) => {
                Err(self.on_lost("connection to the target lost", 1))
            }
            Some(Update::Lost { target_failed: true }) => {
                Err(self.on_lost("the target failed", ATTEMPTS_PER_FAILURE))
            }
        }
    }

    fn on_lost(&mut self, reason: &str, attempts: u32) -> AttemptEnd {
        self.finished = true;
        self.retry_if_repeatable(Problem::Failed(reason.into()), attempts)
    }

    const fn retry_if_repeatable(&self, problem: Problem, attempts: u32) -> AttemptEnd {
        if self.submission.spec.repeatable {
            AttemptEnd::Retry(problem, attempts)
        } else {
            AttemptEnd::Final(problem)
        }
    }

    /// Handles a refusal: final unless the answer has begun or the refusal is transient. A refused
    /// request has not run, so any call may be retried.
    fn on_refused(&mut self, refusal: Refusal, transient: bool) -> AttemptEnd {
        self.finished = true;
        if self.next_position > self.submission.open_message.position
            || self.attempts_without_progress > 0 && self.next_position > 0
        {
            return self.retry_if_repeatable(Problem::Failed("no replica can resume it".into()), 1);
        }
        if transient {
            AttemptEnd::Retry(refusal.into(), 1)
        } else {
            AttemptEnd::Final(refusal.into())
        }
    }

    /// Accepts chunks in order only: duplicates are skipped, and a gap ends the attempt.
    fn on_chunk(&mut self, position: u64, body: Bytes) -> Result<Option<Part>, AttemptEnd> {
        if position < self.next_position {
            return Ok(None);
        }
        if position > self.next_position {
            return Err(self.on_gap());
        }
        self.next_position += 1;
        self.attempts_without_progress = 0;
        if self.next_position + CREDIT_STEP_CHUNKS >= self.credit_limit {
            self.credit_limit = self.next_position + CHUNK_WINDOW;
            self.send_command(|stream, upto| Command::Credit { stream, window_end: upto });
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
            Ending::Whole { .. } if position != self.next_position => Err(self.on_gap()),
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
        if let Some(Attachment { stream_id: stream, commands, .. }) = &self.attachment {
            // If the channel is full, credit is sent with the next chunk, and the connection
            // cancels once `updates` is closed.
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
