//! Calls that may not be repeated: one claim a key, then one outcome.
//!
//! A key is claimed once and for all. What follows the claim is an outcome: the service's
//! answer, or that the call certainly did not run. A void says the latter of a key that nobody
//! has claimed, and keeps anybody from claiming it later. Nothing ever leaves an outcome again
//! until the key is forgotten, [`KEY_RETENTION_MS`] after its first record.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::{CallAnswer, CallKey, Record};
use corianderstand_types::names::{ServiceId, TargetId, WorkspaceId};
use smol_str::SmolStr;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// Time that a key is remembered, by the log's clock: a day, and an hour for repeats that come
/// "the same time tomorrow".
pub const KEY_RETENTION_MS: u64 = 25 * 3600 * 1000;
/// Most keys remembered: every process holds them all, within the memory allowed for control.
pub const MAX_KEYS: usize = 60_000;
/// Most keys that voids may fill: a router must be able to tell "not run" when claims cannot.
pub const MAX_KEYS_VOIDED: usize = MAX_KEYS + MAX_KEYS / 8;
/// Most bytes of answers remembered.
pub const MAX_ANSWER_BYTES: usize = 24 * 1024 * 1024;
/// Longest answer that is kept for repeats.
pub const MAX_ANSWER_BODY_BYTES: usize = 64 * 1024;

/// Key of a call, in the order of the map.
#[derives(name)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// The team.
    pub team: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// The caller's key.
    pub key: SmolStr,
}

impl From<&CallKey> for Key {
    fn from(key: &CallKey) -> Self {
        let CallKey { team, service, key } = key.clone();
        Self { team, service, key }
    }
}

/// What a service answered.
#[derives(wire)]
#[derive(Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: SmolStr,
    /// The body; `None` if it was longer than [`MAX_ANSWER_BODY_BYTES`].
    pub body: Option<Arc<[u8]>>,
}

/// What is known of a call.
#[derives(wire)]
pub enum Call {
    /// An agent may be running it, or may have.
    Claimed {
        /// Offset of the claim.
        claim: u64,
        /// Digest of the call.
        digest: u64,
        /// The target that may run it.
        target: TargetId,
        /// Start of the agent that claimed it.
        incarnation: u64,
    },
    /// It ran.
    Ran {
        /// Digest of the call.
        digest: u64,
        /// What the service answered.
        answer: Answer,
    },
    /// It did not run and never will under this key.
    NotRun,
}

/// A call and when its key was first heard of.
#[derives(wire)]
pub struct Entry {
    /// What is known.
    pub call: Call,
    /// Offset of the key's first record.
    pub offset: u64,
    /// Log time of the key's first record.
    pub at_ms: u64,
}

/// What a repeat is to be told.
#[derives(data)]
pub enum CallStatus {
    /// Nothing: it may be claimed.
    Unclaimed,
    /// It is claimed: an outcome may come.
    Claimed,
    /// It ran.
    Ran(Answer),
    /// It did not run and never will.
    NotRun,
    /// The key belongs to another call.
    Conflict,
}

/// All calls that are remembered.
#[derives(wire)]
#[derive(Default)]
pub struct Calls {
    by_key: imbl::OrdMap<Key, Entry>,
    by_offset: imbl::OrdMap<u64, Key>,
    answer_bytes: usize,
}

/// Digest of a call, to tell a repeat from another call under the same key.
pub fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

impl Calls {
    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// What is known of a key.
    pub fn find(&self, key: &CallKey) -> Option<&Call> {
        self.by_key.get(&Key::from(key)).map(|entry| &entry.call)
    }

    /// What a repeat with this digest is to be told.
    pub fn status(&self, key: &CallKey, digest: u64) -> CallStatus {
        match self.find(key) {
            None => CallStatus::Unclaimed,
            Some(Call::NotRun) => CallStatus::NotRun,
            Some(Call::Claimed { digest: first, .. } | Call::Ran { digest: first, .. })
                if *first != digest =>
            {
                CallStatus::Conflict
            }
            Some(Call::Claimed { .. }) => CallStatus::Claimed,
            Some(Call::Ran { answer, .. }) => CallStatus::Ran(answer.clone()),
        }
    }

    /// Claims a key that nobody has claimed or voided.
    pub fn claim(
        &mut self,
        offset: u64,
        now: u64,
        key: &CallKey,
        digest: u64,
        target: &TargetId,
        record: &Record,
    ) -> Result<(), Rejection> {
        self.remove_expired(now);
        self.ensure_unclaimed(key)?;
        if self.by_key.len() >= MAX_KEYS || self.answer_bytes >= MAX_ANSWER_BYTES {
            return Err(Rejection::CallsFull);
        }
        let (target, incarnation) = (target.clone(), record.incarnation);
        let call = Call::Claimed { claim: offset, digest, target, incarnation };
        self.insert(offset, now, key, call);
        Ok(())
    }

    /// Stores the outcome of a claimed call; no answer means that it certainly did not run.
    pub fn end(
        &mut self,
        key: &CallKey,
        claim: u64,
        answer: Option<&CallAnswer>,
    ) -> Result<(), Rejection> {
        let entry = self.by_key.get_mut(&Key::from(key)).ok_or(Rejection::CallConflict)?;
        let digest = match &entry.call {
            Call::Claimed { claim: held, digest, .. } if *held == claim => *digest,
            _ => return Err(Rejection::CallConflict),
        };
        entry.call = match answer {
            None => Call::NotRun,
            Some(CallAnswer { status, content_type, body }) => {
                let body: Option<Arc<[u8]>> = body.as_deref().map(Into::into);
                self.answer_bytes += body.as_ref().map_or(0, |body| body.len());
                let answer = Answer { status: *status, content_type: content_type.clone(), body };
                Call::Ran { digest, answer }
            }
        };
        Ok(())
    }

    /// Declares a call not run, if nobody has claimed it.
    pub fn void(&mut self, offset: u64, now: u64, key: &CallKey) -> Result<(), Rejection> {
        self.remove_expired(now);
        self.ensure_unclaimed(key)?;
        if self.by_key.len() >= MAX_KEYS_VOIDED {
            return Err(Rejection::CallsFull);
        }
        self.insert(offset, now, key, Call::NotRun);
        Ok(())
    }

    /// Whether nobody has claimed or voided a key. This comes before any look at the room left:
    /// "full" is told as "not run", which of a claimed key would be false.
    fn ensure_unclaimed(&self, key: &CallKey) -> Result<(), Rejection> {
        if self.by_key.contains_key(&Key::from(key)) {
            Err(Rejection::CallConflict)
        } else {
            Ok(())
        }
    }

    fn insert(&mut self, offset: u64, at_ms: u64, key: &CallKey, call: Call) {
        let key = Key::from(key);
        self.by_offset.insert(offset, key.clone());
        self.by_key.insert(key, Entry { call, offset, at_ms });
    }

    /// Forgets keys older than [`KEY_RETENTION_MS`], so that memory stays bounded. Offsets and log times
    /// rise together, so the oldest come first.
    fn remove_expired(&mut self, now: u64) {
        while let Some((offset, key)) = self.by_offset.get_min().cloned() {
            let at_ms = self.by_key.get(&key).map_or(0, |entry| entry.at_ms);
            if at_ms + KEY_RETENTION_MS > now {
                return;
            }
            self.by_offset.remove(&offset);
            if let Some(Entry { call: Call::Ran { answer, .. }, .. }) = self.by_key.remove(&key) {
                self.answer_bytes -= answer.body.map_or(0, |body| body.len());
            }
        }
    }
}
