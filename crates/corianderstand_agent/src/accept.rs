//! Connections from routers.

use crate::{
    event::{ConnectionId, Event, Request, ResponseStream},
    shape,
};
use bytes::Bytes;
use corianderstand_decide::request::{RequestSpec, Requirement};
use corianderstand_link::{
    PROTOCOL_VERSION,
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

const OUTBOUND_QUEUE_CAPACITY: usize = 1024;

#[derive(Clone)]
pub struct ConnectionContext {
    pub target: TargetId,
    pub incarnation: u64,
    pub idle_timeout: Duration,
    pub events: SyncSender<Event>,
    pub load: watch::Receiver<Load>,
    pub draining: watch::Receiver<bool>,
    pub clock: SharedClock,
}

pub async fn run(listener: TcpListener, context: ConnectionContext) {
    let mut next_id: ConnectionId = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
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
        tracing::info!(connection = id, error = %ended, "connection from a router closed");
    }
    // Blocks only briefly: the `decide` thread never waits for this one.
    drop(events.send(Event::Disconnected(id)));
}

struct Connection {
    id: ConnectionId,
    outbound: mpsc::Sender<Bytes>,
    context: ConnectionContext,
    credits: HashMap<u64, watch::Sender<u64>>,
    /// Whether the router connected to send requests, not only to query the status.
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
        if protocol != PROTOCOL_VERSION {
            tracing::error!(
                router,
                protocol,
                "router uses an incompatible protocol version: upgrade it"
            );
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

    /// Closes the connection if the queue is full, so that its router retries elsewhere and the
    /// other connections are not blocked.
    fn send_event(&self, event: Event) -> Result<(), FrameError> {
        match self.context.events.try_send(event) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                tracing::error!("event queue of the decide thread is full, closing a connection");
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
