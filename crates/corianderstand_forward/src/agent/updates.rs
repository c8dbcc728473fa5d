//! What an agent tells routers of its engine: updates, its end, and its new name.
//!
//! In a small deployment all routers receive everything. In a large one the planner and recent requesters receive
//! updates, and hubs pass changes of models on to the routers of their zones.

use super::{Agent, report};
use crate::{broadcast, dialect};
use corianderstand_schema::peers::{self, PeerMessage};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Interval between updates while nothing changes; grows with the number of routers.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
const UPDATE_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(25);
/// Routers consider an agent unresponsive after three missed updates.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(900);
/// Routers that requested an adapter within this time are updated at once when adapters change.
const ADAPTER_REQUESTER_RETENTION: Duration = Duration::from_millis(500);
/// Routers that requested a prefill permit or an adapter within this time are sent periodic updates.
const REQUESTER_RETENTION: Duration = Duration::from_millis(2_000);
const MAX_REQUESTERS: usize = 64;
/// Interval at which hubs are sent the end or the new name of an engine again.
const RELAY_INTERVAL: Duration = Duration::from_millis(1_000);

/// A router that sent requests to the engine lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requester {
    requested_at: Instant,
    adapter_requested_at: Option<Instant>,
    /// Whether it asked for an adapter and has been sent no update since.
    awaits_update: bool,
}

impl super::AgentState {
    pub(super) fn record_requester(
        &mut self,
        now: Instant,
        router: SocketAddr,
        is_for_adapter: bool,
    ) {
        self.recent_requesters.retain(|_, requester| {
            now.saturating_duration_since(requester.requested_at) < REQUESTER_RETENTION
        });
        if self.recent_requesters.len() >= MAX_REQUESTERS
            && !self.recent_requesters.contains_key(&router)
        {
            return;
        }
        let new = Requester { requested_at: now, adapter_requested_at: None, awaits_update: false };
        let requester = self.recent_requesters.entry(router).or_insert(new);
        requester.requested_at = now;
        if is_for_adapter {
            requester.adapter_requested_at = Some(now);
            requester.awaits_update = true;
        }
    }
}

impl<E: dialect::EngineApi> Agent<E> {
    /// Sends the end or the new name of the engine to its routers, and to the hubs once in a while.
    pub(super) fn send_identity_change(&self, plan: &peers::EnginePlan, message: &PeerMessage) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let relay = state
            .exit_relayed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= RELAY_INTERVAL);
        if relay {
            state.exit_relayed_at = Some(now);
        }
        self.outbox.send_all(&recipients(plan, &state), message);
        drop(state);
        if relay {
            self.send_to_relays(plan, message);
        }
    }

    fn send_to_relays(&self, plan: &peers::EnginePlan, message: &PeerMessage) {
        let relays: Vec<SocketAddr> = parse_addresses(&plan.relays).collect();
        if let Some(request) = broadcast::to_zone(message).filter(|_| !relays.is_empty()) {
            self.outbox.send_all(&relays, &request);
        }
    }

    /// Sends changes of models and periodic updates to the plan's routers and to recent requesters, changes of
    /// models to the hubs as well, and changes of adapters to those who requested some.
    pub(super) fn send_update(
        &self,
        now: Instant,
        plan: &peers::EnginePlan,
        report: &dialect::EngineReport,
    ) {
        let mut state = self.state.borrow_mut();
        let update = report::engine_update(now, plan, report, state.ongoing.as_ref());
        let interval = update_interval(plan);
        let last = state.last_update.as_ref();
        let is_changed = last.is_none_or(|(_, last)| report::needs_immediate_update(last, &update));
        let is_due = is_changed
            || last.is_none_or(|(at, last)| {
                now.saturating_duration_since(*at) >= interval
                    || last.plan_serial != update.plan_serial
            });
        let adapters_changed = last.is_some_and(|(_, last)| last.resident != update.resident);
        // Routers that are sent no periodic updates may ask for an adapter that is loaded already.
        let is_awaited = !plan.relays.is_empty()
            && state.recent_requesters.values().any(|requester| requester.awaits_update);
        if !is_due && !adapters_changed && !is_awaited {
            return;
        }
        let cached_weights = peers::CachedWeights {
            in_memory: report.holdings.in_memory.clone(),
            on_disk: report.holdings.on_disk.clone(),
        };
        let full = PeerMessage::EngineNews(peers::EngineUpdate {
            copies: vec![cached_weights],
            ..update.clone()
        });
        let short = PeerMessage::EngineNews(update.clone());
        if is_due {
            let addresses = recipients(plan, &state);
            let (planner, others) = addresses.split_at(addresses.len().min(1));
            self.outbox.send_all(planner, &full);
            self.outbox.send_all(others, &short);
        } else {
            self.outbox.send_all(&adapter_requesters(now, &state), &short);
        }
        state.recent_requesters.values_mut().for_each(|requester| requester.awaits_update = false);
        // The first update tells what the engine's entry in the store tells as well.
        if is_changed && state.last_update.is_some() {
            self.send_to_relays(plan, &short);
        }
        let sent_at = match &state.last_update {
            Some((at, _)) if !is_due => *at,
            _ => now,
        };
        state.last_update = Some((sent_at, update));
    }
}

fn update_interval(plan: &peers::EnginePlan) -> Duration {
    if !plan.relays.is_empty() {
        return MAX_UPDATE_INTERVAL;
    }
    let interval = UPDATE_INTERVAL_PER_ROUTER * plan.routers.len() as u32;
    interval.clamp(MIN_UPDATE_INTERVAL, MAX_UPDATE_INTERVAL)
}

/// The plan's routers, the planner first, and recent requesters.
fn recipients(plan: &peers::EnginePlan, state: &super::AgentState) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = parse_addresses(&plan.routers).collect();
    if !plan.relays.is_empty() {
        let requesters = state.recent_requesters.keys().filter(|addr| !addresses.contains(addr));
        let requesters: Vec<SocketAddr> = requesters.copied().collect();
        addresses.extend(requesters);
    }
    addresses
}

fn adapter_requesters(now: Instant, state: &super::AgentState) -> Vec<SocketAddr> {
    let is_recent = |requester: &Requester| {
        requester
            .adapter_requested_at
            .is_some_and(|at| now.saturating_duration_since(at) < ADAPTER_REQUESTER_RETENTION)
    };
    let requesters = state.recent_requesters.iter().filter(|(_, requester)| is_recent(requester));
    requesters.map(|(addr, _)| *addr).collect()
}

fn parse_addresses<A: std::fmt::Display + AsRef<str>>(
    addresses: &[A],
) -> impl Iterator<Item = SocketAddr> {
    addresses.iter().filter_map(|router| match router.as_ref().parse() {
        Ok(addr) => Some(addr),
        Err(error) => {
            tracing::debug!(%router, %error, "invalid router address in the plan");
            None
        }
    })
}
