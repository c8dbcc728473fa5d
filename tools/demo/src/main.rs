//! Starts a small deployment on loopback, sends a few requests and prints the responses.

use serde_json::{Value, json};
use std::time::Instant;
use testbed::{
    Deployment, Plan,
    plan::{HINOKUNI_KEY, VIDRIO_KEY},
};

/// Trace context of all requests, which every hop logs.
const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run());
}

async fn run() {
    let started_at = Instant::now();
    let deployment = Deployment::start(Plan::default()).await;
    println!(
        "started {} processes in {:.1?}",
        deployment.started_processes().len(),
        started_at.elapsed()
    );
    let completion =
        json!({ "model": "quotes-7b", "prompt": "A quote for nine floors", "max_tokens": 8 });
    send(&deployment, "cold start", "router-0", "/v1/completions", VIDRIO_KEY, &completion).await;
    send(&deployment, "warm", "router-1", "/v1/completions", VIDRIO_KEY, &completion).await;
    let chat = json!({ "model": "design-13b", "stream": true, "max_tokens": 5,
        "messages": [{ "role": "user", "content": "Two stripes, red collar" }] });
    send(&deployment, "streamed chat", "router-1", "/v1/chat/completions", HINOKUNI_KEY, &chat)
        .await;
    let adapter = json!({ "model": "quotes-7b:conce", "prompt": "Wind today?", "max_tokens": 4 });
    send(&deployment, "adapter", "router-0", "/v1/completions", VIDRIO_KEY, &adapter).await;
    let foreign_model = json!({ "model": "design-13b", "prompt": "not mine" });
    send(
        &deployment,
        "another team's model",
        "router-0",
        "/v1/completions",
        VIDRIO_KEY,
        &foreign_model,
    )
    .await;
    for router in ["router-0", "router-1"] {
        let booking = json!({ "building": "Torre Norte", "day": "2026-12-03" });
        send(&deployment, "booking", router, "/services/agenda/bookings", VIDRIO_KEY, &booking)
            .await;
    }
    let counts = deployment.counters("service-0").await;
    println!("\nthe service ran {} booking(s)", counts["ran"]);
    show_trace(&deployment);
    let (_, status) = deployment.run_operator_command(&["status"]);
    println!("\n{status}");
}

async fn send(
    deployment: &Deployment,
    label: &str,
    router: &str,
    path: &str,
    bearer_token: &str,
    body: &Value,
) {
    let started_at = Instant::now();
    let answer = deployment
        .http
        .post(deployment.url(router, path))
        .bearer_auth(bearer_token)
        .header("idempotency-key", "booking-1")
        .header("traceparent", TRACEPARENT)
        .json(body)
        .send()
        .await
        .expect("the router responds");
    let status = answer.status();
    let text = answer.text().await.expect("the response is complete");
    println!("\n{label}: {path} at {router}: {status} after {:.0?}", started_at.elapsed());
    println!("{}", text.trim_end());
}

/// Prints one line per hop of the trace.
fn show_trace(deployment: &Deployment) {
    println!("\nhops of trace {}:", &TRACEPARENT[3..35]);
    for name in deployment.started_processes() {
        for line in deployment.log_of(&name).lines() {
            let Ok(line) = serde_json::from_str::<Value>(line) else { continue };
            let is_in_trace = line["trace_id"].as_str() == Some(&TRACEPARENT[3..35]);
            if is_in_trace {
                println!(
                    "{name}: {} {} {} µs",
                    line["message"].as_str().unwrap_or_default(),
                    line["request"].as_str().unwrap_or_default(),
                    line["took_us"]
                );
            }
        }
    }
}
