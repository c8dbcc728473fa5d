//! When a router asks another one for records, and which one.
//!
//! Each router reads the store itself. Another router has read more most of the time: a large
//! configuration is there within a moment over a fast link, and is still on its way to the rest. Records
//! that are asked of a peer while they come share the link with themselves, so that none is there in
//! time, and the peer that is asked by all has its own link full. So a peer is asked when the store
//! brings nothing, for one transfer of a subject at a time, and not all routers ask the same one.

use crate::{dialect::Subject, readers, router, transfer};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;
use xxhash_rust::xxh3;

/// Part of the bound for news in which the store may bring nothing of them before a peer is asked: it
/// begins to answer all routers at once, within some ms.
const STALLED_PART: u32 = 8;
/// Part of the bound after which a peer is asked although something still comes from the store: a
/// connection may let through a packet now and then and never the whole.
const SLOW_PART: u32 = 2;

/// What a router knows of its reads and of the others when it looks whether to ask one.
#[derive(Clone, Debug)]
pub struct Look<'a> {
    /// The router's name.
    pub router: &'a str,
    /// Peers that have read more, and how far.
    pub ahead: &'a [(u64, SocketAddr)],
    /// When something last came of a read of the store.
    pub heard: Option<Instant>,
    /// The last read of the store failed.
    pub lost: bool,
    /// Nothing is known yet, so that callers are refused until it is.
    pub starts: bool,
    /// Others read the store for this router.
    pub follows: bool,
    /// Time in which news are to be in force.
    pub within: Duration,
}

/// How a router lags behind others in one subject.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    since: Option<Instant>,
    asked: u64,
}

impl Lag {
    /// The peer to ask now, and how far it has read; none if nobody has read more, or if the store
    /// is bringing it.
    pub fn peer(&mut self, now: Instant, look: &Look) -> Option<(u64, SocketAddr)> {
        let Some(most) = look.ahead.iter().map(|(next, _)| *next).max() else {
            self.since = None;
            return None;
        };
        let lags = now.saturating_duration_since(*self.since.get_or_insert(now));
        let stalled = look.within / STALLED_PART;
        let comes = look.heard.is_some_and(|at| now.saturating_duration_since(at) < stalled);
        let at_once = look.lost || look.starts || look.follows;
        let due = if comes { lags >= look.within / SLOW_PART } else { at_once || lags >= stalled };
        if !due {
            return None;
        }
        self.asked += 1;
        let best = look.ahead.iter().filter(|(next, _)| *next == most);
        best.copied().max_by_key(|(_, addr)| self.rank(look.router, *addr))
    }

    /// Each router has an order of peers of its own, and another one at each try: if all asked the
    /// same peer, its link would be as full as theirs, and one that is dead would be asked for ever.
    fn rank(&self, router: &str, peer: SocketAddr) -> u64 {
        xxh3::xxh3_64_with_seed(format!("{router} {peer}").as_bytes(), self.asked)
    }
}

/// What is asked of peers, and what is on its way.
#[derive(Debug, Default)]
pub struct CatchUp {
    by_subject: BTreeMap<Subject, (Lag, Option<JoinHandle<()>>)>,
}

impl CatchUp {
    /// Asks a peer for what it has read and the store does not bring.
    pub fn look<P: router::Platform>(&mut self, shared: &Rc<router::Shared<P>>, now: Instant) {
        let follows = matches!(shared.role(now), readers::Role::Follows(_));
        for subject in [Subject::Config, Subject::Targets] {
            let (lag, transfer) = self.by_subject.entry(subject).or_default();
            if transfer.as_ref().is_some_and(|transfer| !transfer.is_finished()) {
                continue;
            }
            let copies = shared.records.borrow();
            // The targets change all the time: a peer is always a little ahead.
            if subject == Subject::Targets && copies.is_fresh(now, subject) {
                continue;
            }
            let known = copies.next(subject);
            let ahead: Vec<_> = shared.peers.borrow().ahead(now, subject, known).collect();
            let look = Look {
                router: &shared.settings.name,
                ahead: &ahead,
                heard: copies.heard_at(subject),
                lost: copies.is_lost(subject),
                starts: known == 0,
                follows,
                within: shared.bounds.borrow().config_within,
            };
            if let Some((next, peer)) = lag.peer(now, &look) {
                let shared = shared.clone();
                *transfer = Some(tokio::task::spawn_local(async move {
                    transfer::fetch(&shared, peer, subject, next).await;
                }));
            }
        }
    }
}
