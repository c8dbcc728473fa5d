//! Random faults of a deployment.

use corianderstand_derives::derives;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use testbed::Deployment;

#[derives(data)]
pub enum Fault {
    /// Kills a router or agent; reverting restarts it.
    Kill(String),
    /// Suspends a process until reverted.
    Freeze(String),
    /// Configures a stand-in to misbehave until reverted.
    Misbehave(String, Value),
    /// Stalls or closes the open connections of a relay.
    Relay(String, Value),
}

fn choose(rng: &mut ChaCha8Rng, candidates: &[String]) -> String {
    candidates[rng.random_range(0..candidates.len())].clone()
}

impl Fault {
    pub fn draw(deployment: &Deployment, rng: &mut ChaCha8Rng) -> Self {
        let all = deployment.started_processes();
        let processes_with_prefix = |prefixes: &[&str]| -> Vec<String> {
            all.iter().filter(|n| prefixes.iter().any(|p| n.starts_with(p))).cloned().collect()
        };
        match rng.random_range(0..10) {
            0 | 1 => Self::Kill(choose(rng, &processes_with_prefix(&["router-", "agent-"]))),
            2 => Self::Kill(choose(rng, &processes_with_prefix(&["agent-service-"]))),
            3 => Self::Freeze(choose(rng, &processes_with_prefix(&["router-", "agent-"]))),
            4 => Self::Freeze(choose(
                rng,
                &processes_with_prefix(&["agent-service-", "service-", "engine-"]),
            )),
            5 => {
                let faults = [
                    json!({ "down": true }),
                    json!({ "slow_ms": 700 }),
                    json!({ "lose_answers": 3 }),
                ];
                Self::Misbehave("log".into(), faults[rng.random_range(0..3)].clone())
            }
            6 => {
                let faults = [json!({ "before_ms": 900 }), json!({ "after_ms": 900 })];
                let fault = faults[rng.random_range(0..2)].clone();
                Self::Misbehave(choose(rng, &processes_with_prefix(&["service-"])), fault)
            }
            7 => {
                let fault = json!({ "break_after": rng.random_range(0..30) });
                Self::Misbehave(choose(rng, &processes_with_prefix(&["engine-"])), fault)
            }
            8 => Self::Relay(
                choose(rng, &processes_with_prefix(&["relay-"])),
                json!({ "silence_open": true }),
            ),
            _ => Self::Relay(
                choose(rng, &processes_with_prefix(&["relay-"])),
                json!({ "cut_open": true }),
            ),
        }
    }

    pub async fn inject(&self, deployment: &mut Deployment) {
        match self {
            Self::Kill(name) => deployment.process(name).kill(),
            Self::Freeze(name) => deployment.process(name).freeze(),
            Self::Misbehave(name, fault) => set_fault(deployment, name, fault).await,
            Self::Relay(name, fault) => deployment.inject_fault(name, fault).await,
        }
    }

    pub async fn revert(&self, deployment: &mut Deployment) {
        match self {
            Self::Kill(name) => {
                if !deployment.process(name).is_running() {
                    deployment.start_process(name);
                }
            }
            Self::Freeze(name) => deployment.process(name).resume(),
            Self::Misbehave(name, _) => set_fault(deployment, name, &json!({})).await,
            // Stalled connections stay stalled; new ones are not affected.
            Self::Relay(..) => {}
        }
    }
}

/// Sets the fault of a stand-in; resumes the process first, so that it can receive the request.
async fn set_fault(deployment: &mut Deployment, name: &str, fault: &Value) {
    deployment.process(name).resume();
    deployment.inject_fault(name, fault).await;
}
