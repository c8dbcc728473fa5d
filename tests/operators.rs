//! Operator commands against real processes.

use rstest::rstest;
use serde_json::{Value, json};
use std::fs;
use testbed::{Deployment, Plan, deployment::wait_for, plan::VIDRIO_KEY};

fn block_on<T>(run: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be created").block_on(run)
}

fn small_plan() -> Plan {
    Plan { engines: 2, services: 1, ..Plan::default() }
}

fn status(deployment: &Deployment) -> Value {
    let (code, output) = deployment.run_operator_command(&["status", "--json"]);
    assert_eq!(code, Some(0), "{output}");
    serde_json::from_str(&output).expect("--json prints JSON")
}

fn stages(status: &Value, model: &str) -> Vec<String> {
    let slots = status["slots"].as_array().into_iter().flatten();
    let slots = slots.filter(|slot| slot["model"] == model);
    slots.map(|slot| slot["stage"].as_str().unwrap_or_default().to_owned()).collect()
}

/// `status` must report model stages and unreachable processes after a host loss.
#[rstest]
fn status_reports_model_stages_and_unreachable_processes() {
    block_on(async {
        let mut plan = small_plan();
        plan.engine_options = ["--token-us", "2000", "--load-ms", "2000"].map(str::to_owned).into();
        let mut deployment = Deployment::start(plan).await;
        wait_for("all targets reached", async || {
            let status = status(&deployment);
            let mut targets = status["targets"].as_array().into_iter().flatten();
            targets.all(|target| target["reached"] == true)
        })
        .await;
        let first = status(&deployment);
        assert_eq!(stages(&first, "rounds-3b"), ["cold"]);
        assert!(first["lease"]["holder"][0].as_str().is_some_and(|h| h.starts_with("router-")));
        let version = &first["version"];
        for list in ["routers", "targets"] {
            for one in first[list].as_array().into_iter().flatten() {
                assert_eq!(&one["version"], version, "{one}");
            }
        }
        let body = json!({ "model": "rounds-3b", "prompt": "x", "max_tokens": 2 });
        let send = || {
            let req = deployment.http.post(deployment.url("router-0", "/v1/completions"));
            tokio::spawn(req.bearer_auth(VIDRIO_KEY).json(&body).send())
        };
        wait_for("loading", async || {
            drop(send());
            tokio::task::yield_now().await;
            stages(&status(&deployment), "rounds-3b") == ["loading"]
        })
        .await;
        wait_for("warm", async || stages(&status(&deployment), "rounds-3b") == ["warm"]).await;
        let (_, table) = deployment.run_operator_command(&["status"]);
        assert!(table.contains("control lease") && table.contains("warm"), "{table}");
        deployment.process("agent-service-0").kill();
        deployment.process("router-1").kill();
        let last = status(&deployment);
        let unreached = |list: &str, name: &str| {
            let mut list = last[list].as_array().into_iter().flatten();
            list.any(|one| one[name].is_string() && one["reached"] == false)
        };
        assert!(unreached("targets", "target") && unreached("routers", "router"), "{last}");
    });
}

#[rstest]
fn diff_shows_fields_and_exit_codes_distinguish_errors() {
    block_on(async {
        let deployment = Deployment::start(small_plan()).await;
        let folder = deployment.settings_folder();
        let folder_name = folder.display().to_string();
        let (code, output) = deployment.run_operator_command(&["diff", &folder_name]);
        assert_eq!((code, output.trim()), (Some(0), "no difference"));

        let file = folder.join("teams/vidrio/models/quotes-7b.json");
        let text = fs::read_to_string(&file).expect("the document was written");
        let mut value: Value = serde_json::from_str(&text).expect("JSON");
        value["replicas"] = json!(1);
        value["urgency"] = json!("urgent");
        fs::write(&file, value.to_string()).expect("writable");
        let (code, output) = deployment.run_operator_command(&["diff", &folder_name]);
        assert_eq!(code, Some(0));
        assert!(output.contains("~ teams/vidrio/models/quotes-7b"), "{output}");
        assert!(output.contains("/replicas: 2 → 1"), "{output}");
        assert!(output.contains("/urgency: \"urgent\" (new)"), "{output}");

        let (code, output) =
            deployment.run_operator_command(&["apply", &folder_name, "--author", "ana"]);
        assert_eq!(code, Some(0), "{output}");
        let (code, output) =
            deployment.run_operator_command(&["get", "teams/vidrio/models/quotes-7b", "--json"]);
        assert_eq!(code, Some(0), "{output}");
        let got: Value = serde_json::from_str(&output).expect("--json prints JSON");
        assert_eq!(got["value"]["replicas"], 1);
        assert_eq!(deployment.run_operator_command(&["get", "teams/nobody"]).0, Some(1));
        let (code, output) =
            deployment.run_operator_command(&["history", "teams/vidrio/models/quotes-7b"]);
        assert_eq!(code, Some(0), "{output}");
        assert!(output.contains("ana: accepted as version"), "{output}");

        value["replicas"] = json!("many");
        fs::write(&file, value.to_string()).expect("writable");
        let (code, output) = deployment.run_operator_command(&["apply", &folder_name]);
        assert_eq!(code, Some(1), "{output}");
        assert!(output.contains("/replicas"), "{output}");
        assert_eq!(deployment.run_operator_command(&["apply"]).0, Some(2));
        assert_eq!(deployment.run_operator_command(&["no-such-command"]).0, Some(2));
        let closed = testbed::process::free_addresses(1).remove(0);
        assert_eq!(deployment.run_operator_command(&["status", "--router", &closed]).0, Some(5));
    });
}

#[rstest]
#[case("router")]
#[case("agent")]
#[case("check")]
#[case("diff")]
#[case("apply")]
#[case("get")]
#[case("history")]
#[case("status")]
#[case("hash-key")]
fn each_command_has_help(#[case] command: &str) {
    let deployment = Deployment::prepare(small_plan());
    let (code, output) = deployment.run_operator_command(&[command, "--help"]);
    assert_eq!(code, Some(0));
    assert!(output.contains(&format!("corianderstand {command}")), "{output}");
    assert!(output.contains("--help"), "{output}");
}
