//! Mistakes of a configuration that are found before it is sent, and what it would change.

use corianderstand_fleet::{
    audit::{self, Field, Place, Severity, deployment},
    budget::Allowance,
    config::{Config, Engine, Limits, Model, RetryPolicy, Route, Service},
    targets::{Entry, Holdings},
    workspaces::{CostUnit, Credential, Quota, Workspace},
};
use rstest::rstest;
use std::time::Duration;

fn route(prefix: &str) -> Route {
    Route {
        host: "desk.example".into(),
        prefix: prefix.into(),
        timeout: Duration::from_secs(10),
        latency_objective: Duration::from_millis(300),
        max_targets: 1,
        services: vec![("drafts".into(), 1)],
        ..Default::default()
    }
}

fn drafts() -> Service {
    let model = Model { name: "m".into(), weights_mb: 100, ..Default::default() };
    let engine = Engine { slots: 8, weights_mb: 200, models: vec![model], ..Default::default() };
    Service { name: "drafts".into(), engine: Some(engine), ..Default::default() }
}

fn sound(route: Route) -> Config {
    let routes = vec![route.into()];
    Config { version: 7, routes, services: vec![drafts()], ..Default::default() }
}

fn workspace(name: &str, keys: &[&[u8]]) -> Workspace {
    Workspace {
        name: name.into(),
        credentials: keys.iter().map(|key| Credential::new(key)).collect(),
        priority: 0,
        quota: None,
    }
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(audit::audit(&sound(route("/drafts/"))), []);
}

#[rstest]
#[case::objective_beyond_the_timeout(
    Route { latency_objective: Duration::from_secs(11), ..route("/d/") },
    Severity::Error,
    Field::LatencyObjective
)]
#[case::no_time(Route { timeout: Duration::ZERO, ..route("/d/") }, Severity::Error, Field::Timeout)]
#[case::prefix_without_slash(route("/d"), Severity::Error, Field::Prefix)]
#[case::host_with_port(
    Route { host: "desk.example:80".into(), ..route("/d/") }, Severity::Error, Field::Host
)]
#[case::unknown_service(
    Route { services: vec![("drafts".into(), 1), ("gone".into(), 1)], ..route("/d/") },
    Severity::Error,
    Field::Services
)]
#[case::no_share(
    Route { services: vec![], ..route("/d/") }, Severity::Error, Field::Services
)]
#[case::gap_of_a_route_that_does_not_stream(
    Route { gap_objective: Some(Duration::from_millis(9)), ..route("/d/") },
    Severity::Warning,
    Field::GapObjective
)]
#[case::repeatable_with_one_target(
    Route { retry_policy: RetryPolicy::Allowed, ..route("/d/") }, Severity::Warning, Field::MaxTargets
)]
#[case::two_targets_of_a_call_that_runs_once(
    Route { max_targets: 2, ..route("/d/") }, Severity::Warning, Field::MaxTargets
)]
fn mistakes_of_a_route_are_found(
    #[case] route: Route,
    #[case] severity: Severity,
    #[case] field: Field,
) {
    let findings = audit::audit(&sound(route));
    let is_expected = |finding: &audit::Finding| {
        finding.severity == severity && finding.place == Place::Route(0, field)
    };
    assert!(findings.iter().any(is_expected), "{findings:?}");
}

#[test]
fn a_route_that_another_one_hides_is_found() {
    let mut cfg = sound(route("/d/"));
    cfg.routes.push(route("/d/").into());
    cfg.routes.push(route("/d/wide/").into());
    let findings = audit::audit(&cfg);
    assert_eq!(findings.len(), 1, "{findings:?}");
    assert_eq!(findings[0].place, Place::Route(1, Field::Entry));
}

#[test]
fn models_that_can_never_be_loaded_are_found() {
    let mut cfg = sound(route("/d/"));
    let engine = cfg.services[0].engine.as_mut().unwrap();
    engine.models.push(Model { name: "large".into(), weights_mb: 201, ..Default::default() });
    engine.models.push(Model {
        name: "m".into(),
        weights_mb: 1,
        adapters: 2,
        ..Default::default()
    });
    let places: Vec<Place> = audit::audit(&cfg).iter().map(|finding| finding.place).collect();
    let expected = [
        Place::Model(0, 1, Field::Weights),
        Place::Model(0, 2, Field::Entry),
        Place::Model(0, 2, Field::Name),
    ];
    assert_eq!(places, expected);
}

#[test]
fn workspaces_that_share_a_key_or_have_none_are_found() {
    let mut cfg = sound(route("/d/"));
    let quota = Quota { per_s: 10.0, burst: 5.0, unit: CostUnit::Token { default: 200 } };
    let limited = Workspace { quota: Some(quota), ..workspace("c", &[b"3"]) };
    cfg.workspaces = Some(vec![
        workspace("a", &[b"1"]),
        workspace("b", &[b"1", b"2"]),
        limited,
        workspace("d", &[]),
    ]);
    let places: Vec<Place> = audit::audit(&cfg).iter().map(|finding| finding.place).collect();
    let expected = [
        Place::Workspace(1, Field::Credentials),
        Place::Workspace(2, Field::Burst),
        Place::Workspace(3, Field::Credentials),
    ];
    assert_eq!(places, expected);
}

#[test]
fn limits_that_contradict_each_other_are_found() {
    let mut cfg = sound(route("/d/"));
    cfg.limits = Limits {
        header_timeout: Duration::from_secs(9),
        idle_timeout: Duration::from_secs(3),
        ..Limits::default()
    };
    assert_eq!(audit::audit(&cfg)[0].place, Place::Limits);
}

/// Guards against a difference by order or position, which requests never see.
#[test]
fn entries_in_another_order_change_nothing() {
    let mut before = sound(route("/a/"));
    before.routes.push(route("/b/").into());
    let mut after = before.clone();
    after.version += 1;
    after.routes.reverse();
    assert_eq!(audit::compare(&before, &after), []);
}

#[test]
fn changes_are_told_by_meaning() {
    let mut before = sound(route("/a/"));
    before.workspaces = Some(vec![workspace("team", &[b"1", b"2"])]);
    let mut after = before.clone();
    after.version += 1;
    let slower = Route { timeout: Duration::from_secs(20), priority: 1, ..route("/a/") };
    after.routes = vec![slower.into(), route("/b/").into()];
    after.workspaces = Some(vec![workspace("team", &[b"2", b"3"])]);
    let changes = audit::compare(&before, &after);
    let texts: Vec<String> =
        changes.iter().map(|change| format!("{}: {}", change.entry, change.what)).collect();
    let expected = [
        "route `desk.example/a/`: timeout: 10000 ms becomes 20000 ms",
        "route `desk.example/a/`: priority: 0 becomes 1",
        "route `desk.example/b/`: is added",
        "workspace `team`: keys: 1 removed, 1 added",
    ];
    assert_eq!(texts, expected);
}

/// Guards against a configuration that is sent and ignored, as its version is not above the one in force.
#[test]
fn a_version_that_is_not_above_the_one_in_force_is_told() {
    let before = sound(route("/a/"));
    let changes = audit::compare(&before, &before.clone());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].entry, "version");
}

/// Guards against a difference in how shares are written, which requests never see, and against one that is rounded away.
#[rstest]
#[case::scaled(vec![("drafts".into(), 2), ("desk".into(), 6)], 0)]
#[case::in_another_order(vec![("desk".into(), 3), ("drafts".into(), 1)], 0)]
#[case::a_little_more(vec![("drafts".into(), 1_001), ("desk".into(), 2_999)], 1)]
#[case::beyond_32_bits(vec![("drafts".into(), u32::MAX), ("desk".into(), u32::MAX)], 1)]
fn shares_are_compared_by_what_services_get(
    #[case] services: Vec<(corianderstand_types::names::ServiceId, u32)>,
    #[case] changes: usize,
) {
    let split = vec![("drafts".into(), 1), ("desk".into(), 3)];
    let before = sound(Route { services: split, ..route("/a/") });
    let mut after = sound(Route { services, ..route("/a/") });
    after.version += 1;
    let found = audit::compare(&before, &after);
    assert_eq!(found.len(), changes, "{found:?}");
}

/// Guards against attempts that operators count on and that the retry budget never allows.
#[rstest]
#[case::no_retries(0.0, 0.0, RetryPolicy::Allowed, 1)]
#[case::too_few(0.0, 1.0, RetryPolicy::Allowed, 1)]
#[case::just_enough(0.0, 2.0, RetryPolicy::Allowed, 0)]
#[case::a_share_of_the_requests(0.1, 0.0, RetryPolicy::Allowed, 0)]
#[case::runs_at_most_once(0.0, 0.0, RetryPolicy::Never, 0)]
fn attempts_beyond_the_retry_budget_are_found(
    #[case] ratio: f64,
    #[case] fixed: f64,
    #[case] retry_policy: RetryPolicy,
    #[case] findings: usize,
) {
    let cfg = sound(Route { max_targets: 3, retry_policy, ..route("/d/") });
    let allowance = Some(Allowance { ratio, fixed, ..Allowance::default() });
    let found = deployment::audit(&cfg, &deployment::Deployment { allowance, targets: None });
    assert_eq!(found.len(), findings, "{found:?}");
    assert!(found.iter().all(|finding| finding.place == Place::Route(0, Field::MaxTargets)));
}

fn engine(draining: bool) -> Entry {
    Entry {
        id: "e".into(),
        started_at_ms: 1,
        renewals: 1,
        service: "drafts".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "here".into(),
        slots: 8,
        draining,
        shutdown_in: None,
        version: None,
        holdings: Holdings::default(),
    }
}

/// Guards against a quota that allows more at once than there is room for, so that its requests are refused all the same.
#[rstest]
#[case::requests_that_fit(CostUnit::Request, 16.0, 0)]
#[case::too_many_requests(CostUnit::Request, 17.0, 1)]
#[case::tokens_that_fit(CostUnit::Token { default: 9 }, 2_000.0, 0)]
#[case::too_many_tokens(CostUnit::Token { default: 9 }, 2_001.0, 1)]
fn quotas_over_what_targets_hold_are_found(
    #[case] unit: CostUnit,
    #[case] burst: f64,
    #[case] findings: usize,
) {
    let mut cfg = sound(route("/d/"));
    cfg.services[0].engine.as_mut().unwrap().cache_tokens = 1_000;
    let quota = Some(Quota { per_s: 10.0, burst, unit });
    cfg.workspaces = Some(vec![Workspace { quota, ..workspace("a", &[b"1"]) }]);
    let targets = Some(vec![engine(false), engine(false), engine(true)]);
    let found = deployment::audit(&cfg, &deployment::Deployment { allowance: None, targets });
    assert_eq!(found.len(), findings, "{found:?}");
    assert!(found.iter().all(|finding| finding.place == Place::Workspace(0, Field::Burst)));
}
