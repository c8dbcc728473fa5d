//! Weights of workspaces from their quotas.

use corianderstand_fleet::{
    shares,
    workspaces::{CostUnit, Directory, Quota, Workspace},
};
use corianderstand_types::names;
use rstest::rstest;

const TOKENS: CostUnit = CostUnit::Token { default: 1 };

fn workspace(name: &str, quota: Option<(f64, CostUnit)>) -> Workspace {
    let quota = quota.map(|(per_s, unit)| Quota { per_s, burst: per_s, unit });
    Workspace { name: name.into(), credentials: Vec::new(), priority: 0, quota }
}

fn directory(quotas: &[(&str, Option<(f64, CostUnit)>)]) -> Directory {
    let all = quotas.iter().map(|(name, quota)| workspace(name, *quota));
    Directory::new(all.collect(), &[])
}

fn weight(directory: &Directory, name: &str) -> f64 {
    shares::weights(directory).of(shares::hash(&name.into()))
}

/// Guards against quotas in requests that are compared to quotas in tokens: they would be thousand times too small.
#[rstest]
fn quotas_in_tokens_and_in_requests_are_not_compared() {
    let directory = directory(&[
        ("a", Some((1_000.0, TOKENS))),
        ("b", Some((3_000.0, TOKENS))),
        ("c", Some((5.0, CostUnit::Request))),
    ]);
    assert!((weight(&directory, "a") - 0.5).abs() < 1e-9);
    assert!((weight(&directory, "b") - 1.5).abs() < 1e-9);
    assert!((weight(&directory, "c") - 1.0).abs() < 1e-9, "the mean");
}

/// Guards against a configuration that stops the room, or a workspace in it, by a quota that is no weight.
#[rstest]
#[case::none(None, false)]
#[case::zero(Some((0.0, TOKENS)), true)]
#[case::negative(Some((-1.0, TOKENS)), true)]
#[case::not_a_number(Some((f64::NAN, TOKENS)), true)]
fn a_quota_that_is_no_weight_is_named_and_counts_as_the_mean(
    #[case] quota: Option<(f64, CostUnit)>,
    #[case] is_named: bool,
) {
    let directory = directory(&[("a", Some((10.0, TOKENS))), ("b", quota)]);
    assert!((weight(&directory, "b") - 1.0).abs() < 1e-9);
    assert!((weight(&directory, "unknown") - 1.0).abs() < 1e-9);
    let named: Vec<_> = shares::unusable(&directory).map(names::WorkspaceId::as_str).collect();
    assert_eq!(named, if is_named { vec!["b"] } else { vec![] });
}
