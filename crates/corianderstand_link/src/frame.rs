//! One message in one frame.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// Longest frame, in bytes: the longest body a router takes and room for the header.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024 + 64 * 1024;

/// A frame that cannot be used.
#[derive(Debug, displaydoc::Display)]
pub enum FrameError {
    /// a message cannot be written or read ({0}): run the same version on both ends
    Codec(postcard::Error),
    /// the connection broke ({0}): it is made anew
    Io(std::io::Error),
    /// nothing came for {0} ms: the connection is given up and made anew
    IdleTimeout(u128),
    /// the other end closed the connection: it is made anew
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

/// Writes a message and its body into one frame.
///
/// # Errors
///
/// [`FrameError::Codec`] if the message cannot be serialised.
pub fn encode<T: Serialize>(message: &T, body: &[u8]) -> Result<Bytes, FrameError> {
    let mut buf = postcard::to_extend(message, Vec::with_capacity(64 + body.len()))?;
    buf.extend_from_slice(body);
    Ok(buf.into())
}

/// Reads a message; what follows it is the body.
///
/// # Errors
///
/// [`FrameError::Codec`] if the frame does not begin with such a message.
pub fn decode<T: DeserializeOwned>(frame: &Bytes) -> Result<(T, Bytes), FrameError> {
    let (message, rest) = postcard::take_from_bytes::<T>(frame)?;
    let body_start = frame.len() - rest.len();
    Ok((message, frame.slice(body_start..)))
}
