//! `replay`: runs a trace through the scheduler and prints the outcome.

use crate::{Exit, directory};
use corianderstand_replay::{replay, report::Report, strategies::Strategy, trace::Trace};
use corianderstand_state::{
    documents::{Document, Documents},
    view::View,
};
use getopts::Matches;
use std::path::Path;

pub fn run(matches: &Matches) -> Exit {
    let mut trace = match Trace::read(Path::new(&matches.free[0])) {
        Ok(trace) => trace,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Fault;
        }
    };
    if let Some(dir) = matches.opt_str("settings") {
        match view(Path::new(&dir)) {
            Ok(view) => trace.apply(&view),
            Err(exit) => return exit,
        }
    }
    let strategies =
        if matches.opt_present("compare") { Strategy::all() } else { vec![Strategy::standard()] };
    let outcomes = strategies.iter().map(|strategy| replay::run(&trace, strategy)).collect();
    let report = Report::new(&trace, outcomes);
    if matches.opt_present("json") {
        println!("{}", report.json());
    } else {
        print!("{}", report.table());
    }
    Exit::Success
}

fn view(dir: &Path) -> Result<View, Exit> {
    let (read, errors) = directory::read(dir);
    for error in &errors {
        eprintln!("{error}");
    }
    if !errors.is_empty() {
        return Err(Exit::Fault);
    }
    let mut documents = Documents::default();
    for (path, value) in read {
        let document =
            Document { version: 1, text: value.to_string().into(), author: "replay".into() };
        documents.by_path.insert(path.into(), document);
    }
    Ok(View::new(&documents))
}
