//! Fetching records from a peer when the store does not deliver them.
//!
//! Transfers compete with reads of the store for the link, so each subject has one at a time.

use crate::{dialect::Subject, readers, replicated_records::Progress, router, transfer};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;
use xxhash_rust::xxh3;

/// Fraction of `config_within` without data from the store after which a peer is queried.
const STALLED_STORE_DIVISOR: u32 = 8;
/// Fraction of `config_within` after which a peer is queried although the store delivers data.
const SLOW_STORE_DIVISOR: u32 = 2;

/// Progress of a router's reads and of its peers.
#[derive(Clone, Debug)]
pub struct ReadProgress<'a> {
    /// The router's name.
    pub router: &'a str,
    /// Peers with newer records, and how far they know them.
    pub peers_ahead: &'a [(Progress, SocketAddr)],
    /// Whether the store has nothing newer that this router could read: peers have it from before it came back.
    pub is_at_end: bool,
    /// When data was last received from the store.
    pub last_received_at: Option<Instant>,
    /// Whether the last read of the store failed.
    pub last_read_failed: bool,
    /// Whether no record of the subject is known yet.
    pub is_starting: bool,
    /// Whether other routers read the store for this one.
    pub is_follower: bool,
    /// Time limit for a change to be in force.
    pub config_within: Duration,
}

/// Since when a router's records of one subject are older than those of its peers.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    behind_since: Option<Instant>,
    attempts: u64,
}

impl Lag {
    /// The peer to query now and its progress; none if no peer is ahead or the store is delivering.
    pub fn peer_to_query(
        &mut self,
        now: Instant,
        progress: &ReadProgress,
    ) -> Option<(Progress, SocketAddr)> {
        let Some(furthest) = progress.peers_ahead.iter().map(|(next, _)| *next).max() else {
            self.behind_since = None;
            return None;
        };
        let lag_time = now.saturating_duration_since(*self.behind_since.get_or_insert(now));
        let stall_timeout = progress.config_within / STALLED_STORE_DIVISOR;
        let is_receiving = progress
            .last_received_at
            .is_some_and(|at| now.saturating_duration_since(at) < stall_timeout);
        let immediate = progress.last_read_failed || progress.is_starting || progress.is_follower;
        let due = if progress.is_at_end {
            true
        } else if is_receiving {
            lag_time >= progress.config_within / SLOW_STORE_DIVISOR
        } else {
            immediate || lag_time >= stall_timeout
        };
        if !due {
            return None;
        }
        self.attempts += 1;
        let candidates = progress.peers_ahead.iter().filter(|(next, _)| *next == furthest);
        candidates.copied().max_by_key(|(_, addr)| self.peer_rank(progress.router, *addr))
    }

    /// Ranks peers differently by router and attempt, which spreads load and avoids a dead peer.
    fn peer_rank(&self, router: &str, peer: SocketAddr) -> u64 {
        xxh3::xxh3_64_with_seed(format!("{router} {peer}").as_bytes(), self.attempts)
    }
}

/// Detects outdated records of each subject and fetches newer ones from peers.
#[derive(Debug, Default)]
pub struct CatchUp {
    by_subject: BTreeMap<Subject, (Lag, Option<JoinHandle<()>>)>,
}

impl CatchUp {
    /// Starts a transfer from a peer for each subject that is due.
    pub fn poll<P: router::Platform>(&mut self, shared: &Rc<router::Shared<P>>, now: Instant) {
        let is_follower = matches!(shared.role(now), readers::Role::Follows(_));
        for subject in [Subject::Config, Subject::Targets, Subject::Routers] {
            let (lag, transfer) = self.by_subject.entry(subject).or_default();
            if transfer.as_ref().is_some_and(|transfer| !transfer.is_finished()) {
                continue;
            }
            let records = shared.replicated_records.borrow();
            // Targets change constantly, so some peer is always slightly ahead.
            if subject == Subject::Targets && records.is_fresh(now, subject) {
                continue;
            }
            let known = records.progress(subject);
            let ahead: Vec<_> = shared.peers.borrow().ahead(now, subject, known).collect();
            let progress = ReadProgress {
                router: &shared.settings.name,
                peers_ahead: &ahead,
                last_received_at: records.last_received_at(subject),
                last_read_failed: records.last_read_failed(subject),
                is_at_end: ahead.iter().all(|(peer, _)| peer.next <= known.next),
                is_starting: !records.is_known(subject),
                is_follower,
                config_within: shared.bounds.borrow().config_within,
            };
            if let Some((next, peer)) = lag.peer_to_query(now, &progress) {
                let shared = shared.clone();
                *transfer = Some(tokio::task::spawn_local(async move {
                    transfer::fetch(&shared, peer, subject, next).await;
                }));
            }
        }
    }
}
