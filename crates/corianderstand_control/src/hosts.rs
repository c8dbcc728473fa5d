//! Reads the host list at intervals.

use crate::snapshot::Hosts;
use corianderstand_edge::hosts::{HostEntry, HostList, HostState};
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time};

/// Reads the list for ever and passes on each change.
pub async fn run(list: Arc<dyn HostList>, every: Duration, tx: watch::Sender<Arc<Hosts>>) {
    let mut ticks = time::interval(every);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match list.hosts().await {
            Ok(entries) => update(&tx, &entries),
            Err(error) => tracing::warn!(%error, "host list not read"),
        }
    }
}

fn update(tx: &watch::Sender<Arc<Hosts>>, entries: &[HostEntry]) {
    let mut hosts = Hosts::default();
    for entry in entries {
        let set = match entry.state {
            HostState::Live => &mut hosts.live,
            HostState::Leaving => &mut hosts.leaving,
        };
        set.insert(entry.host.clone());
    }
    tx.send_if_modified(|current| {
        let changed = **current != hosts;
        if changed {
            *current = Arc::new(hosts);
        }
        changed
    });
}
