//! A slow link of a host, which all that comes in shares, and a proxy for a peer behind it.

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

/// Bytes that cross at once; flows take turns at this size.
const PIECE: usize = 8 << 10;
/// Largest datagram that passes.
const DATAGRAM: usize = 60_000;

/// A link that carries so many bytes a second, whoever sends them.
#[derive(Clone)]
pub struct Link {
    bytes_per_s: usize,
    turn: Arc<Mutex<()>>,
    transferred_bytes: Arc<AtomicUsize>,
}

impl Link {
    pub fn new(bytes_per_s: usize) -> Self {
        Self { bytes_per_s, turn: Arc::default(), transferred_bytes: Arc::default() }
    }

    /// Waits until one piece has crossed.
    async fn transfer_chunk(&self, len: usize) {
        // The lock is fair, so flows beside one another get equal shares.
        let _turn = self.turn.lock().await;
        tokio::time::sleep(Duration::from_secs_f64(len as f64 / self.bytes_per_s as f64)).await;
        self.transferred_bytes.fetch_add(len, Ordering::Relaxed);
    }

    /// Waits until so many bytes have crossed; tells of each piece.
    pub async fn transfer(&self, len: usize, heard: impl Fn()) {
        let mut left = len;
        while left > 0 {
            let piece = left.min(PIECE);
            self.transfer_chunk(piece).await;
            heard();
            left -= piece;
        }
    }

    /// Bytes that have crossed.
    pub fn transferred_bytes(&self) -> usize {
        self.transferred_bytes.load(Ordering::Relaxed)
    }
}

/// A peer as it is seen over a link: its datagrams pass at once, what it hands over takes its time.
pub struct RemotePeer {
    pub addr: SocketAddr,
    taken: Arc<AtomicUsize>,
}

impl RemotePeer {
    /// Opens one at `addr`; datagrams to it reach `router`, connections to it reach `peer`.
    pub async fn open(addr: SocketAddr, peer: SocketAddr, router: SocketAddr, link: Link) -> Self {
        let socket = UdpSocket::bind(addr).await.unwrap();
        let listener = TcpListener::bind(addr).await.unwrap();
        let taken = Arc::new(AtomicUsize::new(0));
        let count = taken.clone();
        tokio::spawn(async move {
            let mut buf = vec![0; DATAGRAM];
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
                count.fetch_add(1, Ordering::Relaxed);
                let far = TcpStream::connect(peer).await.unwrap();
                tokio::spawn(pass(near, far, link.clone()));
            }
        });
        Self { addr, taken }
    }

    /// Connections that were made to the peer.
    pub fn connections(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }
}

async fn pass(near: TcpStream, far: TcpStream, link: Link) {
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let ask = tokio::io::copy(&mut near_read, &mut far_write);
    let hand_over = async {
        let mut buf = vec![0; PIECE];
        while let Ok(len @ 1..) = far_read.read(&mut buf).await {
            link.transfer_chunk(len).await;
            if near_write.write_all(&buf[..len]).await.is_err() {
                return;
            }
        }
        near_write.shutdown().await.ok();
    };
    // Whoever asked and has gone takes nothing more; the rest of it stays off the link.
    tokio::select! {
        _ = ask => {}
        () = hand_over => {}
    }
}
