//! Graceful shutdown of real processes under load.

use futures::StreamExt;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use testbed::{Deployment, Plan, deployment::wait_for, load::LoadGenerator, plan::HINOKUNI_KEY};

const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(40);
const CALLER_COUNT: usize = 24;

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

async fn start() -> Deployment {
    let options = ["--token-us", "5000", "--load-ms", "100"];
    let plan =
        Plan { services: 2, engine_options: options.map(str::to_owned).into(), ..Plan::default() };
    Deployment::start(plan).await
}

fn start_load(deployment: &Deployment) -> LoadGenerator {
    let routers = (0..deployment.plan.routers).map(|i| format!("router-{i}"));
    LoadGenerator::start(
        routers.map(|name| deployment.address(&name).to_owned()).collect(),
        CALLER_COUNT,
    )
}

async fn wait_for_progress(load: &LoadGenerator, min_responses: usize) {
    let before = load.report();
    wait_for("answers of both kinds", async || {
        let report = load.report();
        report.completions >= before.completions + min_responses
            && report.bookings >= before.bookings + min_responses
    })
    .await;
}

/// Restarting all routers and agents in turn must not cause errors or truncated responses.
#[rstest]
fn a_rolling_restart_under_load_causes_no_errors() {
    block_on(async {
        let mut deployment = start().await;
        let load = start_load(&deployment);
        wait_for("all models to be warm", async || load.report().completions > 100).await;
        let cold = load.report().errors;
        assert!(cold.is_empty(), "{} errors before any stop: {:?}", cold.len(), cold.first());
        let names = deployment.started_processes();
        let restarted =
            names.iter().filter(|n| n.starts_with("router-") || n.starts_with("agent-"));
        for name in restarted {
            deployment.process(name).signal(Signal::SIGTERM);
            let started_at = std::time::Instant::now();
            wait_for("the end of a graceful shutdown", async || {
                !deployment.process(name).is_running()
            })
            .await;
            println!("{name} stopped in {:?}", started_at.elapsed());
            assert_eq!(deployment.process(name).wait_for_exit(SHUTDOWN_TIMEOUT), Some(0), "{name}");
            deployment.start_process(name);
            if name.starts_with("router-") {
                deployment.wait_for_answer(name, "/readyz").await;
            }
            wait_for_progress(&load, 20).await;
        }
        let report = load.finish().await;
        println!("{} complete answers, {} bookings executed", report.completions, report.bookings);
        let errors = &report.errors;
        assert!(
            errors.is_empty(),
            "{} errors: {:#?}",
            errors.len(),
            &errors[..errors.len().min(5)]
        );
    });
}

/// A router that shuts down must finish its open streams before it exits.
#[rstest]
fn a_router_finishes_its_streams_before_exiting() {
    block_on(async {
        let mut deployment = start().await;
        let body = json!({ "model": "design-13b", "prompt": "stripes", "max_tokens": 400,
            "stream": true });
        let url = deployment.url("router-0", "/v1/completions");
        let mut answer = None;
        wait_for("a stream that begins", async || {
            let req = deployment.http.post(&url).bearer_auth(HINOKUNI_KEY).json(&body);
            answer = req.send().await.ok().filter(|answer| answer.status().is_success());
            answer.is_some()
        })
        .await;
        let mut parts = answer.expect("the stream was opened").bytes_stream();
        let mut text = String::new();
        deployment.process("router-0").signal(Signal::SIGTERM);
        wait_for("not ready", async || {
            let ready = deployment.http.get(deployment.url("router-0", "/readyz")).send().await;
            !ready.is_ok_and(|ready| ready.status().is_success())
        })
        .await;
        while let Some(Ok(part)) = parts.next().await {
            text.push_str(&String::from_utf8_lossy(&part));
        }
        assert!(text.contains("[DONE]"), "cut after {} bytes", text.len());
        assert_eq!(text.matches("\nid: ").count() + 1, 400);
        assert_eq!(deployment.process("router-0").wait_for_exit(SHUTDOWN_TIMEOUT), Some(0));
    });
}

/// A second signal must end the process at once and log the number of aborted requests.
#[rstest]
#[case::router("router-0")]
#[case::agent("agent-service-0")]
fn a_second_signal_exits_at_once_and_logs_aborted_requests(#[case] name: &str) {
    block_on(async {
        let plan = Plan { engines: 2, ..Plan::default() };
        let mut deployment = Deployment::start(plan).await;
        deployment.inject_fault("service-0", &json!({ "after_ms": 20_000 })).await;
        let booking = testbed::booking::Booking::new("b-1", 15_000);
        let url = deployment.url("router-0", "/services/agenda/bookings");
        let http = deployment.http.clone();
        let pending = tokio::spawn(async move { booking.send(&http, url).await });
        wait_for("the booking runs", async || deployment.execution_count("b-1").await == 1).await;
        deployment.process(name).signal(Signal::SIGTERM);
        wait_for("the second signal to take effect", async || {
            deployment.process(name).signal(Signal::SIGTERM);
            !deployment.process(name).is_running()
        })
        .await;
        assert_ne!(deployment.process(name).wait_for_exit(SHUTDOWN_TIMEOUT), Some(0));
        assert!(deployment.log_of(name).contains("\"cut\":1"), "{}", deployment.log_of(name));
        if let Some(answer) = pending.await.expect("the task ends") {
            assert_eq!(answer.outcome, "unknown", "{answer:?}");
        }
    });
}
