//! Acquires and renews the control lease, whose holder plans replica slots and writes checkpoints.

use crate::{
    appender::{Appender, Identity},
    budget,
    snapshot::{CurrentSnapshot, Snapshot},
};
use corianderstand_schema::records::Body;
use corianderstand_state::{checkpoint, fold::Outcome, plan};
use corianderstand_types::clock::{self, SharedClock};
use rand::RngExt;
use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinHandle, time};

const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
const CHECKPOINT_PART_TIMEOUT: Duration = Duration::from_secs(10);

/// Competes for the control lease and performs the tasks of its holder.
pub struct LeaseTask {
    /// The writer identity of this process.
    pub identity: Identity,
    /// The clock.
    pub clock: SharedClock,
    /// The current snapshot.
    pub current: CurrentSnapshot,
    /// Appends records to the log.
    pub appender: Appender,
    /// Whether this process has permanently released the lease.
    pub resigned: Arc<AtomicBool>,
}

impl LeaseTask {
    /// Acquires the lease when it is vacant; renews it, plans and writes checkpoints while held.
    pub async fn run(self) {
        let mut last_renewed_log_ms = 0;
        let mut checkpoint: Option<JoinHandle<()>> = None;
        loop {
            let snapshot = self.current.load();
            let ttl = snapshot.view.deployment.lease_ttl_ms.0;
            let is_current = snapshot.caught_up && snapshot.log_up;
            if is_current && !self.resigned.load(Ordering::Relaxed) {
                let held =
                    snapshot.state.lease.held_by(&self.identity.writer, self.identity.incarnation);
                if held {
                    self.renew(&snapshot, &mut last_renewed_log_ms).await;
                    self.plan(&snapshot).await;
                    self.start_checkpoint(&snapshot, &mut checkpoint);
                } else {
                    self.acquire(ttl).await;
                }
            }
            time::sleep((ttl / 6).max(MIN_POLL_INTERVAL)).await;
        }
    }

    fn log_now_ms(&self, snapshot: &Snapshot) -> u64 {
        clock::unix_ms(self.clock.wall()).saturating_add_signed(snapshot.log_clock_ms)
    }

    fn is_vacant(&self, snapshot: &Snapshot) -> bool {
        let lease = &snapshot.state.lease;
        lease.holder.is_none() || self.log_now_ms(snapshot) >= lease.until_ms
    }

    /// Acquires the lease if it is vacant, after a random delay: all routers see it expire at once.
    async fn acquire(&self, ttl: Duration) {
        if !self.is_vacant(&self.current.load()) {
            return;
        }
        let fraction: f64 = rand::rng().random_range(0.0..1.0);
        time::sleep((ttl / 3).mul_f64(fraction)).await;
        let snapshot = self.current.load();
        if !self.is_vacant(&snapshot) {
            return;
        }
        let epoch = snapshot.state.lease.epoch + 1;
        let body = Body::LeaseTaken { epoch, ttl_ms: ttl.as_millis() as u64 };
        self.append_all(vec![body], ttl).await;
    }

    async fn renew(&self, snapshot: &Snapshot, last_renewed_log_ms: &mut u64) {
        let (lease, now_ms) = (&snapshot.state.lease, self.log_now_ms(snapshot));
        if now_ms < *last_renewed_log_ms + lease.ttl_ms / 3 {
            return;
        }
        *last_renewed_log_ms = now_ms;
        let ttl = Duration::from_millis(lease.ttl_ms);
        self.append_all(vec![Body::LeaseRenewed { epoch: lease.epoch }], ttl).await;
    }

    async fn plan(&self, snapshot: &Snapshot) {
        let state = &snapshot.state;
        let is_gone = |host| snapshot.hosts.gone.contains(host);
        let gone_targets = state.targets.by_name.iter().filter(|(_, t)| is_gone(&t.record.host));
        let mut bodies: Vec<Body> = gone_targets
            .map(|(name, target)| Body::TargetGone {
                epoch: state.lease.epoch,
                target: name.clone(),
                target_offset: target.offset,
            })
            .collect();
        bodies.extend(leaving_marks(snapshot));
        let excluded_hosts: BTreeSet<_> =
            snapshot.hosts.leaving.union(&snapshot.hosts.gone).cloned().collect();
        bodies.extend(plan::plan(state, &snapshot.view, &excluded_hosts));
        self.append_all(bodies, Duration::from_millis(state.lease.ttl_ms)).await;
    }

    async fn append_all(&self, bodies: Vec<Body>, timeout: Duration) {
        let appends = bodies.into_iter().map(|body| self.appender.append(body, timeout));
        for decided in futures::future::join_all(appends).await {
            if let Err(error) = decided {
                tracing::warn!(%error, "append by the lease holder failed");
            }
        }
    }

    fn start_checkpoint(&self, snapshot: &Snapshot, running: &mut Option<JoinHandle<()>>) {
        let busy = running.as_ref().is_some_and(|task| !task.is_finished());
        if busy || !is_checkpoint_due(snapshot, self.log_now_ms(snapshot)) {
            return;
        }
        let bodies = checkpoint::split(&snapshot.state);
        let interval = snapshot.view.deployment.checkpoint_interval_ms.0;
        let pause = if is_checkpoint_urgent(snapshot) {
            Duration::ZERO
        } else {
            budget::checkpoint_pause(interval, bodies.len())
        };
        *running = Some(tokio::spawn(write_checkpoint(self.appender.clone(), bodies, pause)));
    }
}

/// Records that mark targets as leaving, or unmark them, to match the state of their hosts.
pub fn leaving_marks(snapshot: &Snapshot) -> Vec<Body> {
    let (state, hosts) = (&snapshot.state, &snapshot.hosts);
    let marked = state.targets.by_name.iter().filter_map(|(name, target)| {
        let (host, epoch) = (&target.record.host, state.lease.epoch);
        let leaving = hosts.leaving.contains(host);
        let listed = leaving || hosts.live.contains(host);
        let (target_offset, recorded) = (target.offset, target.leaving);
        let target = name.clone();
        (listed && leaving != recorded).then_some(Body::TargetMarked {
            epoch,
            target,
            target_offset,
            leaving,
        })
    });
    marked.collect()
}

/// Whether the log cannot restore the state: the last checkpoint or later records were dropped.
fn is_checkpoint_urgent(snapshot: &Snapshot) -> bool {
    let last = snapshot.state.checkpoints.last;
    last.is_none_or(|last| snapshot.oldest > last.as_of.min(last.first))
}

/// Whether a checkpoint is due, at the log time `log_now_ms`.
pub fn is_checkpoint_due(snapshot: &Snapshot, log_now_ms: u64) -> bool {
    let Some(last) = snapshot.state.checkpoints.last else { return true };
    let interval = snapshot.view.deployment.checkpoint_interval_ms.as_millis();
    log_now_ms >= last.at_ms + interval || is_checkpoint_urgent(snapshot)
}

async fn write_checkpoint(appender: Appender, bodies: Vec<Body>, pause: Duration) {
    let parts = bodies.len();
    for (part, body) in bodies.into_iter().enumerate() {
        if part > 0 {
            time::sleep(pause).await;
        }
        match appender.append(body, CHECKPOINT_PART_TIMEOUT).await {
            Ok(decided) if decided.outcome == Outcome::Applied => {}
            Ok(decided) => {
                tracing::warn!(outcome = ?decided.outcome, "checkpoint aborted");
                return;
            }
            Err(error) => {
                tracing::warn!(%error, "checkpoint aborted");
                return;
            }
        }
    }
    tracing::info!(parts, "checkpoint written");
}
