mod random;
mod world;

use super::SlotReleaser;
use corianderstand_schema::records::{Body, Record};
use corianderstand_state::{fold::State, slots::SlotKey, view::View};
use corianderstand_types::names::{ModelId, TargetId};
use rstest::rstest;
use std::collections::BTreeSet;
use world::{lease, settings, target_up};

struct Bench {
    state: State,
    target: TargetId,
    releaser: SlotReleaser,
}

impl Bench {
    /// A target that owns slots 0 and 1 of two models.
    fn new() -> Self {
        let mut state = State { next: 1, ..State::default() };
        let target = TargetId::from("engine-0");
        let mut bodies = vec![settings("quotes", 2, 0), settings("rounds", 1, 0), lease()];
        bodies.push(target_up("engine-0", 100));
        for (model, index) in [("quotes", 1), ("rounds", 0)] {
            let (model, target) = (ModelId::from(model), target.clone());
            bodies.push(Body::SlotAssigned { epoch: 1, model, index, target, target_offset: 4 });
        }
        for (offset, body) in (1..).zip(bodies) {
            let record = Record { writer: "w".into(), incarnation: 1, sequence: offset, body };
            let outcome = state.apply(offset, 0, &record);
            assert_eq!(outcome, corianderstand_state::fold::Outcome::Applied);
        }
        Self { state, target, releaser: SlotReleaser::default() }
    }

    fn loadable_models(&mut self, leaving: bool, in_use: &[&str]) -> BTreeSet<ModelId> {
        let view = View::new(&self.state.documents);
        let in_use = in_use.iter().map(|model| ModelId::from(*model)).collect();
        self.releaser.loadable_models(&self.state, &view, &self.target, leaving, &in_use)
    }

    fn change(&mut self, body: Body) {
        let offset = self.state.next;
        let record = Record { writer: "w".into(), incarnation: 1, sequence: offset, body };
        self.state.apply(offset, 0, &record);
    }
}

/// An operator lowers the replicas of a model. Until the slot beyond them is given back, the
/// engine holds a replica that nobody decided for.
#[rstest]
fn a_slot_beyond_the_replicas_is_given_up_once_its_model_is_unloaded() {
    let mut bench = Bench::new();
    let base = bench.state.documents.version_of("teams/t/models/quotes");
    bench.change(settings("quotes", 1, base));
    let loadable = bench.loadable_models(false, &[]);
    assert_eq!(loadable, [ModelId::from("rounds")].into());
    let (state, target) = (&bench.state, &bench.target);
    assert!(
        bench.releaser.update_releases(state, target, &loadable, |_| true).is_empty(),
        "still loaded"
    );
    let releases = bench.releaser.update_releases(state, target, &loadable, |_| false);
    let key = SlotKey { model: "quotes".into(), index: 1 };
    assert_eq!(releases.get(&key), Some(&5));
}

/// A host is leaving while a long answer runs on it. Unloading its model at once would cut the
/// answer.
#[rstest]
fn a_leaving_host_keeps_the_models_of_requests_in_flight() {
    let mut bench = Bench::new();
    assert_eq!(bench.loadable_models(true, &["quotes"]), [ModelId::from("quotes")].into());
    assert_eq!(bench.loadable_models(true, &[]), BTreeSet::new());
}

/// The host list shows a host as leaving for one reading and then as live. The release may have
/// reached the log by then; loading under it again would make one replica too many.
#[rstest]
fn a_slot_once_given_up_is_not_used_again() {
    let mut bench = Bench::new();
    let loadable = bench.loadable_models(true, &[]);
    bench.releaser.update_releases(&bench.state, &bench.target, &loadable, |_| false);
    assert_eq!(bench.loadable_models(false, &[]), BTreeSet::new());
}
