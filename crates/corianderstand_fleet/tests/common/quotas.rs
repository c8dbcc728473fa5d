//! Simulation of routers that share the quota of one workspace, with messages that take time and get lost.

#![allow(dead_code, reason = "each test file uses its own part")]

#[path = "quotas/callers.rs"]
mod callers;
#[path = "quotas/membership.rs"]
mod membership;

pub use callers::{Class, Served};
use corianderstand_fleet::{
    quota::{self, account, ledger},
    workspaces,
};
use corianderstand_types::names::WorkspaceId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(2);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
const MAX_DELAY_STEPS: usize = 4;
const LOSS_RATIO: f64 = 0.01;
/// Time until all routers notice that one has ended without a word.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Questions in a row without an answer after which a keeper is suspected.
const MAX_LOST_QUESTIONS: u32 = 2;
/// Time for which a router goes on asking a keeper that does not answer first.
const SUSPICION_TIME: Duration = Duration::from_millis(500);

/// How routers share a quota.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Way {
    /// One router keeps the bucket and grants.
    Keeper,
    /// One router keeps the bucket and grants to requests of all routers in order.
    InOrder,
    /// Each router may spend an equal part.
    EqualShares,
}

/// A request that waits at a router.
struct Pending {
    cost: u64,
    caller: Option<callers::Caller>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub admitted: u64,
    pub refused: u64,
}

enum Message {
    Claim { keeper: usize, source: quota::ClaimSource, claim: quota::Claim, is_asking: bool },
    Grant { keeper: usize, router: usize, incarnation: u64, sequence: u64, grant: quota::Grant },
}

struct Router {
    accounts: account::Accounts,
    ledger: ledger::Ledger,
    incarnation: u64,
    sequence: u64,
    started_at: Instant,
    is_up: bool,
    is_frozen: bool,
    asked: Option<(u64, Instant, usize)>,
    suspect: Option<(usize, Instant)>,
    /// A keeper and its questions in a row without an answer.
    unanswered: (usize, u32),
    /// Bucket of its own, for [`Way::EqualShares`].
    share: f64,
    waiting: HashMap<account::WaiterId, Pending>,
    inbox: Vec<Message>,
}

pub struct Cluster {
    pub now: Instant,
    pub quota: workspaces::Quota,
    pub tolerance: quota::Tolerance,
    pub tally: Tally,
    /// Largest spending in a window, relative to what is allowed in one.
    pub worst_window: f64,
    way: Way,
    workspace: WorkspaceId,
    routers: Vec<Router>,
    in_flight: VecDeque<Vec<Message>>,
    spent: VecDeque<(Instant, u64)>,
    reported_at: Instant,
    rng: ChaCha8Rng,
    last_incarnation: u64,
    membership: membership::Membership,
    /// Classes of requests; the mix of [`Cluster::run`] if there are none.
    pub classes: Vec<Class>,
    /// What callers got, by class.
    pub served: Vec<Served>,
    /// Share of messages that get lost.
    pub loss_ratio: f64,
    /// Share of callers that don't come back.
    pub absent_ratio: f64,
    returning: BTreeMap<(Instant, u64), callers::Caller>,
    last_key: u64,
    counted_from: u64,
    pub messages: u64,
}

fn router(now: Instant, incarnation: u64) -> Router {
    Router {
        accounts: account::Accounts::default(),
        ledger: ledger::Ledger::default(),
        incarnation,
        sequence: 0,
        started_at: now,
        is_up: true,
        is_frozen: false,
        asked: None,
        suspect: None,
        unanswered: (0, 0),
        share: 0.0,
        waiting: HashMap::new(),
        inbox: Vec::new(),
    }
}

impl Cluster {
    pub fn new(way: Way, routers: usize, per_s: f64, seed: u64) -> Self {
        println!("seed {seed}");
        let now = Instant::now();
        Self {
            now,
            quota: workspaces::Quota {
                per_s,
                burst: per_s,
                unit: workspaces::CostUnit::Token { default: 200 },
            },
            tolerance: quota::Tolerance {
                window: Duration::from_secs(8),
                ratio: 0.1,
                fixed: 7_500.0,
            },
            tally: Tally::default(),
            worst_window: 0.0,
            way,
            workspace: "w".into(),
            routers: (0..routers).map(|index| router(now, index as u64 + 1)).collect(),
            in_flight: (0..MAX_DELAY_STEPS).map(|_| Vec::new()).collect(),
            spent: VecDeque::new(),
            reported_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_incarnation: routers as u64,
            membership: membership::Membership::new(now, routers),
            classes: Vec::new(),
            served: Vec::new(),
            loss_ratio: LOSS_RATIO,
            absent_ratio: 0.0,
            returning: BTreeMap::new(),
            last_key: 0,
            counted_from: 0,
            messages: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.membership.step(self.now, &mut self.rng);
        self.deliver();
        self.ask();
        if self.now.saturating_duration_since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = self.now;
            self.report();
        }
    }

    fn report_of(&mut self, index: usize) {
        let asked = self.routers[index].asked.map(|(_, _, keeper)| keeper);
        for keeper in
            self.membership.keepers(index).into_iter().filter(|keeper| asked != Some(*keeper))
        {
            self.claim(index, keeper, false);
        }
    }

    /// Plays a time in which `tokens_per_s` are asked for over all routers.
    pub fn run(&mut self, time: Duration, tokens_per_s: f64) {
        let end = self.now + time;
        if self.way == Way::InOrder && self.classes.is_empty() {
            self.classes = callers::mixed_classes();
            self.served.resize_with(self.classes.len(), Served::default);
        }
        while self.now < end {
            self.step();
            self.come_back();
            self.arrive(tokens_per_s);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.disconnect(index);
        self.routers[index].is_up = false;
        self.membership.set_up(self.now, index, false);
    }

    /// Cuts the way from some routers to others, one way only.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        self.membership.set_cut(from, to, true);
    }

    /// Cuts some routers off from others.
    pub fn cut_off(&mut self, some: &[usize], others: &[usize]) {
        self.membership.set_cut(some, others, true);
        self.membership.set_cut(others, some, true);
    }

    /// Heals all links.
    pub fn heal(&mut self) {
        let all: Vec<_> = (0..self.routers.len()).collect();
        self.membership.set_cut(&all, &all, false);
    }

    /// Tells the others that a router stops; it goes on answering them.
    pub fn begin_stop(&mut self, index: usize) {
        self.membership.begin_stop(self.now, index);
    }

    pub fn start_again(&mut self, index: usize) {
        self.disconnect(index);
        self.last_incarnation += 1;
        self.routers[index] = router(self.now, self.last_incarnation);
        self.membership.set_up(self.now, index, true);
    }

    pub fn restart_all(&mut self) {
        for index in 0..self.routers.len() {
            self.start_again(index);
        }
    }

    pub fn add_routers(&mut self, count: usize) {
        for _ in 0..count {
            self.last_incarnation += 1;
            self.routers.push(router(self.now, self.last_incarnation));
            self.membership.add(self.now);
        }
    }

    pub fn freeze(&mut self, index: usize, is_frozen: bool) {
        self.routers[index].is_frozen = is_frozen;
        self.membership.freeze(self.now, index, is_frozen);
    }

    /// Checks that what was asked for, or the quota if that is less, was admitted over a time.
    pub fn assert_used(&self, time: Duration, min_ratio: f64) {
        let asked = (self.tally.admitted + self.tally.refused) as f64;
        let available = asked.min(self.quota.per_s * time.as_secs_f64());
        let used = self.tally.admitted as f64 / available;
        assert!(used >= min_ratio, "{used:.3} of what could be admitted was");
    }

    fn arrive(&mut self, tokens_per_s: f64) {
        // Few routers get most of the requests.
        let mean_cost = 750.0;
        let chance = tokens_per_s / mean_cost * STEP.as_secs_f64();
        let count = chance as u64 + u64::from(self.rng.random::<f64>() < chance.fract());
        for _ in 0..count {
            let cost = match self.rng.random_range(0..10) {
                0 => 2_500,
                1..=3 => 200,
                _ => 750,
            };
            if self.way == Way::InOrder {
                let class = self.classes.iter().position(|class| class.cost == cost);
                self.first_attempt(class.unwrap(), cost);
                continue;
            }
            let spread = self.rng.random::<f64>() * self.rng.random::<f64>();
            let index = (spread * self.routers.len() as f64) as usize;
            if self.routers[index].is_up && !self.routers[index].is_frozen {
                self.admit(index, cost);
            }
        }
    }

    fn admit(&mut self, index: usize, cost: u64) {
        if self.way == Way::EqualShares {
            let share = &mut self.routers[index].share;
            if *share >= cost as f64 {
                *share -= cost as f64;
                self.spend(cost);
            } else {
                self.tally.refused += cost;
            }
            return;
        }
        let router = &mut self.routers[index];
        match router.accounts.admit(self.now, &self.workspace, cost) {
            account::Admission::Admitted => self.spend(cost),
            account::Admission::Refused(_) => self.tally.refused += cost,
            account::Admission::Waits(id) => {
                router.waiting.insert(id, Pending { cost, caller: None });
            }
        }
    }

    fn spend(&mut self, cost: u64) {
        self.tally.admitted += cost;
        self.spent.push_back((self.now, cost));
        let window = self.tolerance.window;
        while self.spent.front().is_some_and(|(at, _)| self.now - *at > window) {
            self.spent.pop_front();
        }
        let sum: u64 = self.spent.iter().map(|(_, cost)| cost).sum();
        let allowed = (self.quota.per_s * window.as_secs_f64() + self.quota.burst)
            * (1.0 + self.tolerance.ratio)
            + self.tolerance.fixed;
        self.worst_window = self.worst_window.max(sum as f64 / allowed);
    }

    fn send(&mut self, message: Message) {
        self.messages += 1;
        let (from, to) = match &message {
            Message::Claim { keeper, source, .. } => {
                (self.membership.index(&source.router), *keeper)
            }
            Message::Grant { keeper, router, .. } => (*keeper, *router),
        };
        if self.membership.is_cut(from, to) {
            return;
        }
        if self.rng.random::<f64>() < self.loss_ratio {
            return;
        }
        let delay = self.rng.random_range(0..MAX_DELAY_STEPS);
        self.in_flight[delay].push(message);
    }

    fn ask(&mut self) {
        if self.way == Way::EqualShares {
            self.refill_shares();
            return;
        }
        let now = self.now;
        for index in 0..self.routers.len() {
            let workspace = self.workspace.clone();
            let keepers = self.membership.keepers(index);
            let router = &mut self.routers[index];
            if self.way == Way::EqualShares {
                continue;
            }
            if !router.is_up || router.is_frozen {
                continue;
            }
            if let Some((sequence, deadline, keeper)) = router.asked
                && now >= deadline
            {
                router.asked = None;
                let before = if router.unanswered.0 == keeper { router.unanswered.1 } else { 0 };
                router.unanswered = (keeper, before + 1);
                if before + 1 >= MAX_LOST_QUESTIONS {
                    router.suspect = Some((keeper, now + SUSPICION_TIME));
                }
                router.accounts.abandon(&workspace, sequence);
            }
            if !router.accounts.should_ask(now, &workspace) {
                continue;
            }
            let is_suspect = |keeper: &&usize| {
                router.suspect.is_some_and(|(s, until)| s == **keeper && now < until)
            };
            let Some(keeper) = keepers.iter().min_by_key(is_suspect).copied() else { continue };
            self.claim(index, keeper, true);
        }
    }

    fn refill_shares(&mut self) {
        let count = self.routers.len() as f64;
        let gain = self.quota.per_s * STEP.as_secs_f64() / count;
        for router in &mut self.routers {
            router.share = (router.share + gain).min(self.quota.burst / count);
        }
    }

    fn claim(&mut self, index: usize, keeper: usize, is_asking: bool) {
        let (now, workspace) = (self.now, self.workspace.clone());
        let router = &mut self.routers[index];
        router.sequence += 1;
        let sequence = router.sequence;
        let claim = router.accounts.claim(now, &workspace, is_asking.then_some(sequence));
        let Some(claim) = claim else { return };
        if is_asking {
            router.asked = Some((sequence, now + ANSWER_TIMEOUT, keeper));
        }
        let source = quota::ClaimSource {
            router: self.membership.name(index).clone(),
            incarnation: router.incarnation,
            sequence,
        };
        self.send(Message::Claim { keeper, source, claim, is_asking });
    }

    fn report(&mut self) {
        for index in 0..self.routers.len() {
            let router = &mut self.routers[index];
            if !router.is_up || router.is_frozen {
                continue;
            }
            router.accounts.expire(self.now);
            let overdue = router.accounts.refuse_overdue(self.now);
            for outcome in overdue.into_iter().flat_map(|(_, outcomes)| outcomes) {
                let pending = self.routers[index].waiting.remove(&outcome.waiter);
                if let Some(caller) = pending.and_then(|pending| pending.caller) {
                    self.conclude(caller, outcome.refusal);
                }
            }
            let router = &mut self.routers[index];
            if router.accounts.unreported().is_empty() {
                continue;
            }
            self.report_of(index);
        }
    }

    fn deliver(&mut self) {
        let due = self.in_flight.pop_front().unwrap_or_default();
        self.in_flight.push_back(Vec::new());
        for message in due {
            let index = match &message {
                Message::Claim { keeper, .. } => *keeper,
                Message::Grant { router, .. } => *router,
            };
            if self.routers[index].is_up {
                self.routers[index].inbox.push(message);
            }
        }
        for index in 0..self.routers.len() {
            if !self.routers[index].is_frozen {
                let inbox = std::mem::take(&mut self.routers[index].inbox);
                inbox.into_iter().for_each(|message| self.receive(message));
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Claim { keeper, source, claim, is_asking } => {
                let router = self.membership.index(&source.router);
                let Some(part) = self.membership.part(self.now, keeper, router) else { return };
                if part.is_standby && is_asking {
                    self.membership.probe(self.now, keeper);
                }
                let steady_since = self.routers[keeper].started_at;
                let (quota, tolerance) = (&self.quota, &self.tolerance);
                let ledger = &mut self.routers[keeper].ledger;
                let terms = ledger::Terms { quota, tolerance, part };
                let grant = ledger.claim(self.now, steady_since, &terms, &source, &claim);
                if let Some(grant) = grant.filter(|_| is_asking) {
                    let (incarnation, sequence) = (source.incarnation, source.sequence);
                    self.send(Message::Grant { keeper, router, incarnation, sequence, grant });
                }
            }
            Message::Grant { router: index, incarnation, sequence, grant, .. } => {
                let router = &mut self.routers[index];
                if router.incarnation != incarnation {
                    return;
                }
                if let Some((asked, _, keeper)) = router.asked
                    && asked == sequence
                {
                    router.asked = None;
                    if router.unanswered.0 == keeper {
                        router.unanswered.1 = 0;
                    }
                }
                let outcomes = router.accounts.apply(self.now, &self.workspace, sequence, &grant);
                for outcome in outcomes {
                    let pending = self.routers[index].waiting.remove(&outcome.waiter);
                    let Some(Pending { cost, caller }) = pending else { continue };
                    if let Some(caller) = caller {
                        self.conclude(caller, outcome.refusal);
                        continue;
                    }
                    match outcome.refusal {
                        None => self.spend(cost),
                        Some(_) => self.tally.refused += cost,
                    }
                }
            }
        }
    }
}

/// The whole of a quota.
pub const fn whole<'a>(
    quota: &'a workspaces::Quota,
    tolerance: &'a quota::Tolerance,
) -> ledger::Terms<'a> {
    ledger::Terms { quota, tolerance, part: quota::Part::WHOLE }
}

impl Tally {
    pub fn refused_ratio(&self) -> f64 {
        self.refused as f64 / (self.admitted + self.refused).max(1) as f64
    }
}
