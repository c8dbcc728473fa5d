//! Trace format: JSON lines, with a header that describes the deployment.
//!
//! Each further line is a call or a fault with its time in milliseconds, in order of time.

use corianderstand_derives::derives;
use corianderstand_state::view::View;
use corianderstand_types::names::{AvailabilityZoneId, ModelId, TargetId, WorkspaceId};
use smol_str::SmolStr;
use std::{fs, io, path::Path};

/// An engine of the deployment.
#[derives(wire)]
pub struct EngineSpec {
    /// Its name.
    pub name: TargetId,
    /// Its availability zone.
    #[serde(rename = "place")]
    pub zone: AvailabilityZoneId,
    /// Engine memory.
    pub memory_mib: u64,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// A model and its costs.
#[derives(wire)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelId,
    /// Memory of one replica.
    pub memory_mib: u64,
    /// Load time at full store speed.
    pub load_ms: u64,
    /// Time per generated token.
    pub token_ms: u64,
    /// Engines that own a replica slot.
    pub slots: Vec<TargetId>,
    /// Cost factor of cold starts.
    pub weight_tail: u32,
    /// Cost factor of idle accelerator hours.
    pub weight_idle: u32,
}

/// A team and its share.
#[derives(wire)]
pub struct WorkspaceSpec {
    /// Its name.
    pub name: WorkspaceId,
    /// Guaranteed share in thousandths.
    pub share: u32,
}

/// Limits of the weight store.
#[derives(wire)]
#[derive(Copy)]
pub struct StoreSpec {
    /// Maximum load starts per second.
    pub per_second: u32,
    /// Maximum concurrent loads at full speed.
    pub concurrent: u32,
}

/// First line of a trace: the deployment.
#[derives(wire)]
pub struct Header {
    /// Name of the trace.
    pub trace: SmolStr,
    /// What the trace shows.
    pub about: SmolStr,
    /// Start time in seconds since midnight.
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

/// A call to a model.
#[derives(wire)]
pub struct Call {
    /// Index of the router that receives it.
    pub router: usize,
    /// Calling team.
    pub team: WorkspaceId,
    /// Requested model.
    pub model: ModelId,
    /// Requested adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<SmolStr>,
    /// Number of tokens to generate.
    pub tokens: u64,
    /// 0 is low, 1 normal, 2 urgent.
    pub urgency: u8,
    /// Time allowed for each attempt.
    pub deadline_ms: u64,
    /// Session that the call continues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
}

/// An injected fault.
#[derives(wire)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The host of an engine is reclaimed.
    HostGone(TargetId),
    /// Loads take this many times as long from here on.
    StoreSlower(f64),
    /// Responses of an engine take this many times as long from here on.
    EngineSlower {
        /// Affected engine.
        engine: TargetId,
        /// Slowdown factor.
        times: f64,
    },
}

/// Content of a trace line.
#[derives(wire)]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// A caller sends a request.
    Call(Call),
    /// A fault occurs.
    Fault(Fault),
}

/// One line after the header.
#[derives(wire)]
pub struct Line {
    /// Milliseconds since the start of the trace.
    pub at_ms: u64,
    /// Call or fault.
    #[serde(flatten)]
    pub event: TraceEvent,
}

/// A parsed trace.
#[derives(data)]
pub struct Trace {
    /// Deployment.
    pub header: Header,
    /// Calls and faults in order of time.
    pub lines: Vec<Line>,
}

/// Error from reading a trace.
#[derive(Debug, displaydoc::Display)]
pub enum TraceError {
    /// cannot read the trace ({0}): check the path and its permissions
    Io(io::Error),
    /// line {0} of the trace is invalid ({1}): correct it
    Line(usize, serde_json::Error),
    /// the trace is empty: its first line must describe the deployment
    Empty,
    /// line {0} refers to {1} missing from the first line: add it there
    Unknown(usize, &'static str),
    /// line {0} is earlier than the one before: sort the lines by `at_ms`
    Order(usize),
}

impl std::error::Error for TraceError {}

impl Trace {
    /// Reads a trace file.
    pub fn read(path: &Path) -> Result<Self, TraceError> {
        Self::parse(&fs::read_to_string(path).map_err(TraceError::Io)?)
    }

    /// Parses a trace and checks its references and order.
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

    /// Serializes the trace.
    pub fn text(&self) -> String {
        let mut text = serde_json::to_string(&self.header).expect("a header is JSON");
        for line in &self.lines {
            text.push('\n');
            text.push_str(&serde_json::to_string(line).expect("a line is JSON"));
        }
        text.push('\n');
        text
    }

    /// Overrides models, teams and store limits with values from the settings.
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
    /// Time per generated token of a model.
    pub fn token_ms(&self, model: &ModelId) -> u64 {
        let spec = self.header.models.iter().find(|spec| spec.name == *model);
        spec.map_or(0, |spec| spec.token_ms)
    }
}
