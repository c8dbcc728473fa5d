//! Shares of workspaces in what is granted, by weight.
//!
//! Each workspace has an account of what it was granted, divided by its weight. The mean grows with each grant, as if it
//! were divided among all that compete. A workspace whose account is not above the mean is within its share. What one
//! leaves unused goes to the others. It gets it back as soon as it asks, but no more than [`MAX_CREDIT_GRANTS`] requests of mean cost, and those
//! that had it in the meantime owe no more than that.

use std::collections::{BTreeSet, HashMap};

/// Bound of the credit and of the debt of a workspace, in requests of mean cost.
pub const MAX_CREDIT_GRANTS: f64 = 8.0;
/// Smallest and largest weight, relative to the mean.
const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1_000.0;
/// Weight of the last grant in the mean cost.
const MEAN_COST_GAIN: f64 = 0.02;
/// Number of accounts above which those without a debt are closed.
const MAX_ACCOUNTS: usize = 1_024;
/// Tolerance for rounding when an account is compared to the mean.
const ROUNDING: f64 = 1e-9;

/// Weights of workspaces, relative to their mean.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    by_workspace: HashMap<u64, f64>,
}

impl Weights {
    /// Weights by workspace. One that states none, or none that can be used, has the mean weight.
    pub fn new(stated: impl IntoIterator<Item = (u64, Option<f64>)>) -> Self {
        let stated = stated.into_iter();
        let usable: HashMap<u64, f64> = stated
            .filter_map(|(workspace, weight)| {
                Some((workspace, weight.filter(|weight| is_usable(*weight))?))
            })
            .collect();
        let mean = usable.values().sum::<f64>() / usable.len().max(1) as f64;
        let relative = |weight: f64| (weight / mean).clamp(MIN_WEIGHT, MAX_WEIGHT);
        let by_workspace =
            usable.into_iter().map(|(workspace, weight)| (workspace, relative(weight)));
        Self { by_workspace: by_workspace.collect() }
    }

    /// Weight of a workspace; the mean, 1, if it is not known.
    pub fn of(&self, workspace: u64) -> f64 {
        self.by_workspace.get(&workspace).copied().unwrap_or(1.0)
    }
}

/// Whether a stated weight can be used: zero, negative numbers and what is no number can't.
pub fn is_usable(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}

/// Accounts of what workspaces were granted.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: HashMap<u64, Account>,
    /// What those that compete would have been granted by now in exact proportion, divided by their weight.
    mean: f64,
    /// Weight of those that compete: they wait, or were granted more than the mean lately.
    competing_weight: f64,
    /// Those that were granted more than the mean and do not wait, by their accounts.
    ahead: BTreeSet<(u64, u64)>,
    mean_cost: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    /// What the workspace was granted, divided by its weight.
    granted: f64,
    /// What it left unused while it did not compete, divided by its weight.
    credit: f64,
    weight: f64,
    waits: bool,
}

impl Account {
    /// Key of the order by what was granted, which is never negative.
    fn key(&self, workspace: u64) -> (u64, u64) {
        (self.granted.max(0.0).to_bits(), workspace)
    }
}

impl Shares {
    /// Whether a workspace was granted no more than its share.
    pub fn is_within(&self, workspace: u64) -> bool {
        let account = self.accounts.get(&workspace);
        account.is_none_or(|account| {
            account.credit > 0.0 || account.granted <= self.mean + ROUNDING * self.mean.max(1.0)
        })
    }

    /// What a workspace may be granted until it has its share, divided by its weight; negative beyond.
    pub fn balance(&self, workspace: u64) -> f64 {
        let Some(account) = self.accounts.get(&workspace) else { return 0.0 };
        self.mean - account.granted + account.credit
    }

    /// Weight of those that compete, with this workspace.
    pub fn competing_weight(&self, workspace: u64, weight: f64) -> f64 {
        let account = self.accounts.get(&workspace);
        let competes = account.is_some_and(|one| one.waits || one.granted > self.mean);
        self.competing_weight.max(0.0) + if competes { 0.0 } else { weight }
    }

    /// Records that requests of a workspace begin to wait.
    pub fn begin_waiting(&mut self, workspace: u64, weight: f64) {
        self.collect_credit(workspace, weight);
        self.stop_competing(workspace);
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.waits = true;
            account.weight = weight;
            self.competing_weight += weight;
        }
    }

    /// Records that no request of a workspace waits any more.
    pub fn end_waiting(&mut self, workspace: u64) {
        self.stop_competing(workspace);
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.waits = false;
        }
        self.compete_if_ahead(workspace);
    }

    /// Records a grant. What is paid by credit was lent to the others, and is no grant to them.
    pub fn record(&mut self, workspace: u64, weight: f64, cost: u64) {
        let cost = cost as f64;
        let mean_cost =
            self.mean_cost.map_or(cost, |mean| mean + (cost - mean) * MEAN_COST_GAIN).max(1.0);
        self.mean_cost = Some(mean_cost);
        self.collect_credit(workspace, weight);
        let limit = self.limit(weight);
        let (lowest, highest) = (self.mean - limit, self.mean + limit);
        let mut from_share = 0.0;
        self.change(workspace, weight, |account| {
            let from_credit = account.credit.min(cost / weight);
            account.credit -= from_credit;
            from_share = cost / weight - from_credit;
            account.granted = (account.granted.max(lowest) + from_share).min(highest);
        });
        self.advance(from_share * weight);
        if self.accounts.len() > MAX_ACCOUNTS {
            let mean = self.mean;
            self.accounts.retain(|_, account| account.waits || account.granted > mean);
        }
    }

    /// Takes a grant back that was not used.
    pub fn refund(&mut self, workspace: u64, weight: f64, cost: u64) {
        self.change(workspace, weight, |account| account.granted -= cost as f64 / weight);
    }

    /// Largest credit and debt of a workspace, divided by its weight.
    fn limit(&self, weight: f64) -> f64 {
        MAX_CREDIT_GRANTS * self.mean_cost.unwrap_or(0.0) / weight
    }

    /// Turns into credit what a workspace left unused since it competed last.
    fn collect_credit(&mut self, workspace: u64, weight: f64) {
        let (mean, limit) = (self.mean, self.limit(weight));
        let new = Account { granted: mean, credit: 0.0, weight, waits: false };
        let account = self.accounts.entry(workspace).or_insert(new);
        if !account.waits && account.granted < mean {
            account.credit = (account.credit + mean - account.granted).min(limit);
            account.granted = mean;
        }
    }

    fn change(&mut self, workspace: u64, weight: f64, change: impl FnOnce(&mut Account)) {
        let waits = self.accounts.get(&workspace).is_some_and(|account| account.waits);
        if !waits {
            self.stop_competing(workspace);
        }
        if let Some(account) = self.accounts.get_mut(&workspace) {
            change(account);
            if !waits {
                account.weight = weight;
                self.compete_if_ahead(workspace);
            }
        }
    }

    fn stop_competing(&mut self, workspace: u64) {
        let Some(account) = self.accounts.get(&workspace) else { return };
        if account.waits || self.ahead.remove(&account.key(workspace)) {
            self.competing_weight -= account.weight;
        }
    }

    fn compete_if_ahead(&mut self, workspace: u64) {
        let Some(account) = self.accounts.get(&workspace) else { return };
        if account.granted > self.mean {
            self.ahead.insert(account.key(workspace));
            self.competing_weight += account.weight;
        }
    }

    /// Divides a grant among those that compete. Those that do not wait take part until they are within their share.
    fn advance(&mut self, cost: f64) {
        let mut rest = cost;
        while self.competing_weight > ROUNDING {
            let reached = self.mean + rest / self.competing_weight;
            let first = self.ahead.first().copied();
            let Some((key, workspace)) = first.filter(|(key, _)| f64::from_bits(*key) <= reached)
            else {
                self.mean = reached;
                return;
            };
            let at = f64::from_bits(key).max(self.mean);
            rest = ((at - self.mean).mul_add(-self.competing_weight, rest)).max(0.0);
            self.mean = at;
            self.stop_competing(workspace);
        }
        self.competing_weight = 0.0;
    }
}
