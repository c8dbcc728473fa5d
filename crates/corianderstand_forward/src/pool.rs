//! Connections to targets and to the store.
//!
//! A connection carries one request at a time. It is used again only if the other end is not about
//! to close it: a request that crosses a close may or may not have been read, and one that may not
//! be repeated would then fail without need. Connections that go silent are found by the request's
//! own time limits and by `TCP_USER_TIMEOUT`.

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

/// Body of the requests that this process sends.
pub type Body = Full<Bytes>;
/// Sends requests on one connection.
pub type Sender = http1::SendRequest<Body>;

/// Time for a connection to be opened. The other end is at most a few ms away; a host that is cut
/// off does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Unused time after which a connection is not used again when the other end does not say how long
/// it keeps it. Common defaults of servers begin at 5 s.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Part of the other end's time that is used; the rest covers a slowed host and a request on its way.
const KEEP_ALIVE_DIVISOR: u32 = 2;
/// Bytes that were sent and not acknowledged for this long end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

struct Idle {
    sender: Sender,
    idle_since: Instant,
    keep_alive: Duration,
}

/// A connection that is in use.
#[derive(Debug)]
pub struct Lease {
    /// Sends the request.
    pub sender: Sender,
    /// Where it leads.
    pub addr: SocketAddr,
    /// It has carried a request before.
    pub reused: bool,
}

/// A stream whose end is its reset: it is dropped without saying first that no more will come.
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

/// Connections that wait for their next request.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, VecDeque<Idle>>>,
}

impl Pool {
    /// A connection: one that was used before if there is a sound one, else a new one.
    ///
    /// # Errors
    ///
    /// What kept a new one from being opened.
    pub async fn lease(&self, now: Instant, addr: SocketAddr) -> Result<Lease, io::Error> {
        match self.pop_idle(now, addr) {
            Some(sender) => Ok(Lease { sender, addr, reused: true }),
            None => self.open(addr).await,
        }
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// What kept it from being opened.
    pub async fn open(&self, addr: SocketAddr) -> Result<Lease, io::Error> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        // A connection that is closed takes back what it has not delivered. Else a request that is
        // held up on a link that is cut arrives when the link is back, long after its caller left.
        socket.set_linger(Some(Duration::ZERO))?;
        let handshake = http1::handshake(ResetOnClose(TokioIo::new(stream))).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%addr, %error, "connection ended");
            }
        });
        Ok(Lease { sender, addr, reused: false })
    }

    /// Gives back a connection whose answer was read to its end. `keep` is the time for which the
    /// other end says that it keeps it.
    pub fn release(&self, now: Instant, lease: Lease, keep_alive: Option<Duration>) {
        let keep_alive =
            keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE * KEEP_ALIVE_DIVISOR) / KEEP_ALIVE_DIVISOR;
        if lease.sender.is_closed() || keep_alive.is_zero() {
            return;
        }
        let idle = Idle { sender: lease.sender, idle_since: now, keep_alive };
        self.idle.borrow_mut().entry(lease.addr).or_default().push_back(idle);
    }

    /// Closes what has been unused for too long.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|idle| idle.is_usable(now));
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Closes what leads to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// The one that was used last, as it is the least likely to be closing.
    fn pop_idle(&self, now: Instant, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(idle) = list.pop_back() {
            if idle.is_usable(now) && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now.saturating_duration_since(self.idle_since) < self.keep_alive
    }
}
