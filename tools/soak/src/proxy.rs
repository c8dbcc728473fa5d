//! A loopback TCP proxy that can delay, hold or reset connections, or answer with bytes without end.

use corianderstand_platform_standins::target::endless::Speed;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
};

const CHUNK_BYTES: usize = 16 << 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Mode {
    #[default]
    Pass,
    Delay(Duration),
    /// Hold data of both directions until the mode changes.
    Hold,
    /// Forward requests and hold responses until the mode changes.
    HoldResponses,
    Reset,
    /// Forward requests, and send a head without end in place of their responses.
    EndlessHead(Speed),
}

/// Which way data goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Direction {
    Request,
    Response,
}

impl Direction {
    fn is_held(self, mode: Mode) -> bool {
        mode == Mode::Hold || (mode == Mode::HoldResponses && self == Self::Response)
    }
}

const ENDLESS_HEAD_START: &[u8] = b"HTTP/1.1 200 OK\r\nx-more: ";

#[derive(Clone, Debug)]
pub struct Proxy {
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Opens a proxy at `addr` that forwards to `destination`.
    pub async fn open(addr: SocketAddr, destination: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let (mode, modes) = watch::channel(Mode::Pass);
        tokio::spawn(accept_connections(listener, destination, modes));
        Ok(Self { addr, mode })
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(
    listener: TcpListener,
    destination: SocketAddr,
    modes: watch::Receiver<Mode>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(forward(stream, destination, modes.clone()));
            }
            Err(error) => {
                eprintln!("proxy: accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn forward(mut client: TcpStream, destination: SocketAddr, mut modes: watch::Receiver<Mode>) {
    if *modes.borrow() == Mode::Reset {
        return reset(&client);
    }
    let Ok(mut server) = TcpStream::connect(destination).await else { return reset(&client) };
    for stream in [&client, &server] {
        stream.set_nodelay(true).ok();
    }
    // Dropping these halves does not shut the streams down, so that they can be reset.
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let requests = copy(client_read, server_write, modes.clone(), Direction::Request);
    let responses = copy(server_read, client_write, modes.clone(), Direction::Response);
    let is_reset = tokio::select! {
        copied = async { tokio::try_join!(requests, responses) } => copied.is_err(),
        _ = modes.wait_for(|mode| *mode == Mode::Reset) => true,
    };
    if is_reset {
        reset(&client);
        reset(&server);
    }
}

fn reset(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}

/// Copies data until its end; an error resets both connections, so that a reset isn't taken for an end.
async fn copy(
    mut source: ReadHalf<'_>,
    mut sink: WriteHalf<'_>,
    mut modes: watch::Receiver<Mode>,
    direction: Direction,
) -> std::io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = source.read(&mut buf).await?;
        let is_open = modes.wait_for(|mode| !direction.is_held(*mode)).await;
        drop(is_open.map_err(std::io::Error::other)?);
        let mode = *modes.borrow();
        if let Mode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        if let (Mode::EndlessHead(speed), Direction::Response) = (mode, direction) {
            return send_endless_head(&mut sink, speed).await;
        }
        if len == 0 {
            // The other direction may stay open.
            return sink.shutdown().await;
        }
        sink.write_all(&buf[..len]).await?;
    }
}

/// Sends a head until the reader closes.
async fn send_endless_head(sink: &mut WriteHalf<'_>, speed: Speed) -> std::io::Result<()> {
    sink.write_all(ENDLESS_HEAD_START).await?;
    loop {
        sink.write_all(speed.next().await).await?;
    }
}
