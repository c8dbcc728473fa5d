//! A simulated slow link of a host, and a proxy for a peer behind it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::Mutex,
};

/// Unit of fair sharing between flows.
const CHUNK_BYTES: usize = 8 << 10;
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A link whose bandwidth is shared by all flows.
#[derive(Clone)]
pub struct Link {
    bytes_per_s: usize,
    lock: Arc<Mutex<()>>,
    transferred_bytes: Arc<AtomicUsize>,
}

impl Link {
    pub fn new(bytes_per_s: usize) -> Self {
        Self { bytes_per_s, lock: Arc::default(), transferred_bytes: Arc::default() }
    }

    async fn transfer_chunk(&self, len: usize) {
        // The lock is fair, so concurrent flows get equal shares.
        let _guard = self.lock.lock().await;
        tokio::time::sleep(Duration::from_secs_f64(len as f64 / self.bytes_per_s as f64)).await;
        self.transferred_bytes.fetch_add(len, Ordering::Relaxed);
    }

    /// Waits until `len` bytes are transferred, calling `on_chunk` after each chunk.
    pub async fn transfer(&self, len: usize, on_chunk: impl Fn()) {
        let mut remaining = len;
        while remaining > 0 {
            let chunk = remaining.min(CHUNK_BYTES);
            self.transfer_chunk(chunk).await;
            on_chunk();
            remaining -= chunk;
        }
    }

    pub fn transferred_bytes(&self) -> usize {
        self.transferred_bytes.load(Ordering::Relaxed)
    }
}

/// A proxy for a peer: datagrams pass without delay, TCP responses share the link.
pub struct RemotePeer {
    pub addr: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

impl RemotePeer {
    /// Opens a proxy at `addr` that forwards the peer's datagrams to `router` and connections to `peer`.
    pub async fn open(addr: SocketAddr, peer: SocketAddr, router: SocketAddr, link: Link) -> Self {
        let socket = UdpSocket::bind(addr).await.unwrap();
        let listener = TcpListener::bind(addr).await.unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let accepted_count = accepted.clone();
        tokio::spawn(async move {
            let mut buf = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((len, from)) = socket.recv_from(&mut buf).await else { continue };
                if from == peer {
                    socket.send_to(&buf[..len], router).await.unwrap();
                }
            }
        });
        tokio::spawn(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                accepted_count.fetch_add(1, Ordering::Relaxed);
                let far = TcpStream::connect(peer).await.unwrap();
                tokio::spawn(proxy(near, far, link.clone()));
            }
        });
        Self { addr, accepted }
    }

    pub fn connections(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
}

async fn proxy(near: TcpStream, far: TcpStream, link: Link) {
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let requests = tokio::io::copy(&mut near_read, &mut far_write);
    let responses = async {
        let mut buf = vec![0; CHUNK_BYTES];
        while let Ok(len @ 1..) = far_read.read(&mut buf).await {
            link.transfer_chunk(len).await;
            if near_write.write_all(&buf[..len]).await.is_err() {
                return;
            }
        }
        near_write.shutdown().await.ok();
    };
    // Stops when the requester disconnects, so that the rest does not occupy the link.
    tokio::select! {
        _ = requests => {}
        () = responses => {}
    }
}
