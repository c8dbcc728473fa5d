//! Tracks when each caller's socket was last found empty, to detect requests that predate a pause.

use corianderstand_types::pause::{Connection, PauseDetector, WatchedStream};
use salvo::{
    conn::{
        Accepted, Acceptor, Holding, StraightStream,
        tcp::{TcpAcceptor, TcpCoupler},
    },
    fuse::ArcFusePolicy,
};
use std::{
    collections::HashMap,
    future, io,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};
use tokio::net::TcpStream;

/// Open connections of callers, by remote address.
#[derive(Debug)]
pub struct WatchedConnections {
    pause_detector: Arc<PauseDetector>,
    by_caller: Mutex<HashMap<SocketAddr, Weak<Connection>>>,
}

impl WatchedConnections {
    pub fn new(now: Duration) -> Arc<Self> {
        Arc::new(Self {
            pause_detector: Arc::new(PauseDetector::new(now)),
            by_caller: Mutex::default(),
        })
    }

    pub fn tick(&self, now: Duration) {
        self.pause_detector.tick(now);
        self.lock().retain(|_, connection| connection.strong_count() > 0);
    }

    /// Whether a request read at `now` may have been sent before a pause of this process.
    pub fn may_predate_pause(&self, now: Duration, caller: Option<SocketAddr>) -> bool {
        let connection = caller.and_then(|caller| self.lock().get(&caller)?.upgrade());
        connection.is_none_or(|connection| self.pause_detector.may_predate_pause(now, &connection))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Weak<Connection>>> {
        self.by_caller.lock().expect("no holder of this lock panics")
    }
}

/// Accepts connections and registers them in [`WatchedConnections`].
pub struct WatchedAcceptor {
    inner: TcpAcceptor,
    watched: Arc<WatchedConnections>,
}

impl WatchedAcceptor {
    pub const fn new(inner: TcpAcceptor, watched: Arc<WatchedConnections>) -> Self {
        Self { inner, watched }
    }
}

impl Acceptor for WatchedAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = WatchedStream<StraightStream<TcpStream>>;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let Self { inner, watched } = self;
        let mut accept = pin!(inner.accept(fuse_policy));
        let poll = |cx: &mut std::task::Context<'_>| {
            watched.pause_detector.poll_accept(cx, |cx| accept.as_mut().poll(cx))
        };
        let accepted = future::poll_fn(poll).await?;
        let caller = accepted.remote_addr.clone().into_std();
        let wrap = |stream| WatchedStream::new(stream, watched.pause_detector.clone());
        let accepted = accepted.map_into(|_| TcpCoupler::new(), wrap);
        if let Some(caller) = caller {
            let connection = accepted.stream.connection();
            watched.lock().insert(caller, Arc::downgrade(&connection));
        }
        Ok(accepted)
    }
}
