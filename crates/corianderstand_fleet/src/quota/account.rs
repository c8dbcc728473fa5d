//! A router's share of the quotas of workspaces.

mod ordered;

pub use ordered::Request;

use super::{Claim, Grant, Ordered, queue};
use crate::decaying_rate;
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Time for which cost units are held ahead of requests, at the rate of the last seconds.
const AHEAD_TIME: Duration = Duration::from_millis(600);
/// More is asked for once less than this share of what should be held is left.
const REFILL_RATIO: f64 = 0.5;
/// Unspent cost units are given back after this time without a request.
const HELD_TTL: Duration = Duration::from_secs(2);
/// Nothing is asked for ahead after this time without a request.
const AHEAD_TTL: Duration = Duration::from_secs(1);
/// Limits the questions about a workspace that has used up its quota.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(40);
/// Time between two claims that only ask ahead of requests.
const AHEAD_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds what waits for one answer.
const MAX_WAITING: usize = 256;

/// A request that waits for cost units.
#[derives(key)]
pub struct WaiterId(u64);

/// What to do with a request.
#[derives(key)]
pub enum Admission {
    /// Its cost has been spent.
    Admitted,
    /// It waits for the keeper's answer.
    Waits(WaiterId),
    /// It is not admitted.
    Refused(Refusal),
}

/// Why a request is not admitted.
#[derives(key)]
pub enum Refusal {
    /// The quota is used up.
    UsedUp {
        /// Time until its cost is expected to be there.
        retry_after: Duration,
    },
    /// Its cost can't be there in time.
    OutOfTime {
        /// Time until it should come back.
        retry_after: Duration,
        /// Whether room is kept for it then.
        is_booked: bool,
        /// How many waited before it.
        before: u32,
    },
    /// No keeper answered.
    Unanswered,
}

/// Result for a request that waited.
#[derives(key)]
pub struct Outcome {
    /// The request.
    pub waiter: WaiterId,
    /// None if its cost has been spent.
    pub refusal: Option<Refusal>,
}

#[derive(Debug)]
struct Account {
    held: u64,
    spent: u64,
    demand: decaying_rate::DecayingRate,
    used_at: Instant,
    waiting: VecDeque<(WaiterId, u64)>,
    /// Requests that wait in order.
    ordered: ordered::Ordered,
    /// Sequence number of the claim that waits for an answer.
    asked: Option<u64>,
    asked_at: Option<Instant>,
    refused_until: Option<(Instant, Refusal)>,
    /// Spent and held as of the last report to all keepers.
    reported: Option<(u64, u64)>,
}

/// The accounts of a router, by workspace.
#[derive(Debug, Default)]
pub struct Accounts {
    by_workspace: HashMap<names::WorkspaceId, Account>,
    last_waiter: u64,
}

impl Accounts {
    fn account(&mut self, now: Instant, workspace: &names::WorkspaceId) -> &mut Account {
        let new = || Account::new(now);
        let account = self.by_workspace.entry(workspace.clone()).or_insert_with(new);
        account.used_at = now;
        account
    }

    /// Spends the cost of a request, or lets it wait for its turn over all routers.
    pub fn admit_in_order(
        &mut self,
        now: Instant,
        workspace: &names::WorkspaceId,
        request: Request,
    ) -> Admission {
        self.last_waiter += 1;
        let id = WaiterId(self.last_waiter);
        let account = self.account(now, workspace);
        if account.waits_none() && account.held >= request.cost {
            account.spend(now, request.cost);
            return Admission::Admitted;
        }
        let unanswered = account
            .refused_until
            .filter(|(until, refusal)| now < *until && matches!(refusal, Refusal::Unanswered));
        if let Some((_, refusal)) = unanswered {
            return Admission::Refused(refusal);
        }
        match account.ordered.add(now, id, request) {
            Ok(()) => Admission::Waits(id),
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    /// Spends the cost of a request, or lets it wait.
    pub fn admit(&mut self, now: Instant, workspace: &names::WorkspaceId, cost: u64) -> Admission {
        self.last_waiter += 1;
        let waiter = WaiterId(self.last_waiter);
        let account = self.account(now, workspace);
        if account.waits_none() && account.held >= cost {
            account.spend(now, cost);
            return Admission::Admitted;
        }
        if let Some((_, refusal)) = account.refused_until.filter(|(until, _)| now < *until) {
            return Admission::Refused(refusal);
        }
        if account.waiting.len() >= MAX_WAITING {
            return Admission::Refused(Refusal::UsedUp { retry_after: MAX_REFUSAL_TIME });
        }
        account.waiting.push_back((waiter, cost));
        Admission::Waits(waiter)
    }

    /// Returns the cost of a request that was not sent.
    pub fn refund(&mut self, workspace: &names::WorkspaceId, cost: u64) {
        if let Some(account) = self.by_workspace.get_mut(workspace) {
            let cost = cost.min(account.spent);
            account.spent -= cost;
            account.held += cost;
        }
    }

    /// Removes a request that waits no longer. Returns false if it no longer waited.
    pub fn withdraw(&mut self, workspace: &names::WorkspaceId, waiter: WaiterId) -> bool {
        let account = self.by_workspace.get_mut(workspace);
        account.is_some_and(|account| account.withdraw(waiter))
    }

    /// Refuses requests that have waited for longer than any keeper holds one: those that change keepers are held anew.
    pub fn refuse_overdue(&mut self, now: Instant) -> Vec<(names::WorkspaceId, Vec<Outcome>)> {
        let mut refused = Vec::new();
        for (workspace, account) in &mut self.by_workspace {
            let outcomes = account.ordered.refuse_overdue(now);
            if !outcomes.is_empty() {
                refused.push((workspace.clone(), outcomes));
            }
        }
        refused
    }

    /// Whether the claim for a workspace is long: it names requests or bookings.
    pub fn is_claim_long(&self, workspace: &names::WorkspaceId) -> bool {
        let account = self.by_workspace.get(workspace);
        account.is_some_and(|account| account.ordered.is_named_in_claims())
    }

    /// When a claim for requests that wait in order is due next, of all workspaces.
    pub fn next_claim_at(&self) -> Option<Instant> {
        let accounts = self.by_workspace.values().filter(|account| account.asked.is_none());
        accounts.filter_map(|account| account.ordered.next_claim_at(account.asked_at)).min()
    }

    /// Whether a claim should be sent for a workspace now.
    pub fn should_ask(&self, now: Instant, workspace: &names::WorkspaceId) -> bool {
        self.by_workspace.get(workspace).is_some_and(|account| account.should_ask(now))
    }

    /// Workspaces for which a claim should be sent now.
    pub fn due(&self, now: Instant) -> Vec<names::WorkspaceId> {
        let due = self.by_workspace.iter().filter(|(_, account)| account.should_ask(now));
        due.map(|(workspace, _)| workspace.clone()).collect()
    }

    /// Workspaces whose spending has changed since it was last reported.
    pub fn unreported(&self) -> Vec<names::WorkspaceId> {
        let changed = self.by_workspace.iter().filter(|(_, account)| {
            account.reported != Some((account.spent, account.held))
                || account.ordered.has_bookings()
        });
        changed.map(|(workspace, _)| workspace.clone()).collect()
    }

    /// The claim for a workspace: a question if `sequence` is given, whose answer is expected, or a report.
    /// No report must be sent to a keeper whose answer is expected, as it would return what that grants.
    pub fn claim(
        &mut self,
        now: Instant,
        workspace: &names::WorkspaceId,
        sequence: Option<u64>,
    ) -> Option<Claim> {
        let account = self.by_workspace.get_mut(workspace)?;
        let mut claim = Claim {
            workspace: workspace.clone(),
            spent: account.spent,
            held: account.held,
            first: 0,
            needed: 0,
            ahead: 0,
            per_s: account.demand.value(now, DEMAND_WINDOW) as u64,
            ordered: Ordered { told: account.ordered.told(now), ..Default::default() },
        };
        if let Some(sequence) = sequence {
            account.asked = Some(sequence);
            account.asked_at = Some(now);
            let costs = account.waiting.iter().map(|(_, cost)| *cost);
            let waiting = costs.fold(0, u64::saturating_add);
            claim.first = account.waiting.front().map_or(0, |(_, cost)| *cost);
            claim.needed = waiting.saturating_sub(account.held);
            let left = account.held.saturating_sub(waiting);
            claim.ahead = account.wanted(now).saturating_sub(left);
            claim.ordered.is_asking = true;
            claim.ordered.waiters = account.ordered.name(now);
            claim.ordered.left = account.ordered.take_left();
        } else {
            account.reported = Some((account.spent, account.held));
        }
        Some(claim)
    }

    /// Applies a keeper's answer. Returns what becomes of the requests that wait.
    pub fn apply(
        &mut self,
        now: Instant,
        workspace: &names::WorkspaceId,
        sequence: u64,
        grant: &Grant,
    ) -> Vec<Outcome> {
        let Some(account) = self.by_workspace.get_mut(workspace) else { return Vec::new() };
        if account.asked != Some(sequence) {
            return Vec::new();
        }
        account.asked = None;
        account.ordered.set_interval(grant.again);
        account.held += grant.granted;
        let mut outcomes = account.apply_answers(now, &grant.answers);
        while let Some((waiter, cost)) = account.waiting.front().copied() {
            if account.held < cost {
                break;
            }
            account.waiting.pop_front();
            account.spend(now, cost);
            outcomes.push(Outcome { waiter, refusal: None });
        }
        if !account.waiting.is_empty() && !grant.wait.is_zero() {
            let refusal = Refusal::UsedUp { retry_after: grant.wait };
            outcomes.extend(account.refuse(now + grant.wait.min(MAX_REFUSAL_TIME), refusal));
        }
        outcomes
    }

    /// Gives up on an answer. Returns whether it was still expected.
    pub fn abandon(&mut self, workspace: &names::WorkspaceId, sequence: u64) -> bool {
        let Some(account) = self.by_workspace.get_mut(workspace) else { return false };
        let is_expected = account.asked == Some(sequence);
        if is_expected {
            account.asked = None;
            // The next keeper may know of none, and what was granted to some may be lost.
            account.ordered.forget_names();
        }
        is_expected
    }

    /// Refuses the requests that wait and, for a time, those that come, as no keeper answered.
    pub fn refuse_unanswered(
        &mut self,
        now: Instant,
        workspace: &names::WorkspaceId,
        time: Duration,
    ) -> Vec<Outcome> {
        let Some(account) = self.by_workspace.get_mut(workspace) else { return Vec::new() };
        account.refuse(now + time, Refusal::Unanswered)
    }

    /// Refuses those of the requests that wait whose time is over, as no keeper has answered yet.
    pub fn refuse_out_of_time(
        &mut self,
        workspace: &names::WorkspaceId,
        is_out_of_time: impl Fn(WaiterId) -> bool,
    ) -> Vec<Outcome> {
        let Some(account) = self.by_workspace.get_mut(workspace) else { return Vec::new() };
        let waiting = account.waiting.iter().map(|(waiter, _)| *waiter);
        let over: Vec<_> =
            waiting.chain(account.ordered.ids()).filter(|waiter| is_out_of_time(*waiter)).collect();
        let refuse = |waiter| {
            account.withdraw(waiter);
            Outcome { waiter, refusal: Some(Refusal::Unanswered) }
        };
        over.into_iter().map(refuse).collect()
    }

    /// Gives back what has been held without use.
    pub fn expire(&mut self, now: Instant) {
        for account in self.by_workspace.values_mut() {
            let is_idle = now.saturating_duration_since(account.used_at) >= HELD_TTL;
            if is_idle && account.asked.is_none() {
                account.held = 0;
            }
        }
    }

    /// Cost units held unspent, over all workspaces.
    pub fn held(&self) -> u64 {
        self.by_workspace.values().map(|account| account.held).sum()
    }
}

impl Account {
    fn new(now: Instant) -> Self {
        Self {
            held: 0,
            spent: 0,
            demand: decaying_rate::DecayingRate::new(now),
            used_at: now,
            waiting: VecDeque::new(),
            ordered: ordered::Ordered::default(),
            asked: None,
            asked_at: None,
            refused_until: None,
            reported: None,
        }
    }

    fn waits_none(&self) -> bool {
        self.waiting.is_empty() && self.ordered.is_empty()
    }

    fn refuse(&mut self, until: Instant, refusal: Refusal) -> Vec<Outcome> {
        self.refused_until = Some((until, refusal));
        let waiting = self.waiting.drain(..).map(|(waiter, _)| waiter);
        let mut refused: Vec<_> = waiting.collect();
        if matches!(refusal, Refusal::Unanswered) {
            refused.extend(self.ordered.remove_all());
        }
        let outcome = |waiter| Outcome { waiter, refusal: Some(refusal) };
        refused.into_iter().map(outcome).collect()
    }

    /// Removes a request that waits. Returns false if it does not wait.
    fn withdraw(&mut self, waiter: WaiterId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(id, _)| *id != waiter);
        self.waiting.len() < before || self.ordered.withdraw(waiter)
    }

    fn apply_answers(&mut self, now: Instant, answers: &[queue::Answer]) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for answer in answers {
            let waiter = WaiterId(answer.id);
            let refusal = match answer.decision {
                queue::Decision::Served => {
                    let Some(cost) = self.ordered.remove_granted(waiter, self.held) else {
                        continue;
                    };
                    self.spend(now, cost);
                    None
                }
                queue::Decision::Refused { retry_after, is_booked, before } => {
                    if !self.ordered.remove_refused(now, waiter, retry_after, is_booked) {
                        continue;
                    }
                    Some(Refusal::OutOfTime { retry_after, is_booked, before })
                }
            };
            outcomes.push(Outcome { waiter, refusal });
        }
        // What was granted to requests that have left goes to others.
        while let Some((waiter, cost)) = self.ordered.remove_first_within(self.held) {
            self.spend(now, cost);
            outcomes.push(Outcome { waiter, refusal: None });
        }
        outcomes
    }

    fn spend(&mut self, now: Instant, cost: u64) {
        self.held -= cost;
        self.spent += cost;
        self.demand.add(now, DEMAND_WINDOW, cost as f64);
    }

    /// What should be held ahead of requests.
    fn wanted(&self, now: Instant) -> u64 {
        (self.demand.value(now, DEMAND_WINDOW) * AHEAD_TIME.as_secs_f64()) as u64
    }

    fn should_ask(&self, now: Instant) -> bool {
        if self.asked.is_some() {
            return false;
        }
        if !self.waiting.is_empty() {
            return true;
        }
        if !self.ordered.is_empty() {
            return self.ordered.next_claim_at(self.asked_at).is_none_or(|at| now >= at);
        }
        let is_refused = self.refused_until.is_some_and(|(until, _)| now < until);
        let is_asked_lately =
            self.asked_at.is_some_and(|at| now.saturating_duration_since(at) < AHEAD_INTERVAL);
        let is_idle = now.saturating_duration_since(self.used_at) >= AHEAD_TTL;
        !is_refused
            && !is_asked_lately
            && !is_idle
            && (self.held as f64) < self.wanted(now) as f64 * REFILL_RATIO
    }
}
