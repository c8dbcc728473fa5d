//! Which routers keep the quotas of which workspaces.
//!
//! Workspaces are spread over the strongest routers by rendezvous hashing. A router that hears from less
//! than half of the routers that it knows may be cut off from them and grants nothing, as others may.

use crate::{control, router};
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{collections::HashMap, net::SocketAddr, time::Instant};
use xxhash_rust::xxh3;

/// Groups of workspaces with the same keepers; limits the messages of a router.
const SHARDS: u64 = 8;
/// A keeper and the one that takes over.
const KEEPERS: usize = 2;
/// Keepers have at least this share of the strongest router's processor capacity.
const MIN_STRENGTH_RATIO: f64 = 0.5;
/// Routers of which one may be missing without a majority.
const MAX_ROUTERS_WITHOUT_MAJORITY: usize = 2;

/// The address of a keeper; none for this router.
pub(super) type Keeper = Option<SocketAddr>;

/// The routers that may keep quotas.
#[derive(Default)]
pub(super) struct Membership {
    /// The keepers of each shard, in order.
    keepers: Vec<Vec<Keeper>>,
    members_hash: u64,
    steady_since: Option<Instant>,
    has_majority: bool,
    /// Routers that were known and live, and whether this one could grant, as last logged.
    seen: Option<(usize, usize, bool)>,
}

impl Membership {
    fn may_grant_since(&self) -> Option<Instant> {
        self.steady_since.filter(|_| self.has_majority)
    }
}

/// Since when the routers have been the same; none if this router must grant nothing. One that has just started looks
/// whether it has heard the others meanwhile.
pub(super) fn may_grant_since<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
) -> Option<Instant> {
    let known = shared.quotas.membership.borrow().may_grant_since();
    known.or_else(|| {
        update(shared, now);
        shared.quotas.membership.borrow().may_grant_since()
    })
}

struct Member<'a> {
    name: &'a SmolStr,
    strength: u32,
    keeper: Keeper,
}

/// Determines the keepers of each shard.
pub(super) fn update<P: router::Platform>(shared: &router::Shared<P>, now: Instant) {
    let peers = shared.peers.borrow();
    let mut members: Vec<Member> = peers
        .live(now)
        .filter_map(|(name, peer)| {
            let update = peer.update.as_ref().filter(|update| update.fit)?;
            Some(Member { name, strength: update.strength, keeper: Some(peer.addr) })
        })
        .collect();
    if control::can_plan(shared) {
        let strength = shared.settings.cpu_millicores;
        members.push(Member { name: &shared.settings.name, strength, keeper: None });
    }
    let strongest = members.iter().map(|member| member.strength).max().unwrap_or_default();
    let min_strength = f64::from(strongest) * MIN_STRENGTH_RATIO;
    members.retain(|member| f64::from(member.strength) >= min_strength);
    members.sort_unstable_by_key(|member| member.name);
    let names: Vec<&str> = members.iter().map(|member| member.name.as_str()).collect();
    let members_hash = xxh3::xxh3_64(names.join(" ").as_bytes());
    let live = 1 + peers.live(now).count();
    let known = 1 + peers.addresses().count();
    let mut membership = shared.quotas.membership.borrow_mut();
    membership.keepers = (0..SHARDS).map(|shard| rank(&members, shard)).collect();
    membership.has_majority = known <= MAX_ROUTERS_WITHOUT_MAJORITY || 2 * live > known;
    let seen = (known, live, membership.has_majority);
    if membership.seen != Some(seen) || membership.members_hash != members_hash {
        let may_grant = membership.has_majority;
        tracing::info!(known, live, may_grant, keepers = ?names, "routers that keep quotas changed");
        membership.seen = Some(seen);
    }
    if membership.members_hash != members_hash || membership.steady_since.is_none() {
        membership.members_hash = members_hash;
        membership.steady_since = Some(now);
    }
}

fn rank(members: &[Member], shard: u64) -> Vec<Keeper> {
    let rank = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), shard);
    let mut ranked: Vec<_> =
        members.iter().map(|member| (rank(member.name), member.keeper)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, keeper)| keeper).take(KEEPERS).collect()
}

/// The keepers of a workspace, in order.
pub(super) fn of_workspace<P: router::Platform>(
    shared: &router::Shared<P>,
    workspace: &names::WorkspaceId,
) -> Vec<Keeper> {
    let membership = shared.quotas.membership.borrow();
    let shard = xxh3::xxh3_64(workspace.as_str().as_bytes()) % SHARDS;
    membership.keepers.get(shard as usize).cloned().unwrap_or_default()
}

/// Forgets what is kept of routers that are no keepers.
pub(super) fn retain<P: router::Platform, T>(
    shared: &router::Shared<P>,
    by_keeper: &mut HashMap<SocketAddr, T>,
) {
    let membership = shared.quotas.membership.borrow();
    let keepers: Vec<_> = membership.keepers.iter().flatten().flatten().collect();
    by_keeper.retain(|addr, _| keepers.contains(&addr));
}
