//! Lookup in a configuration: routes by host and longest path prefix, workspaces by credential.

use crate::{config, workspaces};
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{collections::HashMap, sync::Arc};

/// A configuration with its routes indexed by host and its workspaces by credential.
#[derives(data)]
pub struct Table {
    config: Arc<config::Config>,
    by_host: HashMap<SmolStr, Vec<usize>>,
    workspaces: Option<workspaces::Directory>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(config: Arc<config::Config>) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].prefix.len()));
        }
        let workspaces = config
            .workspaces
            .clone()
            .map(|workspaces| workspaces::Directory::new(workspaces, &config.routes));
        Self { config, by_host, workspaces }
    }

    /// The underlying configuration.
    pub const fn config(&self) -> &Arc<config::Config> {
        &self.config
    }

    /// The workspaces; none if requests need no credential.
    pub const fn workspaces(&self) -> Option<&workspaces::Directory> {
        self.workspaces.as_ref()
    }

    /// Finds the route for a host, with or without a port, and a path without its query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<config::Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = match self.by_host.get(name) {
            Some(indexes) => indexes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut routes = indexes.iter().map(|&index| &self.config.routes[index]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }
}
