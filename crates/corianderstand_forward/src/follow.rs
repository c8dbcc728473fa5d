//! Replication of the store's configuration, targets and routers.
//!
//! Reads continue at the last known position, or with the newest record of each key if the store has discarded records
//! or come back from an older copy ([`eras`]). Known records stay in force while the store does not respond.

mod apply;
pub mod via_readers;

pub use apply::apply_page;

use crate::{
    config_proof, continuations, dialect, eras, readers, replicated_records, retries, router,
};
use corianderstand_types::position::Position;
use dialect::Subject;
use replicated_records::Source;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Part of `config_within` reserved for a response timeout and another read.
const CONFIG_READ_MARGIN: Duration = Duration::from_millis(1_000);
/// Response timeout of the store and of peers that transfer records.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between reads of the targets, as a fraction of `drain_within`.
const TARGETS_INTERVAL_RATIO: f64 = 0.4;
/// Shorter for a reader, as its followers poll it at an interval of their own.
const READER_INTERVAL_RATIO: f64 = 0.2;
/// Longest time that a reader waits for a change, as followers go by its last read: a read that ends without a
/// change tells them that there was none.
const READER_WAIT_RATIO: f64 = 0.15;
/// Minimum interval between reads of the targets when they are known to be outdated.
const MIN_TARGETS_INTERVAL: Duration = Duration::from_millis(250);
/// Routers learn of each other directly; reading them finds those that could not.
const ROUTERS_INTERVAL: Duration = Duration::from_secs(8);
/// Time in which the routers of a new deployment announce themselves, before they choose who reads for others.
const FIRST_START_DELAY: Duration = Duration::from_millis(500);
/// Interval after the start of a router of a large deployment, as others may be starting too.
const MIN_ROUTERS_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which a router's other first reads wait for the store's list of routers.
const ROUTERS_WAIT: Duration = Duration::from_millis(120);
const ROUTERS_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(300);
/// Time over which routers write their entries again after the store has come back from a copy.
const ANNOUNCE_SPREAD: Duration = Duration::from_secs(1);
/// Delay after a failed read, so that routers don't overload a recovering store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Starts following all subjects.
pub fn start<P: router::Platform>(shared: &Rc<router::Shared<P>>) {
    tokio::task::spawn_local(announce(shared.clone()));
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        if shared.settings.is_first_start {
            tokio::time::sleep(FIRST_START_DELAY).await;
        }
        for subject in [Subject::Config, Subject::Targets, Subject::Routers] {
            tokio::task::spawn_local(follow(shared.clone(), subject));
        }
    });
}

/// Writes this router's entry, and again whenever the store has come back from a copy, which may lack it.
async fn announce<P: router::Platform>(shared: Rc<router::Shared<P>>) {
    let settings = &shared.settings;
    let entry = || dialect::RouterEntry {
        router: settings.name.clone(),
        addr: settings.peer_addr,
        zone: Some(settings.zone.clone()),
        strength: settings.cpu_millicores,
        is_suspected: false,
        versions: continuations::stated::own(&shared),
    };
    if !settings.is_first_start {
        // The list tells whether the others know this router from before.
        wait_for_routers(&shared).await;
    }
    let hash = xxh3::xxh3_64(settings.name.as_bytes());
    let spread = ANNOUNCE_SPREAD.mul_f64(hash as f64 / u64::MAX as f64);
    loop {
        let era = shared.replicated_records.borrow().era();
        match shared.platform.announce(&entry()).await {
            Ok(()) => {
                eras::observe(&shared, shared.platform.era(), Source::Store);
                // The first era that is seen is that of this write.
                let risen = eras::wait_for_later(&shared, era.max(shared.platform.era()));
                tokio::select! {
                    () = risen => tokio::time::sleep(spread).await,
                    () = shared.entry_changed.notified() => {
                        tracing::info!("this router's entry in the store is written again");
                    }
                }
            }
            Err(error) => {
                tracing::debug!(%error, "announcing this router in the store failed, retrying");
                eras::observe(&shared, shared.platform.era(), Source::Store);
                tokio::time::sleep(RETRY_DELAY * 4).await;
            }
        }
    }
}

async fn follow<P: router::Platform>(shared: Rc<router::Shared<P>>, subject: Subject) {
    let mut from = if subject == Subject::Routers {
        via_readers::first_routers(&shared).await
    } else {
        wait_for_routers(&shared).await;
        via_readers::first_position(&shared, subject).await
    };
    let mut routers_reads = 0;
    let mut is_behind = false;
    let mut is_rereading = false;
    loop {
        let known = from.is_some() || shared.replicated_records.borrow().is_known(subject);
        if known && !is_behind && via_readers::follow(&shared, subject).await {
            continue;
        }
        let sent_at = shared.clock.since_boot();
        let known_next = shared.replicated_records.borrow().next(subject);
        // What an earlier era had at these offsets is gone.
        from = from.filter(|from| from.era() == known_next.era());
        let Some(read) = read(&shared, subject, from.map(|from| from.max(known_next))).await else {
            continue;
        };
        match read {
            Ok(page) => {
                // Records beyond the page are unknown still, so that it doesn't count as a read.
                is_behind = !page.reaches_end && page.next > known_next;
                is_rereading = false;
                from = Some(page.next);
                if is_behind {
                    apply_page(&shared, subject, Source::Store, page);
                    continue;
                }
                record_read(&shared, subject, Duration::ZERO);
                // A stale read ends before records that are known already.
                let is_complete = page.reaches_end && page.next >= known_next;
                apply_page(&shared, subject, Source::Store, page);
                if is_complete && subject == Subject::Config {
                    config_proof::record_read(&shared, sent_at);
                }
                match subject {
                    Subject::Config => {}
                    Subject::Targets => {
                        let drain_within = shared.bounds.borrow().drain_within;
                        let ratio = match shared.role(shared.clock.now()) {
                            readers::Role::Reads => TARGETS_INTERVAL_RATIO,
                            _ => READER_INTERVAL_RATIO,
                        };
                        wait_before_targets_read(&shared, drain_within.mul_f64(ratio)).await;
                    }
                    Subject::Routers => {
                        let is_mesh = shared.peers.borrow().is_mesh();
                        let interval = routers_interval(is_mesh, routers_reads);
                        let era = known_next.era();
                        let risen = eras::wait_for_later(&shared, era);
                        drop(tokio::time::timeout(interval, risen).await);
                        routers_reads += 1;
                    }
                }
            }
            Err(dialect::StoreError::Compacted(first)) => {
                tracing::info!(
                    ?subject,
                    ?from,
                    first,
                    "records discarded by the store: reading the newest of each key"
                );
                if is_rereading {
                    // The store has none of the offsets that it just named.
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                is_rereading = true;
                from = None;
            }
            Err(error) => {
                is_behind = false;
                record_read_failure(&shared, subject, &error);
                via_readers::delay_retry(&shared, retry_delay(&error)).await;
            }
        }
    }
}

/// Reads from a position on, or the newest record of each key. None if the store has come back from a copy since: then
/// the records are to be read anew.
async fn read<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
    from: Option<Position>,
) -> Option<Result<dialect::Page, dialect::StoreError>> {
    let options = read_options(shared, subject);
    let era = shared.replicated_records.borrow().era();
    let read = async {
        match from {
            None => shared.platform.newest(subject, &options).await,
            Some(from) => shared.platform.read(subject, from.offset(), &options).await,
        }
    };
    let read = tokio::select! {
        biased;
        read = read => read,
        () = eras::wait_for_later(shared, era) => return None,
    };
    eras::observe(shared, shared.platform.era(), Source::Store);
    let era = shared.replicated_records.borrow().era();
    match &read {
        Ok(page) if page.next.era() < era => {
            Some(Err(dialect::StoreError::Outdated(page.next.era())))
        }
        // The records before it in its own era are not known.
        Ok(page) if !page.whole && from.is_some_and(|from| from.era() < page.next.era()) => None,
        _ => Some(read),
    }
}

/// Time until the list of routers is read again, after so many reads. The first ones follow soon, as other routers may
/// be starting too.
fn routers_interval(is_mesh: bool, reads: u32) -> Duration {
    let interval = match (is_mesh, reads) {
        (true, 0) => retries::ANNOUNCE_TIME,
        (true, _) => ROUTERS_INTERVAL,
        (false, _) => MIN_ROUTERS_INTERVAL.saturating_mul(2_u32.saturating_pow(reads)),
    };
    interval.min(ROUTERS_INTERVAL)
}

/// Waits for the first read of the routers, for a short time.
async fn wait_for_routers<P: router::Platform>(shared: &router::Shared<P>) {
    let is_read = || {
        let records = shared.replicated_records.borrow();
        let subject = Subject::Routers;
        records.since_read(shared.clock.now(), subject).is_some()
            || records.last_read_failed(subject)
    };
    let deadline = shared.clock.now() + via_readers::seeds_wait(shared) + ROUTERS_WAIT;
    while !is_read() && shared.clock.now() < deadline {
        tokio::time::sleep(ROUTERS_POLL_INTERVAL).await;
    }
}

/// Waits for `delay`, or until a target turns out to be outdated.
async fn wait_before_targets_read<P>(shared: &router::Shared<P>, delay: Duration) {
    let outdated = async {
        tokio::time::sleep(MIN_TARGETS_INTERVAL).await;
        shared.targets_outdated.notified().await;
    };
    drop(tokio::time::timeout(delay, outdated).await);
}

fn read_options<P: router::Platform>(
    shared: &router::Shared<P>,
    subject: Subject,
) -> dialect::ReadOptions {
    let wait = match subject {
        Subject::Routers => Duration::ZERO,
        Subject::Targets => {
            let bounds = shared.bounds.borrow();
            let wait = long_poll_wait(bounds.config_within);
            match shared.role(shared.clock.now()) {
                readers::Role::ReadsForOthers => {
                    wait.min(bounds.drain_within.mul_f64(READER_WAIT_RATIO))
                }
                _ => wait,
            }
        }
        Subject::Config => {
            let wait = long_poll_wait(shared.bounds.borrow().config_within);
            config_proof::long_poll_wait(shared).map_or(wait, |for_proof| wait.min(for_proof))
        }
    };
    let last_received = shared.replicated_records.borrow_mut().last_received(subject);
    dialect::ReadOptions { long_poll_wait: wait, idle_timeout: RESPONSE_TIMEOUT, last_received }
}

/// Long-poll duration that leaves time to apply a change within `config_within`.
pub fn long_poll_wait(config_within: Duration) -> Duration {
    config_within.saturating_sub(CONFIG_READ_MARGIN).max(MIN_LONG_POLL_WAIT)
}

/// Delay before a failed read is retried; none after a timeout, which may have hidden a change.
pub const fn retry_delay(error: &dialect::StoreError) -> Duration {
    match error {
        dialect::StoreError::TimedOut(_) => Duration::ZERO,
        _ => RETRY_DELAY,
    }
}

/// Records that the store was read `age` ago.
fn record_read<P: router::Platform>(shared: &router::Shared<P>, subject: Subject, age: Duration) {
    let now = shared.clock.now();
    let read_at = now.checked_sub(age).unwrap_or(now);
    let mut records = shared.replicated_records.borrow_mut();
    let previous_read_age_ms = records.since_read(now, subject).map(|age| age.as_millis() as u64);
    if records.record_read(now, read_at, subject) {
        tracing::info!(?subject, away_ms = previous_read_age_ms, "store reachable again");
    }
}

fn record_read_failure<P>(
    shared: &router::Shared<P>,
    subject: Subject,
    error: &dialect::StoreError,
) {
    shared.decision_log.metrics.read_failed(subject);
    let mut records = shared.replicated_records.borrow_mut();
    let age_ms = records.since_read(shared.clock.now(), subject).map(|age| age.as_millis() as u64);
    if records.record_read_failure(subject) {
        tracing::warn!(?subject, %error, age_ms,
            "reading the store failed: known records stay in force");
        drop(records);
        shared.view.borrow().wake_all(shared.clock.now());
    }
}

/// Removes targets that the store has no entry of, after a grace period, and applies the entries of those
/// whose agents report no more. Removes what was awaited in vain after the store came back from a copy.
pub fn expire<P: router::Platform>(shared: &Rc<router::Shared<P>>, now: Instant) {
    let lapsed = shared.replicated_records.borrow().lapsed(now);
    for (subject, record) in lapsed {
        tracing::info!(?subject, key = %record.key, "not written again since the store came back: removed");
        apply::apply_record(shared, subject, Source::Store, record);
    }
    shared.view.borrow_mut().targets.apply_superseded(now);
    let read_at = shared.replicated_records.borrow().store_read_at(Subject::Targets);
    let grace = replicated_records::RECOVERY_GRACE;
    let expired = shared.view.borrow_mut().targets.expire(now, grace, read_at);
    for id in expired {
        tracing::info!(target = %id, "target expired: the store has no entry of it");
    }
}
