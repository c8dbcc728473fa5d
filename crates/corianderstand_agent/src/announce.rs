//! What an agent says of its target in the log: that it is there, what it gives back.

use crate::release::SlotReleases;
use corianderstand_control::start::ControlHandle;
use corianderstand_schema::records::{Body, TargetRecord};
use corianderstand_types::names::TargetId;
use futures::future;
use std::time::Duration;
use tokio::{sync::watch, time};

/// Time the log has to decide a record before it is tried again.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time a planned stop waits for its slots to be released; after it they stay with the
/// target until its host is gone or it starts again.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a release that was not decided is tried again.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Announces the target, and again whenever it is missing from the state.
///
/// A host that the list loses for long is removed with its target although its agent may live;
/// without a new announcement the target would serve nobody until a restart. An announcement
/// of a later start of the same target is left alone, so that two do not take turns for ever.
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
                tracing::warn!(%error, "target not announced yet");
            }
            continue;
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// SlotReleases slots in the log as they are given up.
pub async fn append_releases(control: ControlHandle, mut releases: watch::Receiver<SlotReleases>) {
    loop {
        let due = releases.borrow_and_update().clone();
        let snapshot = control.current.load();
        let slots = &snapshot.state.slots.by_key;
        let open = due
            .iter()
            .filter(|(key, at)| slots.get(*key).is_some_and(|slot| slot.assigned == **at));
        let bodies = open.map(|(key, assigned)| Body::SlotReleased {
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
        let decided = future::join_all(appends).await;
        if decided.iter().any(Result::is_err) {
            tracing::warn!("release of slots not decided yet");
            time::sleep(RELEASE_RETRY_DELAY).await;
        }
    }
}

/// Says that the target stops, after its slots are released or the limit has passed.
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
        tracing::warn!("planned stop: slots not released in time, they stay with this target");
    }
    let body = Body::TargetDown { target: target.clone() };
    if let Err(error) = control.appender.append(body, APPEND_TIMEOUT).await {
        tracing::warn!(%error, "goodbye not decided");
    }
}
