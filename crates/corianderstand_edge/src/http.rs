//! HTTP client shared by the adapters, with its timeouts and errors.

use std::time::Duration;

/// Timeout for opening a connection to an external system.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a request to an external system.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum EdgeError {
    /// cannot reach {system} at {url} ({detail}): check its address in the settings, or wait; the call is retried where that is safe
    Unreachable {
        /// Name of the system.
        system: &'static str,
        /// Base URL.
        url: String,
        /// The HTTP client's error; empty if no connection could be opened.
        detail: String,
    },
    /// {system} responded with status {status}: {detail}; see the page on failures in docs/operators
    Status {
        /// Name of the system.
        system: &'static str,
        /// HTTP status.
        status: u16,
        /// Beginning of the response body.
        detail: String,
    },
    /// {system} sent an invalid response ({detail}): check that its version is supported
    Malformed {
        /// Name of the system.
        system: &'static str,
        /// Why the response is invalid.
        detail: String,
    },
}

impl std::error::Error for EdgeError {}

impl EdgeError {
    /// Whether the request is known not to have reached the system.
    pub const fn never_sent(&self) -> bool {
        matches!(self, Self::Unreachable { detail, .. } if detail.is_empty())
    }
}

/// HTTP client for one external system.
#[derive(Clone, Debug)]
pub struct HttpSystem {
    client: reqwest::Client,
    system: &'static str,
    base: String,
}

impl HttpSystem {
    /// Creates a client for the system at `base`; `read_timeout` limits the time without data.
    ///
    /// Idle connections are closed soon, as a middlebox may drop their state and requests hang.
    pub fn new(system: &'static str, base: &str, read_timeout: Duration) -> Self {
        let client = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(read_timeout)
            .pool_idle_timeout(Duration::from_secs(10))
            .tcp_nodelay(true)
            .build()
            .expect("the client has no settings that can fail");
        Self { client, system, base: base.trim_end_matches('/').to_owned() }
    }

    /// Starts building a request for `path`.
    pub fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        self.client.request(method, format!("{}{path}", self.base))
    }

    /// Sends a request and requires a success status.
    pub async fn send(&self, req: reqwest::RequestBuilder) -> Result<reqwest::Response, EdgeError> {
        let response = self.send_any(req).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let detail = response.text().await.unwrap_or_default().chars().take(200).collect();
        Err(EdgeError::Status { system: self.system, status: status.as_u16(), detail })
    }

    /// Sends a request and accepts any status.
    pub async fn send_any(
        &self,
        req: reqwest::RequestBuilder,
    ) -> Result<reqwest::Response, EdgeError> {
        req.send().await.map_err(|error| self.unreachable(&error))
    }

    /// Sends a request and parses its JSON response.
    pub async fn json<T: serde::de::DeserializeOwned>(
        &self,
        req: reqwest::RequestBuilder,
    ) -> Result<T, EdgeError> {
        let response = self.send(req).await?;
        response.json().await.map_err(|error| self.malformed(&error))
    }

    /// Builds the error for a missing response; its detail is empty if nothing was sent.
    pub fn unreachable(&self, error: &reqwest::Error) -> EdgeError {
        let detail = if error.is_connect() { String::new() } else { error.to_string() };
        EdgeError::Unreachable { system: self.system, url: self.base.clone(), detail }
    }

    /// Builds the error for an invalid response.
    pub fn malformed(&self, error: &dyn std::fmt::Display) -> EdgeError {
        EdgeError::Malformed { system: self.system, detail: error.to_string() }
    }
}
