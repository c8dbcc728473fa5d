//! Disconnects callers that read nothing of their response.
//!
//! A response waits in the buffers of its connection and of its target's until its caller reads. Without a limit,
//! callers that never read would hold memory, connections and places at targets for as long as they like.

use std::{
    io::{self, IoSlice},
    net::IpAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Sleep,
};

/// A caller's stream whose writes fail once nothing could be written for a while.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    caller: IpAddr,
    timeout: Duration,
    /// Runs while a write is pending.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps the stream of a caller.
    pub const fn new(inner: S, caller: IpAddr, timeout: Duration) -> Self {
        Self { inner, caller, timeout, stalled: None }
    }

    fn limit<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let timeout = self.timeout;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(stalled.as_mut().poll(cx));
        tracing::info!(caller = %self.caller, timeout_ms = timeout.as_millis() as u64,
            "caller disconnected: it does not read its response");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.limit(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        self.limit(cx, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.limit(cx, written)
    }
}
