//! What a configuration would change.

use crate::{config, workspaces};
use corianderstand_derives::derives;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::{collections::BTreeMap, time::Duration};

/// A difference between two configurations.
#[derives(name)]
pub struct Change {
    /// The entry, such as ``route `desk.example/quotes/` ``.
    pub entry: String,
    /// What becomes of it.
    pub what: String,
}

/// Lists what the second configuration changes.
pub fn compare(before: &config::Config, after: &config::Config) -> Vec<Change> {
    let mut changes = Vec::new();
    if after.version <= before.version {
        changes.push(Change {
            entry: "version".into(),
            what: format!(
                "{} is not above {}, which is in force: it would be ignored",
                after.version, before.version
            ),
        });
    }
    compare_all(&routes_by_match(before), &routes_by_match(after), route_changes, &mut changes);
    compare_all(&services_by_name(before), &services_by_name(after), service_changes, &mut changes);
    compare_all(
        &workspaces_by_name(before),
        &workspaces_by_name(after),
        workspace_changes,
        &mut changes,
    );
    if before.workspaces.is_some() != after.workspaces.is_some() {
        let what = if after.workspaces.is_some() { "required" } else { "no longer required" };
        changes.push(Change { entry: "keys of callers".into(), what: what.into() });
    }
    if before.limits != after.limits {
        let what = format!("{:?} become {:?}", before.limits, after.limits);
        changes.push(Change { entry: "limits".into(), what });
    }
    changes
}

fn routes_by_match(cfg: &config::Config) -> BTreeMap<String, &config::Route> {
    let entries = cfg.routes.iter().rev().map(|route| &**route);
    entries.map(|route| (format!("route `{}{}`", route.host, route.prefix), route)).collect()
}

fn services_by_name(cfg: &config::Config) -> BTreeMap<String, &config::Service> {
    let entries = cfg.services.iter().rev();
    entries.map(|service| (format!("service `{}`", service.name), service)).collect()
}

fn workspaces_by_name(cfg: &config::Config) -> BTreeMap<String, &workspaces::Workspace> {
    let entries = cfg.workspaces.iter().flatten().rev();
    entries.map(|workspace| (format!("workspace `{}`", workspace.name), workspace)).collect()
}

fn compare_all<T>(
    before: &BTreeMap<String, &T>,
    after: &BTreeMap<String, &T>,
    differences: impl Fn(&T, &T) -> Vec<String>,
    changes: &mut Vec<Change>,
) {
    for (entry, old) in before {
        let whats = match after.get(entry) {
            Some(new) => differences(old, new),
            None => vec!["is removed".into()],
        };
        changes.extend(whats.into_iter().map(|what| Change { entry: entry.clone(), what }));
    }
    for entry in after.keys().filter(|entry| !before.contains_key(*entry)) {
        changes.push(Change { entry: entry.clone(), what: "is added".into() });
    }
}

fn differs<T: PartialEq>(
    name: &str,
    before: &T,
    after: &T,
    text: impl Fn(&T) -> String,
) -> Option<String> {
    (before != after).then(|| format!("{name}: {} becomes {}", text(before), text(after)))
}

fn millis(time: &Duration) -> String {
    format!("{} ms", time.as_millis())
}

fn route_changes(before: &config::Route, after: &config::Route) -> Vec<String> {
    let kind = |route: &config::Route| match (route.streams, route.may_retry()) {
        (true, true) => "streams, may be resumed",
        (true, false) => "streams, may not be resumed",
        (false, true) => "may be repeated",
        (false, false) => "runs at most once",
    };
    let gap = |gap: &Option<Duration>| gap.as_ref().map_or("none".into(), millis);
    let text = |public: &bool| if *public { "public" } else { "needs a key" }.to_owned();
    let changes = [
        differs("services", &shares(before), &shares(after), String::clone),
        differs("kind", &kind(before), &kind(after), |kind| (*kind).into()),
        differs("timeout", &before.timeout, &after.timeout, millis),
        differs("objective", &before.latency_objective, &after.latency_objective, millis),
        differs("gap objective", &before.gap_objective, &after.gap_objective, gap),
        differs("priority", &before.priority, &after.priority, u8::to_string),
        differs("targets", &before.max_targets, &after.max_targets, u32::to_string),
        differs("access", &before.is_public, &after.is_public, text),
    ];
    changes.into_iter().flatten().collect()
}

/// The shares of a route's services, however its weights are scaled and listed.
fn shares(route: &config::Route) -> String {
    let mut weights: BTreeMap<&names::ServiceId, u64> = BTreeMap::new();
    for (name, weight) in &route.services {
        *weights.entry(name).or_default() += u64::from(*weight);
    }
    let total: u64 = weights.values().sum();
    let shares = weights.iter().filter(|(_, weight)| **weight > 0).map(|(name, weight)| {
        let percent = *weight as f64 * 100.0 / total as f64;
        format!("{name} {}%", (percent * 1_000.0).round() / 1_000.0)
    });
    shares.collect::<Vec<_>>().join(", ")
}

fn service_changes(before: &config::Service, after: &config::Service) -> Vec<String> {
    let mut changes: Vec<String> = [
        differs("health path", &before.health_path, &after.health_path, SmolStr::to_string),
        differs("connections", &before.connections, &after.connections, u32::to_string),
    ]
    .into_iter()
    .flatten()
    .collect();
    let (Some(old), Some(new)) = (&before.engine, &after.engine) else {
        if before.engine.is_some() != after.engine.is_some() {
            let what = if after.engine.is_some() { "gets models" } else { "loses its models" };
            changes.push(what.into());
        }
        return changes;
    };
    let engine = [
        differs("slots", &old.slots, &new.slots, u32::to_string),
        differs("cache tokens", &old.cache_tokens, &new.cache_tokens, u64::to_string),
        differs("weights in MB", &old.weights_mb, &new.weights_mb, u64::to_string),
        differs("adapter slots", &old.adapter_slots, &new.adapter_slots, usize::to_string),
        differs("loads a second", &old.loads_per_s, &new.loads_per_s, f64::to_string),
        differs("use of caches", &old.cache, &new.cache, |cache| format!("{cache:?}")),
    ];
    changes.extend(engine.into_iter().flatten());
    changes.extend(model_changes(old, new));
    changes
}

fn model_changes(before: &config::Engine, after: &config::Engine) -> Vec<String> {
    let removed = before.models.iter().filter_map(|old| match after.model(&old.name) {
        None => Some(format!("model `{}` is removed", old.name)),
        Some(new) => (old != new).then(|| format!("model `{}` has other figures", old.name)),
    });
    let added = after.models.iter().filter(|new| before.model(&new.name).is_none());
    removed.chain(added.map(|new| format!("model `{}` is added", new.name))).collect()
}

fn workspace_changes(before: &workspaces::Workspace, after: &workspaces::Workspace) -> Vec<String> {
    let count = |from: &workspaces::Workspace, to: &workspaces::Workspace| {
        from.credentials.iter().filter(|key| !to.credentials.contains(key)).count()
    };
    let (removed, added) = (count(before, after), count(after, before));
    let quota = |quota: &Option<workspaces::Quota>| match quota {
        Some(quota) => format!("{} a second and {} at once", quota.per_s, quota.burst),
        None => "none".into(),
    };
    let mut changes: Vec<String> = [
        differs("priority", &before.priority, &after.priority, u8::to_string),
        differs("quota", &before.quota, &after.quota, quota),
    ]
    .into_iter()
    .flatten()
    .collect();
    if removed + added > 0 {
        changes.push(format!("keys: {removed} removed, {added} added"));
    }
    changes
}
