//! Expected outcomes of committed and generated traces.

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

#[rstest]
fn committed_traces_match_the_generator() {
    for trace in generate::committed() {
        assert_eq!(committed(&trace.header.trace), trace);
    }
}

/// Guards against a call that never receives a response.
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

/// Duplicate loads would double the store wait of the last callers.
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

#[rstest]
fn no_call_fails_after_a_host_loss() {
    let outcome = run_standard(&committed("reclaimed-host"));
    assert_eq!((outcome.served, outcome.late), (outcome.calls, 0));
}

/// Loading each model on a second owner as well would leave a third of the calls unserved.
#[rstest]
fn a_slow_store_gets_no_duplicate_loads() {
    let outcome = run_standard(&committed("slow-store"));
    assert_eq!(outcome.loads, 16);
    assert!(outcome.served * 100 >= outcome.calls * 98, "{}", outcome.served);
}

/// Compares with a fixed keep-alive of 160 minutes.
#[rstest]
fn learned_keep_alive_halves_idle_hours() {
    let trace = committed("quiet-nights");
    let standard = replay::run(&trace, &Strategy::with_cost_factors(80, 20));
    let fixed = replay::run(&trace, &Strategy::fixed_keep_alive(FIXED_KEEP_ALIVE * 16));
    assert!(standard.cold_mean_ms <= fixed.cold_mean_ms);
    assert!(standard.idle_hours * 2.0 <= fixed.idle_hours);
}

/// Under overload, FIFO scheduling would spend nearly all capacity on requests that are too late.
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

/// Without shares, urgent calls of one team would delay another for several request durations.
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

#[rstest]
#[case::empty("", "first line")]
#[case::not_json("{", "line 1")]
fn an_invalid_trace_error_names_its_line(#[case] text: &str, #[case] names: &str) {
    let error = Trace::parse(text).expect_err("the trace is invalid").to_string();
    assert!(error.contains(names), "{error}");
}
