//! The software versions that services had lately, as routers state them in their entries in the store.
//!
//! All routers may be killed at once, and what they remember is gone. The statements outlive them: a router that starts
//! and finds one version stated, the one that it sees, knows that streams may go on at it. Two routers state what they
//! know; the store is written to when a version comes, and when it has been gone for as long as streams last.

use crate::router;
use corianderstand_fleet::streams;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Routers that state the versions.
const STATING_ROUTERS: usize = 2;

/// The statements that were found at the start, and this router's own.
#[derive(Default)]
pub struct Statements {
    /// Of each router; its last one, from before it was started again.
    found: BTreeMap<SmolStr, streams::RecentVersions>,
    /// What this router's entry states.
    own: streams::RecentVersions,
}

impl Statements {
    /// The versions that any router stated of a service.
    fn of_service(&self, service: &names::ServiceId) -> Option<BTreeSet<names::SoftwareVersion>> {
        let mut stated =
            self.found.values().filter_map(|versions| versions.get(service)).peekable();
        stated.peek()?;
        Some(stated.flatten().cloned().collect())
    }
}

/// What this router's entry has to state.
pub fn own<P>(shared: &router::Shared<P>) -> streams::RecentVersions {
    shared.continuations.statements.borrow().own.clone()
}

/// Records what an entry states that was read before this router's list of routers was complete. Later ones say nothing
/// of the time before its start that it doesn't see itself.
pub fn record<P>(shared: &router::Shared<P>, router: &SmolStr, versions: &streams::RecentVersions) {
    if !shared.peers.borrow().has_list() {
        let mut statements = shared.continuations.statements.borrow_mut();
        if *router == shared.settings.name {
            statements.own = versions.clone();
        }
        statements.found.insert(router.clone(), versions.clone());
    }
}

/// Takes in what was found of a service, and states what has changed.
pub(super) fn update<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    services: &[names::ServiceId],
) {
    if !shared.peers.borrow().has_list() {
        return;
    }
    let mut statements = shared.continuations.statements.borrow_mut();
    let mut history = shared.continuations.history.borrow_mut();
    let mut recent = streams::RecentVersions::new();
    for service in services {
        let stated = statements.of_service(service);
        if let Some(sole) =
            stated.as_ref().filter(|stated| stated.len() == 1).and_then(|s| s.first())
        {
            history.record_stated(service, sole);
        }
        if let Some(versions) = history.recent(now, service, stated.as_ref()) {
            recent.insert(service.clone(), versions);
        } else if let Some(versions) = statements.own.get(service) {
            recent.insert(service.clone(), versions.clone());
        }
    }
    if recent != statements.own && (states_versions(shared, now) || !statements.own.is_empty()) {
        tracing::info!(versions = ?recent, "software versions of services stated in the store");
        statements.own = recent;
        shared.entry_changed.notify_one();
    }
}

/// Whether this router is one of those that state the versions.
fn states_versions<P>(shared: &router::Shared<P>, now: Instant) -> bool {
    let peers = shared.peers.borrow();
    let before = peers.live(now).filter(|(name, _)| **name < shared.settings.name);
    before.take(STATING_ROUTERS).count() < STATING_ROUTERS
}
