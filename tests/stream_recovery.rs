//! Recovery of streams after failures of connections, agents, engines and routers.

use futures::StreamExt;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use testbed::{Deployment, Plan, deployment::wait_for, plan::HINOKUNI_KEY};

const TOKENS_PER_STREAM: usize = 60;

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

/// Starts a deployment whose engines generate a token every 20 ms.
async fn start_deployment(replicas: u32) -> Deployment {
    let options = ["--token-us", "20000", "--load-ms", "100"];
    let mut plan = Plan {
        engine_options: options.map(str::to_owned).into(),
        use_relays: true,
        ..Plan::default()
    };
    for (path, value) in &mut plan.documents {
        if path.ends_with("hinokuni/models/design-13b") {
            value["replicas"] = json!(replicas);
        }
    }
    Deployment::start(plan).await
}

struct TokenStream {
    events: futures::stream::BoxStream<'static, String>,
    received_text: String,
}

impl TokenStream {
    async fn open(deployment: &Deployment, router: &str, last_event_id: usize) -> Option<Self> {
        let body = json!({ "model": "design-13b", "prompt": "stripes", "max_tokens": TOKENS_PER_STREAM,
            "stream": true });
        let url = deployment.url(router, "/v1/completions");
        let mut req = deployment.http.post(url).bearer_auth(HINOKUNI_KEY).json(&body);
        if last_event_id > 0 {
            req = req.header("last-event-id", last_event_id);
        }
        let answer = req.send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let parts = answer.bytes_stream().take_while(|part| std::future::ready(part.is_ok()));
        let parts = parts.map(|part| String::from_utf8_lossy(&part.unwrap_or_default()).into());
        Some(Self { events: parts.boxed(), received_text: String::new() })
    }

    async fn begin(deployment: &Deployment, router: &str) -> Self {
        let mut opened = None;
        wait_for("a stream that begins", async || {
            opened = Self::open(deployment, router, 0).await;
            opened.is_some()
        })
        .await;
        opened.expect("the stream was opened")
    }

    async fn read_tokens(&mut self, min_count: usize) {
        while self.tokens().len() < min_count
            && let Some(part) = self.events.next().await
        {
            self.received_text.push_str(&part);
        }
    }

    async fn read_to_end(&mut self) {
        while let Some(part) = self.events.next().await {
            self.received_text.push_str(&part);
        }
    }

    fn is_complete(&self) -> bool {
        self.received_text.contains("[DONE]")
    }

    /// Tokens of all completely received events.
    fn tokens(&self) -> Vec<String> {
        let events = self.received_text.split("\n\n").filter(|event| event.starts_with("id: "));
        let data = events.filter_map(|event| event.split_once("data: "));
        let value = data.filter_map(|(_, data)| serde_json::from_str::<Value>(data).ok());
        value.filter_map(|v| v["choices"][0]["text"].as_str().map(str::to_owned)).collect()
    }
}

async fn expected_tokens(deployment: &Deployment) -> Vec<String> {
    let mut stream = TokenStream::begin(deployment, "router-1").await;
    stream.read_to_end().await;
    assert!(stream.is_complete(), "{}", stream.received_text);
    assert_eq!(stream.tokens().len(), TOKENS_PER_STREAM);
    stream.tokens()
}

async fn busy_engine(deployment: &Deployment) -> String {
    let mut found = None;
    wait_for("a busy engine", async || {
        for i in 0..deployment.plan.engines {
            let url = deployment.url(&format!("engine-{i}"), "/load");
            let load = deployment.http.get(url).send().await.expect("the engine answers");
            let load: Value = load.json().await.expect("a report");
            if load["running"] != 0 {
                found = Some(format!("engine-{i}"));
            }
        }
        found.is_some()
    })
    .await;
    found.expect("a busy engine was found")
}

/// After a failure between router and engine, the stream must continue without lost or repeated
/// tokens.
#[rstest]
#[case::unresponsive("unresponsive", 1)]
#[case::cut("cut", 1)]
#[case::agent_killed("agent", 2)]
#[case::engine_killed("engine", 2)]
#[case::engine_breaks_off("breaks", 1)]
#[case::unresponsive_and_agent_killed("unresponsive and agent", 2)]
fn a_stream_resumes_after_a_failure(#[case] fault: &str, #[case] replicas: u32) {
    block_on(async {
        let mut deployment = start_deployment(replicas).await;
        let expected = expected_tokens(&deployment).await;
        let mut stream = TokenStream::begin(&deployment, "router-0").await;
        stream.read_tokens(10).await;
        let target = busy_engine(&deployment).await;
        if fault.contains("unresponsive") {
            let fault = json!({ "silence_open": true });
            deployment.inject_fault(&format!("relay-{target}"), &fault).await;
        }
        match fault {
            "cut" => {
                deployment
                    .inject_fault(&format!("relay-{target}"), &json!({ "cut_open": true }))
                    .await;
            }
            "agent" | "unresponsive and agent" => {
                deployment.process(&format!("agent-{target}")).kill();
            }
            "engine" => deployment.process(&target).kill(),
            "breaks" => {
                deployment.inject_fault(&target, &json!({ "break_after": 30 })).await;
                wait_for("the break", async || {
                    deployment.log_of("router-0").contains("taken up again")
                })
                .await;
                deployment.inject_fault(&target, &json!({})).await;
            }
            _ => {}
        }
        stream.read_to_end().await;
        assert!(stream.is_complete(), "{}", stream.received_text);
        assert_eq!(stream.tokens(), expected);
    });
}

/// After a router crash, `Last-Event-ID` must resume the stream at another router.
#[rstest]
fn a_caller_resumes_its_stream_through_another_router() {
    block_on(async {
        let mut deployment = start_deployment(2).await;
        let expected = expected_tokens(&deployment).await;
        let mut first = TokenStream::begin(&deployment, "router-0").await;
        first.read_tokens(20).await;
        deployment.process("router-0").kill();
        first.read_to_end().await;
        assert!(!first.is_complete());
        let received = first.tokens();
        let mut rest = TokenStream::open(&deployment, "router-1", received.len())
            .await
            .expect("the stream continues");
        rest.read_to_end().await;
        assert!(rest.is_complete());
        assert_eq!([received, rest.tokens()].concat(), expected);
    });
}

/// The engine must not continue to generate for a disconnected caller.
#[rstest]
fn requests_of_disconnected_callers_are_cancelled_within_a_second() {
    block_on(async {
        let deployment = start_deployment(1).await;
        let mut stream = TokenStream::begin(&deployment, "router-0").await;
        stream.read_tokens(5).await;
        let target = busy_engine(&deployment).await;
        drop(stream);
        let started_at = Instant::now();
        wait_for("the engine to be idle", async || {
            let url = deployment.url(&target, "/load");
            let load = deployment.http.get(url).send().await.expect("the engine answers");
            load.json::<Value>().await.expect("a report")["running"] == 0
        })
        .await;
        assert!(started_at.elapsed() < Duration::from_secs(1), "took {:?}", started_at.elapsed());
    });
}

/// Requests with the same id must not share a response or be cancelled together.
#[rstest]
fn callers_with_the_same_request_id_get_their_own_answers() {
    block_on(async {
        let deployment = start_deployment(1).await;
        expected_tokens(&deployment).await;
        let ask = |prompt: &'static str| {
            let body =
                json!({ "model": "design-13b", "prompt": prompt, "max_tokens": TOKENS_PER_STREAM });
            let url = deployment.url("router-0", "/v1/completions");
            let req = deployment.http.post(url).bearer_auth(HINOKUNI_KEY).json(&body);
            req.header("x-request-id", "same").send()
        };
        let alone = ask("collar").await.expect("answered").json::<Value>().await.expect("JSON");
        let (leaves, stays) = tokio::join!(
            tokio::time::timeout(Duration::from_millis(300), ask("sleeve")),
            ask("collar")
        );
        assert!(leaves.is_err(), "the first caller disconnects before its response");
        let stays = stays.expect("answered").json::<Value>().await.expect("JSON");
        assert_eq!(stays["choices"], alone["choices"]);
    });
}

/// Output of a resumed process must not be mixed with the stream that replaced it.
#[rstest]
#[case::agent("agent-")]
#[case::engine("")]
fn a_stream_is_intact_after_a_process_is_frozen_and_resumed(#[case] kind: &str) {
    block_on(async {
        let mut deployment = start_deployment(2).await;
        let expected = expected_tokens(&deployment).await;
        let mut stream = TokenStream::begin(&deployment, "router-0").await;
        stream.read_tokens(10).await;
        let target = busy_engine(&deployment).await;
        let name = format!("{kind}{target}");
        deployment.process(&name).freeze();
        if kind.is_empty() {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            deployment.process(&name).resume();
        } else {
            stream.read_tokens(30).await;
            deployment.process(&name).resume();
        }
        stream.read_to_end().await;
        assert!(stream.is_complete(), "{}", stream.received_text);
        assert_eq!(stream.tokens(), expected);
    });
}
