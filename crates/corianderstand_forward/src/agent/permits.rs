//! Prefill permits, which the agent grants to routers.

use super::Agent;
use crate::dialect;
use corianderstand_fleet::prefill;
use corianderstand_schema::peers::{self, PeerMessage};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Bounds the wake-ups of the grant loop; a prefill takes about ten times as long.
const MIN_GRANT_INTERVAL: Duration = Duration::from_millis(2);

/// Weight of the mean workspace in a request.
const MEAN_SHARE: f64 = 1_000.0;

/// What a request for a permit states of its share, rank and size.
fn claim(request: &peers::PrefillRequest) -> prefill::Claim {
    let weight = if request.share == 0 { 1.0 } else { f64::from(request.share) / MEAN_SHARE };
    prefill::Claim {
        rank: u8::try_from(request.rank).unwrap_or(u8::MAX),
        workspace: request.workspace,
        weight,
        tokens: request.tokens,
        slots: request.places,
    }
}

impl<E: dialect::EngineApi> Agent<E> {
    pub(super) fn on_prefill_request(
        &self,
        now: Instant,
        from: SocketAddr,
        request: &peers::PrefillRequest,
    ) {
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        let event_time = Duration::from_micros(u64::from(request.event_us));
        self.state.borrow_mut().record_requester(now, from, false);
        let mut permits = self.permits.borrow_mut();
        let response = permits.request(
            now,
            prefill::PermitRequest {
                id: request.id,
                requester: from,
                prefill_time: Duration::from_micros(u64::from(request.work_us)),
                streams: (!event_time.is_zero()).then_some(prefill::UsualPace {
                    event_time,
                    reading_time: Duration::from_micros(u64::from(request.reading_us)),
                }),
                latency_objective_at: now + millis(request.aim_in_ms),
                expires_at: now + millis(request.useful_ms),
                max_pause: (request.pause_ms > 0).then(|| millis(request.pause_ms)),
                claim: claim(request),
            },
        );
        let backlog = permits.backlog(now);
        let awaits_report = permits.awaits_report(now);
        drop(permits);
        if awaits_report {
            self.refresh_report(now);
        }
        match response {
            prefill::PermitResponse::Granted => self.send_response(from, request.id, None, backlog),
            prefill::PermitResponse::Wait(wait) => {
                self.send_response(from, request.id, Some(wait), backlog);
                self.permits_changed.notify_one();
            }
        }
    }

    /// Has the engine asked for a report, if the last one is not recent.
    fn refresh_report(&self, now: Instant) {
        let asked_at = self.state.borrow().report_asked_at;
        if asked_at.is_none_or(|at| now.saturating_duration_since(at) >= super::BUSY_POLL_INTERVAL)
        {
            self.wake.notify_one();
        }
    }

    /// Records what the engine holds by a report that was asked for at this time.
    pub(super) fn record_held(&self, asked_at: Instant, report: &dialect::EngineReport) {
        let mut permits = self.permits.borrow_mut();
        let mut state = self.state.borrow_mut();
        let before = state.engine_started_at_ms.replace(report.started_at_ms);
        if before.is_some_and(|before| before != report.started_at_ms) {
            permits.forget_engine();
        }
        let load = &report.load;
        if let Some(percent) = load.slowdown_percent {
            if !permits.knows_pace() {
                tracing::info!(percent, "engine states its pace in its reports");
            }
            permits.record_stated_pace(asked_at, percent);
        }
        permits.record_held(
            asked_at,
            prefill::Held {
                requests: load.running.saturating_add(load.waiting),
                tokens: load.cache_used.unwrap_or(0),
                capacity: report.cache_tokens,
            },
        );
        self.permits_changed.notify_one();
    }

    fn send_response(&self, to: SocketAddr, id: u64, wait: Option<Duration>, backlog: Duration) {
        let response = peers::PrefillResponse {
            id,
            given: wait.is_none(),
            wait_ms: wait.unwrap_or_default().as_millis() as u32,
            reading_us: backlog.as_micros() as u32,
        };
        self.outbox.send(to, &PeerMessage::PrefillAnswer(response));
    }

    pub(super) async fn grant_permits(&self) {
        loop {
            let now = self.clock.now();
            let due = self.permits.borrow_mut().grant_due(now);
            let backlog = self.permits.borrow().backlog(now);
            for (requester, id) in due {
                self.send_response(requester, id, None, backlog);
            }
            let next_grant = self.permits.borrow().next_grant_in(now);
            let changed = self.permits_changed.notified();
            match next_grant {
                None => changed.await,
                Some(delay) => {
                    let delay = delay.max(MIN_GRANT_INTERVAL);
                    let _elapsed = tokio::time::timeout(delay, changed).await;
                }
            }
        }
    }
}
