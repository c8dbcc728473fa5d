//! Every test, scenario and trace that `docs/PROMISES.md` names exists.

use rstest::rstest;
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const PAGE_PATH: &str = "docs/PROMISES.md";
const SOURCE_DIRS: [&str; 5] = ["tests", "crates", "platform", "tools", "src"];
const FILE_DIRS: [&str; 2] = ["scenarios/", "traces/"];
const FILE_EXTENSIONS: [&str; 3] = ["rhai", "json", "jsonl"];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn inline_code(page: &str) -> Vec<&str> {
    let fenced = page.split("```").step_by(2);
    fenced.flat_map(|text| text.split('`').skip(1).step_by(2)).collect()
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

/// Returns the function name of a nextest id, `crate::binary test` or `crate test`.
fn test_function_name(text: &str) -> Option<&str> {
    let (binary, test) = text.split_once(' ')?;
    let is_binary = binary.split("::").all(is_name) && binary.contains("corianderstand");
    let parts: Vec<&str> = test.split("::").collect();
    if !is_binary || !parts.iter().all(|part| is_name(part)) {
        return None;
    }
    let without_case: Vec<&str> =
        parts.iter().filter(|part| !part.starts_with("case_")).copied().collect();
    without_case.last().copied()
}

fn collect_function_names(dir: &Path, found: &mut BTreeSet<String>) {
    let Ok(entries) = fs::read_dir(dir) else { return };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            collect_function_names(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).unwrap_or_default();
            let starts = text.split("fn ").skip(1);
            let names = starts.filter_map(|rest| rest.split(['(', '<']).next());
            found.extend(names.filter(|name| is_name(name)).map(str::to_owned));
        }
    }
}

fn all_function_names() -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    SOURCE_DIRS.iter().for_each(|dir| collect_function_names(&root().join(dir), &mut found));
    found
}

fn missing_names(page: &str, function_names: &BTreeSet<String>) -> Vec<String> {
    let is_file = |text: &str| {
        let extension = Path::new(text).extension().and_then(|extension| extension.to_str());
        let in_folder = FILE_DIRS.iter().any(|dir| text.contains(dir));
        in_folder && extension.is_some_and(|extension| FILE_EXTENSIONS.contains(&extension))
    };
    let mut missing = Vec::new();
    for text in inline_code(page) {
        let is_missing = match test_function_name(text) {
            Some(name) => !function_names.contains(name),
            None => is_file(text) && !root().join(text).exists(),
        };
        if is_missing {
            missing.push(text.to_owned());
        }
    }
    missing
}

/// The page must not name tests that were renamed or removed.
#[rstest]
fn every_test_and_file_named_on_the_page_of_promises_exists() {
    let page = fs::read_to_string(root().join(PAGE_PATH)).expect("the page can be read");
    let missing = missing_names(&page, &all_function_names());
    assert!(missing.is_empty(), "named in {PAGE_PATH}, but not in the tree: {missing:#?}");
    let tests =
        inline_code(&page).into_iter().filter(|text| test_function_name(text).is_some()).count();
    assert!(tests > 0, "the page names tests");
}

#[rstest]
#[case::a_test("`corianderstand::end_to_end a_booking_sent_twice_runs_once`", true)]
#[case::a_case("`corianderstand::relays records_are_given_to_peers_only::case_1`", true)]
#[case::in_a_module("`corianderstand_control relay::tests::no_page_reaches_over_a_gap`", true)]
#[case::a_scenario("`scenarios/router-killed-while-log-is-down.rhai`", true)]
#[case::a_command("`cargo nextest run --test end_to_end`", true)]
#[case::a_setting("`peers` and `log_url`", true)]
#[case::no_such_test("`corianderstand::end_to_end a_test_that_nobody_wrote`", false)]
#[case::no_such_scenario("`scenarios/nobody-wrote-this.rhai`", false)]
fn the_check_finds_what_is_missing_and_only_that(
    #[case] page: &str,
    #[case] expects_none_missing: bool,
) {
    assert_eq!(missing_names(page, &all_function_names()).is_empty(), expects_none_missing);
}
