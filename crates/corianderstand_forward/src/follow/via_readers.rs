//! Following the store through reader routers of the same zone ([`crate::readers`]).

use super::{ROUTERS_INTERVAL, TARGETS_INTERVAL_RATIO, record_read, wait_before_targets_read};
use crate::{
    dialect::Subject,
    eras, readers,
    replicated_records::{Progress, Source},
    router, transfer,
};
use corianderstand_schema::peers as wire;
use corianderstand_types::position::{Era, Position};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Share of `drain_within` between requests to a reader.
const FOLLOWER_INTERVAL_RATIO: f64 = 0.1;
/// Time in which the readers of a router that starts are expected to have read the store, if they start too.
const FIRST_FETCH_TIME: Duration = Duration::from_millis(1_500);
/// Time for one answer. Routers that start together with their seeds read the store.
const SEEDS_WAIT: Duration = Duration::from_millis(100);
/// Time for the seeds of a new deployment to read the list themselves, and to serve the other routers.
const FIRST_SEEDS_WAIT: Duration = Duration::from_millis(800);
const SEEDS_INTERVAL: Duration = Duration::from_millis(150);
const FIRST_FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which readers read the store anew after it came back from an older copy.
const REREAD_TIME: Duration = Duration::from_secs(1);
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Polls after which a router without readers tries the store itself.
const FALLBACK_POLLS: u32 = 5;

/// Longest time in which a router that starts asks its seeds for the list of routers.
pub(super) fn seeds_wait<P>(shared: &router::Shared<P>) -> Duration {
    if shared.settings.is_first_start { FIRST_SEEDS_WAIT } else { SEEDS_WAIT }
}

/// Fetches the list of routers from a seed. Returns the position after it, or none if this router should read the
/// store, as the seeds do, and all routers of a small deployment.
pub(super) async fn first_routers<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
) -> Option<Position> {
    let mut seeds = shared.bounds.borrow().seeds.clone();
    if seeds.contains(&shared.settings.peer_addr) {
        return None;
    }
    // Spreads the routers over the seeds.
    let order =
        |seed: &SocketAddr| xxh3::xxh3_64(format!("{} {seed}", shared.settings.name).as_bytes());
    seeds.sort_by_key(order);
    let asked = ask_seeds(shared, &seeds);
    tokio::time::timeout(seeds_wait(shared), asked).await.ok().flatten()
}

async fn ask_seeds<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    seeds: &[SocketAddr],
) -> Option<Position> {
    let subject = Subject::Routers;
    let is_first_start = shared.settings.is_first_start;
    let questions = if is_first_start { usize::MAX } else { seeds.len() };
    for seed in seeds.iter().cycle().take(questions) {
        let outcome = transfer::fetch_changes(shared, *seed, subject).await;
        let next = shared.replicated_records.borrow().next(subject);
        if let transfer::TransferOutcome::Applied(age) = outcome
            && next > Position::start_of(next.era())
        {
            if shared.peers.borrow().is_mesh() {
                return None;
            }
            record_read(shared, subject, age?);
            return Some(next);
        }
        if is_first_start {
            tokio::time::sleep(SEEDS_INTERVAL).await;
        }
    }
    None
}

/// Fetches the first records of a router that starts from its readers. Returns the position after them, or none
/// if this router should read the store.
pub(super) async fn first_position<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
) -> Option<Position> {
    let give_up_at = shared.clock.now() + FIRST_FETCH_TIME;
    while let readers::Role::Follows(readers) = shared.role(shared.clock.now()) {
        for reader in readers {
            let outcome = transfer::fetch_changes(shared, reader, subject).await;
            if let transfer::TransferOutcome::Applied(Some(age)) = outcome {
                record_read(shared, subject, age);
                return Some(shared.replicated_records.borrow().next(subject));
            }
        }
        if shared.clock.now() >= give_up_at {
            return None;
        }
        tokio::time::sleep(FIRST_FETCH_INTERVAL).await;
    }
    None
}

/// Waits for one interval. Returns false if this router should read the store now, because it has no
/// readers or their records are too old.
pub(super) async fn follow<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
) -> bool {
    let readers::Role::Follows(readers) = shared.role(shared.clock.now()) else { return false };
    match subject {
        // Readers announce new records at once ([`crate::catch_up`]).
        Subject::Config => tokio::time::sleep(ROLE_POLL_INTERVAL).await,
        // Routers announce themselves to each other, but only the list tells that one has gone.
        Subject::Routers => {
            tokio::time::sleep(ROLE_POLL_INTERVAL).await;
            return is_list_young(shared) || fetch_routers(shared, &readers).await;
        }
        Subject::Targets => {
            let drain_within = shared.bounds.borrow().drain_within;
            wait_before_targets_read(shared, drain_within.mul_f64(FOLLOWER_INTERVAL_RATIO)).await;
            return fetch_targets(shared, &readers).await;
        }
    }
    true
}

/// Whether the list of routers needs no other read yet.
fn is_list_young<P: router::Platform>(shared: &router::Shared<P>) -> bool {
    let since_read =
        shared.replicated_records.borrow().since_read(shared.clock.now(), Subject::Routers);
    !shared.peers.borrow().needs_mesh() || since_read.is_some_and(|time| time < ROUTERS_INTERVAL)
}

/// Fetches the list of routers from the readers. Returns false if none has read it lately.
async fn fetch_routers<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    readers: &[SocketAddr],
) -> bool {
    for reader in readers {
        let outcome = transfer::fetch_changes(shared, *reader, Subject::Routers).await;
        if let transfer::TransferOutcome::Applied(Some(age)) = outcome
            && age <= ROUTERS_INTERVAL * 2
        {
            record_read(shared, Subject::Routers, age);
            return true;
        }
    }
    false
}

/// Fetches the targets from the readers. Returns false if their records are too old.
async fn fetch_targets<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    readers: &[SocketAddr],
) -> bool {
    let subject = Subject::Targets;
    let max_age = shared.bounds.borrow().drain_within.mul_f64(TARGETS_INTERVAL_RATIO);
    let mut is_outdated = false;
    for reader in readers {
        match transfer::fetch_changes(shared, *reader, subject).await {
            transfer::TransferOutcome::Applied(Some(age)) if age <= max_age => {
                record_read(shared, subject, age);
                return true;
            }
            transfer::TransferOutcome::Outdated => is_outdated = true,
            // Another reader may have read later.
            transfer::TransferOutcome::Applied(_) | transfer::TransferOutcome::Refused => {}
            transfer::TransferOutcome::NoRecords => return false,
        }
    }
    // Readers are about to read what the store has since it came back. If all routers did, they would overload it.
    let since_rise = shared.replicated_records.borrow().since_rise(shared.clock.now());
    is_outdated && since_rise.is_some_and(|time| time < REREAD_TIME)
}

/// Learns how far another router knows the store's records. Counts the configuration as just read if a reader of this
/// router has no newer one.
pub fn on_records_update<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    from: SocketAddr,
    update: wire::RecordsUpdate,
) {
    if update.router.as_str() == shared.settings.name {
        return;
    }
    eras::observe(shared, Era(update.era), Source::Peer(from));
    let is_reader = shared.peers.borrow().reads_for_zone(update.router.as_str());
    let progress = Progress {
        config_version: update.config_version,
        next: Position::new(Era(update.era), update.config_next),
    };
    if !shared.peers.borrow_mut().on_records(update) {
        return;
    }
    let own = shared.replicated_records.borrow().progress(Subject::Config);
    if progress.is_ahead_of(&own) {
        // The store may have nothing newer for this router to read: it asks its peer at once.
        shared.control_wake.notify_one();
    } else if is_reader
        && matches!(shared.role(now), readers::Role::Follows(_))
        && progress.next.era() == own.next.era()
    {
        record_read(shared, Subject::Config, Duration::ZERO);
    }
}

/// Waits longer if other routers should read, so that many don't overload a recovering store.
pub(super) async fn delay_retry<P: router::Platform>(shared: &router::Shared<P>, delay: Duration) {
    tokio::time::sleep(delay).await;
    for _ in 0..FALLBACK_POLLS {
        if shared.role(shared.clock.now()) != readers::Role::ReadsAsFallback {
            return;
        }
        tokio::time::sleep(ROLE_POLL_INTERVAL).await;
    }
}
