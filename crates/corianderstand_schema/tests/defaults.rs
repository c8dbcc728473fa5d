//! Defaults of the generated process settings match the schema.

use corianderstand_schema::process::{Limits, RouterSettings, Timing};
use rstest::rstest;
use serde_json::json;

/// Guards against generated defaults of zero, with which a router accepts no connections.
#[rstest]
fn settings_without_limits_get_the_defaults_of_the_schema() {
    let settings: RouterSettings = serde_json::from_value(json!({
        "name": "router-1", "host": "host-1", "place": "conce", "listen": "127.0.0.1:1",
        "log_url": "http://127.0.0.1:2", "host_list_url": "http://127.0.0.1:3",
        "auth_key": "00", "operator_key_hash": "00",
    }))
    .expect("all required fields are given");
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.timing, Timing::default());
    assert_eq!(settings.limits.max_connections, 4096);
}
