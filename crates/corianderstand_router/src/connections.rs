//! Limits the number of connections from callers and the time each may stall.

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

/// Connections above this excess are closed without a response.
const MAX_EXCESS_CONNECTIONS: usize = 256;

/// Open connections of callers; a few over the limit are accepted only to refuse their requests.
#[derive(Debug)]
pub struct Connections {
    max_connections: usize,
    fuse: FuseConfig,
    count: AtomicUsize,
    excess_callers: Mutex<HashSet<SocketAddr>>,
}

impl Connections {
    pub fn new(limits: &Limits) -> Arc<Self> {
        // The header timeout also closes idle connections.
        let fuse = FuseConfig::disabled()
            .with_http1_header_timeout(limits.read_timeout_ms.0)
            .with_write_stall_timeout(limits.write_timeout_ms.0);
        let limit = limits.max_connections as usize;
        Arc::new(Self {
            max_connections: limit,
            fuse,
            count: AtomicUsize::new(0),
            excess_callers: Mutex::default(),
        })
    }

    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    pub fn is_excess(&self, remote: Option<SocketAddr>) -> bool {
        remote.is_some_and(|remote| self.lock().contains(&remote))
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.excess_callers.lock().expect("no holder of this lock panics")
    }
}

/// Applies [`Connections`] to new connections of the server.
pub struct ConnectionPolicy(pub Arc<Connections>);

#[async_trait]
impl FusePolicy for ConnectionPolicy {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        let connections = &self.0;
        if connections.count.load(Ordering::Relaxed)
            >= connections.max_connections + MAX_EXCESS_CONNECTIONS
        {
            return FuseAction::Reject;
        }
        FuseAction::Accept(connections.fuse)
    }

    fn observe(&self, info: &FuseInfo, _ctrl: &ConnCtrl) -> Option<ArcConnObserver> {
        let connections = self.0.clone();
        let before = connections.count.fetch_add(1, Ordering::Relaxed);
        let remote = info.remote_addr.clone().into_std();
        if before >= connections.max_connections {
            connections.lock().extend(remote);
        }
        Some(Arc::new(ConnectionGuard { connections, remote }))
    }
}

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
