//! Parsing of the list of known failures.

use super::nextest_filter;

/// Guards against an indented line that excludes further tests.
#[test]
fn only_unindented_lines_name_tests() {
    let text = "a::b one_test\n  command: c d\n  seen: once. Issue 2.\n\na::c other\n";
    let expected = "(binary_id(=a::b) & test(=one_test)) | (binary_id(=a::c) & test(=other))";
    assert_eq!(nextest_filter(text).as_deref(), Some(expected));
}

/// Guards against an empty list that excludes tests.
#[test]
fn an_empty_list_names_no_test() {
    assert_eq!(nextest_filter(""), None);
}

/// Guards against an entry without a test name that excludes a whole binary.
#[test]
fn an_entry_without_a_test_name_matches_nothing() {
    assert_eq!(nextest_filter("a::b\n").as_deref(), Some("(binary_id(=a::b) & test(=))"));
}
