//! Encoding of one message and its body in one frame.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum frame length: the longest request body that a router accepts, plus the header.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024 + 64 * 1024;

/// Error of a framed connection.
#[derive(Debug, displaydoc::Display)]
pub enum FrameError {
    /// cannot encode or decode a message ({0}): run the same version on both ends
    Codec(postcard::Error),
    /// connection failed ({0}): the router reconnects
    Io(std::io::Error),
    /// no data transferred for {0} ms: connection closed, the router reconnects
    IdleTimeout(u128),
    /// connection closed by the peer: the router reconnects
    Closed,
}

impl std::error::Error for FrameError {}

impl From<std::io::Error> for FrameError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<postcard::Error> for FrameError {
    fn from(error: postcard::Error) -> Self {
        Self::Codec(error)
    }
}

/// Encodes a message and its body into one frame.
pub fn encode<T: Serialize>(message: &T, body: &[u8]) -> Result<Bytes, FrameError> {
    let mut buf = postcard::to_extend(message, Vec::with_capacity(64 + body.len()))?;
    buf.extend_from_slice(body);
    Ok(buf.into())
}

/// Decodes a frame into its message and body.
pub fn decode<T: DeserializeOwned>(frame: &Bytes) -> Result<(T, Bytes), FrameError> {
    let (message, rest) = postcard::take_from_bytes::<T>(frame)?;
    let body_start = frame.len() - rest.len();
    Ok((message, frame.slice(body_start..)))
}
