//! Oversized, slow, invalid and aborted requests over real sockets.

use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use testbed::{
    Deployment, Plan,
    deployment::wait_for,
    plan::{HINOKUNI_KEY, VIDRIO_KEY},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time,
};

/// Generous time limit for responses due within a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const COMPLETIONS: &str = "/v1/completions";

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

fn small_plan() -> Plan {
    Plan {
        routers: 1,
        engines: 1,
        limits: json!({ "max_connections": 16, "max_header_bytes": 2048, "max_body_bytes": 4096,
            "read_timeout_ms": 500, "write_timeout_ms": 500 }),
        documents: Plan::default()
            .documents
            .into_iter()
            .map(|(path, mut value)| {
                if path == "teams/vidrio/models/quotes-7b" {
                    value["replicas"] = json!(1);
                }
                (path, value)
            })
            .collect(),
        ..Plan::default()
    }
}

async fn start_loaded(plan: Plan) -> Deployment {
    let deployment = Deployment::start(plan).await;
    for (key, model) in [(VIDRIO_KEY, "quotes-7b"), (HINOKUNI_KEY, "design-13b")] {
        let body = json!({ "model": model, "prompt": "warm", "max_tokens": 1 });
        wait_for(model, async || {
            let req = deployment.http.post(deployment.url("router-0", COMPLETIONS));
            let answer = req.bearer_auth(key).json(&body).send().await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    }
    deployment
}

async fn engine_counter(deployment: &Deployment, name: &str) -> u64 {
    deployment.counters("engine-0").await[name].as_u64().unwrap_or_default()
}

struct RawResponse {
    head: String,
    body: String,
}

impl RawResponse {
    fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    fn error(&self) -> Value {
        let value: Value = serde_json::from_str(&self.body).expect("errors are JSON");
        assert!(value["error"]["request_id"].is_string(), "a request id: {value}");
        value["error"].clone()
    }
}

async fn connect(deployment: &Deployment) -> TcpStream {
    TcpStream::connect(deployment.address("router-0")).await.expect("the router listens")
}

async fn read_to_end(stream: &mut TcpStream) -> RawResponse {
    let mut buf = Vec::new();
    let read = time::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut buf)).await;
    // A reset after the response is not an error.
    drop(read.expect("the router ends the connection"));
    let text = String::from_utf8_lossy(&buf).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    RawResponse { head: head.to_lowercase(), body: body.to_owned() }
}

async fn send_raw(deployment: &Deployment, request: &str) -> RawResponse {
    let mut stream = connect(deployment).await;
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    read_to_end(&mut stream).await
}

fn request_head(path: &str, body_bytes: usize, extra_headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: r\r\nconnection: close\r\nauthorization: Bearer {VIDRIO_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {body_bytes}\r\n{extra_headers}\r\n"
    )
}

async fn post(deployment: &Deployment, body: &Value) -> reqwest::Response {
    let url = deployment.url("router-0", COMPLETIONS);
    let req = deployment.http.post(url).bearer_auth(VIDRIO_KEY).json(body);
    req.send().await.expect("the router answers")
}

/// Asserts that another team's request completes in time.
async fn assert_others_are_served(deployment: &Deployment) {
    let url = deployment.url("router-0", COMPLETIONS);
    let body = json!({ "model": "design-13b", "prompt": "club", "max_tokens": 4 });
    let started_at = Instant::now();
    let req = deployment.http.post(url).bearer_auth(HINOKUNI_KEY).json(&body);
    let answer = req.send().await.expect("the router answers");
    assert_eq!(answer.status(), 200);
    let answer: Value = answer.json().await.expect("the response is complete");
    assert_eq!(answer["usage"]["completion_tokens"], 4);
    assert!(
        started_at.elapsed() < RESPONSE_TIMEOUT,
        "another team's caller waited {:?}",
        started_at.elapsed()
    );
}

/// An oversized head or body must be rejected with the code of the exceeded limit and must not
/// affect other callers.
#[rstest]
fn requests_over_a_size_limit_are_rejected_with_its_code() {
    block_on(async {
        let deployment = start_loaded(small_plan()).await;
        let long = format!("x-filler: {}\r\n", "x".repeat(3000));
        let answer = send_raw(&deployment, &request_head(COMPLETIONS, 0, &long)).await;
        assert_eq!(answer.status(), "431", "{}", answer.head);
        assert_eq!(answer.error()["code"], "head_too_long");

        let endless = format!("x-filler: {}\r\n", "x".repeat(100_000));
        let answer = send_raw(&deployment, &request_head(COMPLETIONS, 0, &endless)).await;
        assert_eq!(answer.status(), "431", "a head far beyond the limit: {}", answer.head);

        let answer = send_raw(&deployment, &request_head(COMPLETIONS, 5000, "")).await;
        assert_eq!(answer.status(), "413");
        assert_eq!(answer.error()["code"], "body_too_long");

        let body = json!({ "model": "quotes-7b", "prompt": "x".repeat(5000) });
        let answer = post(&deployment, &body).await;
        assert_eq!(answer.status(), 413);
        assert_others_are_served(&deployment).await;
    });
}

/// Without a read timeout, requests that stall would hold their connections forever.
#[rstest]
#[case::within_the_head("POST /v1/completions HTTP/1.1\r\nhost: r\r\n", None)]
#[case::nothing_at_all("", None)]
#[case::within_the_body(&request_head(COMPLETIONS, 100, ""), Some("request_timeout"))]
fn incomplete_requests_time_out(#[case] sent: &str, #[case] code: Option<&str>) {
    block_on(async {
        let deployment = start_loaded(small_plan()).await;
        let mut slow = Vec::new();
        for _ in 0..4 {
            let mut stream = connect(&deployment).await;
            stream.write_all(sent.as_bytes()).await.expect("the beginning is sent");
            slow.push(stream);
        }
        assert_others_are_served(&deployment).await;
        for mut stream in slow {
            let answer = read_to_end(&mut stream).await;
            if let Some(code) = code {
                assert_eq!(answer.status(), "408", "{}", answer.head);
                assert_eq!(answer.error()["code"], code);
            }
        }
    });
}

/// A caller that stops reading must not hold router and engine resources.
#[rstest]
fn a_caller_that_stops_reading_is_disconnected() {
    block_on(async {
        let mut plan = small_plan();
        plan.engine_options = ["--token-us", "0", "--load-ms", "50"].map(str::to_owned).into();
        let deployment = start_loaded(plan).await;
        let body = json!({ "model": "quotes-7b", "prompt": "x", "max_tokens": 10_000_000,
            "stream": true })
        .to_string();
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        let address = deployment.address("router-0").parse().expect("an address");
        let mut stream = socket.connect(address).await.expect("the router listens");
        let request = format!("{}{body}", request_head(COMPLETIONS, body.len(), ""));
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
        stream.readable().await.expect("the answer begins");
        wait_for("the engine to cancel the request", async || {
            engine_counter(&deployment, "cancelled").await != 0
        })
        .await;
        assert_others_are_served(&deployment).await;
    });
}

/// The engine must not continue to generate after the caller has disconnected.
#[rstest]
#[case::streamed(true)]
#[case::not_streamed(false)]
fn a_disconnect_cancels_the_request_at_the_engine(#[case] streamed: bool) {
    block_on(async {
        let deployment = start_loaded(small_plan()).await;
        let body = json!({ "model": "quotes-7b", "prompt": "x", "max_tokens": 100_000,
            "stream": streamed })
        .to_string();
        let before = engine_counter(&deployment, "requests").await;
        let mut stream = connect(&deployment).await;
        let request = format!("{}{body}", request_head(COMPLETIONS, body.len(), ""));
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
        wait_for("the engine has begun", async || {
            engine_counter(&deployment, "requests").await > before
        })
        .await;
        drop(stream);
        wait_for("the engine to cancel the request", async || {
            engine_counter(&deployment, "cancelled").await != 0
        })
        .await;
        assert_others_are_served(&deployment).await;
    });
}

/// Engines cancel by request id, so a caller that reuses another's id and disconnects must not
/// cancel the other request.
#[rstest]
fn a_caller_that_reuses_an_id_cannot_cancel_another() {
    block_on(async {
        let deployment = start_loaded(small_plan()).await;
        let ask = |key: &'static str, model: &'static str, tokens: u32| {
            let body = json!({ "model": model, "prompt": "x", "max_tokens": tokens });
            let req = deployment.http.post(deployment.url("router-0", COMPLETIONS));
            req.bearer_auth(key).header("x-request-id", "same").json(&body).send()
        };
        let before = engine_counter(&deployment, "requests").await;
        let victim = tokio::spawn(ask(VIDRIO_KEY, "quotes-7b", 800));
        let other = tokio::spawn(ask(HINOKUNI_KEY, "design-13b", 100_000));
        wait_for("both have begun", async || {
            engine_counter(&deployment, "requests").await == before + 2
        })
        .await;
        other.abort();
        wait_for("the engine to cancel one request", async || {
            engine_counter(&deployment, "cancelled").await != 0
        })
        .await;
        let answer = victim.await.expect("the task ends").expect("the router answers");
        assert_eq!(answer.status(), 200);
        let answer: Value = answer.json().await.expect("the response is complete");
        assert_eq!(answer["usage"]["completion_tokens"], 800);
    });
}

/// Connections over the limit must get `Retry-After`; those within it must be served.
#[rstest]
fn connections_over_the_limit_are_rejected_with_retry_after() {
    block_on(async {
        let mut plan = small_plan();
        plan.limits["read_timeout_ms"] = json!(30_000);
        let deployment = start_loaded(plan).await;
        assert_others_are_served(&deployment).await;
        let mut held = Vec::new();
        for _ in 0..16 {
            held.push(connect(&deployment).await);
        }
        let get = "GET /v1/models HTTP/1.1\r\nhost: r\r\n\r\n";
        let answer =
            time::timeout(RESPONSE_TIMEOUT, send_raw(&deployment, get)).await.expect("an answer");
        assert_eq!(answer.status(), "503", "{}", answer.head);
        assert!(answer.head.contains("retry-after:"), "{}", answer.head);
        assert_eq!(answer.error()["code"], "too_many_connections");
        // Served over the connection that the client already holds.
        assert_others_are_served(&deployment).await;
        drop(held);
        let get = "GET /v1/models HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n";
        wait_for("a free connection", async || send_raw(&deployment, get).await.status() == "401")
            .await;
    });
}

/// Ignoring an unsupported or invalid field would answer a different request.
#[rstest]
fn unsupported_fields_are_rejected_by_name() {
    block_on(async {
        let deployment = start_loaded(small_plan()).await;
        let cases = [
            (json!({ "max_tokens": "ten" }), "max_tokens"),
            (json!({ "max_tokens": -1 }), "max_tokens"),
            (json!({ "max_tokens": 0 }), "max_tokens"),
            (json!({ "max_tokens": 1.5 }), "max_tokens"),
            (json!({ "temperature": "hot" }), "temperature"),
            (json!({ "temperature": 9.0 }), "temperature"),
            (json!({ "top_p": 1.5 }), "top_p"),
            (json!({ "n": 2 }), "n"),
            (json!({ "best_of": 3 }), "best_of"),
            (json!({ "echo": true }), "echo"),
            (json!({ "logprobs": 5 }), "logprobs"),
            (json!({ "stop": 7 }), "stop"),
            (json!({ "stream": "yes" }), "stream"),
            (json!({ "stream_options": { "include_usage": true } }), "stream_options"),
            (json!({ "stream": true, "stream_options": { "include": 1 } }), "stream_options"),
            (json!({ "prompt": ["a", "b"] }), "prompt"),
            (json!({ "prompt": null }), "prompt"),
            (json!({ "model": 7 }), "model"),
            (json!({ "model": "m".repeat(200) }), "96"),
            (json!({ "tools": [{}] }), "tools"),
            (json!({ "no_such_field": 1 }), "no_such_field"),
        ];
        for (change, named) in cases {
            let mut body = json!({ "model": "quotes-7b", "prompt": "x" });
            for (field, value) in change.as_object().into_iter().flatten() {
                body[field] = value.clone();
            }
            let answer = post(&deployment, &body).await;
            assert_eq!(answer.status(), 400, "{change}");
            let answer: Value = answer.json().await.expect("errors are JSON");
            assert_eq!(answer["error"]["code"], "invalid_request", "{change}");
            let message = answer["error"]["message"].as_str().unwrap_or_default();
            assert!(message.contains(named), "{change}: {message}");
        }
        let nested = "[".repeat(3000);
        for body in ["", "{", "[]", "nonsense", &nested, "{\"model\":\"a\",\"model\":\"b\"}"] {
            let request = format!("{}{body}", request_head(COMPLETIONS, body.len(), ""));
            let answer = send_raw(&deployment, &request).await;
            assert_eq!(answer.status(), "400", "{body:.20}");
            assert_eq!(answer.error()["code"], "invalid_request");
        }
        let unknown = json!({ "model": "no-such-model", "prompt": "x" });
        assert_eq!(post(&deployment, &unknown).await.status(), 404);
        let empty = json!({ "model": "quotes-7b", "prompt": "x", "max_tokens": 3, "stop": ["a"],
            "temperature": 0, "n": 1, "user": "u", "seed": 1, "logprobs": null, "tools": null });
        assert_eq!(post(&deployment, &empty).await.status(), 200, "common fields are accepted");
    });
}

#[rstest]
fn invalid_headers_and_paths_are_rejected() {
    block_on(async {
        let deployment = start_loaded(small_plan()).await;
        let long_id = format!("x-request-id: {}\r\n", "x".repeat(300));
        let cases = [
            (request_head(COMPLETIONS, 0, &long_id), "400", "invalid_request"),
            (request_head(COMPLETIONS, 0, "x-deadline-ms: soon\r\n"), "400", "invalid_request"),
            (request_head(COMPLETIONS, 0, "x-urgency: very\r\n"), "400", "invalid_request"),
            (request_head("/v1/no-such-path", 0, ""), "404", "no_such_path"),
            (request_head("/v1/models", 0, ""), "405", "method_not_allowed"),
            (request_head("/services/agenda/bookings", 0, ""), "400", "idempotency_key_required"),
        ];
        for (request, status, code) in cases {
            // Headers are validated with the body, so both are complete here.
            let body = json!({ "model": "quotes-7b", "prompt": "x" }).to_string();
            let length = format!("content-length: {}", body.len());
            let request = format!("{}{body}", request.replace("content-length: 0", &length));
            let answer = send_raw(&deployment, &request).await;
            assert_eq!((answer.status(), &answer.error()["code"]), (status, &json!(code)));
            assert!(answer.head.contains("x-corianderstand-outcome: not-run"), "{}", answer.head);
            assert!(answer.head.contains("x-request-id: "), "{}", answer.head);
        }
        let answer = send_raw(&deployment, &request_head("/v1/models", 0, "")).await;
        assert!(answer.head.contains("allow: get"), "{}", answer.head);
        let get = "GET /v1/models HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n";
        let answer = send_raw(&deployment, get).await;
        assert_eq!(answer.status(), "401");
        assert!(answer.head.contains("www-authenticate: bearer"), "{}", answer.head);
    });
}

#[rstest]
fn streams_end_with_the_done_event() {
    block_on(async {
        let deployment = start_loaded(small_plan()).await;
        let mut body = json!({ "model": "quotes-7b", "prompt": "two words", "max_tokens": 3,
            "stream": true });
        let plain = post(&deployment, &body).await.text().await.expect("the response is complete");
        assert!(plain.ends_with("data: [DONE]\n\n") && !plain.contains("usage"), "{plain}");
        body["stream_options"] = json!({ "include_usage": true });
        let counted =
            post(&deployment, &body).await.text().await.expect("the response is complete");
        let events: Vec<&str> = counted.split("\n\n").filter(|event| !event.is_empty()).collect();
        assert_eq!(events.last(), Some(&"data: [DONE]"));
        let usage: Value =
            serde_json::from_str(events[events.len() - 2].trim_start_matches("data: "))
                .expect("events are JSON");
        assert_eq!(usage["choices"], json!([]));
        assert_eq!(usage["usage"]["total_tokens"], 5);
        let models = deployment.http.get(deployment.url("router-0", "/v1/models"));
        let models = models.bearer_auth(VIDRIO_KEY).send().await.expect("the router answers");
        let models: Value = models.json().await.expect("the list is JSON");
        assert_eq!(models["object"], "list");
        let ids: Vec<&Value> =
            models["data"].as_array().into_iter().flatten().map(|model| &model["id"]).collect();
        assert_eq!(ids, ["quotes-7b", "quotes-7b:conce", "rounds-3b"]);
    });
}
