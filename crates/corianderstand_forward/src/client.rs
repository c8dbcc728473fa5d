//! HTTP client that buffers whole responses, for calls to the store and to an agent's engine.

use crate::pool;
use bytes::{Bytes, BytesMut};
use corianderstand_types::clock;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Large enough for a record with a 4 MB configuration in base64. Other records come in pages of 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Least rate at which a body of unknown length must come, in bytes per second: far below that of any link.
const MIN_BODY_BYTES_PER_S: f64 = 16.0 * 1024.0;
/// Time that a body may take besides, for a server or a link that stands still for a while.
const BODY_GRACE: Duration = Duration::from_secs(6);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a call returned no complete response.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum CallError {
    /// connection refused by {0}
    ConnectionRefused(SocketAddr),
    /// no connection ({0})
    NotSent(String),
    /// no data received for {0} ms
    TimedOut(u64),
    /// the response ended early ({0})
    Interrupted(String),
    /// the response does not end, {0} bytes came
    TooSlow(usize),
}

impl std::error::Error for CallError {}

/// Shared time at which data of a pending response was last received.
#[derive(Clone, Debug, Default)]
pub struct LastReceived(Rc<Cell<Option<Instant>>>);

impl LastReceived {
    /// Records that data was received.
    pub fn record(&self, now: Instant) {
        self.0.set(Some(now));
    }

    /// When data was last received, if ever.
    pub fn at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Timeouts of a response of unknown length.
#[derive(Clone, Debug)]
pub struct ResponseTimeouts {
    /// Limit until the response head arrives.
    pub head_timeout: Duration,
    /// Limit between two frames of the body.
    pub idle_timeout: Duration,
    /// Set to the current time with each frame of the body.
    pub last_received: LastReceived,
}

/// Sends requests over pooled connections.
#[derive(Clone)]
pub struct Client {
    pool: Rc<pool::Pool>,
    clock: clock::SharedClock,
}

impl Client {
    /// Creates a client on a connection pool.
    pub const fn new(pool: Rc<pool::Pool>, clock: clock::SharedClock) -> Self {
        Self { pool, clock }
    }

    /// Sends a request and buffers its response within `limit`; `keep_alive` is the server's, if known.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<pool::Body>,
        limit: Duration,
        keep_alive: Option<Duration>,
    ) -> Result<Response<Bytes>, CallError> {
        let call = async {
            let (lease, response) = self.send(addr, req).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| CallError::Interrupted(error.to_string()))?.to_bytes();
            self.pool.release(self.clock.now(), lease, keep_alive);
            Ok(Response::from_parts(head, body))
        };
        with_timeout(limit, call).await
    }

    /// Sends a request and buffers its response, limited by the timeouts between frames and by the least rate at which
    /// the body must come.
    pub async fn call_with_idle_timeout(
        &self,
        addr: SocketAddr,
        req: Request<pool::Body>,
        timeouts: &ResponseTimeouts,
        keep_alive: Option<Duration>,
    ) -> Result<Response<Bytes>, CallError> {
        let (lease, response) = with_timeout(timeouts.head_timeout, self.send(addr, req)).await?;
        timeouts.last_received.record(self.clock.now());
        let (head, body) = response.into_parts();
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut bytes = BytesMut::new();
        let convert =
            |frame: Result<_, BoxError>| frame.map_err(|e| CallError::Interrupted(e.to_string()));
        let begun_at = self.clock.now();
        while let Some(frame) = with_timeout(timeouts.idle_timeout, async {
            body.frame().await.map(convert).transpose()
        })
        .await?
        {
            let now = self.clock.now();
            let most = Duration::from_secs_f64(bytes.len() as f64 / MIN_BODY_BYTES_PER_S);
            if now.saturating_duration_since(begun_at) > most + BODY_GRACE {
                return Err(CallError::TooSlow(bytes.len()));
            }
            timeouts.last_received.record(now);
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        self.pool.release(self.clock.now(), lease, keep_alive);
        Ok(Response::from_parts(head, bytes.freeze()))
    }

    async fn send(
        &self,
        addr: SocketAddr,
        req: Request<pool::Body>,
    ) -> Result<(pool::Lease, Response<Incoming>), CallError> {
        let interrupted = |error: hyper::Error| CallError::Interrupted(error.to_string());
        let not_sent = |error: std::io::Error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => CallError::ConnectionRefused(addr),
            _ => CallError::NotSent(error.to_string()),
        };
        let mut lease = self.pool.lease(self.clock.now(), addr).await.map_err(not_sent)?;
        let sent = lease.sender.try_send_request(req).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                // The server closed the connection before anything was written.
                Some(req) => {
                    lease = self.pool.open(addr).await.map_err(not_sent)?;
                    lease.sender.send_request(req).await.map_err(interrupted)?
                }
                None => return Err(interrupted(error.into_error())),
            },
        };
        Ok((lease, response))
    }
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let timed_out = || CallError::TimedOut(limit.as_millis() as u64);
    tokio::time::timeout(limit, call).await.map_err(|_| timed_out())?
}
