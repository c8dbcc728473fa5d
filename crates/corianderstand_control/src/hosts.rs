//! Polls the host list.

use crate::{
    membership::Membership,
    snapshot::{CurrentSnapshot, Hosts},
};
use corianderstand_edge::hosts::HostList;
use corianderstand_types::{clock::SharedClock, names::HostId};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::{sync::watch, time};

/// Polls the list and publishes changes of the hosts; never returns.
pub async fn run(
    list: Arc<dyn HostList>,
    interval: Duration,
    clock: SharedClock,
    current: CurrentSnapshot,
    tx: watch::Sender<Arc<Hosts>>,
) {
    let mut membership = Membership::default();
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let snapshot = current.load();
        let targets = snapshot.state.targets.by_name.values();
        let announced: BTreeSet<HostId> = targets.map(|t| t.record.host.clone()).collect();
        membership.record_announced(clock.now(), &announced);
        match list.hosts().await {
            Ok(entries) => {
                let lag = snapshot.view.deployment.host_list_lag_ms.0;
                if !membership.apply_reading(clock.now(), lag, &entries) {
                    let listed = entries.len();
                    tracing::warn!(
                        listed,
                        "host list is empty or greatly shrunken: not accepted yet"
                    );
                }
            }
            Err(error) => tracing::warn!(%error, "host list read failed"),
        }
        publish_changes(&tx, membership.hosts());
    }
}

fn publish_changes(tx: &watch::Sender<Arc<Hosts>>, hosts: Hosts) {
    tx.send_if_modified(|current| {
        let changed = **current != hosts;
        if changed {
            *current = Arc::new(hosts);
        }
        changed
    });
}
