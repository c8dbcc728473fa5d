//! Shares of workspaces in what is granted.

use corianderstand_room::share::{self, MAX_CREDIT_GRANTS, Shares, Weights};
use rstest::rstest;

const COST: u64 = 100;

/// Guards against a division by zero, or a workspace without any share, by a weight that can't be used.
#[rstest]
#[case::missing(None)]
#[case::zero(Some(0.0))]
#[case::negative(Some(-3.0))]
#[case::not_a_number(Some(f64::NAN))]
#[case::infinite(Some(f64::INFINITY))]
fn a_weight_that_cannot_be_used_is_the_mean(#[case] weight: Option<f64>) {
    let weights = Weights::new([(1, Some(10.0)), (2, Some(30.0)), (3, weight)]);
    assert!((weights.of(1) - 0.5).abs() < 1e-9 && (weights.of(2) - 1.5).abs() < 1e-9);
    assert!((weights.of(3) - 1.0).abs() < 1e-9);
    assert!((weights.of(77) - 1.0).abs() < 1e-9, "of no workspace");
    assert!(weight.is_none_or(|weight| !share::is_usable(weight)));
}

/// Guards against a weight so small or so large that a workspace never gets anything, or everything.
#[rstest]
fn extreme_weights_are_bounded() {
    let weights = Weights::new([(1, Some(1e-300)), (2, Some(1e300))]);
    assert!(weights.of(1) >= 0.001 && weights.of(2) <= 1_000.0);
}

/// Guards against no weights at all, where each workspace must count alike.
#[rstest]
fn without_weights_all_count_alike() {
    let weights = Weights::new([(1, None), (2, Some(0.0))]);
    assert!((weights.of(1) - weights.of(2)).abs() < 1e-9);
}

/// Guards against credit that grows without bound while a workspace is idle: it would later hold up all others.
#[rstest]
fn what_an_idle_workspace_gets_back_is_bounded() {
    let mut shares = Shares::default();
    shares.record(1, 1.0, COST);
    shares.begin_waiting(2, 1.0);
    for _ in 0..10_000 {
        shares.record(2, 1.0, COST);
    }
    shares.begin_waiting(1, 1.0);
    let mut regained = 0;
    while shares.is_within(1) {
        shares.record(1, 1.0, COST);
        regained += 1;
    }
    assert!(f64::from(regained) <= MAX_CREDIT_GRANTS + 1.0, "{regained}");
    assert!(f64::from(regained) >= MAX_CREDIT_GRANTS, "{regained}");
}

/// Guards against a debt without bound for a workspace that took what others could not use.
#[rstest]
fn what_a_borrower_owes_is_bounded() {
    let mut shares = Shares::default();
    (0..16).for_each(|workspace| shares.begin_waiting(workspace, 1.0));
    for _ in 0..10_000 {
        shares.record(1, 1.0, COST);
    }
    (3..16).for_each(|workspace| shares.end_waiting(workspace));
    let mut others = 0;
    while !shares.is_within(1) {
        shares.record(2, 1.0, COST);
        others += 1;
    }
    assert!(f64::from(others) <= 3.0 * MAX_CREDIT_GRANTS + 3.0, "{others}");
}

/// Guards against a flood that is paid back for what others took of their shares: it would be within its own for ever.
#[rstest]
fn a_flood_gains_nothing_by_others_that_come_and_go() {
    let mut shares = Shares::default();
    shares.begin_waiting(1, 1.0);
    for _ in 0..1_000 {
        (0..4).for_each(|_| shares.record(1, 1.0, COST));
        shares.begin_waiting(2, 1.0);
        assert!(shares.is_within(2), "it asks for a fifth");
        shares.record(2, 1.0, COST);
        shares.end_waiting(2);
    }
    assert!(shares.balance(1) <= COST as f64, "{}", shares.balance(1));
}
