//! Token buckets of workspaces, kept by one router for all.

use super::{Claim, ClaimSource, Grant, Part, Tolerance, queue};
use crate::workspaces;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{
    cmp::Ordering,
    collections::HashMap,
    time::{Duration, Instant},
};

/// Share of the burst that is kept for requests that wait; only what lies above it is granted ahead.
const RESERVED_BURST_RATIO: f64 = 0.25;
/// Time in which the debt of a workspace is paid off at most, besides that of a large request. Covers what
/// another keeper granted between two reports.
const MAX_DEBT_TIME: Duration = Duration::from_secs(1);
/// Time after a change of the set of routers in which all have learnt of it.
const STEADY_TIME: Duration = Duration::from_secs(4);
/// Time without claims after which another keeper may have granted what this one has not heard of yet.
const UNHEARD_TIME: Duration = Duration::from_secs(1);
/// Time in which routers then report what they spent; until then only part of a burst is granted at once.
const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Longest wait that is stated, in seconds: until then a workspace may ask for less.
const MAX_WAIT_S: f64 = 10.0;
/// Time in which claims of an incarnation that has ended may still arrive.
const REORDERING_TIME: Duration = Duration::from_millis(500);
/// Time between two claims of one router for requests that wait: a time for each router that asks, within bounds.
const TIME_PER_CLAIM: Duration = Duration::from_millis(1);
const MIN_AGAIN: Duration = Duration::from_millis(40);
const MAX_AGAIN: Duration = Duration::from_millis(160);
/// Time without a claim of one router, while others sent some, after which it spent from another keeper's part.
const ABSENCE_TIME: Duration = Duration::from_secs(2);
/// A router that sent no claim for this long is forgotten, with what it held.
const CLAIM_TTL: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct RouterClaim {
    incarnation: u64,
    sequence: u64,
    /// Spent and held.
    claimed: u64,
    held: u64,
    received_at: Instant,
}

impl RouterClaim {
    /// Whether a claim was sent before this one. A router that starts after its clock was set back looks
    /// older, so an earlier incarnation counts once the last one has been silent.
    fn supersedes(&self, now: Instant, source: &ClaimSource) -> bool {
        match source.incarnation.cmp(&self.incarnation) {
            Ordering::Equal => source.sequence <= self.sequence,
            Ordering::Less => now.saturating_duration_since(self.received_at) < REORDERING_TIME,
            Ordering::Greater => false,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    /// Cost of the requests that were refused and are expected to return, in turn at the rate of the quota.
    refused: f64,
    /// Since when it has been refilled.
    filled_from: Instant,
    refilled_at: Instant,
    settling_until: Option<Instant>,
    /// What a bucket that was full when the settling began holds now: the routers may just have asked for nothing.
    settling_level: f64,
    claims: HashMap<SmolStr, RouterClaim>,
    queue: queue::Queue,
    /// What the router has of the quota.
    part: Part,
    /// What it may grant as a standby.
    failover_left: f64,
}

/// What a keeper grants from.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The quota over all routers.
    pub quota: &'a workspaces::Quota,
    /// How far it may be exceeded.
    pub tolerance: &'a Tolerance,
    /// What the keeper has of both.
    pub part: Part,
}

/// The buckets that a router keeps.
#[derive(Debug, Default)]
pub struct Ledger {
    buckets: HashMap<names::WorkspaceId, Bucket>,
}

impl Ledger {
    /// Applies a claim and grants what there is.
    ///
    /// `steady_since` is when the set of routers last changed. If that was lately, another router has kept
    /// the bucket until now and granted all that came in, so a new one starts empty. `part` is what this router has of
    /// the quota.
    pub fn claim(
        &mut self,
        now: Instant,
        steady_since: Instant,
        terms: &Terms<'_>,
        source: &ClaimSource,
        claim: &Claim,
    ) -> Option<Grant> {
        let Terms { quota, tolerance, part } = *terms;
        let bucket = self
            .buckets
            .entry(claim.workspace.clone())
            .or_insert_with(|| Bucket::new(now, steady_since, part, tolerance.max_failover(quota)));
        bucket.renew_failover(now, quota, tolerance);
        let max_advance = tolerance.max_advance(quota, part.share);
        let quota = &quota.share(part.share);
        bucket.set_part(part);
        bucket.refill(now, quota);
        if !bucket.settle(now, source, claim) {
            return None;
        }
        bucket.forgive(quota, tolerance);
        let answers = bucket.answer(now, source, claim, quota, tolerance);
        let mut grant = bucket.grant(now, source, claim, quota, tolerance, max_advance);
        grant.granted += answers.iter().map(|(_, cost)| cost).sum::<u64>();
        grant.answers = answers.into_iter().map(|(answer, _)| answer).collect();
        grant.again = bucket.again(now);
        Some(grant)
    }

    /// Forgets routers and workspaces without claims.
    pub fn expire(&mut self, now: Instant) {
        for bucket in self.buckets.values_mut() {
            bucket
                .claims
                .retain(|_, claim| now.saturating_duration_since(claim.received_at) < CLAIM_TTL);
        }
        self.buckets.retain(|_, bucket| !bucket.claims.is_empty());
    }
}

impl Bucket {
    fn new(now: Instant, steady_since: Instant, part: Part, max_failover: f64) -> Self {
        let is_steady = now.saturating_duration_since(steady_since) >= STEADY_TIME;
        let filled_from = if is_steady { steady_since } else { now };
        Self {
            level: 0.0,
            refused: 0.0,
            filled_from,
            refilled_at: filled_from,
            settling_until: None,
            settling_level: 0.0,
            claims: HashMap::new(),
            queue: queue::Queue::new(now),
            part,
            failover_left: max_failover,
        }
    }

    /// Keeps of what there is no more than the same share as of the quota: other routers have the rest.
    fn set_part(&mut self, part: Part) {
        if part.share < self.part.share {
            let ratio = part.share / self.part.share;
            self.level *= if self.level > 0.0 { ratio } else { 1.0 };
            self.settling_level *= if self.settling_level > 0.0 { ratio } else { 1.0 };
        }
        self.part = part;
    }

    /// Renews what a standby may grant, at the rate at which the tolerance allows it again.
    fn renew_failover(&mut self, now: Instant, quota: &workspaces::Quota, tolerance: &Tolerance) {
        let max = tolerance.max_failover(quota);
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let renewed = max * elapsed / tolerance.window.as_secs_f64().max(1.0);
        self.failover_left = (self.failover_left + renewed).min(max);
    }

    fn refill(&mut self, now: Instant, quota: &workspaces::Quota) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.level += elapsed.as_secs_f64() * quota.per_s;
        self.refused = (self.refused - elapsed.as_secs_f64() * quota.per_s).max(0.0);
        self.settling_level =
            (self.settling_level + elapsed.as_secs_f64() * quota.per_s).min(quota.burst);
        if elapsed >= UNHEARD_TIME && !self.claims.is_empty() {
            self.settling_until = Some(now + SETTLING_TIME);
            self.settling_level = quota.burst;
        }
        // Until all routers have reported, the level includes what they spent.
        if !self.is_settling(now) {
            let most = if self.settling_until.take().is_some() {
                self.settling_level
            } else {
                quota.burst
            };
            self.level = self.level.min(most);
        }
    }

    /// Time for which the bucket has been refilled when a router turns to it.
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.filled_from).min(STEADY_TIME)
    }

    fn is_settling(&self, now: Instant) -> bool {
        self.settling_until.is_some_and(|until| now < until)
    }

    /// Charges what a router claims beyond its last claim, or refunds what it never received. Returns
    /// false for an outdated claim.
    fn settle(&mut self, now: Instant, source: &ClaimSource, claim: &Claim) -> bool {
        let claimed = claim.spent.saturating_add(claim.held);
        let before = self.claims.get(&source.router);
        if before.is_some_and(|last| last.supersedes(now, source)) {
            return false;
        }
        let charged = match before {
            // What another keeper granted before the first claim, but for the time that this bucket has
            // been refilled meanwhile.
            None => claimed.saturating_sub(
                claim.per_s.saturating_mul(self.age(now).as_millis() as u64) / 1_000,
            ),
            Some(last) if last.incarnation == source.incarnation => {
                let is_back = now.saturating_duration_since(last.received_at) >= ABSENCE_TIME
                    && !self.is_settling(now);
                if is_back { claimed.max(last.claimed) } else { last.claimed }
            }
            // The previous incarnation keeps what it was charged for: it may have spent it.
            Some(_) => 0,
        };
        self.level -= claimed as f64 - charged as f64;
        let claim = RouterClaim {
            incarnation: source.incarnation,
            sequence: source.sequence,
            claimed,
            held: claim.held,
            received_at: now,
        };
        self.claims.insert(source.router.clone(), claim);
        true
    }

    /// Limits the debt: a keeper that stood still hears of all that was spent meanwhile at once.
    fn forgive(&mut self, quota: &workspaces::Quota, tolerance: &Tolerance) {
        let max_debt = quota.per_s.max(0.0) * MAX_DEBT_TIME.as_secs_f64()
            + tolerance.max_debt(self.part.share).max(0.0);
        // What is granted and not collected yet may return.
        self.level = self.level.max(-max_debt - self.queue.uncollected() as f64);
    }

    /// What may be granted now.
    fn available(&self, now: Instant, quota: &workspaces::Quota) -> f64 {
        let reserved = quota.burst * RESERVED_BURST_RATIO;
        let level = match self.is_settling(now) {
            true => self.level.min(self.settling_level).min(reserved),
            false => self.level,
        };
        if self.part.is_standby { level.min(self.failover_left) } else { level }
    }

    /// Takes what is granted out of the bucket.
    fn take(&mut self, granted: f64) {
        self.level -= granted;
        self.settling_level -= granted;
        if self.part.is_standby {
            self.failover_left -= granted;
        }
    }

    fn supply(
        &self,
        now: Instant,
        quota: &workspaces::Quota,
        tolerance: &Tolerance,
    ) -> queue::Supply {
        queue::Supply {
            level: self.available(now, quota),
            reserved: quota.burst * RESERVED_BURST_RATIO,
            per_s: quota.per_s,
            max_debt: tolerance.max_debt(self.part.share),
            max_cost: quota.burst + tolerance.max_debt(self.part.share),
        }
    }

    /// Takes in the requests that a router names, and decides on those of all routers.
    fn answer(
        &mut self,
        now: Instant,
        source: &ClaimSource,
        claim: &Claim,
        quota: &workspaces::Quota,
        tolerance: &Tolerance,
    ) -> Vec<(queue::Answer, u64)> {
        let super::Ordered { is_asking, waiters, left, told } = &claim.ordered;
        let (router, incarnation) = (&source.router, source.incarnation);
        let mut returned = match is_asking {
            true => self.queue.hear(now, router, incarnation),
            false => 0,
        };
        returned += self.queue.withdraw(router, incarnation, left);
        returned += self.queue.expire(now, &self.supply(now, quota, tolerance));
        self.level += returned as f64;
        self.queue.record_told(now, told);
        let supply = self.supply(now, quota, tolerance);
        self.queue.announce(now, router, incarnation, waiters, &supply);
        let granted = self.queue.grant(now, &supply) as f64;
        self.take(granted);
        if !is_asking {
            return Vec::new();
        }
        let answers = self.queue.collect(now, router);
        let sum: u64 = answers.iter().map(|(_, cost)| cost).sum();
        if let Some(claim) = self.claims.get_mut(router) {
            claim.claimed += sum;
            claim.held += sum;
        }
        answers
    }

    /// Time after which a router should ask again for requests that wait.
    fn again(&self, now: Instant) -> Duration {
        if self.queue.is_empty() && !self.queue.is_flooded(now) {
            return Duration::ZERO;
        }
        let routers = u32::try_from(self.queue.routers()).unwrap_or(u32::MAX);
        TIME_PER_CLAIM.saturating_mul(routers).clamp(MIN_AGAIN, MAX_AGAIN)
    }

    fn grant(
        &mut self,
        now: Instant,
        source: &ClaimSource,
        claim: &Claim,
        quota: &workspaces::Quota,
        tolerance: &Tolerance,
        max_advance: f64,
    ) -> Grant {
        let held: u64 = self.claims.values().map(|claim| claim.held).sum();
        let reserved = quota.burst * RESERVED_BURST_RATIO;
        // Those that wait in order go first.
        let level = match self.queue.is_empty() {
            true => self.available(now, quota),
            false => self.available(now, quota).min(0.0),
        };
        let mut granted = level.max(0.0).min(claim.needed as f64);
        let lacking = claim.first.saturating_sub(claim.held) as f64;
        let mut wait = 0.0;
        if claim.first > 0 && granted < lacking {
            // A large request is granted as soon as a small one would be, or small ones starve it.
            let debt = lacking - level;
            if level > 0.0 && debt <= tolerance.max_debt(self.part.share) {
                granted = lacking;
            } else {
                granted = 0.0;
                let missing = (debt - tolerance.max_debt(self.part.share)).max(1.0 - level);
                wait = (self.refused + missing) / quota.per_s.max(1.0);
                self.refused = (self.refused + claim.needed as f64).min(quota.per_s * MAX_WAIT_S);
            }
        }
        let spare = level - granted - reserved;
        let advance_left = max_advance - held as f64;
        let ahead = (claim.ahead as f64).min(spare).min(advance_left).max(0.0);
        let granted = (granted + ahead) as u64;
        self.take(granted as f64);
        if let Some(claim) = self.claims.get_mut(&source.router) {
            claim.claimed += granted;
            claim.held += granted;
        }
        Grant {
            granted,
            wait: Duration::from_secs_f64(wait.min(MAX_WAIT_S)),
            answers: Vec::new(),
            again: Duration::ZERO,
        }
    }
}
