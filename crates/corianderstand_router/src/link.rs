//! The `link` thread: one connection to each agent, kept alive with heartbeats.

use crate::event::{Attachment, Call, Command, Event, Update};
use bytes::Bytes;
use corianderstand_control::snapshot::Current;
use corianderstand_decide::work::{Refusal, RequestKey};
use corianderstand_link::{
    PROTOCOL,
    connection::{self, Reader},
    frame::{self, FrameError},
};
use corianderstand_schema::{
    messages::{ToAgent, ToRouter},
    process::Timing,
};
use corianderstand_types::names::{TargetId, WriterId};
use rand::RngExt;
use slotmap::{Key, KeyData};
use smol_str::SmolStr;
use std::{
    collections::{BTreeMap, HashMap},
    sync::mpsc::SyncSender,
    time::Duration,
};
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle, time};

/// Frames and commands that wait on one connection.
const RING: usize = 4096;
/// Shortest pause before a connection is tried again.
const MIN_RECONNECT: Duration = Duration::from_millis(20);

/// What every connection needs.
#[derive(Clone)]
pub struct Shared {
    /// Name of this router.
    pub router: WriterId,
    /// Start of this process.
    pub incarnation: u64,
    /// Intervals.
    pub timing: Timing,
    /// To the `decide` thread.
    pub events: SyncSender<Event>,
}

/// Keeps connections to all targets of the snapshot, for ever.
pub async fn run(shared: Shared, current: Current) {
    let mut changed = current.subscribe();
    let mut version = u64::MAX;
    let mut tasks: BTreeMap<TargetId, (SmolStr, JoinHandle<()>)> = BTreeMap::new();
    loop {
        let snapshot = current.load();
        if snapshot.state.targets.version != version {
            version = snapshot.state.targets.version;
            tasks.retain(|name, (address, task)| {
                let target = snapshot.state.targets.by_name.get(name);
                let keep = target.is_some_and(|target| target.record.address == *address);
                if !keep {
                    task.abort();
                }
                keep
            });
            for (name, target) in &snapshot.state.targets.by_name {
                tasks.entry(name.clone()).or_insert_with(|| {
                    let address = target.record.address.clone();
                    let keep = keep(shared.clone(), name.clone(), address.clone());
                    (address, tokio::spawn(keep))
                });
            }
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Connects again and again; the pause is random, so that routers do not return together.
async fn keep(shared: Shared, target: TargetId, address: SmolStr) {
    let longest = shared.timing.reconnect_ms.0;
    let mut pause = MIN_RECONNECT;
    loop {
        match time::timeout(shared.timing.silence_ms.0, TcpStream::connect(&*address)).await {
            Ok(Ok(stream)) => {
                pause = MIN_RECONNECT;
                let ended = serve(stream, &shared, &target).await;
                tracing::warn!(%target, error = %ended, "connection to an agent ended");
            }
            Ok(Err(error)) => tracing::debug!(%target, %error, "agent not reached"),
            Err(_) => tracing::debug!(%target, "agent not reached in time"),
        }
        let spread = rand::rng().random_range(0.5..1.5);
        time::sleep(pause.mul_f64(spread)).await;
        pause = (pause * 2).min(longest);
    }
}

/// A stream as the connection holds it.
struct Stream {
    reply: mpsc::Sender<Update>,
    begun: bool,
}

struct Connection<'a> {
    shared: &'a Shared,
    target: &'a TargetId,
    out: mpsc::Sender<Bytes>,
    commands: mpsc::Sender<Command>,
    streams: HashMap<u64, Stream>,
}

async fn serve(stream: TcpStream, shared: &Shared, target: &TargetId) -> FrameError {
    let (reader, writer) = match connection::split(stream, shared.timing.silence_ms.0) {
        Ok(halves) => halves,
        Err(error) => return FrameError::Io(error),
    };
    let (out, frames) = mpsc::channel(RING);
    let (commands, commands_rx) = mpsc::channel(RING);
    let streams = HashMap::new();
    let mut connection = Connection { shared, target, out, commands, streams };
    let ended = tokio::select! {
        ended = connection.run(reader, commands_rx) => ended,
        written = writer.run(frames) => written.err().unwrap_or(FrameError::Closed),
    };
    connection.give_up();
    ended
}

fn key(stream: u64) -> RequestKey {
    KeyData::from_ffi(stream).into()
}

impl Connection<'_> {
    async fn run(
        &mut self,
        mut reader: Reader,
        mut commands: mpsc::Receiver<Command>,
    ) -> FrameError {
        let hello = ToAgent::Hello {
            router: self.shared.router.clone(),
            incarnation: self.shared.incarnation,
            protocol: PROTOCOL,
        };
        if let Err(error) = self.send(&hello, b"").await {
            return error;
        }
        let mut heartbeat = time::interval(self.shared.timing.heartbeat_ms.0);
        heartbeat.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut nonce = 0;
        loop {
            let done = tokio::select! {
                next = reader.next::<ToRouter>() => match next {
                    Ok((message, body)) => self.take(message, body),
                    Err(error) => Err(error),
                },
                command = commands.recv() => match command {
                    Some(command) => self.command(command).await,
                    None => Err(FrameError::Closed),
                },
                _ = heartbeat.tick() => {
                    nonce += 1;
                    self.send(&ToAgent::Ping { nonce }, b"").await
                }
            };
            if let Err(error) = done {
                return error;
            }
        }
    }

    async fn send(&self, message: &ToAgent, body: &[u8]) -> Result<(), FrameError> {
        let frame = frame::encode(message, body)?;
        self.out.send(frame).await.map_err(|_| FrameError::Closed)
    }

    async fn command(&mut self, command: Command) -> Result<(), FrameError> {
        match command {
            Command::Open(call) => self.open(*call).await,
            Command::Credit { stream, upto } => {
                self.send(&ToAgent::Credit { stream, upto }, b"").await
            }
            Command::Cancel { stream } => {
                if self.streams.remove(&stream).is_none() {
                    return Ok(());
                }
                self.tell(Event::Ended { key: key(stream), load: None });
                self.send(&ToAgent::Cancel { stream }, b"").await
            }
        }
    }

    async fn open(&mut self, call: Call) -> Result<(), FrameError> {
        let stream = call.open.stream;
        let commands = self.commands.clone();
        let attached = Update::Attached(Attachment { stream, commands });
        if call.reply.send(attached).await.is_err() {
            self.tell(Event::Ended { key: key(stream), load: None });
            return Ok(());
        }
        self.streams.insert(stream, Stream { reply: call.reply, begun: false });
        self.send(&ToAgent::Open(call.open), &call.body).await
    }

    fn tell(&self, event: Event) {
        // The ring is bounded and its reader never waits for this thread, so this ends soon.
        drop(self.shared.events.send(event));
    }

    fn take(&mut self, message: ToRouter, body: Bytes) -> Result<(), FrameError> {
        match message {
            ToRouter::Welcome { draining, target, .. } => {
                if target != *self.target {
                    tracing::error!(%target, expected = %self.target, "another target answers");
                    return Err(FrameError::Closed);
                }
                let commands = self.commands.clone();
                self.tell(Event::Connected { target, draining, commands });
            }
            ToRouter::Head { stream, status, content_type } => {
                self.update(stream, Update::Head { status, content_type });
            }
            ToRouter::Chunk { stream, position } => {
                self.update(stream, Update::Chunk { position, body });
            }
            ToRouter::End { stream, position, ending, load } => {
                self.update(stream, Update::End { position, ending });
                self.streams.remove(&stream);
                self.tell(Event::Ended { key: key(stream), load: Some(load) });
            }
            ToRouter::Refused { stream, reason, retry_after_ms, load } => {
                self.streams.remove(&stream);
                let retry_after = Duration::from_millis(retry_after_ms);
                let refusal = Refusal { reason, retry_after };
                self.tell(Event::Refused { key: key(stream), refusal, load });
            }
            ToRouter::Pong { .. } | ToRouter::Holdings { .. } => {}
            ToRouter::Draining => self.tell(Event::Draining(self.target.clone())),
        }
        Ok(())
    }

    /// Hands an update to its caller; a stream that is not known was cancelled before.
    fn update(&mut self, stream: u64, update: Update) {
        let Some(held) = self.streams.get_mut(&stream) else { return };
        held.begun = true;
        // The agent keeps to the window, so there is room; a caller that is gone cancels.
        if held.reply.try_send(update).is_err() {
            self.streams.remove(&stream);
        }
    }

    /// The connection is gone: each request on it is tried elsewhere if nothing of its answer
    /// came, else its caller is told that the answer broke off.
    fn give_up(&mut self) {
        self.tell(Event::Disconnected(self.target.clone()));
        for (stream, held) in std::mem::take(&mut self.streams) {
            if held.begun {
                drop(held.reply.try_send(Update::Lost));
                self.tell(Event::Ended { key: key(stream), load: None });
            } else {
                self.tell(Event::Lost(key(stream)));
            }
        }
    }
}

/// The stream number of a request.
pub fn stream_of(key: RequestKey) -> u64 {
    key.data().as_ffi()
}
