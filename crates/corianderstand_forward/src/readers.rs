//! Which routers read the store, and which take what those have read.
//!
//! Where each router read the store itself, what is read of it and what its calls cost would grow with
//! the number of routers, although all read the same. In a zone with many routers a few read, the
//! strongest, and the others take the records from them over the zone's own links.
//!
//! Nobody is chosen by vote: each router works out from what it hears of the others whether enough of
//! them read for it, and reads itself when in doubt. Routers that see it differently cost a few calls too
//! many. What is handed over says how long ago the store was read, and one that follows a reader which has
//! lost the store reads it at once: it is never further behind than two pauses and the time in which
//! a silent peer is given up.

use crate::peers;
use corianderstand_derives::derives;
use corianderstand_schema::peers::StoreUse;
use std::net::SocketAddr;
use xxhash_rust::xxh3;

/// Routers of a zone that read: with one alone, all would turn to the store when it is lost.
const READER_COUNT: usize = 2;
/// Zones with fewer routers than this read one and all: what a few calls cost is not worth knowledge that
/// is a pause older.
const MIN_ROUTERS_WITH_READERS: usize = 9;

/// Another router of the same zone that was heard lately.
#[derive(Clone, Debug)]
pub struct Neighbour {
    /// Who reads rather than another.
    pub rank: peers::Rank,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// What it says of itself and the store.
    pub store: StoreUse,
}

/// What a router does about the store.
#[derives(data)]
pub enum Role {
    /// It reads, as all routers of its zone do.
    Reads,
    /// It reads, and others of its zone take the records from it.
    ReadsForOthers,
    /// Others should read for it, and have lost the store: it tries now and then.
    ReadsAsFallback,
    /// It takes records from these, the one to be asked first before the others.
    Follows(Vec<SocketAddr>),
}

/// What a router of this rank and name does about the store.
pub fn role(own: &peers::Rank, name: &str, neighbours: &[Neighbour]) -> Role {
    if neighbours.len() + 1 < MIN_ROUTERS_WITH_READERS {
        return Role::Reads;
    }
    let mut stronger: Vec<_> = neighbours.iter().filter(|other| other.rank > *own).collect();
    if stronger.len() < READER_COUNT {
        return Role::ReadsForOthers;
    }
    stronger.retain(|other| other.store != StoreUse::Lost);
    stronger.sort_by(|a, b| b.rank.cmp(&a.rank));
    stronger.truncate(READER_COUNT);
    if stronger.len() < READER_COUNT {
        return Role::ReadsAsFallback;
    }
    // Each follower has an order of its own, so that each reader serves its share of them.
    let order = |addr: &SocketAddr| xxh3::xxh3_64(format!("{name} {addr}").as_bytes());
    let mut readers: Vec<_> = stronger.into_iter().map(|reader| reader.addr).collect();
    readers.sort_by_key(order);
    Role::Follows(readers)
}
