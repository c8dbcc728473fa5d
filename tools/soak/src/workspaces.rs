//! Workspaces of the callers, and what must hold for their credentials and quotas.

use crate::{
    callers::{Outcome, RequestKind, RequestRecord},
    configs::Configs,
};
use corianderstand_platform_standins::{ledger::Ledger, workspaces};
use http::StatusCode;
use std::time::{Duration, Instant};

/// Limit for revocations, for routers out of touch too.
pub const REVOKE_WITHIN: Duration = Duration::from_secs(4);
/// Quota of [`Workspace::Limited`], in tokens per second, and its burst.
const QUOTA_PER_S: u64 = 800;
const QUOTA_BURST: u64 = 800;
const PLAIN_COST: u64 = 50;
const STREAM_COST: u64 = 200;
/// Window of the quota, and what is allowed in it beyond the quota.
const QUOTA_WINDOW: Duration = Duration::from_secs(4);
const QUOTA_OVER: f64 = 0.1;
const QUOTA_SLACK: f64 = 700.0;

/// Kinds of callers in turn, by their index.
const CALLER_KINDS: usize = 4;
/// One in this many callers whose key was taken away goes on with it.
const KEEPING_DIVISOR: usize = 4;

/// The workspace of a caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Workspace {
    /// Keeps its key and has no quota.
    Steady,
    /// Has a quota that its callers exceed.
    Limited,
    /// Keeps its key and has no quota; at times it asks for several times its usual.
    Surging,
    /// Its key is taken away and restored by configurations in turn.
    Revoked,
}

impl Workspace {
    pub const fn of_caller(index: usize) -> Self {
        match index % CALLER_KINDS {
            0 => Self::Limited,
            1 => Self::Revoked,
            _ => Self::Steady,
        }
    }

    /// The workspace whose key a caller of this one uses. Once a key was taken away, callers use another one; a few
    /// don't know of it.
    pub fn in_force(self, index: usize, configs: &Configs) -> Self {
        let keeps_key = (index / CALLER_KINDS).is_multiple_of(KEEPING_DIVISOR);
        if self == Self::Revoked && !keeps_key && !configs.has_revocable_key() {
            return Self::Steady;
        }
        self
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Steady => "w-steady",
            Self::Limited => "w-limited",
            Self::Surging => "w-surging",
            Self::Revoked => "w-revoked",
        }
    }

    pub const fn key(self) -> &'static str {
        match self {
            Self::Steady => "soak-key-steady",
            Self::Limited => "soak-key-limited",
            Self::Surging => "soak-key-surging",
            Self::Revoked => "soak-key-revoked",
        }
    }
}

/// Bounds in a router's settings.
pub fn settings() -> String {
    workspaces::settings(&workspaces::Bounds {
        revoke_within: REVOKE_WITHIN,
        quota_window: QUOTA_WINDOW,
        quota_over: QUOTA_OVER,
        quota_slack: QUOTA_SLACK,
    })
}

/// The workspaces of a configuration.
pub fn specs(is_revoked: bool) -> [workspaces::WorkspaceSpec; 4] {
    let spec = |workspace: Workspace| workspaces::WorkspaceSpec {
        name: workspace.name(),
        key: Some(workspace.key()),
        quota: None,
    };
    let quota =
        workspaces::Quota { per_s: QUOTA_PER_S, burst: QUOTA_BURST, plain_cost: PLAIN_COST };
    let revoked = spec(Workspace::Revoked);
    [
        spec(Workspace::Steady),
        spec(Workspace::Surging),
        workspaces::WorkspaceSpec { quota: Some(quota), ..spec(Workspace::Limited) },
        workspaces::WorkspaceSpec { key: revoked.key.filter(|_| !is_revoked), ..revoked },
    ]
}

/// A time without the key of [`Workspace::Revoked`].
#[derive(Clone, Copy, Debug)]
pub struct Revocation {
    /// Version of the configuration.
    pub version: u64,
    /// When the store had acknowledged it.
    pub acknowledged_at: Instant,
    /// When the key was written again.
    pub restored_at: Option<Instant>,
}

/// Checks that targets learn the workspace and not the key, and that a steady key is never denied.
pub fn credential_violation(request: &RequestRecord, ledger: &Ledger) -> Option<String> {
    let runs = ledger.runs(&request.id);
    if runs.iter().any(|run| run.saw_credential) {
        return Some("a target saw the key".into());
    }
    if runs.iter().any(|run| run.workspace != request.workspace.name()) {
        return Some(format!("run for another workspace than {:?}: {runs:?}", request.workspace));
    }
    let denied = matches!(request.outcome, Outcome::Complete(StatusCode::UNAUTHORIZED, _));
    (denied && request.workspace != Workspace::Revoked)
        .then(|| format!("401 though the key of {:?} is there", request.workspace))
}

/// Checks that no request runs that was sent too long after its key was taken away.
pub fn revocation_violations(
    requests: &[RequestRecord],
    ledger: &Ledger,
    revocations: &[Revocation],
) -> Vec<String> {
    let is_late = |request: &&RequestRecord| {
        request.workspace == Workspace::Revoked
            && revocations.iter().any(|revocation| {
                request.started_at > revocation.acknowledged_at + REVOKE_WITHIN
                    && revocation.restored_at.is_none_or(|at| request.started_at < at)
            })
    };
    let late = requests.iter().filter(is_late);
    let ran = late.filter(|request| !ledger.runs(&request.id).is_empty());
    ran.map(|request| {
        format!("ran with a revoked key: {} at router {}", request.id, request.router_index)
    })
    .collect()
}

/// Checks that the limited workspace's requests stay within its quota over all routers.
pub fn quota_violation(requests: &[RequestRecord], ledger: &Ledger) -> Option<String> {
    let limited = requests.iter().filter(|request| request.workspace == Workspace::Limited);
    let ran: Vec<(Instant, Instant, u64)> = limited
        .filter_map(|request| {
            let first = ledger.runs(&request.id).first()?.at;
            Some((request.started_at, first, cost(request.kind)))
        })
        .collect();
    let allowed = (QUOTA_PER_S as f64 * QUOTA_WINDOW.as_secs_f64() + QUOTA_BURST as f64)
        * (1.0 + QUOTA_OVER)
        + QUOTA_SLACK;
    let spent = |from: Instant| -> u64 {
        let within = ran.iter().filter(|(sent, at, _)| *sent >= from && *at < from + QUOTA_WINDOW);
        within.map(|(.., cost)| cost).sum()
    };
    let most = ran.iter().map(|(sent, ..)| spent(*sent)).max().unwrap_or(0);
    (most as f64 > allowed)
        .then(|| format!("{most} tokens in {QUOTA_WINDOW:?}, the quota allows {allowed}"))
}

const fn cost(kind: RequestKind) -> u64 {
    if kind.streams() { STREAM_COST } else { PLAIN_COST }
}
