//! `GET /operator/status`: settings versions, cached weights, replica slots and the lease.
//!
//! Agents and other routers are queried on demand, each over a short-lived connection, as periodic
//! reports from every agent to every router would exceed the budget for control traffic.

use crate::http::HandlerContext;
use corianderstand_link::{
    PROTOCOL_VERSION, STATUS_QUERY_INCARNATION, connection,
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

const MAX_CONCURRENT_QUERIES: usize = 32;
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

struct TargetStatus {
    version: u64,
    holdings: Vec<Holding>,
}

/// Returns this router's own state (`GET /operator/status?own=true`).
pub fn router_status(context: &HandlerContext) -> Value {
    let snapshot = context.control.current.load();
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

pub async fn fleet_status(context: &HandlerContext, authorization: &str) -> Value {
    let mut fleet = router_status(context);
    let snapshot = context.control.current.load();
    let state = &snapshot.state;
    let queries: Vec<_> = state
        .targets
        .by_name
        .values()
        .map(|target| query_target(context, &target.record))
        .collect();
    let targets: Vec<_> = stream::iter(queries).buffered(MAX_CONCURRENT_QUERIES).collect().await;
    let queries: Vec<_> = context
        .peer_addresses
        .iter()
        .map(|peer| query_router(context, peer, authorization))
        .collect();
    let routers: Vec<_> = stream::iter(queries).buffered(MAX_CONCURRENT_QUERIES).collect().await;
    let this = json!({ "router": context.router_name, "reached": true, "version": state.documents.version });
    let all_routers = [vec![this], routers].concat();
    let targets_json: Vec<Value> = targets
        .iter()
        .map(|(record, status)| {
            let mut target = target_json(record);
            target["reached"] = status.is_some().into();
            target["version"] = json!(status.as_ref().map(|status| status.version));
            target
        })
        .collect();
    let holdings: Vec<Value> = targets
        .iter()
        .flat_map(|(record, status)| status.iter().map(move |status| (&record.target, status)))
        .flat_map(|(name, status)| status.holdings.iter().map(move |holding| (name, holding)))
        .map(|(name, h)| {
            json!({ "target": name, "weights": h.weights, "stage": h.stage,
                "memory_mib": h.memory_mib, "users": h.users })
        })
        .collect();
    fleet["routers"] = all_routers.into();
    fleet["targets"] = targets_json.into();
    fleet["slots"] = replica_slots(state, &holdings).into();
    fleet["holdings"] = holdings.into();
    fleet
}

/// Lists the replica slots with the loading stage of their model on their target.
fn replica_slots(state: &State, holdings: &[Value]) -> Vec<Value> {
    let slots = state.slots.by_key.iter();
    slots
        .map(|(key, slot)| {
            let is_model = |holding: &&Value| {
                let weights = holding["weights"].as_str().unwrap_or_default();
                let model = weights.split(['@', ':']).next();
                holding["target"] == slot.target.as_str() && model == Some(key.model.as_str())
            };
            let holding = holdings.iter().find(is_model);
            let stage = holding.map_or(json!("cold"), |holding| holding["stage"].clone());
            json!({ "model": key.model, "slot": key.index, "target": slot.target, "stage": stage })
        })
        .collect()
}

fn query_target(
    context: &HandlerContext,
    record: &TargetRecord,
) -> impl Future<Output = (TargetRecord, Option<TargetStatus>)> + use<> {
    let (name, record) = (context.router_name.clone(), record.clone());
    async move {
        let status = time::timeout(QUERY_TIMEOUT, query_agent(&name, &record.address)).await;
        (record, status.ok().and_then(Result::ok))
    }
}

async fn query_agent(name: &WriterId, address: &str) -> Result<TargetStatus, FrameError> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, writer) = connection::split(stream, QUERY_TIMEOUT)?;
    let (out, rx) = mpsc::channel(2);
    let hello = ToAgent::Hello {
        router: name.clone(),
        incarnation: STATUS_QUERY_INCARNATION,
        protocol: PROTOCOL_VERSION,
    };
    for message in [hello, ToAgent::List] {
        let frame = frame::encode(&message, b"")?;
        out.send(frame).await.map_err(|_| FrameError::Closed)?;
    }
    let read = async {
        loop {
            if let (ToRouter::Holdings { version, holdings }, _) = reader.next().await? {
                return Ok(TargetStatus { version, holdings });
            }
        }
    };
    tokio::select! {
        status = read => status,
        written = writer.run(rx) => Err(written.err().unwrap_or(FrameError::Closed)),
    }
}

/// Queries the settings version of another router with the operator's key.
fn query_router(
    context: &HandlerContext,
    peer: &SmolStr,
    authorization: &str,
) -> impl Future<Output = Value> + use<> {
    let req = context.peer_client.get(format!("http://{peer}/operator/version"));
    let req = req.header("authorization", authorization).timeout(QUERY_TIMEOUT);
    let peer = peer.clone();
    async move {
        let response: Value = match req.send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        };
        let name = response["router"].as_str().unwrap_or(&peer);
        json!({ "router": name, "reached": response.is_object(), "version": response["version"] })
    }
}

pub fn version_status(context: &HandlerContext) -> Value {
    json!({ "router": context.router_name,
        "version": context.control.current.load().state.documents.version })
}
