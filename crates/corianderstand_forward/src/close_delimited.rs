//! Answers to callers that end with their connection, as HTTP/1.0 has neither chunks nor a last one.
//!
//! The system closes the connections of a process that ends as if their answers were whole. Until such an answer is
//! whole, its connection is therefore set to be reset when it is closed, by whomever.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How a connection may be closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Close {
    #[default]
    Regular,
    Reset,
}

/// How a caller's connection is to be closed, shared with the answer that it carries.
#[derive(Clone, Debug, Default)]
pub struct CloseControl(Rc<Cell<Close>>);

impl CloseControl {
    /// Records that an answer begins that ends with its connection.
    pub fn begin_answer(&self) {
        self.0.set(Close::Reset);
    }

    /// Records that the answer is whole.
    pub fn end_answer(&self) {
        self.0.set(Close::Regular);
    }
}

/// A caller's connection that is reset if it is closed within an answer that ends with it.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    control: CloseControl,
    /// What the socket is set to.
    applied: Close,
}

impl Stream {
    /// Wraps the stream of a caller.
    pub fn new(inner: TcpStream) -> Self {
        Self { inner, control: CloseControl::default(), applied: Close::Regular }
    }

    /// The control for the answers on this connection.
    pub fn control(&self) -> CloseControl {
        self.control.clone()
    }

    /// Sets the socket before the first byte of an answer that ends with the connection.
    fn before_write(&mut self) -> io::Result<()> {
        match self.control.0.get() {
            Close::Reset => self.apply(Close::Reset),
            // The end of a whole answer may still be to be written.
            Close::Regular => Ok(()),
        }
    }

    fn apply(&mut self, close: Close) -> io::Result<()> {
        if close != self.applied {
            let linger = (close == Close::Reset).then_some(Duration::ZERO);
            socket2::SockRef::from(&self.inner).set_linger(linger)?;
            self.applied = close;
        }
        Ok(())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let close = self.control.0.get();
        self.apply(close)?;
        match close {
            Close::Regular => Pin::new(&mut self.inner).poll_shutdown(cx),
            // A shutdown would end the answer before the reset.
            Close::Reset => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
