//! Local replica of the store's records, and how current it is.
//!
//! When the store comes back from an older copy, its era rises. What is known stays in force while it is read anew. A
//! known key that the copy lacks is awaited: those that wrote it have a short time to write it again.

use crate::{
    client,
    dialect::{self, Subject},
    precedence::{self, Stamp},
};
use corianderstand_derives::derives;
use corianderstand_types::position::{Era, Position};
use displaydoc::Display;
use smol_str::SmolStr;
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The store counts as lost after this time without a read; covers a long poll and a slow response.
const STORE_LOST_AFTER: Duration = Duration::from_millis(2_600);
/// Time in which targets renew entries that expired during an outage of the store.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_300);
/// The same for routers, which may be cut off from the store.
const ROUTERS_GRACE: Duration = Duration::from_secs(30);

/// Where records came from.
#[derives(key)]
#[derive(Display)]
pub enum Source {
    /// the store
    Store,
    /// the peer at {0}
    Peer(SocketAddr),
}

/// How current the replica of a subject is.
#[derives(key)]
pub struct Age {
    /// Time since the last successful read of the store, if there was one.
    pub since_read: Option<Duration>,
    /// Whether another router is known to have newer records.
    pub is_behind_peer: bool,
}

/// How far a router knows a subject. Configurations are ordered by their versions first.
#[derives(key)]
#[derive(Default)]
pub struct Progress {
    /// Version of the newest configuration; 0 for other subjects.
    pub config_version: u64,
    /// Position after the newest record.
    pub next: Position,
}

impl Progress {
    /// Whether it covers records that `known` lacks. A configuration of the same version is the same one, wherever it
    /// stands; routers of earlier versions tell none.
    pub fn is_ahead_of(&self, known: &Self) -> bool {
        match self.config_version {
            0 => self.next > known.next,
            version => version > known.config_version,
        }
    }
}

/// Where the newest known record of a key came from.
#[derives(key)]
pub struct Origin {
    /// Who sent it.
    pub source: Source,
    /// Its position in the store.
    pub position: Position,
}

/// Where a page of records ends.
#[derives(key)]
pub struct PageEnd {
    /// Position after the page.
    pub next: Position,
    /// Whether the page has the newest record of each key, rather than all changes.
    pub whole: bool,
}

impl From<&dialect::Page> for PageEnd {
    fn from(page: &dialect::Page) -> Self {
        Self { next: page.next, whole: page.whole }
    }
}

#[derive(Debug)]
struct StoredRecord {
    record: dialect::Record,
    source: Source,
    content: Content,
    /// Position of the first record with this content; renewals don't advance it.
    changed_at: Position,
}

/// What a record contains, as far as it is compared.
#[derives(data)]
pub struct Content {
    /// Hash of what matters of the value.
    pub hash: u64,
    /// What the value says of its age, or what the last one said that told it.
    pub stamp: Stamp,
}

/// Knowledge from before the store came back, as of the rise of its era.
#[derives(key)]
pub struct Rise {
    /// The era before; 0 if nothing was read before.
    pub before: Era,
    /// The era now.
    pub era: Era,
}

#[derive(Debug, Default)]
struct SubjectRecords {
    records: BTreeMap<SmolStr, StoredRecord>,
    /// Where the known records end; of an earlier era until they were read in the present one.
    next: Option<Position>,
    /// Position from which all changes are known. Of keys removed before, nothing is known.
    complete_from: Position,
    /// When the store was last read, or the router that this one follows.
    read_at: Option<Instant>,
    /// When the store itself was read for the records that are known.
    store_read_at: Option<Instant>,
    previous_read_age: Option<Duration>,
    recovered_at: Option<Instant>,
    last_received: client::LastReceived,
    last_read_failed: bool,
}

/// The newest known records, by subject.
#[derive(Debug, Default)]
pub struct ReplicatedRecords {
    by_subject: BTreeMap<Subject, SubjectRecords>,
    era: Era,
    /// When the store was found to have come back from an older copy.
    risen_at: Option<Instant>,
}

impl ReplicatedRecords {
    /// The store's era, as far as it is known.
    pub const fn era(&self) -> Era {
        self.era
    }

    /// Records an era; returns what changed if it is a later one. All subjects are to be read anew.
    pub fn raise(&mut self, now: Instant, era: Era) -> Option<Rise> {
        if era <= self.era {
            return None;
        }
        let rise = Rise { before: self.era, era };
        self.era = era;
        if self.by_subject.values().any(|entry| !entry.records.is_empty()) {
            self.risen_at = Some(now);
        }
        Some(rise)
    }

    /// Whether the store came back so recently that records may still be missing that will be written again.
    pub fn is_recovering(&self, now: Instant) -> bool {
        self.risen_at.is_some_and(|at| now.saturating_duration_since(at) < RECOVERY_GRACE)
    }

    /// Time since the store came back, if it did.
    pub fn since_rise(&self, now: Instant) -> Option<Duration> {
        self.risen_at.map(|at| now.saturating_duration_since(at))
    }

    /// Position after the newest known record; the beginning of the log if the present era was not read.
    pub fn next(&self, subject: Subject) -> Position {
        self.current(subject).unwrap_or(Position::start_of(self.era))
    }

    fn current(&self, subject: Subject) -> Option<Position> {
        let next = self.by_subject.get(&subject)?.next;
        next.filter(|next| next.era() == self.era)
    }

    /// Whether a subject was read in the present era.
    pub fn is_current(&self, subject: Subject) -> bool {
        self.current(subject).is_some()
    }

    /// Whether a subject was ever read.
    pub fn is_known(&self, subject: Subject) -> bool {
        self.by_subject.get(&subject).is_some_and(|entry| entry.next.is_some())
    }

    /// Version of the newest known configuration; 0 if none is known.
    pub fn config_version(&self) -> u64 {
        let records = self.by_subject.get(&Subject::Config).into_iter();
        let versions = records.flat_map(|entry| entry.records.values()).map(|stored| {
            if let Stamp::Config { version } = stored.content.stamp { version } else { 0 }
        });
        versions.max().unwrap_or(0)
    }

    /// How far a subject is known.
    pub fn progress(&self, subject: Subject) -> Progress {
        let config_version = match subject {
            Subject::Config => self.config_version(),
            _ => 0,
        };
        Progress { config_version, next: self.next(subject) }
    }

    /// Number of records that are known from before the store came back, and that it lacks.
    pub fn awaited(&self, subject: Subject) -> usize {
        let records = self.by_subject.get(&subject).into_iter();
        let records = records.filter(|_| self.is_current(subject));
        let records = records.flat_map(|entry| entry.records.values());
        records.filter(|stored| self.is_awaited(stored)).count()
    }

    fn is_awaited(&self, stored: &StoredRecord) -> bool {
        stored.record.value.is_some() && stored.record.position.era() < self.era
    }

    /// Deletions of the keys that were awaited in vain. A configuration stays: a later one replaces it.
    pub fn lapsed(&self, now: Instant) -> Vec<(Subject, dialect::Record)> {
        let Some(risen_at) = self.risen_at else { return Vec::new() };
        let lapsed = |subject: Subject, grace: Duration| {
            let entry = self.by_subject.get(&subject);
            let lapses_at = risen_at + grace;
            let entry = entry.filter(|entry| {
                // They may have been written again, and the store be away again.
                now >= lapses_at && self.is_current(subject) && entry.read_at >= Some(lapses_at)
            });
            let records = entry.into_iter().flat_map(|entry| entry.records.values());
            let position = self.next(subject).previous();
            let lapsed = records.filter(|stored| self.is_awaited(stored)).map(move |stored| {
                let key = stored.record.key.clone();
                (subject, dialect::Record { key, value: None, position })
            });
            lapsed.collect::<Vec<_>>()
        };
        let mut records = lapsed(Subject::Targets, RECOVERY_GRACE);
        records.extend(lapsed(Subject::Routers, ROUTERS_GRACE));
        records
    }

    /// Time since the store itself was read, by whichever router, for the records that are known.
    pub fn since_store_read(&self, now: Instant, subject: Subject) -> Option<Duration> {
        self.store_read_at(subject).map(|at| now.saturating_duration_since(at))
    }

    /// When the store itself was read, by whichever router, for the records that are known.
    pub fn store_read_at(&self, subject: Subject) -> Option<Instant> {
        self.by_subject.get(&subject)?.store_read_at
    }

    /// Time since the last successful read of the store, or of the router that this one follows.
    pub fn since_read(&self, now: Instant, subject: Subject) -> Option<Duration> {
        self.read_at(subject).map(|at| now.saturating_duration_since(at))
    }

    /// When the store, or the router that this one follows, was last read.
    pub fn read_at(&self, subject: Subject) -> Option<Instant> {
        self.by_subject.get(&subject)?.read_at
    }

    /// Time between the last two reads of the store, or since the last one if `source` is a peer.
    pub fn previous_read_age(
        &self,
        now: Instant,
        subject: Subject,
        source: Source,
    ) -> Option<Duration> {
        match source {
            Source::Store => self.by_subject.get(&subject)?.previous_read_age,
            Source::Peer(_) => self.since_read(now, subject),
        }
    }

    /// Shared time that a read in progress updates with each part of its response.
    pub fn last_received(&mut self, subject: Subject) -> client::LastReceived {
        self.by_subject.entry(subject).or_default().last_received.clone()
    }

    /// When a part of a response was last received.
    pub fn last_received_at(&self, subject: Subject) -> Option<Instant> {
        self.by_subject.get(&subject)?.last_received.at()
    }

    /// Whether the last read failed.
    pub fn last_read_failed(&self, subject: Subject) -> bool {
        self.by_subject.get(&subject).is_some_and(|entry| entry.last_read_failed)
    }

    /// Whether the store itself was read recently.
    pub fn is_fresh(&self, now: Instant, subject: Subject) -> bool {
        self.since_read(now, subject).is_some_and(|age| age < STORE_LOST_AFTER)
    }

    /// All records of a subject, for a peer.
    pub fn full_page(&self, subject: Subject) -> dialect::Page {
        let Some(entry) = self.by_subject.get(&subject) else { return dialect::Page::default() };
        let records = entry.records.values().map(|stored| stored.record.clone()).collect();
        dialect::Page {
            records,
            next: entry.next.unwrap_or_default(),
            whole: true,
            reaches_end: false,
        }
    }

    /// Records changed since a position, without mere renewals; all records if not all changes since then are known.
    pub fn changes(&self, subject: Subject, start: Position) -> dialect::Page {
        let Some(entry) = self.by_subject.get(&subject) else { return dialect::Page::default() };
        let is_covered = self.is_current(subject) && start.era() == self.era;
        if !is_covered || start < entry.complete_from {
            return self.full_page(subject);
        }
        let changed = entry.records.values().filter(|stored| stored.changed_at >= start);
        let records = changed.map(|stored| stored.record.clone()).collect();
        dialect::Page { records, next: self.next(subject), whole: false, reaches_end: false }
    }

    /// The records of a page at later positions than what is known, in this order.
    ///
    /// A page that ends before the known records has none: a key that it still has may have been removed since.
    pub fn newer(&self, subject: Subject, page: dialect::Page) -> Vec<dialect::Record> {
        if page.next < self.next(subject) {
            return Vec::new();
        }
        let removed = self.removals(subject, &page);
        let records = page.records.into_iter().chain(removed);
        let mut newer: Vec<_> = records.filter(|record| self.is_later(subject, record)).collect();
        // If two targets have the same address, the later one must be applied last.
        newer.sort_by_key(|record| record.position);
        newer
    }

    fn stored(&self, subject: Subject, key: &str) -> Option<&StoredRecord> {
        self.by_subject.get(&subject)?.records.get(key)
    }

    /// Whether a record has a later position than the known one of its key.
    fn is_later(&self, subject: Subject, record: &dialect::Record) -> bool {
        let known = self.stored(subject, &record.key);
        known.is_none_or(|known| known.record.position < record.position)
    }

    /// Whether a record is newer than the known one of its key: a configuration by its version, wherever it stands.
    pub fn is_newer(&self, subject: Subject, record: &dialect::Record, content: &Content) -> bool {
        let has_later_version = match content.stamp {
            Stamp::Config { version } => version > self.config_version(),
            _ => false,
        };
        has_later_version || self.is_later(subject, record)
    }

    /// Whether the known record of a key has this content.
    pub fn has_content(&self, subject: Subject, key: &str, hash: u64) -> bool {
        self.stored(subject, key).is_some_and(|known| known.content.hash == hash)
    }

    /// Whether the known value of a key is newer than one at a later position, or is the same one that is read again
    /// after the store came back.
    pub fn outranks(&self, subject: Subject, record: &dialect::Record, content: &Content) -> bool {
        let Some(known) = self.stored(subject, &record.key) else { return false };
        let relation = precedence::Relation {
            is_of_later_era: known.record.position.era() < record.position.era(),
            is_removed: known.record.value.is_none(),
        };
        let is_reread = relation.is_of_later_era && known.content == *content;
        is_reread || known.content.stamp.outranks(&content.stamp, relation)
    }

    /// Records that the store has an older value, or the same one, of a key at a position. The known value stays.
    pub fn keep(&mut self, subject: Subject, key: &str, position: Position) {
        let Some(entry) = self.by_subject.get_mut(&subject) else { return };
        if let Some(known) = entry.records.get_mut(key)
            && known.record.position < position
        {
            known.record.position = position;
            known.changed_at = position;
        }
    }

    /// When the store recovered, if this was so recently that missing entries may still return.
    pub fn recent_recovery(&self, now: Instant, subject: Subject) -> Option<Instant> {
        let at = self.by_subject.get(&subject).and_then(|entry| entry.recovered_at);
        at.filter(|at| now.saturating_duration_since(*at) < RECOVERY_GRACE)
    }

    /// Records a successful read of the store, by this router or by the one that it follows. Returns whether the
    /// previous one had failed.
    pub fn record_read(&mut self, now: Instant, read_at: Instant, subject: Subject) -> bool {
        let entry = self.by_subject.entry(subject).or_default();
        entry.previous_read_age = entry.read_at.map(|at| now.saturating_duration_since(at));
        entry.read_at = Some(now);
        entry.store_read_at = entry.store_read_at.max(Some(read_at));
        let had_failed = std::mem::take(&mut entry.last_read_failed);
        // A pause alone may be this router's own.
        if had_failed && entry.previous_read_age.is_some_and(|age| age >= STORE_LOST_AFTER) {
            entry.recovered_at = Some(now);
        }
        had_failed
    }

    /// Records a failed read of the store. Returns whether the previous one had succeeded.
    pub fn record_read_failure(&mut self, subject: Subject) -> bool {
        let entry = self.by_subject.entry(subject).or_default();
        !std::mem::replace(&mut entry.last_read_failed, true)
    }

    /// Where the newest known record of a key came from, if one is known.
    pub fn origin(&self, subject: Subject, key: &str) -> Option<Origin> {
        let stored = self.stored(subject, key)?;
        Some(Origin { source: stored.source, position: stored.record.position })
    }

    /// Inserts a record that is newer than the known one of its key.
    pub fn insert(
        &mut self,
        subject: Subject,
        mut record: dialect::Record,
        source: Source,
        mut content: Content,
    ) {
        let entry = self.by_subject.entry(subject).or_default();
        let known = entry.records.get(&record.key);
        // A configuration may be newer at an earlier position, as a peer has it from before the store came back.
        record.position =
            known.map_or(record.position, |known| known.record.position.max(record.position));
        // Since the store came back, followers await it even if it is unchanged.
        let unchanged = known.filter(|known| {
            known.content.hash == content.hash && known.changed_at.era() == record.position.era()
        });
        let changed_at = unchanged.map_or(record.position, |known| known.changed_at);
        // A removal and a value that can't be decoded say nothing of their own age.
        if let (Some(known), Stamp::None) = (known, &content.stamp) {
            content.stamp = known.content.stamp.clone();
        }
        let key = record.key.clone();
        entry.records.insert(key, StoredRecord { record, source, content, changed_at });
    }

    /// Marks all records before the end of an applied page as known. Returns whether this advances the position.
    pub fn advance(&mut self, subject: Subject, end: PageEnd) -> bool {
        let entry = self.by_subject.entry(subject).or_default();
        let advanced = end.next.era() == self.era && entry.next < Some(end.next);
        if advanced {
            entry.next = Some(end.next);
            if end.whole {
                entry.complete_from = end.next;
            }
        }
        advanced
    }

    /// Deletions of the known keys that a page of all keys lacks.
    fn removals(&self, subject: Subject, page: &dialect::Page) -> Vec<dialect::Record> {
        let Some(entry) = self.by_subject.get(&subject).filter(|_| page.whole) else {
            return Vec::new();
        };
        // A peer may know of a removal from before the store came back only.
        let tells =
            |record: &&dialect::Record| record.value.is_some() || self.is_later(subject, record);
        let present: HashSet<&str> =
            page.records.iter().filter(tells).map(|record| record.key.as_str()).collect();
        let known = entry.records.values().map(|stored| &stored.record);
        let removed = known.filter(|record| {
            record.value.is_some()
                && record.position.era() == page.next.era()
                && record.position < page.next
                && !present.contains(record.key.as_str())
        });
        let removed = removed.map(|record| dialect::Record {
            value: None,
            position: page.next.previous().max(record.position.next()),
            key: record.key.clone(),
        });
        removed.collect()
    }
}
