//! A request while it is answered, and its count at the target that has it.

use crate::{dialect, router, view};
use bytes::Bytes;
use corianderstand_fleet::{choose, config, demand, prefixes, targets};
use corianderstand_types::names;
use http::{HeaderMap, Method, Uri};
use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

/// Callers leave a stream that has said nothing for this long, or for this many of the route's aims
/// or pauses, whichever is longest.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(2);
const ABANDON_OBJECTIVES: u32 = 4;
const ABANDON_GAPS: u32 = 8;
/// Tokens of an answer whose length nobody guesses.
const DEFAULT_OUTPUT_TOKENS: u64 = 300;

/// A request that was read and is to be answered.
pub struct Job {
    /// What its headers say.
    pub call: dialect::Call,
    /// The route that it took.
    pub route: Arc<config::Route>,
    /// The service that it goes to.
    pub service: names::ServiceId,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller or its route gives up.
    pub deadline: Instant,
    /// Since when its caller has heard nothing: its arrival, or a stream's last event.
    pub idle_since: Instant,
    /// Hash of its id.
    pub hash: u64,
    /// Its prompt's parts.
    pub chain: prefixes::Chain,
    /// Targets that it was sent to.
    pub tried: Vec<targets::TargetKey>,
    /// Targets that said that they did not run it.
    pub unexecuted_attempts: u32,
    /// An attempt was written to a target and its fate is not known.
    pub may_have_run: bool,
    /// When it was last sent.
    pub sent_at: Option<Instant>,
    /// The target that it was last sent to, for the log.
    pub last_target: names::TargetId,
    /// Tokens of its prompt that the target which it was last sent to has to read.
    pub prefill_tokens: u64,
    /// Why it was last not answered.
    pub last_failure: &'static str,
}

impl Job {
    /// Tokens that it is expected to need.
    pub fn tokens(&self) -> u64 {
        if self.call.requested_model.is_none() {
            return 0;
        }
        let max = match self.call.max_output_tokens {
            0 => u64::MAX,
            max => max,
        };
        self.call.prompt_tokens + self.call.output_hint.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(max)
    }

    /// Tokens of its prompt that a target is not known to have read.
    pub fn uncached_tokens(&self, view: &view::View, key: targets::TargetKey) -> u64 {
        let cached = view.prefixes.find(&self.chain).filter(|(holder, _)| *holder == key);
        self.call.prompt_tokens.saturating_sub(cached.map_or(0, |(_, tokens)| tokens))
    }

    /// Time that an engine needs to read the rest of its prompt alone; none if it has none to read.
    pub fn prefill_time(
        &self,
        view: &view::View,
        key: targets::TargetKey,
        now: Instant,
    ) -> Option<Duration> {
        let unread = self.uncached_tokens(view, key);
        let model = self.model().filter(|_| unread > 0)?;
        let measured = view.demand.model_demand(now, model).prefill_s_per_token;
        let s_per_token =
            if measured > 0.0 { measured } else { demand::DEFAULT_PREFILL_S_PER_TOKEN };
        Some(Duration::from_secs_f64(unread as f64 * s_per_token))
    }

    /// When a request that got nothing yet is of no more use: its caller leaves a stream that says
    /// nothing for too long.
    pub fn abandoned_at(&self) -> Instant {
        if !self.route.streams {
            return self.deadline;
        }
        let gaps = self.route.gap_objective.unwrap_or_default() * ABANDON_GAPS;
        let silence =
            ABANDON_TIMEOUT.max(self.route.latency_objective * ABANDON_OBJECTIVES).max(gaps);
        self.deadline.min(self.idle_since + silence)
    }

    /// A number between 0 and 1 that spreads requests.
    pub fn jitter(&self) -> f64 {
        (self.hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// The model that it wants.
    pub fn model(&self) -> Option<&names::ModelId> {
        self.call.requested_model.as_ref().map(|requested| &requested.model)
    }
}

/// A request that is at a target; counts there until it is dropped.
pub struct InFlight<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    key: targets::TargetKey,
    requested: Option<choose::RequestedModel>,
    tokens: u64,
}

impl<P: router::Platform> InFlight<P> {
    /// Counts a request at a target.
    pub fn begin(shared: &Rc<router::Shared<P>>, key: targets::TargetKey, job: &Job) -> Self {
        let requested = job.call.requested_model.clone();
        let in_flight = Self { shared: shared.clone(), key, requested, tokens: job.tokens() };
        let mut view = shared.view.borrow_mut();
        if let Some(target) = view.targets.get_mut(key) {
            target.local_requests += 1;
            target.local_tokens += in_flight.tokens;
            if let Some(requested) = &in_flight.requested {
                *target.in_flight.entry(requested.clone()).or_default() += 1;
            }
        }
        view.prefixes.record(&job.chain, key);
        drop(view);
        in_flight
    }

    /// The target.
    pub const fn key(&self) -> targets::TargetKey {
        self.key
    }
}

impl<P: router::Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        let mut view = self.shared.view.borrow_mut();
        let Some(target) = view.targets.get_mut(self.key) else { return };
        target.local_requests = target.local_requests.saturating_sub(1);
        target.local_tokens = target.local_tokens.saturating_sub(self.tokens);
        let Some(requested) = &self.requested else { return };
        if let Some(count) = target.in_flight.get_mut(requested) {
            *count -= 1;
            if *count == 0 {
                target.in_flight.remove(requested);
            }
        }
        view.wake(&requested.model);
    }
}
