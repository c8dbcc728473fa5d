//! One call from the handler's side: hand it in, receive its updates, give credit, cancel.
//!
//! Parts are handed out in order, each once. Where the connection to the agent, the agent or its
//! engine is lost, a call that may be repeated is handed in again from the position reached, so
//! that its caller gets the rest and notices a pause at most.

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

/// Positions passed on before credit is given for more.
const CREDIT_STEP: u64 = CHUNK_WINDOW / 2;
/// Pause before a call is taken up again; doubled each time, so that a target that restarts or
/// a slot that moves is not asked without end.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a call is taken up again.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Tries without progress before a call is given up: some four seconds in all, the time that a
/// planned restart or the replacement of a silent connection takes.
const MAX_TRIES: u32 = 12;
/// Tries that a failure at the engine counts for: a request that makes engines fail must not
/// go round all of them.
const FAILURE_TRIES: u32 = 4;
/// Least time that an answer which has begun has to be taken up elsewhere. Its deadline was
/// met by its first part, so it must not be refused for that deadline.
const RESUME_TIME: Duration = Duration::from_secs(10);
/// When to come back if this router is overwhelmed.
const RETRY_BUSY: Duration = Duration::from_secs(1);

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
struct Asked {
    events: SyncSender<Event>,
    work: RequestSpec,
    open: OpenStream,
    body: Bytes,
}

impl Asked {
    fn hand_in(&self) -> Result<mpsc::Receiver<Update>, Problem> {
        let (reply, rx) = mpsc::channel(REPLY_QUEUE_CAPACITY);
        let call = Call { open: self.open.clone(), body: self.body.clone(), reply };
        let event = Event::Submit(Box::new((self.work.clone(), call)));
        let refused = Problem::Refused(RefusalReason::QueueFull, RETRY_BUSY);
        self.events.try_send(event).map_err(|_| refused)?;
        Ok(rx)
    }
}

/// Why no further part comes from this try.
enum Stop {
    /// The call is over.
    Over(Problem),
    /// The try is over; it counts for so many.
    Interrupted(Problem, u32),
}

/// A call in progress; dropping it cancels it.
pub struct CallInProgress {
    asked: Asked,
    rx: mpsc::Receiver<Update>,
    attachment: Option<Attachment>,
    position: u64,
    credited: u64,
    tries: u32,
    interrupted: Option<(Problem, u32)>,
    over: bool,
}

impl CallInProgress {
    /// Hands a call to the `decide` thread.
    ///
    /// # Errors
    ///
    /// A full ring is a refusal: waiting for room would only make the answer late.
    pub fn submit(
        events: &SyncSender<Event>,
        work: RequestSpec,
        mut open: OpenStream,
        body: Bytes,
    ) -> Result<Self, Problem> {
        open.window = CHUNK_WINDOW;
        let position = open.position;
        let asked = Asked { events: events.clone(), work, open, body };
        let rx = asked.hand_in()?;
        let credited = position + CHUNK_WINDOW;
        let (attachment, interrupted) = (None, None);
        Ok(Self { asked, rx, attachment, position, credited, tries: 0, interrupted, over: false })
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
            if let Some((problem, tries)) = self.interrupted.take() {
                self.take_up(problem, tries, deadline).await?;
            }
            let update = time::timeout_at(deadline, self.rx.recv()).await;
            match self.take(update.map_err(|_| Problem::Deadline)?) {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(Stop::Over(problem)) => return Err(problem),
                Err(Stop::Interrupted(problem, tries)) => self.interrupted = Some((problem, tries)),
            }
        }
    }

    /// The next part if it has come already.
    ///
    /// # Errors
    ///
    /// A [`Problem`] ends the call.
    pub fn try_next(&mut self) -> Result<Option<Part>, Problem> {
        while self.interrupted.is_none()
            && let Ok(update) = self.rx.try_recv()
        {
            match self.take(Some(update)) {
                Ok(Some(part)) => return Ok(Some(part)),
                Ok(None) => {}
                Err(Stop::Over(problem)) => return Err(problem),
                Err(Stop::Interrupted(problem, tries)) => self.interrupted = Some((problem, tries)),
            }
        }
        Ok(None)
    }

    /// Hands the call in again from the position reached, after a pause.
    async fn take_up(
        &mut self,
        problem: Problem,
        tries: u32,
        deadline: time::Instant,
    ) -> Result<(), Problem> {
        let pause = FIRST_PAUSE * 2_u32.pow(self.tries.min(8));
        self.tries += tries;
        let now = time::Instant::now();
        let until = now + pause.min(LONGEST_PAUSE);
        if self.tries > MAX_TRIES || until >= deadline {
            return Err(problem);
        }
        time::sleep_until(until).await;
        let asked = &mut self.asked;
        let now = time::Instant::now().into_std();
        if self.position > asked.open.position {
            asked.work.deadline = asked.work.deadline.max(now + RESUME_TIME);
            asked.open.position = self.position;
        }
        let left = asked.work.deadline.saturating_duration_since(now);
        asked.open.deadline_ms = left.as_millis() as u64;
        tracing::info!(
            request = %asked.open.request,
            position = self.position,
            cause = %problem,
            "call taken up again"
        );
        self.rx = asked.hand_in()?;
        (self.attachment, self.over) = (None, false);
        self.credited = self.position + CHUNK_WINDOW;
        Ok(())
    }

    fn take(&mut self, update: Option<Update>) -> Result<Option<Part>, Stop> {
        match update {
            // Whoever held the far end has let go of it without an ending. That tells nothing of
            // whether the request ran, so it must not be answered as a refusal.
            None => Err(self.lost("its state was lost", 1)),
            Some(Update::Attached(attachment)) => {
                self.attachment = Some(attachment);
                // A second target does not know the credit that the first was given.
                if self.position > self.asked.open.position {
                    self.command(|stream, upto| Command::Credit { stream, upto });
                }
                Ok(None)
            }
            Some(Update::Head { status, content_type }) => {
                Ok(Some(Part::Head { status, content_type }))
            }
            Some(Update::Chunk { position, body }) => self.chunk(position, body),
            Some(Update::End { position, ending }) => self.end(position, ending).map(Some),
            Some(Update::Refused { refusal, moving }) => Err(self.refused(refusal, moving)),
            Some(Update::Lost { failed: false }) => {
                Err(self.lost("the connection to the target broke", 1))
            }
            Some(Update::Lost { failed: true }) => {
                Err(self.lost("the target failed", FAILURE_TRIES))
            }
        }
    }

    fn lost(&mut self, reason: &str, tries: u32) -> Stop {
        self.over = true;
        self.interrupted(Problem::Failed(reason.into()), tries)
    }

    /// What may run a second time is taken up again; of the rest the caller hears.
    const fn interrupted(&self, problem: Problem, tries: u32) -> Stop {
        if self.asked.work.repeatable {
            Stop::Interrupted(problem, tries)
        } else {
            Stop::Over(problem)
        }
    }

    /// A refusal is passed on, so that its caller can go elsewhere at once; but an answer that
    /// has begun looks for another replica, and while a target restarts or a slot moves, which
    /// takes a moment, a planned stop must not be seen by callers. A refused request has not
    /// run, so this holds for those that may not be repeated as well.
    fn refused(&mut self, refusal: Refusal, moving: bool) -> Stop {
        self.over = true;
        if self.position > self.asked.open.position || self.tries > 0 && self.position > 0 {
            return self.interrupted(Problem::Failed("no replica takes it up".into()), 1);
        }
        if moving { Stop::Interrupted(refusal.into(), 1) } else { Stop::Over(refusal.into()) }
    }

    /// Takes chunks in order only: one that was sent twice is skipped, and a gap ends the try,
    /// as an answer with a hole would look whole.
    fn chunk(&mut self, position: u64, body: Bytes) -> Result<Option<Part>, Stop> {
        if position < self.position {
            return Ok(None);
        }
        if position > self.position {
            return Err(self.gap());
        }
        self.position += 1;
        self.tries = 0;
        if self.position + CREDIT_STEP >= self.credited {
            self.credited = self.position + CHUNK_WINDOW;
            self.command(|stream, upto| Command::Credit { stream, upto });
        }
        Ok(Some(Part::Chunk(body)))
    }

    fn gap(&mut self) -> Stop {
        if !self.over {
            self.command(|stream, _| Command::Cancel { stream });
            self.over = true;
        }
        self.interrupted(Problem::Failed("a part of the answer is missing".into()), FAILURE_TRIES)
    }

    fn end(&mut self, position: u64, ending: Ending) -> Result<Part, Stop> {
        self.over = true;
        match ending {
            Ending::Whole { .. } if position != self.position => Err(self.gap()),
            Ending::Whole { prompt_tokens, completion_tokens, finish_reason } => {
                Ok(Part::Whole { prompt_tokens, completion_tokens, finish_reason })
            }
            Ending::Failed { reason } => {
                Err(self.interrupted(Problem::Failed(reason), FAILURE_TRIES))
            }
            Ending::Unknown { reason } => Err(Stop::Over(Problem::Unknown(reason))),
            Ending::NotRun { reason } => Err(Stop::Over(Problem::NotRun(reason))),
        }
    }

    fn command(&self, command: impl FnOnce(u64, u64) -> Command) {
        if let Some(Attachment { stream, commands, .. }) = &self.attachment {
            // A full ring delays credit until the next chunk, and a cancel until the
            // connection finds the handler's ring closed.
            drop(commands.try_send(command(*stream, self.credited)));
        }
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        if !self.over {
            self.rx.close();
            while let Ok(update) = self.rx.try_recv() {
                if let Update::Attached(attachment) = update {
                    self.attachment = Some(attachment);
                }
            }
            self.command(|stream, _| Command::Cancel { stream });
        }
    }
}

#[cfg(test)]
mod tests;
