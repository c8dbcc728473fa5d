//! Takes routers off the store's list that are not heard ([`removal`]), where limits are shared among all that it names.

use crate::{control, dialect, router};
use corianderstand_fleet::removal::{self, Verdict};
use smol_str::SmolStr;
use std::{rc::Rc, time::Duration};

/// Time between two looks at the list.
const INTERVAL: Duration = Duration::from_secs(3);

/// A listed router, and what tells whether it is gone.
pub struct Silent {
    /// Its entry.
    pub entry: dialect::RouterEntry,
    /// What is known of it.
    pub evidence: removal::Evidence,
}

/// Starts looking for routers that are gone.
pub fn start<P: router::Platform>(shared: &Rc<router::Shared<P>>) {
    tokio::task::spawn_local(run(shared.clone()));
}

async fn run<P: router::Platform>(shared: Rc<router::Shared<P>>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if control::can_plan(&shared) {
            for silent in silent(&shared) {
                apply(&shared, silent).await;
            }
        }
    }
}

/// The listed routers that this one has to judge: the first by name of those that hear each other does.
fn silent<P: router::Platform>(shared: &router::Shared<P>) -> Vec<Silent> {
    let now = shared.clock.now();
    let peers = shared.peers.borrow();
    let records = shared.replicated_records.borrow();
    let list_age = records.since_store_read(now, dialect::Subject::Routers);
    let Some(list_age) = list_age.filter(|_| peers.needs_mesh()) else { return Vec::new() };
    peers.silent(now, list_age)
}

async fn apply<P: router::Platform>(shared: &router::Shared<P>, silent: Silent) {
    let Silent { entry, evidence } = silent;
    let router: SmolStr = entry.router.clone();
    let silent_s = evidence.silent_for.as_secs();
    let written = match evidence.judge() {
        Verdict::Keep => return,
        Verdict::Suspect => {
            tracing::info!(%router, silent_s, "router not heard: its entry is marked as suspected");
            let entry = dialect::RouterEntry { is_suspected: true, ..entry };
            shared.platform.announce(&entry).await
        }
        Verdict::Remove => {
            tracing::info!(%router, silent_s, "router gone: its entry is removed");
            shared.platform.withdraw(&router).await
        }
    };
    if let Err(error) = written {
        tracing::warn!(%router, %error, "the entry of a router that is not heard stays as it was");
    }
}
