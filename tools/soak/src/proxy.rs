//! A loopback TCP proxy that can delay, hold or reset connections.

use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

const CHUNK: usize = 16 << 10;
/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Treatment of connections.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Mode {
    /// Forward all data.
    #[default]
    Pass,
    /// Forward each chunk after a delay.
    Delay(Duration),
    /// Hold data of both directions until the mode changes.
    Cut,
    /// Forward requests and hold responses until the mode changes.
    CutBack,
    /// Reset open and new connections.
    Reset,
}

/// A proxy for one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Listen address.
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Opens a proxy at `addr` that forwards to `to`.
    pub async fn open(addr: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let (mode, modes) = watch::channel(Mode::Pass);
        tokio::spawn(accept(listener, to, modes));
        Ok(Self { addr, mode })
    }

    /// Sets the treatment of open and new connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, modes: watch::Receiver<Mode>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(pass(stream, to, modes.clone()));
            }
            Err(error) => {
                eprintln!("a proxy takes no connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn pass(near: TcpStream, to: SocketAddr, mut modes: watch::Receiver<Mode>) {
    if *modes.borrow() == Mode::Reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
    let sockets = [&near, &far].map(|stream| {
        stream.set_nodelay(true).ok();
        socket2::SockRef::from(stream).try_clone()
    });
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, modes.clone(), &[Mode::Cut]);
    let back = copy(far_read, near_write, modes.clone(), &[Mode::Cut, Mode::CutBack]);
    tokio::select! {
        ((), ()) = async { tokio::join!(there, back) } => {}
        _ = modes.wait_for(|mode| *mode == Mode::Reset) => {
            for socket in sockets.into_iter().flatten() {
                socket.set_linger(Some(Duration::ZERO)).ok();
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    held: &[Mode],
) {
    let mut buf = vec![0; CHUNK];
    while let Ok(len) = from.read(&mut buf).await {
        if modes.wait_for(|mode| !held.contains(mode)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let Mode::Delay(time) = mode {
            tokio::time::sleep(time).await;
        }
        if len == 0 {
            break;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    // The other direction may stay open.
    to.shutdown().await.ok();
}
