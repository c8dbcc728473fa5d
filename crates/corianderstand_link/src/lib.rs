//! The connection between a router and an agent: framed messages over TCP.
//!
//! A frame is a length, a [postcard] header generated from `schema/messages.json`, and the raw
//! bytes of the body, if the message has one. One task writes a connection and batches frames into
//! few system calls; the reader enforces an idle timeout.
//!
//! ```
//! use corianderstand_link::frame;
//! use corianderstand_schema::messages::ToAgent;
//!
//! let frame = frame::encode(&ToAgent::Cancel { stream: 7 }, b"")?;
//! let (message, body) = frame::decode::<ToAgent>(&frame)?;
//! assert_eq!(message, ToAgent::Cancel { stream: 7 });
//! assert!(body.is_empty());
//! # Ok::<(), frame::FrameError>(())
//! ```

pub mod connection;
pub mod frame;
pub mod trace;

/// Version of the messages; both ends must use the same.
pub const PROTOCOL_VERSION: u32 = 2;

/// Router incarnation in the `Hello` message of a connection that only queries what is loaded.
pub const STATUS_QUERY_INCARNATION: u64 = 0;
