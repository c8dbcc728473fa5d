//! Messages between the threads of a router.

use bytes::Bytes;
use corianderstand_decide::request::{Refusal, RequestKey, RequestSpec};
use corianderstand_schema::messages::{Ending, Load, OpenStream};
use corianderstand_types::names::TargetId;
use smol_str::SmolStr;
use tokio::sync::mpsc;

/// Flow-control window of a response stream, in chunks.
pub const CHUNK_WINDOW: u64 = 64;
/// Queue capacity reserved for updates that are not response chunks.
pub const REPLY_EXTRA_CAPACITY: usize = 16;
pub const REPLY_QUEUE_CAPACITY: usize = CHUNK_WINDOW as usize + REPLY_EXTRA_CAPACITY;

#[derive(Clone, Debug)]
pub struct Call {
    /// Header of the request for the agent; the `decide` thread sets its stream id.
    pub open_message: OpenStream,
    pub body: Bytes,
    pub update_tx: mpsc::Sender<Update>,
}

/// Message to a caller's handler.
#[derive(Debug)]
pub enum Update {
    /// The request was sent to a target.
    Attached(Attachment),
    /// Response head of a service.
    Head {
        status: u16,
        content_type: SmolStr,
    },
    Chunk {
        position: u64,
        body: Bytes,
    },
    End {
        /// Number of chunks in the complete response.
        position: u64,
        ending: Ending,
    },
    /// The request was not run.
    Refused {
        refusal: Refusal,
        /// Whether a replica is only temporarily unavailable.
        is_transient: bool,
    },
    /// The target was lost and the request was not sent to another.
    Lost {
        target_failed: bool,
    },
}

/// The stream of a request, used to grant credit and to cancel.
#[derive(Clone, Debug)]
pub struct Attachment {
    pub stream_id: u64,
    pub commands: mpsc::Sender<Command>,
}

/// Command to the task of a connection to an agent.
#[derive(Debug)]
pub enum Command {
    Open(Box<Call>),
    /// Extends the flow-control window.
    Credit {
        stream: u64,
        /// Index of the first chunk that the target may not send yet.
        window_end: u64,
    },
    Cancel {
        stream: u64,
    },
}

/// Event for the `decide` thread.
#[derive(Debug)]
pub enum Event {
    Submit(Box<(RequestSpec, Call)>),
    /// A target is available: its connection is open, or it was announced.
    Connected {
        target: TargetId,
        is_draining: bool,
        commands: mpsc::Sender<Command>,
    },
    /// A target is unreachable or was withdrawn.
    Disconnected(TargetId),
    Draining(TargetId),
    Refused {
        key: RequestKey,
        refusal: Refusal,
        load: Load,
    },
    Ended {
        key: RequestKey,
        load: Option<Load>,
    },
    /// The target of a request was lost before the response was complete.
    Lost {
        key: RequestKey,
        /// Index of the first response chunk that was not received.
        position: u64,
        /// Whether the target failed, rather than the connection to it.
        failed: bool,
    },
}
