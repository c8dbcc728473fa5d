//! The format of traces: JSON lines, the first of which describes the deployment.
//!
//! Each further line is a call or a fault at a time in milliseconds since the beginning; lines
//! are in order of time. `docs/operators/measures.md` shows the fields.

use corianderstand_derives::derives;
use corianderstand_state::view::View;
use corianderstand_types::names::{AvailabilityZoneId, ModelId, TargetId, WorkspaceId};
use smol_str::SmolStr;
use std::{fs, io, path::Path};

/// An engine.
#[derives(wire)]
pub struct EngineSpec {
    /// Its name.
    pub name: TargetId,
    /// Its availability zone.
    #[serde(rename = "place")]
    pub zone: AvailabilityZoneId,
    /// Its memory.
    pub memory_mib: u64,
    /// Requests that it runs at once.
    pub concurrency: u32,
    /// Accelerators it has.
    pub accelerators: u32,
}

/// A model.
#[derives(wire)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelId,
    /// Memory of a replica.
    pub memory_mib: u64,
    /// Time of a load at full speed.
    pub load_ms: u64,
    /// Time for one token.
    pub token_ms: u64,
    /// Engines that own a slot of it.
    pub slots: Vec<TargetId>,
    /// How much its teams mind a slow cold start.
    pub weight_tail: u32,
    /// How much its teams mind idle accelerator hours.
    pub weight_idle: u32,
}

/// A team.
#[derives(wire)]
pub struct WorkspaceSpec {
    /// Its name.
    pub name: WorkspaceId,
    /// Its guaranteed share in thousandths.
    pub share: u32,
}

/// The weight store.
#[derives(wire)]
#[derive(Copy)]
pub struct StoreSpec {
    /// Loads that may start in a second.
    pub per_second: u32,
    /// Loads that run side by side at full speed.
    pub concurrent: u32,
}

/// The first line: the deployment.
#[derives(wire)]
pub struct Header {
    /// Name of the trace.
    pub trace: SmolStr,
    /// What it shows.
    pub about: SmolStr,
    /// Time of day at which it begins, in seconds since midnight.
    pub begins: u64,
    /// Availability zone of each router.
    pub routers: Vec<AvailabilityZoneId>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Teams.
    pub teams: Vec<WorkspaceSpec>,
    /// The weight store.
    pub store: StoreSpec,
}

/// A call.
#[derives(wire)]
pub struct Call {
    /// Number of the router that it comes through.
    pub router: usize,
    /// Who asks.
    pub team: WorkspaceId,
    /// Which model.
    pub model: ModelId,
    /// Which of its adapters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<SmolStr>,
    /// Tokens of the answer.
    pub tokens: u64,
    /// 0 low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// Time until it must be answered.
    pub deadline_ms: u64,
    /// Session that it continues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
}

/// Something goes wrong.
#[derives(wire)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The host of an engine is reclaimed.
    HostGone(TargetId),
    /// Loads take this many times as long from now on.
    StoreSlower(f64),
    /// Answers of an engine take this many times as long from now on.
    EngineSlower {
        /// Which engine.
        engine: TargetId,
        /// How many times.
        times: f64,
    },
}

/// What a line says.
#[derives(wire)]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// A call comes.
    Call(Call),
    /// Something goes wrong.
    Fault(Fault),
}

/// One line.
#[derives(wire)]
pub struct Line {
    /// Milliseconds since the beginning.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// A trace.
#[derives(data)]
pub struct Trace {
    /// The deployment.
    pub header: Header,
    /// What happens, in order of time.
    pub lines: Vec<Line>,
}

/// A trace that cannot be read.
#[derive(Debug, displaydoc::Display)]
pub enum TraceError {
    /// cannot read the trace ({0}): check the path and its permissions
    Io(io::Error),
    /// line {0} of the trace is not as the format says ({1}): mend it
    Line(usize, serde_json::Error),
    /// the trace is empty: its first line must describe the deployment
    Empty,
    /// line {0} names {1} that the first line does not: add it there
    Unknown(usize, &'static str),
    /// line {0} is earlier than the one before: sort the lines by `at_ms`
    Order(usize),
}

impl std::error::Error for TraceError {}

impl Trace {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// See [`TraceError`].
    pub fn read(path: &Path) -> Result<Self, TraceError> {
        Self::parse(&fs::read_to_string(path).map_err(TraceError::Io)?)
    }

    /// Reads text and checks that all it names is there.
    ///
    /// # Errors
    ///
    /// See [`TraceError`].
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut texts = text.lines();
        let first = texts.next().ok_or(TraceError::Empty)?;
        let header = serde_json::from_str(first).map_err(|error| TraceError::Line(1, error))?;
        let mut trace = Self { header, lines: Vec::new() };
        for (index, text) in texts.enumerate() {
            let number = index + 2;
            let line =
                serde_json::from_str(text).map_err(|error| TraceError::Line(number, error))?;
            trace.check(number, &line)?;
            trace.lines.push(line);
        }
        Ok(trace)
    }

    fn check(&self, number: usize, line: &Line) -> Result<(), TraceError> {
        if self.lines.last().is_some_and(|last| last.at_ms > line.at_ms) {
            return Err(TraceError::Order(number));
        }
        let unknown = |kind| Err(TraceError::Unknown(number, kind));
        match &line.event {
            TraceEvent::Call(call) if call.router >= self.header.routers.len() => {
                unknown("a router")
            }
            TraceEvent::Call(call) if !self.header.models.iter().any(|m| m.name == call.model) => {
                unknown("a model")
            }
            TraceEvent::Fault(Fault::HostGone(engine) | Fault::EngineSlower { engine, .. })
                if !self.header.engines.iter().any(|e| e.name == *engine) =>
            {
                unknown("an engine")
            }
            _ => Ok(()),
        }
    }

    /// The text of the trace.
    pub fn text(&self) -> String {
        let mut text = serde_json::to_string(&self.header).expect("a header is JSON");
        for line in &self.lines {
            text.push('\n');
            text.push_str(&serde_json::to_string(line).expect("a line is JSON"));
        }
        text.push('\n');
        text
    }

    /// Puts settings in the place of what the trace says of models, teams and the store.
    pub fn apply(&mut self, view: &View) {
        for model in &mut self.header.models {
            let Some(settings) = view.models.get(&model.name) else { continue };
            model.memory_mib = settings.memory_mib.0;
            model.load_ms = settings.load_ms.as_millis();
            let teams: Vec<_> =
                view.teams.values().filter(|team| team.models.contains_key(&model.name)).collect();
            let count = teams.len().max(1) as u32;
            if !teams.is_empty() {
                model.weight_tail = teams.iter().map(|t| t.team.weight_tail).sum::<u32>() / count;
                model.weight_idle = teams.iter().map(|t| t.team.weight_idle).sum::<u32>() / count;
            }
        }
        for team in &mut self.header.teams {
            if let Some(settings) = view.teams.get(&team.name) {
                team.share = settings.team.share;
            }
        }
        if !view.models.is_empty() {
            self.header.store.per_second = view.deployment.weight_loads_per_second;
            self.header.store.concurrent = view.deployment.weight_concurrent_loads;
        }
    }
}

impl Trace {
    /// Time for one token of a model.
    pub fn token_ms(&self, model: &ModelId) -> u64 {
        let line = self.header.models.iter().find(|line| line.name == *model);
        line.map_or(0, |line| line.token_ms)
    }
}
