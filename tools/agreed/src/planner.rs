//! Measures the planner at the size that the system is designed for.

use corianderstand_schema::records::{Body, Change, Record, TargetRecord};
use corianderstand_state::{fold::State, plan, view::View};
use corianderstand_types::{names::TargetId, units::Mib};
use serde_json::json;
use std::{collections::BTreeSet, time::Instant};

const ENGINES: usize = 730;
const MODELS: usize = 350;
const REPLICAS: u32 = 3;
const AVAILABILITY_ZONES: usize = 4;
/// Hosts that are lost one after the other.
const HOST_LOSSES: usize = 20;

fn append_record(state: &mut State, body: Body) {
    let offset = state.next;
    let record = Record { writer: "router".into(), incarnation: 1, sequence: offset, body };
    state.apply(offset, 0, &record);
}

fn target_up(engine: usize) -> Body {
    let numbered_name = |kind: &str, number: usize| format!("{kind}-{number}");
    Body::TargetUp {
        target: TargetRecord {
            target: numbered_name("engine", engine).as_str().into(),
            host: numbered_name("host", engine).as_str().into(),
            place: numbered_name("place", engine % AVAILABILITY_ZONES).as_str().into(),
            address: "127.0.0.1:1".into(),
            memory_mib: Mib(640_000),
            accelerators: 8,
            service: None,
        },
    }
}

fn state_without_plan() -> State {
    let mut state = State { next: 1, ..State::default() };
    append_record(&mut state, Body::LeaseTaken { epoch: 1, ttl_ms: 3000 });
    (0..ENGINES).for_each(|engine| append_record(&mut state, target_up(engine)));
    let change = |path: String, value: serde_json::Value| {
        let (path, value) = (path.into(), Some(value.to_string()));
        Change { path, base: 0, value }
    };
    let team = json!({ "key_hashes": ["0".repeat(64)], "default_urgency": "normal" });
    let mut changes = vec![change("teams/t/team".into(), team)];
    for model in 0..MODELS {
        let model_settings =
            json!({ "memory_mib": 40_000, "versions": ["1"], "adapter_memory_mib": 1 });
        changes.push(change(format!("shared/models/m{model}"), model_settings));
        let demand = json!({ "replicas": REPLICAS });
        changes.push(change(format!("teams/t/models/m{model}"), demand));
    }
    let (author, ticket) = ("measurement".into(), "t".into());
    append_record(&mut state, Body::Settings { changes, author, ticket, not_after_ms: u64::MAX });
    state
}

/// Runs the planner until it has nothing to do, and returns the number of records it wrote.
fn plan_until_stable(state: &mut State, view: &View) -> usize {
    let mut records = 0;
    loop {
        let bodies = plan::plan(state, view, &BTreeSet::new());
        if bodies.is_empty() {
            return records;
        }
        records += bodies.len();
        bodies.into_iter().for_each(|body| append_record(state, body));
    }
}

/// Removes a target and returns the number of its replica slots.
fn lose_target(state: &mut State, engine: usize) -> usize {
    let name = TargetId::from(format!("engine-{engine}").as_str());
    let lost_slots = state.slots.by_key.values().filter(|slot| slot.target == name).count();
    let target_offset = state.targets.by_name[&name].offset;
    append_record(state, Body::TargetGone { epoch: 1, target: name, target_offset });
    lost_slots
}

pub fn measure() {
    let mut state = state_without_plan();
    let view = View::new(&state.documents);
    let started_at = Instant::now();
    let assigned = plan_until_stable(&mut state, &view);
    println!(
        "planner: {assigned} slots assigned from an empty state in {:.1?}",
        started_at.elapsed()
    );
    let started_at = Instant::now();
    plan_until_stable(&mut state, &view);
    println!("planner: one scan without changes {:.1?}", started_at.elapsed());
    let (mut lost, mut moved) = (0, 0);
    let started_at = Instant::now();
    for engine in 0..HOST_LOSSES {
        lost += lose_target(&mut state, engine);
        moved += plan_until_stable(&mut state, &view);
    }
    let per_loss = started_at.elapsed() / HOST_LOSSES as u32;
    println!(
        "planner: {HOST_LOSSES} hosts lost: {moved} moves, minimum {lost}, {per_loss:.1?} each"
    );
    append_record(&mut state, target_up(ENGINES));
    println!("planner: one host added: {} moves, minimum 0", plan_until_stable(&mut state, &view));
}
