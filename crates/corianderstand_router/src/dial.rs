//! When a connection to an agent is opened and closed.
//!
//! Made for 340 routers before 730 agents: a connection from each to each, with a heartbeat on
//! it, would cost a router more than all its control traffic may. A connection is opened for the
//! first request to a target and closed when it has been idle for [`IDLE_HEARTBEATS`]. Opening
//! takes one round trip less than a millisecond inside a place, and the request goes along
//! without waiting for the greeting.
//!
//! A target without a connection counts as reachable until an attempt fails. Then its requests
//! go elsewhere, and it is tried again until it answers.

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

/// Shortest pause before a connection is tried again.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Time to open a connection. A host that is gone does not answer at all, and the request that
/// finds this out has to reach another target within its time to the first token.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Heartbeats for which a connection may carry no stream before it is closed. Shorter, and a
/// target that is asked every few seconds would be greeted each time; longer, and a router that
/// asks many targets in turn would keep a connection to most of them.
pub const IDLE_HEARTBEATS: u32 = 10;
/// When to come back to a target that was not reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// One target as this thread knows it.
struct TargetConnection {
    address: SmolStr,
    announced_offset: u64,
    commands: mpsc::Sender<Command>,
    task: JoinHandle<()>,
}

/// Keeps one task for each target of the snapshot, for ever.
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

/// Whether a target is still announced at the same address; if not, its task ends.
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

/// Starts a target's task, or notes that its agent has started anew.
///
/// An agent that was draining and has been restarted takes work again. Without a connection
/// nothing but the new announcement tells that, and the target would stay unused.
fn register_target(
    context: &LinkContext,
    connections: &mut BTreeMap<TargetId, TargetConnection>,
    name: &TargetId,
    target: &Target,
) {
    let connection = connections.entry(name.clone()).or_insert_with(|| {
        let (commands, rx) = mpsc::channel(link::QUEUE_CAPACITY);
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
        context.send_event(Event::Connected { target: name.clone(), draining: false, commands });
    }
}

/// Opens a connection when there is a request for it, and again and again when it broke; the
/// pause is random, so that routers do not return together.
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
                    tracing::warn!(%target, %error, "connection to an agent broke");
                }
            }
            failed => {
                let error = failed
                    .map_or_else(|elapsed| elapsed.to_string(), |result| format!("{result:?}"));
                tracing::debug!(%target, error, "agent not reached");
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

/// Requests that wait for a connection.
///
/// The task ends in the midst when its target is withdrawn. A request that waits then would be
/// forgotten and its caller hear nothing until its deadline; it is given back on the way out.
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

/// Waits for a request; credit and cancelling of streams that are over concern nobody.
async fn first_request(rx: &mut mpsc::Receiver<Command>) -> Option<Command> {
    while let Some(command) = rx.recv().await {
        if matches!(command, Command::Open(_)) {
            return Some(command);
        }
    }
    None
}

/// Gives a request back that was never sent, so that it certainly did not run and may go to
/// another target even if it may not be repeated.
fn reject_unsent(context: &LinkContext, command: Option<Command>) {
    let Some(Command::Open(call)) = command else { return };
    let refusal =
        Refusal { reason: RefusalReason::NotLoaded, retry_after: UNREACHABLE_RETRY_AFTER };
    let load = Load { running: 0, queued: 0, wait_ms: 0 };
    let key = link::request_key(call.open.stream);
    context.send_event(Event::Refused { key, refusal, load });
}
