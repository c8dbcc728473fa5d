//! `router`, `agent` and `hash-key`.

use crate::{Exit, check, directory, logging};
use corianderstand_router::auth::Hasher;
use corianderstand_schema::{
    check::Document,
    process::{AgentSettings, RouterSettings},
};
use corianderstand_types::clock::{SharedClock, SystemClock};
use getopts::Matches;
use serde::de::DeserializeOwned;
use std::{
    io::Read,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::signal::unix::{SignalKind, signal};

fn settings<T: DeserializeOwned>(kind: Document, matches: &Matches) -> Result<T, Exit> {
    let path = Path::new(&matches.free[0]);
    let value = directory::read_file(path).map_err(|error| {
        eprintln!("{error}");
        Exit::Unreachable
    })?;
    let faults = check::process_faults(kind, path, &value);
    for fault in &faults {
        eprintln!("{fault}");
    }
    if !faults.is_empty() {
        return Err(Exit::Fault);
    }
    serde_json::from_value(value).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        Exit::Fault
    })
}

fn clock() -> SharedClock {
    Arc::new(SystemClock)
}

/// Waits for the first SIGTERM or SIGINT. A second one exits at once.
fn wait_for_stop(in_flight: Arc<AtomicUsize>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let signals = runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).expect("signal handlers can be installed");
        let mut interrupt =
            signal(SignalKind::interrupt()).expect("signal handlers can be installed");
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        (term, interrupt)
    });
    std::thread::spawn(move || {
        let (mut term, mut interrupt) = signals;
        runtime.block_on(async {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        let aborted = in_flight.load(Ordering::Relaxed);
        tracing::warn!(
            cut = aborted,
            "second signal: exiting at once and aborting requests in flight"
        );
        std::process::exit(Exit::Fault as i32);
    });
}

pub fn router(matches: &Matches) -> Exit {
    run(Document::Router, matches, |settings: RouterSettings| {
        let handle = corianderstand_router::start(settings, clock())?;
        wait_for_stop(handle.in_flight());
        handle.drain();
        handle.join();
        Ok::<(), corianderstand_router::RouterError>(())
    })
}

pub fn agent(matches: &Matches) -> Exit {
    run(Document::Agent, matches, |settings: AgentSettings| {
        let handle = corianderstand_agent::start(settings, clock())?;
        wait_for_stop(handle.in_flight());
        handle.drain();
        handle.join();
        Ok::<(), corianderstand_agent::AgentError>(())
    })
}

fn run<S: DeserializeOwned, E: std::fmt::Display>(
    kind: Document,
    matches: &Matches,
    process: impl FnOnce(S) -> Result<(), E>,
) -> Exit {
    let settings = match settings(kind, matches) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    logging::start();
    match process(settings) {
        Ok(()) => Exit::Success,
        Err(error) => {
            eprintln!("{error}");
            Exit::Fault
        }
    }
}

pub fn hash_key(matches: &Matches) -> Exit {
    let settings: RouterSettings = match settings(Document::Router, matches) {
        Ok(settings) => settings,
        Err(exit) => return exit,
    };
    let mut key = String::new();
    let hasher = Hasher::new(&settings.auth_key);
    match (std::io::stdin().read_to_string(&mut key), hasher) {
        (Ok(_), Ok(hasher)) => {
            println!("{}", hasher.hash(key.trim()));
            Exit::Success
        }
        _ => Exit::Fault,
    }
}
