//! Detection of requests that may have been sent before a pause of this process.
//!
//! After a pause, such as a suspended host, a process reads requests that were buffered before it.
//! Their callers may have retried elsewhere, so running one may duplicate a call. Each connection
//! records the last poll that found its socket empty: until such a poll follows the latest pause, a
//! request read from the connection may predate it.
//!
//! ```
//! use corianderstand_types::pause::{PauseDetector, TICK_INTERVAL};
//! use std::time::Duration;
//!
//! let start = Duration::ZERO;
//! let detector = PauseDetector::new(start);
//! let connection = detector.connection();
//! assert!(!detector.may_predate_pause(start + TICK_INTERVAL, &connection));
//! assert!(detector.may_predate_pause(start + Duration::from_secs(5), &connection));
//! ```

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, Weak},
    task::{Context, Poll, Waker},
    time::Duration,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Interval between two calls of [`PauseDetector::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a tick that counts as a pause; shorter than callers' timeouts.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Counts the pauses of this process and tracks its connections.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<State>,
    listener: Arc<Connection>,
}

#[derive(Debug)]
struct State {
    /// Latest time seen by a tick or a request, as time since boot, which includes suspension.
    last_seen_at: Duration,
    pauses: u64,
    /// When the latest pause was noticed.
    paused_at: Option<Duration>,
    pauses_at_last_tick: u64,
    /// Value of `pauses` confirmed by two ticks, between which the runtime refreshes its readiness
    /// of sockets.
    confirmed_pauses: u64,
    connections: Vec<Weak<Connection>>,
}

/// The last poll that found a connection's socket empty.
#[derive(Debug)]
pub struct Connection(Mutex<LastEmpty>);

#[derive(Debug)]
struct LastEmpty {
    /// Number of pauses before the last poll that found the socket empty.
    pauses: u64,
    waker: Option<Waker>,
}

impl PauseDetector {
    /// Creates a detector at `now`, the time since boot.
    pub fn new(now: Duration) -> Self {
        let state = State {
            last_seen_at: now,
            pauses: 0,
            paused_at: None,
            pauses_at_last_tick: 0,
            confirmed_pauses: 0,
            connections: Vec::new(),
        };
        Self { state: Mutex::new(state), listener: Arc::new(Connection::last_empty_after(0)) }
    }

    /// Checks for a pause; called every [`TICK_INTERVAL`] by a task of the runtime that reads requests.
    ///
    /// After a pause it wakes all connections, which poll their sockets again.
    pub fn tick(&self, now: Duration) {
        let mut state = self.lock();
        state.observe(now);
        let pauses = state.pauses;
        let pauses_at_last_tick = std::mem::replace(&mut state.pauses_at_last_tick, pauses);
        if pauses_at_last_tick != pauses || state.confirmed_pauses == pauses {
            return;
        }
        state.confirmed_pauses = pauses;
        state.connections.retain(|connection| connection.strong_count() > 0);
        let connections: Vec<_> = state.connections.iter().filter_map(Weak::upgrade).collect();
        drop(state);
        for connection in connections.iter().chain([&self.listener]) {
            connection.wake();
        }
    }

    /// Registers an accepted connection; it was opened after the listener was last found empty.
    pub fn connection(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection::last_empty_after(self.listener.lock().pauses));
        let mut state = self.lock();
        if state.connections.len() == state.connections.capacity() {
            state.connections.retain(|connection| connection.strong_count() > 0);
        }
        state.connections.push(Arc::downgrade(&connection));
        connection
    }

    /// Whether a request read from the connection may have been sent before the latest pause.
    pub fn may_predate_pause(&self, now: Duration, connection: &Connection) -> bool {
        let mut state = self.lock();
        state.observe(now);
        state.pauses != connection.lock().pauses
    }

    /// Whether this process was paused within a time before now.
    pub fn was_paused_within(&self, now: Duration, time: Duration) -> bool {
        let mut state = self.lock();
        state.observe(now);
        state.paused_at.is_some_and(|at| now.saturating_sub(at) <= time)
    }

    /// Polls a listener and records when it has no pending connection.
    pub fn poll_accept<T>(
        &self,
        cx: &mut Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        self.poll_tracked(&self.listener, cx, poll)
    }

    fn poll_tracked<T>(
        &self,
        connection: &Connection,
        cx: &mut Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        // Read before polling, so that a pause in between is not counted as over.
        let state = self.lock();
        let confirmed_pauses = (state.confirmed_pauses == state.pauses).then_some(state.pauses);
        drop(state);
        let polled = poll(cx);
        if polled.is_pending() {
            let mut last_empty = connection.lock();
            last_empty.pauses = confirmed_pauses.unwrap_or(last_empty.pauses);
            if !last_empty.waker.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
                last_empty.waker = Some(cx.waker().clone());
            }
        }
        polled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

impl State {
    fn observe(&mut self, now: Duration) {
        let paused = now.saturating_sub(self.last_seen_at) > PAUSE_THRESHOLD;
        self.last_seen_at = self.last_seen_at.max(now);
        if paused {
            self.pauses += 1;
            self.paused_at = Some(now);
            tracing::warn!("process was paused: unread requests may predate the pause");
        }
    }
}

impl Connection {
    const fn last_empty_after(pauses: u64) -> Self {
        Self(Mutex::new(LastEmpty { pauses, waker: None }))
    }

    fn wake(&self) {
        if let Some(waker) = self.lock().waker.take() {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, LastEmpty> {
        self.0.lock().expect("no holder of this lock panics")
    }
}

/// A caller's stream that records when its socket is empty.
#[derive(Debug)]
pub struct WatchedStream<S> {
    inner: S,
    detector: Arc<PauseDetector>,
    connection: Arc<Connection>,
}

impl<S> WatchedStream<S> {
    /// Wraps an accepted stream.
    pub fn new(inner: S, detector: Arc<PauseDetector>) -> Self {
        let connection = detector.connection();
        Self { inner, detector, connection }
    }

    /// The connection's record in the detector.
    pub fn connection(&self) -> Arc<Connection> {
        self.connection.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let inner = Pin::new(&mut this.inner);
        this.detector.poll_tracked(&this.connection, cx, |cx| inner.poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
