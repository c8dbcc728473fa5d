//! Planner behavior in a simulated fleet with more models than slots.

mod common;

use common::{Simulation, Workload, busy, rare};
use corianderstand_fleet::{config, demand, plan, snapshot, targets};
use corianderstand_types::names::ModelId;
use slotmap::SlotMap;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

fn simulation(
    engines: usize,
    models: Vec<(String, Workload)>,
    cached: usize,
    seed: u64,
) -> Simulation {
    let models: Vec<(&str, Workload)> =
        models.iter().map(|(name, workload)| (name.as_str(), workload.clone())).collect();
    Simulation::new(engines, &models, cached, seed)
}

fn is_rare(name: &str) -> bool {
    name.starts_with("rare")
}

/// All models are served within their latency objectives although they don't all fit.
#[rstest::rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn steady_load_serves_rare_and_busy_models(#[case] seed: u64) {
    let mut models = rare(25, 0.5);
    models.extend([busy("busy-0", 25.0), busy("busy-1", 12.0)]);
    let mut simulation = simulation(9, models, 12, seed);
    simulation.run(Duration::from_secs(15));
    simulation.reset_counters();
    simulation.run(Duration::from_secs(40));
    let (rare, busy) = (simulation.tally(is_rare), simulation.tally(|name| !is_rare(name)));
    println!("rare {rare:?}, busy {busy:?}, {} commands", simulation.commands);
    assert!(rare.on_time_ratio() > 0.85, "rare models within objective: {}", rare.on_time_ratio());
    assert!(busy.on_time_ratio() > 0.97, "busy models within objective: {}", busy.on_time_ratio());
    assert!(
        simulation.most_mb <= 220_000,
        "an engine was commanded to hold {} MB",
        simulation.most_mb
    );
}

/// A model that becomes busy while on no engine is served in time after its first loads.
#[test]
fn demand_shift_is_followed_within_seconds() {
    let mut models = rare(20, 0.5);
    models.extend([busy("old", 25.0), busy("new", 0.0)]);
    let mut simulation = simulation(9, models, 12, 4);
    simulation.run(Duration::from_secs(20));
    simulation.models.get_mut(&"old".into()).unwrap().per_s = 0.0;
    simulation.models.get_mut(&"new".into()).unwrap().per_s = 25.0;
    simulation.run(Duration::from_secs(4));
    simulation.reset_counters();
    simulation.run(Duration::from_secs(15));
    let new = simulation.tally(|name| name == "new");
    assert!(new.on_time_ratio() > 0.97, "after four seconds: {new:?}");
    assert!(simulation.holders("new") >= 2, "a single replica is overloaded");
}

/// A burst of requests for rare models must not evict the busy model.
#[test]
fn burst_on_rare_models_does_not_evict_busy_models() {
    let mut models = rare(25, 0.5);
    models.push(busy("busy-0", 25.0));
    let mut simulation = simulation(9, models, 12, 5);
    simulation.run(Duration::from_secs(15));
    for index in 0..25 {
        simulation.models.get_mut(&format!("rare-{index:02}").as_str().into()).unwrap().per_s = 1.2;
    }
    simulation.reset_counters();
    simulation.run(Duration::from_secs(10));
    let (rare, busy) = (simulation.tally(is_rare), simulation.tally(|name| !is_rare(name)));
    println!("rare {rare:?}, busy {busy:?}");
    assert!(busy.on_time_ratio() > 0.97, "{busy:?}");
    assert!(rare.abandoned_ratio() < 0.1, "{rare:?}");
}

/// Models lost in a crash are reloaded from cached weights, not from the weight store.
#[test]
fn models_of_a_crashed_engine_are_reloaded_from_disk() {
    let mut models = rare(24, 0.5);
    models.push(busy("busy-0", 20.0));
    let mut simulation = simulation(9, models, 12, 6);
    simulation.run(Duration::from_secs(15));
    simulation.reset_counters();
    simulation.crash(4);
    simulation.run(Duration::from_secs(8));
    let rare = simulation.tally(is_rare);
    assert!(rare.abandoned_ratio() < 0.05, "{rare:?}");
    assert_eq!(simulation.store_loads, 0, "all models are cached on other disks");
}

/// Guards against eviction cycles, which occur if placement and eviction value a model differently.
#[test]
fn evictions_do_not_trigger_further_evictions() {
    let mut models = rare(30, 0.3);
    models.push(busy("busy-0", 20.0));
    let mut simulation = simulation(9, models, 12, 7);
    simulation.run(Duration::from_secs(15));
    simulation.reset_counters();
    simulation.run(Duration::from_secs(30));
    // 31 models compete for 27 slots, so some swaps of two commands each are needed.
    assert!(simulation.commands < 240, "{} commands in 30 s", simulation.commands);
}

/// Without requests, absent models replace redundant replicas.
#[test]
fn every_model_is_placed_before_the_first_request() {
    let models = rare(26, 0.0);
    let mut simulation = simulation(9, models, 12, 8);
    simulation.run(Duration::from_secs(10));
    let missing: Vec<_> = (0..26)
        .map(|index| format!("rare-{index:02}"))
        .filter(|name| simulation.holders(name) == 0)
        .collect();
    assert!(missing.is_empty(), "not placed: {missing:?}");
}

#[test]
fn one_engine_serves_more_models_than_it_holds() {
    let mut simulation = simulation(1, rare(5, 0.1), 5, 9);
    simulation.run(Duration::from_secs(10));
    simulation.reset_counters();
    simulation.run(Duration::from_secs(60));
    let rare = simulation.tally(is_rare);
    assert!(rare.abandoned_ratio() < 0.1, "{rare:?}");
}

/// Guards against a model that stays overloaded because one more replica seems to have no utility.
#[test]
fn severely_overloaded_model_gets_enough_replicas() {
    let mut now = Instant::now();
    let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
    let keys: Vec<_> = (0..12).map(|_| keys.insert(())).collect();
    let demand = demand::ModelDemand {
        requests_per_s: 150.0,
        prompt_tokens_per_s: 200_000.0,
        latency_objective: Duration::from_millis(300),
        ..Default::default()
    };
    let idle: Vec<ModelId> = (0..12).map(|index| format!("idle-{index}").as_str().into()).collect();
    let view = |model: &ModelId, demand| snapshot::ModelView {
        spec: common::spec(model),
        demand,
        waiting: 0,
    };
    let busy = ModelId::from("busy");
    let mut models: BTreeMap<_, _> = idle
        .iter()
        .map(|model| (model.clone(), view(model, demand::ModelDemand::default())))
        .collect();
    models.insert(busy.clone(), view(&busy, demand));
    let mut held: Vec<Vec<ModelId>> = idle.iter().map(|model| vec![model.clone()]).collect();
    held[0] = vec![busy.clone()];
    let mut planner = plan::Planner::default();
    for _ in 0..10 {
        now += Duration::from_secs(2);
        let engines = keys.iter().zip(&held).map(|(&key, held)| {
            let resident = held
                .iter()
                .map(|model| targets::Resident { model: model.clone(), adapters: Vec::new() });
            let on_disk = idle.iter().cloned().chain([busy.clone()]).collect();
            snapshot::EngineView {
                key,
                accepts_commands: true,
                weights_mb: 80_000,
                slots: 64,
                adapter_slots: 8,
                holdings: targets::Holdings {
                    resident: resident.collect(),
                    on_disk,
                    ..Default::default()
                },
                ongoing: None,
                request_limit: None,
                speed: 1.0,
                is_leaving: false,
                running: BTreeMap::new(),
            }
        });
        let engines: Vec<_> = engines.collect();
        let desired = planner.plan(now, &engines, &models);
        held = keys.iter().map(|key| desired[key].clone()).collect();
    }
    let holders = held.iter().filter(|held| held.contains(&busy)).count();
    assert!(holders >= 6, "{holders} replicas");
}

/// Guards against replicas of one busy model that block several engines with slow loads at once.
#[test]
fn scaling_a_busy_model_does_not_starve_rare_models() {
    let run_with_seed = |seed: u64| {
        let mut models = rare(26, 0.3);
        models.extend([busy("steady", 14.0), busy("next", 0.3)]);
        let mut simulation = simulation(8, models, 4, seed);
        simulation.run(Duration::from_secs(15));
        simulation.reset_counters();
        simulation.models.get_mut(&"next".into()).unwrap().per_s = 25.0;
        simulation.run(Duration::from_secs(12));
        let next = simulation.tally(|name| name == "next");
        assert!(next.on_time_ratio() > 0.8, "busy model within objective: {next:?}");
        simulation.tally(is_rare)
    };
    let tallies: Vec<_> = (1..6).map(run_with_seed).collect();
    let requests: u32 = tallies.iter().map(|tally| tally.requests).sum();
    let on_time: u32 = tallies.iter().map(|tally| tally.on_time).sum();
    let on_time_ratio = f64::from(on_time) / f64::from(requests);
    println!("rare models within objective {on_time_ratio:.3}");
    assert!(on_time_ratio > 0.93, "rare models within objective: {on_time_ratio:.3}");
}

/// Guards against evicting a model right after its load, before it serves the waiting requests.
#[test]
fn minimum_residency_starts_when_the_model_is_ready() {
    let start = Instant::now();
    let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
    let key = keys.insert(());
    let (first, next) = (ModelId::from("first"), ModelId::from("next"));
    let mut planner = plan::Planner::default();
    let mut plan_at = |after_ms: u64, resident: Option<&ModelId>, waiting: &ModelId| {
        let resident = resident.into_iter();
        let resident =
            resident.map(|model| targets::Resident { model: model.clone(), adapters: Vec::new() });
        let engine = snapshot::EngineView {
            key,
            accepts_commands: true,
            weights_mb: 80_000,
            slots: 64,
            adapter_slots: 8,
            holdings: targets::Holdings {
                resident: resident.collect(),
                on_disk: vec![first.clone(), next.clone()],
                ..Default::default()
            },
            ongoing: None,
            request_limit: None,
            speed: 1.0,
            is_leaving: false,
            running: BTreeMap::new(),
        };
        let models = [&first, &next].map(|model| {
            let waiting = if model == waiting { 5 } else { 0 };
            let demand = demand::ModelDemand::default();
            (model.clone(), snapshot::ModelView { spec: common::spec(model), demand, waiting })
        });
        let now = start + Duration::from_millis(after_ms);
        planner.plan(now, &[engine], &models.into())[&key].clone()
    };
    assert_eq!(plan_at(0, None, &first), std::slice::from_ref(&first));
    assert_eq!(plan_at(900, None, &first), std::slice::from_ref(&first));
    assert_eq!(plan_at(1_000, Some(&first), &first), std::slice::from_ref(&first));
    assert_eq!(plan_at(1_300, Some(&first), &next), std::slice::from_ref(&first));
    assert_eq!(plan_at(2_300, Some(&first), &next), std::slice::from_ref(&next));
}

/// Guards against a slow load for two requests that delays a fast load for one.
#[test]
fn fast_load_precedes_slow_load_of_similar_utility() {
    let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
    let key = keys.insert(());
    let (stored, on_disk) = (ModelId::from("stored"), ModelId::from("on-disk"));
    let engine = snapshot::EngineView {
        key,
        accepts_commands: true,
        weights_mb: 80_000,
        slots: 64,
        adapter_slots: 8,
        holdings: targets::Holdings { on_disk: vec![on_disk.clone()], ..Default::default() },
        ongoing: None,
        request_limit: None,
        speed: 1.0,
        is_leaving: false,
        running: BTreeMap::new(),
    };
    let models = [(&stored, 2), (&on_disk, 1)].map(|(model, waiting)| {
        let demand = demand::ModelDemand::default();
        (model.clone(), snapshot::ModelView { spec: common::spec(model), demand, waiting })
    });
    let mut planner = plan::Planner::default();
    let desired = planner.plan(Instant::now(), &[engine], &models.into());
    assert_eq!(desired[&key], [on_disk]);
}

/// Guards against ignoring a replica because its load takes longer than the planning horizon.
#[test]
fn overloaded_model_gets_a_replica_despite_slow_load() {
    let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
    let keys: Vec<_> = (0..6).map(|_| keys.insert(())).collect();
    let busy = ModelId::from("busy");
    let engines = keys.iter().enumerate().map(|(index, &key)| {
        let resident = targets::Resident { model: busy.clone(), adapters: Vec::new() };
        let resident = if index < 2 { vec![resident] } else { Vec::new() };
        snapshot::EngineView {
            key,
            accepts_commands: true,
            weights_mb: 80_000,
            slots: 64,
            adapter_slots: 8,
            holdings: targets::Holdings { resident, ..Default::default() },
            ongoing: None,
            request_limit: None,
            speed: 1.0,
            is_leaving: false,
            running: BTreeMap::new(),
        }
    });
    let engines: Vec<_> = engines.collect();
    let demand = demand::ModelDemand {
        requests_per_s: 70.0,
        prompt_tokens_per_s: 70.0 * 1_100.0,
        prefill_s_per_token: 40e-6,
        latency_objective: Duration::from_millis(500),
        ..Default::default()
    };
    let spec =
        config::Model { load_from_store: Duration::from_millis(13_200), ..common::spec(&busy) };
    let models = BTreeMap::from([(busy.clone(), snapshot::ModelView { spec, demand, waiting: 0 })]);
    let mut planner = plan::Planner::default();
    let desired = planner.plan(Instant::now(), &engines, &models);
    let replicas = desired.values().filter(|desired| desired.contains(&busy)).count();
    assert!(replicas > 2, "{replicas} replicas for a load of three engines");
}

/// Guards against a model whose only engine takes a part of its requests, and that is placed nowhere else.
#[rstest::rstest]
#[case::above_the_limit(10.0, 2)]
#[case::within_the_limit(1.0, 1)]
fn a_limited_engine_counts_for_what_it_takes(#[case] requests_per_s: f64, #[case] expected: usize) {
    const LIMIT_PER_S: f64 = 2.0;
    let mut keys: SlotMap<targets::TargetKey, ()> = SlotMap::with_key();
    let keys: Vec<_> = (0..3).map(|_| keys.insert(())).collect();
    let model = ModelId::from("model");
    let engines = keys.iter().enumerate().map(|(index, &key)| {
        let resident = targets::Resident { model: model.clone(), adapters: Vec::new() };
        let is_limited = index == 0;
        snapshot::EngineView {
            key,
            accepts_commands: true,
            weights_mb: 80_000,
            slots: 64,
            adapter_slots: 8,
            holdings: targets::Holdings {
                resident: if is_limited { vec![resident] } else { Vec::new() },
                ..Default::default()
            },
            ongoing: None,
            request_limit: is_limited.then_some(LIMIT_PER_S),
            speed: 1.0,
            is_leaving: false,
            running: BTreeMap::new(),
        }
    });
    let engines: Vec<_> = engines.collect();
    let demand = demand::ModelDemand { requests_per_s, ..Default::default() };
    let view = snapshot::ModelView { spec: common::spec(&model), demand, waiting: 0 };
    let models = BTreeMap::from([(model.clone(), view)]);
    let mut planner = plan::Planner::default();
    let desired = planner.plan(Instant::now(), &engines, &models);
    let replicas = desired.values().filter(|desired| desired.contains(&model)).count();
    assert_eq!(replicas, expected);
}
