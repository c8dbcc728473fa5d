//! Connections from routers.

use crate::{
    event::{ConnectionId, Event, Request, ResponseStream},
    shape,
};
use bytes::Bytes;
use corianderstand_decide::request::{RequestSpec, Requirement};
use corianderstand_link::{
    PROTOCOL,
    connection::{self, Reader},
    frame::{self, FrameError},
};
use corianderstand_schema::messages::{Load, OpenStream, Operation, ToAgent, ToRouter};
use corianderstand_types::{clock::SharedClock, names::TargetId, weights::Weights};
use std::{
    collections::HashMap,
    sync::mpsc::{SyncSender, TrySendError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};

/// Frames that wait to be written to one router.
const OUTBOUND_QUEUE_CAPACITY: usize = 1024;

/// What every connection needs.
#[derive(Clone)]
pub struct ConnectionContext {
    /// Name of the target.
    pub target: TargetId,
    /// Start of this process.
    pub incarnation: u64,
    /// Limit on silence.
    pub idle_timeout: Duration,
    /// To the `decide` thread.
    pub events: SyncSender<Event>,
    /// How busy the target is.
    pub load: watch::Receiver<Load>,
    /// Whether new work is taken.
    pub draining: watch::Receiver<bool>,
    /// Time.
    pub clock: SharedClock,
}

/// Accepts for ever.
pub async fn run(listener: TcpListener, context: ConnectionContext) {
    let mut next_id: ConnectionId = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "connection not accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        next_id += 1;
        tokio::spawn(serve(stream, next_id, context.clone()));
    }
}

async fn serve(stream: TcpStream, id: ConnectionId, context: ConnectionContext) {
    let Ok((reader, writer)) = connection::split(stream, context.idle_timeout) else { return };
    let (outbound, rx) = mpsc::channel(OUTBOUND_QUEUE_CAPACITY);
    let events = context.events.clone();
    let mut connection =
        Connection { id, outbound, context, credits: HashMap::new(), sends_requests: false };
    let ended = tokio::select! {
        ended = connection.read(reader) => ended,
        written = writer.run(rx) => written.err().unwrap_or(FrameError::Closed),
    };
    if connection.sends_requests {
        tracing::info!(connection = id, error = %ended, "connection from a router ended");
    }
    // The ring is bounded and its reader never waits for this thread, so this ends soon.
    drop(events.send(Event::Disconnected(id)));
}

struct Connection {
    id: ConnectionId,
    outbound: mpsc::Sender<Bytes>,
    context: ConnectionContext,
    credits: HashMap<u64, watch::Sender<u64>>,
    /// Whether a router greeted to send requests, not only to ask what is loaded.
    sends_requests: bool,
}

impl Connection {
    async fn read(&mut self, mut reader: Reader) -> FrameError {
        let mut draining = self.context.draining.clone();
        loop {
            let next = tokio::select! {
                next = reader.next::<ToAgent>() => next,
                Ok(()) = draining.changed() => {
                    if !self.send(&ToRouter::Draining).await {
                        return FrameError::Closed;
                    }
                    continue;
                }
            };
            let (message, body) = match next {
                Ok(next) => next,
                Err(error) => return error,
            };
            if let Err(error) = self.handle(message, body).await {
                return error;
            }
        }
    }

    async fn send(&self, message: &ToRouter) -> bool {
        let Ok(frame) = frame::encode(message, b"") else { return false };
        self.outbound.send(frame).await.is_ok()
    }

    async fn handle(&mut self, message: ToAgent, body: Bytes) -> Result<(), FrameError> {
        match message {
            ToAgent::Hello { router, incarnation, protocol } => {
                self.sends_requests = incarnation != corianderstand_link::STATUS_QUERY_INCARNATION;
                self.welcome(&router.0, protocol).await
            }
            ToAgent::Open(open) => self.open(open, body),
            ToAgent::Credit { stream, upto } => {
                if let Some(credit) = self.credits.get(&stream) {
                    credit.send_replace(upto);
                }
                Ok(())
            }
            ToAgent::Cancel { stream } => {
                self.credits.remove(&stream);
                self.send_event(Event::Cancelled { connection: self.id, stream })
            }
            ToAgent::List => self.send_event(Event::ListHoldings(self.outbound.clone())),
            ToAgent::Ping { nonce } => {
                let load = self.context.load.borrow().clone();
                self.send(&ToRouter::Pong { nonce, load }).await;
                self.credits.retain(|_, credit| !credit.is_closed());
                Ok(())
            }
        }
    }

    async fn welcome(&self, router: &str, protocol: u32) -> Result<(), FrameError> {
        if protocol != PROTOCOL {
            tracing::error!(router, protocol, "router speaks another version: upgrade it");
            return Err(FrameError::Closed);
        }
        let target = self.context.target.clone();
        let draining = *self.context.draining.borrow();
        let incarnation = self.context.incarnation;
        self.send(&ToRouter::Welcome { target, incarnation, draining }).await;
        Ok(())
    }

    fn open(&mut self, open: OpenStream, body: Bytes) -> Result<(), FrameError> {
        let (credit, rx) = watch::channel(open.position + open.window);
        let stream = open.stream;
        let response = ResponseStream {
            connection: self.id,
            stream,
            frames: self.outbound.clone(),
            credit: rx,
        };
        self.credits.insert(stream, credit);
        let spec = request_spec(&open, &body, self.context.clock.now());
        let deadline = spec.deadline;
        let request = Request { open, body, response, deadline };
        self.send_event(Event::Submit(Box::new((spec, request))))
    }

    /// A full ring means that the `decide` thread is far behind; the connection is closed, so
    /// that its router goes elsewhere, rather than holding up all other connections.
    fn send_event(&self, event: Event) -> Result<(), FrameError> {
        match self.context.events.try_send(event) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                tracing::error!("the decide ring is full: closing a connection");
                Err(FrameError::Closed)
            }
            Err(TrySendError::Disconnected(_)) => Err(FrameError::Closed),
        }
    }
}

fn request_spec(open: &OpenStream, body: &[u8], now: std::time::Instant) -> RequestSpec {
    let requirement = match &open.operation {
        Operation::Completion { model, version, adapter }
        | Operation::Chat { model, version, adapter } => {
            let base = Weights::model(model.clone(), version.clone());
            let adapter = adapter.as_ref().map(|adapter| Weights {
                model: model.clone(),
                version: adapter.version.clone(),
                adapter: Some(adapter.name.clone()),
            });
            Requirement::Weights { base, adapter }
        }
        Operation::Call { service, .. } => Requirement::Service(service.clone()),
    };
    RequestSpec {
        team: open.team.clone(),
        requirement,
        urgency: open.urgency,
        deadline: now + Duration::from_millis(open.deadline_ms),
        repeatable: true,
        shape: shape::request_shape(&open.operation, body),
    }
}
