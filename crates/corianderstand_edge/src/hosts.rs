//! The platform's list of hosts, which lags behind the truth.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use corianderstand_derives::derives;
use corianderstand_types::names::{AvailabilityZoneId, HostId};
use std::{sync::Mutex, time::Duration};

/// What the list says of a host.
#[derives(key)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In use.
    Live,
    /// About to be taken back.
    Leaving,
}

/// One host on the list; a host that is gone is not on it.
#[derives(wire)]
#[derive(Eq)]
pub struct HostEntry {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    #[serde(rename = "place")]
    pub availability_zone: AvailabilityZoneId,
    /// Its state as far as the list knows.
    pub state: HostState,
}

/// The list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// The list as it is now.
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError>;
}

/// The list over HTTP: `GET /hosts`.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    http: HttpSystem,
}

/// Time an answer of the host list may take.
const SILENCE: Duration = Duration::from_secs(5);

impl HttpHostList {
    /// The list at `base`.
    pub fn new(base: &str) -> Self {
        Self { http: HttpSystem::new("the host list", base, SILENCE) }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<Vec<HostEntry>, EdgeError> {
        self.http.json(self.http.request(reqwest::Method::GET, "/hosts")).await
    }
}

/// A list in memory, for tests.
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
