//! Limits of a configuration that contradict the deployment that gets it: the retry budget of its routers, and what its
//! targets hold at once.
//!
//! Rates of quotas are not compared: targets state how many requests or tokens they hold, never how many they complete
//! in a second.

use super::{Field, Finding, Place, Severity};
use crate::{budget, config, targets, workspaces};

/// What is known of a deployment beside its configuration.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Retries that routers may send; none if it isn't known.
    pub allowance: Option<budget::Allowance>,
    /// Registered targets; none if they aren't known.
    pub targets: Option<Vec<targets::Entry>>,
}

/// Returns what contradicts the deployment.
pub fn audit(cfg: &config::Config, deployment: &Deployment) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(allowance) = &deployment.allowance {
        let routes = cfg.routes.iter().enumerate();
        findings.extend(routes.filter_map(|(index, route)| attempts(index, route, allowance)));
    }
    if let Some(targets) = &deployment.targets {
        let held = HeldAtOnce::new(cfg, targets);
        let workspaces = cfg.workspaces.iter().flatten().enumerate();
        findings.extend(
            workspaces
                .filter_map(|(index, workspace)| burst(index, workspace.quota.as_ref()?, &held)),
        );
    }
    findings
}

/// Attempts that the retry budget never allows. With a share of the requests, it allows any number beside enough of
/// them.
fn attempts(index: usize, route: &config::Route, allowance: &budget::Allowance) -> Option<Finding> {
    let further = f64::from(route.max_targets.saturating_sub(1));
    if !route.may_retry() || allowance.ratio > 0.0 || allowance.fixed >= further {
        return None;
    }
    Some(Finding {
        severity: Severity::Warning,
        place: Place::Route(index, Field::MaxTargets),
        problem: format!(
            "{} of {further} attempts after the first can never happen: all routers together may send {} retries in {} s",
            further - allowance.fixed.max(0.0).floor(),
            allowance.fixed.max(0.0).floor(),
            allowance.window.as_secs_f64()
        ),
        remedy: "lower it to what the retry budget allows, or raise the budget of the routers",
    })
}

/// What all registered targets hold at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
struct HeldAtOnce {
    requests: u64,
    tokens: u64,
}

impl HeldAtOnce {
    fn new(cfg: &config::Config, targets: &[targets::Entry]) -> Self {
        let mut held = Self::default();
        for target in targets.iter().filter(|target| !target.draining) {
            let Some(service) = cfg.service(&target.service) else { continue };
            let engine = service.engine.as_ref();
            held.requests += u64::from(engine.map_or(target.slots, |engine| engine.slots));
            held.tokens += engine.map_or(0, |engine| engine.cache_tokens);
        }
        held
    }
}

/// A burst that is larger than what targets hold: a part of it waits or is refused, though the quota allows it.
fn burst(index: usize, quota: &workspaces::Quota, held: &HeldAtOnce) -> Option<Finding> {
    let (most, unit) = match quota.unit {
        workspaces::CostUnit::Request => (held.requests, "requests"),
        workspaces::CostUnit::Token { .. } => (held.tokens, "tokens"),
    };
    if most == 0 || quota.burst <= most as f64 {
        return None;
    }
    Some(Finding {
        severity: Severity::Warning,
        place: Place::Workspace(index, Field::Burst),
        problem: format!(
            "allows {} {unit} at once, and all targets together hold {most}",
            quota.burst
        ),
        remedy: "lower it, or add targets: what is beyond waits or is refused",
    })
}
