//! Requests through caller, router, agent and target as real processes.

use rstest::rstest;
use serde_json::{Value, json};
use testbed::{
    Deployment, Plan,
    deployment::wait_for,
    plan::{HINOKUNI_KEY, VIDRIO_KEY},
};

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

async fn post(
    deployment: &Deployment,
    router: &str,
    path: &str,
    key: &str,
    body: &Value,
) -> (u16, Value) {
    let req = deployment.http.post(deployment.url(router, path)).bearer_auth(key).json(body);
    let answer = req.send().await.expect("the router answers");
    (answer.status().as_u16(), answer.json().await.expect("answers are JSON"))
}

async fn post_with_retries(
    deployment: &Deployment,
    router: &str,
    path: &str,
    key: &str,
    body: &Value,
) -> (u16, Value) {
    let mut last = (0, Value::Null);
    wait_for("a response other than 503", async || {
        last = post(deployment, router, path, key, body).await;
        last.0 != 503
    })
    .await;
    last
}

#[rstest]
fn a_cold_model_responds_through_either_router() {
    block_on(async {
        let deployment = Deployment::start(Plan::default()).await;
        let body = json!({ "model": "quotes-7b", "prompt": "nine floors", "max_tokens": 6 });
        let path = "/v1/completions";
        let first = post_with_retries(&deployment, "router-0", path, VIDRIO_KEY, &body).await;
        let second = post_with_retries(&deployment, "router-1", path, VIDRIO_KEY, &body).await;
        assert_eq!((first.0, second.0), (200, 200));
        let text = |answer: &Value| answer["choices"][0]["text"].as_str().map(str::to_owned);
        assert_eq!(text(&first.1), text(&second.1), "the same text from any engine");
        assert_eq!(first.1["usage"]["completion_tokens"], 6);
    });
}

#[rstest]
fn a_wrong_key_and_another_teams_model_disclose_nothing() {
    block_on(async {
        let deployment = Deployment::start(Plan::default()).await;
        let body = json!({ "model": "design-13b", "prompt": "club" });
        let path = "/v1/completions";
        let (status, answer) = post(&deployment, "router-0", path, "no-such-key", &body).await;
        assert_eq!((status, &answer["error"]["code"]), (401, &json!("unauthorized")));
        let other_team = post(&deployment, "router-0", path, VIDRIO_KEY, &body).await;
        let unknown = json!({ "model": "no-such-model", "prompt": "club" });
        let unknown = post(&deployment, "router-0", path, VIDRIO_KEY, &unknown).await;
        assert_eq!(other_team.0, 404);
        assert_eq!(other_team.1["error"]["message"], unknown.1["error"]["message"]);
        let (status, _) =
            post_with_retries(&deployment, "router-0", path, HINOKUNI_KEY, &body).await;
        assert_eq!(status, 200);
    });
}

/// A repeat through another router must not run the booking again.
#[rstest]
fn a_booking_sent_twice_runs_once() {
    block_on(async {
        let deployment = Deployment::start(Plan::default()).await;
        let mut answers = Vec::new();
        for router in ["router-0", "router-1"] {
            let url = deployment.url(router, "/services/agenda/bookings");
            let req = deployment.http.post(url).bearer_auth(VIDRIO_KEY);
            let req = req.header("idempotency-key", "b-1").json(&json!({ "day": 3 }));
            let answer = req.send().await.expect("the router answers");
            assert_eq!(answer.headers()["x-corianderstand-outcome"], "ran");
            answers.push(answer.text().await.expect("the response is complete"));
        }
        assert_eq!(answers[0], answers[1]);
        assert_eq!(deployment.counters("service-0").await["by_key"]["b-1"], 1);
    });
}

/// A killed process must not make a truncated response look complete.
#[rstest]
#[case::agent("agent-engine-0")]
#[case::router("router-1")]
fn a_killed_process_leaves_no_truncated_answer_without_an_error(#[case] victim: &str) {
    block_on(async {
        let plan = Plan {
            engine_options: ["--token-us", "20000", "--load-ms", "100"].map(str::to_owned).into(),
            ..Plan::default()
        };
        let mut deployment = Deployment::start(plan).await;
        let send = |router: &'static str| {
            let body = json!({ "model": "design-13b", "prompt": "stripes", "max_tokens": 50,
                "stream": true });
            let url = deployment.url(router, "/v1/completions");
            let req = deployment.http.post(url).bearer_auth(HINOKUNI_KEY).json(&body);
            tokio::spawn(async move { req.send().await?.text().await })
        };
        let (mut pending, mut last) = (Vec::new(), String::new());
        wait_for("a stream in progress", async || {
            pending.push(send("router-0"));
            pending.push(send("router-1"));
            last = deployment.counters("engine-0").await["requests"].to_string();
            last != "0"
        })
        .await;
        deployment.process(victim).kill();
        for answer in pending {
            let Ok(text) = answer.await.expect("the task ends") else { continue };
            let tokens = text.matches("\"text\":\"").count();
            if text.contains("[DONE]") {
                assert_eq!(tokens, 51, "fifty tokens and the finish: {text}");
            } else {
                assert!(text.contains("\"error\""), "an explicit error: {text}");
            }
        }
    });
}
