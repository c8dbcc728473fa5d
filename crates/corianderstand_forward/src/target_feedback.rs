//! What a router learns of its targets from the requests that it sends them.

use crate::{dialect, ended_targets, job, router};
use corianderstand_fleet::{exits, targets};
use http::StatusCode;
use std::{
    io,
    time::{Duration, Instant},
};

impl<P: router::Platform> router::Shared<P> {
    /// Records a failed request to a target.
    pub fn record_target_failure(&self, key: targets::TargetKey, why: &'static str) {
        let now = self.clock.now();
        let mut view = self.view.borrow_mut();
        let Some(target) = view.targets.get_mut(key) else { return };
        target.health.record_failure(now);
        let failure_score = target.health.failure_score(now);
        tracing::debug!(target = %target.entry.id, trouble = failure_score, why, "target failed");
    }

    /// Records a failure to connect to a target.
    pub fn record_connection_failure(&self, key: targets::TargetKey, error: &io::Error) {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            let now = self.clock.now();
            let mut view = self.view.borrow_mut();
            let ended = view.targets.get_mut(key).map(|target| {
                target.record_unreachable(now);
                tracing::info!(target = %target.entry.id, "target refuses connections");
                target.entry.incarnation()
            });
            drop(view);
            if let Some(target) = ended {
                ended_targets::record_exit(self, now, &target, exits::Confirmation::Refused);
            }
        }
        self.record_target_failure(key, "no connection");
    }

    /// Records a successful response of a target.
    pub fn record_target_success(&self, key: targets::TargetKey) {
        let now = self.clock.now();
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.health.record_success(now);
            let entry = &target.entry;
            self.suspicion.record_running(now, &entry.id, entry.started_at_ms);
        }
    }

    /// Records the interval between two events of a stream.
    pub fn record_event_interval(&self, key: targets::TargetKey, now: Instant, last: Instant) {
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            let interval = now.saturating_duration_since(last);
            target.event_interval.record(now, interval);
            let requests = target.estimated_requests(now);
            target.pace.record_event_interval(now, interval, requests, target.entry.slots);
        }
    }

    /// Prefill backlog of a target.
    pub fn prefill_backlog(&self, key: targets::TargetKey, now: Instant) -> Duration {
        let view = self.view.borrow();
        view.targets.get(key).map_or(Duration::ZERO, |target| target.prefill_backlog(now))
    }

    /// Records the time in which a target answered a request that names no model.
    pub fn record_response_time(
        &self,
        key: targets::TargetKey,
        job: &job::Job,
        load: Option<targets::Load>,
    ) {
        let waited = load.is_some_and(|load| load.waiting > 0);
        let (false, None, Some(sent)) = (waited, job.model(), job.sent_at) else { return };
        let now = self.clock.now();
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.pace.record_response(now, now.saturating_duration_since(sent));
        }
    }

    /// Records the number of events of a whole stream.
    pub fn record_stream_events(&self, job: &job::Job, events: u64) {
        if job.request.output_hint.is_some() {
            let tokens = job.expected_output_tokens();
            self.view.borrow_mut().event_size.record(tokens, events);
        }
    }

    /// Records the prefill backlog that an agent reported.
    pub fn record_prefill_backlog(&self, key: targets::TargetKey, now: Instant, backlog: Duration) {
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.record_prefill_backlog(now, backlog);
        }
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, key: targets::TargetKey, job: &job::Job, now: Instant) {
        let (Some(model), Some(sent)) = (job.model(), job.sent_at) else { return };
        let elapsed = now.saturating_duration_since(sent);
        let mut view = self.view.borrow_mut();
        // The backlog includes this prompt if its permit is part of it.
        let own = job.prefill_time(self, &view, key, now).unwrap_or_default();
        let queued = job.prefill_backlog.saturating_sub(own);
        view.demand.record_first_event(model, job.prefill_tokens, elapsed);
        if let Some(target) = view.targets.get_mut(key) {
            target.pace.record_first_event(now, elapsed, queued, job.prefill_tokens);
        }
    }

    /// Records the load that a target reported.
    pub fn record_load(&self, key: targets::TargetKey, load: targets::Load) {
        let now = self.clock.now();
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.record_load(now, load);
        }
    }

    /// Records that a target says in a response that it is leaving.
    pub fn record_answered_leaving(&self, key: targets::TargetKey, head: &dialect::ResponseHead) {
        let is_its_own = head.is_signed || head.not_run || head.target.is_some();
        if !(head.is_leaving && is_its_own) {
            return;
        }
        let mut view = self.view.borrow_mut();
        let Some(target) = view.targets.get_mut(key) else { return };
        if head.target.as_ref().is_some_and(|other| *other != target.entry.id) {
            return;
        }
        if !target.record_answered_leaving() {
            return;
        }
        self.decision_log.target_answered_leaving(&target.entry);
        let addr = target.entry.addr;
        // Requests that wait for it choose again, and the planner replaces what it holds.
        view.wake_all(self.clock.now());
        drop(view);
        self.connection_pool.close_idle(addr);
        self.control_wake.notify_one();
    }

    /// Records that a request is written to a target.
    pub fn record_sent(&self, key: targets::TargetKey) {
        let now = self.clock.now();
        if let Some(target) = self.view.borrow_mut().targets.get_mut(key) {
            target.record_sent(now);
        }
    }

    /// Records that a target asks for rest, or that it answers a request after one.
    pub fn record_rest(
        &self,
        key: targets::TargetKey,
        job: &job::Job,
        head: &dialect::ResponseHead,
    ) {
        let now = self.clock.now();
        let mut view = self.view.borrow_mut();
        let Some(target) = view.targets.get_mut(key) else { return };
        let Some(rest) = head.rest else {
            if target.end_rest(job.sent_at.unwrap_or(job.arrived_at)) {
                view.wake_all(now);
            }
            return;
        };
        target.record_rest(now, rest);
        self.decision_log.rest_asked(job, &target.entry.id, rest, now);
        let addr = target.entry.addr;
        drop(view);
        // They would be closed by the time they are needed.
        self.connection_pool.close_idle(addr);
    }

    /// Records that a target did not run a request, and what the reason says of it.
    pub fn record_unexecuted(
        &self,
        key: targets::TargetKey,
        job: &job::Job,
        status: StatusCode,
        head: &dialect::ResponseHead,
    ) {
        let now = self.clock.now();
        let mut view = self.view.borrow_mut();
        let Some(target) = view.targets.get_mut(key) else { return };
        let refusal = targets::Refusal::of(targets::Answer {
            is_of_another: head.target.as_ref().is_some_and(|other| *other != target.entry.id),
            asks_for_rest: head.rest.is_some(),
            is_leaving: head.is_leaving,
            names_model: job.request.requested_model.is_some(),
        });
        self.decision_log.attempt_failed(job, refusal.as_str(), Some(status.as_u16()), now);
        match (refusal, &job.request.requested_model) {
            (targets::Refusal::Replaced, _) => {
                // The address was reused, but the outdated entry may remain in the store for long.
                tracing::info!(target = %target.entry.id, by = ?head.target, "target replaced");
                target.entry.draining = true;
                self.targets_outdated.notify_one();
            }
            // Recorded by themselves.
            (targets::Refusal::Leaving | targets::Refusal::Resting, _) => {}
            (_, Some(requested)) => target.record_absent_model(now, &requested.model),
            (_, None) => target.health.record_failure(now),
        }
    }
}
