//! Generates the reference sections of the operators' pages: settings from the schema, commands
//! from their arguments, and metrics from their table.
//!
//! A generated section stands between `<!-- reference: NAME -->` and `<!-- end -->`.

mod settings;

use corianderstand_control::metrics::{Kind, Metric};
use std::{fs, path::Path};

const SECTION_START: &str = "<!-- reference: ";
const SECTION_START_CLOSE: &str = " -->\n";
const SECTION_END: &str = "<!-- end -->";

/// Pages with generated sections.
pub const PAGES: [&str; 3] = [
    "docs/operators/settings.md",
    "docs/operators/commands.md",
    "docs/operators/metrics-logs-traces.md",
];

/// Returns a page with its generated sections filled in.
///
/// # Panics
///
/// Panics if the page cannot be read or names an unknown section.
pub fn render_page(root: &Path, name: &str) -> String {
    let text = fs::read_to_string(root.join(name)).expect("the page can be read");
    let mut remaining = text.as_str();
    let mut output = String::new();
    while let Some((before, after)) = remaining.split_once(SECTION_START) {
        let (section, after) = after.split_once(SECTION_START_CLOSE).expect("a section has a name");
        let (_, after) = after.split_once(SECTION_END).expect("a section has an end");
        output.push_str(&format!(
            "{before}{SECTION_START}{section}{SECTION_START_CLOSE}\n{}\n{SECTION_END}",
            render_section(section)
        ));
        remaining = after;
    }
    output.push_str(remaining);
    output
}

fn render_section(section: &str) -> String {
    match section {
        "metrics" => metrics_table(),
        "commands" => corianderstand_cli::reference(),
        "process" => settings::process_sections(),
        "settings" => settings::document_sections(),
        _ => panic!("unknown section `{section}`"),
    }
}

fn metrics_table() -> String {
    let mut text = String::from("| name | kind | unit | meaning |\n|---|---|---|---|\n");
    for metric in Metric::ALL {
        let kind = match metric.kind() {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Timer => "timer",
        };
        let (name, unit, meaning) = (metric.name(), metric.unit(), metric.meaning());
        text.push_str(&format!("| `{name}` | {kind} | {unit} | {meaning} |\n"));
    }
    text
}
