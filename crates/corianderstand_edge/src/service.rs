//! Client for plain services: targets that aren't model engines.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use bytes::Bytes;
use corianderstand_derives::derives;
use smol_str::SmolStr;
use std::{sync::Mutex, time::Duration};

/// A call to a plain service.
#[derives(data)]
pub struct Call {
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query, relative to the service's base URL.
    pub path: SmolStr,
    /// Content type of the body.
    pub content_type: SmolStr,
    /// The caller's idempotency key, for a call that may run at most once.
    pub idempotency_key: Option<SmolStr>,
    /// The body.
    pub body: Bytes,
    /// Request id.
    pub request: SmolStr,
    /// W3C trace context.
    pub traceparent: SmolStr,
}

/// A service's response.
#[derives(data)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
}

/// A plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes one call; after an error it may have run, unless [`EdgeError::never_sent`] is true.
    async fn call(&self, call: Call) -> Result<ServiceResponse, EdgeError>;
}

/// [`PlainService`] client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpService {
    http: HttpSystem,
}

impl HttpService {
    /// Creates a client for the service at `base`; `timeout` limits the time without data.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self { http: HttpSystem::new("the service", base, timeout) }
    }
}

#[async_trait]
impl PlainService for HttpService {
    async fn call(&self, call: Call) -> Result<ServiceResponse, EdgeError> {
        let method = call.method.parse().map_err(|error| self.http.malformed(&error))?;
        let mut req = self
            .http
            .request(method, &call.path)
            .header("x-request-id", call.request.as_str())
            .header("traceparent", call.traceparent.as_str())
            .header("content-type", call.content_type.as_str())
            .body(call.body);
        if let Some(key) = &call.idempotency_key {
            req = req.header("idempotency-key", key.as_str());
        }
        let response = self.http.send_any(req).await?;
        let status = response.status().as_u16();
        let content_type = response.headers().get("content-type");
        let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("").into();
        let body = response.bytes().await.map_err(|error| self.http.unreachable(&error))?;
        Ok(ServiceResponse { status, content_type, body })
    }
}

/// In-memory [`PlainService`] for tests: responds 200 with the number of calls so far.
#[derive(Debug, Default)]
pub struct MemoryService {
    calls: Mutex<Vec<Call>>,
}

impl MemoryService {
    /// Returns all calls received.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no holder of this lock panics").clone()
    }
}

#[async_trait]
impl PlainService for MemoryService {
    async fn call(&self, call: Call) -> Result<ServiceResponse, EdgeError> {
        let mut calls = self.calls.lock().expect("no holder of this lock panics");
        calls.push(call);
        let body = Bytes::from(calls.len().to_string());
        Ok(ServiceResponse { status: 200, content_type: "text/plain".into(), body })
    }
}
