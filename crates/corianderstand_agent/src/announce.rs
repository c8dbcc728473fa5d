//! Records of the target in the log: availability and slot releases.

use crate::release::SlotReleases;
use corianderstand_control::start::ControlHandle;
use corianderstand_schema::records::{Body, TargetRecord};
use corianderstand_types::names::TargetId;
use futures::future;
use std::time::Duration;
use tokio::{sync::watch, time};

/// Time after which an undecided append is retried.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a graceful shutdown waits for its slots to be released; after it they stay assigned.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Announces the target whenever it is missing from the state, as after its host was unlisted.
///
/// Keeps a later incarnation's announcement, so that two agents don't keep replacing each other's.
pub async fn keep_announced(
    control: ControlHandle,
    record: TargetRecord,
    incarnation: u64,
    stopping: watch::Receiver<bool>,
) {
    let mut changed = control.current.subscribe();
    loop {
        let snapshot = control.current.load();
        let known = snapshot.state.targets.by_name.get(&record.target);
        let missing = known.is_none_or(|target| target.incarnation < incarnation);
        if missing && snapshot.caught_up && !*stopping.borrow() {
            let body = Body::TargetUp { target: record.clone() };
            if let Err(error) = control.appender.append(body, APPEND_TIMEOUT).await {
                tracing::warn!(%error, "cannot announce the target, retrying");
            }
            continue;
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

pub async fn append_releases(control: ControlHandle, mut releases: watch::Receiver<SlotReleases>) {
    loop {
        let due = releases.borrow_and_update().clone();
        let snapshot = control.current.load();
        let slots = &snapshot.state.slots.by_key;
        let unreleased = due
            .iter()
            .filter(|(key, at)| slots.get(*key).is_some_and(|slot| slot.assigned == **at));
        let bodies = unreleased.map(|(key, assigned)| Body::SlotReleased {
            model: key.model.clone(),
            index: key.index,
            assigned: *assigned,
            epoch: None,
        });
        let appends: Vec<_> =
            bodies.map(|body| control.appender.append(body, APPEND_TIMEOUT)).collect();
        if appends.is_empty() {
            if releases.changed().await.is_err() {
                return;
            }
            continue;
        }
        let results = future::join_all(appends).await;
        if results.iter().any(Result::is_err) {
            tracing::warn!("cannot release slots, retrying");
            time::sleep(RELEASE_RETRY_DELAY).await;
        }
    }
}

/// Records that the target is down, after its slots are released or the timeout has passed.
pub async fn announce_down(control: &ControlHandle, target: &TargetId) {
    let released = async {
        let mut changed = control.current.subscribe();
        while control.current.load().state.slots.by_key.values().any(|s| s.target == *target) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    if time::timeout(RELEASE_TIMEOUT, released).await.is_err() {
        tracing::warn!("graceful shutdown: slots not released in time, they stay with this target");
    }
    let body = Body::TargetDown { target: target.clone() };
    if let Err(error) = control.appender.append(body, APPEND_TIMEOUT).await {
        tracing::warn!(%error, "cannot record in the log that the target is down");
    }
}
