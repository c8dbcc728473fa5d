//! Heartbeats where they are needed, none where they are not.

use super::{Beat, Pulse};
use crate::dial::IDLE_HEARTBEATS;
use corianderstand_schema::process::Timing;
use rstest::rstest;

fn pulse() -> Pulse {
    let timing: Timing = serde_json::from_str("{}").expect("all fields have defaults");
    let mut pulse = Pulse::new(&timing);
    pulse.heard();
    pulse.beat(true);
    pulse
}

#[rstest]
fn a_stream_that_flows_needs_no_heartbeat() {
    let mut pulse = pulse();
    for _ in 0..100 {
        pulse.heard();
        pulse.sent();
        assert_eq!(pulse.beat(true), Beat::Rest);
    }
}

#[rstest]
fn a_stream_that_waits_for_its_first_token_has_heartbeats() {
    let mut pulse = pulse();
    for _ in 0..100 {
        assert!(matches!(pulse.beat(true), Beat::Ping(_)));
        pulse.heard();
    }
}

/// Something between the two ends has lost track of the connection. No error comes, and a
/// caller would wait for its answer for ever.
#[rstest]
fn a_silent_connection_is_given_up_although_heartbeats_go_out() {
    let mut pulse = pulse();
    let beats: Vec<Beat> = (0..10).map(|_| pulse.beat(true)).collect();
    assert!(beats.iter().any(|beat| matches!(beat, Beat::Silent(_))), "{beats:?}");
}

#[rstest]
fn an_idle_connection_is_closed_but_a_busy_one_is_not() {
    let mut pulse = pulse();
    let mut ended = None;
    for tick in 0..IDLE_HEARTBEATS * 2 {
        pulse.heard();
        if pulse.beat(false) == Beat::Idle {
            ended = Some(tick);
            break;
        }
    }
    assert_eq!(ended, Some(IDLE_HEARTBEATS));
    let mut pulse = self::pulse();
    for _ in 0..IDLE_HEARTBEATS * 10 {
        pulse.heard();
        assert_ne!(pulse.beat(true), Beat::Idle);
    }
}
