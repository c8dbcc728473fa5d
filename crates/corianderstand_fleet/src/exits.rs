//! Matches attempts whose connection broke with targets that ended.
//!
//! A broken connection alone does not tell whether the target ended or the network failed. The end is
//! confirmed from elsewhere: by the target's agent, by a refused connection, or by a new incarnation
//! at its address. Either may be known first.

use crate::{crashes, fingerprint, targets};
use corianderstand_derives::derives;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    collections::VecDeque,
    net::IpAddr,
    time::{Duration, Instant},
};

/// Time for the end of a target to be confirmed; a crashed engine is back after some seconds.
const CONFIRMATION_TIME: Duration = Duration::from_secs(10);
/// An agent's report may have been sent this long before it is received.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);
/// One probe serves all requests that broke at the same time.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_BROKEN_ATTEMPTS: usize = 1_024;
const MAX_ENDED_TARGETS: usize = 256;

/// How the end of a target became known.
#[derives(key)]
pub enum Confirmation {
    /// Its agent reported it.
    Agent,
    /// Its address refuses connections.
    Refused,
    /// Another incarnation took its place.
    Replaced,
    /// Another router reported it.
    Router,
}

impl Confirmation {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::Refused => "refused connection",
            Self::Replaced => "new incarnation",
            Self::Router => "another router",
        }
    }
}

/// An attempt whose connection broke before its response was complete.
#[derives(data)]
pub struct BrokenAttempt {
    /// Id of the request.
    pub request_id: SmolStr,
    /// Content and caller of the request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Parts of its prompt that may have ended the target.
    pub parts: Vec<crashes::AccusedPart>,
    /// Address of the caller.
    pub caller: IpAddr,
    /// The target.
    pub target: targets::Incarnation,
    /// When the request was sent to the target.
    pub sent_at: Instant,
    /// When the connection broke.
    pub broke_at: Instant,
    /// Time from the first event of the response to the break; zero if there was no event.
    pub survived: Duration,
    /// The router that had sent the request.
    pub observer: SmolStr,
}

impl BrokenAttempt {
    /// Whether this is another report of the same attempt; the times of reports differ.
    fn is_same(&self, other: &Self) -> bool {
        self.request_id == other.request_id
            && self.fingerprint == other.fingerprint
            && self.target == other.target
            && self.observer == other.observer
    }
}

#[derive(Clone, Debug)]
struct EndedTarget {
    target: targets::Incarnation,
    at: Instant,
    confirmation: Confirmation,
}

/// Recently broken attempts and recently ended targets.
#[derive(Clone, Debug, Default)]
pub struct Exits {
    broken: VecDeque<BrokenAttempt>,
    ended: VecDeque<EndedTarget>,
    probes: VecDeque<(targets::Incarnation, Instant)>,
}

impl Exits {
    /// Records a broken attempt; returns how the end of its target was confirmed, if it is known.
    pub fn record_broken(&mut self, now: Instant, attempt: BrokenAttempt) -> Option<Confirmation> {
        self.expire(now);
        let ended = self.ended.iter().find(|ended| ended.target.matches(&attempt.target));
        let confirmation = ended.map(|ended| ended.confirmation);
        let is_known = self.broken.iter().any(|known| known.is_same(&attempt));
        if confirmation.is_none() && !is_known {
            if self.broken.len() == MAX_BROKEN_ATTEMPTS {
                self.broken.pop_front();
            }
            self.broken.push_back(attempt);
        }
        confirmation
    }

    /// Records the end of a target and returns the attempts that broke with it.
    pub fn record_exit(
        &mut self,
        now: Instant,
        target: &targets::Incarnation,
        confirmation: Confirmation,
    ) -> Vec<BrokenAttempt> {
        self.expire(now);
        if !self.ended.iter().any(|ended| ended.target == *target) {
            if self.ended.len() == MAX_ENDED_TARGETS {
                self.ended.pop_front();
            }
            self.ended.push_back(EndedTarget { target: target.clone(), at: now, confirmation });
        }
        let (confirmed, rest) =
            self.broken.drain(..).partition(|attempt| attempt.target.matches(target));
        self.broken = rest;
        Vec::from(confirmed)
    }

    /// Whether the end of a target was confirmed lately. Another router's word is no evidence of a start that it may not
    /// have known.
    pub fn has_ended(&self, target: &targets::Incarnation) -> bool {
        let is_sure = |ended: &EndedTarget| ended.confirmation != Confirmation::Router;
        self.ended.iter().any(|ended| ended.target == *target && is_sure(ended))
    }

    /// Starts the probe of a target whose end is unconfirmed; false if there is nothing to probe for.
    pub fn start_probe(&mut self, now: Instant, target: &targets::Incarnation) -> bool {
        let is_unconfirmed = self.broken.iter().any(|attempt| attempt.target == *target);
        let is_probed = self.probes.iter().any(|(probed, at)| {
            probed == target && now.saturating_duration_since(*at) < PROBE_INTERVAL
        });
        if !is_unconfirmed || is_probed {
            return false;
        }
        if self.probes.len() == MAX_ENDED_TARGETS {
            self.probes.pop_front();
        }
        self.probes.push_back((target.clone(), now));
        true
    }

    /// Records that a target runs: connections that broke before were not broken by its end.
    pub fn record_running(&mut self, now: Instant, id: &names::TargetId, started_at_ms: u64) {
        self.broken.retain(|attempt| {
            let is_same = attempt.target.id == *id && attempt.target.started_at_ms == started_at_ms;
            !is_same || now.saturating_duration_since(attempt.broke_at) < MAX_REPORT_AGE
        });
    }

    fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CONFIRMATION_TIME;
        self.broken.retain(|attempt| is_recent(attempt.broke_at));
        self.ended.retain(|ended| is_recent(ended.at));
    }
}
