//! Checks a configuration before it is sent, and compares it with the one in force.
//!
//! [`audit`] finds mistakes, entries that can never match and limits that contradict each other. [`deployment`] checks a
//! configuration against what is known of the deployment that gets it. [`compare()`] lists what would change, by meaning:
//! entries are matched by what requests see of them, not by their order in the file.

mod compare;
pub mod deployment;

pub use compare::{Change, compare};

use crate::{config, workspaces};
use corianderstand_derives::derives;
use corianderstand_types::names;
use smol_str::SmolStr;
use std::collections::HashMap;

/// How grave a finding is.
#[derives(key)]
pub enum Severity {
    /// Requests would be refused or fail.
    Error,
    /// Something has no effect, or not the one that it seems to have.
    Warning,
}

/// A field of a configuration.
#[derives(key)]
pub enum Field {
    /// The entry as a whole.
    Entry,
    /// Name of an entry.
    Name,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// Services of a route, with their weights.
    Services,
    /// Longest time that a request waits.
    Timeout,
    /// Objective for the answer or the first event.
    LatencyObjective,
    /// Objective for the gap between events.
    GapObjective,
    /// Number of targets that a request may be sent to.
    MaxTargets,
    /// Memory for weights.
    Weights,
    /// Credentials of a workspace.
    Credentials,
    /// Rate of a workspace's quota.
    Quota,
    /// Burst of a workspace's quota.
    Burst,
}

/// Where in a configuration something stands; entries are numbered from 0.
#[derives(key)]
pub enum Place {
    /// A route.
    Route(usize, Field),
    /// A service.
    Service(usize, Field),
    /// A model of a service.
    Model(usize, usize, Field),
    /// A workspace.
    Workspace(usize, Field),
    /// The limits on requests.
    Limits,
}

/// Something that an operator should look at.
#[derives(data)]
pub struct Finding {
    /// How grave it is.
    pub severity: Severity,
    /// Where it stands.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: &'static str,
}

/// Returns all findings, errors first.
pub fn audit(cfg: &config::Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut audit = Audit { cfg, findings: &mut findings };
    audit.routes();
    audit.services();
    audit.workspaces();
    audit.limits();
    findings.sort_by_key(|finding| (finding.severity, finding.place));
    findings
}

struct Audit<'a> {
    cfg: &'a config::Config,
    findings: &'a mut Vec<Finding>,
}

impl Audit<'_> {
    fn error(&mut self, place: Place, problem: String, remedy: &'static str) {
        self.findings.push(Finding { severity: Severity::Error, place, problem, remedy });
    }

    fn warn(&mut self, place: Place, problem: String, remedy: &'static str) {
        self.findings.push(Finding { severity: Severity::Warning, place, problem, remedy });
    }

    fn routes(&mut self) {
        let mut first_by_match: HashMap<(&SmolStr, &SmolStr), usize> = HashMap::new();
        for (index, route) in self.cfg.routes.iter().enumerate() {
            let first = *first_by_match.entry((&route.host, &route.prefix)).or_insert(index);
            if first != index {
                let problem = format!(
                    "never matches: route {first} has the same host and prefix `{}`",
                    route.prefix
                );
                self.error(
                    Place::Route(index, Field::Entry),
                    problem,
                    "remove one of the two, or change its host or prefix",
                );
            }
            self.route_match(index, route);
            self.route_services(index, route);
            self.route_limits(index, route);
        }
    }

    fn route_match(&mut self, index: usize, route: &config::Route) {
        if route.host.is_empty() || route.host.contains([':', '/', ' ']) {
            self.error(
                Place::Route(index, Field::Host),
                format!("never matches: `{}` is no host name", route.host),
                "give the host without scheme, port and path",
            );
        }
        let is_prefix = route.prefix.starts_with('/') && route.prefix.ends_with('/');
        if !is_prefix || route.prefix.contains(['?', '#']) {
            self.error(
                Place::Route(index, Field::Prefix),
                format!("`{}` matches no path, or parts of names", route.prefix),
                "begin and end it with a slash, without a query",
            );
        }
    }

    fn route_services(&mut self, index: usize, route: &config::Route) {
        let place = Place::Route(index, Field::Services);
        let total: u64 = route.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            self.error(
                place,
                "no service gets a share of its requests".into(),
                "name a service, or give at least one share a weight above 0",
            );
        }
        let services: Vec<_> = route.services.clone();
        for (position, (name, weight)) in services.iter().enumerate() {
            if self.cfg.service(name).is_none() {
                self.error(
                    place,
                    format!("service `{name}` is not configured"),
                    "add the service, or name one that is there",
                );
            }
            if *weight == 0 && total > 0 {
                self.warn(
                    place,
                    format!("service `{name}` has a share of 0 and never gets a request"),
                    "remove the share, or raise its weight",
                );
            }
            if services[..position].iter().any(|(earlier, _)| earlier == name) {
                self.warn(
                    place,
                    format!("service `{name}` is named twice: its shares add up"),
                    "name each service once",
                );
            }
        }
    }

    fn route_limits(&mut self, index: usize, route: &config::Route) {
        if route.timeout.is_zero() {
            self.error(
                Place::Route(index, Field::Timeout),
                "all its requests are refused: they may wait for no time".into(),
                "give a time above 0",
            );
        } else if route.latency_objective > route.timeout {
            self.error(
                Place::Route(index, Field::LatencyObjective),
                format!(
                    "the objective of {} ms lies beyond the timeout of {} ms",
                    route.latency_objective.as_millis(),
                    route.timeout.as_millis()
                ),
                "raise the timeout, or lower the objective",
            );
        }
        if route.gap_objective.is_some_and(|gap| gap >= route.timeout && !gap.is_zero()) {
            self.warn(
                Place::Route(index, Field::GapObjective),
                "a gap of this length is longer than a whole request may take".into(),
                "lower it below the timeout",
            );
        }
        if route.gap_objective.is_some() && !route.streams {
            self.warn(
                Place::Route(index, Field::GapObjective),
                "has no effect: the route does not stream".into(),
                "remove it, or make the route a streaming one",
            );
        }
        if route.resumable && !route.streams {
            self.warn(
                Place::Route(index, Field::Entry),
                "is resumable, which has no effect: the route does not stream".into(),
                "remove it, or make the route a streaming one",
            );
        }
        if route.may_retry() && route.max_targets == 1 {
            self.warn(
                Place::Route(index, Field::MaxTargets),
                "its requests may be repeated, but only one target is allowed".into(),
                "allow two targets if a second attempt is wanted",
            );
        }
        if !route.may_retry() && route.max_targets > 1 {
            self.warn(
                Place::Route(index, Field::MaxTargets),
                "a further target is tried only if the first did not run the request: it may not be repeated"
                    .into(),
                "set 1, unless that is meant",
            );
        }
    }

    fn services(&mut self) {
        let mut first_by_name: HashMap<&names::ServiceId, usize> = HashMap::new();
        for (index, service) in self.cfg.services.iter().enumerate() {
            let first = *first_by_name.entry(&service.name).or_insert(index);
            if first != index {
                self.error(
                    Place::Service(index, Field::Name),
                    format!("is never used: service {first} has the same name"),
                    "remove one of the two, or rename it",
                );
            }
            let is_routed = self.cfg.routes.iter().any(|route| {
                route.services.iter().any(|(name, weight)| *name == service.name && *weight > 0)
            });
            if !is_routed {
                self.warn(
                    Place::Service(index, Field::Entry),
                    format!("no route leads to service `{}`", service.name),
                    "add a route, or remove the service",
                );
            }
            if let Some(engine) = &service.engine {
                self.models(index, engine);
            }
        }
    }

    fn models(&mut self, service: usize, engine: &config::Engine) {
        if engine.slots == 0 {
            self.error(
                Place::Service(service, Field::Entry),
                "its engines run no request: they have no slots".into(),
                "give the number of requests that an engine runs at once",
            );
        }
        let mut first_by_name: HashMap<&names::ModelId, usize> = HashMap::new();
        for (index, model) in engine.models.iter().enumerate() {
            let first = *first_by_name.entry(&model.name).or_insert(index);
            if first != index {
                self.error(
                    Place::Model(service, index, Field::Name),
                    format!("is never used: model {first} has the same name"),
                    "remove one of the two, or rename it",
                );
            }
            if model.weights_mb > engine.weights_mb {
                self.error(
                    Place::Model(service, index, Field::Weights),
                    format!(
                        "can never be loaded: {} MB of weights, and an engine holds {} MB",
                        model.weights_mb, engine.weights_mb
                    ),
                    "correct the sizes, or remove the model",
                );
            } else if model.adapters > 0 && model.weights_mb + model.adapter_mb > engine.weights_mb
            {
                self.error(
                    Place::Model(service, index, Field::Weights),
                    "leaves no room on an engine for any of its adapters".into(),
                    "correct the sizes, or remove the adapters",
                );
            }
            if model.adapters > 0 && engine.adapter_slots == 0 {
                self.error(
                    Place::Model(service, index, Field::Entry),
                    "has adapters, and an engine holds none".into(),
                    "give engines slots for adapters, or remove the adapters",
                );
            }
        }
    }

    fn workspaces(&mut self) {
        let Some(all) = &self.cfg.workspaces else { return };
        let mut first_by_name: HashMap<&names::WorkspaceId, usize> = HashMap::new();
        let mut first_by_credential: HashMap<workspaces::Credential, usize> = HashMap::new();
        for (index, workspace) in all.iter().enumerate() {
            let first = *first_by_name.entry(&workspace.name).or_insert(index);
            if first != index {
                self.error(
                    Place::Workspace(index, Field::Name),
                    format!("workspace {first} has the same name"),
                    "join the two, or rename one",
                );
            }
            if workspace.credentials.is_empty() {
                self.warn(
                    Place::Workspace(index, Field::Credentials),
                    "can never send a request: it has no key".into(),
                    "add a key, or remove the workspace",
                );
            }
            for credential in &workspace.credentials {
                let first = *first_by_credential.entry(*credential).or_insert(index);
                if first != index {
                    self.error(
                        Place::Workspace(index, Field::Credentials),
                        format!("workspace {first} has one of its keys"),
                        "give each workspace keys of its own",
                    );
                }
            }
            if let Some(quota) = &workspace.quota {
                self.quota(index, quota);
            }
        }
        if all.is_empty() && self.cfg.routes.iter().any(|route| !route.is_public) {
            self.error(
                Place::Workspace(0, Field::Entry),
                "there is none, so that all requests but those of public routes are refused".into(),
                "add workspaces, or make the routes public",
            );
        }
    }

    fn quota(&mut self, index: usize, quota: &workspaces::Quota) {
        if !quota.per_s.is_finite() || !quota.burst.is_finite() || quota.burst < 0.0 {
            self.error(
                Place::Workspace(index, Field::Burst),
                "is no number of 0 or more".into(),
                "give the cost that may be spent at once after a pause",
            );
            return;
        }
        let least_cost = match quota.unit {
            workspaces::CostUnit::Request => 1,
            workspaces::CostUnit::Token { default } => default,
        };
        if least_cost as f64 > quota.burst && least_cost > 0 {
            self.warn(
                Place::Workspace(index, Field::Burst),
                format!(
                    "a request without token counts costs {least_cost}, more than the burst of {} holds",
                    quota.burst
                ),
                "raise the burst to the cost of a few requests",
            );
        }
        if least_cost == 0 {
            self.warn(
                Place::Workspace(index, Field::Quota),
                "requests without token counts cost nothing".into(),
                "give the cost of a request that states no tokens",
            );
        }
    }

    fn limits(&mut self) {
        let limits = &self.cfg.limits;
        if limits.header_bytes == 0 || limits.header_timeout.is_zero() {
            self.error(
                Place::Limits,
                "no request can be received: its headers have no room or no time".into(),
                "raise the limits of the headers",
            );
        }
        if !limits.idle_timeout.is_zero() && limits.header_timeout > limits.idle_timeout {
            self.warn(
                Place::Limits,
                "a connection is closed as idle before its headers may have come".into(),
                "raise the idle timeout above that of the headers",
            );
        }
    }
}
