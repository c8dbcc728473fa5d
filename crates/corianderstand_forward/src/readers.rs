//! Selects the routers of a zone that read the store on behalf of the others.
//!
//! Each router derives its role from the others' updates and reads the store itself when in doubt.

use crate::peers;
use corianderstand_derives::derives;
use corianderstand_schema::peers::StoreUse;
use std::net::SocketAddr;
use xxhash_rust::xxh3;

/// Number of routers per availability zone that read the store. With one alone, all others would turn to the
/// store when it is lost.
pub const READER_COUNT: usize = 2;
/// In zones with fewer routers, each reads the store itself.
const MIN_ROUTERS_WITH_READERS: usize = 5;

/// Another router of the same zone with a recent update.
#[derive(Clone, Debug)]
pub struct Neighbour {
    /// The routers of the highest rank in a zone read the store for the others.
    pub rank: peers::Rank,
    /// Its peer address.
    pub addr: SocketAddr,
    /// How it reports to obtain the store's records.
    pub store_use: StoreUse,
}

/// How a router obtains the store's records.
#[derives(data)]
pub enum Role {
    /// Reads the store, like every router of a small zone.
    Reads,
    /// Reads the store on behalf of other routers.
    ReadsForOthers,
    /// Tries the store at a low rate, as its readers have lost it.
    ReadsAsFallback,
    /// Fetches records from these readers, in order of preference.
    Follows(Vec<SocketAddr>),
}

/// The routers of a zone, as one of them knows them.
#[derive(Clone, Debug)]
pub struct Zone<'a> {
    /// Their number, this router among them.
    pub size: usize,
    /// How many of the readers read the store; the other ones follow these, and take over from them.
    pub store_readers: usize,
    /// The neighbours that may read for this router.
    pub neighbours: &'a [Neighbour],
}

/// Determines a router's role from its rank and its zone.
pub fn role(own: &peers::Rank, name: &str, zone: &Zone) -> Role {
    if zone.size < MIN_ROUTERS_WITH_READERS {
        return Role::Reads;
    }
    let mut stronger: Vec<_> = zone.neighbours.iter().filter(|other| other.rank > *own).collect();
    let is_reader = stronger.len() < READER_COUNT;
    stronger.retain(|other| other.store_use != StoreUse::Lost);
    if is_reader && stronger.len() < zone.store_readers {
        return Role::ReadsForOthers;
    }
    stronger.sort_by(|a, b| b.rank.cmp(&a.rank));
    stronger.truncate(READER_COUNT);
    if !is_reader && stronger.len() < READER_COUNT {
        return Role::ReadsAsFallback;
    }
    // Spreads followers over the readers.
    let order = |addr: &SocketAddr| xxh3::xxh3_64(format!("{name} {addr}").as_bytes());
    let mut readers: Vec<_> = stronger.into_iter().map(|reader| reader.addr).collect();
    readers.sort_by_key(order);
    Role::Follows(readers)
}
