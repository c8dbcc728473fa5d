//! Connections between routers and agents over real processes: opened when asked for, closed
//! when idle.

use rstest::rstest;
use serde_json::json;
use std::time::{Duration, Instant};
use testbed::{
    Deployment, Plan,
    deployment::wait_for,
    plan::{HINOKUNI_KEY, VIDRIO_KEY},
};

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the system gives a runtime").block_on(run)
}

async fn ask(deployment: &Deployment, key: &str, model: &str) -> u16 {
    let body = json!({ "model": model, "prompt": "nine floors", "max_tokens": 4 });
    let url = deployment.url("router-0", "/v1/completions");
    let answer = deployment.http.post(url).bearer_auth(key).json(&body).send().await;
    let answer = answer.expect("the router answers");
    let status = answer.status().as_u16();
    drop(answer.text().await);
    status
}

async fn ask_until_answered(deployment: &Deployment, key: &str, model: &str) {
    wait_for(&format!("an answer of {model}"), async || ask(deployment, key, model).await == 200)
        .await;
}

/// Connections from routers that an agent has, as it logs their ends.
fn ended(deployment: &Deployment) -> usize {
    let agents = deployment.running().into_iter().filter(|name| name.starts_with("agent-"));
    agents.map(|name| deployment.log_of(&name).matches("from a router ended").count()).sum()
}

#[rstest]
fn an_idle_connection_is_closed_and_the_next_request_opens_it_again() {
    block_on(async {
        let deployment = Deployment::start(Plan::default()).await;
        assert_eq!(ended(&deployment), 0, "none is opened before a request");
        for round in 1..=2 {
            ask_until_answered(&deployment, VIDRIO_KEY, "rounds-3b").await;
            wait_for("the idle connection's end", async || ended(&deployment) >= round).await;
        }
        let began = Instant::now();
        assert_eq!(ask(&deployment, VIDRIO_KEY, "rounds-3b").await, 200);
        let took = began.elapsed();
        assert!(took < Duration::from_secs(1), "a warm model over a new connection: {took:?}");
    });
}

/// A host is reclaimed without warning while no router has a connection to it, so that no
/// connection breaks. The first request to it would wait for an agent that is gone.
#[rstest]
fn a_target_that_died_unseen_costs_a_request_little() {
    block_on(async {
        let plan = Plan { engines: 3, ..Plan::default() };
        let mut deployment = Deployment::start(plan).await;
        ask_until_answered(&deployment, VIDRIO_KEY, "quotes-7b").await;
        wait_for("the idle connection's end", async || ended(&deployment) >= 1).await;
        let status = deployment.status("router-0").await;
        let slots = status["slots"].as_array().expect("slots").clone();
        let owner = slots.iter().find(|slot| slot["model"] == "quotes-7b");
        let owner = owner.and_then(|slot| slot["target"].as_str()).expect("an owner");
        deployment.process(&format!("agent-{owner}")).kill();
        for _ in 0..4 {
            ask_until_answered(&deployment, VIDRIO_KEY, "quotes-7b").await;
        }
    });
}

/// An agent drains, is restarted and announces itself anew while no router has a connection to
/// it. A router that went on believing that it drains would leave the target unused.
#[rstest]
fn a_target_restarted_after_draining_is_used_again() {
    block_on(async {
        let mut deployment = Deployment::start(Plan::default()).await;
        ask_until_answered(&deployment, HINOKUNI_KEY, "design-13b").await;
        let status = deployment.status("router-0").await;
        let slots = status["slots"].as_array().expect("slots").clone();
        let owner = slots.iter().find(|slot| slot["model"] == "design-13b");
        let owner = owner.and_then(|slot| slot["target"].as_str()).expect("an owner").to_owned();
        let agent = format!("agent-{owner}");
        let process = deployment.process(&agent);
        process.signal(nix::sys::signal::Signal::SIGTERM);
        process.wait(Duration::from_secs(30));
        deployment.run(&agent);
        ask_until_answered(&deployment, HINOKUNI_KEY, "design-13b").await;
    });
}
