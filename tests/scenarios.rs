//! Runs each file in `scenarios/` as a test.

use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn scenario(#[files("scenarios/*.rhai")] path: PathBuf) {
    if let Err(error) = testbed::script::run(&path) {
        panic!("{error}");
    }
}
