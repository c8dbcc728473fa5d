//! Removal of routers that are not heard from the list of routers.

use corianderstand_fleet::removal::{Evidence, MAX_LIST_AGE, MAX_MAJORITY_LIST_AGE, Verdict};
use rstest::rstest;
use std::time::Duration;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn evidence(silent_s: u64, suspected_s: Option<u64>, list_age_s: u64) -> Evidence {
    Evidence {
        silent_for: secs(silent_s),
        suspected_for: suspected_s.map(secs),
        list_age: secs(list_age_s),
        connected: 2,
        routers: 3,
    }
}

/// Guards against a router that counts for ever although its host is gone, and against one that is removed while it may
/// still use its part.
#[rstest]
#[case::heard_lately(evidence(5, None, 1), Verdict::Keep)]
#[case::silent(evidence(25, None, 1), Verdict::Suspect)]
#[case::silent_and_the_list_is_old(evidence(25, None, 12), Verdict::Keep)]
#[case::suspected_lately(evidence(60, Some(30), 1), Verdict::Keep)]
#[case::suspected_for_long(evidence(90, Some(60), 1), Verdict::Remove)]
#[case::suspected_and_the_list_is_old(evidence(90, Some(60), 12), Verdict::Keep)]
#[case::suspected_and_heard_again(evidence(1, Some(60), 1), Verdict::Keep)]
#[case::one_of_two(Evidence { connected: 1, routers: 2, ..evidence(90, Some(60), 1) }, Verdict::Remove)]
#[case::a_majority(Evidence { connected: 1, routers: 3, ..evidence(90, Some(60), 1) }, Verdict::Keep)]
#[case::a_majority_for_very_long(Evidence { connected: 1, routers: 3, ..evidence(900, Some(700), 1) }, Verdict::Remove)]
fn silent_routers_are_removed_once_they_use_no_part(
    #[case] evidence: Evidence,
    #[case] verdict: Verdict,
) {
    assert_eq!(evidence.judge(), verdict);
}

/// Guards against times that leave a router its part while another removes it: it reads the list up to ten seconds late.
#[test]
fn a_router_uses_no_part_once_it_may_be_removed() {
    let latest_use = MAX_LIST_AGE + secs(10);
    let earliest =
        (0..200).find(|time| evidence(*time + 20, Some(*time), 9).judge() == Verdict::Remove);
    assert!(earliest.is_some_and(|time| secs(time) >= latest_use), "{earliest:?}");
    let majority = |time| Evidence { connected: 1, ..evidence(time + 20, Some(time), 9) };
    let earliest = (0..900).find(|time| majority(*time).judge() == Verdict::Remove);
    let latest_use = MAX_MAJORITY_LIST_AGE + secs(10);
    assert!(earliest.is_some_and(|time| secs(time) >= latest_use), "{earliest:?}");
}
