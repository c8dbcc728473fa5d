//! Following the store through other routers of the zone that read it ([`crate::readers`]).

use super::{TARGETS_PART, note_read, pause_targets};
use crate::{dialect::Subject, readers, router, transfer};
use corianderstand_schema::peers as wire;
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Part of the time in which a leaving target is to get no more requests that passes between two
/// questions to a reader, beside the reader's own pause.
const FOLLOWER_PART: f64 = 0.1;
/// Pause after which a router that follows looks again whether others read for it.
const FOLLOWER_LOOK: Duration = Duration::from_millis(250);
/// Looks after which a router tries the store itself although nobody reads for it.
const NEED_LOOKS: u32 = 5;

/// Lets other routers read the store for this one, until its next look. False if the store should be
/// read now: nobody else does, or what they have is too old.
pub(super) async fn follow<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    subject: Subject,
) -> bool {
    let readers::Role::Follows(readers) = shared.role(shared.clock.now()) else { return false };
    match subject {
        // Whoever reads says at once that there is a change ([`crate::catch_up`]).
        Subject::Config => tokio::time::sleep(FOLLOWER_LOOK).await,
        // Routers tell one another that they are there.
        Subject::Routers => tokio::time::sleep(FOLLOWER_LOOK).await,
        Subject::Targets => {
            let within = shared.bounds.borrow().drain_within;
            pause_targets(shared, within.mul_f64(FOLLOWER_PART)).await;
            return take_targets(shared, &readers).await;
        }
    }
    true
}

/// Takes the targets' entries from routers that read them. False if what they have is too old: the
/// reader has lost the store, and nobody has heard it yet.
async fn take_targets<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    readers: &[SocketAddr],
) -> bool {
    let subject = Subject::Targets;
    let most = shared.bounds.borrow().drain_within.mul_f64(TARGETS_PART);
    for reader in readers {
        match transfer::fetch_changes(shared, *reader, subject).await {
            transfer::TransferOutcome::Applied(Some(age)) if age <= most => {
                note_read(shared, subject);
                return true;
            }
            transfer::TransferOutcome::Refused => {}
            transfer::TransferOutcome::Applied(_) | transfer::TransferOutcome::NoRecords => {
                return false;
            }
        }
    }
    false
}

/// Another router says how far it has read. Where that one reads the store for this one and knows no newer
/// configuration, the own one is as current as if the store had been read.
pub fn hear<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    news: &wire::RouterNews,
) {
    if news.store != wire::StoreUse::Reads || news.zone != shared.settings.zone {
        return;
    }
    if !matches!(shared.role(now), readers::Role::Follows(_)) {
        return;
    }
    let own = shared.copies.borrow().next(Subject::Config);
    if news.config_next > own {
        shared.tell_planner.notify_one();
    } else {
        note_read(shared, Subject::Config);
    }
}

/// Pauses after a read that failed. A router that is not among those that read for others tries seldom:
/// hundreds that ask a store which is away, or has no room for more, again and again keep it from coming
/// back. It follows as soon as others read again.
pub(super) async fn pause_lost<P: router::Platform>(shared: &router::Shared<P>, pause: Duration) {
    tokio::time::sleep(pause).await;
    for _ in 0..NEED_LOOKS {
        if shared.role(shared.clock.now()) != readers::Role::ReadsInNeed {
            return;
        }
        tokio::time::sleep(FOLLOWER_LOOK).await;
    }
}
