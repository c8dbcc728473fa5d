//! Stated outcomes of the committed and generated traces, for callers and for both measures.

use corianderstand_replay::{
    bounds, generate,
    outcome::Outcome,
    replay,
    strategies::{FIXED_KEEP_ALIVE, Strategy},
    trace::Trace,
};
use rstest::rstest;
use std::path::{Path, PathBuf};

fn committed(name: &str) -> Trace {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    Trace::read(&dir.join(format!("{name}.jsonl"))).expect("the trace is committed")
}

fn run_standard(trace: &Trace) -> Outcome {
    replay::run(trace, &Strategy::standard())
}

/// The generator and the committed traces must not part ways.
#[rstest]
fn committed_traces_match_the_generator() {
    for trace in generate::committed() {
        assert_eq!(committed(&trace.header.trace), trace);
    }
}

/// Whatever happens in a trace, nobody's deadline passes without an answer.
#[rstest]
fn every_call_is_answered_by_its_deadline(#[files("../../traces/*.jsonl")] path: PathBuf) {
    let trace = Trace::read(&path).expect("the trace is committed");
    for strategy in [Strategy::standard(), Strategy::uncoordinated()] {
        let outcome = replay::run(&trace, &strategy);
        assert_eq!(outcome.unanswered, 0, "{}", strategy.name);
        assert_eq!(
            outcome.served + outcome.given_up + outcome.late + outcome.broken,
            outcome.calls
        );
    }
}

/// First requests for sixteen cold models come through three routers within 90 s. Each model is
/// loaded once; loaded twice, the last crews would wait for the store twice as long.
#[rstest]
#[case::coordinated(Strategy::standard())]
#[case::uncoordinated(Strategy::uncoordinated())]
fn a_cold_burst_loads_each_model_once(#[case] strategy: Strategy) {
    let trace = committed("crew-morning");
    let outcome = replay::run(&trace, &strategy);
    assert_eq!(outcome.loads, 16);
    assert_eq!(outcome.served, outcome.calls);
    let bound = bounds::store_wait(&trace).as_millis() as u64;
    assert!(outcome.cold_p99_ms * 100 <= bound * 140, "{} of {bound}", outcome.cold_p99_ms);
}

/// A host is reclaimed while its engine loads. Its callers are served elsewhere.
#[rstest]
fn no_call_fails_after_a_host_loss() {
    let outcome = run_standard(&committed("reclaimed-host"));
    assert_eq!((outcome.served, outcome.late), (outcome.calls, 0));
}

/// The weight store is four times slower than stated. Callers come back when told and nearly all
/// are served; loading each model at a second owner too would leave a third without.
#[rstest]
fn a_slow_store_gets_no_duplicate_loads() {
    let outcome = run_standard(&committed("slow-store"));
    assert_eq!(outcome.loads, 16);
    assert!(outcome.served * 100 >= outcome.calls * 98, "{}", outcome.served);
}

/// Quiet nights with habits: fewer cold wakes than a fixed time of 160 minutes, for less than
/// half of its idle hours, if the team minds cold starts.
#[rstest]
fn learned_keep_alive_halves_idle_hours() {
    let trace = committed("quiet-nights");
    let standard = replay::run(&trace, &Strategy::with_cost_factors(80, 20));
    let fixed = replay::run(&trace, &Strategy::fixed_keep_alive(FIXED_KEEP_ALIVE * 16));
    assert!(standard.cold_mean_ms <= fixed.cold_mean_ms);
    assert!(standard.idle_hours * 2.0 <= fixed.idle_hours);
}

/// Ten times more calls come than can be served. As many are answered in time as at the limit;
/// first come first served, nearly all run too late.
#[rstest]
fn goodput_stays_flat_in_overload() {
    let minute = 3;
    let goodput = |load_factor, strategy: &Strategy| {
        let outcome = replay::run(&generate::overload(1, load_factor), strategy);
        assert_eq!(outcome.unanswered, 0);
        outcome.served_by_minute.get(&minute).copied().unwrap_or(0)
    };
    let best = goodput(2.0, &Strategy::standard());
    let at_ten = goodput(10.0, &Strategy::standard());
    let fifo = goodput(10.0, &Strategy::fifo());
    println!("served in a minute: {best} at twice, {at_ten} at ten times, fcfs {fifo}");
    assert!(at_ten * 100 >= best * 95, "{at_ten} against {best}");
    assert!(fifo * 2 < at_ten);
}

/// One team floods a model with urgent calls. The other, owed 60 in 100, is never below its
/// share for longer than one run takes; first come first served it was for ten times as long.
#[rstest]
fn a_flood_does_not_starve_another_team() {
    let trace = generate::flood(1);
    let longest =
        |strategy: &Strategy| replay::run(&trace, strategy).longest_share_deficit_ms["crews"];
    let (standard, fifo) = (longest(&Strategy::standard()), longest(&Strategy::fifo()));
    println!("longest below share: {standard} ms, fcfs {fifo} ms");
    assert!(standard <= 2000, "{standard}");
    assert!(fifo > standard * 5, "{fifo}");
}

/// A trace that is not as the format says is refused with the line and what to do.
#[rstest]
#[case::empty("", "first line")]
#[case::not_json("{", "line 1")]
fn an_invalid_trace_error_names_its_line(#[case] text: &str, #[case] names: &str) {
    let error = Trace::parse(text).expect_err("the trace is invalid").to_string();
    assert!(error.contains(names), "{error}");
}
