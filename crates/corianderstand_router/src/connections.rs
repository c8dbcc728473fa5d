//! Connections from callers: how many are held, and how long each may stall.

use corianderstand_schema::process::Limits;
use salvo::{
    async_trait,
    conn::ConnCtrl,
    fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy},
};
use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Connections beyond the limit that are still told so; those beyond are closed at once.
const MAX_EXCESS_CONNECTIONS: usize = 256;

/// The connections held now.
///
/// Accepting no more at the limit would leave a caller waiting in the system's backlog without
/// a word. So some more are accepted, and each request on them is refused with a time to come
/// back; the ones within the limit are not touched.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    fuse: FuseConfig,
    count: AtomicUsize,
    excess: Mutex<HashSet<SocketAddr>>,
}

impl Connections {
    /// No connections yet, under the limits of the settings.
    pub fn new(limits: &Limits) -> Arc<Self> {
        // A caller that sends no whole head in time is closed, also one that keeps a connection
        // idle; one that leaves an answer unread is closed, so that what is held for it here and
        // at the engine is given back.
        let fuse = FuseConfig::disabled()
            .with_http1_header_timeout(limits.read_timeout_ms.0)
            .with_write_stall_timeout(limits.write_timeout_ms.0);
        let limit = limits.max_connections as usize;
        Arc::new(Self { limit, fuse, count: AtomicUsize::new(0), excess: Mutex::default() })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Whether a connection came when as many as allowed were held already.
    pub fn is_excess(&self, remote: Option<SocketAddr>) -> bool {
        remote.is_some_and(|remote| self.lock().contains(&remote))
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.excess.lock().expect("no holder of this lock panics")
    }
}

/// What the server asks at each new connection.
pub struct ConnectionPolicy(pub Arc<Connections>);

#[async_trait]
impl FusePolicy for ConnectionPolicy {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        let connections = &self.0;
        if connections.count.load(Ordering::Relaxed) >= connections.limit + MAX_EXCESS_CONNECTIONS {
            return FuseAction::Reject;
        }
        FuseAction::Accept(connections.fuse)
    }

    fn observe(&self, info: &FuseInfo, _ctrl: &ConnCtrl) -> Option<ArcConnObserver> {
        let connections = self.0.clone();
        let before = connections.count.fetch_add(1, Ordering::Relaxed);
        let remote = info.remote_addr.clone().into_std();
        if before >= connections.limit {
            connections.lock().extend(remote);
        }
        Some(Arc::new(ConnectionGuard { connections, remote }))
    }
}

/// One connection; the server drops it when the connection ends.
struct ConnectionGuard {
    connections: Arc<Connections>,
    remote: Option<SocketAddr>,
}

impl ConnObserver for ConnectionGuard {}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.count.fetch_sub(1, Ordering::Relaxed);
        if let Some(remote) = &self.remote {
            self.connections.lock().remove(remote);
        }
    }
}
