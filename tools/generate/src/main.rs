//! Generates the types of `corianderstand_schema` from the JSON Schema files in `schema/`.
//!
//! `cargo run -p generate` writes the files; `cargo run -p generate -- --check` fails if they
//! are out of date. Custom formats (`duration-ms`, `team`, …) map to `corianderstand_types`.

use serde_json::{Value, json};
use std::{fs, path::Path, process::ExitCode};

const SCHEMAS: [&str; 5] = ["settings", "process", "records", "messages", "peers"];
const OUTPUT_DIR: &str = "crates/corianderstand_schema/src/generated";

/// Format name, definition name and Rust type.
const CUSTOM_FORMATS: [(&str, &str, &str); 12] = [
    ("duration-ms", "Millis", "corianderstand_types::units::Millis"),
    ("mib", "Mib", "corianderstand_types::units::Mib"),
    ("text", "Text", "smol_str::SmolStr"),
    ("host", "HostId", "corianderstand_types::names::HostId"),
    ("place", "AvailabilityZoneId", "corianderstand_types::names::AvailabilityZoneId"),
    ("team", "WorkspaceId", "corianderstand_types::names::WorkspaceId"),
    ("target", "TargetId", "corianderstand_types::names::TargetId"),
    ("model", "ModelId", "corianderstand_types::names::ModelId"),
    ("adapter", "AdapterId", "corianderstand_types::names::AdapterId"),
    ("version", "VersionId", "corianderstand_types::names::VersionId"),
    ("service", "ServiceId", "corianderstand_types::names::ServiceId"),
    ("writer", "WriterId", "corianderstand_types::names::WriterId"),
];

fn main() -> ExitCode {
    let check_only = std::env::args().any(|arg| arg == "--check");
    let mut any_stale = false;
    for name in SCHEMAS {
        let text = generate(&Path::new("schema").join(format!("{name}.json")));
        let out = Path::new(OUTPUT_DIR).join(format!("{name}.rs"));
        if check_only {
            let current = fs::read_to_string(&out).unwrap_or_default();
            if current != text {
                eprintln!("{} is out of date: run `cargo run -p generate`", out.display());
                any_stale = true;
            }
        } else {
            fs::write(&out, text).expect("the output directory is writable");
        }
    }
    if any_stale { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn generate(path: &Path) -> String {
    let text = fs::read_to_string(path).expect("the schema can be read");
    let mut schema: Value = serde_json::from_str(&text).expect("the schema is JSON");
    fill_defaults(&mut schema);
    replace_formats(&mut schema);
    let definitions = schema["definitions"].as_object_mut().expect("the schema has definitions");
    for (_, name, _) in CUSTOM_FORMATS {
        definitions.insert(name.into(), json!({ "type": "string" }));
    }
    let root: schemars::schema::RootSchema =
        serde_json::from_value(schema).expect("the file is a JSON Schema");
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into());
    for (_, name, path) in CUSTOM_FORMATS {
        let impls = [typify::TypeSpaceImpl::Default, typify::TypeSpaceImpl::Display];
        settings.with_replacement(name, path, impls.into_iter());
    }
    let mut space = typify::TypeSpace::new(&settings);
    space.add_root_schema(root).expect("typify supports the schema");
    let file = syn::parse2(space.to_stream()).expect("typify generates valid Rust");
    format!(
        "// Generated from {} by `cargo run -p generate`; do not edit.\n\n{}",
        path.display(),
        prettyplease::unparse(&file)
    )
}

/// Expands the default `{}` of a property to the defaults of its definition's fields.
///
/// typify fills an empty default object with `Default::default()` of each field's type instead.
fn fill_defaults(schema: &mut Value) {
    let definitions = schema["definitions"].clone();
    let properties = schema["definitions"].as_object_mut().into_iter().flatten();
    let properties = properties.filter_map(|(_, def)| def.get_mut("properties")?.as_object_mut());
    for property in properties.flat_map(|properties| properties.values_mut()) {
        let reference = property.pointer("/allOf/0/$ref").and_then(Value::as_str);
        let Some(reference) = reference else { continue };
        let name = reference.trim_start_matches("#/definitions/").to_owned();
        let fields = definitions[&name]["properties"].as_object().into_iter().flatten();
        let defaults = fields.map(|(field, def)| (field.clone(), def["default"].clone()));
        property["default"] = Value::Object(defaults.collect());
    }
}

/// Replaces each schema with a custom format by a reference to its type.
fn replace_formats(schema: &mut Value) {
    match schema {
        Value::Object(map) => {
            let format = map.get("format").and_then(Value::as_str).unwrap_or_default();
            if let Some((_, name, _)) =
                CUSTOM_FORMATS.iter().find(|(custom, _, _)| *custom == format)
            {
                map.retain(|key, _| key == "description" || key == "default");
                map.insert("allOf".into(), json!([{ "$ref": format!("#/definitions/{name}") }]));
                return;
            }
            // typify generates `NonZero` types for a lower bound of 1. Ranges are checked against
            // the schema when a file is read.
            if map.get("type").and_then(Value::as_str) == Some("integer") {
                map.insert("minimum".into(), json!(0));
            }
            map.values_mut().for_each(replace_formats);
        }
        Value::Array(items) => items.iter_mut().for_each(replace_formats),
        _ => {}
    }
}
