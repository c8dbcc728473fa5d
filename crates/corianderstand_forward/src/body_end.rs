//! How the body of a target's response ended.

use corianderstand_derives::derives;
use http::{HeaderMap, Version, header, response};

/// How a response delimits its body.
#[derives(key)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// The framing that a response's head states.
    pub fn of(head: &response::Parts) -> Self {
        let is_chunked = head.version >= Version::HTTP_11 && has_last_chunk(&head.headers);
        if is_chunked {
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

/// What was read of a body when it ended.
#[derives(key)]
pub enum Received {
    /// No byte.
    Nothing,
    /// A part of an event, after whole ones or none.
    InsideEvent,
    /// Whole events, or bytes of a body that is no stream.
    Content,
}

impl Received {
    /// The logged name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::InsideEvent => "inside an event",
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
