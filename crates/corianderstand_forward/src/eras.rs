//! The store's era, which rises each time it comes back from an older copy.
//!
//! Whoever learns of it first tells the others: any response of the store names its era, and so do routers when they
//! exchange status. All reads in progress end, and each subject is read anew.

use crate::{dialect::Subject, replicated_records::Source, router, status};
use corianderstand_types::position::Era;

/// Records an era that the store or a peer named.
pub fn observe<P: router::Platform>(shared: &router::Shared<P>, era: Era, source: Source) {
    let now = shared.clock.now();
    let before = [Subject::Config, Subject::Targets, Subject::Routers]
        .map(|subject| shared.replicated_records.borrow().next(subject).offset());
    let Some(rise) = shared.replicated_records.borrow_mut().raise(now, era) else { return };
    let [config_next, targets_next, routers_next] = before;
    let config_version = shared.replicated_records.borrow().config_version();
    if shared.replicated_records.borrow().since_rise(now).is_some() {
        shared.decision_log.metrics.era_risen();
        tracing::warn!(era = rise.era.0, before = rise.before.0, %source, config_next, targets_next, routers_next, config_version,
            "the store came back from an older copy: known records stay in force and are read anew");
    }
    shared.era_raised.notify_waiters();
    status::send_hello(shared);
}

/// Waits until the store is known to be in a later era.
pub async fn wait_for_later<P>(shared: &router::Shared<P>, era: Era) {
    loop {
        let raised = shared.era_raised.notified();
        tokio::pin!(raised);
        raised.as_mut().enable();
        if shared.replicated_records.borrow().era() > era {
            return;
        }
        raised.await;
    }
}

/// Logs that a subject was read anew since the store came back.
pub fn log_reread<P: router::Platform>(shared: &router::Shared<P>, subject: Subject) {
    let records = shared.replicated_records.borrow();
    let Some(since_rise) = records.since_rise(shared.clock.now()) else { return };
    let (next, awaited) = (records.next(subject), records.awaited(subject));
    let (after_ms, config_version) = (since_rise.as_millis() as u64, records.config_version());
    tracing::info!(?subject, %next, awaited, after_ms, config_version, "records read anew since the store came back");
}
