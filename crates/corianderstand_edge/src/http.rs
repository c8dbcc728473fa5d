//! What the HTTP adapters share: the client, its timeouts and its errors.

use std::time::Duration;

/// Time allowed to open a connection to an outside system.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of an outside system.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum EdgeError {
    /// cannot reach {system} at {url} ({detail}): check its address in the settings, or wait; the call is retried where that is safe
    Unreachable {
        /// Which system.
        system: &'static str,
        /// Where it was sought.
        url: String,
        /// What the client said.
        detail: String,
    },
    /// {system} answered {status}: {detail}; see the page on failures in docs/operators
    Status {
        /// Which system.
        system: &'static str,
        /// HTTP status.
        status: u16,
        /// Beginning of the answer's body.
        detail: String,
    },
    /// {system} gave an answer that cannot be read ({detail}): check that its version is supported
    Malformed {
        /// Which system.
        system: &'static str,
        /// What was wrong.
        detail: String,
    },
}

impl std::error::Error for EdgeError {}

impl EdgeError {
    /// Whether the request certainly did not reach the system.
    pub const fn never_sent(&self) -> bool {
        matches!(self, Self::Unreachable { detail, .. } if detail.is_empty())
    }
}

/// One outside system over HTTP.
#[derive(Clone, Debug)]
pub struct HttpSystem {
    client: reqwest::Client,
    system: &'static str,
    base: String,
}

impl HttpSystem {
    /// A client for the system at `base`.
    ///
    /// Idle connections are closed soon and kept-alive ones probed: a device between the two
    /// ends may lose track of a connection, which then goes silent for good while new ones
    /// work. `silence` bounds how long an answer may make no progress.
    pub fn new(system: &'static str, base: &str, silence: Duration) -> Self {
        let client = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(silence)
            .pool_idle_timeout(Duration::from_secs(10))
            .tcp_nodelay(true)
            .build()
            .expect("the client has no settings that can fail");
        Self { client, system, base: base.trim_end_matches('/').to_owned() }
    }

    /// A request for `path`.
    pub fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        self.client.request(method, format!("{}{path}", self.base))
    }

    /// Sends a request and requires a success status.
    ///
    /// # Errors
    ///
    /// Any status but 2xx is [`EdgeError::Status`].
    pub async fn send(&self, req: reqwest::RequestBuilder) -> Result<reqwest::Response, EdgeError> {
        let response = self.send_any(req).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let detail = response.text().await.unwrap_or_default().chars().take(200).collect();
        Err(EdgeError::Status { system: self.system, status: status.as_u16(), detail })
    }

    /// Sends a request and takes whatever status comes.
    ///
    /// # Errors
    ///
    /// [`EdgeError::Unreachable`] where no answer came.
    pub async fn send_any(
        &self,
        req: reqwest::RequestBuilder,
    ) -> Result<reqwest::Response, EdgeError> {
        req.send().await.map_err(|error| self.unreachable(&error))
    }

    /// Sends a request and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// See [`EdgeError`].
    pub async fn json<T: serde::de::DeserializeOwned>(
        &self,
        req: reqwest::RequestBuilder,
    ) -> Result<T, EdgeError> {
        let response = self.send(req).await?;
        response.json().await.map_err(|error| self.malformed(&error))
    }

    /// The error for an answer that did not come; its detail is empty where the connection
    /// could not even be opened, so that nothing was sent.
    pub fn unreachable(&self, error: &reqwest::Error) -> EdgeError {
        let detail = if error.is_connect() { String::new() } else { error.to_string() };
        EdgeError::Unreachable { system: self.system, url: self.base.clone(), detail }
    }

    /// The error for an answer that cannot be read.
    pub fn malformed(&self, error: &dyn std::fmt::Display) -> EdgeError {
        EdgeError::Malformed { system: self.system, detail: error.to_string() }
    }
}
