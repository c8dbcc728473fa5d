//! A TCP proxy that counts the bytes it forwards.

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

const BUFFER_BYTES: usize = 16 * 1024;

/// Bytes sent and received by the measured process on one path.
#[derive(Debug, Default)]
pub struct ByteCounter {
    pub sent: AtomicU64,
    pub received: AtomicU64,
}

impl ByteCounter {
    pub fn total(&self) -> u64 {
        self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed)
    }
}

/// Starts a proxy on loopback that forwards to `upstream_address`, and returns its address.
pub async fn start(upstream_address: String, counter: Arc<ByteCounter>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, upstream_address.clone(), counter.clone()));
        }
    });
    address
}

async fn forward(client: TcpStream, upstream_address: String, counter: Arc<ByteCounter>) {
    let Ok(upstream) = TcpStream::connect(&upstream_address).await else { return };
    drop((client.set_nodelay(true), upstream.set_nodelay(true)));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::join!(
        copy(client_read, upstream_write, &counter.sent),
        copy(upstream_read, client_write, &counter.received)
    );
}

async fn copy(mut source: OwnedReadHalf, mut sink: OwnedWriteHalf, counter: &AtomicU64) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(length) = source.read(&mut buf).await {
        if length == 0 || sink.write_all(&buf[..length]).await.is_err() {
            return;
        }
        counter.fetch_add(length as u64, Ordering::Relaxed);
    }
}
