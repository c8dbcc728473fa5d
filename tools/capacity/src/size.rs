//! Deployment sizes, and log records that build a state of a given size.

use corianderstand_derives::derives;
use corianderstand_schema::records::{Body, CallAnswer, CallKey, Change, Record, TargetRecord};
use corianderstand_types::{names, units::Mib};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use testbed::plan;

const AVAILABILITY_ZONES: usize = 4;
/// Memory of an engine with eight accelerators.
const ENGINE_MIB: u64 = 8 * 80_000;
/// Bytes of the stored outcome of a non-repeatable call.
const OUTCOME_BYTES: usize = 120;

/// Numbers of objects in a deployment.
#[derives(wire)]
#[derive(Copy, Eq)]
pub struct Size {
    /// Announced targets.
    pub targets: usize,
    pub models: usize,
    /// Adapters of all teams together.
    pub adapters: usize,
    pub teams: usize,
    /// Replica slots of all models together.
    pub slots: usize,
    /// Non-repeatable calls with a stored outcome.
    pub calls: usize,
    /// Processes that write to the log.
    pub writers: usize,
}

/// Design size, with 90 adapters per team and three replica slots per model.
pub const DESIGN: Size = Size {
    targets: 730,
    models: 350,
    adapters: 54_000,
    teams: 600,
    slots: 1_050,
    calls: 10_000,
    writers: 1_070,
};

impl Size {
    pub const fn scaled_to(self, percent: usize) -> Self {
        Self {
            targets: self.targets * percent / 100,
            models: self.models * percent / 100,
            adapters: self.adapters * percent / 100,
            teams: self.teams * percent / 100,
            slots: self.slots * percent / 100,
            calls: self.calls * percent / 100,
            writers: self.writers * percent / 100,
        }
    }
}

struct RecordWriter {
    records: Vec<Record>,
}

impl RecordWriter {
    fn add(&mut self, writer: &str, body: Body) {
        let sequence = self.records.len() as u64 + 1;
        let writer = names::WriterId(writer.into());
        self.records.push(Record { writer, incarnation: 1, sequence, body });
    }

    fn next_offset(&self) -> u64 {
        self.records.len() as u64 + 1
    }
}

fn model_id(index: usize) -> names::ModelId {
    names::ModelId(format_smolstr!("model-{index:03}-7b"))
}

pub fn target_id(index: usize) -> names::TargetId {
    names::TargetId(format_smolstr!("engine-{index:03}"))
}

fn settings_change(path: &str, value: &serde_json::Value) -> Body {
    let change = Change { path: path.into(), base: 0, value: Some(value.to_string()) };
    let (author, ticket) = ("capacity".into(), "capacity".into());
    Body::Settings { changes: vec![change], author, ticket, not_after_ms: u64::MAX }
}

/// Builds the records of a deployment, starting at offset 1. `address` returns the address of a
/// target's agent.
pub fn records(size: Size, address: impl Fn(usize) -> SmolStr) -> Vec<Record> {
    let mut writer = RecordWriter { records: Vec::new() };
    add_documents(&mut writer, size);
    let announced_targets = add_targets(&mut writer, size, address);
    add_slots(&mut writer, size, &announced_targets);
    add_calls(&mut writer, size);
    writer.records
}

fn add_documents(writer: &mut RecordWriter, size: Size) {
    writer.add("operator", settings_change("system/deployment", &json!({ "lease_ttl_ms": 3000 })));
    for i in 0..size.models {
        let doc = json!({ "memory_mib": 16_000, "versions": ["1", "2"], "load_ms": 20_000,
            "adapter_memory_mib": 200 });
        writer.add("operator", settings_change(&format!("shared/models/{}", model_id(i).0), &doc));
    }
    for team in 0..size.teams {
        let key_hash = plan::hash_token(&format!("key-{team}"));
        let doc = json!({ "key_hashes": [key_hash], "default_urgency": "normal", "share": 10 });
        writer.add("operator", settings_change(&format!("teams/team-{team:04}/team"), &doc));
        add_team_model(writer, size, team);
    }
}

/// Adds one model for a team, with the team's share of the adapters.
fn add_team_model(writer: &mut RecordWriter, size: Size, team: usize) {
    if size.models == 0 {
        return;
    }
    let count = size.adapters / size.teams;
    let adapters: Vec<_> =
        (0..count).map(|i| json!({ "name": format!("site-{i:03}"), "version": "1" })).collect();
    let doc = json!({ "replicas": 1, "adapters": adapters });
    let path = format!("teams/team-{team:04}/models/{}", model_id(team % size.models).0);
    writer.add("operator", settings_change(&path, &doc));
}

fn add_targets(
    writer: &mut RecordWriter,
    size: Size,
    address: impl Fn(usize) -> SmolStr,
) -> Vec<(names::TargetId, u64)> {
    let mut announced_targets = Vec::new();
    for i in 0..size.targets {
        let name = target_id(i);
        let record = TargetRecord {
            target: name.clone(),
            host: names::HostId(format_smolstr!("host-{i:03}")),
            place: names::AvailabilityZoneId(format_smolstr!("place-{}", i % AVAILABILITY_ZONES)),
            address: address(i),
            memory_mib: Mib(ENGINE_MIB),
            accelerators: 8,
            service: None,
        };
        announced_targets.push((name.clone(), writer.next_offset()));
        writer.add(name.0.as_str(), Body::TargetUp { target: record });
    }
    for i in size.targets..size.writers {
        let router = format!("router-{i:04}");
        writer.add(&router, Body::LeaseReleased { epoch: 0 });
    }
    announced_targets
}

fn add_slots(writer: &mut RecordWriter, size: Size, announced_targets: &[(names::TargetId, u64)]) {
    if announced_targets.is_empty() || size.models == 0 {
        return;
    }
    writer.add("planner", Body::LeaseTaken { epoch: 1, ttl_ms: 3000 });
    for slot in 0..size.slots {
        let (target, target_offset) = announced_targets[slot * 7 % announced_targets.len()].clone();
        let (model, index) = (model_id(slot % size.models), (slot / size.models) as u32);
        let body = Body::SlotAssigned { epoch: 1, model, index, target, target_offset };
        writer.add("planner", body);
    }
    writer.add("planner", Body::LeaseReleased { epoch: 1 });
}

fn add_calls(writer: &mut RecordWriter, size: Size) {
    for i in 0..size.calls {
        let agent = format!("service-{}", i % 20);
        let claim = writer.next_offset();
        writer.add(&agent, call_claimed(i));
        writer.add(&agent, call_ended(i, claim));
    }
}

fn call_key(index: usize) -> CallKey {
    CallKey {
        team: names::WorkspaceId("team-0001".into()),
        service: names::ServiceId("agenda".into()),
        key: format_smolstr!("0f6c1f3a-92a4-4ac8-9d2f-{index:012}"),
    }
}

pub fn call_claimed(index: usize) -> Body {
    let target = names::TargetId("service-1".into());
    Body::Claimed { key: call_key(index), digest: index as u64, target }
}

pub fn call_ended(index: usize, claim: u64) -> Body {
    let body = Some(vec![b'x'; OUTCOME_BYTES]);
    let answer = CallAnswer { status: 200, content_type: "application/json".into(), body };
    Body::CallEnded { key: call_key(index), claim, answer: Some(answer) }
}
