//! Client for the platform's host list, which may be stale.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use corianderstand_derives::derives;
use corianderstand_types::names::{AvailabilityZoneId, HostId};
use std::{sync::Mutex, time::Duration};

/// State of a listed host.
#[derives(key)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In use.
    Live,
    /// About to be reclaimed by the platform.
    Leaving,
}

/// A listed host; hosts that no longer exist are absent.
#[derives(wire)]
#[derive(Eq)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    #[serde(rename = "place")]
    pub availability_zone: AvailabilityZoneId,
    /// State of the host, possibly stale.
    pub state: HostState,
}

/// The platform's host list.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the current list.
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError>;
}

/// [`HostList`] client over HTTP: `GET /hosts`.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    http: HttpSystem,
}

/// Maximum time without data while the host list responds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

impl HttpHostList {
    /// Creates a client for the list at `base`.
    pub fn new(base: &str) -> Self {
        Self { http: HttpSystem::new("the host list", base, RESPONSE_TIMEOUT) }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError> {
        self.http.json(self.http.request(reqwest::Method::GET, "/hosts")).await
    }
}

/// In-memory [`HostList`] for tests.
#[derive(Debug, Default)]
pub struct MemoryHostList {
    hosts: Mutex<Vec<HostEntry>>,
}

impl MemoryHostList {
    /// Replaces the list.
    pub fn set(&self, hosts: Vec<HostEntry>) {
        *self.hosts.lock().expect("no holder of this lock panics") = hosts;
    }
}

#[async_trait]
impl HostList for MemoryHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError> {
        Ok(self.hosts.lock().expect("no holder of this lock panics").clone())
    }
}
