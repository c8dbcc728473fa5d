//! Forwards connections and counts their bytes, so that what a process sends and receives is
//! known without asking it.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// Bytes and messages of one path.
#[derive(Debug, Default)]
pub struct Count {
    /// Bytes from the process that is measured.
    pub sent: AtomicU64,
    /// Bytes to it.
    pub received: AtomicU64,
}

impl Count {
    /// All bytes so far, both ways.
    pub fn total(&self) -> u64 {
        self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed)
    }
}

/// Listens on loopback and forwards to `to`; the address listened on.
///
/// # Panics
///
/// Panics if loopback has no free port.
pub async fn start(to: String, count: Arc<Count>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(forward(near, to.clone(), count.clone()));
        }
    });
    address
}

async fn forward(near: TcpStream, to: String, count: Arc<Count>) {
    let Ok(far) = TcpStream::connect(&to).await else { return };
    drop((near.set_nodelay(true), far.set_nodelay(true)));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, &count.sent),
        copy(far_read, near_write, &count.received)
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: &AtomicU64) {
    let mut buf = vec![0; CHUNK];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 || to.write_all(&buf[..length]).await.is_err() {
            return;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}
