//! Selects where records are read from: the log, or a router that relays it.
//!
//! A relay that returns an error or a stale page is replaced by the next one, and after
//! [`MAX_RELAYS_TRIED`] by the log. After an unresponsive relay the log is read at once, so that
//! timeouts do not add up.

#[cfg(test)]
mod tests;

use crate::{
    budget::{Budget, TrafficClass},
    relay::{self, RecordTail},
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

/// Number of routers in an availability zone that read the log; the others read from them.
pub const LOG_READERS: usize = 4;
/// Relays that are tried before the log is read.
pub const MAX_RELAYS_TRIED: usize = 2;
/// Longest time that a relay holds a read open until a record arrives.
pub const RELAY_WAIT: Duration = Duration::from_secs(2);
/// Time beyond [`RELAY_WAIT`] after which a relay counts as unresponsive.
pub const RELAY_GRACE: Duration = Duration::from_millis(500);
const RELAY_BACKOFF: Duration = Duration::from_secs(5);
/// Mean backoff after a failed read of the log; random, to spread the reads when the log recovers.
const LOG_BACKOFF: Duration = Duration::from_secs(2);

/// Reads from a router that relays the log.
pub struct RelayClient {
    /// Address of the router.
    pub address: SmolStr,
    /// The log service of the router.
    pub log: Arc<dyn LogService>,
}

impl RelayClient {
    /// A client of the router at `address`, authenticated by `token`.
    pub fn new(address: &SmolStr, token: &str) -> Self {
        let base = format!("http://{address}{}", relay::RELAY_PATH);
        let log = Arc::new(HttpLog::new(&base, RELAY_WAIT).with_bearer(token));
        Self { address: address.clone(), log }
    }
}

struct RelayCandidate {
    client: RelayClient,
    backoff_until: Option<Instant>,
    requested_at: Option<Instant>,
}

/// Reads from relays or the log into the [`RecordTail`] of this process; appends to the log.
pub struct Source {
    log: Arc<dyn LogService>,
    tail: RecordTail,
    candidates: Mutex<Vec<RelayCandidate>>,
    log_backoff_until: Mutex<Option<Instant>>,
    clock: SharedClock,
    budget: Arc<Budget>,
}

impl RelayCandidate {
    fn back_off(&mut self, now: Instant) {
        let jitter = rand::rng().random_range(0.5..1.5);
        self.backoff_until = Some(now + RELAY_BACKOFF.mul_f64(jitter));
        self.requested_at = None;
    }
}

fn address_hash(address: &str) -> u64 {
    xxh3::xxh3_64(address.as_bytes())
}

fn rendezvous_hash(follower: &str, address: &str) -> u64 {
    xxh3::xxh3_64_with_seed(address.as_bytes(), address_hash(follower))
}

/// Addresses of the relays of a process, in order of preference; empty if it reads the log.
///
/// `own` is its address if it is a router. Routers follow the log readers, agents other routers.
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
    /// Reads from `clients` in order, then from `log`.
    pub fn new(log: Arc<dyn LogService>, clients: Vec<RelayClient>, tail: RecordTail) -> Self {
        let (clock, budget) = (tail.clock().clone(), tail.budget().clone());
        let candidates = clients.into_iter().map(|client| RelayCandidate {
            client,
            backoff_until: None,
            requested_at: None,
        });
        let candidates = Mutex::new(candidates.collect());
        Self { log, tail, candidates, log_backoff_until: Mutex::new(None), clock, budget }
    }

    /// A source for one process; see [`choose_relays`]. `token` authenticates it to relays.
    pub fn for_process(
        log: Arc<dyn LogService>,
        name: &WriterId,
        own: Option<&SmolStr>,
        peers: &[SmolStr],
        token: &str,
        tail: RecordTail,
    ) -> Self {
        let relays = choose_relays(name, own, peers);
        tracing::info!(follows = ?relays, "relays selected; the log is read if there are none");
        let clients = relays.iter().map(|address| RelayClient::new(address, token)).collect();
        Self::new(log, clients, tail)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RelayCandidate>> {
        self.candidates.lock().expect("no holder of this lock panics")
    }

    /// The first relay that is not in backoff. The timeout of a request keeps running when the
    /// follower cancels the read.
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

    fn record_result(&self, candidate_index: usize, succeeded: bool) {
        let mut candidates = self.lock();
        candidates[candidate_index].requested_at = None;
        if !succeeded {
            candidates[candidate_index].back_off(self.clock.now());
        }
    }

    async fn read_relay(&self, start_offset: u64, max: u32, wait: Duration) -> Option<Page> {
        while let Some((index, relay)) = self.next_candidate() {
            let read = relay.read(start_offset, max, wait.min(RELAY_WAIT));
            let response = time::timeout(RELAY_WAIT + RELAY_GRACE, read).await;
            let timed_out = response.is_err();
            let gone = matches!(response, Ok(Err(EdgeError::Status { status: STATUS_GONE, .. })));
            let page = response
                .ok()
                .and_then(Result::ok)
                .filter(|page| is_usable_page(page, start_offset));
            self.record_result(index, gone || page.is_some());
            if gone || page.is_some() {
                return page;
            }
            tracing::info!(relay = index, silent = timed_out, "relay failed, backing off");
            if timed_out {
                return None;
            }
        }
        None
    }

    async fn read_log(
        &self,
        start_offset: u64,
        max: u32,
        wait: Duration,
    ) -> Result<Page, EdgeError> {
        self.wait_for_log_backoff().await;
        let page = self.log.read(start_offset, max, wait).await;
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

/// HTTP status of a relay that no longer keeps the requested records.
pub const STATUS_GONE: u16 = 410;

fn is_usable_page(page: &Page, start_offset: u64) -> bool {
    let fresh =
        !page.entries.is_empty() || Duration::from_millis(page.age_ms) <= relay::MAX_PAGE_AGE;
    page.oldest <= start_offset
        && page.next >= start_offset
        && page.hops <= relay::MAX_HOPS
        && fresh
}

#[async_trait]
impl LogService for Source {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        self.log.append(records).await
    }

    async fn read(&self, start_offset: u64, max: u32, wait: Duration) -> Result<Page, EdgeError> {
        time::sleep(self.budget.read_delay()).await;
        let page = match self.read_relay(start_offset, max, wait).await {
            Some(page) => page,
            None => self.read_log(start_offset, max, wait).await?,
        };
        self.tail.extend(&page);
        // Full pages are not charged, so that the budget does not delay catching up at startup.
        if page.entries.len() < max as usize {
            self.budget.spend(TrafficClass::Follow, relay::wire_bytes(&page));
        }
        Ok(page)
    }
}
