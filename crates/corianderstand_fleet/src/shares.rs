//! Weights of the workspaces of a configuration, for the order of requests that wait for targets.
//!
//! The weight of a workspace is its quota per second. Quotas in tokens and in requests can't be compared: if any is in
//! tokens, only these count. A workspace whose weight is not known or can't be used has the mean weight.

use crate::workspaces;
use corianderstand_room::share;
use corianderstand_types::names;
use xxhash_rust::xxh3;

/// Hash of a workspace's name, by which processes tell workspaces apart; never 0.
pub fn hash(workspace: &names::WorkspaceId) -> u64 {
    xxh3::xxh3_64(workspace.as_str().as_bytes()).max(1)
}

/// Weights of all workspaces, by the hashes of their names.
pub fn weights(directory: &workspaces::Directory) -> share::Weights {
    let in_tokens = |quota: &workspaces::Quota| quota.unit != workspaces::CostUnit::Request;
    let quotas = || directory.iter().filter_map(|workspace| workspace.quota.as_ref());
    let any_in_tokens = quotas().any(in_tokens);
    share::Weights::new(directory.iter().map(|workspace| {
        let quota = workspace.quota.as_ref();
        let quota = quota.filter(|quota| in_tokens(quota) == any_in_tokens);
        (hash(&workspace.name), quota.map(|quota| quota.per_s))
    }))
}

/// Workspaces that state a weight which can't be used.
pub fn unusable(directory: &workspaces::Directory) -> impl Iterator<Item = &names::WorkspaceId> {
    let is_unusable = |quota: &workspaces::Quota| !share::is_usable(quota.per_s);
    let named =
        directory.iter().filter(move |workspace| workspace.quota.as_ref().is_some_and(is_unusable));
    named.map(|workspace| &workspace.name)
}
