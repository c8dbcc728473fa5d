//! Chooses whom to read records from: the log, or a router that relays it.
//!
//! Which routers read the log follows from the addresses of the routers of a place alone, so it
//! needs no agreement. Each process judges what it is given by two numbers that travel with
//! it: how long ago the log itself answered, and over how many relays the page came. Settings
//! that differ for a while, even so that routers follow each other in a circle, are noticed by
//! these, and the process reads the log until a relay is good again.
//!
//! A change is in force within seconds whatever fails. A relay that is dead is left at once for
//! the next; after [`MAX_RELAYS_TRIED`] of them the log itself is read. A silent one is left after
//! [`RELAY_WAIT`] + [`RELAY_GRACE`] for the log, so that two silent relays do not add up. With
//! [`relay::MAX_HOPS`] relays on the way, one after the other silent, that makes five seconds; a
//! relay cut off from the log is left after [`relay::MAX_PAGE_AGE`].

#[cfg(test)]
mod tests;

use crate::{
    budget::{Budget, TrafficClass},
    relay::{self, Tail},
};
use async_trait::async_trait;
use corianderstand_edge::{
    EdgeError,
    log::{HttpLog, LogService, Page},
};
use corianderstand_types::{clock::SharedClock, names::WriterId};
use rand::RngExt;
use smol_str::SmolStr;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::time;
use xxhash_rust::xxh3;

/// Routers among the peers that read the log: one may be lost and one restarted at the same
/// time, and the others can still serve all followers of a place within their budget.
pub const LOG_READERS: usize = 4;
/// Relays that are tried before the log.
pub const MAX_RELAYS_TRIED: usize = 2;
/// Longest wait of one read from a relay. Longer than the time between two renewals of the
/// control lease, so that a read brings a record and few are empty: what a follower costs its
/// relay is the number of its reads.
pub const RELAY_WAIT: Duration = Duration::from_secs(2);
/// Time a relay's answer may take beyond that.
pub const RELAY_GRACE: Duration = Duration::from_millis(500);
/// How long a relay that failed is left alone, within a factor of a half up and down.
const RELAY_BACKOFF: Duration = Duration::from_secs(5);
/// How long the log is left alone after it failed, by a process that normally follows a relay.
///
/// Made for an outage of the log: every relay is stale then, and a thousand processes that ask
/// the log several times a second would keep it down when it comes back.
const LOG_BACKOFF: Duration = Duration::from_secs(2);

/// A router that may be followed.
pub struct RelayClient {
    /// Its address, for the order of choice.
    pub address: SmolStr,
    /// Reads from it.
    pub log: Arc<dyn LogService>,
}

impl RelayClient {
    /// A router at an address, which knows this process by `token`.
    pub fn new(address: &SmolStr, token: &str) -> Self {
        let base = format!("http://{address}{}", relay::RELAY_PATH);
        let log = Arc::new(HttpLog::new(&base, RELAY_WAIT).with_bearer(token));
        Self { address: address.clone(), log }
    }
}

struct Candidate {
    client: RelayClient,
    backoff_until: Option<Instant>,
    requested_at: Option<Instant>,
}

/// Reads from relays where there are any, and from the log; appends to the log. What it reads
/// it puts into this process's own tail, for others to follow.
pub struct Source {
    log: Arc<dyn LogService>,
    tail: Tail,
    candidates: Mutex<Vec<Candidate>>,
    log_backoff_until: Mutex<Option<Instant>>,
    clock: SharedClock,
    budget: Arc<Budget>,
}

impl Candidate {
    fn back_off(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(0.5..1.5);
        self.backoff_until = Some(now + RELAY_BACKOFF.mul_f64(jitter));
        self.requested_at = None;
    }
}

/// Order of routers that is the same on every process.
fn address_hash(address: &str) -> u64 {
    xxh3::xxh3_64(address.as_bytes())
}

/// Order of routers for one follower, so that followers spread over them.
fn rendezvous_hash(follower: &str, address: &str) -> u64 {
    xxh3::xxh3_64_with_seed(address.as_bytes(), address_hash(follower))
}

/// Addresses that a process follows, in order; none if it reads the log.
///
/// `own` is its address if it is a router. Routers follow those that read the log; agents
/// follow the others, so that those which read the log serve only routers.
pub fn choose_relays(name: &WriterId, own: Option<&SmolStr>, peers: &[SmolStr]) -> Vec<SmolStr> {
    let mut all: Vec<&SmolStr> = peers.iter().chain(own).collect();
    all.sort_by_key(|address| (address_hash(address), (*address).clone()));
    all.dedup();
    let readers = all.len().min(LOG_READERS);
    let (readers, others) = all.split_at(readers);
    if own.is_some_and(|own| readers.contains(&own)) {
        return Vec::new();
    }
    let relays = if own.is_some() || others.len() < MAX_RELAYS_TRIED { readers } else { others };
    let mut relays: Vec<SmolStr> = relays.iter().map(|address| (*address).clone()).collect();
    relays.sort_by_key(|address| rendezvous_hash(&name.0, address));
    relays.truncate(MAX_RELAYS_TRIED);
    relays
}

impl Source {
    /// Reads from `peers` in order, then from `log`.
    pub fn new(log: Arc<dyn LogService>, clients: Vec<RelayClient>, tail: Tail) -> Self {
        let (clock, budget) = (tail.clock().clone(), tail.budget().clone());
        let candidates = clients.into_iter().map(|client| Candidate {
            client,
            backoff_until: None,
            requested_at: None,
        });
        let candidates = Mutex::new(candidates.collect());
        Self { log, tail, candidates, log_backoff_until: Mutex::new(None), clock, budget }
    }

    /// A source for one process: `own` is its address if it is a router, `token` proves it to
    /// the routers at `peers`.
    pub fn for_process(
        log: Arc<dyn LogService>,
        name: &WriterId,
        own: Option<&SmolStr>,
        peers: &[SmolStr],
        token: &str,
        tail: Tail,
    ) -> Self {
        let relays = choose_relays(name, own, peers);
        tracing::info!(follows = ?relays, "relays of the log; with none the log itself is read");
        let clients = relays.iter().map(|address| RelayClient::new(address, token)).collect();
        Self::new(log, clients, tail)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Candidate>> {
        self.candidates.lock().expect("no holder of this lock panics")
    }

    /// The first relay that does not rest, noted as asked.
    ///
    /// A read may be dropped half way, as the follower also waits for other news. Without the
    /// note a silent relay would be asked anew each time and its silence never be noticed.
    fn next_candidate(&self) -> Option<(usize, Arc<dyn LogService>)> {
        let now = self.clock.now();
        let mut candidates = self.lock();
        for (index, candidate) in candidates.iter_mut().enumerate() {
            let unresponsive =
                candidate.requested_at.is_some_and(|at| now >= at + RELAY_WAIT + RELAY_GRACE);
            if unresponsive {
                candidate.back_off(now);
            }
            if candidate.backoff_until.is_none_or(|until| now >= until) {
                candidate.requested_at.get_or_insert(now);
                return Some((index, candidate.client.log.clone()));
            }
        }
        None
    }

    fn record_result(&self, index: usize, usable: bool) {
        let mut candidates = self.lock();
        candidates[index].requested_at = None;
        if !usable {
            candidates[index].back_off(self.clock.now());
        }
    }

    async fn read_relay(&self, from: u64, max: u32, wait: Duration) -> Option<Page> {
        while let Some((index, relay)) = self.next_candidate() {
            let read = relay.read(from, max, wait.min(RELAY_WAIT));
            let response = time::timeout(RELAY_WAIT + RELAY_GRACE, read).await;
            let timed_out = response.is_err();
            let gone = matches!(response, Ok(Err(EdgeError::Status { status: STATUS_GONE, .. })));
            let page = response.ok().and_then(Result::ok).filter(|page| is_usable(page, from));
            self.record_result(index, gone || page.is_some());
            if gone || page.is_some() {
                return page;
            }
            tracing::info!(relay = index, silent = timed_out, "relay left for a while");
            if timed_out {
                return None;
            }
        }
        None
    }

    async fn read_log(&self, from: u64, max: u32, wait: Duration) -> Result<Page, EdgeError> {
        self.wait_for_log_backoff().await;
        let page = self.log.read(from, max, wait).await;
        let follows_relays = !self.lock().is_empty();
        if page.is_err() && follows_relays {
            let jitter = rand::rng().random_range(0.5..1.5);
            *self.log_backoff() = Some(self.clock.now() + LOG_BACKOFF.mul_f64(jitter));
        }
        page
    }

    fn log_backoff(&self) -> MutexGuard<'_, Option<Instant>> {
        self.log_backoff_until.lock().expect("no holder of this lock panics")
    }

    async fn wait_for_log_backoff(&self) {
        let until = *self.log_backoff();
        if let Some(until) = until {
            time::sleep(until.saturating_duration_since(self.clock.now())).await;
        }
    }
}

/// Status with which a relay says that it does not keep what was asked for.
pub const STATUS_GONE: u16 = 410;

/// Whether a page leads on from `from`, comes over few enough relays and is fresh.
///
/// A relay that is behind this process would make it take old state for the newest.
fn is_usable(page: &Page, from: u64) -> bool {
    let fresh =
        !page.entries.is_empty() || Duration::from_millis(page.age_ms) <= relay::MAX_PAGE_AGE;
    page.oldest <= from && page.next >= from && page.hops <= relay::MAX_HOPS && fresh
}

#[async_trait]
impl LogService for Source {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        self.log.append(records).await
    }

    async fn read(&self, from: u64, max: u32, wait: Duration) -> Result<Page, EdgeError> {
        time::sleep(self.budget.read_delay()).await;
        let page = match self.read_relay(from, max, wait).await {
            Some(page) => page,
            None => self.read_log(from, max, wait).await?,
        };
        self.tail.extend(&page);
        // Catching up at a start is a single transfer, not a rate: charged to the budget, it
        // would keep a new process from its settings for minutes.
        if page.entries.len() < max as usize {
            self.budget.spend(TrafficClass::Follow, relay::wire_bytes(&page));
        }
        Ok(page)
    }
}
