//! Emulates the peers of a process with the real link protocol.

use crate::{forward::ByteCounter, size};
use corianderstand_edge::log::{HttpLog, LogService};
use corianderstand_link::{
    PROTOCOL_VERSION, connection,
    frame::{self, FrameError},
};
use corianderstand_schema::messages::{Load, ToAgent, ToRouter};
use corianderstand_types::names::{TargetId, WriterId};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use testbed::plan;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};

const WRITE_QUEUE_FRAMES: usize = 64;
const LENGTH_PREFIX_BYTES: u64 = 4;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Emulated agents that a router connects to.
#[derive(Clone, Debug, Default)]
pub struct Agents {
    /// Listen addresses by target index.
    pub addresses: Vec<SmolStr>,
    /// Traffic on all connections.
    pub counter: Arc<ByteCounter>,
    pub open_connections: Arc<AtomicUsize>,
}

fn frame_bytes(message: &impl Serialize) -> u64 {
    let frame = frame::encode(message, b"").expect("messages can be serialized");
    frame.len() as u64 + LENGTH_PREFIX_BYTES
}

impl Agents {
    /// Starts `count` agents on loopback.
    pub async fn start(count: usize) -> Self {
        let mut agents = Self::default();
        for i in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
            let address = listener.local_addr().expect("it is bound");
            agents.addresses.push(format_smolstr!("{address}"));
            let (counter, open_connections) =
                (agents.counter.clone(), agents.open_connections.clone());
            tokio::spawn(accept_connections(
                listener,
                size::target_id(i),
                counter,
                open_connections,
            ));
        }
        agents
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: TargetId,
    counter: Arc<ByteCounter>,
    open_connections: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (target, counter, open_connections) =
            (target.clone(), counter.clone(), open_connections.clone());
        tokio::spawn(async move {
            open_connections.fetch_add(1, Ordering::Relaxed);
            drop(serve_router(stream, target, &counter).await);
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_router(
    stream: TcpStream,
    target: TargetId,
    counter: &ByteCounter,
) -> Result<(), FrameError> {
    let (mut reader, writer) = connection::split(stream, IDLE_TIMEOUT)?;
    let (tx, rx) = mpsc::channel(WRITE_QUEUE_FRAMES);
    tokio::spawn(writer.run(rx));
    loop {
        let (message, _) = reader.next::<ToAgent>().await?;
        counter.sent.fetch_add(frame_bytes(&message), Ordering::Relaxed);
        let reply = match message {
            ToAgent::Hello { .. } => {
                ToRouter::Welcome { target: target.clone(), incarnation: 1, draining: false }
            }
            ToAgent::Ping { nonce } => {
                let load = Load { running: 3, queued: 1, wait_ms: 20 };
                ToRouter::Pong { nonce, load }
            }
            _ => continue,
        };
        counter.received.fetch_add(frame_bytes(&reply), Ordering::Relaxed);
        tx.send(frame::encode(&reply, b"")?).await.map_err(|_| FrameError::Closed)?;
    }
}

/// Connects `count` emulated routers to an agent, each sending a ping every `heartbeat`.
pub fn start_routers(
    agent_address: &str,
    count: usize,
    heartbeat: Duration,
    counter: &Arc<ByteCounter>,
) {
    for i in 0..count {
        tokio::spawn(emulate_router(agent_address.to_owned(), i, heartbeat, counter.clone()));
    }
}

async fn emulate_router(
    agent_address: String,
    router_index: usize,
    heartbeat: Duration,
    counter: Arc<ByteCounter>,
) -> Result<(), FrameError> {
    let stream = TcpStream::connect(&agent_address).await?;
    let (mut reader, writer) = connection::split(stream, IDLE_TIMEOUT)?;
    let (tx, rx) = mpsc::channel(WRITE_QUEUE_FRAMES);
    tokio::spawn(writer.run(rx));
    let router = WriterId(format_smolstr!("router-{router_index:04}"));
    let hello = ToAgent::Hello { router, incarnation: 1, protocol: PROTOCOL_VERSION };
    counter.received.fetch_add(frame_bytes(&hello), Ordering::Relaxed);
    tx.send(frame::encode(&hello, b"")?).await.map_err(|_| FrameError::Closed)?;
    // Spreads the pings of the routers over the interval.
    time::sleep(heartbeat.mul_f64(f64::from(router_index as u32 % 100) / 100.0)).await;
    let mut ticks = time::interval(heartbeat);
    let mut nonce = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                nonce += 1;
                let ping = ToAgent::Ping { nonce };
                counter.received.fetch_add(frame_bytes(&ping), Ordering::Relaxed);
                tx.send(frame::encode(&ping, b"")?).await.map_err(|_| FrameError::Closed)?;
            }
            next = reader.next::<ToRouter>() => {
                let (message, _) = next?;
                counter.sent.fetch_add(frame_bytes(&message), Ordering::Relaxed);
            }
        }
    }
}

/// Starts `count` emulated followers that read the log at `base_url` from `start_offset` on.
pub fn start_followers(base_url: &str, count: usize, start_offset: u64, wait_limit: Duration) {
    for _ in 0..count {
        let log = HttpLog::new(base_url, wait_limit).with_bearer(&plan::hash_token("peer"));
        tokio::spawn(follow(log, start_offset, wait_limit));
    }
}

async fn follow(log: HttpLog, start_offset: u64, wait_limit: Duration) {
    let mut next_offset = start_offset;
    loop {
        match log.read(next_offset, 1024, wait_limit).await {
            Ok(page) => {
                next_offset = page.entries.last().map_or(next_offset, |entry| entry.offset + 1);
            }
            Err(_) => time::sleep(Duration::from_secs(5)).await,
        }
    }
}
