//! A router that gets most new connections, more than its processor can serve.

mod common;

use common::{MemoryStore, RouterThread, Target, platform::SPIN_HEADER};
use corianderstand_fleet::targets;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{io::AsyncReadExt, task::JoinSet};

/// Processor time that a request takes at the flooded router.
const SPIN_MS: &str = "20";
/// Three times as often as the flooded router can serve them.
const REQUEST_INTERVAL: Duration = Duration::from_micros(6_700);
const REQUESTS: u32 = 750;
/// Requests sent earlier may find the router before it notices.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Callers give up after this time.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// Of the requests that a router has read, those that it must serve.
const MIN_SERVED_RATIO: f64 = 0.75;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outcome {
    Served,
    ClosedUnread,
    Failed,
}

async fn ask(router: std::net::SocketAddr, id: &str, headers: &[(&str, &str)]) -> Outcome {
    let mut all = vec![("x-id", id), ("x-deadline-ms", "1000")];
    all.extend_from_slice(headers);
    let answer = async {
        let mut stream = common::send(router, "POST", "/desk/1", &all, "content").await?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.map(|_| bytes)
    };
    match tokio::time::timeout(CALLER_TIMEOUT, answer).await {
        Ok(Ok(bytes)) if bytes.starts_with(b"HTTP/1.1 200") => Outcome::Served,
        Ok(Ok(bytes)) if bytes.is_empty() => Outcome::ClosedUnread,
        Ok(Err(_)) => Outcome::ClosedUnread,
        _ => Outcome::Failed,
    }
}

async fn serve(target: Target) {
    loop {
        let request = target.next_or_wait().await;
        let id = request.header("x-id").unwrap_or_default().to_owned();
        tokio::spawn(async move { request.answer_whole_unless_reset(&id, "done").await });
    }
}

/// Guards against a router that reads more requests than it can serve while others have room.
#[tokio::test]
async fn a_flooded_router_closes_connections_unread_and_serves_what_it_reads() {
    let store = MemoryStore::default();
    store.put_config(common::config(1, vec![common::route("/desk/", "desk")]));
    let target = Target::start().await;
    store.put_target(targets::Entry { slots: 512, ..target.entry("target", "desk") });
    tokio::spawn(serve(target));
    let flooded = RouterThread::start(&store);
    let limit = Duration::from_secs(8);
    let other = RouterThread::start_with(&store, "router-b", vec![flooded.peers], limit);
    flooded.wait_ready().await;
    other.wait_ready().await;
    let (front, other_front) = (flooded.front, other.front);
    let routers = Arc::new((flooded, other));
    let started_at = Instant::now();
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        tokio::time::sleep_until((started_at + REQUEST_INTERVAL * number).into()).await;
        requests.spawn(async move {
            let sent_at = started_at.elapsed();
            let first = ask(front, &format!("first-{number}"), &[(SPIN_HEADER, SPIN_MS)]).await;
            let second = match first {
                Outcome::ClosedUnread => {
                    Some(ask(other_front, &format!("second-{number}"), &[]).await)
                }
                _ => None,
            };
            (sent_at, first, second)
        });
    }
    let outcomes = requests.join_all().await;
    drop(routers);
    let late: Vec<_> = outcomes.into_iter().filter(|(at, ..)| *at >= NOTICE_TIME).collect();
    let count = |outcome| late.iter().filter(|(_, first, _)| *first == outcome).count();
    let (served, failed) = (count(Outcome::Served), count(Outcome::Failed));
    let unread = count(Outcome::ClosedUnread);
    let served_elsewhere =
        late.iter().filter(|(.., second)| *second == Some(Outcome::Served)).count();
    let text = format!(
        "{served} served, {failed} failed, {unread} closed unread, {served_elsewhere} of these served elsewhere"
    );
    assert!(served as f64 >= (served + failed) as f64 * MIN_SERVED_RATIO, "{text}");
    assert!(served > 0, "{text}");
    assert!(served_elsewhere as f64 >= unread as f64 * MIN_SERVED_RATIO, "{text}");
}
