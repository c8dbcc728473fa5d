//! Two agents for one engine.

use rstest::rstest;
use std::time::Duration;
use testbed::{Deployment, Plan, deployment::wait_for, process::Process};

const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

fn start_second_agent(deployment: &Deployment) -> Process {
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
    runtime.expect("the runtime can be created").block_on(async {
        let mut deployment = Deployment::start(Plan::default()).await;
        if frozen {
            deployment.process("agent-engine-0").freeze();
        }
        let code = start_second_agent(&deployment).wait_for_exit(EXIT_TIMEOUT);
        assert_ne!(code, Some(0));
        let log = deployment.log_of("second-agent");
        assert!(log.contains("another agent is running for this target"), "{log}");
        deployment.process("agent-engine-0").kill();
        let mut third = start_second_agent(&deployment);
        wait_for("the port is free after the first one's death", async || {
            assert!(third.is_running());
            let address = deployment.address("agent-engine-0");
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await;
    });
}
