//! Messages between the threads of a router.

use bytes::Bytes;
use corianderstand_decide::request::{Refusal, RequestKey, RequestSpec};
use corianderstand_schema::messages::{Ending, Load, OpenStream};
use corianderstand_types::names::TargetId;
use smol_str::SmolStr;
use tokio::sync::mpsc;

/// Flow-control window of a stream, in chunks.
pub const CHUNK_WINDOW: u64 = 64;
/// Queue capacity for updates other than chunks, of which each attempt causes only a few.
pub const REPLY_EXTRA_CAPACITY: usize = 16;
/// Capacity of the update queue of one caller's handler.
pub const REPLY_QUEUE_CAPACITY: usize = CHUNK_WINDOW as usize + REPLY_EXTRA_CAPACITY;

/// A request submitted by a handler.
#[derive(Clone, Debug)]
pub struct Call {
    /// The header for the agent; the `decide` thread sets its stream id.
    pub open: OpenStream,
    /// The request body.
    pub body: Bytes,
    /// Update channel of the handler.
    pub reply: mpsc::Sender<Update>,
}

/// Message to a caller's handler.
#[derive(Debug)]
pub enum Update {
    /// The request was sent to a target.
    Attached(Attachment),
    /// Response head of a service.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
    },
    /// Part of the response.
    Chunk {
        /// Index of the chunk in the response.
        position: u64,
        /// Payload.
        body: Bytes,
    },
    /// The response has ended.
    End {
        /// Number of chunks in the complete response.
        position: u64,
        /// Outcome of the response.
        ending: Ending,
    },
    /// The request was not run.
    Refused {
        /// Reason and retry delay.
        refusal: Refusal,
        /// Whether an assigned replica is temporarily unavailable, so that a retry may succeed.
        moving: bool,
    },
    /// The target was lost and no other target accepted the request.
    Lost {
        /// Whether the target failed, rather than the connection to it.
        failed: bool,
    },
}

/// The stream of a request, used to grant credit and to cancel.
#[derive(Clone, Debug)]
pub struct Attachment {
    /// Stream id.
    pub stream: u64,
    /// Command channel of the connection.
    pub commands: mpsc::Sender<Command>,
}

/// Command to a connection.
#[derive(Debug)]
pub enum Command {
    /// Opens a stream.
    Open(Box<Call>),
    /// Extends the flow-control window.
    Credit {
        /// Stream id.
        stream: u64,
        /// First position outside the window.
        upto: u64,
    },
    /// Cancels a stream.
    Cancel {
        /// Stream id.
        stream: u64,
    },
}

/// Event for the `decide` thread.
#[derive(Debug)]
pub enum Event {
    /// A request was submitted.
    Submit(Box<(RequestSpec, Call)>),
    /// A target is available: its connection is open, or it was announced.
    Connected {
        /// The target.
        target: TargetId,
        /// Whether it accepts no new requests.
        draining: bool,
        /// Command channel of the connection.
        commands: mpsc::Sender<Command>,
    },
    /// A target is unreachable or was withdrawn.
    Disconnected(TargetId),
    /// A target accepts no new requests.
    Draining(TargetId),
    /// A target refused a request.
    Refused {
        /// The request.
        key: RequestKey,
        /// Reason and retry delay.
        refusal: Refusal,
        /// Load of the target.
        load: Load,
    },
    /// A request has ended.
    Ended {
        /// The request.
        key: RequestKey,
        /// Load of the target, if reported.
        load: Option<Load>,
    },
    /// The target of a request was lost before the response was complete.
    Lost {
        /// The request.
        key: RequestKey,
        /// First position that was not received.
        position: u64,
        /// Whether the target failed, rather than the connection to it.
        failed: bool,
    },
}
