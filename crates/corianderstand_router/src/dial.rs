//! Opens and closes connections to agents on demand.
//!
//! Heartbeats on a full mesh of routers and agents would exceed a router's budget for control
//! traffic. A connection is therefore opened for the first request to a target and closed after
//! [`IDLE_HEARTBEATS`]; the request is sent without waiting for the handshake.
//!
//! A target without a connection counts as reachable until a connection attempt fails. Its
//! requests are then rejected, and the connection is retried until it succeeds.

use crate::{
    event::{Command, Event},
    link::{self, CloseReason, LinkContext},
};
use corianderstand_control::snapshot::CurrentSnapshot;
use corianderstand_decide::request::Refusal;
use corianderstand_schema::messages::{Load, RefusalReason};
use corianderstand_state::targets::Target;
use corianderstand_types::names::TargetId;
use rand::RngExt;
use smol_str::SmolStr;
use std::{collections::BTreeMap, time::Duration};
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle, time};

const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Leaves time to send a request to another target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of heartbeat intervals without requests after which a connection is closed.
pub const IDLE_HEARTBEATS: u32 = 10;
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

struct TargetConnection {
    address: SmolStr,
    announced_offset: u64,
    commands: mpsc::Sender<Command>,
    task: JoinHandle<()>,
}

/// Runs one connection task for each target of the current snapshot.
pub async fn run(context: LinkContext, current: CurrentSnapshot) {
    let mut changed = current.subscribe();
    let mut version = u64::MAX;
    let mut connections: BTreeMap<TargetId, TargetConnection> = BTreeMap::new();
    loop {
        let snapshot = current.load();
        let targets = &snapshot.state.targets;
        if targets.version != version {
            version = targets.version;
            connections.retain(|name, connection| {
                retain_connection(&context, name, connection, targets.by_name.get(name))
            });
            for (name, target) in &targets.by_name {
                register_target(&context, &mut connections, name, target);
            }
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Returns whether a target is still announced at the same address; otherwise aborts its task.
fn retain_connection(
    context: &LinkContext,
    name: &TargetId,
    connection: &TargetConnection,
    target: Option<&Target>,
) -> bool {
    let unchanged = target.is_some_and(|target| target.record.address == connection.address);
    if !unchanged {
        connection.task.abort();
        context.send_event(Event::Disconnected(name.clone()));
    }
    unchanged
}

/// Starts the connection task of a new target, and reports a target as available when it is
/// announced again, as after a restart of a drained agent.
fn register_target(
    context: &LinkContext,
    connections: &mut BTreeMap<TargetId, TargetConnection>,
    name: &TargetId,
    target: &Target,
) {
    let connection = connections.entry(name.clone()).or_insert_with(|| {
        let (commands, rx) = mpsc::channel(link::LINK_QUEUE_CAPACITY);
        let address = target.record.address.clone();
        let task = maintain_connection(
            context.clone(),
            name.clone(),
            address.clone(),
            commands.clone(),
            rx,
        );
        TargetConnection { address, announced_offset: 0, commands, task: tokio::spawn(task) }
    });
    if connection.announced_offset != target.offset {
        connection.announced_offset = target.offset;
        let commands = connection.commands.clone();
        context.send_event(Event::Connected { target: name.clone(), is_draining: false, commands });
    }
}

/// Connects on the first request and reconnects with jittered exponential backoff after a failure.
async fn maintain_connection(
    context: LinkContext,
    target: TargetId,
    address: SmolStr,
    commands: mpsc::Sender<Command>,
    rx: mpsc::Receiver<Command>,
) {
    let mut delay = MIN_RECONNECT_DELAY;
    let mut reachable = true;
    let mut pending = PendingRequests { context: context.clone(), first: None, rx };
    loop {
        pending.first = if reachable {
            first_request(&mut pending.rx).await
        } else {
            let jitter = rand::rng().random_range(0.5..1.5);
            time::sleep(delay.mul_f64(jitter)).await;
            delay = (delay * 2).min(context.timing.reconnect_ms.0);
            None
        };
        match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&*address)).await {
            Ok(Ok(stream)) => {
                delay = MIN_RECONNECT_DELAY;
                let first = pending.first.take();
                let rx = &mut pending.rx;
                let close_reason =
                    link::serve(stream, &context, &target, &commands, rx, first).await;
                reachable = matches!(close_reason, CloseReason::Idle);
                if let CloseReason::Failed(error) = close_reason {
                    tracing::warn!(%target, %error, "connection to agent failed");
                }
            }
            failed => {
                let error = failed
                    .map_or_else(|elapsed| elapsed.to_string(), |result| format!("{result:?}"));
                tracing::debug!(%target, error, "failed to connect to agent");
                context.send_event(Event::Disconnected(target.clone()));
                reachable = false;
                reject_unsent(&context, pending.first.take());
            }
        }
        while !reachable && let Ok(command) = pending.rx.try_recv() {
            reject_unsent(&context, Some(command));
        }
    }
}

/// Requests that wait for a connection; rejected on drop, as when the target is withdrawn.
struct PendingRequests {
    context: LinkContext,
    first: Option<Command>,
    rx: mpsc::Receiver<Command>,
}

impl Drop for PendingRequests {
    fn drop(&mut self) {
        reject_unsent(&self.context, self.first.take());
        self.rx.close();
        while let Ok(command) = self.rx.try_recv() {
            reject_unsent(&self.context, Some(command));
        }
    }
}

/// Waits for a request; discards commands for streams that have ended.
async fn first_request(rx: &mut mpsc::Receiver<Command>) -> Option<Command> {
    while let Some(command) = rx.recv().await {
        if matches!(command, Command::Open(_)) {
            return Some(command);
        }
    }
    None
}

/// Reports an unsent request as refused, so that it may go to another target.
fn reject_unsent(context: &LinkContext, command: Option<Command>) {
    let Some(Command::Open(call)) = command else { return };
    let refusal =
        Refusal { reason: RefusalReason::NotLoaded, retry_after: UNREACHABLE_RETRY_AFTER };
    let load = Load { running: 0, queued: 0, wait_ms: 0 };
    let key = link::request_key(call.open_message.stream);
    context.send_event(Event::Refused { key, refusal, load });
}
