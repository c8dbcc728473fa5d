//! Sockets with requests from before a pause, read in each order that a scheduler may take.

use super::{PAUSE_THRESHOLD, PauseDetector, TICK_INTERVAL, WatchedStream};
use rstest::rstest;
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::Duration,
};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};

/// Longer than any host is busy; a guard by time would have let go long before.
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

    /// Whether a request was there.
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

/// Turns as often as a running process does, and leaves time for none.
fn run_until(detector: &PauseDetector, from: Duration, until: Duration) {
    let mut now = from;
    while now < until {
        detector.tick(now);
        now += TICK_INTERVAL;
    }
}

/// A router is frozen with a booking unread in its socket. It goes on on a busy host, where the watch
/// has its turns at once and the connection is read only much later. Run then, the user who has
/// booked elsewhere meanwhile has two vans at the door.
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

/// The process is frozen between reading a booking and looking at the time, and another request
/// notices the pause first. Both lay there all the while; neither may run.
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

/// After the pause the runtime polls a connection by what it knew of the socket before, and finds
/// nothing although a booking is there. Taken for a look, it would make the booking seem new.
#[rstest]
fn a_poll_with_stale_readiness_is_not_counted() {
    let start = Duration::ZERO;
    let detector = Arc::new(PauseDetector::new(start));
    let mut caller = connect(&detector);
    let resumed = start + PAUSE_THRESHOLD * 3;
    // Another request notices the pause, then the watch has the turn that was due before it.
    assert!(caller.may_predate_pause(&detector, resumed));
    detector.tick(resumed);
    assert!(!caller.read(), "stale readiness from before the pause");
    caller.send();
    detector.tick(resumed + TICK_INTERVAL);
    assert!(caller.read());
    assert!(caller.may_predate_pause(&detector, resumed + TICK_INTERVAL));
}

/// A caller keeps a connection for its next booking while the router is frozen, and another connects
/// after it. Both would be told "unknown" for a booking that is as new as any.
#[rstest]
fn requests_after_a_pause_run() {
    let start = Duration::ZERO;
    let detector = Arc::new(PauseDetector::new(start));
    let mut idle = connect(&detector);
    assert!(!idle.read());
    let resumed = start + PAUSE_THRESHOLD * 3;
    run_until(&detector, resumed, resumed + TICK_INTERVAL * 3);
    // The watch wakes the connection and the listener, which look again.
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

/// A connection was made while the process was frozen, and lies in the listener's queue with its
/// booking. Taken after the pause it looks like a new one.
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
