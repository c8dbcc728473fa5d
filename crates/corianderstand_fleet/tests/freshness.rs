//! Proofs that a configuration is complete.

use corianderstand_fleet::freshness::{Answer, Freshness};
use std::time::Duration;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn a_proof_dates_from_the_sending_of_its_read() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.age(secs(10)), None);
    freshness.record_read(secs(8));
    freshness.record_read(secs(5));
    assert_eq!(freshness.age(secs(10)), Some(secs(2)), "an earlier read does not replace a later");
    assert!(freshness.is_proven_within(secs(13), secs(5)));
    assert!(!freshness.is_proven_within(secs(14), secs(5)));
}

/// Guards against an answer that waited in the socket of a router that stood still.
#[test]
fn a_peers_proof_counts_from_the_question() {
    let mut freshness = Freshness::default();
    let id = freshness.ask(secs(10));
    let answer = Answer { id, is_known: true, age: secs(1) };
    assert!(freshness.apply(&answer));
    assert_eq!(freshness.age(secs(18)), Some(secs(9)), "read 8 s after the question");
    assert!(!freshness.apply(&answer), "an answer counts once");
    assert!(!freshness.apply(&Answer { id: 99, ..answer }), "to no question");
}

/// Guards against a proof of a configuration that this router does not have yet.
#[test]
fn a_peer_with_newer_records_proves_nothing() {
    let mut freshness = Freshness::default();
    let id = freshness.ask(secs(10));
    assert!(!freshness.apply(&Answer { id, is_known: false, age: secs(0) }));
    assert_eq!(freshness.age(secs(10)), None);
}

/// Guards against a revocation in a record that could not be decoded.
#[test]
fn an_unreadable_newest_record_ends_the_proof() {
    let mut freshness = Freshness::default();
    freshness.record_applied(false);
    freshness.record_read(secs(10));
    assert_eq!(freshness.age(secs(10)), None);
    freshness.record_applied(true);
    assert_eq!(freshness.age(secs(11)), Some(secs(1)));
}

/// Guards against routers without the store that keep a proof alive by asking each other.
#[test]
fn a_ring_of_peers_does_not_keep_a_proof_alive() {
    const STEP: Duration = Duration::from_millis(100);
    let mut ring = vec![Freshness::default(); 5];
    ring[0].record_read(secs(100));
    let mut now = secs(100);
    for step in 0..200 {
        let (asking, answering) = (step % 5, (step + 3) % 5);
        let id = ring[asking].ask(now);
        if let Some(age) = ring[answering].age(now) {
            let answer = Answer { id, is_known: true, age };
            now += STEP;
            ring[asking].apply(&answer);
        }
        for freshness in &ring {
            assert!(freshness.age(now).is_none_or(|age| age >= now - secs(100)));
        }
    }
}
