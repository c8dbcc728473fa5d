//! Parsed settings, indexed for lookup.

use crate::documents::Documents;
use corianderstand_derives::derives;
use corianderstand_schema::{
    check::{self, Document, Violation},
    settings,
};
use corianderstand_types::names::{ModelId, ServiceId, WorkspaceId};
use serde_json::Value;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Settings of one team.
#[derives(data)]
pub struct TeamView {
    /// The team's own document.
    pub team: settings::Team,
    /// Models that it may call.
    pub models: BTreeMap<ModelId, settings::TeamModel>,
    /// Plain services that it may call.
    pub services: BTreeMap<ServiceId, settings::TeamService>,
}

/// Combined demand of all teams for one model.
#[derives(data)]
#[derive(Copy, Default)]
pub struct Demand {
    /// Total replicas allowed.
    pub replicas: u32,
    /// Teams that may call the model.
    pub teams: u32,
    /// Sum of the teams' weights for cold-start latency.
    pub weight_tail: u32,
    /// Sum of the teams' weights for idle accelerator hours.
    pub weight_idle: u32,
}

/// All current settings.
#[derives(data)]
#[derive(Default)]
pub struct View {
    /// Version of the documents that the view was built from.
    pub version: u64,
    /// Deployment-wide settings.
    pub deployment: settings::Deployment,
    /// Models by name.
    pub models: BTreeMap<ModelId, settings::Model>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, settings::Service>,
    /// Teams by name.
    pub teams: BTreeMap<WorkspaceId, TeamView>,
    /// Team that owns each API key hash.
    pub keys: BTreeMap<SmolStr, WorkspaceId>,
    /// Combined demand for each model.
    pub demands: BTreeMap<ModelId, Demand>,
    /// Sum of all teams' shares.
    pub total_shares: u32,
}

/// Kind of document at a settings path.
#[derives(data)]
#[derive(Eq)]
pub enum PathKind {
    /// `system/deployment`.
    Deployment,
    /// `shared/models/{model}`.
    Model(ModelId),
    /// `shared/services/{service}`.
    Service(ServiceId),
    /// `teams/{team}/team`.
    Team(WorkspaceId),
    /// `teams/{team}/models/{model}`.
    TeamModel(WorkspaceId, ModelId),
    /// `teams/{team}/services/{service}`.
    TeamService(WorkspaceId, ServiceId),
}

impl PathKind {
    /// Parses a path; `None` if it names no document.
    pub fn parse(path: &str) -> Option<Self> {
        let parts: Vec<&str> = path.split('/').collect();
        match parts.as_slice() {
            ["system", "deployment"] => Some(Self::Deployment),
            ["shared", "models", model] => Some(Self::Model(ModelId::new(model).ok()?)),
            ["shared", "services", name] => Some(Self::Service(ServiceId::new(name).ok()?)),
            ["teams", team, "team"] => Some(Self::Team(WorkspaceId::new(team).ok()?)),
            ["teams", team, "models", model] => {
                Some(Self::TeamModel(WorkspaceId::new(team).ok()?, ModelId::new(model).ok()?))
            }
            ["teams", team, "services", name] => {
                Some(Self::TeamService(WorkspaceId::new(team).ok()?, ServiceId::new(name).ok()?))
            }
            _ => None,
        }
    }

    /// Schema of documents at this path.
    pub const fn document(&self) -> Document {
        match self {
            Self::Deployment => Document::Deployment,
            Self::Model(_) => Document::Model,
            Self::Service(_) => Document::Service,
            Self::Team(_) => Document::Team,
            Self::TeamModel(..) => Document::TeamModel,
            Self::TeamService(..) => Document::TeamService,
        }
    }
}

/// Validates one document and returns all violations.
pub fn check_document(path: &str, value: &Value) -> Vec<Violation> {
    match PathKind::parse(path) {
        Some(kind) => check::check(kind.document(), value),
        None => vec![Violation {
            path: "/".into(),
            problem: format!("no document belongs at `{path}`"),
            remedy: "use one of the paths in the settings reference in docs/operators".into(),
        }],
    }
}

impl View {
    /// Builds the view, skipping documents that do not parse: a newer schema may reject an old one.
    pub fn new(documents: &Documents) -> Self {
        let mut view = Self { version: documents.version, ..Self::default() };
        for (path, doc) in &documents.by_path {
            if let Some(kind) = PathKind::parse(path) {
                view.add(kind, &doc.text);
            }
        }
        view.add_team_documents(documents);
        view.sum_demands();
        view
    }

    fn add(&mut self, kind: PathKind, text: &str) {
        match kind {
            PathKind::Deployment => self.deployment = parse(text).unwrap_or_default(),
            PathKind::Model(model) => {
                self.models.extend(parse(text).map(|doc| (model, doc)));
            }
            PathKind::Service(service) => {
                self.services.extend(parse(text).map(|doc| (service, doc)));
            }
            PathKind::Team(team) => self.add_team(team, text),
            PathKind::TeamModel(..) | PathKind::TeamService(..) => {}
        }
    }

    fn add_team(&mut self, name: WorkspaceId, text: &str) {
        let Some(team) = parse::<settings::Team>(text) else { return };
        for hash in &team.key_hashes {
            self.keys.insert(hash.clone(), name.clone());
        }
        let (models, services) = Default::default();
        self.teams.insert(name, TeamView { team, models, services });
    }

    fn add_team_documents(&mut self, documents: &Documents) {
        for (path, doc) in &documents.by_path {
            match PathKind::parse(path) {
                Some(PathKind::TeamModel(team, model)) => {
                    let Some(view) = self.teams.get_mut(&team) else { continue };
                    view.models.extend(parse(&doc.text).map(|doc| (model, doc)));
                }
                Some(PathKind::TeamService(team, service)) => {
                    let Some(view) = self.teams.get_mut(&team) else { continue };
                    view.services.extend(parse(&doc.text).map(|doc| (service, doc)));
                }
                _ => {}
            }
        }
    }

    fn sum_demands(&mut self) {
        for view in self.teams.values() {
            self.total_shares += view.team.share;
            for (model, allowed) in &view.models {
                let demand = self.demands.entry(model.clone()).or_default();
                demand.replicas += allowed.replicas;
                demand.teams += 1;
                demand.weight_tail += view.team.weight_tail;
                demand.weight_idle += view.team.weight_idle;
            }
        }
    }

    /// Combined demand for a model.
    pub fn demand(&self, model: &ModelId) -> Demand {
        self.demands.get(model).copied().unwrap_or_default()
    }

    /// Total replicas of a model that all teams may hold.
    pub fn replicas(&self, model: &ModelId) -> u32 {
        self.demand(model).replicas
    }
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
