//! Validates JSON documents against their schemas and reports all violations.

mod explain;

pub use explain::describe_type;

use corianderstand_types::names;
use serde_json::Value;
use std::sync::LazyLock;

const SETTINGS: &str = include_str!("../../../schema/settings.json");
const PROCESS: &str = include_str!("../../../schema/process.json");

/// Custom formats validated as names; other custom formats are covered by type and range.
const NAME_FORMATS: [&str; 9] =
    ["host", "place", "team", "target", "model", "adapter", "version", "service", "writer"];

/// Kind of a document written by an operator.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Document {
    /// `system/deployment`.
    Deployment,
    /// `shared/models/{model}`.
    Model,
    /// `shared/services/{service}`.
    Service,
    /// `teams/{team}/team`.
    Team,
    /// `teams/{team}/models/{model}`.
    TeamModel,
    /// `teams/{team}/services/{service}`.
    TeamService,
    /// Settings of a router process.
    Router,
    /// Settings of an agent process.
    Agent,
    /// Features of a router on the users' platform.
    Features,
}

/// A violation of a document's schema.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
#[displaydoc("at {path}: {problem}; {remedy}")]
pub struct Violation {
    /// JSON pointer to the invalid value.
    pub path: String,
    /// Why the value is invalid.
    pub problem: String,
    /// How to fix it.
    pub remedy: String,
}

impl std::error::Error for Violation {}

impl Document {
    const ALL: [Self; 9] = [
        Self::Deployment,
        Self::Model,
        Self::Service,
        Self::Team,
        Self::TeamModel,
        Self::TeamService,
        Self::Router,
        Self::Agent,
        Self::Features,
    ];

    const fn definition(self) -> (&'static str, &'static str) {
        match self {
            Self::Deployment => (SETTINGS, "Deployment"),
            Self::Model => (SETTINGS, "Model"),
            Self::Service => (SETTINGS, "Service"),
            Self::Team => (SETTINGS, "Team"),
            Self::TeamModel => (SETTINGS, "TeamModel"),
            Self::TeamService => (SETTINGS, "TeamService"),
            Self::Router => (PROCESS, "RouterSettings"),
            Self::Agent => (PROCESS, "AgentSettings"),
            Self::Features => (PROCESS, "Features"),
        }
    }

    /// Returns the JSON Schema of this kind of document.
    pub fn schema(self) -> Value {
        let (text, name) = self.definition();
        let mut schema: Value = serde_json::from_str(text).expect("the schema files are JSON");
        schema["$ref"] = format!("#/definitions/{name}").into();
        schema
    }
}

static VALIDATORS: LazyLock<Vec<(Document, Value, jsonschema::Validator)>> = LazyLock::new(|| {
    let compile = |kind: Document| {
        let schema = kind.schema();
        let options = NAME_FORMATS.iter().fold(jsonschema::options(), |options, name| {
            options.with_format(*name, |text: &str| names::check(text).is_ok())
        });
        let options = options.should_validate_formats(true);
        let validator = options.build(&schema).expect("the schema files are valid");
        (kind, schema, validator)
    };
    Document::ALL.into_iter().map(compile).collect()
});

/// Returns all violations of a document's schema.
pub fn check(kind: Document, value: &Value) -> Vec<Violation> {
    let (_, schema, validator) =
        VALIDATORS.iter().find(|(known, _, _)| *known == kind).expect("every kind is compiled");
    validator.iter_errors(value).flat_map(|error| explain::violations(schema, &error)).collect()
}
