//! Metrics of the log and of the agreed state.

use crate::{
    appender::Identity,
    metrics::{Metric, Metrics, REPORT_INTERVAL},
    snapshot::{CurrentSnapshot, Snapshot},
};
use async_trait::async_trait;
use corianderstand_edge::{
    EdgeError,
    log::{LogService, Page},
};
use corianderstand_types::clock::SharedClock;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// A log service that records metrics.
pub struct MeasuredLog {
    /// The wrapped log service.
    pub log: Arc<dyn LogService>,
    /// Receives the metrics.
    pub metrics: Metrics,
    /// The clock.
    pub clock: SharedClock,
}

#[async_trait]
impl LogService for MeasuredLog {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        let (count, started_at) = (records.len() as u64, self.clock.now());
        let appended = self.log.append(records).await;
        let outcome = if appended.is_ok() { "done" } else { "unknown" };
        self.metrics.count_tagged(Metric::ControlAppends, 1, "outcome", outcome);
        self.metrics.count(Metric::ControlRecords, count);
        self.metrics.time(Metric::ControlAppendTime, self.clock.now() - started_at);
        appended
    }

    async fn read(&self, start_offset: u64, max: u32, wait: Duration) -> Result<Page, EdgeError> {
        let read = self.log.read(start_offset, max, wait).await;
        match &read {
            Err(_) => self.metrics.count(Metric::ControlReadFailures, 1),
            Ok(page) => {
                if let Some(newest) = page.entries.last() {
                    let age = page.now_ms.saturating_sub(newest.at_ms);
                    self.metrics.time(Metric::ControlFoldLag, Duration::from_millis(age));
                }
            }
        }
        read
    }
}

/// Reports gauges of the agreed state, then calls `report_more`, at each report interval.
pub async fn report(
    metrics: Metrics,
    identity: Identity,
    current: CurrentSnapshot,
    report_more: impl Fn(&Metrics) + Send,
) {
    let mut interval = time::interval(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        report_state(&metrics, &identity, &current.load());
        report_more(&metrics);
        metrics.flush();
    }
}

fn report_state(metrics: &Metrics, identity: &Identity, snapshot: &Snapshot) {
    let lease = &snapshot.state.lease;
    let held = lease.held_by(&identity.writer, identity.incarnation);
    metrics.gauge(Metric::ControlLogUp, u64::from(snapshot.log_up));
    metrics.gauge(Metric::ControlOffset, snapshot.state.next.saturating_sub(1));
    metrics.gauge(Metric::ControlVersion, snapshot.state.documents.version);
    metrics.gauge(Metric::ControlLeaseHeld, u64::from(held));
    metrics.gauge(Metric::ControlLeaseEpoch, lease.epoch);
}
