//! Requests from before and after a pause, read in each possible order.

use super::{PAUSE_THRESHOLD, PauseDetector, TICK_INTERVAL, WatchedStream};
use rstest::rstest;
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::Duration,
};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};

/// Far longer than any fixed grace period after a pause.
const LONG_AFTER: Duration = Duration::from_secs(30);

struct Caller {
    socket: DuplexStream,
    connection: WatchedStream<DuplexStream>,
}

fn connect(detector: &Arc<PauseDetector>) -> Caller {
    let (socket, accepted) = tokio::io::duplex(64);
    Caller { socket, connection: WatchedStream::new(accepted, detector.clone()) }
}

impl Caller {
    fn send(&mut self) {
        let mut cx = Context::from_waker(Waker::noop());
        let sent = Pin::new(&mut self.socket).poll_write(&mut cx, b"booking");
        assert!(matches!(sent, Poll::Ready(Ok(7))), "{sent:?}");
    }

    /// Returns whether a request was read.
    fn read(&mut self) -> bool {
        let mut bytes = [0; 64];
        let mut buf = ReadBuf::new(&mut bytes);
        let mut cx = Context::from_waker(Waker::noop());
        Pin::new(&mut self.connection).poll_read(&mut cx, &mut buf).is_ready()
    }

    fn may_predate_pause(&self, detector: &PauseDetector, now: Duration) -> bool {
        detector.may_predate_pause(now, &self.connection.connection)
    }
}

/// Ticks at the regular interval, without polling any connection.
fn run_until(detector: &PauseDetector, from: Duration, until: Duration) {
    let mut now = from;
    while now < until {
        detector.tick(now);
        now += TICK_INTERVAL;
    }
}

/// A request from before a pause must be detected however late it is read, or the call runs twice.
#[rstest]
#[case::read_at_once(Duration::ZERO)]
#[case::read_after_half_a_second(Duration::from_millis(600))]
#[case::read_long_after(LONG_AFTER)]
fn a_request_from_before_a_pause_is_detected_whenever_it_is_read(#[case] read_after: Duration) {
    let start = Duration::ZERO;
    let detector = Arc::new(PauseDetector::new(start));
    let mut caller = connect(&detector);
    caller.send();
    let resumed = start + PAUSE_THRESHOLD * 3;
    run_until(&detector, resumed, resumed + read_after);
    assert!(caller.read());
    assert!(caller.may_predate_pause(&detector, resumed + read_after));
}

/// A pause detected by one request must apply to every other request from before it.
#[rstest]
fn two_requests_from_before_a_pause_are_both_detected() {
    let start = Duration::ZERO;
    let detector = Arc::new(PauseDetector::new(start));
    let (mut first, mut second) = (connect(&detector), connect(&detector));
    first.send();
    second.send();
    assert!(first.read());
    let resumed = start + PAUSE_THRESHOLD * 3;
    assert!(first.may_predate_pause(&detector, resumed));
    assert!(second.read());
    assert!(second.may_predate_pause(&detector, resumed));
}

/// A poll that uses readiness from before the pause must not count as finding the socket empty.
#[rstest]
fn a_poll_with_stale_readiness_is_not_counted() {
    let start = Duration::ZERO;
    let detector = Arc::new(PauseDetector::new(start));
    let mut caller = connect(&detector);
    let resumed = start + PAUSE_THRESHOLD * 3;
    // A request detects the pause before the overdue tick runs.
    assert!(caller.may_predate_pause(&detector, resumed));
    detector.tick(resumed);
    assert!(!caller.read(), "stale readiness from before the pause");
    caller.send();
    detector.tick(resumed + TICK_INTERVAL);
    assert!(caller.read());
    assert!(caller.may_predate_pause(&detector, resumed + TICK_INTERVAL));
}

/// Requests sent after a pause, on idle or new connections, must run normally.
#[rstest]
fn requests_after_a_pause_run() {
    let start = Duration::ZERO;
    let detector = Arc::new(PauseDetector::new(start));
    let mut idle = connect(&detector);
    assert!(!idle.read());
    let resumed = start + PAUSE_THRESHOLD * 3;
    run_until(&detector, resumed, resumed + TICK_INTERVAL * 3);
    // The second tick wakes the connection and the listener, which poll again.
    assert!(!idle.read());
    let mut cx = Context::from_waker(Waker::noop());
    assert!(detector.poll_accept(&mut cx, |_| Poll::<()>::Pending).is_pending());
    let mut new = connect(&detector);
    for caller in [&mut idle, &mut new] {
        caller.send();
        assert!(caller.read());
        assert!(!caller.may_predate_pause(&detector, resumed + TICK_INTERVAL * 3));
    }
}

/// A connection queued at the listener during a pause must not be treated as new.
#[rstest]
fn a_request_on_a_connection_accepted_after_a_pause_is_detected() {
    let start = Duration::ZERO;
    let detector = Arc::new(PauseDetector::new(start));
    let resumed = start + PAUSE_THRESHOLD * 3;
    run_until(&detector, resumed, resumed + LONG_AFTER);
    let mut caller = connect(&detector);
    caller.send();
    assert!(caller.read());
    assert!(caller.may_predate_pause(&detector, resumed + LONG_AFTER));
}
