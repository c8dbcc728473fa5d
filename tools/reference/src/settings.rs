//! Tables of settings, generated from their schema.

use corianderstand_schema::check::{self, Document};
use serde_json::Value;

const DOCUMENTS: [Document; 6] = [
    Document::Deployment,
    Document::Model,
    Document::Service,
    Document::Team,
    Document::TeamModel,
    Document::TeamService,
];

pub fn document_sections() -> String {
    DOCUMENTS.iter().map(|kind| render_section(&kind.schema())).collect::<Vec<_>>().join("\n")
}

pub fn process_sections() -> String {
    let router = Document::Router.schema();
    let agent = Document::Agent.schema();
    let features = Document::Features.schema();
    [router, agent, features].map(|schema| render_section(&schema)).join("\n")
}

fn render_section(schema: &Value) -> String {
    let definition = resolve(schema, schema);
    let title = definition["description"].as_str().unwrap_or_default();
    let (subject, rest) = title.split_once(": ").unwrap_or((title, ""));
    let subject = subject.trim_end_matches('.');
    let description =
        if rest.is_empty() { String::new() } else { format!("{}\n\n", capitalize(rest)) };
    let mut text = format!("### {subject}\n\n{description}");
    text.push_str("| field | value | default | meaning |\n|---|---|---|---|\n");
    append_rows(schema, definition, "", &mut text);
    text
}

fn capitalize(text: &str) -> String {
    let mut chars = text.chars();
    let first = chars.next().map(char::to_uppercase);
    first.into_iter().flatten().chain(chars).collect()
}

fn resolve<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    let reference = schema["$ref"].as_str().or_else(|| schema["allOf"][0]["$ref"].as_str());
    match reference.and_then(|reference| root.pointer(reference.trim_start_matches('#'))) {
        Some(target) => resolve(root, target),
        None => schema,
    }
}

/// Adds a row per field, with nested fields under their path.
fn append_rows(root: &Value, definition: &Value, path_prefix: &str, text: &mut String) {
    let required = definition["required"].as_array().cloned().unwrap_or_default();
    for (name, property) in definition["properties"].as_object().into_iter().flatten() {
        let field = resolve(root, property);
        let path = format!("{path_prefix}{name}");
        let default = match &property["default"] {
            Value::Null if required.contains(&Value::from(name.as_str())) => "required".to_owned(),
            Value::Null => "none".to_owned(),
            value => format!("`{value}`"),
        };
        let description = property["description"].as_str().or(field["description"].as_str());
        let description = description.unwrap_or_default();
        text.push_str(&format!(
            "| `{path}` | {} | {default} | {description} |\n",
            allowed_values(root, field)
        ));
        append_rows(root, field, &format!("{path}."), text);
        append_rows(root, resolve(root, &field["items"]), &format!("{path}[]."), text);
        for alternative in field["oneOf"].as_array().into_iter().flatten() {
            append_rows(root, resolve(root, alternative), &format!("{path}."), text);
        }
    }
}

fn allowed_values(root: &Value, field: &Value) -> String {
    if let Some(alternatives) = field["oneOf"].as_array() {
        let alternatives =
            alternatives.iter().map(|inner| allowed_values(root, resolve(root, inner)));
        return alternatives.collect::<Vec<_>>().join(" or ");
    }
    let kind = check::describe_type(field);
    match (&field["minimum"], &field["maximum"], &field["minItems"], &field["maxItems"]) {
        (Value::Null, _, Value::Null, Value::Null) => kind,
        (Value::Null, _, low, high) => {
            let low = low.as_u64().unwrap_or_default();
            let inner = allowed_values(root, resolve(root, &field["items"]));
            format!("{low} to {high} items, each: {inner}")
        }
        (low, high, ..) => format!("{kind}, {low} to {high}"),
    }
}
