//! One call from the handler's side: hand it in, receive its updates, give credit, cancel.

use crate::{
    event::{Attachment, Call, Command, Event, REPLY_RING, Update, WINDOW},
    problem::Problem,
};
use bytes::Bytes;
use corianderstand_decide::work::Work;
use corianderstand_schema::messages::{Ending, OpenStream, RefusalReason};
use smol_str::SmolStr;
use std::{sync::mpsc::SyncSender, time::Duration};
use tokio::{sync::mpsc, time};

/// Positions passed on before credit is given for more.
const CREDIT_STEP: u64 = WINDOW / 2;
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

/// A call in progress; dropping it cancels it.
pub struct CallInProgress {
    rx: mpsc::Receiver<Update>,
    attachment: Option<Attachment>,
    position: u64,
    credited: u64,
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
        work: Work,
        mut open: OpenStream,
        body: Bytes,
    ) -> Result<Self, Problem> {
        let (reply, rx) = mpsc::channel(REPLY_RING);
        open.window = WINDOW;
        let event = Event::Submit(Box::new((work, Call { open, body, reply })));
        let refused = Problem::Refused(RefusalReason::QueueFull, RETRY_BUSY);
        events.try_send(event).map_err(|_| refused)?;
        Ok(Self { rx, attachment: None, position: 0, credited: WINDOW, over: false })
    }

    /// The next part of the answer, by `deadline`.
    ///
    /// # Errors
    ///
    /// A [`Problem`] ends the call.
    pub async fn next(&mut self, deadline: time::Instant) -> Result<Part, Problem> {
        loop {
            let update = time::timeout_at(deadline, self.rx.recv()).await;
            let update = update.map_err(|_| Problem::Deadline)?;
            // Whoever held the far end has let go of it without an ending. That tells nothing of
            // whether the request ran, so it must not be answered as a refusal.
            let update = update.ok_or_else(|| Problem::Failed("its state was lost".into()))?;
            if let Some(part) = self.take(update)? {
                return Ok(part);
            }
        }
    }

    /// The next part if it has come already.
    ///
    /// # Errors
    ///
    /// A [`Problem`] ends the call.
    pub fn try_next(&mut self) -> Result<Option<Part>, Problem> {
        while let Ok(update) = self.rx.try_recv() {
            if let Some(part) = self.take(update)? {
                return Ok(Some(part));
            }
        }
        Ok(None)
    }

    fn take(&mut self, update: Update) -> Result<Option<Part>, Problem> {
        match update {
            Update::Attached(attachment) => {
                self.attachment = Some(attachment);
                Ok(None)
            }
            Update::Head { status, content_type } => Ok(Some(Part::Head { status, content_type })),
            Update::Chunk { position, body } => self.chunk(position, body),
            Update::End { position, ending } => self.end(position, ending).map(Some),
            Update::Refused(refusal) => {
                self.over = true;
                Err(refusal.into())
            }
            Update::Lost => {
                self.over = true;
                Err(Problem::Failed("the connection to the target broke".into()))
            }
        }
    }

    /// Takes chunks in order only: one that was sent twice is skipped, and a gap ends the call
    /// with an error, as an answer with a hole would look whole.
    fn chunk(&mut self, position: u64, body: Bytes) -> Result<Option<Part>, Problem> {
        if position < self.position {
            return Ok(None);
        }
        if position > self.position {
            return Err(Problem::Failed("a part of the answer is missing".into()));
        }
        self.position += 1;
        if self.position + CREDIT_STEP >= self.credited {
            self.credited = self.position + WINDOW;
            self.command(|stream, upto| Command::Credit { stream, upto });
        }
        Ok(Some(Part::Chunk(body)))
    }

    fn end(&mut self, position: u64, ending: Ending) -> Result<Part, Problem> {
        self.over = true;
        match ending {
            Ending::Whole { .. } if position != self.position => {
                Err(Problem::Failed("a part of the answer is missing".into()))
            }
            Ending::Whole { prompt_tokens, completion_tokens, finish_reason } => {
                Ok(Part::Whole { prompt_tokens, completion_tokens, finish_reason })
            }
            Ending::Failed { reason } => Err(Problem::Failed(reason)),
            Ending::Unknown { reason } => Err(Problem::Unknown(reason)),
            Ending::NotRun { reason } => Err(Problem::NotRun(reason)),
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
