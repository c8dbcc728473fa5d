//! Which routers keep where a stream began.

use crate::router;
use corianderstand_fleet::streams;
use smol_str::SmolStr;
use std::{cmp::Reverse, net::SocketAddr};
use xxhash_rust::xxh3;

/// Routers that are told of a stream, in two availability zones if there are two.
const TOLD_ROUTERS: usize = 2;
/// Routers that are asked: more, as the lists of two routers differ by these two.
const ASKED_ROUTERS: usize = 4;

/// The routers that are told where a stream began.
pub(super) fn to_tell<P: router::Platform>(
    shared: &router::Shared<P>,
    key: streams::StreamKey,
) -> Vec<SocketAddr> {
    ranked(shared, key, TOLD_ROUTERS)
}

/// The routers that are asked where a stream began; any if the stream isn't named.
pub(super) fn to_ask<P: router::Platform>(
    shared: &router::Shared<P>,
    key: Option<streams::StreamKey>,
) -> Vec<SocketAddr> {
    ranked(shared, key.unwrap_or_default(), ASKED_ROUTERS)
}

/// The first `count` of the other routers by rendezvous hashing. The second one is the first of another zone.
fn ranked<P: router::Platform>(
    shared: &router::Shared<P>,
    key: streams::StreamKey,
    count: usize,
) -> Vec<SocketAddr> {
    let rank = |name: &SmolStr| Reverse(xxh3::xxh3_64_with_seed(name.as_bytes(), key.0));
    let peers = shared.peers.borrow();
    let live = peers.live(shared.clock.now());
    let mut ranked: Vec<_> = live.map(|(name, peer)| (rank(name), peer)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    if let Some((_, first)) = ranked.first() {
        let other_zone = ranked.iter().position(|(_, peer)| peer.zone != first.zone);
        if let Some(position) = other_zone {
            ranked[1..=position].rotate_right(1);
        }
    }
    ranked.into_iter().map(|(_, peer)| peer.addr).take(count).collect()
}
