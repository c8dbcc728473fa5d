//! Following the store: the configuration, the targets, the other routers.
//!
//! Each subject is read from where the last read ended, so nothing is missed and little is read
//! twice. When the store has dropped what comes next, the newest record of each key is taken
//! instead. While the store does not answer, what is known stays in force, and other routers may
//! hand over what they have read since ([`crate::catch_up`]).

pub mod others;

use crate::{control, copies, dialect, readers, router};
use copies::Source;
use corianderstand_fleet::{config, routes, targets};
use dialect::Subject;
use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Time that is left of the bound in which a configuration is to be in force when a read of it has
/// waited for news: what it has then for its answer is [`SILENCE`], and the next read has the rest.
const CONFIG_RESERVE: Duration = Duration::from_millis(1_000);
/// Time without a sign after which the store, or a peer that hands records over, counts as silent. Both
/// answer within some ms.
pub const SILENCE: Duration = Duration::from_millis(700);
/// Part of the time in which a leaving target is to get no more requests that passes between two
/// reads of the targets. All targets renew their entries each second or so; a read for each entry
/// would cost ten calls a second.
const TARGETS_PART: f64 = 0.4;
/// The same part where others follow this router; their own pauses come on top.
const READER_PART: f64 = 0.2;
/// Least pause between two reads of the targets when what is known of them has proved to be out of date.
const OUTDATED_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two reads of the routers: routers hear of one another directly, this finds those
/// that could not.
const ROUTERS_PAUSE: Duration = Duration::from_secs(8);
/// A read waits at least this long, so that following costs a few calls a second at most.
const LEAST_WAIT: Duration = Duration::from_millis(300);
/// Pause after a call that failed, so that a store that is coming back is not flooded.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

/// Begins to follow all subjects.
pub fn start<P: router::Platform>(shared: &Rc<router::Shared<P>>) {
    for subject in [Subject::Config, Subject::Targets, Subject::Routers] {
        tokio::task::spawn_local(follow(shared.clone(), subject));
    }
    tokio::task::spawn_local(announce(shared.clone()));
}

async fn announce<P: router::Platform>(shared: Rc<router::Shared<P>>) {
    let settings = &shared.settings;
    let entry = dialect::RouterEntry { router: settings.name.clone(), addr: settings.peers };
    while let Err(error) = shared.platform.announce(&entry).await {
        tracing::debug!(%error, "other routers were not told of this one yet");
        tokio::time::sleep(FAILED_PAUSE * 4).await;
    }
}

async fn follow<P: router::Platform>(shared: Rc<router::Shared<P>>, subject: Subject) {
    let mut from: Option<u64> = None;
    loop {
        let known = from.is_some() || shared.copies.borrow().next(subject) > 0;
        if known && others::follow(&shared, subject).await {
            continue;
        }
        let waiting = waiting(&shared, subject);
        let read = match from {
            None => shared.platform.newest(subject, &waiting).await,
            Some(at) => {
                // A router that follows others knows more than it has read itself.
                let at = at.max(shared.copies.borrow().next(subject));
                shared.platform.read(subject, at, &waiting).await
            }
        };
        match read {
            Ok(page) => {
                from = Some(page.next);
                note_read(&shared, subject);
                take(&shared, subject, Source::Store, page);
                match subject {
                    Subject::Config => {}
                    Subject::Targets => {
                        let within = shared.bounds.borrow().drain_within;
                        let part = match shared.role(shared.clock.now()) {
                            readers::Role::Reads => TARGETS_PART,
                            _ => READER_PART,
                        };
                        pause_targets(&shared, within.mul_f64(part)).await;
                    }
                    Subject::Routers => tokio::time::sleep(ROUTERS_PAUSE).await,
                }
            }
            Err(dialect::StoreError::Compacted(first)) => {
                tracing::info!(
                    ?subject,
                    ?from,
                    first,
                    "history gone: the newest of each key is read"
                );
                from = None;
            }
            Err(error) => {
                note_lost(&shared, subject, &error);
                others::pause_lost(&shared, pause_after(&error)).await;
            }
        }
    }
}

/// Pauses between two reads of the targets, until one proves to be another than was thought.
async fn pause_targets<P>(shared: &router::Shared<P>, pause: Duration) {
    let outdated = async {
        tokio::time::sleep(OUTDATED_PAUSE).await;
        shared.targets_outdated.notified().await;
    };
    // Most pauses end without such news.
    drop(tokio::time::timeout(pause, outdated).await);
}

fn waiting<P>(shared: &router::Shared<P>, subject: Subject) -> dialect::ReadOptions {
    let wait = match subject {
        Subject::Routers => Duration::ZERO,
        Subject::Config | Subject::Targets => wait(shared.bounds.borrow().config_within),
    };
    let heard = shared.copies.borrow_mut().heard(subject);
    dialect::ReadOptions { wait, idle_timeout: SILENCE, last_received: heard }
}

/// How long a read waits for news, if these are to be in force within a time.
pub fn wait(within: Duration) -> Duration {
    within.saturating_sub(CONFIG_RESERVE).max(LEAST_WAIT)
}

/// Pause before the next read after one that failed. The store was silent for long enough already:
/// a connection that has gone dead hides what was written meanwhile, and the bound in which that is to
/// be in force is nearly over.
pub const fn pause_after(error: &dialect::StoreError) -> Duration {
    match error {
        dialect::StoreError::TimedOut(_) => Duration::ZERO,
        _ => FAILED_PAUSE,
    }
}

fn note_read<P: router::Platform>(shared: &router::Shared<P>, subject: Subject) {
    let now = shared.clock.now();
    let mut copies = shared.copies.borrow_mut();
    let away_ms = copies.since_read(now, subject).map(|age| age.as_millis() as u64);
    if copies.note_read(now, subject) {
        tracing::info!(?subject, away_ms, "the store is read again");
    }
}

fn note_lost<P>(shared: &router::Shared<P>, subject: Subject, error: &dialect::StoreError) {
    shared.log.metrics.read_failed(subject);
    let mut copies = shared.copies.borrow_mut();
    let age_ms = copies.since_read(shared.clock.now(), subject).map(|age| age.as_millis() as u64);
    if copies.note_lost(subject) {
        tracing::warn!(?subject, %error, age_ms,
            "the store cannot be read: what is known stays in force");
        drop(copies);
        shared.view.borrow().wake_all();
    }
}

/// Takes records, from the store or from a peer.
pub fn take<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
    source: Source,
    page: dialect::Page,
) {
    let gone = shared.copies.borrow().missing(subject, &page);
    let mut records: Vec<_> = page.records.into_iter().chain(gone).collect();
    // The newest record of each key comes by key, and the later of two targets at an address counts.
    records.sort_by_key(|record| record.offset);
    for record in records {
        if shared.copies.borrow().is_newer(subject, &record) {
            take_record(shared, subject, source, record);
        }
    }
    let further = shared.copies.borrow_mut().advance(subject, page.next);
    if further && subject == Subject::Targets && shared.view.borrow().targets.is_empty() {
        // There are none, and requests that wait for the first read are to hear it.
        shared.view.borrow().wake_all();
    }
    // A router that the store turns away learns of a change from a peer that says it has it. Said only
    // at the next turn, up to a second of the bound would be over by then.
    if further && subject == Subject::Config {
        control::say_hello(shared);
    }
}

fn take_record<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
    source: Source,
    record: dialect::Record,
) {
    let offset = record.offset;
    let decoded = shared.platform.decode(subject, &record);
    let content = content(&record, decoded.as_ref().ok().and_then(Option::as_ref));
    shared.copies.borrow_mut().keep(subject, record, content);
    match decoded {
        Ok(Some(news)) => take_news(shared, subject, Origin { source, offset }, news),
        Ok(None) => {}
        Err(error) => tracing::warn!(?subject, %error, offset, %source, "record left out"),
    }
}

/// A hash of what a record says, the same for an entry and its mere renewal.
fn content(record: &dialect::Record, news: Option<&dialect::Update>) -> u64 {
    if let Some(dialect::Update::Target(entry)) = news {
        let entry = targets::Entry { renewals: 0, ..entry.clone() };
        match postcard::to_stdvec(&entry) {
            Ok(bytes) => return xxh3::xxh3_64(&bytes),
            Err(error) => tracing::warn!(%error, "an entry cannot be hashed: it counts as changed"),
        }
    }
    record.value.as_ref().map_or(0, |value| xxh3::xxh3_64(value))
}

/// Where a piece of news stands.
#[derive(Clone, Copy)]
struct Origin {
    source: Source,
    offset: u64,
}

fn take_news<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
    origin: Origin,
    news: dialect::Update,
) {
    let now = shared.clock.now();
    match news {
        dialect::Update::Config(config) => take_config(shared, origin, config),
        dialect::Update::Target(entry) => {
            let id = entry.id.clone();
            let mut view = shared.view.borrow_mut();
            let change = view.targets.register(now, entry);
            if !matches!(change, targets::Change::Nothing | targets::Change::Stale) {
                tracing::debug!(target = %id, ?change, "target");
                view.wake_all();
            }
        }
        dialect::Update::TargetRemoved(id) => {
            let grace = shared.copies.borrow().just_back(now, subject);
            tracing::info!(target = %id, grace, "target's entry removed");
            shared.view.borrow_mut().targets.remove(now, &id, grace);
        }
        dialect::Update::Router(entry) => {
            if entry.router != shared.settings.name {
                shared.peers.borrow_mut().add(now, entry.router, entry.addr);
                control::say_hello(shared);
            }
        }
        dialect::Update::RouterRemoved(name) => shared.peers.borrow_mut().remove(&name),
    }
}

fn take_config<P: router::Platform>(
    shared: &router::Shared<P>,
    Origin { source, offset }: Origin,
    config: Arc<config::Config>,
) {
    let now = shared.clock.now();
    let age = shared.copies.borrow().age_before(now, Subject::Config, source);
    let age_ms = age.map(|age| age.as_millis() as u64);
    let version = config.version;
    let mut view = shared.view.borrow_mut();
    let known = view.table.as_ref().map(|table| table.config().version);
    if known.is_some_and(|known| known >= version) {
        tracing::info!(version, ?known, offset, %source, "configuration left out: it is not newer");
        return;
    }
    let routes = config.routes.len();
    tracing::info!(version, ?known, routes, offset, %source, age_ms, "configuration in force");
    view.table = Some(Rc::new(routes::Table::new(config)));
    view.wake_all();
}

/// Forgets targets whose entries did not come back.
pub fn expire<P>(shared: &router::Shared<P>, now: Instant) {
    let gone = shared.view.borrow_mut().targets.expire(now, copies::RETURN_GRACE);
    for id in gone {
        tracing::info!(target = %id, "target did not come back");
    }
}
