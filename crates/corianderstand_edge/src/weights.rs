//! The weight store, as far as the system itself asks it anything: how busy it is.
//!
//! Engines fetch checkpoints from the store themselves when they are ordered to load.

use crate::http::{EdgeError, HttpSystem};
use async_trait::async_trait;
use corianderstand_derives::derives;
use std::time::Duration;

/// How busy the store is.
#[derives(wire)]
#[derive(Eq, Default)]
pub struct StoreReport {
    /// Loads running.
    pub running: u32,
    /// Loads begun since it started.
    pub begun: u64,
    /// Loads begun above its rate, and so slowed.
    pub throttled: u64,
}

/// The weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// How busy it is.
    async fn report(&self) -> Result<StoreReport, EdgeError>;
}

/// The store over HTTP: `GET /report`.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    http: HttpSystem,
}

impl HttpWeightStore {
    /// The store at `base`.
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

/// A store in memory, for tests.
#[derive(Debug, Default)]
pub struct MemoryWeightStore {
    /// What it reports.
    pub report: StoreReport,
}

#[async_trait]
impl WeightStore for MemoryWeightStore {
    async fn report(&self) -> Result<StoreReport, EdgeError> {
        Ok(self.report.clone())
    }
}
