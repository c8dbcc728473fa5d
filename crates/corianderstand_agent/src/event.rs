//! Messages between the threads of an agent.

use bytes::Bytes;
use corianderstand_decide::request::{RequestKey, RequestSpec};
use corianderstand_schema::messages::{OpenStream, ToRouter};
use corianderstand_types::{units::Mib, weights::Weights};
use std::time::Instant;
use tokio::sync::{mpsc, watch};

pub type ConnectionId = u64;

/// The response side of one stream.
#[derive(Clone, Debug)]
pub struct ResponseStream {
    pub connection: ConnectionId,
    pub stream: u64,
    pub frames: mpsc::Sender<Bytes>,
    /// First position that may not be sent yet; closed on cancellation or disconnection.
    pub credit: watch::Receiver<u64>,
}

impl ResponseStream {
    /// Queues a message; returns false if the connection is closed.
    pub async fn send(&self, message: &ToRouter, body: &[u8]) -> bool {
        let Ok(frame) = corianderstand_link::frame::encode(message, body) else { return false };
        self.frames.send(frame).await.is_ok()
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub open: OpenStream,
    pub body: Bytes,
    pub response: ResponseStream,
    pub deadline: Instant,
}

/// Input of the `decide` thread.
#[derive(Debug)]
pub enum Event {
    Submit(Box<(RequestSpec, Request)>),
    Cancelled {
        connection: ConnectionId,
        stream: u64,
    },
    /// A connection closed, which cancels all its streams.
    Disconnected(ConnectionId),
    RequestFinished {
        key: RequestKey,
    },
    /// A load command finished; `None` if its outcome is unknown.
    LoadFinished(Weights, Option<bool>),
    /// An unload command finished; true if the engine confirmed it.
    UnloadFinished(Weights, bool),
    /// The engine's loaded weights at startup.
    Rebuilt(Vec<(Weights, Mib, bool)>),
    /// Send the contents of the ledger on this connection.
    ListHoldings(mpsc::Sender<Bytes>),
    /// The engine's loaded weights, queried at a version of the ledger; `None` if the query
    /// failed.
    LoadedReported {
        ledger_version: u64,
        loaded: Option<Vec<(Weights, Mib, bool)>>,
    },
    Drain,
}

/// Input of the `target` thread.
#[derive(Debug)]
pub enum Job {
    Run(RequestKey, Box<Request>),
    Refuse(Box<Request>, ToRouter),
    QueryLoaded {
        ledger_version: u64,
    },
    Load {
        weights: Weights,
        memory: Mib,
        /// Fencing token: offset of the slot's assignment.
        fence: u64,
    },
    Unload {
        weights: Weights,
        memory: Mib,
        fence: u64,
    },
}
