//! Checks across the documents of a settings directory.

use crate::directory::Documents;
use corianderstand_schema::check::Violation;
use corianderstand_state::view::PathKind;
use serde_json::Value;
use std::collections::BTreeMap;

const MAX_TOTAL_SHARE_PERMILLE: u64 = 1000;

pub type DocumentViolation = (String, Violation);

fn violation(document: &str, path: &str, problem: String, remedy: &str) -> DocumentViolation {
    let (path, remedy) = (path.to_owned(), remedy.to_owned());
    (document.to_owned(), Violation { path, problem, remedy })
}

pub fn check(documents: &Documents) -> Vec<DocumentViolation> {
    let mut faults = Vec::new();
    for (path, value) in documents {
        match PathKind::parse(path) {
            Some(PathKind::Model(model)) => check_model(path, model.as_str(), value, &mut faults),
            Some(PathKind::Team(_)) => check_team(path, value, &mut faults),
            Some(PathKind::TeamModel(team, model)) => {
                check_team_exists(path, team.as_str(), documents, &mut faults);
                let shared = format!("shared/models/{model}");
                match documents.get(&shared) {
                    Some(shared_model) => check_team_model(path, value, shared_model, &mut faults),
                    None => faults.push(missing_document(path, &shared)),
                }
            }
            Some(PathKind::TeamService(team, service)) => {
                check_team_exists(path, team.as_str(), documents, &mut faults);
                let shared = format!("shared/services/{service}");
                if !documents.contains_key(&shared) {
                    faults.push(missing_document(path, &shared));
                }
            }
            _ => {}
        }
    }
    check_keys(documents, &mut faults);
    check_shares(documents, &mut faults);
    check_replicas(documents, &mut faults);
    faults
}

fn missing_document(path: &str, required: &str) -> DocumentViolation {
    violation(path, "/", format!("there is no document `{required}`"), "add it, or remove this one")
}

fn check_team_exists(
    path: &str,
    team: &str,
    documents: &Documents,
    faults: &mut Vec<DocumentViolation>,
) {
    let required = format!("teams/{team}/team");
    if !documents.contains_key(&required) {
        faults.push(missing_document(path, &required));
    }
}

fn string_items<'a>(value: &'a Value, name: &str) -> Vec<&'a str> {
    value[name].as_array().into_iter().flatten().filter_map(Value::as_str).collect()
}

fn check_model(path: &str, model: &str, value: &Value, faults: &mut Vec<DocumentViolation>) {
    let versions = string_items(value, "versions");
    for (i, version) in versions.iter().enumerate() {
        if versions[..i].contains(version) {
            let problem = format!("`{model}` has version `{version}` twice");
            faults.push(violation(path, &format!("/versions/{i}"), problem, "remove one"));
        }
    }
}

fn check_team(path: &str, value: &Value, faults: &mut Vec<DocumentViolation>) {
    let ms = |name: &str, default| value[name].as_u64().unwrap_or(default);
    let (default, limit) = (ms("default_deadline_ms", 60_000), ms("max_deadline_ms", 1_800_000));
    if default > limit {
        let problem = format!("{default} is more than max_deadline_ms, {limit}");
        let remedy = "lower it, or raise max_deadline_ms: no request could have this deadline";
        faults.push(violation(path, "/default_deadline_ms", problem, remedy));
    }
}

fn check_team_model(
    path: &str,
    value: &Value,
    shared_model: &Value,
    faults: &mut Vec<DocumentViolation>,
) {
    let versions = string_items(shared_model, "versions");
    for (i, version) in string_items(value, "versions").iter().enumerate() {
        if !versions.contains(version) {
            let problem = format!("the model has no version `{version}`");
            let remedy = format!("use one of {}, or add it to the model", versions.join(", "));
            faults.push(violation(path, &format!("/versions/{i}"), problem, &remedy));
        }
    }
    let adapters = value["adapters"].as_array().cloned().unwrap_or_default();
    for (i, adapter) in adapters.iter().enumerate() {
        if adapters[..i].contains(adapter) {
            let problem = format!("adapter {} is listed twice", adapter["name"]);
            faults.push(violation(path, &format!("/adapters/{i}"), problem, "remove one"));
        }
    }
}

/// A key shared by two teams would let either call on behalf of the other.
fn check_keys(documents: &Documents, faults: &mut Vec<DocumentViolation>) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (path, value) in documents.iter().filter(|(path, _)| path.ends_with("/team")) {
        for (i, hash) in string_items(value, "key_hashes").into_iter().enumerate() {
            if let Some(owner) = owners.insert(hash, path) {
                let problem = format!("the key of this hash is already used by `{owner}`");
                let remedy = "use each key for one team only, and once";
                faults.push(violation(path, &format!("/key_hashes/{i}"), problem, remedy));
            }
        }
    }
}

fn check_shares(documents: &Documents, faults: &mut Vec<DocumentViolation>) {
    let teams = documents.iter().filter(|(path, _)| path.ends_with("/team"));
    let shares: Vec<(&String, u64)> =
        teams.map(|(path, value)| (path, value["share"].as_u64().unwrap_or(100))).collect();
    let sum: u64 = shares.iter().map(|(_, share)| share).sum();
    if sum <= MAX_TOTAL_SHARE_PERMILLE {
        return;
    }
    for (path, share) in shares {
        let problem = format!("all teams' shares add up to {sum} thousandths, this one is {share}");
        let remedy = "lower shares until they add up to 1000 at most, or none is guaranteed";
        faults.push(violation(path, "/share", problem, remedy));
    }
}

/// A callable model without replicas could never be served.
fn check_replicas(documents: &Documents, faults: &mut Vec<DocumentViolation>) {
    let mut replicas: BTreeMap<String, u64> = BTreeMap::new();
    let of_model = |path: &String| match PathKind::parse(path) {
        Some(PathKind::TeamModel(_, model)) => Some(model.to_string()),
        _ => None,
    };
    for (path, value) in documents {
        if let Some(model) = of_model(path) {
            *replicas.entry(model).or_default() += value["replicas"].as_u64().unwrap_or_default();
        }
    }
    for (path, value) in documents {
        let unserved = of_model(path).is_some_and(|model| replicas[&model] == 0);
        if unserved && value["replicas"] == 0 {
            let problem = "no team holds a replica of this model, so no call is answered".into();
            let remedy = "raise replicas here or in another team's document, or remove this one";
            faults.push(violation(path, "/replicas", problem, remedy));
        }
    }
}
