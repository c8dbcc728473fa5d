//! Runs the rhai scenarios in `scenarios/decide/`, which compare strategies on generated traces.

use corianderstand_replay::{
    bounds, generate, replay,
    strategies::{FIXED_KEEP_ALIVE, Strategy},
    trace::Trace,
};
use rhai::{Engine, EvalAltResult, Map};
use rstest::rstest;
use std::path::PathBuf;

type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

fn trace(name: &str) -> ScriptResult<Trace> {
    let others = [generate::slow_engine(1), generate::flood(1), generate::overload(1, 10.0)];
    let mut all = generate::committed().into_iter().chain(others);
    Ok(all.find(|trace| trace.header.trace == name).ok_or("unknown trace")?)
}

fn strategy(name: &str) -> ScriptResult<Strategy> {
    Ok(match name {
        "ours" => Strategy::standard(),
        "alone" => Strategy::uncoordinated(),
        "fixed" => Strategy::fixed_keep_alive(FIXED_KEEP_ALIVE),
        "lru" => Strategy::lru_eviction(),
        "fcfs" => Strategy::fifo(),
        "random" => Strategy::random_placement(),
        _ => return Err("unknown strategy".into()),
    })
}

fn outcome(name: &str, strategy_name: &str) -> ScriptResult<Map> {
    let trace = trace(name)?;
    let outcome = replay::run(&trace, &strategy(strategy_name)?);
    let numbers = [
        ("calls", outcome.calls),
        ("served", outcome.served),
        ("given_up", outcome.given_up),
        ("late", outcome.late),
        ("silent", outcome.unanswered),
        ("loads", outcome.loads),
        ("cold", outcome.cold),
        ("cold_p99_ms", outcome.cold_p99_ms),
        ("start_p99_ms", outcome.start_p99_ms),
        ("bound_ms", bounds::store_wait(&trace).as_millis() as u64),
    ];
    let mut map: Map = numbers.into_iter().map(|(k, v)| (k.into(), (v as i64).into())).collect();
    map.insert("idle_hours".into(), outcome.idle_hours.into());
    Ok(map)
}

fn check(holds: bool, description: &str) -> ScriptResult<()> {
    if holds { Ok(()) } else { Err(format!("check failed: {description}").into()) }
}

#[rstest]
fn scenario(#[files("../../scenarios/decide/*.rhai")] path: PathBuf) {
    let mut engine = Engine::new();
    engine.register_fn("outcome", outcome).register_fn("check", check);
    if let Err(error) = engine.run_file(path) {
        panic!("{error}");
    }
}
