//! Clients for external systems: model engines, plain services, the log service, the host list
//! and the weight store.
//!
//! Each module has one trait, its implementation over HTTP and JSON, and an in-memory fake for
//! tests. Support for another protocol needs changes in one module only.
//!
//! ```
//! use corianderstand_edge::log::{LogService, MemoryLog};
//! use std::time::Duration;
//!
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
//! runtime.block_on(async {
//!     let log = MemoryLog::default();
//!     let first = log.append(vec![b"one".to_vec()]).await?;
//!     let page = log.read(first, 10, Duration::ZERO).await?;
//!     assert_eq!(page.entries[0].data, b"one");
//!     Ok::<(), corianderstand_edge::EdgeError>(())
//! })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod engine;
pub mod hosts;
pub mod http;
pub mod log;
pub mod service;
pub mod weights;

pub use http::EdgeError;
