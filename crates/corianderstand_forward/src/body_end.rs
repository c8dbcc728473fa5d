//! How the body of a target's response ended, and whether it was read whole.
//!
//! The end of a connection is the end of an answer only if the answer doesn't say otherwise. Nothing is passed on as
//! complete without a [`Whole`]. [`Read::end`] tells what the connection says of it; where that leaves it open,
//! [`crate::ended_targets::conclude`] asks whether the target is still there.

use bytes::{Bytes, BytesMut};
use corianderstand_derives::derives;
use http::{HeaderMap, Method, StatusCode, Version, header, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::cell::Cell;

/// How a response delimits its body.
#[derives(key)]
pub enum Framing {
    /// There is none, as its status or the request's method says.
    Absent,
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// The framing that the head of the response to a request of `method` states.
    pub fn of(head: &response::Parts, method: &Method) -> Self {
        let has_no_body = method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let is_chunked = head.version >= Version::HTTP_11 && has_last_chunk(&head.headers);
        if has_no_body {
            Self::Absent
        } else if is_chunked {
            Self::Chunks
        } else if head.headers.contains_key(header::TRANSFER_ENCODING) {
            Self::UntilClose
        } else if head.headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// The logged name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Absent => "no body",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::UntilClose => "until close",
        }
    }
}

/// Whether `chunked` is the last transfer coding.
fn has_last_chunk(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Removes a length that the transfer coding overrides: the caller would take it for that of the body. Returns whether
/// there was one, so that the target's connection can't be trusted.
pub fn remove_overridden_length(headers: &mut HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
        && headers.remove(header::CONTENT_LENGTH).is_some()
}

/// What was read of a body when it ended.
#[derives(key)]
pub enum Received {
    /// No byte.
    Nothing,
    /// A part of an event, after whole ones or none.
    InsideEvent,
    /// Nothing of an event that broke off at the target before.
    LacksEvent,
    /// Whole events, or bytes of a body that is no stream.
    Content,
}

impl Received {
    /// The logged name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::InsideEvent => "inside an event",
            Self::LacksEvent => "lacks an event",
            Self::Content => "content",
        }
    }
}

/// How the read of a body ended.
#[derives(key)]
pub struct Read {
    /// How the response delimits its body.
    pub framing: Framing,
    /// What was read.
    pub received: Received,
    /// Whether the read ended with an error instead of the body's end.
    pub failed: bool,
}

/// Proof that an answer was read whole.
#[derives(key)]
pub struct Whole(());

/// A body that was read whole.
#[derives(data)]
pub struct WholeBody {
    /// The body.
    pub bytes: Bytes,
    /// That it is whole.
    pub whole: Whole,
}

/// Why an answer isn't whole.
#[derives(key)]
pub enum Break {
    /// Its connection was lost before its stated end.
    ConnectionLost,
    /// It ended inside an event.
    InsideEvent,
    /// It lacks an event that another target had begun.
    LacksEvent,
    /// It ended with its connection before its first byte, which a target that has no body to send states.
    Empty,
    /// Its target ended at the same time.
    TargetEnded,
    /// This router was paused meanwhile: its target may have ended, and been started again under its name.
    AfterPause,
}

impl Break {
    /// The logged reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "broken: connection lost",
            Self::InsideEvent => "broken: inside an event",
            Self::LacksEvent => "broken: lacks an event",
            Self::Empty => "broken: no byte",
            Self::TargetEnded => "broken: target ended",
            Self::AfterPause => "broken: this router was paused",
        }
    }
}

/// What a read tells of the end of an answer.
#[derives(key)]
pub enum End {
    /// It is whole.
    Whole(Whole),
    /// Something is missing.
    Broken(Break),
    /// It ended with its connection, as whole answers without a length and answers of targets that end do.
    Open(Open),
}

/// An answer that the connection's end leaves open.
#[derives(key)]
pub struct Open(());

impl Open {
    /// Takes the answer for whole, as its target goes on.
    pub const fn presume_whole(self) -> Whole {
        Whole(())
    }
}

impl Read {
    /// What the connection tells of the end of the answer.
    pub const fn end(self) -> End {
        if self.failed {
            return End::Broken(Break::ConnectionLost);
        }
        match (self.received, self.framing) {
            (Received::InsideEvent, _) => End::Broken(Break::InsideEvent),
            (Received::LacksEvent, _) => End::Broken(Break::LacksEvent),
            (Received::Nothing, Framing::UntilClose) => End::Broken(Break::Empty),
            (Received::Content, Framing::UntilClose) => End::Open(Open(())),
            (Received::Nothing | Received::Content, _) => End::Whole(Whole(())),
        }
    }
}

/// Largest body that is no stream, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Most that is buffered of all bodies that are being read, in bytes: a part of a small host's memory.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// What each body may have whatever the others take, in bytes: else a few that never end would break off all answers.
const OWN_BUFFER_BYTES: usize = 32 << 10;

/// Bytes that are buffered of bodies that are being read, over all requests of a router, beside what each may have.
#[derive(Debug, Default)]
pub struct Buffers {
    used: Cell<usize>,
}

/// What one body takes, and what it takes of [`Buffers`] until it is dropped.
struct Share<'a> {
    buffers: &'a Buffers,
    len: usize,
    shared_len: usize,
}

impl Share<'_> {
    /// Takes more; false if there is not enough.
    fn grow(&mut self, len: usize) -> bool {
        let total = self.len.saturating_add(len);
        let shared_len = total.saturating_sub(OWN_BUFFER_BYTES);
        let used = self.buffers.used.get().saturating_add(shared_len - self.shared_len);
        if used > MAX_BUFFERED_BYTES {
            return false;
        }
        self.buffers.used.set(used);
        (self.len, self.shared_len) = (total, shared_len);
        true
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.buffers.used.set(self.buffers.used.get() - self.shared_len);
    }
}

/// Reads a body that is no stream, and returns what came and how it ended. The read fails at a body that is too large,
/// by itself or beside the others that are being read.
pub async fn collect(body: Incoming, framing: Framing, buffers: &Buffers) -> (Read, Bytes) {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut share = Share { buffers, len: 0, shared_len: 0 };
    let mut bytes = BytesMut::new();
    let mut failed = false;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                if !share.grow(data.len()) {
                    tracing::warn!(len = bytes.len(), "no memory for the rest of an answer");
                    failed = true;
                    break;
                }
                bytes.extend_from_slice(data);
            }
            Err(error) => {
                tracing::debug!(%error, "answer interrupted");
                failed = true;
                break;
            }
        }
    }
    let received = if bytes.is_empty() { Received::Nothing } else { Received::Content };
    (Read { framing, received, failed }, bytes.freeze())
}

/// The logged name of a conclusion.
pub const fn describe(concluded: Result<Whole, Break>) -> &'static str {
    match concluded {
        Ok(_) => "whole",
        Err(why) => why.as_str(),
    }
}
