//! Two agents for one engine.

use rstest::rstest;
use std::time::Duration;
use testbed::{Deployment, Plan, deployment::wait_for, process::Process};

const END: Duration = Duration::from_secs(20);

fn second(deployment: &Deployment) -> Process {
    let settings = deployment.dir.join("agent-engine-0.json").display().to_string();
    let args = ["agent".to_owned(), settings];
    Process::start("second-agent", "corianderstand", &args, &deployment.dir)
}

/// Two agents would overcommit the engine's memory.
#[rstest]
#[case::running(false)]
#[case::frozen(true)]
fn a_second_agent_beside_one_engine_does_not_start(#[case] frozen: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the system gives a runtime").block_on(async {
        let mut deployment = Deployment::start(Plan::default()).await;
        if frozen {
            deployment.process("agent-engine-0").freeze();
        }
        let code = second(&deployment).wait(END);
        assert_ne!(code, Some(0));
        let said = deployment.log_of("second-agent");
        assert!(said.contains("another agent runs beside this target"), "{said}");
        deployment.process("agent-engine-0").kill();
        let mut third = second(&deployment);
        wait_for("the port is free after the first one's death", async || {
            assert!(third.is_running());
            let address = deployment.address("agent-engine-0");
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await;
    });
}
