//! `check --config`: checks a configuration of the users' platform before it is sent, and says what it would change.

use crate::Exit;
use corianderstand_fleet::{audit, budget, config, targets};
use corianderstand_forward::{client, dialect, pool};
use corianderstand_platform::{config as documents, entry, settings, store};
use corianderstand_types::clock::SystemClock;
use getopts::Matches;
use serde_json::{Value, json};
use std::{fs, net::SocketAddr, path::Path, rc::Rc, sync::Arc, time::Duration};

/// Time for the store to begin its response, and between two parts of it.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a configuration can't be compared or checked.
#[derive(Debug, displaydoc::Display)]
pub enum ConfigError {
    /// cannot read {0} ({1}): check the path and its permissions
    Unreadable(String, std::io::Error),
    /// {0} is no configuration ({1}): correct it there
    Malformed(String, String),
    /// `{0}` is no address: give an IP address and a port, such as 10.200.1.7:8142
    Address(String),
    /// the configuration in force cannot be read ({0}): check the address, or give a file with --against
    Store(String),
    /// {0}: {1}
    Settings(String, settings::SettingsError),
}

impl std::error::Error for ConfigError {}

/// What was found in one configuration.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    /// Mistakes, entries without effect, limits that contradict each other.
    pub findings: Vec<audit::Finding>,
    /// Differences from the configuration in force, if that was given.
    pub changes: Option<Vec<audit::Change>>,
}

impl Report {
    /// Exit code 0 without findings and 1 with any.
    pub fn exit(&self) -> Exit {
        if self.findings.is_empty() { Exit::Success } else { Exit::Fault }
    }

    /// The report for programs.
    pub fn json(&self) -> Value {
        let severity = |severity| match severity {
            audit::Severity::Error => "error",
            audit::Severity::Warning => "warning",
        };
        let findings = self.findings.iter().map(|finding| {
            json!({
                "severity": severity(finding.severity),
                "path": documents::pointer(finding.place),
                "problem": finding.problem,
                "remedy": finding.remedy,
            })
        });
        let changes = self.changes.as_ref().map(|changes| {
            let changes = changes.iter();
            let changes =
                changes.map(|change| json!({ "entry": change.entry, "change": change.what }));
            changes.collect::<Vec<_>>()
        });
        json!({ "findings": findings.collect::<Vec<_>>(), "changes": changes })
    }

    /// The report for people, a line each.
    pub fn lines(&self) -> Vec<String> {
        let findings = self.findings.iter().map(|finding| {
            let severity = match finding.severity {
                audit::Severity::Error => "error",
                audit::Severity::Warning => "warning",
            };
            let (path, problem) = (documents::pointer(finding.place), &finding.problem);
            format!("{severity} at {path}: {problem}; {}", finding.remedy)
        });
        let mut lines: Vec<String> = findings.collect();
        if lines.is_empty() {
            lines.push("no faults found".into());
        }
        match self.changes.as_deref() {
            None => {}
            Some([]) => lines.push("changes nothing that is in force".into()),
            Some(changes) => {
                lines.extend(
                    changes
                        .iter()
                        .map(|change| format!("would change {}: {}", change.entry, change.what)),
                );
            }
        }
        lines
    }
}

/// Runs the command.
pub fn run(matches: &Matches) -> Exit {
    let [path] = matches.free.as_slice() else {
        eprintln!("--config checks one file: give its path");
        return Exit::Usage;
    };
    match report(Path::new(path), matches) {
        Ok(report) => {
            if matches.opt_present("json") {
                println!("{}", report.json());
            } else {
                report.lines().iter().for_each(|line| println!("{line}"));
            }
            report.exit()
        }
        Err(error) => {
            eprintln!("{error}");
            match error {
                ConfigError::Malformed(..) => Exit::Fault,
                ConfigError::Unreadable(..)
                | ConfigError::Address(_)
                | ConfigError::Settings(..) => Exit::Usage,
                ConfigError::Store(_) => Exit::Unreachable,
            }
        }
    }
}

fn report(path: &Path, matches: &Matches) -> Result<Report, ConfigError> {
    let cfg = read(path)?;
    let mut deployment = audit::deployment::Deployment::default();
    if let Some(path) = matches.opt_str("settings") {
        deployment.allowance = Some(read_allowance(path)?);
    }
    let in_force = match (matches.opt_str("against"), matches.opt_str("against-store")) {
        (Some(file), _) => Some(read(Path::new(&file))?),
        (None, Some(addr)) => {
            let (in_force, targets) = read_from_store(&addr)?;
            deployment.targets = Some(targets);
            Some(in_force)
        }
        (None, None) => None,
    };
    Ok(check(&cfg, in_force.as_ref(), &deployment))
}

/// Checks a configuration, against what is known of its deployment, and compares it with the one in force.
pub fn check(
    cfg: &config::Config,
    in_force: Option<&config::Config>,
    deployment: &audit::deployment::Deployment,
) -> Report {
    let changes = in_force.map(|before| audit::compare(before, cfg));
    let mut findings = audit::audit(cfg);
    findings.extend(audit::deployment::audit(cfg, deployment));
    findings.sort_by_key(|finding| (finding.severity, finding.place));
    Report { findings, changes }
}

/// Reads the retry budget from a router's settings.
pub fn read_allowance(path: String) -> Result<budget::Allowance, ConfigError> {
    let fields = settings::Fields::load_from(path.clone().into());
    let router = fields.and_then(|fields| fields.router());
    let router = router.map_err(|error| ConfigError::Settings(path, error))?;
    Ok(router.bounds.allowance)
}

/// Reads a configuration from a file.
pub fn read(path: &Path) -> Result<config::Config, ConfigError> {
    let name = path.display().to_string();
    let text = fs::read(path).map_err(|error| ConfigError::Unreadable(name.clone(), error))?;
    documents::parse(&text).map_err(|error| ConfigError::Malformed(name, error))
}

/// Reads the configuration in force and the registered targets.
fn read_from_store(addr: &str) -> Result<(config::Config, Vec<targets::Entry>), ConfigError> {
    let addr: SocketAddr = addr.parse().map_err(|_| ConfigError::Address(addr.into()))?;
    let failed = |error: &dyn std::fmt::Display| ConfigError::Store(error.to_string());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| failed(&error))?;
    let client = client::Client::new(Rc::new(pool::Pool::default()), Arc::new(SystemClock));
    let store = store::Store::new(client, addr);
    let options = dialect::ReadOptions {
        long_poll_wait: Duration::ZERO,
        idle_timeout: STORE_TIMEOUT,
        last_received: client::LastReceived::default(),
    };
    let read = |subject| {
        let reading = store.newest(subject, &options);
        tokio::task::LocalSet::new().block_on(&runtime, reading).map_err(|error| failed(&error))
    };
    let cfg = decode_config(&read(dialect::Subject::Config)?)?;
    Ok((cfg, decode_targets(&read(dialect::Subject::Targets)?)))
}

fn decode_config(page: &dialect::Page) -> Result<config::Config, ConfigError> {
    for record in &page.records {
        match documents::decode(record) {
            Ok(Some(dialect::Update::Config(cfg))) => return Ok((*cfg).clone()),
            Ok(_) => {}
            Err(error) => return Err(ConfigError::Store(error)),
        }
    }
    Err(ConfigError::Store("the store holds none".into()))
}

/// The targets; entries of other writers that cannot be read name none.
fn decode_targets(page: &dialect::Page) -> Vec<targets::Entry> {
    let updates = page.records.iter().map(entry::decode);
    let targets = updates.filter_map(|update| match update {
        Ok(Some(dialect::Update::Target(entry))) => Some(entry),
        Ok(_) => None,
        Err(error) => {
            eprintln!("an entry of a target cannot be read and is left out: {error}");
            None
        }
    });
    targets.collect()
}
