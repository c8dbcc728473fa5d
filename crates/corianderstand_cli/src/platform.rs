//! `router --platform`, `agent --platform` and `check --platform`: the users' platform.

use crate::{Exit, logging};
use corianderstand_forward::{agent, router};
use corianderstand_platform::{Platform, engine, settings};
use corianderstand_types::clock::SystemClock;
use getopts::Matches;
use std::{fmt::Display, sync::Arc};
use tokio::signal::unix::{SignalKind, signal};

/// Runs a router until it is told to stop.
pub fn router() -> Exit {
    run(|fields| {
        let (settings, store) = (fields.router()?, fields.store()?);
        let platform = move |client| Platform::new(client, store);
        router::run(settings, Arc::new(SystemClock), platform, stop()).map_err(Into::into)
    })
}

/// Runs an agent until it is told to stop.
pub fn agent() -> Exit {
    run(|fields| {
        let (settings, addr) = (fields.agent()?, fields.engine()?);
        let holder = settings.name.clone();
        let engine = move |client| engine::Engine::new(client, addr, holder);
        agent::run(settings, Arc::new(SystemClock), engine, stop()).map_err(Into::into)
    })
}

/// Checks settings files of the platform; a file that names an engine is an agent's.
pub fn check(matches: &Matches) -> Exit {
    let mut exit = Exit::Success;
    for path in &matches.free {
        let checked =
            settings::Fields::load_from(path.into()).and_then(|fields| match fields.engine() {
                Ok(_) => fields.agent().map(|_| "an agent's settings"),
                Err(_) => fields.store().and(fields.router()).map(|_| "a router's settings"),
            });
        match checked {
            Ok(what) => println!("{path}: {what}, no fault"),
            Err(error) => {
                eprintln!("{path}: {error}");
                exit = Exit::Fault;
            }
        }
    }
    exit
}

/// Waits for the signal to stop.
async fn stop() {
    tokio::task::spawn_local(reloads());
    match signal(SignalKind::terminate()) {
        Ok(mut term) => {
            term.recv().await;
        }
        Err(error) => {
            tracing::warn!(%error, "the signal to stop cannot be watched");
            std::future::pending::<()>().await;
        }
    }
}

/// Says when the settings file has changed: without a handler the signal would end the process.
async fn reloads() {
    match signal(SignalKind::hangup()) {
        Ok(mut hangups) => {
            while hangups.recv().await.is_some() {
                tracing::info!("told that the settings have changed");
            }
        }
        Err(error) => tracing::warn!(%error, "the signal to reload cannot be watched"),
    }
}

fn run(process: impl FnOnce(&settings::Fields) -> Result<(), Box<dyn std::error::Error>>) -> Exit {
    let fields = match settings::Fields::load() {
        Ok(fields) => fields,
        Err(error) => return fault(&error),
    };
    let log = logging::start_buffered();
    let end = process(&fields);
    drop(log);
    end.map_or_else(|error| fault(&error), |()| Exit::Success)
}

fn fault(error: &dyn Display) -> Exit {
    eprintln!("{error}");
    Exit::Fault
}
