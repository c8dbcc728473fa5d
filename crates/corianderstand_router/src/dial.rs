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
const MIN_RECONNECT: Duration = Duration::from_millis(20);
/// Time to open a connection. A host that is gone does not answer at all, and the request that
/// finds this out has to reach another target within its time to the first token.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Heartbeats for which a connection may carry no stream before it is closed. Shorter, and a
/// target that is asked every few seconds would be greeted each time; longer, and a router that
/// asks many targets in turn would keep a connection to most of them.
pub const IDLE_HEARTBEATS: u32 = 10;
/// When to come back to a target that was not reached.
const RETRY_UNREACHED: Duration = Duration::from_millis(500);

/// One target as this thread knows it.
struct Dialled {
    address: SmolStr,
    announced: u64,
    commands: mpsc::Sender<Command>,
    task: JoinHandle<()>,
}

/// Keeps one task for each target of the snapshot, for ever.
pub async fn run(context: LinkContext, current: CurrentSnapshot) {
    let mut changed = current.subscribe();
    let mut version = u64::MAX;
    let mut dialled: BTreeMap<TargetId, Dialled> = BTreeMap::new();
    loop {
        let snapshot = current.load();
        let targets = &snapshot.state.targets;
        if targets.version != version {
            version = targets.version;
            dialled.retain(|name, known| keeps(&context, name, known, targets.by_name.get(name)));
            for (name, target) in &targets.by_name {
                note(&context, &mut dialled, name, target);
            }
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Whether a target is still announced at the same address; if not, its task ends.
fn keeps(context: &LinkContext, name: &TargetId, known: &Dialled, target: Option<&Target>) -> bool {
    let keep = target.is_some_and(|target| target.record.address == known.address);
    if !keep {
        known.task.abort();
        context.send_event(Event::Disconnected(name.clone()));
    }
    keep
}

/// Starts a target's task, or notes that its agent has started anew.
///
/// An agent that was draining and has been restarted takes work again. Without a connection
/// nothing but the new announcement tells that, and the target would stay unused.
fn note(
    context: &LinkContext,
    dialled: &mut BTreeMap<TargetId, Dialled>,
    name: &TargetId,
    target: &Target,
) {
    let known = dialled.entry(name.clone()).or_insert_with(|| {
        let (commands, rx) = mpsc::channel(link::QUEUE_CAPACITY);
        let address = target.record.address.clone();
        let keep = keep(context.clone(), name.clone(), address.clone(), commands.clone(), rx);
        Dialled { address, announced: 0, commands, task: tokio::spawn(keep) }
    });
    if known.announced != target.offset {
        known.announced = target.offset;
        let commands = known.commands.clone();
        context.send_event(Event::Connected { target: name.clone(), draining: false, commands });
    }
}

/// Opens a connection when there is a request for it, and again and again when it broke; the
/// pause is random, so that routers do not return together.
async fn keep(
    context: LinkContext,
    target: TargetId,
    address: SmolStr,
    commands: mpsc::Sender<Command>,
    rx: mpsc::Receiver<Command>,
) {
    let mut pause = MIN_RECONNECT;
    let mut reachable = true;
    let mut waiting = Waiting { context: context.clone(), first: None, rx };
    loop {
        waiting.first = if reachable {
            first_request(&mut waiting.rx).await
        } else {
            let spread = rand::rng().random_range(0.5..1.5);
            time::sleep(pause.mul_f64(spread)).await;
            pause = (pause * 2).min(context.timing.reconnect_ms.0);
            None
        };
        match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&*address)).await {
            Ok(Ok(stream)) => {
                pause = MIN_RECONNECT;
                let first = waiting.first.take();
                let rx = &mut waiting.rx;
                let close_reason =
                    link::serve(stream, &context, &target, &commands, rx, first).await;
                reachable = matches!(close_reason, CloseReason::Idle);
                if let CloseReason::Failed(error) = close_reason {
                    tracing::warn!(%target, %error, "connection to an agent broke");
                }
            }
            failed => {
                let error = failed.map_or_else(|late| late.to_string(), |done| format!("{done:?}"));
                tracing::debug!(%target, error, "agent not reached");
                context.send_event(Event::Disconnected(target.clone()));
                reachable = false;
                refuse(&context, waiting.first.take());
            }
        }
        while !reachable && let Ok(command) = waiting.rx.try_recv() {
            refuse(&context, Some(command));
        }
    }
}

/// Requests that wait for a connection.
///
/// The task ends in the midst when its target is withdrawn. A request that waits then would be
/// forgotten and its caller hear nothing until its deadline; it is given back on the way out.
struct Waiting {
    context: LinkContext,
    first: Option<Command>,
    rx: mpsc::Receiver<Command>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        refuse(&self.context, self.first.take());
        self.rx.close();
        while let Ok(command) = self.rx.try_recv() {
            refuse(&self.context, Some(command));
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
fn refuse(context: &LinkContext, command: Option<Command>) {
    let Some(Command::Open(call)) = command else { return };
    let refusal = Refusal { reason: RefusalReason::NotLoaded, retry_after: RETRY_UNREACHED };
    let load = Load { running: 0, queued: 0, wait_ms: 0 };
    let key = link::request_key(call.open.stream);
    context.send_event(Event::Refused { key, refusal, load });
}
