//! One call over HTTP whose whole answer is wanted: to the store, or to the engine beside an agent.

use crate::pool;
use bytes::Bytes;
use corianderstand_types::clock;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Largest answer that is read. The newest records of a topic come in pages of 1 MB, encoded.
const MOST_BYTES: usize = 4 << 20;

/// A call that got no whole answer.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum CallError {
    /// nobody listens at {0}
    Nobody(SocketAddr),
    /// no connection ({0})
    NotSent(String),
    /// no answer within {0} ms
    Silent(u64),
    /// the answer broke off ({0})
    Broken(String),
}

impl std::error::Error for CallError {}

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
        let work = self.exchange(addr, req, keep);
        let answer = tokio::time::timeout(limit, work).await;
        answer.unwrap_or_else(|_| Err(CallError::Silent(limit.as_millis() as u64)))
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        req: Request<pool::Body>,
        keep: Option<Duration>,
    ) -> Result<Response<Bytes>, CallError> {
        let broken = |error: hyper::Error| CallError::Broken(error.to_string());
        let not_sent = |error: std::io::Error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => CallError::Nobody(addr),
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
                    lease.sender.send_request(req).await.map_err(broken)?
                }
                None => return Err(broken(error.into_error())),
            },
        };
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MOST_BYTES).collect().await;
        let body = body.map_err(|error| CallError::Broken(error.to_string()))?.to_bytes();
        self.pool.give_back(self.clock.now(), lease, keep);
        Ok(Response::from_parts(head, body))
    }
}
