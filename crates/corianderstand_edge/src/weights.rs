//! Client for the weight store's load report.
//!
//! Engines fetch checkpoints from the store directly when they execute a load command.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use corianderstand_derives::derives;
use std::time::Duration;

/// Load of the weight store.
#[derives(wire)]
#[derive(Eq, Default)]
pub struct StoreReport {
    /// Loads in progress.
    pub running: u32,
    /// Loads started since the store's own start.
    pub begun: u64,
    /// Loads slowed because they exceeded the store's rate limit.
    pub throttled: u64,
}

/// The weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns the store's current load.
    async fn report(&self) -> Result<StoreReport, EdgeError>;
}

/// [`WeightStore`] client over HTTP: `GET /report`.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    http: HttpSystem,
}

impl HttpWeightStore {
    /// Creates a client for the store at `base`.
    pub fn new(base: &str) -> Self {
        Self { http: HttpSystem::new("the weight store", base, Duration::from_secs(5)) }
    }
}

#[async_trait]
impl WeightStore for HttpWeightStore {
    async fn report(&self) -> Result<StoreReport, EdgeError> {
        self.http.json(self.http.request(reqwest::Method::GET, "/report")).await
    }
}

/// In-memory [`WeightStore`] for tests.
#[derive(Debug, Default)]
pub struct MemoryWeightStore {
    /// The report to return.
    pub report: StoreReport,
}

#[async_trait]
impl WeightStore for MemoryWeightStore {
    async fn report(&self) -> Result<StoreReport, EdgeError> {
        Ok(self.report.clone())
    }
}
