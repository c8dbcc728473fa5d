//! Connection pool to targets and the store.
//!
//! A connection carries one request at a time and is reused only well before the server's keep-alive
//! time ends: it is unknown whether a request that crosses a close was read.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{client::conn::http1, rt};
use hyper_util::rt::TokioIo;
use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::net::TcpStream;

/// Body of outgoing requests.
pub type Body = Full<Bytes>;
/// Sends requests on one connection.
pub type Sender = http1::SendRequest<Body>;

/// Round trips to targets and the store take a few ms at most.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Keep-alive time of servers that state none; common defaults are 5 s or more.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Fraction of the keep-alive time for which an idle connection may be reused.
const KEEP_ALIVE_DIVISOR: u32 = 2;
/// Largest head of a response, in bytes. A longer one ends its connection.
const MAX_HEAD_BYTES: usize = 64 << 10;
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
    keep_alive: Duration,
}

/// A connection in use.
#[derive(Debug)]
pub struct Lease {
    /// The request sender.
    pub sender: Sender,
    /// The server's address.
    pub addr: SocketAddr,
    /// Whether it carried a request before.
    pub is_reused: bool,
}

/// Skips the shutdown of the write half, so that closing resets the connection.
struct ResetOnClose(TokioIo<TcpStream>);

impl rt::Read for ResetOnClose {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl rt::Write for ResetOnClose {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle_connections: RefCell<HashMap<SocketAddr, VecDeque<IdleConnection>>>,
}

impl Pool {
    /// Returns an idle connection, or opens one.
    pub async fn lease(&self, now: Instant, addr: SocketAddr) -> Result<Lease, io::Error> {
        match self.pop_idle(now, addr) {
            Some(sender) => Ok(Lease { sender, addr, is_reused: true }),
            None => self.open(addr).await,
        }
    }

    /// Opens a connection.
    pub async fn open(&self, addr: SocketAddr) -> Result<Lease, io::Error> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        // Closing discards unsent data, which must not arrive after its caller has left.
        socket.set_linger(Some(Duration::ZERO))?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(ResetOnClose(TokioIo::new(stream))).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%addr, %error, "connection ended");
            }
        });
        Ok(Lease { sender, addr, is_reused: false })
    }

    /// Returns a connection whose response was read; `keep_alive` is the time that the server stated.
    pub fn release(&self, now: Instant, lease: Lease, keep_alive: Option<Duration>) {
        let keep_alive =
            keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE * KEEP_ALIVE_DIVISOR) / KEEP_ALIVE_DIVISOR;
        if lease.sender.is_closed() || keep_alive.is_zero() {
            return;
        }
        let idle = IdleConnection { sender: lease.sender, idle_since: now, keep_alive };
        self.idle_connections.borrow_mut().entry(lease.addr).or_default().push_back(idle);
    }

    /// Closes expired connections.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle_connections.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|idle| idle.is_reusable(now));
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle_connections.borrow_mut().remove(&addr);
    }

    /// The most recently used connection is the least likely to be closing.
    fn pop_idle(&self, now: Instant, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle_connections.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(idle) = list.pop_back() {
            if idle.is_reusable(now) && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }
}

impl IdleConnection {
    fn is_reusable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now.saturating_duration_since(self.idle_since) < self.keep_alive
    }
}
