use super::{Membership, SHRINK_LAG_FACTOR};
use corianderstand_edge::hosts::{HostEntry, HostState};
use corianderstand_types::{
    clock::{Clock, ManualClock},
    names::HostId,
};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};

const LAG: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Fixture {
    membership: Membership,
    clock: ManualClock,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self::default();
        fixture.apply_reading("abcdef", "");
        fixture
    }

    /// Applies a reading in which each letter is a host.
    fn apply_reading(&mut self, live: &str, leaving: &str) -> bool {
        let entry = |host: char, state| {
            let host = HostId::from(host.to_string().as_str());
            HostEntry { host, availability_zone: "p".into(), state }
        };
        let live = live.chars().map(|host| entry(host, HostState::Live));
        let leaving = leaving.chars().map(|host| entry(host, HostState::Leaving));
        let entries: Vec<HostEntry> = live.chain(leaving).collect();
        self.membership.apply_reading(self.clock.now(), LAG, &entries)
    }

    fn apply_reading_for(&mut self, time: Duration, live: &str, leaving: &str) {
        for _ in 0..time.as_secs() {
            self.clock.advance(Duration::from_secs(1));
            self.apply_reading(live, leaving);
        }
    }

    fn gone(&self) -> String {
        join(&self.membership.hosts().gone)
    }

    fn leaving(&self) -> String {
        join(&self.membership.hosts().leaving)
    }
}

fn join(hosts: &BTreeSet<HostId>) -> String {
    hosts.iter().map(HostId::as_str).collect()
}

#[rstest]
fn a_host_is_gone_once_it_is_unlisted_for_the_list_lag() {
    let mut fixture = Fixture::new();
    fixture.apply_reading_for(LAG - Duration::from_secs(1), "abcde", "");
    assert_eq!(fixture.gone(), "");
    fixture.apply_reading_for(Duration::from_secs(1), "abcde", "");
    assert_eq!(fixture.gone(), "f");
    fixture.apply_reading("abcdef", "");
    assert_eq!(fixture.gone(), "", "it is listed again");
}

/// Guards against removing all hosts during an outage of the list.
#[rstest]
fn no_host_is_gone_while_the_list_is_unavailable() {
    let mut fixture = Fixture::new();
    fixture.apply_reading("abcde", "");
    fixture.clock.advance(LAG * 100);
    assert_eq!(fixture.gone(), "");
}

/// Guards against removing healthy hosts because the list is empty or truncated for a while.
#[rstest]
#[case::empty("")]
#[case::cut_short("ab")]
fn an_empty_or_greatly_shrunken_list_is_not_accepted_at_once(#[case] listed: &str) {
    let mut fixture = Fixture::new();
    fixture.apply_reading_for(LAG * (SHRINK_LAG_FACTOR - 1), listed, "");
    assert_eq!(fixture.gone(), "");
    fixture.apply_reading_for(LAG * 2, listed, "");
    let expected = if listed.is_empty() { "" } else { "cdef" };
    assert_eq!(fixture.gone(), expected, "the loss of a region is accepted in the end");
}

/// Guards against moving slots back and forth when the list flaps between leaving and live.
#[rstest]
fn a_leaving_host_is_live_again_only_after_the_lag() {
    let mut fixture = Fixture::new();
    fixture.apply_reading("abcde", "f");
    assert_eq!(fixture.leaving(), "f", "immediately");
    for _ in 0..5 {
        fixture.apply_reading_for(LAG / 2, "abcdef", "");
        assert_eq!(fixture.leaving(), "f");
        fixture.apply_reading("abcde", "f");
    }
    fixture.apply_reading_for(LAG, "abcdef", "");
    assert_eq!(fixture.leaving(), "");
}

/// Guards against slots that stay on a host which was reclaimed before it was ever listed.
#[rstest]
fn a_host_that_was_never_listed_becomes_gone() {
    let mut fixture = Fixture::new();
    fixture.membership.record_announced(fixture.clock.now(), &["n".into()].into());
    assert_eq!(fixture.gone(), "");
    fixture.apply_reading_for(LAG, "abcdef", "");
    assert_eq!(fixture.gone(), "n");
    fixture.membership.record_announced(fixture.clock.now(), &BTreeSet::new());
    assert_eq!(fixture.gone(), "", "removed with its target");
}
