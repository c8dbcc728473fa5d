//! One call over HTTP whose whole answer is wanted: to the store, or to the engine beside an agent.
//!
//! A short answer has a time for the whole of it. A long one, such as a large configuration on a slow
//! link, has a time for timeouts only: given up by its whole time it would be begun again from nothing,
//! and never be there where the link needs longer.

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

/// Largest answer that is read. The newest records of a topic come in pages of 1 MB, or in one larger
/// record; a configuration of 4 MB has a third more in base64.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A call that got no whole answer.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum CallError {
    /// nobody listens at {0}
    ConnectionRefused(SocketAddr),
    /// no connection ({0})
    NotSent(String),
    /// nothing came for {0} ms
    TimedOut(u64),
    /// the answer broke off ({0})
    Interrupted(String),
}

impl std::error::Error for CallError {}

/// When something last came of an answer that is on its way.
#[derive(Clone, Debug, Default)]
pub struct LastReceived(Rc<Cell<Option<Instant>>>);

impl LastReceived {
    /// Something came.
    pub fn record(&self, now: Instant) {
        self.0.set(Some(now));
    }

    /// When it came; none if nothing ever did.
    pub fn at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// How long the other end may be silent in a long answer.
#[derive(Clone, Debug)]
pub struct ResponseTimeouts {
    /// Before the answer begins.
    pub head: Duration,
    /// Between two parts of it.
    pub idle: Duration,
    /// Told of each part.
    pub last_received: LastReceived,
}

/// Makes calls.
#[derive(Clone)]
pub struct Client {
    pool: Rc<pool::Pool>,
    clock: clock::SharedClock,
}

impl Client {
    /// A client over a pool of connections.
    pub const fn new(pool: Rc<pool::Pool>, clock: clock::SharedClock) -> Self {
        Self { pool, clock }
    }

    /// Sends a request and reads its whole answer within `limit`. `keep` is for how long the other
    /// end keeps an unused connection, if that is known.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; after [`CallError::NotSent`] the call was not made.
    pub async fn call(
        &self,
        addr: SocketAddr,
        req: Request<pool::Body>,
        limit: Duration,
        keep: Option<Duration>,
    ) -> Result<Response<Bytes>, CallError> {
        let work = async {
            let (lease, answer) = self.send(addr, req).await?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| CallError::Interrupted(error.to_string()))?.to_bytes();
            self.pool.release(self.clock.now(), lease, keep);
            Ok(Response::from_parts(head, body))
        };
        with_timeout(limit, work).await
    }

    /// Sends a request and reads its whole answer, however long that takes, for as long as parts of
    /// it come.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; after [`CallError::NotSent`] the call was not made.
    pub async fn call_with_idle_timeout(
        &self,
        addr: SocketAddr,
        req: Request<pool::Body>,
        timeouts: &ResponseTimeouts,
        keep: Option<Duration>,
    ) -> Result<Response<Bytes>, CallError> {
        let (lease, answer) = with_timeout(timeouts.head, self.send(addr, req)).await?;
        timeouts.last_received.record(self.clock.now());
        let (head, body) = answer.into_parts();
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut bytes = BytesMut::new();
        let convert =
            |frame: Result<_, BoxError>| frame.map_err(|e| CallError::Interrupted(e.to_string()));
        while let Some(frame) =
            with_timeout(timeouts.idle, async { body.frame().await.map(convert).transpose() })
                .await?
        {
            timeouts.last_received.record(self.clock.now());
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
        }
        self.pool.release(self.clock.now(), lease, keep);
        Ok(Response::from_parts(head, bytes.freeze()))
    }

    /// Sends a request and waits for the head of its answer.
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
        let answer = match sent {
            Ok(answer) => answer,
            Err(mut error) => match error.take_message() {
                // The other end had closed the connection before anything was written.
                Some(req) => {
                    lease = self.pool.open(addr).await.map_err(not_sent)?;
                    lease.sender.send_request(req).await.map_err(interrupted)?
                }
                None => return Err(interrupted(error.into_error())),
            },
        };
        Ok((lease, answer))
    }
}

/// What comes within a time, or [`CallError::TimedOut`].
async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let timed_out = || CallError::TimedOut(limit.as_millis() as u64);
    tokio::time::timeout(limit, work).await.map_err(|_| timed_out())?
}
