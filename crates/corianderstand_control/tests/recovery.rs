//! Tests how a reader recovers from records that the log has dropped.

use async_trait::async_trait;
use corianderstand_control::{
    appender::{self, Identity},
    follower::{Follower, FollowerConfig},
    peers::{NoPeers, Peers},
    restore::RECOVERY_DELAY,
    snapshot::{CurrentSnapshot, Hosts},
};
use corianderstand_edge::{
    EdgeError,
    log::{LogService, MemoryLog, Page},
};
use corianderstand_schema::records::{Body, Change, Record};
use corianderstand_state::fold::State;
use corianderstand_types::clock::ManualClock;
use rstest::rstest;
use std::{sync::Arc, time::Duration};
use tokio::{sync::watch, time};

struct YieldingLog(Arc<MemoryLog>);

#[async_trait]
impl LogService for YieldingLog {
    async fn append(&self, records: Vec<Vec<u8>>) -> Result<u64, EdgeError> {
        self.0.append(records).await
    }

    async fn read(&self, start_offset: u64, max: u32, wait: Duration) -> Result<Page, EdgeError> {
        time::sleep(Duration::from_millis(2)).await;
        self.0.read(start_offset, max, wait).await
    }
}

struct Peer(State);

#[async_trait]
impl Peers for Peer {
    async fn state(&self) -> Option<State> {
        Some(self.0.clone())
    }
}

struct Reader {
    current: CurrentSnapshot,
    clock: ManualClock,
    _hosts: watch::Sender<Arc<Hosts>>,
}

fn start(name: &str, log: &Arc<MemoryLog>, peers: Arc<dyn Peers>) -> Reader {
    let (current, clock) = (CurrentSnapshot::default(), ManualClock::default());
    let identity = Identity { writer: name.into(), incarnation: 1 };
    let (appender, queue, notifier) = appender::channel(identity);
    let (hosts_tx, hosts) = watch::channel(Arc::default());
    let log: Arc<dyn LogService> = Arc::new(YieldingLog(log.clone()));
    let (wait, recovery_appender) = (Duration::ZERO, Some(appender));
    let clocks = Arc::new(clock.clone());
    let config =
        FollowerConfig { log: log.clone(), wait, peers, clock: clocks, hosts, recovery_appender };
    tokio::spawn(queue.run(log));
    tokio::spawn(Follower::new(config, current.clone(), notifier).run());
    Reader { current, clock, _hosts: hosts_tx }
}

async fn change(log: &MemoryLog, sequence: u64, path: &str) {
    let changes = vec![Change { path: path.into(), base: 0, value: Some("{}".into()) }];
    let (author, ticket) = ("ana".into(), "t".into());
    let body = Body::Settings { changes, author, ticket, not_after_ms: u64::MAX };
    let record = Record { writer: "w".into(), incarnation: 1, sequence, body };
    let data = postcard::to_stdvec(&record).expect("records are plain data");
    log.append(vec![data]).await.expect("the log is up");
}

async fn wait_for(reader: &Reader, condition: impl Fn(&State, bool) -> bool) {
    let mut changed = reader.current.subscribe();
    let reached = async {
        loop {
            let snapshot = reader.current.load();
            if condition(&snapshot.state, snapshot.caught_up) {
                return;
            }
            changed.changed().await.expect("the follower runs");
        }
    };
    time::timeout(Duration::from_secs(30), reached).await.expect("the state is reached");
}

fn block_on(run: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the system gives a runtime").block_on(run);
}

/// Guards against routers that never become ready after the log dropped unread records.
#[rstest]
fn routers_that_all_miss_dropped_records_agree_on_what_is_left() {
    block_on(async {
        let log = Arc::new(MemoryLog::default());
        change(&log, 1, "a").await;
        let readers = [start("r1", &log, Arc::new(NoPeers)), start("r2", &log, Arc::new(NoPeers))];
        for reader in &readers {
            wait_for(reader, |state, caught_up| caught_up && state.next == 2).await;
        }
        // No reader runs between these two calls, as neither yields.
        change(&log, 2, "lost").await;
        log.drop_below(3);
        for reader in &readers {
            wait_for(reader, |_, caught_up| !caught_up).await;
            reader.clock.advance(RECOVERY_DELAY * 2);
        }
        for reader in &readers {
            wait_for(reader, |state, caught_up| caught_up && state.next > 3).await;
        }
        change(&log, 3, "b").await;
        for reader in &readers {
            wait_for(reader, |state, _| state.documents.version_of("b") > 0).await;
        }
        let states = readers.map(|reader| reader.current.load().state.documents.clone());
        assert_eq!(states[0], states[1]);
        assert!(states[0].version_of("a") > 0 && states[0].version_of("lost") == 0);
    });
}

/// Guards against a lagging peer whose state replaces a newer one.
#[rstest]
fn a_peers_state_is_accepted_only_if_it_is_newer() {
    block_on(async {
        let log = Arc::new(MemoryLog::default());
        log.set_down(true);
        let peer = State { next: 9, ..State::default() };
        let reader = start("r1", &log, Arc::new(Peer(peer)));
        wait_for(&reader, |state, caught_up| caught_up && state.next == 9).await;
        let old = start("r2", &log, Arc::new(Peer(State { next: 1, ..State::default() })));
        let mut changed = old.current.subscribe();
        changed.changed().await.expect("the follower runs");
        assert!(!old.current.load().caught_up, "an empty state is rejected");
    });
}
