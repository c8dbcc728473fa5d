use super::is_past_retention;
use corianderstand_state::calls;
use rstest::rstest;
use std::time::{Duration, SystemTime};

const CREATED_MS: u64 = 0x018f_3b2c_4d5e;

/// A phone that was off for two days sends its booking again. The key is no longer remembered,
/// so taking it for a new one would book a second time.
#[rstest]
#[case::just_made("018f3b2c-4d5e-7abc-8def-0123456789ab", 0, false)]
#[case::a_day_old("018f3b2c-4d5e-7abc-8def-0123456789ab", 24 * 3_600_000, false)]
#[case::too_old("018f3b2c-4d5e-7abc-8def-0123456789ab", calls::KEY_RETENTION_MS + 1, true)]
#[case::random_uuid("018f3b2c-4d5e-4abc-8def-0123456789ab", calls::KEY_RETENTION_MS + 1, false)]
#[case::any_text("booking-17", calls::KEY_RETENTION_MS + 1, false)]
fn a_key_with_a_time_is_known_to_be_forgotten(
    #[case] key: &str,
    #[case] age_ms: u64,
    #[case] expected: bool,
) {
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(CREATED_MS + age_ms);
    assert_eq!(is_past_retention(key, now), expected);
}
