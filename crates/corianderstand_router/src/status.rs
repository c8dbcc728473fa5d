//! `GET /operator/status`: what is in force where, what each target holds, who has which duty.
//!
//! Agents and other routers are asked when an operator asks, each over a short connection of its
//! own. Reports that agents sent to all routers all the time would at the planned size take more
//! than a node may spend on control, for a picture that is looked at a few times a day; and a
//! connection made now shows whether the target can be reached now.

use crate::http::HandlerContext;
use corianderstand_link::{
    PROTOCOL, STATUS_QUERY_INCARNATION, connection,
    frame::{self, FrameError},
};
use corianderstand_schema::{
    messages::{Holding, ToAgent, ToRouter},
    records::TargetRecord,
};
use corianderstand_state::fold::State;
use corianderstand_types::names::WriterId;
use futures::{StreamExt, stream};
use serde_json::{Value, json};
use smol_str::SmolStr;
use std::time::Duration;
use tokio::{net::TcpStream, sync::mpsc, time};

/// Targets and routers asked at once, so that a question does not crowd out callers.
const AT_ONCE: usize = 32;
/// Time one of them has to answer; one that is gone must not hold up the picture of the rest.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What one target tells.
struct Told {
    version: u64,
    holdings: Vec<Holding>,
}

/// What this router knows by itself, without asking anybody: `GET /operator/status?own=true`.
pub fn own(door: &HandlerContext) -> Value {
    let snapshot = door.control.current.load();
    let state = &snapshot.state;
    let targets = state.targets.by_name.values().map(|target| target_json(&target.record));
    let slots = state.slots.by_key.iter();
    let slots = slots
        .map(|(key, slot)| json!({ "model": key.model, "slot": key.index, "target": slot.target }));
    json!({
        "version": state.documents.version,
        "log_up": snapshot.log_up,
        "next": state.next,
        "checkpoint": state.checkpoints.last,
        "hosts": { "live": snapshot.hosts.live.len(), "leaving": snapshot.hosts.leaving,
            "gone": snapshot.hosts.gone },
        "lease": { "epoch": state.lease.epoch, "holder": state.lease.holder },
        "targets": targets.collect::<Vec<_>>(),
        "slots": slots.collect::<Vec<_>>(),
    })
}

fn target_json(record: &TargetRecord) -> Value {
    json!({ "target": record.target, "host": record.host, "place": record.place,
        "address": record.address, "service": record.service })
}

/// The whole picture.
pub async fn whole(door: &HandlerContext, authorization: &str) -> Value {
    let mut whole = own(door);
    let snapshot = door.control.current.load();
    let state = &snapshot.state;
    let asked: Vec<_> =
        state.targets.by_name.values().map(|target| ask_target(door, &target.record)).collect();
    let targets: Vec<_> = stream::iter(asked).buffered(AT_ONCE).collect().await;
    let asked: Vec<_> =
        door.peers.iter().map(|peer| ask_router(door, peer, authorization)).collect();
    let routers: Vec<_> = stream::iter(asked).buffered(AT_ONCE).collect().await;
    let this = json!({ "router": door.name, "reached": true, "version": state.documents.version });
    let all_routers = [vec![this], routers].concat();
    let targets_json: Vec<Value> = targets
        .iter()
        .map(|(record, told)| {
            let mut target = target_json(record);
            target["reached"] = told.is_some().into();
            target["version"] = json!(told.as_ref().map(|told| told.version));
            target
        })
        .collect();
    let holdings: Vec<Value> = targets
        .iter()
        .flat_map(|(record, told)| told.iter().map(move |told| (&record.target, told)))
        .flat_map(|(name, told)| told.holdings.iter().map(move |holding| (name, holding)))
        .map(|(name, h)| {
            json!({ "target": name, "weights": h.weights, "stage": h.stage,
                "memory_mib": h.memory_mib, "users": h.users })
        })
        .collect();
    whole["routers"] = all_routers.into();
    whole["targets"] = targets_json.into();
    whole["slots"] = slots(state, &holdings).into();
    whole["holdings"] = holdings.into();
    whole
}

/// Each slot, and whether its model is cold, loading or warm there.
fn slots(state: &State, holdings: &[Value]) -> Vec<Value> {
    let slots = state.slots.by_key.iter();
    slots
        .map(|(key, slot)| {
            let is_model = |holding: &&Value| {
                let weights = holding["weights"].as_str().unwrap_or_default();
                let model = weights.split(['@', ':']).next();
                holding["target"] == slot.target.as_str() && model == Some(key.model.as_str())
            };
            let held = holdings.iter().find(is_model);
            let stage = held.map_or(json!("cold"), |holding| holding["stage"].clone());
            json!({ "model": key.model, "slot": key.index, "target": slot.target, "stage": stage })
        })
        .collect()
}

fn ask_target(
    door: &HandlerContext,
    record: &TargetRecord,
) -> impl Future<Output = (TargetRecord, Option<Told>)> + use<> {
    let (name, record) = (door.name.clone(), record.clone());
    async move {
        let told = time::timeout(TIMEOUT, ask(&name, &record.address)).await;
        (record, told.ok().and_then(Result::ok))
    }
}

/// Asks an agent what its target holds.
async fn ask(name: &WriterId, address: &str) -> Result<Told, FrameError> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, writer) = connection::split(stream, TIMEOUT)?;
    let (out, rx) = mpsc::channel(2);
    let hello = ToAgent::Hello {
        router: name.clone(),
        incarnation: STATUS_QUERY_INCARNATION,
        protocol: PROTOCOL,
    };
    for message in [hello, ToAgent::List] {
        let frame = frame::encode(&message, b"")?;
        out.send(frame).await.map_err(|_| FrameError::Closed)?;
    }
    let read = async {
        loop {
            if let (ToRouter::Holdings { version, holdings }, _) = reader.next().await? {
                return Ok(Told { version, holdings });
            }
        }
    };
    tokio::select! {
        told = read => told,
        written = writer.run(rx) => Err(written.err().unwrap_or(FrameError::Closed)),
    }
}

/// Asks another router which version it follows, with the operator's own key.
fn ask_router(
    door: &HandlerContext,
    peer: &SmolStr,
    authorization: &str,
) -> impl Future<Output = Value> + use<> {
    let req = door.peer_client.get(format!("http://{peer}/operator/version"));
    let req = req.header("authorization", authorization).timeout(TIMEOUT);
    let peer = peer.clone();
    async move {
        let told: Value = match req.send().await {
            Ok(answer) => answer.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        };
        let name = told["router"].as_str().unwrap_or(&peer);
        json!({ "router": name, "reached": told.is_object(), "version": told["version"] })
    }
}

/// What this router alone follows: `GET /operator/version`.
pub fn version(door: &HandlerContext) -> Value {
    json!({ "router": door.name, "version": door.control.current.load().state.documents.version })
}
