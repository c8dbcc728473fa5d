//! Requests that end the targets that run them.
//!
//! When a target ends, all requests that it was running are suspects. A suspect that also ran on the
//! targets that ended next is blocked, unless another suspect explains these ends as well. A target
//! that had been streaming its response for a while had begun to run it without ending, so its end
//! counts for little. A complete response clears its request. All routers exchange their [`Crash`]es
//! and judge by the same rules.
//!
//! Requests that wait for a model are all sent when it is there, so the same ones may end together again
//! and again. Those that can't be told apart are sent in alternating windows ([`Crashes::held_until`]).

use crate::{fingerprint::Fingerprint, targets::Incarnation};
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Consecutive early ends after which a request is blocked.
const MAX_CONSECUTIVE_ENDS: usize = 3;
/// Consecutive early ends after which a request is blocked although another one explains them as well.
const MAX_AMBIGUOUS_ENDS: usize = 6;
/// Consecutive ends, early or not, after which a request is blocked.
const MAX_LATE_ENDS: usize = 8;
/// An end is early if it comes within this time after the first event of the response.
pub const EARLY_END_TIME: Duration = Duration::from_millis(500);
/// Copies of a request may run at the same time: it is also blocked after this many ends in total,
/// if some of them were consecutive.
const MAX_TOTAL_ENDS: usize = 6;
const MIN_CONSECUTIVE_ENDS: usize = 2;
/// Time for which a request is blocked after the last end.
const BLOCK_TIME: Duration = Duration::from_mins(10);
/// Time for which the ends of a blocked request count. It exceeds [`BLOCK_TIME`], so that one further
/// end blocks again.
const BLOCK_RETENTION: Duration = Duration::from_mins(30);
/// Time for which fewer ends count.
const RETENTION: Duration = Duration::from_mins(5);
/// Interval at which the requests that can't be told apart take turns.
const TURN_TIME: Duration = Duration::from_millis(1_000);
/// Part of a turn in which they are sent, so that they have run for a while when the next turn begins.
const SEND_WINDOW: Duration = Duration::from_millis(400);
const MAX_SUSPECTS: usize = 256;
const MAX_CRASHES_PER_SUSPECT: usize = MAX_LATE_ENDS;

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
    /// Time from the first event of the response to the end, the longest of all copies of the request;
    /// zero if there was no event.
    pub survived: Duration,
    /// The router that had sent the request.
    pub observer: SmolStr,
}

impl Crash {
    fn is_early(&self) -> bool {
        self.survived < EARLY_END_TIME
    }
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
    /// Whether the request may have caused the end that another one is suspected of.
    fn explains(&self, other: &Crash) -> bool {
        let mut shared = self.crashes.iter().filter(|crash| crash.target == other.target);
        shared.any(|crash| crash.is_early() || !other.is_early())
    }

    fn is_recent(&self, now: Instant) -> bool {
        let was_blocked = self.crashes.len() >= MAX_CONSECUTIVE_ENDS;
        let retention = if was_blocked { BLOCK_RETENTION } else { RETENTION };
        now.saturating_duration_since(self.last_end) < retention
    }

    fn unexplained(&self, explained: &BTreeSet<Incarnation>) -> Vec<&Crash> {
        self.crashes.iter().filter(|crash| !explained.contains(&crash.target)).collect()
    }

    fn early_crashes(&self, explained: &BTreeSet<Incarnation>) -> Vec<&Crash> {
        self.unexplained(explained).into_iter().filter(|crash| crash.is_early()).collect()
    }

    /// Records an end; false if it is known.
    fn record(&mut self, crash: Crash) -> bool {
        if self.cleared.contains(&crash.target) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.target == crash.target) {
            let was_early = known.is_early();
            known.survived = known.survived.max(crash.survived);
            return was_early != known.is_early();
        }
        self.last_end = self.last_end.max(crash.ended_at);
        if self.crashes.len() == MAX_CRASHES_PER_SUSPECT {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.ended_at);
        true
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

/// Order in which requests are blocked: by most early ends, then by fewest others.
#[derives(name)]
struct GuiltRank {
    early_ends: usize,
    late_ends: std::cmp::Reverse<usize>,
    targets: BTreeSet<Incarnation>,
}

impl GuiltRank {
    fn new(crashes: &[&Crash]) -> Self {
        let early_ends = crashes.iter().filter(|crash| crash.is_early()).count();
        Self {
            early_ends,
            late_ends: std::cmp::Reverse(crashes.len() - early_ends),
            targets: targets_of(crashes),
        }
    }
}

/// Requests that ended the same targets as another.
#[derive(Clone, Debug, Default)]
struct Ambiguous {
    /// Sorted, so that all routers agree on the turns.
    requests: Vec<Fingerprint>,
    /// The last of the ends.
    first_turn_at: Option<Instant>,
}

impl Ambiguous {
    /// Whether a request is sent in a turn: a few requests one by one; of many, any two are apart in some
    /// turns, as the bits of their positions differ.
    fn has_turn(&self, position: usize, turn: u32) -> bool {
        let count = self.requests.len().max(2);
        let bits = usize::BITS - (count - 1).leading_zeros();
        let turns_by_bits = 2 * bits as usize;
        if count <= turns_by_bits {
            return turn as usize % count == position;
        }
        let bit = (turn / 2) % bits;
        (position >> bit & 1) as u32 == turn % 2
    }

    fn held_until(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Instant> {
        let position = self.requests.binary_search(fingerprint).ok()?;
        let first_turn_at = self.first_turn_at?;
        let elapsed = now.saturating_duration_since(first_turn_at);
        let turn = u32::try_from(elapsed.as_millis() / TURN_TIME.as_millis()).ok()?;
        let in_window = now < first_turn_at + TURN_TIME * turn + SEND_WINDOW;
        if in_window && self.has_turn(position, turn) {
            return None;
        }
        let next = (turn + 1..).find(|turn| self.has_turn(position, *turn))?;
        Some(first_turn_at + TURN_TIME * next)
    }
}

/// Ends of targets by request.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    suspects: HashMap<Fingerprint, Suspect>,
    blocks: HashMap<Fingerprint, Block>,
    ambiguous: Ambiguous,
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
        let is_news = suspect.record(crash);
        if is_news {
            self.judge();
        }
        is_news
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

    /// Whether any request is suspected, so that complete responses matter.
    pub fn has_suspects(&self) -> bool {
        self.suspects.values().any(|suspect| !suspect.crashes.is_empty())
    }

    /// Whether any request is held.
    pub fn has_held_requests(&self) -> bool {
        !self.ambiguous.requests.is_empty()
    }

    /// Whether any request is blocked.
    pub fn has_blocks(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Returns why a request is blocked, if it is.
    pub fn block(&self, now: Instant, fingerprint: &Fingerprint) -> Option<&Block> {
        self.blocks.get(fingerprint).filter(|block| now < block.until)
    }

    /// When a request may be sent that can't be told apart from another; none if it may be sent now.
    pub fn held_until(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Instant> {
        self.ambiguous.held_until(now, fingerprint)
    }

    /// Number of blocked requests.
    pub fn blocked_requests(&self, now: Instant) -> usize {
        self.blocks.values().filter(|block| now < block.until).count()
    }

    /// The ends for which requests are blocked or held, for a router that starts.
    pub fn relevant_crashes(&self) -> impl Iterator<Item = &Crash> {
        let keys = self.blocks.keys().chain(&self.ambiguous.requests);
        let suspects = keys.filter_map(|key| self.suspects.get(key));
        suspects.flat_map(|suspect| &suspect.crashes)
    }

    /// Blocks the requests that explain the most ends, until the rest is too few or ambiguous.
    fn judge(&mut self) {
        self.blocks.clear();
        let mut explained: BTreeSet<Incarnation> = BTreeSet::new();
        loop {
            let guilty = self.guilty_requests(&explained);
            let Some(best) = guilty.iter().map(|(rank, _)| rank).max().cloned() else { break };
            // Several requests that ended the same targets each time can't be told apart.
            for (rank, key) in guilty {
                if rank == best {
                    self.blocks.insert(key, Block::new(&self.suspects[&key]));
                }
            }
            explained.extend(best.targets);
        }
        self.ambiguous = self.ambiguous_requests(&explained);
    }

    fn ambiguous_requests(&self, explained: &BTreeSet<Incarnation>) -> Ambiguous {
        let open = self.suspects.iter().filter(|(key, _)| !self.blocks.contains_key(key));
        let ambiguous: Vec<_> = open
            .filter(|(key, suspect)| {
                let early = suspect.early_crashes(explained);
                consecutive_ends(&early) >= MIN_CONSECUTIVE_ENDS && self.has_rival(**key, &early)
            })
            .collect();
        let first_turn_at = ambiguous.iter().map(|(_, suspect)| suspect.last_end).max();
        let mut requests: Vec<Fingerprint> = ambiguous.iter().map(|(key, _)| **key).collect();
        requests.sort_unstable();
        Ambiguous { requests, first_turn_at }
    }

    /// Returns the requests to block for ends that no blocked request explains.
    fn guilty_requests(&self, explained: &BTreeSet<Incarnation>) -> Vec<(GuiltRank, Fingerprint)> {
        let open = self.suspects.iter().filter(|(key, _)| !self.blocks.contains_key(key));
        let guilty = open.filter_map(|(key, suspect)| {
            let is_guilty = self.is_guilty(*key, suspect, explained);
            is_guilty.then(|| (GuiltRank::new(&suspect.unexplained(explained)), *key))
        });
        guilty.collect()
    }

    fn is_guilty(
        &self,
        key: Fingerprint,
        suspect: &Suspect,
        explained: &BTreeSet<Incarnation>,
    ) -> bool {
        let early = suspect.early_crashes(explained);
        let consecutive = consecutive_ends(&early);
        if consecutive >= MAX_AMBIGUOUS_ENDS {
            return true;
        }
        let enough = consecutive >= MAX_CONSECUTIVE_ENDS
            || (consecutive >= MIN_CONSECUTIVE_ENDS && early.len() >= MAX_TOTAL_ENDS);
        if enough {
            return !self.has_rival(key, &early);
        }
        let all = suspect.unexplained(explained);
        consecutive_ends(&all) >= MAX_LATE_ENDS && !self.has_rival(key, &all)
    }

    /// Whether another request ran on these targets too, and did not survive longer on them. It may lack one
    /// of three, as a router that is killed takes with it what it alone had seen, and one of more if it
    /// ended another target instead: each of them may have ended one that failed by itself.
    fn has_rival(&self, key: Fingerprint, crashes: &[&Crash]) -> bool {
        let open = self.suspects.iter().filter(|(other, _)| !self.blocks.contains_key(other));
        let mut others = open.filter(|(other, _)| **other != key);
        others.any(|(_, other)| {
            let missing = crashes.iter().filter(|own| !other.explains(own)).count();
            let ended_another = || other.early_crashes(&targets_of(crashes)).len() == 1;
            missing == 0
                || missing == 1 && (crashes.len() == MAX_CONSECUTIVE_ENDS || ended_another())
        })
    }

    fn expire(&mut self, now: Instant) {
        let count = self.suspects.len();
        self.suspects.retain(|_, suspect| suspect.is_recent(now));
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

fn targets_of(crashes: &[&Crash]) -> BTreeSet<Incarnation> {
    crashes.iter().map(|crash| crash.target.clone()).collect()
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
