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
const BUFFER_BYTES: usize = 16 * 1024;

/// Bytes and messages of one path.
#[derive(Debug, Default)]
pub struct ByteCounter {
    /// Bytes from the process that is measured.
    pub sent: AtomicU64,
    /// Bytes to it.
    pub received: AtomicU64,
}

impl ByteCounter {
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
pub async fn start(to: String, counter: Arc<ByteCounter>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, to.clone(), counter.clone()));
        }
    });
    address
}

async fn forward(client: TcpStream, to: String, counter: Arc<ByteCounter>) {
    let Ok(upstream) = TcpStream::connect(&to).await else { return };
    drop((client.set_nodelay(true), upstream.set_nodelay(true)));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::join!(
        copy(client_read, upstream_write, &counter.sent),
        copy(upstream_read, client_write, &counter.received)
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counter: &AtomicU64) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 || to.write_all(&buf[..length]).await.is_err() {
            return;
        }
        counter.fetch_add(length as u64, Ordering::Relaxed);
    }
}
