//! Workspaces of a configuration: who may send requests, how urgent these are and how many they may be.

use crate::config;
use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{collections::HashMap, fmt};

/// Ranks of requests that an engine tells apart.
const PRIORITY_LEVELS: usize = 10;

/// Hash of an API key; keys themselves are not kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Credential([u8; blake3::OUT_LEN]);

impl Credential {
    /// Hashes an API key.
    pub fn new(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential")
    }
}

/// Limit on the requests of a workspace, over all routers.
#[derives(data)]
pub struct Quota {
    /// Cost units per second.
    pub per_s: f64,
    /// Cost units that may be spent at once after a pause.
    pub burst: f64,
    /// What a request costs.
    pub unit: CostUnit,
}

impl Quota {
    /// A part of it.
    #[must_use]
    pub const fn share(&self, share: f64) -> Self {
        Self { per_s: self.per_s * share, burst: self.burst * share, unit: self.unit }
    }
}

/// How the cost of a request is counted.
#[derives(key)]
pub enum CostUnit {
    /// Each request costs one unit.
    Request,
    /// A request costs the tokens of its prompt and the most tokens of its response.
    Token {
        /// Cost of a request that states no tokens.
        default: u64,
    },
}

impl CostUnit {
    /// Cost of a request that states these tokens.
    pub fn cost(self, tokens: Option<u64>) -> u64 {
        match self {
            Self::Request => 1,
            Self::Token { default } => tokens.unwrap_or(default),
        }
    }
}

/// A workspace.
#[derives(data)]
pub struct Workspace {
    /// Its name.
    pub name: names::WorkspaceId,
    /// Credentials of its callers.
    pub credentials: Vec<Credential>,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Limit on its requests; none if they are unlimited.
    pub quota: Option<Quota>,
}

/// Workspaces indexed by name and credential.
#[derives(data)]
pub struct Directory {
    workspaces: Vec<Workspace>,
    by_credential: HashMap<Credential, usize>,
    by_name: HashMap<names::WorkspaceId, usize>,
    /// Priorities of workspaces and routes that occur together, in order.
    ranks: Vec<(u8, u8)>,
}

impl Directory {
    /// Indexes the workspaces of a configuration.
    pub fn new(workspaces: Vec<Workspace>, routes: &[std::sync::Arc<config::Route>]) -> Self {
        let numbered = || workspaces.iter().enumerate();
        let by_credential = numbered()
            .flat_map(|(index, workspace)| {
                workspace.credentials.iter().map(move |credential| (*credential, index))
            })
            .collect();
        let by_name =
            numbered().map(|(index, workspace)| (workspace.name.clone(), index)).collect();
        let mut route_priorities: Vec<u8> = routes.iter().map(|route| route.priority).collect();
        route_priorities.sort_unstable();
        route_priorities.dedup();
        let mut priorities: Vec<u8> = workspaces.iter().map(|w| w.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let ranks = priorities
            .into_iter()
            .flat_map(|first| route_priorities.iter().map(move |second| (first, *second)));
        let ranks = ranks.collect();
        Self { workspaces, by_credential, by_name, ranks }
    }

    /// Returns the workspace that a credential belongs to.
    pub fn find(&self, credential: &Credential) -> Option<&Workspace> {
        self.by_credential.get(credential).map(|&index| &self.workspaces[index])
    }

    /// Returns a workspace by name.
    pub fn get(&self, name: &names::WorkspaceId) -> Option<&Workspace> {
        self.by_name.get(name).map(|&index| &self.workspaces[index])
    }

    /// Iterates over all workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter()
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether there is no workspace.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Priority of a workspace's request on a route, from 0 to 9: the workspace's priority counts
    /// before the route's.
    pub fn priority(&self, workspace: u8, route: u8) -> u8 {
        let rank = self.ranks.partition_point(|rank| *rank < (workspace, route));
        let levels = self.ranks.len().max(PRIORITY_LEVELS);
        (rank * PRIORITY_LEVELS / levels).min(PRIORITY_LEVELS - 1) as u8
    }
}
