//! Slot placement, and which slots move when hosts join or leave.

use corianderstand_schema::records::{Body, Change, Record, TargetRecord};
use corianderstand_state::{
    fold::{Outcome, State},
    plan,
    view::View,
};
use corianderstand_types::{
    names::{HostId, TargetId},
    units::Mib,
};
use rstest::rstest;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

struct Fixture {
    state: State,
}

impl Fixture {
    fn new(engines: usize, models: usize, replicas: u32) -> Self {
        let mut fixture = Self { state: State { next: 1, ..State::default() } };
        fixture.append(Body::LeaseTaken { epoch: 1, ttl_ms: 1000 });
        for engine in 0..engines {
            fixture.announce(engine);
        }
        let change = |path: String, value: serde_json::Value| {
            let (path, value) = (path.into(), Some(value.to_string()));
            Change { path, base: 0, value }
        };
        let team = json!({ "key_hashes": ["0".repeat(64)], "default_urgency": "normal" });
        let mut changes = vec![change("teams/t/team".into(), team)];
        for model in 0..models {
            let settings = json!({ "memory_mib": 100, "versions": ["1"], "adapter_memory_mib": 1 });
            changes.push(change(format!("shared/models/m{model}"), settings));
            let team_model = json!({ "replicas": replicas });
            changes.push(change(format!("teams/t/models/m{model}"), team_model));
        }
        let (author, ticket) = ("ana".into(), "t".into());
        fixture.append(Body::Settings { changes, author, ticket, not_after_ms: u64::MAX });
        fixture
    }

    fn append(&mut self, body: Body) {
        let offset = self.state.next;
        let record = Record { writer: "r".into(), incarnation: 1, sequence: offset, body };
        assert_eq!(self.state.apply(offset, 0, &record), Outcome::Applied);
    }

    fn announce(&mut self, engine: usize) {
        let target = TargetRecord {
            target: format!("e{engine}").as_str().into(),
            host: format!("h{engine}").as_str().into(),
            place: format!("p{}", engine % 3).as_str().into(),
            address: "a".into(),
            memory_mib: Mib(1000),
            accelerators: 8,
            service: None,
        };
        self.append(Body::TargetUp { target });
    }

    fn assign_all(&mut self, excluded_hosts: &[&str]) -> usize {
        let excluded_hosts: BTreeSet<HostId> =
            excluded_hosts.iter().map(|host| HostId::from(*host)).collect();
        let mut moves = 0;
        loop {
            let bodies =
                plan::plan(&self.state, &View::new(&self.state.documents), &excluded_hosts);
            if bodies.is_empty() {
                return moves;
            }
            moves += bodies.len();
            bodies.into_iter().for_each(|body| self.append(body));
        }
    }

    fn slots_of(&self, target: &str) -> usize {
        self.state.slots.by_key.values().filter(|slot| slot.target.as_str() == target).count()
    }
}

/// Every moved slot costs a cold start, so only slots of a lost host may move.
#[rstest]
fn only_the_slots_of_a_lost_host_move() {
    let mut fixture = Fixture::new(12, 30, 3);
    assert_eq!(fixture.assign_all(&[]), 90);
    fixture.announce(12);
    assert_eq!(fixture.assign_all(&[]), 0, "a new host moves nothing");
    let lost = fixture.slots_of("e4");
    let offset = fixture.state.targets.by_name[&TargetId::from("e4")].offset;
    fixture.append(Body::TargetGone { epoch: 1, target: "e4".into(), target_offset: offset });
    assert_eq!(fixture.assign_all(&["h4"]), lost, "the minimum");
}

/// Losing one availability zone must not take all replicas of a model.
#[rstest]
fn replicas_spread_over_zones_and_evenly_over_engines() {
    let mut fixture = Fixture::new(12, 30, 3);
    fixture.assign_all(&[]);
    let mut zones: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for (key, slot) in &fixture.state.slots.by_key {
        let zone = &fixture.state.targets.by_name[&slot.target].record.place;
        zones.entry(key.model.clone()).or_default().insert(zone.clone());
    }
    assert!(zones.values().all(|zones| zones.len() == 3));
    let counts: Vec<usize> = (0..12).map(|e| fixture.slots_of(&format!("e{e}"))).collect();
    assert!(counts.iter().max() <= counts.iter().min().map(|least| least + 1).as_ref());
}

/// A released slot returns to its former owner, which still has the model's weights cached.
#[rstest]
fn a_slot_returns_to_its_former_owner() {
    let mut fixture = Fixture::new(6, 1, 1);
    fixture.assign_all(&[]);
    let (key, slot) = fixture.state.slots.by_key.iter().next().expect("it is assigned");
    let (key, slot) = (key.clone(), slot.clone());
    let (model, index) = (key.model.clone(), key.index);
    fixture.append(Body::SlotReleased { model, index, assigned: slot.assigned, epoch: Some(1) });
    fixture.assign_all(&[]);
    assert_eq!(fixture.state.slots.by_key[&key].target, slot.target);
}
