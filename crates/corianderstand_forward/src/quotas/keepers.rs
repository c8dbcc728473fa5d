//! Which routers keep the quotas of which workspaces, and which part of them.
//!
//! Workspaces are spread over the strongest routers in eight orders. A router grants from the parts of the quota that
//! belong to the routers which turn to it ([`limit_shares`]), so that routers that can't reach each other grant no more
//! together than there is.

use crate::{control, dialect, peers, retries, router};
use corianderstand_fleet::{
    limit_shares::{Gradual, Order, View},
    quota::Part,
    removal,
};
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Groups of workspaces with the same keepers; limits the messages of a router.
const SHARDS: u64 = 8;
/// A keeper and the one that takes over.
const KEEPERS: usize = 2;
/// Time after which what was concluded last no longer holds.
const MAX_AGE: Duration = Duration::from_millis(600);
/// Time without a look at the other routers after which they may have taken this one's parts over.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The address of a keeper; none for this router.
pub(super) type Keeper = Option<SocketAddr>;

/// This router's part in keeping the quotas of a shard.
#[derive(Default)]
struct Shard {
    keepers: Vec<Keeper>,
    names: Vec<SmolStr>,
    /// The part that this router uses itself.
    usable: Option<Gradual>,
    part: Option<Part>,
    /// The routers that turn to this one, if others turn to another one and only report to this one.
    only_for: Option<Vec<SmolStr>>,
}

/// The routers that may keep quotas.
#[derive(Default)]
pub(super) struct Membership {
    shards: Vec<Shard>,
    /// Since when the keepers have been the same.
    steady_since: Option<Instant>,
    updated_at: Option<Instant>,
    /// The same since boot, which includes suspension.
    updated_at_since_boot: Duration,
    /// Until when other routers may use what this one did before a pause.
    distrusts_until: Option<Instant>,
    logged: Option<Summary>,
}

/// What is logged when it changes.
#[derive(Clone, PartialEq, Debug)]
struct Summary {
    known: usize,
    connected: usize,
    is_complete: bool,
    /// Hundredths of the quotas of each shard that this router grants.
    hundredths: Vec<u32>,
}

/// Whether nothing forbids this router to use parts of limits: it knows which routers there are, and none can have taken
/// it for gone.
fn may_use_parts<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    view: &View,
) -> bool {
    let records = shared.replicated_records.borrow();
    let Some(read_at) = records.store_read_at(dialect::Subject::Routers) else { return false };
    let is_settled = !shared.settings.is_first_start
        || read_at >= shared.retries.started_at() + retries::ANNOUNCE_TIME;
    let age = now.saturating_duration_since(read_at);
    let may_go_on = view.has_majority() && age < removal::MAX_MAJORITY_LIST_AGE;
    is_settled && (age < removal::MAX_LIST_AGE || view.is_complete() || may_go_on)
}

/// Determines the keepers of each shard, and this router's part of what they keep.
pub(super) fn update<P: router::Platform>(shared: &router::Shared<P>, now: Instant) {
    let peers = shared.peers.borrow();
    let Some(view) = peers.limit_view(now, control::can_plan(shared)) else { return };
    let may_use = may_use_parts(shared, now, &view);
    let mut membership = shared.quotas.membership.borrow_mut();
    membership.notice_pause(now, shared.clock.since_boot());
    let is_distrustful = membership.distrusts_until.is_some_and(|until| now < until);
    let is_complete = view.is_complete() && !is_distrustful;
    let shards = (0..SHARDS).map(|shard| {
        let last = membership.shards.get(shard as usize).and_then(|last| last.usable.clone());
        let usable = last.unwrap_or_else(|| Gradual::new(now));
        let usable = if may_use { Some((usable, is_complete)) } else { None };
        determine(&view, &peers, now, Order(shard), usable)
    });
    let shards: Vec<_> = shards.collect();
    let names = |shards: &[Shard]| shards.iter().map(|s| s.names.clone()).collect::<Vec<_>>();
    if membership.steady_since.is_none() || names(&membership.shards) != names(&shards) {
        membership.steady_since = Some(now);
    }
    membership.shards = shards;
    membership.log_changes(&view);
}

fn determine(
    view: &View,
    peers: &peers::Peers,
    now: Instant,
    order: Order,
    usable: Option<(Gradual, bool)>,
) -> Shard {
    let names: Vec<SmolStr> = view.keepers(order).into_iter().take(KEEPERS).cloned().collect();
    let keepers = names.iter().map(|name| peers.address_of(name)).collect();
    let share = view.share(order, &view.own);
    let only_for = (share > 0.0 && !view.keeps_for_all(order))
        .then(|| view.turning_to(order, &view.own).into_iter().cloned().collect());
    let mut shard = Shard { keepers, names, usable: None, part: None, only_for };
    let Some((mut usable, is_complete)) = usable else { return shard };
    usable.observe(now, share, is_complete);
    let is_second = shard.names.get(1) == Some(&view.own);
    let first = shard.names.first().filter(|_| is_second && share == 0.0);
    let part = match first {
        Some(first) => Part { share: view.share(order, first), is_standby: true },
        None => Part { share: usable.usable(), is_standby: false },
    };
    shard.part = Some(part).filter(|part| part.share > 0.0);
    shard.usable = Some(usable);
    shard
}

impl Membership {
    /// After a pause this router can't know who has taken its parts over, until it has heard the others again.
    fn notice_pause(&mut self, now: Instant, since_boot: Duration) {
        let pause = since_boot.saturating_sub(self.updated_at_since_boot);
        if self.updated_at.is_some() && pause >= MAX_PAUSE {
            tracing::info!(
                pause_ms = pause.as_millis() as u64,
                "parts of quotas given up after a pause"
            );
            self.shards.clear();
            self.distrusts_until = Some(now + corianderstand_fleet::limit_shares::TAKE_OVER_DELAY);
        }
        self.updated_at = Some(now);
        self.updated_at_since_boot = since_boot;
    }

    fn log_changes(&mut self, view: &View) {
        let granted = |shard: &Shard| shard.part.filter(|part| !part.is_standby);
        let hundredths =
            |shard: &Shard| granted(shard).map_or(0, |part| (part.share * 100.0) as u32);
        let summary = Summary {
            known: view.parts(),
            connected: 1 + view.others.values().filter(|other| other.is_connected).count(),
            is_complete: view.is_complete(),
            hundredths: self.shards.iter().map(hundredths).collect(),
        };
        if self.logged.as_ref() != Some(&summary) {
            let Summary { known, connected, is_complete, hundredths } = &summary;
            tracing::info!(known, connected, is_complete, ?hundredths, "parts of quotas changed");
            self.logged = Some(summary);
        }
    }

    fn shard(&self, workspace: &names::WorkspaceId) -> Option<&Shard> {
        let shard = xxh3::xxh3_64(workspace.as_str().as_bytes()) % SHARDS;
        self.shards.get(shard as usize)
    }
}

/// Updates what was concluded about the other routers if that is too long ago, or nothing was yet.
pub(super) fn update_if_old<P: router::Platform>(shared: &router::Shared<P>, now: Instant) {
    let (updated_at, since_boot) = {
        let membership = shared.quotas.membership.borrow();
        (membership.updated_at, membership.updated_at_since_boot)
    };
    let age = shared.clock.since_boot().saturating_sub(since_boot);
    if updated_at.is_none() || age >= MAX_AGE {
        update(shared, now);
    }
}

/// Since when the keepers have been the same.
pub(super) fn steady_since<P: router::Platform>(shared: &router::Shared<P>) -> Option<Instant> {
    shared.quotas.membership.borrow().steady_since
}

/// This router's part of a workspace's quota for the requests of `claimant`; none if it has to grant nothing.
pub(super) fn part<P: router::Platform>(
    shared: &router::Shared<P>,
    workspace: &names::WorkspaceId,
    claimant: &str,
) -> Option<Part> {
    let membership = shared.quotas.membership.borrow();
    let shard = membership.shard(workspace)?;
    let is_served = shard.only_for.as_ref().is_none_or(|all| all.iter().any(|r| r == claimant));
    shard.part.filter(|_| is_served)
}

/// The keepers of a workspace, in order.
pub(super) fn of_workspace<P: router::Platform>(
    shared: &router::Shared<P>,
    workspace: &names::WorkspaceId,
) -> Vec<Keeper> {
    let membership = shared.quotas.membership.borrow();
    membership.shard(workspace).map(|shard| shard.keepers.clone()).unwrap_or_default()
}

/// Forgets what is kept of routers that are no keepers.
pub(super) fn retain<P: router::Platform, T>(
    shared: &router::Shared<P>,
    by_keeper: &mut HashMap<SocketAddr, T>,
) {
    let membership = shared.quotas.membership.borrow();
    let keepers: Vec<_> = membership.shards.iter().flat_map(|s| &s.keepers).flatten().collect();
    by_keeper.retain(|addr, _| keepers.contains(&addr));
}
