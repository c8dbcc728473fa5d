use super::{AFTERMATH, PAUSE, PauseWatch, TURN};
use rstest::rstest;
use std::time::Instant;

/// A process is frozen for a while. Whoever runs first afterwards, the watch or a request, the
/// requests that waited in the sockets are known to be doubtful, and later ones are not.
#[rstest]
#[case::request_first(0)]
#[case::watch_first(2)]
fn requests_are_doubtful_for_a_moment_after_a_pause(#[case] turns: u32) {
    let began = Instant::now();
    let watch = PauseWatch::new(began);
    assert!(!watch.is_doubtful(began + TURN));
    let resumed = began + TURN + PAUSE * 3;
    for turn in 0..turns {
        watch.is_doubtful(resumed + TURN * turn);
    }
    assert!(watch.is_doubtful(resumed + TURN * turns));
    let mut now = resumed;
    while now < resumed + AFTERMATH {
        now += TURN;
        watch.is_doubtful(now);
    }
    assert!(!watch.is_doubtful(now + TURN));
}
