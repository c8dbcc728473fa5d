//! Answers to callers when targets fail, break off or fall silent.

mod common;

use common::{MemoryStore, ReceivedRequest, RouterThread, Target};
use corianderstand_fleet::{
    budget,
    config::{self, RetryPolicy, Route},
    targets,
};
use corianderstand_schema::peers;
use std::time::{Duration, Instant};
use tokio::{io::AsyncReadExt, net::UdpSocket};

const ID: &str = "request-1";

/// Two targets of one service behind one route, and a router before them.
async fn pair(route: Route) -> (RouterThread, Target, Target) {
    let store = MemoryStore::default();
    let (one, two) = (Target::start().await, Target::start().await);
    store.config(common::config(1, vec![route]));
    store.target(one.entry("target-1", "desk"));
    store.target(two.entry("target-2", "desk"));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    (router, one, two)
}

/// The request at whichever target got it, and the other target.
async fn first<'a>(one: &'a Target, two: &'a Target) -> (ReceivedRequest, &'a Target) {
    tokio::select! {
        got = one.next() => (got, two),
        got = two.next() => (got, one),
    }
}

fn once() -> Route {
    common::route("/pay/", "desk")
}

fn repeatable() -> Route {
    Route { retry_policy: RetryPolicy::Allowed, ..once() }
}

fn resumable() -> Route {
    Route { streams: true, resumable: true, ..once() }
}

#[tokio::test]
async fn a_request_goes_on_unchanged_and_its_answer_comes_back() {
    let (router, one, two) = pair(once()).await;
    let headers = [("x-id", ID), ("x-deadline-ms", "5000"), ("x-own", "kept")];
    let mut caller =
        common::send(router.front, "POST", "/pay/1?n=2", &headers, "body").await.unwrap();
    let (got, _) = first(&one, &two).await;
    assert!(got.head.starts_with("post /pay/1?n=2 http/1.1"), "{}", got.head);
    assert_eq!(got.header("x-own"), Some("kept"));
    let left: u64 = got.header("x-left-ms").unwrap().parse().unwrap();
    assert!((4_000..5_000).contains(&left), "the target gets what is left: {left}");
    got.answer_whole(ID, "paid").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("paid"), "{answer}");
}

/// A target takes a payment and its connection breaks before the answer. Whether it was paid is not
/// known. A caller that is told "not run" pays twice.
#[tokio::test]
async fn a_payment_whose_fate_is_unknown_is_not_called_not_run() {
    let (router, one, two) = pair(once()).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (got, other) = first(&one, &two).await;
    drop(got);
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    let none = tokio::time::timeout(Duration::from_millis(300), other.next()).await;
    assert!(none.is_err(), "it is not sent again");
}

/// A target says that it did not run a payment, so another one may.
#[tokio::test]
async fn a_payment_that_was_not_run_goes_to_another_target() {
    let (router, one, two) = pair(once()).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (got, other) = first(&one, &two).await;
    let full = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: request-1\r\nContent-Length: 0\r\n\r\n";
    got.answer(full).await;
    other.next().await.answer_whole(ID, "paid").await;
    assert!(common::read_all(&mut caller).await.unwrap().ends_with("paid"));
}

/// A target's connection breaks before the answer to a look-up, which may run any number of times.
#[tokio::test]
async fn a_lookup_whose_target_is_lost_goes_to_another() {
    let (router, one, two) = pair(repeatable()).await;
    let mut caller =
        common::send(router.front, "GET", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (got, other) = first(&one, &two).await;
    drop(got);
    other.next().await.answer_whole(ID, "found").await;
    assert!(common::read_all(&mut caller).await.unwrap().ends_with("found"));
}

/// A target sends the answer to an earlier request where this one's is due. A caller would get
/// somebody else's data.
#[tokio::test]
async fn an_answer_to_another_request_reaches_nobody() {
    let (router, one, two) = pair(once()).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (got, _) = first(&one, &two).await;
    got.answer_whole("request-0", "of somebody else").await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 502") && !answer.contains("somebody"), "{answer}");
}

/// A target crashes in the middle of an event. The other goes on after the last whole event; the
/// caller sees each event once and the stream's end.
#[tokio::test]
async fn a_stream_goes_on_at_another_target_after_its_last_whole_event() {
    let (router, one, two) = pair(resumable()).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (mut got, other) = first(&one, &two).await;
    got.begin_stream(ID).await;
    got.send_chunk("id: 0\ndata: a\n\n").await;
    got.send_chunk("id: 1\ndata: b\n\nid: 2\nda").await;
    drop(got);
    let mut next = other.next().await;
    assert_eq!(next.header("x-last-event"), Some("1"));
    next.begin_stream(ID).await;
    next.send_chunk("id: 2\ndata: c\n\n").await;
    next.end().await;
    let answer = common::read_all(&mut caller).await.unwrap();
    let events: Vec<_> = answer.lines().filter(|line| line.starts_with("data")).collect();
    assert_eq!(events, ["data: a", "data: b", "data: c"], "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "the end is marked");
}

/// The target that takes a stream up begins with another event than the next. Passed on, the caller
/// would miss a piece without knowing.
#[tokio::test]
async fn a_stream_with_a_hole_is_broken_off() {
    let (router, one, two) = pair(resumable()).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (mut got, other) = first(&one, &two).await;
    got.begin_stream(ID).await;
    got.send_chunk("id: 0\ndata: a\n\n").await;
    drop(got);
    let mut next = other.next().await;
    next.begin_stream(ID).await;
    next.send_chunk("id: 5\ndata: f\n\n").await;
    // The router breaks the connection off at the wrong event, which may be before the end is written.
    next.end_unless_reset().await;
    let answer = common::read_all(&mut caller).await.unwrap_or_default();
    assert!(!answer.contains("data: f") && !answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// A stream that may not be taken up breaks off. It must not look whole to its caller.
#[tokio::test]
async fn a_stream_that_breaks_off_does_not_look_whole() {
    let route = Route { streams: true, ..once() };
    let (router, one, two) = pair(route).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (mut got, _) = first(&one, &two).await;
    got.begin_stream(ID).await;
    got.send_chunk("id: 0\ndata: a\n\n").await;
    drop(got);
    let answer = common::read_all(&mut caller).await.unwrap_or_default();
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// A caller leaves while its request is at a target, on a link that may hold up what is sent. The
/// target must hear of it at once, and nothing undelivered may arrive later: the router resets the
/// connection, which takes back what is on its way, and does not merely end it.
#[tokio::test]
async fn a_caller_who_leaves_takes_the_request_back() {
    let (router, one, two) = pair(once()).await;
    let caller = common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (mut got, _) = first(&one, &two).await;
    drop(caller);
    let read = tokio::time::timeout(common::WAIT_LIMIT, got.stream.read(&mut [0; 16])).await;
    let error = read.expect("the target hears of it").expect_err("a reset, not an end");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// An engine has ended and another has its address, while its entry stays because the store is away.
/// Each request sent there is refused, and callers see refusals although the other engine is free.
#[tokio::test]
async fn a_target_whose_address_belongs_to_another_gets_no_more() {
    let store = MemoryStore::default();
    let (one, two) = (Target::start().await, Target::start().await);
    store.config(common::config(1, vec![once()]));
    for (target, id) in [(&one, "target-1"), (&two, "target-2")] {
        let resident = targets::Resident { model: "m".into(), adapters: Vec::new() };
        let holdings = targets::Holdings { resident: vec![resident], ..Default::default() };
        store.target(targets::Entry { holdings, ..target.entry(id, "desk") });
    }
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let mut left = None;
    for round in 0..12 {
        let id = format!("request-{round}");
        let headers = [("x-id", id.as_str()), ("x-model", "m")];
        let mut caller = common::send(router.front, "POST", "/pay/1", &headers, "").await.unwrap();
        match left {
            None => {
                let (got, rest) = first(&one, &two).await;
                let refusal = format!(
                    "HTTP/1.1 421 Another\r\nx-not-run: 1\r\nx-id: {id}\r\nx-target: target-9\r\nContent-Length: 0\r\n\r\n"
                );
                got.answer(&refusal).await;
                rest.next().await.answer_whole(&id, "paid").await;
                left = Some(rest);
            }
            Some(rest) => {
                let gone = if std::ptr::eq(rest, &one) { &two } else { &one };
                tokio::select! {
                    got = rest.next() => got.answer_whole(&id, "paid").await,
                    _ = gone.next() => panic!("{id} went to the target that is gone"),
                }
            }
        }
        assert!(common::read_all(&mut caller).await.unwrap().ends_with("paid"));
        // A refusal for a model that is not there is forgotten after less.
        tokio::time::sleep(Duration::from_millis(450)).await;
    }
}

/// What came of requests is counted, and the metrics agree with what the callers saw.
#[tokio::test]
async fn metrics_agree_with_what_callers_saw() {
    let (router, one, two) = pair(once()).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    first(&one, &two).await.0.answer_whole(ID, "paid").await;
    common::read_all(&mut caller).await.unwrap();
    let mut caller =
        common::send(router.front, "POST", "/pay/2", &[("x-id", ID)], "").await.unwrap();
    drop(first(&one, &two).await.0);
    common::read_all(&mut caller).await.unwrap();
    let text = common::get(router.metrics, "/metrics", &[]).await.unwrap();
    assert!(text.contains(r#"requests_total{kind="once",outcome="answered"} 1"#), "{text}");
    let lost = r#"requests_total{kind="once",outcome="the target's connection was lost"} 1"#;
    assert!(text.contains(lost), "{text}");
    assert!(text.contains("request_seconds_bucket"), "{text}");
}

/// An engine crashes in the middle of a stream while no other holds the model; one has it a second
/// later. The wait for it used to be counted from the request's arrival, so a stream that had run for
/// two seconds was broken off at once although its caller would have had the rest.
#[tokio::test]
async fn a_long_stream_waits_for_its_model_elsewhere() {
    let store = MemoryStore::default();
    let (one, two) = (Target::start().await, Target::start().await);
    let mut config = common::config(1, vec![resumable()]);
    let model = config::Model { name: "m".into(), ..Default::default() };
    let engine = config::Engine { slots: 8, models: vec![model], ..Default::default() };
    config.services = vec![config::Service {
        name: "desk".into(),
        connections: 9,
        engine: Some(engine),
        ..Default::default()
    }];
    store.config(config);
    let holds = |target: &Target, id: &str, renewals: u64, models: &[&str]| {
        let resident = models
            .iter()
            .map(|model| targets::Resident { model: (*model).into(), adapters: Vec::new() });
        let holdings = targets::Holdings { resident: resident.collect(), ..Default::default() };
        targets::Entry { renewals, holdings, ..target.entry(id, "desk") }
    };
    store.target(holds(&one, "target-1", 1, &["m"]));
    store.target(holds(&two, "target-2", 1, &[]));
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let headers = [("x-id", ID), ("x-model", "m")];
    let mut caller = common::send(router.front, "POST", "/pay/1", &headers, "").await.unwrap();
    let mut got = one.next().await;
    got.begin_stream(ID).await;
    for event in 0..5 {
        got.send_chunk(&format!("id: {event}\ndata: x\n\n")).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    drop(got);
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.target(holds(&two, "target-2", 2, &["m"]));
    let mut next = two.next().await;
    assert_eq!(next.header("x-last-event"), Some("4"));
    next.begin_stream(ID).await;
    next.send_chunk("id: 5\ndata: y\n\n").await;
    next.end().await;
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.contains("data: y") && answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// An engine that holds a model carries out another order for five seconds, and can load no adapter
/// meanwhile. Requests for an adapter were held until their callers left after two seconds, without a
/// word in the log; a caller that is told at once can come back when the engine is free.
#[tokio::test]
async fn a_request_for_an_adapter_that_cannot_come_in_time_is_refused_at_once() {
    let store = MemoryStore::default();
    let target = Target::start().await;
    let mut config = common::config(1, vec![resumable()]);
    let model = config::Model { name: "m".into(), adapters: 4, ..Default::default() };
    let engine =
        config::Engine { slots: 8, adapter_slots: 4, models: vec![model], ..Default::default() };
    config.services = vec![config::Service {
        name: "desk".into(),
        connections: 9,
        engine: Some(engine),
        ..Default::default()
    }];
    store.config(config);
    let resident = targets::Resident { model: "m".into(), adapters: Vec::new() };
    let holdings = targets::Holdings { resident: vec![resident], ..Default::default() };
    store.target(targets::Entry { holdings, ..target.entry("target-1", "desk") });
    let router = RouterThread::start(&store);
    router.wait_ready().await;
    let news = peers::EngineUpdate {
        target: "target-1".into(),
        born: 0,
        orders: 3,
        resident: vec![peers::ResidentModel { model: "m".into(), adapters: Vec::new() }],
        copies: Vec::new(),
        ongoing: vec![peers::OngoingCommand {
            model: "other".into(),
            loads: true,
            from_store: true,
            remaining_ms: 5_000,
        }],
        running: 0,
        waiting: 0,
        cache_used: 0,
    };
    let agent = UdpSocket::bind(common::free_port()).await.unwrap();
    let news = postcard::to_stdvec(&peers::PeerMessage::EngineNews(news)).unwrap();
    agent.send_to(&news, router.peers).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let headers = [("x-id", ID), ("x-model", "m"), ("x-adapter", "a1")];
    let began = Instant::now();
    let mut caller = common::send(router.front, "POST", "/pay/1", &headers, "").await.unwrap();
    let answer = common::read_all(&mut caller).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    let after = answer.to_lowercase().lines().find_map(|line| {
        line.strip_prefix("retry-after: ").map(|after| after.parse::<f64>().unwrap())
    });
    assert!(after.is_some_and(|after| after > 4.0), "when the engine is free: {answer}");
}

/// Operators take the budget for second attempts away because back ends are drowning, and give it
/// back later, without a restart in between. A router that read its settings at its start only would
/// go on repeating.
#[tokio::test]
async fn changed_settings_hold_without_a_restart() {
    let (router, one, two) = pair(repeatable()).await;
    let mut settings = router.settings.clone();
    settings.bounds.allowance = budget::Allowance { ratio: 0.0, fixed: 0.0, ..Default::default() };
    router.reload.send(settings).unwrap();
    let answer = loop {
        let mut caller =
            common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
        let (got, other) = first(&one, &two).await;
        drop(got);
        // Until the change is in force, the other target is asked.
        let again = tokio::time::timeout(Duration::from_millis(300), other.next()).await;
        match again {
            Ok(got) => got.answer_whole(ID, "paid").await,
            Err(_) => break common::read_all(&mut caller).await.unwrap(),
        }
    };
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    router.reload.send(router.settings.clone()).unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut caller =
        common::send(router.front, "POST", "/pay/1", &[("x-id", ID)], "").await.unwrap();
    let (got, other) = first(&one, &two).await;
    drop(got);
    other.next().await.answer_whole(ID, "paid").await;
    assert!(common::read_all(&mut caller).await.unwrap().ends_with("paid"));
}
