//! Time per scheduling decision by numbers of targets and adapters.

use corianderstand_decide::{
    agent::{Action, Agent, Limits},
    request::{RequestShape, RequestSpec, Requirement, SchedulingConfig},
    router::{Decision, Router, TargetKey},
};
use corianderstand_schema::messages::Load;
use corianderstand_types::{
    clock::{Clock, ManualClock},
    names::ModelId,
    units::Mib,
    weights::Weights,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    hint::black_box,
    time::{Duration, Instant},
};

const ITERATIONS: u32 = 200_000;
/// The fastest repeat is printed, to exclude interference from other processes.
const REPEATS: usize = 5;
const IDLE_LOAD: Load = Load { running: 0, queued: 0, wait_ms: 0 };

struct FixedConfig;

impl SchedulingConfig for FixedConfig {
    fn memory(&self, weights: &Weights) -> Option<Mib> {
        Some(Mib(if weights.adapter.is_some() { 1 } else { 1000 }))
    }

    fn load_time(&self, _: &Weights) -> Duration {
        Duration::from_secs(20)
    }
}

fn request_spec(
    clock: &ManualClock,
    model: usize,
    adapter: Option<usize>,
    prefix: Option<u64>,
) -> RequestSpec {
    let base = Weights::model(format!("model-{model}").as_str().into(), "1".into());
    let adapter = adapter.map(|number| Weights {
        adapter: Some(format!("adapter-{number}").as_str().into()),
        ..base.clone()
    });
    RequestSpec {
        team: "crew".into(),
        requirement: Requirement::Weights { base, adapter },
        urgency: 1,
        deadline: clock.now() + Duration::from_secs(600),
        repeatable: true,
        shape: RequestShape { prefix, ..RequestShape::default() },
    }
}

fn best_time_per_iteration_ns(mut run: impl FnMut(u32)) -> f64 {
    let time = |_| {
        let started_at = Instant::now();
        (0..ITERATIONS).for_each(&mut run);
        started_at.elapsed().as_nanos() as f64 / f64::from(ITERATIONS)
    };
    (0..REPEATS).map(time).fold(f64::MAX, f64::min)
}

/// Measures submitting and finishing a request; each model has replicas on half of the targets.
fn router_cost_ns(targets: usize, models: usize, adapters: usize) -> f64 {
    let clock = ManualClock::default();
    let mut router = Router::new("conce".into(), 1);
    let name = |number: usize| format!("engine-{number}");
    let keys: Vec<TargetKey> = (0..targets)
        .map(|number| router.add_target(&name(number).as_str().into(), &"conce".into()))
        .collect();
    keys.iter().for_each(|key| router.set_connected(*key, true));
    let owners = |model: usize| {
        let owners = keys.iter().skip(model % 2).step_by(2).copied().collect();
        (ModelId::from(format!("model-{model}").as_str()), owners)
    };
    router.set_replica_slot_owners((0..models).map(owners).collect::<BTreeMap<_, _>>());
    let specs: Vec<RequestSpec> = (0..1024)
        .map(|number| {
            request_spec(
                &clock,
                number % models,
                Some(number * 53 % adapters),
                Some(number as u64 * 7919),
            )
        })
        .collect();
    best_time_per_iteration_ns(|iteration| {
        let spec = specs[iteration as usize % specs.len()].clone();
        let (key, decision) = router.submit(clock.now(), spec);
        if let Decision::Send(target) = black_box(decision) {
            black_box(target);
        }
        router.finished(clock.now(), key, Some(IDLE_LOAD));
    })
}

/// Time to admit, start and finish a request at an agent with queued requests and loaded adapters.
fn agent_cost_ns(queued: usize, adapters: usize) -> f64 {
    let clock = ManualClock::default();
    let limits = Limits { concurrency: 16, queue: queued as u32 + 64 };
    let mut agent = Agent::new(limits, Mib(1_000_000));
    agent.set_replica_slots(BTreeSet::from(["model-0".into()]));
    let base = Weights::model("model-0".into(), "1".into());
    let adapter = |number: usize| Weights {
        adapter: Some(format!("adapter-{number}").as_str().into()),
        ..base.clone()
    };
    let loaded = (0..adapters).map(|number| (adapter(number), Mib(1), true));
    agent.rebuild(std::iter::once((base.clone(), Mib(1000), true)).chain(loaded));
    let mut running = std::collections::VecDeque::new();
    let mut next_running = |actions: Vec<Action>| {
        running.extend(actions.into_iter().filter_map(|action| match action {
            Action::Run(key) => Some(key),
            _ => None,
        }));
        running.pop_front()
    };
    for number in 0..queued + 16 {
        let (_, actions) = agent.submit(
            clock.now(),
            request_spec(&clock, 0, Some(number % adapters), None),
            &FixedConfig,
        );
        for action in actions {
            if let Action::Run(_) = action {
                next_running(vec![action]).into_iter().for_each(drop);
            }
        }
    }
    let specs: Vec<RequestSpec> =
        (0..1024).map(|n| request_spec(&clock, 0, Some(n * 53 % adapters), None)).collect();
    best_time_per_iteration_ns(|iteration| {
        let spec = specs[iteration as usize % specs.len()].clone();
        let (_, actions) = agent.submit(clock.now(), spec, &FixedConfig);
        if let Some(key) = next_running(actions) {
            let actions = agent.on_request_finished(clock.now(), key, &FixedConfig);
            next_running(actions);
        }
    })
}

pub fn print() {
    println!("router: submit and finish one request");
    let mut baseline = None;
    for (targets, models, adapters) in [(10, 5, 500), (100, 50, 5_000), (730, 350, 54_000)] {
        let cost = router_cost_ns(targets, models, adapters);
        let baseline = *baseline.get_or_insert(cost);
        println!(
            "  {targets:>4} targets {adapters:>6} adapters  {cost:>7.0} ns  x{:.2}",
            cost / baseline
        );
    }
    println!("agent: admit, start and finish one request");
    let mut baseline = None;
    for (queued, adapters) in [(10, 10), (100, 74), (1000, 740)] {
        let cost = agent_cost_ns(queued, adapters);
        let baseline = *baseline.get_or_insert(cost);
        println!(
            "  {queued:>4} queued {adapters:>6} adapters  {cost:>7.0} ns  x{:.2}",
            cost / baseline
        );
    }
}
