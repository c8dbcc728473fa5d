//! Converts validator errors into messages for operators.

use crate::check::Violation;
use jsonschema::{ValidationError, error::ValidationErrorKind as Kind};
use serde_json::Value;

const MAX_SHOWN_CHARS: usize = 60;

/// Converts one validator error; an error about unknown fields yields a violation for each.
pub fn violations(schema: &Value, error: &ValidationError<'_>) -> Vec<Violation> {
    let path = error.instance_path().to_string();
    let field = subschema(schema, schema, &pointer_tokens(&path));
    let value = truncated(error.instance());
    let violation = |problem: String, remedy: String| {
        let path = if path.is_empty() { "/".into() } else { path.clone() };
        vec![Violation { path, problem, remedy }]
    };
    match error.kind() {
        Kind::AdditionalProperties { unexpected } => {
            unexpected.iter().map(|name| unknown_field(&path, name, field)).collect()
        }
        Kind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            let expected = field.and_then(|field| field["properties"].get(name));
            violation(format!("`{name}` is missing"), format!("add it: {}", description(expected)))
        }
        Kind::Type { .. } => {
            let expected = field.map(describe_type).unwrap_or_default();
            violation(format!("expected {expected}, found {value}"), remedy(field))
        }
        Kind::Minimum { limit } => {
            violation(format!("{value} is less than {limit}"), remedy(field))
        }
        Kind::Maximum { limit } => {
            violation(format!("{value} is more than {limit}"), remedy(field))
        }
        Kind::MinItems { limit } => violation(format!("fewer than {limit} items"), remedy(field)),
        Kind::MaxItems { limit } => violation(format!("more than {limit} items"), remedy(field)),
        Kind::Enum { options } => {
            violation(format!("{value} is not one of {options}"), remedy(field))
        }
        Kind::Pattern { pattern } => {
            violation(format!("{value} does not match the pattern {pattern}"), remedy(field))
        }
        Kind::Format { format } => violation(
            format!("{value} is not a valid name of a {format}"),
            "use 1 to 96 letters, digits, '-', '_' and '.'".into(),
        ),
        Kind::OneOfNotValid { context } | Kind::AnyOf { context } => {
            alternatives(schema, context, &path, &value, field)
        }
        _ => violation(error.to_string(), remedy(field)),
    }
}

/// Returns the violations of the closest alternative: the one whose errors are nested deepest.
fn alternatives(
    schema: &Value,
    context: &[Vec<ValidationError<'static>>],
    path: &str,
    value: &str,
    field: Option<&Value>,
) -> Vec<Violation> {
    let depth = |errors: &Vec<ValidationError<'static>>| {
        errors.iter().map(|error| error.instance_path().to_string().len()).max()
    };
    let nearest = context.iter().max_by_key(|errors| depth(errors));
    match nearest {
        Some(errors) if depth(errors) > Some(path.len()) => {
            errors.iter().flat_map(|error| violations(schema, error)).collect()
        }
        _ => {
            let path = if path.is_empty() { "/".into() } else { path.to_owned() };
            let problem = format!("{value} matches no allowed form");
            vec![Violation { path, problem, remedy: remedy(field) }]
        }
    }
}

fn unknown_field(path: &str, name: &str, field: Option<&Value>) -> Violation {
    let known = field.and_then(|field| field["properties"].as_object());
    let known: Vec<&str> = known.into_iter().flatten().map(|(name, _)| name.as_str()).collect();
    Violation {
        path: format!("{path}/{name}"),
        problem: format!("unknown field `{name}`"),
        remedy: format!("remove it, or use one of: {}", known.join(", ")),
    }
}

fn truncated(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{start}…")
}

fn description(field: Option<&Value>) -> &str {
    field.and_then(|field| field["description"].as_str()).unwrap_or("see the settings reference")
}

/// Describes the expected value by its type, unit and range.
fn remedy(field: Option<&Value>) -> String {
    let Some(field) = field else { return "see docs/operators/settings.md".into() };
    let expected = describe_type(field);
    let range = match (&field["minimum"], &field["maximum"]) {
        (Value::Null, _) | (_, Value::Null) => String::new(),
        (low, high) => format!(" from {low} to {high}"),
    };
    format!("set it to a {expected}{range}: {}", description(Some(field)))
}

/// Describes the type of a field, with its unit.
pub fn describe_type(field: &Value) -> String {
    if let Some(options) = field["enum"].as_array() {
        let options: Vec<String> = options.iter().map(Value::to_string).collect();
        return options.join(" or ");
    }
    match (field["type"].as_str(), field["format"].as_str()) {
        (Some("integer"), Some("duration-ms")) => "whole number of milliseconds".into(),
        (Some("integer"), Some("mib")) => "whole number of MiB".into(),
        (Some("integer"), _) => "whole number".into(),
        (Some("boolean"), _) => "true or false".into(),
        (Some(kind), Some("text") | None) => kind.into(),
        (Some(kind), Some(format)) => format!("{kind}, the name of a {format}"),
        (None, _) => "value in one of the forms of the settings reference".into(),
    }
}

fn pointer_tokens(path: &str) -> Vec<String> {
    path.split('/').skip(1).map(|token| token.replace("~1", "/").replace("~0", "~")).collect()
}

/// Finds the schema of the value at an instance path, resolving references and alternatives.
fn subschema<'a>(root: &'a Value, schema: &'a Value, path: &[String]) -> Option<&'a Value> {
    if let Some(reference) = schema["$ref"].as_str() {
        let target = root.pointer(reference.trim_start_matches('#'))?;
        return subschema(root, target, path);
    }
    for keyword in ["allOf", "oneOf"] {
        let parts = schema[keyword].as_array().into_iter().flatten();
        let inner = parts.filter(|part| part["type"] != "null");
        if let Some(found) = inner.filter_map(|part| subschema(root, part, path)).next() {
            return Some(found);
        }
    }
    let Some((first, rest)) = path.split_first() else { return Some(schema) };
    let next = match first.parse::<usize>() {
        Ok(_) if schema["items"].is_object() => &schema["items"],
        _ => schema["properties"].get(first)?,
    };
    subschema(root, next, rest)
}
