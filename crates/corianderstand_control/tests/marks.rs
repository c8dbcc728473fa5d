//! Tests which targets the lease holder marks as leaving.

use corianderstand_control::{
    lease,
    snapshot::{Hosts, Snapshot},
};
use corianderstand_schema::records::{Body, Record, TargetRecord};
use corianderstand_state::fold::Outcome;
use corianderstand_types::{names::HostId, units::Mib};
use rstest::rstest;
use std::{collections::BTreeSet, sync::Arc};

fn fold(snapshot: &mut Snapshot, writer: &str, sequence: u64, body: Body) -> Outcome {
    let record = Record { writer: writer.into(), incarnation: 1, sequence, body };
    let offset = snapshot.state.next;
    snapshot.state.apply(offset, 0, &record)
}

fn announce(snapshot: &mut Snapshot, sequence: u64) {
    let target = TargetRecord {
        target: "engine-1".into(),
        host: "host-1".into(),
        place: "conce".into(),
        address: "127.0.0.1:1".into(),
        memory_mib: Mib(1),
        accelerators: 1,
        service: None,
    };
    fold(snapshot, "engine-1", sequence, Body::TargetUp { target });
}

fn set_hosts(snapshot: &mut Snapshot, live: &[&str], leaving: &[&str]) {
    let set = |names: &[&str]| names.iter().map(|name| HostId::from(*name)).collect();
    let gone = BTreeSet::new();
    snapshot.hosts = Arc::new(Hosts { live: set(live), leaving: set(leaving), gone });
}

/// Guards against wrong leaving marks after a change of the lease or a restart of an agent.
#[rstest]
fn a_lease_holder_marks_only_hosts_that_it_read() {
    let mut snapshot = Snapshot::default();
    fold(&mut snapshot, "router-1", 1, Body::LeaseTaken { epoch: 1, ttl_ms: 1000 });
    announce(&mut snapshot, 1);
    assert!(lease::leaving_marks(&snapshot).is_empty(), "no host list was read");

    set_hosts(&mut snapshot, &[], &["host-1"]);
    let marks = lease::leaving_marks(&snapshot);
    assert_eq!(marks.len(), 1);
    assert_eq!(fold(&mut snapshot, "router-1", 2, marks[0].clone()), Outcome::Applied);
    assert!(snapshot.state.targets.is_leaving(&"engine-1".into()));
    assert!(lease::leaving_marks(&snapshot).is_empty(), "the target is already marked");

    set_hosts(&mut snapshot, &[], &[]);
    assert!(lease::leaving_marks(&snapshot).is_empty(), "an unlisted host changes no mark");

    announce(&mut snapshot, 2);
    assert!(
        !snapshot.state.targets.is_leaving(&"engine-1".into()),
        "a new announcement clears the mark"
    );
    let old = fold(&mut snapshot, "router-1", 3, marks[0].clone());
    assert!(matches!(old, Outcome::Rejected(_)), "the mark refers to the previous announcement");

    set_hosts(&mut snapshot, &[], &["host-1"]);
    let again = lease::leaving_marks(&snapshot);
    fold(&mut snapshot, "router-1", 4, again[0].clone());
    set_hosts(&mut snapshot, &["host-1"], &[]);
    let unmarked = lease::leaving_marks(&snapshot);
    assert_eq!(fold(&mut snapshot, "router-1", 5, unmarked[0].clone()), Outcome::Applied);
    assert!(!snapshot.state.targets.is_leaving(&"engine-1".into()), "the host is live again");
}
