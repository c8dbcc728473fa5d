//! Tests of heartbeats, idle connections and unresponsive connections.

use super::{HeartbeatAction, HeartbeatMonitor};
use crate::dial::IDLE_HEARTBEATS;
use corianderstand_schema::process::Timing;
use rstest::rstest;

fn monitor() -> HeartbeatMonitor {
    let timing: Timing = serde_json::from_str("{}").expect("all fields have defaults");
    let mut monitor = HeartbeatMonitor::new(&timing);
    monitor.on_received();
    monitor.on_tick(true);
    monitor
}

#[rstest]
fn active_stream_sends_no_heartbeats() {
    let mut monitor = monitor();
    for _ in 0..100 {
        monitor.on_received();
        monitor.on_sent();
        assert_eq!(monitor.on_tick(true), HeartbeatAction::Skip);
    }
}

#[rstest]
fn stream_waiting_for_its_first_token_sends_heartbeats() {
    let mut monitor = monitor();
    for _ in 0..100 {
        assert!(matches!(monitor.on_tick(true), HeartbeatAction::Ping(_)));
        monitor.on_received();
    }
}

/// Guards against callers that wait forever on a half-open connection, which reports no error.
#[rstest]
fn unresponsive_connection_fails_despite_outgoing_heartbeats() {
    let mut monitor = monitor();
    let actions: Vec<HeartbeatAction> = (0..10).map(|_| monitor.on_tick(true)).collect();
    assert!(
        actions.iter().any(|action| matches!(action, HeartbeatAction::Unresponsive(_))),
        "{actions:?}"
    );
}

#[rstest]
fn only_an_idle_connection_is_closed() {
    let mut monitor = monitor();
    let mut closed_at_tick = None;
    for tick in 0..IDLE_HEARTBEATS * 2 {
        monitor.on_received();
        if monitor.on_tick(false) == HeartbeatAction::CloseIdle {
            closed_at_tick = Some(tick);
            break;
        }
    }
    assert_eq!(closed_at_tick, Some(IDLE_HEARTBEATS));
    let mut monitor = self::monitor();
    for _ in 0..IDLE_HEARTBEATS * 10 {
        monitor.on_received();
        assert_ne!(monitor.on_tick(true), HeartbeatAction::CloseIdle);
    }
}
