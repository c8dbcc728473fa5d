//! Offline measurements for maintainers.
//!
//! `measure traces DIR` writes the committed traces, `measure compare [NAME…]` replays generated
//! traces under all strategies, `measure curve FILE.svg` draws cold-start latency against idle
//! hours, and `measure cost` times one scheduling decision.

mod cost;
mod curve;

use corianderstand_replay::{generate, replay, report::Report, strategies::Strategy, trace::Trace};
use std::{env, fs, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["traces", dir] => traces(Path::new(dir)),
        ["compare", names @ ..] => compare(names),
        ["curve", file] => curve::draw(Path::new(file)),
        ["cost"] => cost::print(),
        _ => {
            eprintln!("measure traces DIR | compare [NAME…] | curve FILE.svg | cost");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

fn traces(dir: &Path) {
    for trace in generate::committed() {
        let path = dir.join(format!("{}.jsonl", trace.header.trace));
        fs::write(&path, trace.text()).expect("the directory is writable");
        println!("{} {} lines", path.display(), trace.lines.len());
    }
}

fn compare(names: &[&str]) {
    let others = [
        generate::overload(1, 1.0),
        generate::overload(1, 3.0),
        generate::overload(1, 10.0),
        generate::slow_engine(1),
        generate::flood(1),
    ];
    let all: Vec<Trace> = generate::committed().into_iter().chain(others).collect();
    let selected =
        |trace: &&Trace| names.is_empty() || names.contains(&trace.header.trace.as_str());
    for trace in all.iter().filter(selected) {
        let outcomes: Vec<_> =
            Strategy::all().iter().map(|strategy| replay::run(trace, strategy)).collect();
        for outcome in &outcomes {
            if !outcome.longest_share_deficit_ms.is_empty() {
                println!(
                    "{}: longest below share {:?}",
                    outcome.strategy, outcome.longest_share_deficit_ms
                );
            }
        }
        println!("{}", Report::new(trace, outcomes).table());
    }
}
