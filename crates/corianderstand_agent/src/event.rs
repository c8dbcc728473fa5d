//! What the threads of an agent tell each other.

use bytes::Bytes;
use corianderstand_decide::request::{RequestKey, RequestSpec};
use corianderstand_schema::messages::{OpenStream, ToRouter};
use corianderstand_types::{units::Mib, weights::Weights};
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// Identity of a connection within this process.
pub type ConnectionId = u64;

/// One stream of one connection, as the other threads hold it.
#[derive(Clone, Debug)]
pub struct ResponseStream {
    /// The connection.
    pub connection: ConnectionId,
    /// Its number there.
    pub stream: u64,
    /// Frames to the router.
    pub frames: mpsc::Sender<Bytes>,
    /// First position not to be sent yet; closed when the router has cancelled or is gone.
    pub credit: watch::Receiver<u64>,
}

impl ResponseStream {
    /// Queues a message; false if the connection is gone.
    pub async fn send(&self, message: &ToRouter, body: &[u8]) -> bool {
        let Ok(frame) = corianderstand_link::frame::encode(message, body) else { return false };
        self.frames.send(frame).await.is_ok()
    }
}

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Request {
    /// The header.
    pub open: OpenStream,
    /// The caller's body.
    pub body: Bytes,
    /// Where its answer goes.
    pub response: ResponseStream,
    /// When its caller must have an answer.
    pub deadline: Instant,
}

/// To the `decide` thread.
#[derive(Debug)]
pub enum Event {
    /// A request has come.
    Submit(Box<(RequestSpec, Request)>),
    /// A router no longer waits.
    Cancelled {
        /// The connection.
        connection: ConnectionId,
        /// The stream on it.
        stream: u64,
    },
    /// A connection is gone, and all its streams with it.
    Disconnected(ConnectionId),
    /// A request has ended.
    RequestFinished {
        /// Which.
        key: RequestKey,
    },
    /// An order to load was answered; `None` if its outcome is unknown.
    LoadFinished(Weights, Option<bool>),
    /// An order to unload was answered.
    UnloadFinished(Weights, bool),
    /// What the engine says is loaded.
    Rebuilt(Vec<(Weights, Mib, bool)>),
    /// Tell what the target holds, on this connection.
    ListHoldings(mpsc::Sender<Bytes>),
    /// What the engine says is loaded, asked as of a version of the ledger; `None` if it did
    /// not say.
    LoadedReported {
        /// Version of the ledger.
        ledger_version: u64,
        /// The answer.
        loaded: Option<Vec<(Weights, Mib, bool)>>,
    },
    /// Take no new work.
    Drain,
}

/// To the `target` thread.
#[derive(Debug)]
pub enum Job {
    /// Run a request.
    Run(RequestKey, Box<Request>),
    /// Refuse a request.
    Refuse(Box<Request>, ToRouter),
    /// Ask the engine what is loaded.
    QueryLoaded {
        /// Version of the ledger.
        ledger_version: u64,
    },
    /// Load under a fencing number.
    Load {
        /// What.
        weights: Weights,
        /// Memory reserved.
        memory: Mib,
        /// Offset of the slot's assignment.
        fence: u64,
    },
    /// Unload under a fencing number.
    Unload {
        /// What.
        weights: Weights,
        /// Memory reserved.
        memory: Mib,
        /// Offset of the slot's assignment.
        fence: u64,
    },
}
