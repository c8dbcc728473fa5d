//! `router`, `agent` and `check` with `--platform`.

use crate::{Exit, directory, logging};
use corianderstand_fleet::features;
use corianderstand_forward::{agent, router};
use corianderstand_platform::{Platform, engine, settings};
use corianderstand_schema::check::{self, Document};
use corianderstand_types::clock::SystemClock;
use getopts::Matches;
use std::{
    fmt::Display,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Runs a router, with the features that `--features` names, if it is given.
pub fn router(matches: &Matches) -> Exit {
    let features = matches.opt_str("features").map(PathBuf::from);
    run(|fields| {
        let mut settings = fields.router()?;
        if let Some(path) = &features {
            settings.bounds.features = read_features(path)?;
        }
        let store = fields.store()?;
        let platform = move |client| Platform::new(client, store);
        let reload = SettingsFile::new(settings.clone(), features);
        router::run(settings, Arc::new(SystemClock), platform, stop(), reload).map_err(Into::into)
    })
}

pub fn agent() -> Exit {
    run(|fields| {
        let (settings, addr) = (fields.agent()?, fields.engine()?);
        let holder = settings.name.clone();
        let engine = move |client| engine::Engine::new(client, addr, holder);
        let clock = Arc::new(SystemClock);
        agent::run(settings, clock, engine, stop_and_log_reloads()).map_err(Into::into)
    })
}

/// Checks settings files of the platform; those with an engine address belong to agents.
pub fn check(matches: &Matches) -> Exit {
    let mut exit = Exit::Success;
    for path in &matches.free {
        let checked =
            settings::Fields::load_from(path.into()).and_then(|fields| match fields.engine() {
                Ok(_) => fields.agent().map(|_| "an agent's settings"),
                Err(_) => fields.store().and(fields.router()).map(|_| "a router's settings"),
            });
        match checked {
            Ok(kind) => println!("{path}: {kind}, no fault"),
            Err(error) => {
                eprintln!("{path}: {error}");
                exit = Exit::Fault;
            }
        }
    }
    exit
}

const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Why features cannot be used.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
enum FeaturesError {
    /// {0}
    Unreadable(String),
    /// {path}: {faults}
    Invalid {
        /// The file.
        path: String,
        /// Its violations of the schema, with remedies.
        faults: String,
    },
}

impl std::error::Error for FeaturesError {}

/// Reads a file of features and checks it.
fn read_features(path: &Path) -> Result<features::Features, FeaturesError> {
    let value =
        directory::read_file(path).map_err(|error| FeaturesError::Unreadable(error.to_string()))?;
    let faults = check::check(Document::Features, &value);
    let invalid = |faults| FeaturesError::Invalid { path: path.display().to_string(), faults };
    if !faults.is_empty() {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return Err(invalid(faults.join("; ")));
    }
    serde_json::from_value(value).map_err(|error| invalid(error.to_string()))
}

/// A router's settings file and its features, reloaded on SIGHUP and periodically.
struct SettingsFile {
    active: router::Settings,
    features: Option<PathBuf>,
    /// Last reported error, to log each error once.
    fault: Option<String>,
    hangup_signal: Option<Signal>,
}

impl SettingsFile {
    const fn new(active: router::Settings, features: Option<PathBuf>) -> Self {
        Self { active, features, fault: None, hangup_signal: None }
    }

    fn read(&self) -> Result<router::Settings, String> {
        let fields = settings::Fields::load();
        let settings = fields.and_then(|fields| fields.router());
        let mut settings = settings.map_err(|error| error.to_string())?;
        if let Some(path) = &self.features {
            settings.bounds.features = read_features(path).map_err(|error| error.to_string())?;
        }
        Ok(settings)
    }

    /// Returns the settings if they have changed. An invalid file keeps the active settings.
    fn poll(&mut self) -> Option<router::Settings> {
        match self.read() {
            Ok(settings) => {
                self.fault = None;
                let differs = settings != self.active;
                differs.then(|| self.active.clone_from(&settings))?;
                Some(settings)
            }
            Err(fault) => {
                if self.fault.as_ref() != Some(&fault) {
                    tracing::error!(%fault, "the settings have a fault: those in force stay");
                    self.fault = Some(fault);
                }
                None
            }
        }
    }
}

impl router::Reload for SettingsFile {
    fn start(&mut self) {
        self.hangup_signal = watch_hangup();
    }

    async fn next(&mut self) -> router::Settings {
        loop {
            tokio::select! {
                () = wait_for_hangup(self.hangup_signal.as_mut()) => {
                    tracing::info!("SIGHUP received: reloading the settings");
                }
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
            }
            if let Some(settings) = self.poll() {
                return settings;
            }
        }
    }
}

/// Installs the SIGHUP handler, without which the signal would end the process.
fn watch_hangup() -> Option<Signal> {
    let hangup_signal = signal(SignalKind::hangup());
    hangup_signal
        .inspect_err(|error| tracing::warn!(%error, "cannot install the SIGHUP handler"))
        .ok()
}

async fn wait_for_hangup(hangup_signal: Option<&mut Signal>) {
    match hangup_signal {
        Some(hangup_signal) => {
            hangup_signal.recv().await;
        }
        None => std::future::pending().await,
    }
}

async fn stop() {
    match signal(SignalKind::terminate()) {
        Ok(mut term) => {
            term.recv().await;
        }
        Err(error) => {
            tracing::warn!(%error, "cannot install the SIGTERM handler");
            std::future::pending::<()>().await;
        }
    }
}

/// Waits for SIGTERM. Agents apply changed settings at their next start only.
async fn stop_and_log_reloads() {
    let mut hangup_signal = watch_hangup();
    let log_reloads = async {
        loop {
            wait_for_hangup(hangup_signal.as_mut()).await;
            tracing::info!("SIGHUP received: changed settings apply at the next start");
        }
    };
    tokio::select! {
        () = stop() => {}
        () = log_reloads => {}
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
