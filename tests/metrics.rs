//! Metrics and traces emitted by real processes.

use corianderstand::control::metrics::Metric;
use rstest::rstest;
use serde_json::{Value, json};
use std::{
    collections::BTreeSet,
    net::UdpSocket,
    time::{Duration, Instant},
};
use testbed::{Deployment, Plan, deployment::wait_for, plan::VIDRIO_KEY, process::STATE_TIMEOUT};

const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

fn receive_metrics(sink: &UdpSocket, received_metrics: &mut BTreeSet<String>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok(length) = sink.recv(&mut buf) {
        let text = String::from_utf8_lossy(&buf[..length]).into_owned();
        for line in text.lines() {
            let name = line.split(':').next().unwrap_or_default();
            received_metrics.insert(name.trim_start_matches("corianderstand.").to_owned());
        }
    }
}

async fn wait_for_metrics(
    sink: &UdpSocket,
    received_metrics: &mut BTreeSet<String>,
    expected: &[Metric],
) {
    let started_at = Instant::now();
    loop {
        receive_metrics(sink, received_metrics);
        let missing = expected.iter().filter(|metric| !received_metrics.contains(metric.name()));
        let missing: Vec<_> = missing.copied().map(Metric::name).collect();
        if missing.is_empty() {
            return;
        }
        assert!(started_at.elapsed() < STATE_TIMEOUT, "metrics not received: {missing:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Every declared metric must be emitted, and every emitted metric must be declared.
#[rstest]
fn declared_metrics_reach_the_sink() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(async {
        let sink = UdpSocket::bind("127.0.0.1:0").expect("loopback has a free port");
        sink.set_read_timeout(Some(Duration::from_millis(1))).expect("a timeout can be set");
        let statsd_address = json!(sink.local_addr().expect("it is bound").to_string());
        let plan = Plan { routers: 1, engines: 2, statsd_address, ..Plan::default() };
        let mut deployment = Deployment::start(plan).await;
        let url = deployment.url("router-0", "/v1/completions");
        let mut received_metrics = BTreeSet::new();
        for stream in [false, true] {
            let body = json!({ "model": "quotes-7b", "prompt": "x", "max_tokens": 2,
                "stream": stream });
            wait_for("an answer", async || {
                receive_metrics(&sink, &mut received_metrics);
                let req = deployment.http.post(&url).bearer_auth(VIDRIO_KEY).json(&body);
                req.send().await.is_ok_and(|answer| answer.status() == 200)
            })
            .await;
        }
        let call = deployment.url("router-0", "/services/agenda/bookings");
        let call = deployment.http.post(call).bearer_auth(VIDRIO_KEY);
        let call = call.header("idempotency-key", "m-1").json(&json!({ "day": 1 })).send().await;
        assert_eq!(call.expect("the router answers").status(), 200);
        let refused = deployment.http.post(&url).bearer_auth("no-such-key").send().await;
        assert_eq!(refused.expect("the router answers").status(), 401);
        // Connections are open only while in use, so the agents are killed during a stream.
        let body = json!({ "model": "quotes-7b", "prompt": "x", "max_tokens": 10000,
            "stream": true });
        let stream = deployment.http.post(&url).bearer_auth(VIDRIO_KEY).json(&body).send().await;
        assert_eq!(stream.expect("the router answers").status(), 200);
        // These need other failures or a long idle time.
        let excluded = [
            Metric::RouterRetries,
            Metric::AgentRefusals,
            Metric::AgentUnloads,
            Metric::ControlReadFailures,
        ];
        let all = Metric::ALL.iter().copied();
        let all: Vec<_> = all.filter(|metric| !excluded.contains(metric)).collect();
        assert_eq!(all.len() + excluded.len(), Metric::ALL.len());
        // A killed process loses its last counts, so the others are received first.
        let before: Vec<_> =
            all.iter().copied().filter(|metric| *metric != Metric::RouterLost).collect();
        wait_for_metrics(&sink, &mut received_metrics, &before).await;
        for agent in ["agent-engine-0", "agent-engine-1"] {
            deployment.process(agent).kill();
        }
        wait_for_metrics(&sink, &mut received_metrics, &all).await;
        let known: BTreeSet<&str> = Metric::ALL.iter().map(|metric| metric.name()).collect();
        let unknown: Vec<_> =
            received_metrics.iter().filter(|name| !known.contains(name.as_str())).collect();
        assert!(unknown.is_empty(), "sent but not documented: {unknown:?}");
    });
}

fn hop(deployment: &Deployment, process: &str, trace: &str) -> Option<Value> {
    let log = deployment.log_of(process);
    let mut lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.find(|line| line["trace_id"] == trace)
}

/// The log lines of all hops must be linked by trace and span ids.
#[rstest]
fn hops_of_a_request_share_a_trace() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(async {
        let plan = Plan { routers: 1, ..Plan::default() };
        let deployment = Deployment::start(plan).await;
        let trace = "0af7651916cd43dd8448eb211c80319c";
        let call = deployment.url("router-0", "/services/agenda/bookings");
        let call = deployment.http.post(call).bearer_auth(VIDRIO_KEY);
        let call = call.header("traceparent", format!("00-{trace}-b7ad6b7169203331-01"));
        let call = call.header("idempotency-key", "t-1").json(&json!({ "day": 1 })).send().await;
        assert_eq!(call.expect("the router answers").status(), 200);
        let mut hops = (None, None);
        wait_for("both hops", async || {
            let agent = hop(&deployment, "agent-service-0", trace);
            hops = (hop(&deployment, "router-0", trace), agent);
            hops.0.is_some() && hops.1.is_some()
        })
        .await;
        let (router, agent) = (hops.0.unwrap_or_default(), hops.1.unwrap_or_default());
        assert_eq!(router["parent_id"], "b7ad6b7169203331");
        assert_eq!(agent["parent_id"], router["span_id"]);
        assert_eq!(agent["request"], router["request"]);
    });
}
