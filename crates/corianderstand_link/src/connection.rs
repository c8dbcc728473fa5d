//! Reading and writing one connection.

use crate::frame::{self, FrameError};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{self, Instant},
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

const MAX_BATCH_FRAMES: usize = 128;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(frame::MAX_FRAME_BYTES).new_codec()
}

/// Reads frames from a connection.
#[derive(Debug)]
pub struct Reader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    idle_timeout: Duration,
    last_received_at: Instant,
    buffered_bytes: usize,
}

/// Writes frames to a connection.
#[derive(Debug)]
pub struct Writer {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    idle_timeout: Duration,
}

/// Splits a connection; `idle_timeout` bounds each read and each write.
pub fn split(stream: TcpStream, idle_timeout: Duration) -> std::io::Result<(Reader, Writer)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let frames = FramedRead::new(read, codec());
    let reader =
        Reader { frames, idle_timeout, last_received_at: Instant::now(), buffered_bytes: 0 };
    Ok((reader, Writer { frames: FramedWrite::new(write, codec()), idle_timeout }))
}

impl Reader {
    /// Returns the next message and its body, or an error if no bytes arrive for the idle timeout.
    ///
    /// The timeout runs from the last received bytes, also if an earlier call was cancelled.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<(T, Bytes), FrameError> {
        loop {
            let deadline = self.last_received_at + self.idle_timeout;
            if let Ok(frame) = time::timeout_at(deadline, self.frames.next()).await {
                self.last_received_at = Instant::now();
                self.buffered_bytes = self.frames.read_buffer().len();
                return frame::decode(&frame.ok_or(FrameError::Closed)??.freeze());
            }
            let buffered_bytes = self.frames.read_buffer().len();
            if buffered_bytes <= self.buffered_bytes {
                return Err(FrameError::IdleTimeout(self.idle_timeout.as_millis()));
            }
            (self.last_received_at, self.buffered_bytes) = (Instant::now(), buffered_bytes);
        }
    }
}

impl Writer {
    /// Writes frames until the sender is dropped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Bytes>) -> Result<(), FrameError> {
        let mut frames = Vec::with_capacity(MAX_BATCH_FRAMES);
        while rx.recv_many(&mut frames, MAX_BATCH_FRAMES).await > 0 {
            let write = async {
                for frame in frames.drain(..) {
                    self.frames.feed(frame).await?;
                }
                SinkExt::<Bytes>::flush(&mut self.frames).await
            };
            let written = time::timeout(self.idle_timeout, write).await;
            written.map_err(|_| FrameError::IdleTimeout(self.idle_timeout.as_millis()))??;
        }
        Ok(())
    }
}
