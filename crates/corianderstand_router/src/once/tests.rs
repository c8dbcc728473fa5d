use super::is_past_retention;
use corianderstand_state::calls;
use rstest::rstest;
use std::time::{Duration, SystemTime};

const CREATED_MS: u64 = 0x018f_3b2c_4d5e;

/// A repeat under a key past its retention must not be treated as a new call and run twice.
#[rstest]
#[case::new("018f3b2c-4d5e-7abc-8def-0123456789ab", 0, false)]
#[case::a_day_old("018f3b2c-4d5e-7abc-8def-0123456789ab", 24 * 3_600_000, false)]
#[case::too_old("018f3b2c-4d5e-7abc-8def-0123456789ab", calls::KEY_RETENTION_MS + 1, true)]
#[case::random_uuid("018f3b2c-4d5e-4abc-8def-0123456789ab", calls::KEY_RETENTION_MS + 1, false)]
#[case::not_a_uuid("booking-17", calls::KEY_RETENTION_MS + 1, false)]
fn a_uuid_v7_past_retention_is_detected(
    #[case] key: &str,
    #[case] age_ms: u64,
    #[case] expected: bool,
) {
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(CREATED_MS + age_ms);
    assert_eq!(is_past_retention(key, now), expected);
}
