//! The operators' pages match the code.

use corianderstand_control::metrics::Metric;
use rstest::rstest;
use std::{fs, path::Path};

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// Guards against a metric, setting or command that is missing from its page.
#[rstest]
fn the_reference_pages_are_current() {
    for name in reference::PAGES {
        let text = fs::read_to_string(root().join(name)).expect("the page can be read");
        let expected = reference::render_page(root(), name);
        assert!(text == expected, "{name} is out of date: run `cargo run -p reference`");
    }
}

#[rstest]
fn every_metric_has_a_unit_a_meaning_and_a_unique_name() {
    let page = fs::read_to_string(root().join("docs/operators/metrics-logs-traces.md"));
    let page = page.expect("the page can be read");
    for (i, metric) in Metric::ALL.iter().enumerate() {
        assert!(!metric.unit().is_empty() && metric.meaning().ends_with('.'), "{metric:?}");
        assert!(Metric::ALL[..i].iter().all(|other| other.name() != metric.name()), "{metric:?}");
        let row = format!("| `{}` |", metric.name());
        assert!(page.contains(&row), "{metric:?} is not documented");
    }
}

/// Guards against a metric that is documented but never recorded.
#[rstest]
fn every_metric_is_recorded() {
    let mut code = String::new();
    for krate in ["router", "agent", "control"] {
        let dir = root().join(format!("crates/corianderstand_{krate}/src"));
        for file in fs::read_dir(dir).expect("the directory is readable").filter_map(Result::ok) {
            code.push_str(&fs::read_to_string(file.path()).unwrap_or_default());
        }
    }
    for metric in Metric::ALL {
        assert!(code.contains(&format!("Metric::{metric:?}")), "no crate records {metric:?}");
    }
}
