use super::{Membership, SHRINK_LAGS};
use corianderstand_edge::hosts::{HostEntry, HostState};
use corianderstand_types::{
    clock::{Clock, ManualClock},
    names::HostId,
};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};

const LAG: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Bench {
    membership: Membership,
    clock: ManualClock,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self::default();
        bench.show("abcdef", "");
        bench
    }

    /// Takes a reading: one letter for each host.
    fn show(&mut self, live: &str, leaving: &str) -> bool {
        let entry = |host: char, state| {
            let host = HostId::from(host.to_string().as_str());
            HostEntry { host, availability_zone: "p".into(), state }
        };
        let live = live.chars().map(|host| entry(host, HostState::Live));
        let leaving = leaving.chars().map(|host| entry(host, HostState::Leaving));
        let entries: Vec<HostEntry> = live.chain(leaving).collect();
        self.membership.take(self.clock.now(), LAG, &entries)
    }

    /// Takes the same reading each second.
    fn show_for(&mut self, time: Duration, live: &str, leaving: &str) {
        for _ in 0..time.as_secs() {
            self.clock.advance(Duration::from_secs(1));
            self.show(live, leaving);
        }
    }

    fn gone(&self) -> String {
        text(&self.membership.hosts().gone)
    }

    fn leaving(&self) -> String {
        text(&self.membership.hosts().leaving)
    }
}

fn text(hosts: &BTreeSet<HostId>) -> String {
    hosts.iter().map(HostId::as_str).collect()
}

#[rstest]
fn a_host_is_gone_once_the_list_was_without_it_for_its_lag() {
    let mut bench = Bench::new();
    bench.show_for(LAG - Duration::from_secs(1), "abcde", "");
    assert_eq!(bench.gone(), "");
    bench.show_for(Duration::from_secs(1), "abcde", "");
    assert_eq!(bench.gone(), "f");
    bench.show("abcdef", "");
    assert_eq!(bench.gone(), "", "it is back");
}

/// The list does not answer for minutes. Taking silence for absence would empty the service.
#[rstest]
fn nobody_goes_while_the_list_does_not_answer() {
    let mut bench = Bench::new();
    bench.show("abcde", "");
    bench.clock.advance(LAG * 100);
    assert_eq!(bench.gone(), "");
}

/// The list service comes back with no hosts, or with a few of them, for a while. Every caller of
/// the models on the others would be refused if that were believed.
#[rstest]
#[case::empty("")]
#[case::cut_short("ab")]
fn an_empty_or_greatly_shrunken_list_is_not_believed_at_once(#[case] shown: &str) {
    let mut bench = Bench::new();
    bench.show_for(LAG * (SHRINK_LAGS - 1), shown, "");
    assert_eq!(bench.gone(), "");
    bench.show_for(LAG * 2, shown, "");
    let expected = if shown.is_empty() { "" } else { "cdef" };
    assert_eq!(bench.gone(), expected, "a region that is really lost is believed in the end");
}

/// The list flaps between leaving and live. New work would be sent to a host that goes, and its
/// slots would be moved to and fro.
#[rstest]
fn a_leaving_host_is_live_again_only_after_the_lag() {
    let mut bench = Bench::new();
    bench.show("abcde", "f");
    assert_eq!(bench.leaving(), "f", "at once");
    for _ in 0..5 {
        bench.show_for(LAG / 2, "abcdef", "");
        assert_eq!(bench.leaving(), "f");
        bench.show("abcde", "f");
    }
    bench.show_for(LAG, "abcdef", "");
    assert_eq!(bench.leaving(), "");
}

/// An agent announces itself before the lagging list shows its host, and the host is taken back
/// before it ever does. Its slots would stay with it for ever.
#[rstest]
fn a_host_that_the_list_never_showed_goes_too() {
    let mut bench = Bench::new();
    bench.membership.hear(bench.clock.now(), &["n".into()].into());
    assert_eq!(bench.gone(), "");
    bench.show_for(LAG, "abcdef", "");
    assert_eq!(bench.gone(), "n");
    bench.membership.hear(bench.clock.now(), &BTreeSet::new());
    assert_eq!(bench.gone(), "", "forgotten with its target");
}
