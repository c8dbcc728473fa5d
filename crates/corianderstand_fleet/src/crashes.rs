//! Requests that end the targets that run them.
//!
//! When a target ends, all requests that it was running are suspects. A suspect that also ran on the
//! targets that ended next is blocked, unless another suspect explains these ends as well. A complete
//! response clears its request: one that ends each target that runs it never has any. All routers
//! exchange their [`Crash`]es and judge by the same rules.

use crate::{fingerprint::Fingerprint, targets::Incarnation};
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Consecutive ends after which a request is blocked.
const MAX_CONSECUTIVE_ENDS: usize = 3;
/// Consecutive ends after which a request is blocked although another one explains them as well.
const MAX_AMBIGUOUS_ENDS: usize = 5;
/// Copies of a request may run at the same time: it is also blocked after this many ends in total,
/// if some of them were consecutive.
const MAX_TOTAL_ENDS: usize = 6;
const MIN_CONSECUTIVE_ENDS: usize = 2;
/// Time for which a request is blocked after the last end.
const BLOCK_TIME: Duration = Duration::from_mins(10);
/// Time for which ends count. It exceeds [`BLOCK_TIME`], so that one further end blocks again.
const RETENTION: Duration = Duration::from_mins(30);
const MAX_SUSPECTS: usize = 256;
const MAX_CRASHES_PER_SUSPECT: usize = 16;

/// The end of a target while it ran a request.
#[derives(data)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target that ended.
    pub target: Incarnation,
    /// When the request was sent to the target.
    pub sent_at: Instant,
    /// When the target ended.
    pub ended_at: Instant,
    /// Whether the target had sent a part of the response.
    pub responded: bool,
    /// The router that had sent the request.
    pub observer: SmolStr,
}

/// Why a request is blocked.
#[derives(data)]
pub struct Block {
    /// Number of targets that ended.
    pub ends: usize,
    /// When the last of them ended.
    pub last_end: Instant,
    /// When the request may be sent again.
    pub until: Instant,
    /// The routers that had sent it.
    pub observers: BTreeSet<SmolStr>,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: Vec<Crash>,
    /// Targets whose ends were explained by a later complete response.
    cleared: BTreeSet<Incarnation>,
    last_end: Instant,
}

impl Suspect {
    fn ended(&self, target: &Incarnation) -> bool {
        self.crashes.iter().any(|crash| crash.target == *target)
    }
}

impl Block {
    fn new(suspect: &Suspect) -> Self {
        Self {
            ends: suspect.crashes.len(),
            last_end: suspect.last_end,
            until: suspect.last_end + BLOCK_TIME,
            observers: suspect.crashes.iter().map(|crash| crash.observer.clone()).collect(),
        }
    }
}

/// Order in which requests are blocked: by most ends, then by fewest responses.
#[derives(name)]
struct GuiltRank {
    ends: usize,
    responses: std::cmp::Reverse<usize>,
    targets: BTreeSet<Incarnation>,
}

impl GuiltRank {
    fn new(crashes: &[&Crash]) -> Self {
        Self {
            ends: crashes.len(),
            responses: std::cmp::Reverse(responses(crashes)),
            targets: crashes.iter().map(|crash| crash.target.clone()).collect(),
        }
    }
}

/// Ends of targets by request.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    suspects: HashMap<Fingerprint, Suspect>,
    blocks: HashMap<Fingerprint, Block>,
}

impl Crashes {
    /// Records the end of a target under a request; false if it is known.
    pub fn record(&mut self, now: Instant, crash: Crash) -> bool {
        self.expire(now);
        if !self.suspects.contains_key(&crash.fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict();
        }
        let suspect = self.suspects.entry(crash.fingerprint).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            cleared: BTreeSet::new(),
            last_end: crash.ended_at,
        });
        if suspect.ended(&crash.target) || suspect.cleared.contains(&crash.target) {
            return false;
        }
        suspect.last_end = suspect.last_end.max(crash.ended_at);
        if suspect.crashes.len() == MAX_CRASHES_PER_SUSPECT {
            suspect.crashes.remove(0);
        }
        suspect.crashes.push(crash);
        suspect.crashes.sort_by_key(|crash| crash.ended_at);
        self.judge();
        true
    }

    /// Clears a request that got a complete response; false if it was not suspected.
    pub fn clear(&mut self, fingerprint: &Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(fingerprint) else { return false };
        if suspect.crashes.is_empty() {
            return false;
        }
        let targets = suspect.crashes.drain(..).map(|crash| crash.target);
        suspect.cleared = targets.collect();
        self.judge();
        true
    }

    /// Whether any request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether any request is blocked.
    pub fn has_blocks(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Returns why a request is blocked, if it is.
    pub fn block(&self, now: Instant, fingerprint: &Fingerprint) -> Option<&Block> {
        self.blocks.get(fingerprint).filter(|block| now < block.until)
    }

    /// Number of blocked requests.
    pub fn blocked_requests(&self, now: Instant) -> usize {
        self.blocks.values().filter(|block| now < block.until).count()
    }

    /// The ends for which requests are blocked, for a router that starts.
    pub fn blocking_crashes(&self) -> impl Iterator<Item = &Crash> {
        let suspects = self.blocks.keys().filter_map(|blocked| self.suspects.get(blocked));
        suspects.flat_map(|suspect| &suspect.crashes)
    }

    /// Blocks the requests that explain the most ends, until the rest is too few or ambiguous.
    fn judge(&mut self) {
        self.blocks.clear();
        let mut explained: BTreeSet<Incarnation> = BTreeSet::new();
        loop {
            let guilty = self.guilty_requests(&explained);
            let Some(best) = guilty.iter().map(|(rank, _)| rank).max().cloned() else { return };
            // Several requests that ended the same targets each time can't be told apart.
            for (rank, key) in guilty {
                if rank == best {
                    self.blocks.insert(key, Block::new(&self.suspects[&key]));
                }
            }
            explained.extend(best.targets);
        }
    }

    /// Returns the requests to block for ends that no blocked request explains.
    fn guilty_requests(&self, explained: &BTreeSet<Incarnation>) -> Vec<(GuiltRank, Fingerprint)> {
        let open = self.suspects.iter().filter(|(key, _)| !self.blocks.contains_key(key));
        let guilty = open.filter_map(|(key, suspect)| {
            let crashes = suspect.crashes.iter();
            let unexplained: Vec<&Crash> =
                crashes.filter(|crash| !explained.contains(&crash.target)).collect();
            self.is_guilty(*key, &unexplained).then(|| (GuiltRank::new(&unexplained), *key))
        });
        guilty.collect()
    }

    fn is_guilty(&self, key: Fingerprint, unexplained: &[&Crash]) -> bool {
        let consecutive = consecutive_ends(unexplained);
        if consecutive >= MAX_AMBIGUOUS_ENDS {
            return true;
        }
        let enough = consecutive >= MAX_CONSECUTIVE_ENDS
            || (consecutive >= MIN_CONSECUTIVE_ENDS && unexplained.len() >= MAX_TOTAL_ENDS);
        enough && !self.has_rival(key, unexplained)
    }

    /// Whether another request ran on all of these targets and had no more responses from them.
    fn has_rival(&self, key: Fingerprint, unexplained: &[&Crash]) -> bool {
        let responses = responses(unexplained);
        self.suspects.iter().any(|(other, suspect)| {
            let shared: Vec<&Crash> = suspect
                .crashes
                .iter()
                .filter(|crash| unexplained.iter().any(|own| own.target == crash.target))
                .collect();
            let is_open = *other != key && !self.blocks.contains_key(other);
            is_open && shared.len() == unexplained.len() && self::responses(&shared) <= responses
        })
    }

    fn expire(&mut self, now: Instant) {
        let count = self.suspects.len();
        self.suspects
            .retain(|_, suspect| now.saturating_duration_since(suspect.last_end) < RETENTION);
        if self.suspects.len() < count {
            self.judge();
        }
    }

    /// Removes the suspect with the oldest end, if possible one that is not blocked.
    fn evict(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(key, suspect)| (self.blocks.contains_key(key), suspect.last_end, **key));
        let Some(key) = oldest.map(|(key, _)| *key) else { return };
        self.suspects.remove(&key);
        self.blocks.remove(&key);
    }
}

/// Length of a chain of ends in which each run began after the end before it. Copies that ran at the
/// same time count once: hosts may fail together, but not each time that a request is repeated.
fn consecutive_ends(crashes: &[&Crash]) -> usize {
    let mut last_end: Option<Instant> = None;
    let mut count = 0;
    for crash in crashes {
        if last_end.is_none_or(|end| crash.sent_at >= end) {
            count += 1;
            last_end = Some(crash.ended_at);
        }
    }
    count
}

fn responses(crashes: &[&Crash]) -> usize {
    crashes.iter().filter(|crash| crash.responded).count()
}
