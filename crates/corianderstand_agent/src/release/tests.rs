mod random;
mod world;

use super::SlotReleaser;
use corianderstand_schema::records::{Body, Record};
use corianderstand_state::{fold::State, slots::SlotKey, view::View};
use corianderstand_types::names::{ModelId, TargetId};
use rstest::rstest;
use std::collections::BTreeSet;
use world::{lease, settings, target_up};

struct Fixture {
    state: State,
    target: TargetId,
    releaser: SlotReleaser,
}

impl Fixture {
    /// A target that owns slot 1 of `quotes` and slot 0 of `rounds`.
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

    fn append(&mut self, body: Body) {
        let offset = self.state.next;
        let record = Record { writer: "w".into(), incarnation: 1, sequence: offset, body };
        self.state.apply(offset, 0, &record);
    }
}

/// Guards against an engine that keeps a replica beyond a lowered replica count.
#[rstest]
fn excess_slot_is_released_once_its_model_is_unloaded() {
    let mut fixture = Fixture::new();
    let base = fixture.state.documents.version_of("teams/t/models/quotes");
    fixture.append(settings("quotes", 1, base));
    let loadable = fixture.loadable_models(false, &[]);
    assert_eq!(loadable, [ModelId::from("rounds")].into());
    let (state, target) = (&fixture.state, &fixture.target);
    assert!(
        fixture.releaser.update_releases(state, target, &loadable, |_| true).is_empty(),
        "still loaded"
    );
    let releases = fixture.releaser.update_releases(state, target, &loadable, |_| false);
    let key = SlotKey { model: "quotes".into(), index: 1 };
    assert_eq!(releases.get(&key), Some(&5));
}

/// Guards against cutting off responses in flight when a host leaves.
#[rstest]
fn leaving_host_keeps_models_in_use() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.loadable_models(true, &["quotes"]), [ModelId::from("quotes")].into());
    assert_eq!(fixture.loadable_models(true, &[]), BTreeSet::new());
}

/// Guards against an extra replica when a host is listed as leaving and then as live again, while
/// the release may already be in the log.
#[rstest]
fn released_slot_is_not_used_again() {
    let mut fixture = Fixture::new();
    let loadable = fixture.loadable_models(true, &[]);
    fixture.releaser.update_releases(&fixture.state, &fixture.target, &loadable, |_| false);
    assert_eq!(fixture.loadable_models(false, &[]), BTreeSet::new());
}
