//! HTTP client for the operator API of a router.

use crate::Exit;
use getopts::Matches;
use reqwest::Method;
use serde_json::Value;
use std::{fs, time::Duration};

/// Variable with the operator key, used without `--key-file`.
pub const KEY_VARIABLE: &str = "CORIANDERSTAND_OPERATOR_KEY";
/// Variable with a router's address, used without `--router`.
pub const ROUTER_VARIABLE: &str = "CORIANDERSTAND_ROUTER";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, displaydoc::Display)]
pub enum ClientError {
    /// no router is named: give --router or set `CORIANDERSTAND_ROUTER`
    NoRouter,
    /// no key is named: give --key-file or set `CORIANDERSTAND_OPERATOR_KEY`
    NoKey,
    /// cannot reach the router ({0}): check its address, or use another router
    Unreachable(reqwest::Error),
    /// the router rejected the request ({0}): {1}
    Refused(u16, String),
}

impl std::error::Error for ClientError {}

impl ClientError {
    pub const fn exit(&self) -> Exit {
        match self {
            Self::NoRouter | Self::NoKey => Exit::Usage,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Refused(409, _) => Exit::Conflict,
            Self::Refused(504, _) => Exit::Undecided,
            Self::Refused(..) => Exit::Fault,
        }
    }
}

pub struct Client {
    base_url: String,
    key: String,
    http: reqwest::Client,
    runtime: tokio::runtime::Runtime,
}

impl Client {
    pub fn new(matches: &Matches) -> Result<Self, ClientError> {
        let router = matches.opt_str("router").or_else(|| std::env::var(ROUTER_VARIABLE).ok());
        let router = router.ok_or(ClientError::NoRouter)?;
        let from_file = matches.opt_str("key-file").and_then(|f| fs::read_to_string(f).ok());
        let key = from_file.or_else(|| std::env::var(KEY_VARIABLE).ok());
        let key = key.ok_or(ClientError::NoKey)?.trim().to_owned();
        let http = reqwest::Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        Ok(Self {
            base_url: format!("http://{router}"),
            key,
            http: http.map_err(ClientError::Unreachable)?,
            runtime: runtime.expect("the runtime starts"),
        })
    }

    pub fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, ClientError> {
        let mut req = self.http.request(method, format!("{}{path}", self.base_url));
        req = req.bearer_auth(&self.key);
        if let Some(body) = body {
            req = req.json(body);
        }
        self.runtime.block_on(async {
            let response = req.send().await.map_err(ClientError::Unreachable)?;
            let status = response.status();
            let value: Value = response.json().await.map_err(ClientError::Unreachable)?;
            if status.is_success() {
                return Ok(value);
            }
            let message = value["error"]["message"].as_str().unwrap_or("no message").to_owned();
            Err(ClientError::Refused(status.as_u16(), message))
        })
    }
}
