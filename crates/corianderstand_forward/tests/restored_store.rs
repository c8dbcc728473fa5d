//! A store that comes back from an older copy: offsets are given out again.

mod common;

use common::{MemoryStore, RouterThread, Target};
use corianderstand_fleet::targets;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Records that are written before the copy is taken, and lost with it.
const RECORDS: u64 = 12;

/// A router, a target with an entry, and a copy of the store that lacks the last configurations and renewals.
struct Deployment {
    store: MemoryStore,
    /// As the router reaches it.
    routers_store: MemoryStore,
    router: RouterThread,
    target: targets::Entry,
    other: targets::Entry,
    copy: common::platform::StoreCopy,
}

impl Deployment {
    async fn start() -> Self {
        let store = MemoryStore::default();
        let (target, other) = (serve("target-1").await, serve("target-2").await);
        store.put_config(common::config(1, vec![common::route("/old/", "desk")]));
        store.put_target(renewed(&target, 1));
        let copy = store.copy();
        for number in 2..RECORDS {
            store.put_config(common::config(number, vec![common::route("/pay/", "desk")]));
            store.put_target(renewed(&target, number));
        }
        let mut settings = RouterThread::settings("router-a", Vec::new(), Duration::from_secs(8));
        settings.bounds.drain_within = Duration::from_secs(2);
        let routers_store = store.isolated();
        let router = RouterThread::start_on(&routers_store, settings);
        router.wait_ready().await;
        assert_eq!(status(&router, "/pay/").await, "200");
        Self { store, routers_store, router, target, other, copy }
    }

    /// Has the store go back to the copy. The operator and the target write theirs again.
    fn restore(&self) {
        self.store.restore(self.copy);
        self.store.put_config(common::config(RECORDS - 1, vec![common::route("/pay/", "desk")]));
        self.store.put_target(renewed(&self.target, RECORDS - 1));
    }

    /// Writes entries of another service until more offsets were given out again than had been lost.
    fn pass_lost_offsets(&self) {
        for number in 0..4 * RECORDS {
            let entry = renewed(&self.other, number);
            self.store.put_target(targets::Entry { service: "another".into(), ..entry });
        }
    }
}

/// Starts a target that answers all requests, and returns its entry.
async fn serve(id: &str) -> targets::Entry {
    let target = Target::start().await;
    let entry = target.entry(id, "desk");
    tokio::spawn(async move {
        loop {
            target.next_or_wait().await.answer_whole_unless_reset("r", "paid").await;
        }
    });
    entry
}

fn renewed(entry: &targets::Entry, renewals: u64) -> targets::Entry {
    targets::Entry { renewals, ..entry.clone() }
}

fn leaving(entry: &targets::Entry, renewals: u64) -> targets::Entry {
    targets::Entry { draining: true, ..renewed(entry, renewals) }
}

async fn status(router: &RouterThread, path: &str) -> String {
    let headers = [("x-id", "r"), ("x-deadline-ms", "2000")];
    common::get(router.front, path, &headers).await.unwrap()[9..12].to_owned()
}

/// Checks for a time that the status on a path stays the same.
async fn assert_stays(router: &RouterThread, path: &str, expected: &str, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        assert_eq!(status(router, path).await, expected);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until the status on a path is another than the given one, and returns how long that took.
async fn wait_while(router: &RouterThread, path: &str, expected: &str) -> Duration {
    let started_at = Instant::now();
    let poll = async {
        while status(router, path).await == expected {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(6), poll).await.ok();
    started_at.elapsed()
}

/// Guards against configurations that are ignored until the offsets have overtaken those that are known.
#[rstest]
#[case::at_once(false)]
#[case::after_the_lost_offsets_were_given_out_again(true)]
#[tokio::test]
async fn a_configuration_that_is_written_after_the_store_went_back_is_in_force(
    #[case] passes_lost_offsets: bool,
) {
    let deployment = Deployment::start().await;
    deployment.routers_store.set_unavailable(true);
    deployment.restore();
    let route = common::route("/new/", "desk");
    deployment.store.put_config(common::config(RECORDS + 1, vec![route]));
    if passes_lost_offsets {
        deployment.pass_lost_offsets();
    }
    deployment.routers_store.set_unavailable(false);
    let took = wait_while(&deployment.router, "/new/", "404").await;
    assert!(took < deployment.router.settings.bounds.config_within, "{took:?}");
}

/// Guards against leavings that are ignored until the offsets have overtaken those that are known, or never read.
#[rstest]
#[case::at_once(false)]
#[case::after_the_lost_offsets_were_given_out_again(true)]
#[tokio::test]
async fn a_leaving_that_is_written_after_the_store_went_back_is_obeyed(
    #[case] passes_lost_offsets: bool,
) {
    let deployment = Deployment::start().await;
    deployment.routers_store.set_unavailable(true);
    deployment.restore();
    deployment.store.put_target(leaving(&deployment.target, RECORDS));
    if passes_lost_offsets {
        deployment.pass_lost_offsets();
    }
    deployment.routers_store.set_unavailable(false);
    let took = wait_while(&deployment.router, "/pay/", "200").await;
    assert!(took < deployment.router.settings.bounds.drain_within, "{took:?}");
}

/// Guards against a router that reads a store without a pause, as it stands at an offset that the store no longer has.
#[tokio::test]
async fn a_store_that_went_back_is_not_read_in_a_loop() {
    let deployment = Deployment::start().await;
    deployment.restore();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = deployment.routers_store.newest_reads();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let reads = deployment.routers_store.newest_reads() - before;
    assert!(reads <= 3, "{reads} reads of all records in a second");
}

/// Guards against an older configuration of the copy that replaces the one in force.
#[tokio::test]
async fn an_older_configuration_of_the_copy_does_not_come_back() {
    let deployment = Deployment::start().await;
    deployment.store.restore(deployment.copy);
    deployment.store.put_target(renewed(&deployment.target, RECORDS - 1));
    assert_stays(&deployment.router, "/old/", "404", Duration::from_secs(3)).await;
    assert_eq!(status(&deployment.router, "/pay/").await, "200");
}

/// Guards against a target that is gone, or leaves, and gets requests again as the copy still has its entry.
#[rstest]
#[case::leaving(true)]
#[case::removed(false)]
#[tokio::test]
async fn an_entry_of_the_copy_does_not_bring_a_target_back(#[case] is_leaving: bool) {
    let deployment = Deployment::start().await;
    match is_leaving {
        true => deployment.store.put_target(leaving(&deployment.target, RECORDS)),
        false => deployment.store.remove_target("target-1"),
    }
    wait_while(&deployment.router, "/pay/", "200").await;
    deployment.store.restore(deployment.copy);
    assert_stays(&deployment.router, "/pay/", "503", Duration::from_secs(3)).await;
}

/// Guards against a target that gets no requests until it has written its entry again, or that is kept for ever.
#[tokio::test]
async fn a_target_that_the_copy_lacks_is_used_for_a_short_time() {
    let deployment = Deployment::start().await;
    deployment.store.remove_target("target-1");
    wait_while(&deployment.router, "/pay/", "200").await;
    deployment.store.put_target(deployment.other.clone());
    wait_while(&deployment.router, "/pay/", "503").await;
    deployment.store.restore(deployment.copy);
    let used = Duration::from_secs(1);
    assert_stays(&deployment.router, "/pay/", "200", used).await;
    let gone_after = used + wait_while(&deployment.router, "/pay/", "200").await;
    assert!(gone_after < Duration::from_secs(5), "{gone_after:?}");
}

/// Guards against a router that starts just after the store went back, and takes the copy's configuration for the newest.
#[tokio::test]
async fn a_router_that_starts_meanwhile_has_the_configuration_of_its_peers() {
    let deployment = Deployment::start().await;
    deployment.store.restore(deployment.copy);
    let seeds = vec![deployment.router.peers];
    let stop_within = Duration::from_secs(8);
    let later = RouterThread::start_with(&deployment.store, "router-b", seeds, stop_within);
    later.wait_ready().await;
    let took = wait_while(&later, "/pay/", "404").await;
    assert!(took < Duration::from_millis(500), "{took:?}");
    assert_stays(&later, "/old/", "404", Duration::from_secs(1)).await;
}

/// Guards against a router that the others that start later do not know, as its entry is lost.
#[tokio::test]
async fn a_router_announces_itself_again_after_the_store_went_back() {
    let deployment = Deployment::start().await;
    let before = deployment.routers_store.announcements();
    deployment.restore();
    let poll = async {
        while deployment.routers_store.announcements() == before {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), poll).await.expect("its entry is written again");
}
