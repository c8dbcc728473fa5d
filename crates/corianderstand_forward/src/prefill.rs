//! Client side of the prefill permits of an engine's agent ([`corianderstand_fleet::prefill`]).
//!
//! If the agent does not respond, the request is sent without a permit.

use crate::{job, pacing, pending, router, waiting};
use corianderstand_fleet::{targets, wait_limit};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use std::time::{Duration, Instant};

/// Time for an agent's response, across availability zones and from a busy host.
const PERMIT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(30);
const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// The request is repeated, as the datagram that grants the permit may be lost.
const PERMIT_RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Number of times that a permit is asked for anew as it may be outdated; a router that is always late has to go on.
const MAX_ASKED_ANEW: u32 = 2;
/// Weight of the mean workspace in a request.
const MEAN_SHARE: f64 = 1_000.0;
/// A target is chosen again if the agent expects a longer wait for the permit.
const CHOOSE_AGAIN_WAIT: Duration = Duration::from_millis(40);

/// Result of a request for a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PermitOutcome {
    /// The request may be sent.
    Granted,
    /// The wait is long or the target has changed: choose a target again.
    ChooseAgain,
    /// The permit would be granted only after the caller has given up.
    TooLate {
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// Requests of this router that wait for a permit.
pub type PendingPermits = pending::Pending<PermitStatus>;

/// An agent's response.
#[derive(Clone, Copy, Debug)]
pub struct PermitStatus {
    granted: bool,
    expected_wait: Duration,
    prefill_backlog: Duration,
}

impl PermitStatus {
    /// Time until a prompt like this one would be read: prompts that wait for a permit are ahead of a new one too.
    /// The wait counts only where targets are chosen by predicted time.
    fn backlog(&self, counts_wait: bool) -> Duration {
        if counts_wait && !self.granted {
            self.prefill_backlog.max(self.expected_wait)
        } else {
            self.prefill_backlog
        }
    }
}

impl From<&wire::PrefillResponse> for PermitStatus {
    fn from(response: &wire::PrefillResponse) -> Self {
        Self {
            granted: response.given,
            expected_wait: Duration::from_millis(u64::from(response.wait_ms)),
            prefill_backlog: Duration::from_micros(u64::from(response.reading_us)),
        }
    }
}

/// A request for a permit, withdrawn if it is dropped before the permit is granted.
struct PermitClaim<'a, P: router::Platform> {
    shared: &'a router::Shared<P>,
    agent: std::net::SocketAddr,
    request: wire::PrefillRequest,
    waiter: pending::Waiter<'a, PermitStatus>,
    /// Whether shares and ranks count, and the agent counts the engine's memory and slots.
    is_ordered: bool,
    sent_at: Instant,
    granted: bool,
}

impl<P: router::Platform> Drop for PermitClaim<'_, P> {
    fn drop(&mut self) {
        if !self.granted {
            let withdrawal = wire::PrefillCancellation { id: self.request.id };
            self.shared.outbox.send(self.agent, &PeerMessage::PrefillWithdrawn(withdrawal));
        }
    }
}

impl<'a, P: router::Platform> PermitClaim<'a, P> {
    fn new(shared: &'a router::Shared<P>, job: &job::Job, key: targets::TargetKey) -> Option<Self> {
        let now = shared.clock.now();
        let view = shared.view.borrow();
        let reports_to_all = shared.peers.borrow().is_mesh();
        let target = view.targets.get(key);
        let target = target.filter(|target| target.agent_may_answer(now, reports_to_all))?;
        let prefill_time = job.prefill_time(shared, &view, key, now)?;
        let times = pacing::prompt_times(shared, &view, now, job, key);
        let times = times.unwrap_or_default();
        let agent = std::net::SocketAddr::new(target.entry.addr.ip(), shared.settings.agent_port);
        let waiter = shared.prefill_permits.register(shared.incarnation);
        let entry = waiting::entry(shared, job);
        let slots = target.entry.slots;
        let request = wire::PrefillRequest {
            id: waiter.id(),
            work_us: prefill_time.as_micros() as u32,
            reading_us: times.reading.as_micros() as u32,
            event_us: times.event.as_micros() as u32,
            aim_in_ms: 0,
            useful_ms: 0,
            pause_ms: job.route.gap_objective.unwrap_or_default().as_millis() as u32,
            rank: entry.map_or(0, |entry| u32::from(entry.claim.rank)),
            workspace: entry.map_or(0, |entry| entry.workspace),
            share: entry.map_or(0, |entry| (entry.weight * MEAN_SHARE).round().max(1.0) as u32),
            tokens: entry.map_or(0, |_| job.expected_tokens()),
            places: entry.map_or(0, |_| slots),
        };
        let is_ordered = entry.is_some();
        Some(Self { shared, agent, request, waiter, is_ordered, sent_at: now, granted: false })
    }

    fn send(&mut self, job: &job::Job) {
        let now = self.shared.clock.now();
        self.sent_at = now;
        let millis_until = |at: Instant| at.saturating_duration_since(now).as_millis() as u32;
        self.request.aim_in_ms = millis_until(job.idle_since + job.route.latency_objective);
        self.request.useful_ms = millis_until(self.expires_at(job));
        self.shared.outbox.send(self.agent, &PeerMessage::PrefillAsked(self.request.clone()));
    }

    fn expires_at(&self, job: &job::Job) -> Instant {
        job.abandoned_at().min(self.shared.response_deadline(job))
    }

    /// Whether a permit may be so old that the room which it counted has gone to others: this router stood still.
    fn may_be_outdated(&self) -> bool {
        let since = self.shared.clock.now().saturating_duration_since(self.sent_at);
        self.is_ordered && since > PERMIT_RESEND_INTERVAL + PERMIT_RESPONSE_TIMEOUT
    }

    fn granted(&mut self) -> PermitOutcome {
        self.granted = true;
        PermitOutcome::Granted
    }
}

/// Waits for a permit to send a request; a long wait is accepted only with `final_choice`.
pub async fn acquire_permit<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &job::Job,
    key: targets::TargetKey,
    final_choice: bool,
) -> PermitOutcome {
    let Some(mut claim) = PermitClaim::new(shared, job, key) else { return PermitOutcome::Granted };
    let (mut unanswered, mut asked_anew) = (0, 0);
    while unanswered < MAX_UNANSWERED_REQUESTS {
        claim.send(job);
        let Some(response) = claim.waiter.response(PERMIT_RESPONSE_TIMEOUT).await else {
            unanswered += 1;
            continue;
        };
        let now = shared.clock.now();
        let uses_pace = pacing::is_used(shared, &shared.view.borrow(), now, &job.service);
        let outdated = claim.may_be_outdated();
        // Those that wait there stand before the next request as well.
        let backlog = if claim.is_ordered { response.expected_wait } else { Duration::ZERO };
        shared.record_prefill_backlog(key, now, response.backlog(uses_pace).max(backlog));
        if response.granted && outdated && asked_anew < MAX_ASKED_ANEW {
            asked_anew += 1;
            continue;
        }
        if response.granted {
            return claim.granted();
        }
        if claim.is_ordered && !final_choice && response.expected_wait >= CHOOSE_AGAIN_WAIT {
            return PermitOutcome::ChooseAgain;
        }
        if now + response.expected_wait >= claim.expires_at(job) {
            return PermitOutcome::TooLate {
                retry_after: wait_limit::retry_after(response.expected_wait, job.jitter()),
            };
        }
        if !shared.may_serve(key, job, now)
            || (!final_choice && response.expected_wait >= CHOOSE_AGAIN_WAIT)
        {
            return PermitOutcome::ChooseAgain;
        }
        let later = claim.waiter.response(PERMIT_RESEND_INTERVAL).await;
        if later.is_some_and(|response| response.granted) && !claim.may_be_outdated() {
            return claim.granted();
        }
        unanswered = 0;
    }
    if let Some(target) = shared.view.borrow_mut().targets.get_mut(key) {
        target.record_agent_unanswered(shared.clock.now());
    }
    tracing::debug!(id = %job.request.id, "sent without a prefill permit: the agent does not respond");
    claim.granted()
}
