//! At-most-once calls: each idempotency key has one claim, then one outcome.
//!
//! A key can be claimed once. The outcome is the service's answer, or that the call did not run.
//! A void records the latter for an unclaimed key and prevents later claims. Outcomes are final
//! until the key expires, [`KEY_RETENTION_MS`] after its first record.

use crate::fold::Rejection;
use corianderstand_derives::derives;
use corianderstand_schema::records::{CallAnswer, CallKey, Record};
use corianderstand_types::names::{ServiceId, TargetId, WorkspaceId};
use smol_str::SmolStr;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// Log time for which a key is kept. The extra hour covers retries a day later.
pub const KEY_RETENTION_MS: u64 = 25 * 3600 * 1000;
/// Maximum number of keys at which claims are accepted.
pub const MAX_KEYS: usize = 60_000;
/// Maximum number of keys; the reserve lets routers void calls when no more can be claimed.
pub const MAX_KEYS_VOIDED: usize = MAX_KEYS + MAX_KEYS / 8;
/// Total size of stored answers at which new claims are rejected.
pub const MAX_ANSWER_BYTES: usize = 24 * 1024 * 1024;
/// Longest answer body that is stored for retries.
pub const MAX_ANSWER_BODY_BYTES: usize = 64 * 1024;

/// Idempotency key of a call, scoped to a team and a service.
#[derives(name)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// Team that makes the call.
    pub team: WorkspaceId,
    /// Service that is called.
    pub service: ServiceId,
    /// Key chosen by the caller.
    pub key: SmolStr,
}

impl From<&CallKey> for Key {
    fn from(key: &CallKey) -> Self {
        let CallKey { team, service, key } = key.clone();
        Self { team, service, key }
    }
}

/// Answer of a service.
#[derives(wire)]
#[derive(Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: SmolStr,
    /// The body; `None` if it is longer than [`MAX_ANSWER_BODY_BYTES`].
    pub body: Option<Arc<[u8]>>,
}

/// Recorded state of a call.
#[derives(wire)]
pub enum Call {
    /// An agent claimed the call and may have run it.
    Claimed {
        /// Offset of the claim record.
        claim: u64,
        /// Digest of the call.
        digest: u64,
        /// Target that may run the call.
        target: TargetId,
        /// Incarnation of the agent that claimed it.
        incarnation: u64,
    },
    /// The call ran.
    Ran {
        /// Digest of the call.
        digest: u64,
        /// Answer of the service.
        answer: Answer,
    },
    /// The call did not run and never will under this key.
    NotRun,
}

/// A call and the first record of its key.
#[derives(wire)]
pub struct Entry {
    /// State of the call.
    pub call: Call,
    /// Offset of the key's first record.
    pub offset: u64,
    /// Log time of the key's first record.
    pub at_ms: u64,
}

/// Status of a call as reported to a retry.
#[derives(data)]
pub enum CallStatus {
    /// The key is unknown and may be claimed.
    Unclaimed,
    /// The call is claimed and has no outcome yet.
    Claimed,
    /// The call ran.
    Ran(Answer),
    /// The call did not run and never will.
    NotRun,
    /// The key was used for a different call.
    Conflict,
}

/// All calls whose keys have not expired.
#[derives(wire)]
#[derive(Default)]
pub struct Calls {
    by_key: imbl::OrdMap<Key, Entry>,
    by_offset: imbl::OrdMap<u64, Key>,
    answer_bytes: usize,
}

/// Digest of a call, which detects a key reused for a different call.
pub fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

impl Calls {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Recorded state of a key.
    pub fn find(&self, key: &CallKey) -> Option<&Call> {
        self.by_key.get(&Key::from(key)).map(|entry| &entry.call)
    }

    /// Status of a call with this digest.
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

    /// Claims a key that has no record yet.
    pub fn claim(
        &mut self,
        offset: u64,
        now_ms: u64,
        key: &CallKey,
        digest: u64,
        target: &TargetId,
        record: &Record,
    ) -> Result<(), Rejection> {
        self.remove_expired(now_ms);
        self.ensure_unclaimed(key)?;
        if self.by_key.len() >= MAX_KEYS || self.answer_bytes >= MAX_ANSWER_BYTES {
            return Err(Rejection::CallsFull);
        }
        let (target, incarnation) = (target.clone(), record.incarnation);
        let call = Call::Claimed { claim: offset, digest, target, incarnation };
        self.insert(offset, now_ms, key, call);
        Ok(())
    }

    /// Records the outcome of a claimed call; no answer means that it did not run.
    pub fn end(
        &mut self,
        key: &CallKey,
        claim: u64,
        answer: Option<&CallAnswer>,
    ) -> Result<(), Rejection> {
        let entry = self.by_key.get_mut(&Key::from(key)).ok_or(Rejection::CallConflict)?;
        let digest = match &entry.call {
            Call::Claimed { claim: current, digest, .. } if *current == claim => *digest,
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

    /// Records that an unclaimed call did not run.
    pub fn void(&mut self, offset: u64, now_ms: u64, key: &CallKey) -> Result<(), Rejection> {
        self.remove_expired(now_ms);
        self.ensure_unclaimed(key)?;
        if self.by_key.len() >= MAX_KEYS_VOIDED {
            return Err(Rejection::CallsFull);
        }
        self.insert(offset, now_ms, key, Call::NotRun);
        Ok(())
    }

    /// Fails if the key has a record. Must precede the capacity check: `CallsFull` means "not run".
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

    /// Removes keys older than [`KEY_RETENTION_MS`]; log time rises with the offset.
    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((offset, key)) = self.by_offset.get_min().cloned() {
            let at_ms = self.by_key.get(&key).map_or(0, |entry| entry.at_ms);
            if at_ms + KEY_RETENTION_MS > now_ms {
                return;
            }
            self.by_offset.remove(&offset);
            if let Some(Entry { call: Call::Ran { answer, .. }, .. }) = self.by_key.remove(&key) {
                self.answer_bytes -= answer.body.map_or(0, |body| body.len());
            }
        }
    }
}
