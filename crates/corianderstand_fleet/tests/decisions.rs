//! Routes, targets, retry budgets, wait limits and commands for engines.

mod common;

use common::{
    entries::{address, entry, holdings},
    id,
};
use corianderstand_fleet::{
    budget, choose, config, health, reconcile, routes, targets, wait_limit,
};
use corianderstand_types::names::ModelId;
use rand::RngExt;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use targets::{
    AgentReport, Entry, Holdings, Load, OngoingCommand, RegistrationChange, Resident, Targets,
};

fn table(prefixes: &[&str]) -> routes::Table {
    let routes = prefixes.iter().map(|prefix| {
        Arc::new(config::Route {
            name: (*prefix).into(),
            host: "desk.example".into(),
            prefix: (*prefix).into(),
            ..Default::default()
        })
    });
    routes::Table::new(Arc::new(config::Config { routes: routes.collect(), ..Default::default() }))
}

#[rstest::rstest]
#[case("desk.example", "/a/b/c", Some("/a/b/"))]
#[case("desk.example:8080", "/a/x", Some("/a/"))]
#[case("DESK.example", "/a/b", Some("/a/"))]
#[case("desk.example", "/ab/", None)]
#[case("other.example", "/a/", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table(&["/a/", "/a/b/"]);
    let found = table.find(host, path).map(|route| route.prefix.as_str());
    assert_eq!(found, expected);
}

#[test]
fn a_split_route_gives_each_service_its_share() {
    let services = vec![("one".into(), 90), ("two".into(), 10)];
    let route = config::Route { services, ..Default::default() };
    let two = (0..1_000).filter(|&hash| route.service(hash).unwrap().as_str() == "two").count();
    assert_eq!(two, 100);
}

/// Guards against requests to an engine that ended after another registered at its address.
#[test]
fn a_registration_replaces_the_engine_at_its_address() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("before"));
    targets.register(now, entry("other"));
    let after = Entry { addr: address("before"), ..entry("after") };
    assert_eq!(targets.register(now, after), RegistrationChange::New);
    assert!(targets.key(&id("before")).is_none(), "the previous engine has ended");
    assert!(targets.key(&id("after")).is_some() && targets.key(&id("other")).is_some());
}

/// Guards against refused requests on a router that starts while the store lists ended engines.
#[test]
fn an_unknown_engine_is_inferred_from_its_agent_before_it_registers() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("before"));
    let host = address("before").ip();
    assert!(
        !targets.infer_successor(now, &id("after"), 0, host, |_| false),
        "not an engine's service"
    );
    assert!(targets.infer_successor(now, &id("after"), 0, host, |_| true));
    let known = targets.get(targets.key(&id("after")).unwrap()).unwrap();
    assert_eq!(known.entry.addr, address("before"));
    assert!(!targets.infer_successor(now, &id("before"), 0, host, |_| true), "outdated report");
    assert_eq!(
        targets.register(now, entry("before")),
        RegistrationChange::New,
        "the previous engine is alive"
    );
    assert!(targets.key(&id("after")).is_none(), "one target per address");
    assert!(!targets.infer_successor(now, &id("stranger"), 0, address("nobody").ip(), |_| true));
}

/// Guards against requests for models that an engine lost in a restart.
#[test]
fn a_restart_under_the_same_name_clears_the_holdings() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let again = Entry { started_at_ms: 20, renewals: 1, holdings: holdings(&[]), ..entry("e") };
    assert_eq!(targets.register(now, again), RegistrationChange::New);
    let key = targets.key(&id("e")).unwrap();
    assert!(!targets.get(key).unwrap().serves(now, &"m".into()));
}

/// Guards against a delayed entry that overwrites a newer agent report.
#[test]
fn agent_reports_take_precedence_over_entries() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let report = AgentReport {
        id: id("e"),
        started_at_ms: 10,
        holdings: Holdings { commands_accepted: 2, ..holdings(&["n"]) },
        cached_weights_reported: true,
        ongoing: None,
        load: Load::default(),
    };
    assert!(targets.report(now, report.clone()));
    targets.register(now, Entry { renewals: 6, ..entry("e") });
    let key = targets.key(&id("e")).unwrap();
    assert!(targets.get(key).unwrap().serves(now, &"n".into()));
    let older =
        AgentReport { holdings: Holdings { commands_accepted: 1, ..holdings(&["m"]) }, ..report };
    assert!(!targets.report(now, older), "reordered datagram");
}

fn query<'a>(
    requested: &'a choose::RequestedModel,
    service: &'a corianderstand_types::names::ServiceId,
    zone: &'a corianderstand_types::names::AvailabilityZoneId,
) -> choose::Query<'a> {
    choose::Query {
        service,
        requested: Some(requested),
        tokens: 1_000,
        cache_tokens: 10_000,
        adapter_slots: 2,
        zone,
        tried: &[],
        hash: 7,
        version: None,
        cached_prefix: None,
        work: None,
    }
}

fn requested() -> choose::RequestedModel {
    choose::RequestedModel { model: "m".into(), adapter: None }
}

#[test]
fn only_an_engine_that_holds_the_model_gets_the_request() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, Entry { holdings: holdings(&["n"]), ..entry("e") });
    let (requested, service, zone) = (requested(), "models".into(), "here".into());
    let query = query(&requested, &service, &zone);
    assert_eq!(choose::choose(now, &targets, &query), choose::Choice::Cold);
    targets.register(now, entry("f"));
    let key = targets.key(&id("f")).unwrap();
    assert_eq!(choose::choose(now, &targets, &query), choose::Choice::Send(key));
    targets.get_mut(key).unwrap().record_absent_model(now, &ModelId::from("m"));
    assert_eq!(
        choose::choose(now, &targets, &query),
        choose::Choice::Cold,
        "the engine reported the model as absent"
    );
}

/// Guards against repeated attempts at an ended engine whose entry is still stored.
#[test]
fn an_engine_whose_process_ended_is_ejected() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let (requested, service, zone) = (requested(), "models".into(), "here".into());
    let query = query(&requested, &service, &zone);
    let key = targets.key(&id("e")).unwrap();
    targets.get_mut(key).unwrap().record_unreachable(now);
    assert_eq!(choose::choose(now, &targets, &query), choose::Choice::NoTarget);
    let later = now + Duration::from_secs(1);
    assert_eq!(choose::choose(later, &targets, &query), choose::Choice::Send(key), "probed again");
    assert!(targets.record_exit(later, &id("e"), 10));
    assert_eq!(choose::choose(later, &targets, &query), choose::Choice::NoTarget);
    targets.register(later, Entry { started_at_ms: 20, renewals: 1, ..entry("e") });
    let key = targets.key(&id("e")).unwrap();
    assert_eq!(choose::choose(later, &targets, &query), choose::Choice::Send(key));
    assert!(!targets.record_exit(later, &id("e"), 10), "report of the previous incarnation");
    assert_eq!(choose::choose(later, &targets, &query), choose::Choice::Send(key));
}

/// Guards against sending requests to a failing target, and against ejecting it for ever.
#[test]
fn a_failing_target_is_ejected_and_probed_again_later() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    targets.register(now, entry("f"));
    let bad = targets.key(&id("e")).unwrap();
    let health = &mut targets.get_mut(bad).unwrap().health;
    for _ in 0..3 {
        health.record_failure(now);
    }
    assert!(health.failure_score(now) > health::EJECTION_THRESHOLD);
    let (requested, service, zone) = (requested(), "models".into(), "here".into());
    let sent = |now: Instant, targets: &Targets| {
        let mut rng = common::rng(1);
        let hits = (0..100).filter(|_| {
            let query = choose::Query { hash: rng.random(), ..query(&requested, &service, &zone) };
            choose::choose(now, targets, &query) == choose::Choice::Send(bad)
        });
        hits.count()
    };
    assert_eq!(sent(now, &targets), 0);
    assert!(sent(now + Duration::from_secs(60), &targets) > 20);
}

#[test]
fn a_full_engine_gets_no_requests() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let key = targets.key(&id("e")).unwrap();
    let (requested, service, zone) = (requested(), "models".into(), "here".into());
    let query = query(&requested, &service, &zone);
    let load = Load { running: 4, ..Load::default() };
    targets.get_mut(key).unwrap().record_load(now, load);
    assert_eq!(choose::choose(now, &targets, &query), choose::Choice::Full);
    let load = Load { running: 1, cache_used: Some(9_500), ..Load::default() };
    targets.get_mut(key).unwrap().record_load(now, load);
    assert_eq!(choose::choose(now, &targets, &query), choose::Choice::Full, "its cache is full");
}

#[test]
fn adapters_prefer_engines_that_hold_them_then_free_slots() {
    let now = Instant::now();
    let mut targets = Targets::default();
    let with = |adapters: &[&str]| Holdings {
        resident: vec![Resident {
            model: "m".into(),
            adapters: adapters.iter().map(|name| (*name).into()).collect(),
        }],
        ..Default::default()
    };
    targets.register(now, Entry { holdings: with(&["a", "b"]), ..entry("full") });
    targets.register(now, Entry { holdings: with(&["c"]), ..entry("free") });
    let (service, zone) = ("models".into(), "here".into());
    let choose = |adapter: &str| {
        let requested = choose::RequestedModel { model: "m".into(), adapter: Some(adapter.into()) };
        choose::choose(now, &targets, &query(&requested, &service, &zone))
    };
    let key = |name: &str| targets.key(&id(name)).unwrap();
    assert_eq!(choose("a"), choose::Choice::Send(key("full")));
    assert_eq!(choose("d"), choose::Choice::LoadAdapter(key("free")));
}

/// Guards against an adapter request that waits for the load of an unrelated model.
#[test]
fn an_adapter_is_not_loaded_on_an_engine_that_executes_a_command() {
    let now = Instant::now();
    let names = ["one", "two", "three"];
    let mut targets = Targets::default();
    for name in names {
        targets.register(now, entry(name));
    }
    let (service, zone) = ("models".into(), "here".into());
    let requested = choose::RequestedModel { model: "m".into(), adapter: Some("a".into()) };
    let preferred = |targets: &Targets| {
        let choice = choose::choose(now, targets, &query(&requested, &service, &zone));
        let choose::Choice::LoadAdapter(key) = choice else {
            panic!("no engine holds it: {choice:?}")
        };
        key
    };
    let usual = preferred(&targets);
    let ready_at = now + Duration::from_secs(1);
    let loading = OngoingCommand::Loading { model: "n".into(), ready_at, from_store: false };
    targets.get_mut(usual).unwrap().ongoing = Some(loading.clone());
    assert_ne!(preferred(&targets), usual);
    for name in names {
        let key = targets.key(&id(name)).unwrap();
        targets.get_mut(key).unwrap().ongoing = Some(loading.clone());
    }
    assert_eq!(preferred(&targets), usual, "all execute a command");
}

/// Guards against retries that overload the remaining targets.
#[test]
fn retries_stay_within_the_shared_allowance() {
    let now = Instant::now();
    let window = Duration::from_secs(10);
    let allowance = budget::Allowance { ratio: 0.2, fixed: 50.0, window };
    let mut spent = 0;
    for _ in 0..2 {
        let mut budget = budget::Budget::default();
        for step in 0..200 {
            let at = now + window / 200 * step;
            budget.earn(at, &allowance);
            let is_granted = budget.reserve(at, &allowance, Some(allowance.fixed / 2.0));
            if is_granted {
                budget.record_sent(at);
            }
            spent += u32::from(is_granted);
        }
    }
    assert!(spent <= 130 && spent > 100, "{spent} of 0.2 x 400 + 50");
}

#[rstest::rstest]
#[case(wait_limit::Readiness::LoadTime(Duration::from_millis(800)), true)]
#[case(wait_limit::Readiness::LoadTime(Duration::from_secs(6)), false)]
#[case(wait_limit::Readiness::AtCapacity, true)]
#[case(wait_limit::Readiness::Unknown, false)]
fn a_request_is_held_only_if_its_model_can_be_ready_in_time(
    #[case] expected: wait_limit::Readiness,
    #[case] holdings: bool,
) {
    let now = Instant::now();
    let decision = wait_limit::decide(now, now + Duration::from_secs(2), expected, 0.5);
    assert_eq!(matches!(decision, wait_limit::Decision::Hold { .. }), holdings, "{decision:?}");
    if let wait_limit::Decision::Refuse { after } = decision {
        assert!(after >= Duration::from_secs(1), "retry time: {after:?}");
    }
}

fn engine_models(models: &[(&str, bool)]) -> Vec<reconcile::EngineModel> {
    let models = models.iter().map(|(model, desired)| reconcile::EngineModel {
        model: (*model).into(),
        weights_mb: 70,
        adapter_mb: 5,
        desired: *desired,
    });
    models.collect()
}

const CAPACITY: reconcile::Capacity = reconcile::Capacity { weights_mb: 150, adapter_slots: 2 };

#[test]
fn unplanned_models_are_unloaded_before_planned_ones_are_loaded() {
    let models = engine_models(&[("new", true), ("keep", true), ("old", false)]);
    let command = reconcile::next_model_command(CAPACITY, &models, &holdings(&["keep", "old"]));
    assert_eq!(command, Some(reconcile::Command::Unload("old".into())));
    let command = reconcile::next_model_command(CAPACITY, &models, &holdings(&["keep"]));
    assert_eq!(command, Some(reconcile::Command::Load("new".into())));
    assert_eq!(reconcile::next_model_command(CAPACITY, &models, &holdings(&["keep", "new"])), None);
}

/// Guards against exceeding an engine's memory when the plan lacks the size of a resident model.
#[test]
fn nothing_is_loaded_beside_a_model_of_unknown_size() {
    let models = engine_models(&[("new", true)]);
    assert_eq!(reconcile::next_model_command(CAPACITY, &models, &holdings(&["stranger"])), None);
}

#[test]
fn the_least_recently_requested_adapter_is_evicted() {
    let now = Instant::now();
    let models = engine_models(&[("m", true)]);
    let request = |name: &str, ago: u64| reconcile::AdapterRequest {
        model: "m".into(),
        adapter: name.into(),
        requested_at: now - Duration::from_millis(ago),
    };
    let holdings = Holdings {
        resident: vec![Resident { model: "m".into(), adapters: vec!["a".into(), "b".into()] }],
        ..Default::default()
    };
    let next = |requests: &[reconcile::AdapterRequest]| {
        reconcile::next_adapter_command(now, CAPACITY, &models, &holdings, 0, requests)
    };
    let command = next(&[request("c", 0), request("a", 5_000), request("b", 10)]);
    assert_eq!(command, Some(reconcile::Command::UnloadAdapter("m".into(), "a".into())));
    let command = next(&[request("c", 0), request("a", 100), request("b", 10)]);
    assert_eq!(command, None, "both were requested recently");
}

/// Guards against two adapters that evict each other repeatedly.
#[test]
fn an_adapter_requested_earlier_does_not_evict_a_later_one() {
    let now = Instant::now();
    let models = engine_models(&[("m", true)]);
    let request = |name: &str, ago: u64| reconcile::AdapterRequest {
        model: "m".into(),
        adapter: name.into(),
        requested_at: now - Duration::from_millis(ago),
    };
    let requests = [request("b", 900), request("a", 1_000), request("c", 2_000)];
    let mut holdings = Holdings {
        resident: vec![Resident { model: "m".into(), adapters: vec!["a".into(), "b".into()] }],
        ..Default::default()
    };
    let mut commands = 0;
    while let Some(command) =
        reconcile::next_adapter_command(now, CAPACITY, &models, &holdings, 0, &requests)
    {
        let adapters = &mut holdings.resident[0].adapters;
        match command {
            reconcile::Command::LoadAdapter(_, adapter) => adapters.push(adapter),
            reconcile::Command::UnloadAdapter(_, adapter) => adapters.retain(|own| *own != adapter),
            other => panic!("unexpected command {other:?}"),
        }
        commands += 1;
        assert!(commands < 10, "adapters evict each other");
    }
    assert_eq!(holdings.resident[0].adapters, ["a".into(), "b".into()]);
}
