//! Requests that lay in a socket while this process stood still.
//!
//! A process may be frozen for seconds with a request unread in its socket. When it goes on, it
//! reads the request as if it had just come; its caller may have given up long ago and have booked
//! elsewhere, and run now the booking would be a second one. Nothing in the request tells its age,
//! and no time after the pause is long enough to be sure: on a busy host a socket is read late. So
//! each connection notes when its socket was last seen empty. Bytes that come after that look were
//! sent after it; a connection that has not been seen empty since the last pause may still carry a
//! request from before it.
//!
//! ```
//! use corianderstand_types::pause::{PauseDetector, TICK_INTERVAL};
//! use std::time::Duration;
//!
//! let began = Duration::ZERO;
//! let watch = PauseDetector::new(began);
//! let connection = watch.connection();
//! assert!(!watch.may_predate_pause(began + TICK_INTERVAL, &connection));
//! assert!(watch.may_predate_pause(began + Duration::from_secs(5), &connection));
//! ```

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, Weak},
    task::{Context, Poll, Waker},
    time::Duration,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Time between two turns of the watch.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a turn that counts as a pause: callers give up after seconds at the earliest, and a
/// busy host leaves a process without the processor for some 100 ms.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Counts the pauses of this process, and knows its connections.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<State>,
    listener: Arc<Connection>,
}

#[derive(Debug)]
struct State {
    /// When a turn was last noted, by the watch itself or by a request, as the time since the host's
    /// start: the steady clock stands still while a host is suspended.
    last_seen_at: Duration,
    /// Pauses so far.
    pauses: u64,
    /// Pauses that the watch's last turn knew of.
    pauses_at_last_tick: u64,
    /// Pauses after which the watch itself has turned twice. Between two of its turns the runtime
    /// asks the system which sockets have bytes; before that, a socket may seem empty by what was
    /// known earlier.
    confirmed_pauses: u64,
    connections: Vec<Weak<Connection>>,
}

/// When one socket was last seen empty.
#[derive(Debug)]
pub struct Connection(Mutex<LastEmpty>);

#[derive(Debug)]
struct LastEmpty {
    /// Pauses that were over then.
    pauses: u64,
    waker: Option<Waker>,
}

impl PauseDetector {
    /// Nothing has been missed yet.
    pub fn new(now: Duration) -> Self {
        let state = State {
            last_seen_at: now,
            pauses: 0,
            pauses_at_last_tick: 0,
            confirmed_pauses: 0,
            connections: Vec::new(),
        };
        Self { state: Mutex::new(state), listener: Arc::new(Connection::last_empty_after(0)) }
    }

    /// Turns the watch; called each [`TICK_INTERVAL`] by a task of the runtime that reads requests.
    ///
    /// After a pause all connections are asked to look at their sockets once more, so that one which
    /// was idle all the while does not count as doubtful when its next request comes.
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

    /// A connection that was just taken.
    ///
    /// It was made after the listener was last seen without connections, so it is as new as that.
    pub fn connection(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection::last_empty_after(self.listener.lock().pauses));
        let mut state = self.lock();
        if state.connections.len() == state.connections.capacity() {
            state.connections.retain(|connection| connection.strong_count() > 0);
        }
        state.connections.push(Arc::downgrade(&connection));
        connection
    }

    /// Whether a request that was read from the connection may have been sent before a pause of this
    /// process; also notes a pause that nobody has seen yet.
    pub fn may_predate_pause(&self, now: Duration, connection: &Connection) -> bool {
        let mut state = self.lock();
        state.observe(now);
        state.pauses != connection.lock().pauses
    }

    /// Polls for connections; notes when there are none.
    pub fn poll_accept<T>(
        &self,
        cx: &mut Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        self.poll_tracked(&self.listener, cx, poll)
    }

    /// Polls a socket and notes when it is empty.
    fn poll_tracked<T>(
        &self,
        connection: &Connection,
        cx: &mut Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        // Asked before the look: a pause between the two leaves the connection doubtful.
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
    /// Notes a turn.
    fn observe(&mut self, now: Duration) {
        let paused = now.saturating_sub(self.last_seen_at) > PAUSE_THRESHOLD;
        self.last_seen_at = self.last_seen_at.max(now);
        if paused {
            self.pauses += 1;
            tracing::warn!("this process stood still: unread requests may predate the pause");
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

/// A caller's connection that notes when it was last seen empty.
#[derive(Debug)]
pub struct WatchedStream<S> {
    inner: S,
    detector: Arc<PauseDetector>,
    connection: Arc<Connection>,
}

impl<S> WatchedStream<S> {
    /// A connection that was just taken.
    pub fn new(inner: S, detector: Arc<PauseDetector>) -> Self {
        let connection = detector.connection();
        Self { inner, detector, connection }
    }

    /// What is known of it.
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
