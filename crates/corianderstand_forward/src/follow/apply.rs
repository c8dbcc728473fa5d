//! Applying records of the store, from whichever router they come.
//!
//! Records are applied in the order of their positions. One whose value is older than what is known, or the same, only
//! moves the position of what is known.

use super::Subject;
use crate::{
    config_proof, continuations, dialect, ended_targets, eras, precedence,
    replicated_records::{Content, Origin, PageEnd, Source},
    router, status,
};
use corianderstand_fleet::{config, routes, targets};
use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Applies a page of records from the store or a peer.
pub fn apply_page<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
    source: Source,
    page: dialect::Page,
) {
    let end = PageEnd::from(&page);
    let reaches_end = page.reaches_end;
    eras::observe(shared, end.next.era(), source);
    let known = shared.replicated_records.borrow().progress(subject);
    let was_current = shared.replicated_records.borrow().is_current(subject);
    if known.next.era() < end.next.era() && !page.whole {
        return;
    }
    if page.whole && subject == Subject::Targets {
        continuations::record_missed_changes(shared);
    }
    let records = match subject {
        // A configuration of a later version is newer wherever it stands.
        Subject::Config => page.records,
        _ => shared.replicated_records.borrow().newer(subject, page),
    };
    for record in records {
        apply_record(shared, subject, source, record);
    }
    if subject == Subject::Routers {
        let mut peers = shared.peers.borrow_mut();
        peers.select_hubs(shared.clock.now());
        if reaches_end {
            peers.record_list_read();
        }
    }
    let advanced = shared.replicated_records.borrow_mut().advance(subject, end);
    if !was_current && shared.replicated_records.borrow().is_current(subject) {
        eras::log_reread(shared, subject);
    }
    if advanced && subject == Subject::Targets && shared.view.borrow().targets.is_empty() {
        // There are no targets, so no record woke the requests that wait for the first read.
        shared.view.borrow().wake_all(shared.clock.now());
    }
    let has_progress = shared.replicated_records.borrow().progress(subject) > known;
    // Reports the progress to routers without access to the store, so that they fetch the change, and this router to
    // those that it did not know.
    match subject {
        Subject::Config if has_progress => status::announce_records(shared),
        Subject::Routers if advanced => status::send_hello(shared),
        _ => {}
    }
}

pub(super) fn apply_record<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
    source: Source,
    record: dialect::Record,
) {
    let (position, now) = (record.position, shared.clock.now());
    let decoded = shared.platform.decode(subject, &record);
    let update = decoded.as_ref().ok().and_then(Option::as_ref);
    let hash = content_hash(&record, update);
    let content = Content { hash, stamp: precedence::Stamp::of(update) };
    let mut records = shared.replicated_records.borrow_mut();
    if records.outranks(subject, &record, &content) {
        records.keep(subject, &record.key, position);
        return;
    }
    if !records.is_newer(subject, &record, &content) {
        return;
    }
    let is_known = records.has_content(subject, &record.key, hash);
    records.insert(subject, record, source, content);
    drop(records);
    match decoded {
        Ok(Some(update)) => apply_update(shared, subject, Origin { source, position }, update),
        Ok(None) => {}
        Err(error) => {
            // Another writer may renew its record every second.
            if !is_known {
                shared.decision_log.record_ignored(subject, &error, position, source, now);
            }
            if subject == Subject::Config {
                config_proof::record_applied(shared, false);
            }
        }
    }
}

/// Hashes a record's content, ignoring the renewal counter of a target's entry.
fn content_hash(record: &dialect::Record, update: Option<&dialect::Update>) -> u64 {
    if let Some(dialect::Update::Target(entry)) = update {
        let entry = targets::Entry { renewals: 0, ..entry.clone() };
        match postcard::to_stdvec(&entry) {
            Ok(bytes) => return xxh3::xxh3_64(&bytes),
            Err(error) => tracing::warn!(%error, "entry cannot be hashed, treated as changed"),
        }
    }
    record.value.as_ref().map_or(0, |value| xxh3::xxh3_64(value))
}

fn apply_update<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
    origin: Origin,
    update: dialect::Update,
) {
    let now = shared.clock.now();
    match update {
        dialect::Update::Config(config) => {
            config_proof::record_applied(shared, true);
            apply_config(shared, origin, config);
        }
        dialect::Update::Target(entry) => apply_entry(shared, now, origin, entry),
        dialect::Update::TargetRemoved(id) => {
            let recovered_at = shared.replicated_records.borrow().recent_recovery(now, subject);
            let known = shared.view.borrow().targets.key(&id).is_some();
            let within = unread_time(shared, now, subject, origin.source);
            let grace = recovered_at.is_some();
            shared.decision_log.target_removed(&id, known, grace, origin, within);
            shared.view.borrow_mut().targets.remove(now, &id, recovered_at);
        }
        dialect::Update::Router(entry) => {
            continuations::stated::record(shared, &entry.router, &entry.versions);
            if entry.router == shared.settings.name {
                record_own_listed(shared, now, !entry.is_suspected);
            } else {
                shared.peers.borrow_mut().add_announced(now, entry);
            }
        }
        dialect::Update::RouterRemoved(name) => {
            if name == shared.settings.name {
                record_own_listed(shared, now, false);
            } else {
                shared.peers.borrow_mut().remove(now, &name);
            }
        }
    }
}

/// Records whether the store lists this router. One that was taken off the list announces itself again.
fn record_own_listed<P>(shared: &router::Shared<P>, now: Instant, is_listed: bool) {
    shared.peers.borrow_mut().record_own_listed(now, is_listed);
    if !is_listed && shared.stopping.get().is_none() {
        shared.entry_changed.notify_one();
    }
}

fn apply_entry<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    now: Instant,
    origin: Origin,
    entry: targets::Entry,
) {
    let id = entry.id.clone();
    let mut view = shared.view.borrow_mut();
    let change = view.targets.register(now, entry);
    let is_relevant = !matches!(
        change,
        targets::RegistrationChange::Nothing | targets::RegistrationChange::Stale
    );
    if is_relevant {
        let within = unread_time(shared, now, Subject::Targets, origin.source);
        shared.decision_log.target_changed(&id, change, origin, within, now);
        view.wake_all(now);
    }
    drop(view);
    ended_targets::record_replaced(shared, now);
}

/// Time before a page of `source` in which the store was not read for the known records; a record of the page
/// was written within it.
fn unread_time<P>(
    shared: &router::Shared<P>,
    now: Instant,
    subject: Subject,
    source: Source,
) -> Option<Duration> {
    let records = shared.replicated_records.borrow();
    let since_read = records.since_store_read(now, subject);
    match source {
        // The last response of a read has been recorded already, earlier ones haven't.
        Source::Store => since_read.max(records.previous_read_age(now, subject, source)),
        Source::Peer(_) => since_read,
    }
}

fn apply_config<P: router::Platform>(
    shared: &router::Shared<P>,
    Origin { source, position }: Origin,
    config: Arc<config::Config>,
) {
    let now = shared.clock.now();
    let age = shared.replicated_records.borrow().previous_read_age(now, Subject::Config, source);
    let age_ms = age.map(|age| age.as_millis() as u64);
    let version = config.version;
    let mut view = shared.view.borrow_mut();
    let known = view.route_table.as_ref().map(|table| table.config().version);
    if known.is_some_and(|known| known >= version) {
        tracing::info!(version, ?known, %position, %source, "configuration ignored: not newer than the one in force");
        return;
    }
    let routes = config.routes.len();
    let has_quotas = config.workspaces.iter().flatten().any(|workspace| workspace.quota.is_some());
    // The routers that keep a quota must agree on who they are.
    shared.peers.borrow_mut().set_needs_mesh(has_quotas);
    tracing::info!(version, ?known, routes, %position, %source, age_ms, "configuration in force");
    view.route_table = Some(Rc::new(routes::Table::new(config)));
    view.wake_all(now);
}
