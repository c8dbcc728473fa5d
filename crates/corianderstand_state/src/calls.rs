//! Calls that may not be repeated: one claim a key, then one outcome.

use crate::fold::Void;
use corianderstand_derives::derives;
use corianderstand_schema::records::{CallKey, Record};
use corianderstand_types::names::{ServiceId, TargetId, TeamId};
use smol_str::SmolStr;
use std::sync::Arc;

/// Key of a call, in the order of the map.
#[derives(name)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// The team.
    pub team: TeamId,
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

/// What is known of a call.
#[derives(wire)]
pub enum Call {
    /// An agent may be running it, or may have.
    Claimed {
        /// Offset of the claim.
        claim: u64,
        /// Digest of the body.
        digest: u64,
        /// The target that may run it.
        target: TargetId,
        /// Start of the agent that claimed it.
        incarnation: u64,
        /// Log time of the claim.
        at_ms: u64,
    },
    /// It ran.
    Ended {
        /// Digest of the body.
        digest: u64,
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Arc<[u8]>,
        /// Log time of the claim.
        at_ms: u64,
    },
    /// It did not run and never will.
    Voided {
        /// Log time of the record.
        at_ms: u64,
    },
}

/// All calls that are remembered.
#[derives(wire)]
#[derive(Default)]
pub struct Calls {
    /// Calls by key.
    pub by_key: imbl::OrdMap<Key, Call>,
}

impl Calls {
    /// What is known of a call.
    pub fn find(&self, key: &CallKey) -> Option<&Call> {
        self.by_key.get(&Key::from(key))
    }

    /// Claims a key nobody has claimed or voided.
    pub fn claim(
        &mut self,
        offset: u64,
        now: u64,
        key: &CallKey,
        digest: u64,
        target: &TargetId,
        record: &Record,
    ) -> Result<(), Void> {
        let key = Key::from(key);
        if self.by_key.contains_key(&key) {
            return Err(Void::Call);
        }
        let (target, incarnation) = (target.clone(), record.incarnation);
        let call = Call::Claimed { claim: offset, digest, target, incarnation, at_ms: now };
        self.by_key.insert(key, call);
        Ok(())
    }

    /// Stores the outcome of a claimed call.
    pub fn end(&mut self, key: &CallKey, claim: u64, status: u16, body: &[u8]) -> Result<(), Void> {
        let key = Key::from(key);
        match self.by_key.get(&key) {
            Some(Call::Claimed { claim: held, digest, at_ms, .. }) if *held == claim => {
                let (digest, at_ms, body) = (*digest, *at_ms, body.into());
                self.by_key.insert(key, Call::Ended { digest, status, body, at_ms });
                Ok(())
            }
            _ => Err(Void::Call),
        }
    }

    /// Declares a call not run, if nobody has claimed it.
    pub fn void(&mut self, _offset: u64, now: u64, key: &CallKey) -> Result<(), Void> {
        let key = Key::from(key);
        if self.by_key.contains_key(&key) {
            return Err(Void::Call);
        }
        self.by_key.insert(key, Call::Voided { at_ms: now });
        Ok(())
    }
}
