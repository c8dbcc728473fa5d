//! A connection to an agent, which multiplexes request streams.
//!
//! [`crate::dial`] opens and closes it; both run on the `link` thread.

use crate::{
    event::{Attachment, Call, Command, Event, Update},
    heartbeat::{HeartbeatAction, HeartbeatMonitor},
};
use bytes::Bytes;
use corianderstand_control::budget::{Budget, TrafficClass};
use corianderstand_decide::request::{Refusal, RequestKey};
use corianderstand_link::{
    PROTOCOL_VERSION,
    connection::{self, Reader},
    frame::{self, FrameError},
};
use corianderstand_schema::{
    messages::{Ending, ToAgent, ToRouter},
    process::Timing,
};
use corianderstand_types::names::{TargetId, WriterId};
use slotmap::{Key, KeyData};
use std::{
    collections::HashMap,
    sync::{Arc, mpsc::SyncSender},
    time::Duration,
};
use tokio::{net::TcpStream, sync::mpsc, time};

pub const LINK_QUEUE_CAPACITY: usize = 4096;

#[derive(Clone)]
pub struct LinkContext {
    pub router: WriterId,
    pub incarnation: u64,
    pub timing: Timing,
    pub events: SyncSender<Event>,
    pub budget: Arc<Budget>,
}

impl LinkContext {
    pub fn send_event(&self, event: Event) {
        // Cannot deadlock: the receiver never waits for this thread.
        drop(self.events.send(event));
    }
}

pub enum CloseReason {
    /// No request used the connection for [`crate::dial::IDLE_HEARTBEATS`] intervals.
    Idle,
    Failed(FrameError),
}

struct Stream {
    update_tx: mpsc::Sender<Update>,
    next_position: u64,
}

struct Connection<'a> {
    context: &'a LinkContext,
    target: &'a TargetId,
    outgoing: mpsc::Sender<Bytes>,
    commands: mpsc::Sender<Command>,
    streams: HashMap<u64, Stream>,
}

/// Serves a connection until it is idle or fails; `first` is sent without waiting for `Welcome`.
pub async fn serve(
    stream: TcpStream,
    context: &LinkContext,
    target: &TargetId,
    commands: &mpsc::Sender<Command>,
    rx: &mut mpsc::Receiver<Command>,
    first: Option<Command>,
) -> CloseReason {
    let (outgoing, frames) = mpsc::channel(LINK_QUEUE_CAPACITY);
    let (commands, streams) = (commands.clone(), HashMap::new());
    let mut connection = Connection { context, target, outgoing, commands, streams };
    let close_reason = match connection::split(stream, context.timing.silence_ms.0) {
        Ok((reader, writer)) => tokio::select! {
            close_reason = connection.run(reader, rx, first) => close_reason,
            written = writer.run(frames) => {
                CloseReason::Failed(written.err().unwrap_or(FrameError::Closed))
            }
        },
        Err(error) => CloseReason::Failed(FrameError::Io(error)),
    };
    if let CloseReason::Failed(_) = &close_reason {
        connection.send_event(Event::Disconnected(target.clone()));
    }
    close_reason
}

pub fn request_key(stream: u64) -> RequestKey {
    KeyData::from_ffi(stream).into()
}

impl Connection<'_> {
    async fn run(
        &mut self,
        mut reader: Reader,
        commands: &mut mpsc::Receiver<Command>,
        first: Option<Command>,
    ) -> CloseReason {
        if let Err(error) = self.send_hello(first).await {
            return CloseReason::Failed(error);
        }
        let mut heartbeat = HeartbeatMonitor::new(&self.context.timing);
        let mut ticks = time::interval(self.context.timing.heartbeat_ms.0);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let result = tokio::select! {
                next = reader.next::<ToRouter>() => match next {
                    Ok((message, body)) => {
                        heartbeat.on_received();
                        self.on_message(message, body)
                    }
                    Err(error) => Err(error),
                },
                command = commands.recv() => match command {
                    Some(command) => {
                        heartbeat.on_sent();
                        self.execute(command).await
                    }
                    None => Err(FrameError::Closed),
                },
                _ = ticks.tick() => match heartbeat.on_tick(!self.streams.is_empty()) {
                    HeartbeatAction::Skip => Ok(()),
                    HeartbeatAction::Ping(nonce) => {
                        self.send_control(&ToAgent::Ping { nonce }).await
                    }
                    HeartbeatAction::CloseIdle => return CloseReason::Idle,
                    HeartbeatAction::Unresponsive(elapsed) => {
                        Err(FrameError::IdleTimeout(elapsed.as_millis()))
                    }
                }
            };
            if let Err(error) = result {
                return CloseReason::Failed(error);
            }
        }
    }

    async fn send_hello(&mut self, first: Option<Command>) -> Result<(), FrameError> {
        let router = self.context.router.clone();
        let incarnation = self.context.incarnation;
        self.send_control(&ToAgent::Hello { router, incarnation, protocol: PROTOCOL_VERSION })
            .await?;
        match first {
            Some(command) => self.execute(command).await,
            None => Ok(()),
        }
    }

    /// Sends a message and charges it to the control-traffic budget.
    async fn send_control(&self, message: &ToAgent) -> Result<(), FrameError> {
        let frame = frame::encode(message, b"")?;
        self.context.budget.spend(TrafficClass::Link, frame.len() as u64);
        self.outgoing.send(frame).await.map_err(|_| FrameError::Closed)
    }

    async fn send(&self, message: &ToAgent, body: &[u8]) -> Result<(), FrameError> {
        let frame = frame::encode(message, body)?;
        self.outgoing.send(frame).await.map_err(|_| FrameError::Closed)
    }

    async fn execute(&mut self, command: Command) -> Result<(), FrameError> {
        match command {
            Command::Open(call) => self.open(*call).await,
            Command::Credit { stream, window_end: upto } => {
                self.send(&ToAgent::Credit { stream, upto }, b"").await
            }
            Command::Cancel { stream } => {
                if self.streams.remove(&stream).is_none() {
                    return Ok(());
                }
                self.send_event(Event::Ended { key: request_key(stream), load: None });
                self.send(&ToAgent::Cancel { stream }, b"").await
            }
        }
    }

    async fn open(&mut self, call: Call) -> Result<(), FrameError> {
        let stream = call.open_message.stream;
        let commands = self.commands.clone();
        let attached = Update::Attached(Attachment { stream_id: stream, commands });
        if call.update_tx.send(attached).await.is_err() {
            self.send_event(Event::Ended { key: request_key(stream), load: None });
            return Ok(());
        }
        let position = call.open_message.position;
        self.streams.insert(stream, Stream { update_tx: call.update_tx, next_position: position });
        self.send(&ToAgent::Open(call.open_message), &call.body).await
    }

    fn send_event(&self, event: Event) {
        self.context.send_event(event);
    }

    fn report_lost(&self, stream: u64, position: u64, failed: bool) {
        self.send_event(Event::Lost { key: request_key(stream), position, failed });
    }

    fn on_message(&mut self, message: ToRouter, body: Bytes) -> Result<(), FrameError> {
        match message {
            ToRouter::Welcome { draining, target, .. } => {
                if target != *self.target {
                    tracing::error!(%target, expected = %self.target, "connected to the wrong target");
                    return Err(FrameError::Closed);
                }
                let commands = self.commands.clone();
                self.send_event(Event::Connected { target, is_draining: draining, commands });
            }
            ToRouter::Head { stream, status, content_type } => {
                self.forward_update(stream, Update::Head { status, content_type });
            }
            ToRouter::Chunk { stream, position } => {
                if let Some(entry) = self.streams.get_mut(&stream) {
                    entry.next_position = entry.next_position.max(position + 1);
                }
                self.forward_update(stream, Update::Chunk { position, body });
            }
            ToRouter::End { stream, ending: Ending::Failed { reason }, .. } => {
                tracing::info!(stream, %reason, "response stream failed at its target");
                if let Some(entry) = self.streams.remove(&stream) {
                    self.report_lost(stream, entry.next_position, true);
                }
            }
            ToRouter::End { stream, position, ending, load } => {
                self.forward_update(stream, Update::End { position, ending });
                self.streams.remove(&stream);
                self.send_event(Event::Ended { key: request_key(stream), load: Some(load) });
            }
            ToRouter::Refused { stream, reason, retry_after_ms, load } => {
                self.streams.remove(&stream);
                let retry_after = Duration::from_millis(retry_after_ms);
                let refusal = Refusal { reason, retry_after };
                self.send_event(Event::Refused { key: request_key(stream), refusal, load });
            }
            ToRouter::Pong { .. } | ToRouter::Holdings { .. } => {}
            ToRouter::Draining => self.send_event(Event::Draining(self.target.clone())),
        }
        Ok(())
    }

    /// Forwards an update to the caller's handler; ignores streams that were cancelled.
    fn forward_update(&mut self, stream: u64, update: Update) {
        let Some(entry) = self.streams.get_mut(&stream) else { return };
        // The agent respects the window, so sending fails only if the caller is gone. `Cancel`
        // removes the stream and notifies the agent and the `decide` thread.
        if entry.update_tx.try_send(update).is_err() {
            drop(self.commands.try_send(Command::Cancel { stream }));
        }
    }
}

impl Drop for Connection<'_> {
    /// Reports the remaining streams as lost, also when the task was aborted.
    fn drop(&mut self) {
        for (stream, entry) in std::mem::take(&mut self.streams) {
            self.report_lost(stream, entry.next_position, false);
        }
    }
}

pub fn stream_id(key: RequestKey) -> u64 {
    key.data().as_ffi()
}
