//! Local replica of the store's records, and how current it is.

use crate::{
    client,
    dialect::{self, Subject},
};
use corianderstand_derives::derives;
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

/// Where the newest known record of a key came from.
#[derives(key)]
pub struct Origin {
    /// Who sent it.
    pub source: Source,
    /// Its offset in the store.
    pub offset: u64,
}

/// Where a page of records ends.
#[derives(key)]
pub struct PageEnd {
    /// Offset after the page.
    pub next: u64,
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
    content_hash: u64,
    /// Offset of the first record with this content; renewals don't advance it.
    changed_at_offset: u64,
}

#[derive(Debug, Default)]
struct SubjectRecords {
    records: BTreeMap<SmolStr, StoredRecord>,
    next_offset: Option<u64>,
    /// Offset from which all changes are known. Of keys removed before, nothing is known.
    complete_from: u64,
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
}

impl ReplicatedRecords {
    /// Offset after the newest known record, or 0.
    pub fn next_offset(&self, subject: Subject) -> u64 {
        self.by_subject.get(&subject).and_then(|entry| entry.next_offset).unwrap_or(0)
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
            next: entry.next_offset.unwrap_or(0),
            whole: true,
            reaches_end: false,
        }
    }

    /// Records changed since an offset, without mere renewals; all records if not all changes since then are known.
    pub fn changes(&self, subject: Subject, start_offset: u64) -> dialect::Page {
        let Some(entry) = self.by_subject.get(&subject) else { return dialect::Page::default() };
        if start_offset < entry.complete_from {
            return self.full_page(subject);
        }
        let changed =
            entry.records.values().filter(|stored| stored.changed_at_offset >= start_offset);
        let records = changed.map(|stored| stored.record.clone()).collect();
        dialect::Page {
            records,
            next: entry.next_offset.unwrap_or(0),
            whole: false,
            reaches_end: false,
        }
    }

    /// The records of a page that are newer than what is known, in the order of their offsets.
    ///
    /// A page that ends before the known records has none: a key that it still has may have been removed since.
    pub fn newer(&self, subject: Subject, page: dialect::Page) -> Vec<dialect::Record> {
        if page.next < self.next_offset(subject) {
            return Vec::new();
        }
        let removed = self.removals(subject, &page);
        let records = page.records.into_iter().chain(removed);
        let mut newer: Vec<_> = records.filter(|record| self.is_newer(subject, record)).collect();
        // If two targets have the same address, the later one must be applied last.
        newer.sort_by_key(|record| record.offset);
        newer
    }

    /// Whether a record is newer than the known one of its key.
    fn is_newer(&self, subject: Subject, record: &dialect::Record) -> bool {
        let known = self.by_subject.get(&subject).and_then(|entry| entry.records.get(&record.key));
        known.is_none_or(|known| known.record.offset < record.offset)
    }

    /// Whether the known record of a key has this content.
    pub fn has_content(&self, subject: Subject, key: &str, content_hash: u64) -> bool {
        let entry = self.by_subject.get(&subject);
        let known = entry.and_then(|entry| entry.records.get(key));
        known.is_some_and(|known| known.content_hash == content_hash)
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
        let stored = self.by_subject.get(&subject)?.records.get(key)?;
        Some(Origin { source: stored.source, offset: stored.record.offset })
    }

    /// Inserts a record that is newer than the known one of its key.
    pub fn insert(
        &mut self,
        subject: Subject,
        record: dialect::Record,
        source: Source,
        content_hash: u64,
    ) {
        let entry = self.by_subject.entry(subject).or_default();
        let unchanged =
            entry.records.get(&record.key).filter(|known| known.content_hash == content_hash);
        let changed_at_offset = unchanged.map_or(record.offset, |known| known.changed_at_offset);
        let key = record.key.clone();
        let stored = StoredRecord { record, source, content_hash, changed_at_offset };
        entry.records.insert(key, stored);
    }

    /// Marks all records before the end of an applied page as known. Returns whether this advances the offset.
    pub fn advance(&mut self, subject: Subject, end: PageEnd) -> bool {
        let entry = self.by_subject.entry(subject).or_default();
        let advanced = entry.next_offset < Some(end.next);
        if advanced {
            entry.next_offset = Some(end.next);
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
        let present: HashSet<&str> =
            page.records.iter().map(|record| record.key.as_str()).collect();
        let known = entry.records.values().map(|stored| &stored.record);
        let removed = known.filter(|record| {
            record.value.is_some()
                && record.offset < page.next
                && !present.contains(record.key.as_str())
        });
        let removed = removed.map(|record| dialect::Record {
            value: None,
            offset: page.next.saturating_sub(1).max(record.offset + 1),
            key: record.key.clone(),
        });
        removed.collect()
    }
}
