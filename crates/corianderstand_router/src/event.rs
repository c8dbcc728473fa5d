//! What the threads of a router tell each other.

use bytes::Bytes;
use corianderstand_decide::request::{Refusal, RequestKey, RequestSpec};
use corianderstand_schema::messages::{Ending, Load, OpenStream};
use corianderstand_types::names::TargetId;
use smol_str::SmolStr;
use tokio::sync::mpsc;

/// Chunks on their way to one caller; a slow reader holds up only itself.
pub const CHUNK_WINDOW: u64 = 64;
/// Updates that are no chunks: few for each target that a request is tried at.
pub const REPLY_EXTRA_CAPACITY: usize = 16;
/// Updates that wait for one caller's handler: the window, and the few that are no chunks.
pub const REPLY_QUEUE_CAPACITY: usize = CHUNK_WINDOW as usize + REPLY_EXTRA_CAPACITY;

/// A request as the handler hands it in.
#[derive(Clone, Debug)]
pub struct Call {
    /// The header for the agent; its stream number is filled in later.
    pub open: OpenStream,
    /// The caller's body.
    pub body: Bytes,
    /// To the handler.
    pub reply: mpsc::Sender<Update>,
}

/// To a caller's handler.
#[derive(Debug)]
pub enum Update {
    /// The request is with a target.
    Attached(Attachment),
    /// Status of a service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: SmolStr,
    },
    /// Part of the answer.
    Chunk {
        /// Its place.
        position: u64,
        /// Its bytes.
        body: Bytes,
    },
    /// The answer is over.
    End {
        /// Chunks in the whole answer.
        position: u64,
        /// How it ended.
        ending: Ending,
    },
    /// The request is not run.
    Refused {
        /// Why.
        refusal: Refusal,
        /// Whether a replica that was decided for is out of service for a moment.
        moving: bool,
    },
    /// The target was lost, and no other has taken the request up.
    Lost {
        /// Whether the target failed, rather than the connection to it.
        failed: bool,
    },
}

/// Where a request's stream is, for credit and cancelling.
#[derive(Clone, Debug)]
pub struct Attachment {
    /// Number of the stream on its connection.
    pub stream: u64,
    /// To the connection.
    pub commands: mpsc::Sender<Command>,
}

/// To a connection.
#[derive(Debug)]
pub enum Command {
    /// Open a stream.
    Open(Box<Call>),
    /// More chunks may come.
    Credit {
        /// The stream.
        stream: u64,
        /// First position not to be sent yet.
        upto: u64,
    },
    /// Nobody waits any more.
    Cancel {
        /// The stream.
        stream: u64,
    },
}

/// To the `decide` thread.
#[derive(Debug)]
pub enum Event {
    /// A request has come.
    Submit(Box<(RequestSpec, Call)>),
    /// A connection is up.
    Connected {
        /// The target.
        target: TargetId,
        /// Whether it takes no new work.
        draining: bool,
        /// To the connection.
        commands: mpsc::Sender<Command>,
    },
    /// A connection is gone.
    Disconnected(TargetId),
    /// A target takes no new work.
    Draining(TargetId),
    /// A target refused a request.
    Refused {
        /// Which.
        key: RequestKey,
        /// Why.
        refusal: Refusal,
        /// How busy the target is.
        load: Load,
    },
    /// A request has ended.
    Ended {
        /// Which.
        key: RequestKey,
        /// How busy the target is, if it told.
        load: Option<Load>,
    },
    /// A request's target was lost before its answer was whole.
    Lost {
        /// Which.
        key: RequestKey,
        /// First position that has not come.
        position: u64,
        /// Whether the target failed, rather than the connection to it.
        failed: bool,
    },
}
