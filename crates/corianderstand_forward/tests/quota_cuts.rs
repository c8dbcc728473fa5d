//! Quotas of workspaces at two routers that can't reach each other.

mod common;

use common::{MemoryStore, RouterThread, Target, cut};
use corianderstand_fleet::{config, workspaces};
use corianderstand_forward::dialect;
use rstest::rstest;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;

const KEY: &str = "k-1";
const COST: u64 = 200;
const PER_S: f64 = 2_000.0;
const WINDOW: Duration = Duration::from_secs(8);
const RATIO: f64 = 0.1;
const FIXED: f64 = 1_000.0;
/// Between two requests to one router: one and a half times the quota at each.
const INTERVAL: Duration = Duration::from_millis(66);
const CUT_TIME: Duration = Duration::from_secs(11);
const AFTER_TIME: Duration = Duration::from_secs(5);
/// What callers should get of the quota.
const MIN_USED_RATIO: f64 = 0.7;

fn config() -> config::Config {
    let quota = workspaces::Quota {
        per_s: PER_S,
        burst: PER_S,
        unit: workspaces::CostUnit::Token { default: COST },
    };
    let workspace = workspaces::Workspace {
        name: "w-1".into(),
        credentials: vec![workspaces::Credential::new(KEY.as_bytes())],
        priority: 1,
        quota: Some(quota),
    };
    let routes = vec![common::route("/desk/", "desk")];
    config::Config { workspaces: Some(vec![workspace]), ..common::config(1, routes) }
}

/// Answers each request and tells when it arrived.
fn serve(target: Target) -> mpsc::UnboundedReceiver<Instant> {
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let request = target.next_or_wait().await;
            if tx.send(Instant::now()).is_err() {
                return;
            }
            let id = request.header("x-id").unwrap().to_owned();
            request.answer_whole_unless_reset(&id, "done").await;
        }
    });
    rx
}

/// Asks a router for more than the quota until a moment.
async fn press(front: std::net::SocketAddr, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        tokio::spawn(async move {
            let id = format!("r{number}");
            let path = format!("/desk/{number}");
            let headers = [("x-id", id.as_str()), ("x-key", KEY), ("x-deadline-ms", "1000")];
            drop(common::get(front, &path, &headers).await);
        });
        tokio::time::sleep(INTERVAL).await;
    }
}

struct Setup {
    routers: [RouterThread; 2],
    link: cut::Link,
    arrivals: mpsc::UnboundedReceiver<Instant>,
}

async fn setup(is_cut_at_start: bool) -> Setup {
    let store = MemoryStore::default();
    let target = Target::start().await;
    store.put_config(config());
    store.put_target(target.entry("target-1", "desk"));
    let stores = [store.isolated(), store.isolated()];
    let names = ["router-a", "router-b"];
    let settings = names.map(|name| {
        let mut settings = RouterThread::settings(name, vec![], Duration::from_secs(8));
        settings.bounds.quota_tolerance.ratio = RATIO;
        settings.bounds.quota_tolerance.fixed = FIXED;
        settings
    });
    for settings in &settings {
        let entry = dialect::RouterEntry {
            router: settings.name.clone(),
            addr: settings.peer_addr,
            zone: Some(settings.zone.clone()),
            strength: settings.cpu_millicores,
            is_suspected: false,
            versions: Default::default(),
        };
        store.list_router(&settings.name, Some(entry));
    }
    let ends = |index: usize| (names[index], settings[index].peer_addr, &stores[index]);
    let link = cut::open(ends(0), ends(1)).await;
    link.set_cut(is_cut_at_start);
    let [first, second] = settings;
    let routers =
        [RouterThread::start_on(&stores[0], first), RouterThread::start_on(&stores[1], second)];
    for router in &routers {
        router.wait_ready().await;
    }
    Setup { routers, link, arrivals: serve(target) }
}

impl Setup {
    /// Presses both routers for a time and returns when requests arrived.
    async fn play(&mut self, time: Duration) -> Vec<Instant> {
        let until = Instant::now() + time;
        let [first, second] = &self.routers;
        tokio::join!(press(first.front, until), press(second.front, until));
        let mut arrivals = Vec::new();
        while let Ok(at) = self.arrivals.try_recv() {
            arrivals.push(at);
        }
        arrivals
    }
}

/// Cost of the requests in the worst window, relative to what is allowed in one.
fn worst_window(arrivals: &[Instant]) -> f64 {
    let allowed = (PER_S * WINDOW.as_secs_f64() + PER_S) * (1.0 + RATIO) + FIXED;
    let mut window = VecDeque::new();
    let mut most = 0;
    for at in arrivals {
        window.push_back(*at);
        while window.front().is_some_and(|first| at.duration_since(*first) > WINDOW) {
            window.pop_front();
        }
        most = most.max(window.len() as u64 * COST);
    }
    most as f64 / allowed
}

fn used(arrivals: &[Instant], time: Duration) -> f64 {
    arrivals.len() as f64 * COST as f64 / (PER_S * time.as_secs_f64())
}

/// Guards against a workspace that gets its quota from each of two routers, or much less than its quota from both.
#[rstest]
#[case::both_ways(false, true, true)]
#[case::from_the_start(true, true, true)]
#[case::one_way(false, true, false)]
#[tokio::test]
async fn routers_that_cannot_reach_each_other_share_a_quota(
    #[case] is_cut_at_start: bool,
    #[case] there: bool,
    #[case] back: bool,
) {
    let mut setup = setup(is_cut_at_start).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    setup.link.there.set_cut(there);
    setup.link.back.set_cut(back);
    let mut arrivals = setup.play(CUT_TIME).await;
    let during = used(&arrivals, CUT_TIME);
    setup.link.set_cut(false);
    let later = setup.play(AFTER_TIME).await;
    let after = used(&later, AFTER_TIME);
    arrivals.extend(later);
    let worst = worst_window(&arrivals);
    println!("{during:.3} during, {after:.3} after, {worst:.3} of a window");
    assert!(worst <= 1.0, "{worst:.3} of what a window allows");
    assert!(during >= MIN_USED_RATIO, "{during:.3} of the quota during the cut");
    assert!(after >= MIN_USED_RATIO, "{after:.3} of the quota after it");
}
