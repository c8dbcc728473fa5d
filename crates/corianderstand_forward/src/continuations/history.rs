//! Which software versions services have had, as far as this router has seen or been told.

use super::{SETTLING_TIME, keepers, questions, stated};
use crate::{dialect, router};
use corianderstand_types::names;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Multiple of the time within which a leaving must be in force, up to which the targets count as known.
const MAX_TARGETS_AGE_RATIO: u32 = 2;
/// Bounds the work for hundreds of targets.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);

/// Records the versions of all targets. Once a service has more than one, the other routers are told of the streams
/// that began before.
pub fn observe_versions<P: router::Platform>(shared: &Rc<router::Shared<P>>, now: Instant) {
    let state = &shared.continuations;
    state.started_at.set(state.started_at.get().or(Some(now)));
    let is_due = |at: Instant| now.saturating_duration_since(at) >= OBSERVATION_INTERVAL;
    if !state.observed_at.get().is_none_or(is_due) {
        return;
    }
    state.observed_at.set(Some(now));
    state.history.borrow_mut().observe(now, &shared.view.borrow().targets);
    if is_current(shared, now) {
        state.history.borrow_mut().begin(now, shared.settings.is_first_start);
    }
    let services: Vec<names::ServiceId> = {
        let view = shared.view.borrow();
        let config = view.route_table.as_ref().map(|table| table.config());
        let services = config.into_iter().flat_map(|config| &config.services);
        services.map(|service| service.name.clone()).collect()
    };
    stated::update(shared, now, &services);
    for service in services {
        let is_told = state.told.borrow().contains(&service);
        let is_sole = sole_version(shared, &service).is_some();
        if is_sole {
            state.told.borrow_mut().retain(|told| *told != service);
            continue;
        }
        if is_settling(shared, &service) {
            ask_for_history(shared, &service);
        }
        if !is_told {
            state.told.borrow_mut().push(service.clone());
            let origins = state.origins.borrow();
            let began = origins.of_service(&service);
            questions::tell(shared, began.map(|(key, origin)| (key, origin.clone())));
        }
    }
}

/// Asks other routers for the only version of a service before this router started.
fn ask_for_history<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    service: &names::ServiceId,
) {
    if has_several_versions(shared, service) {
        return;
    }
    for keeper in keepers::to_ask(shared, None) {
        let (shared, service) = (shared.clone(), service.clone());
        tokio::task::spawn_local(async move {
            drop(questions::ask(&shared, keeper, None, &service).await);
        });
    }
}

/// Whether a service has more than one version.
pub(super) fn has_several_versions<P>(
    shared: &router::Shared<P>,
    service: &names::ServiceId,
) -> bool {
    shared.continuations.history.borrow().has_several(service)
}

/// Records that changes of targets may have been missed: what came is what there is now.
pub fn record_missed_changes<P>(shared: &router::Shared<P>) {
    shared.continuations.history.borrow_mut().interrupt(shared.clock.now());
}

/// Whether the targets are known from a recent read of the store.
fn is_current<P>(shared: &router::Shared<P>, now: Instant) -> bool {
    let max_age = shared.bounds.borrow().drain_within * MAX_TARGETS_AGE_RATIO;
    let age = shared.replicated_records.borrow().since_store_read(now, dialect::Subject::Targets);
    age.is_some_and(|age| age <= max_age)
}

/// The version that a service has had alone for as long as streams are remembered, if that is known.
pub(super) fn sole_version<P: router::Platform>(
    shared: &router::Shared<P>,
    service: &names::ServiceId,
) -> Option<names::SoftwareVersion> {
    let now = shared.clock.now();
    if !is_current(shared, now) {
        return None;
    }
    shared.continuations.history.borrow().sole(now, service).cloned()
}

/// Whether more may soon be known: this router has just started, or a target of the service that has just started
/// is to register.
pub(super) fn is_settling<P>(shared: &router::Shared<P>, service: &names::ServiceId) -> bool {
    let now = shared.clock.now();
    let started_at = shared.continuations.started_at.get();
    let is_starting = started_at.is_none_or(|at| now.saturating_duration_since(at) < SETTLING_TIME);
    let view = shared.view.borrow();
    let mut entries = view.targets.iter().map(|(_, target)| &target.entry);
    is_starting || entries.any(|entry| entry.service == *service && entry.version.is_none())
}
