//! A request that is being handled, and its count at the target that handles it.

use crate::{
    body_end, content, continuations, copies, dialect, pacing, retries, rooms, router, view,
};
use bytes::Bytes;
use corianderstand_fleet::{choose, config, demand, fingerprint, prefixes, targets};
use corianderstand_types::names;
use http::{HeaderMap, Method, Uri};
use std::{
    cell::{Cell, OnceCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

/// Callers are expected to abandon a stream after the longest of these three times.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(2);
const ABANDON_LATENCY_OBJECTIVES: u32 = 4;
const ABANDON_GAPS: u32 = 8;
/// Estimate of output tokens if the caller sends none.
const DEFAULT_OUTPUT_TOKENS: u64 = 300;

/// A target's complete error response.
#[derive(Clone, Debug)]
pub struct ErrorResponse {
    /// Status and headers, as callers receive them.
    pub head: http::response::Parts,
    /// The body.
    pub body: body_end::WholeBody,
}

/// A request that was read and awaits its response.
pub struct Job {
    /// The parsed headers.
    pub request: dialect::RequestHead,
    /// The matched route.
    pub route: Arc<config::Route>,
    /// The caller's workspace, if the request needs a credential.
    pub workspace: Option<names::WorkspaceId>,
    /// Priority of the workspace and the route; 0 is the highest.
    pub rank: u8,
    /// The service of the route.
    pub service: names::ServiceId,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Address of the caller.
    pub caller: IpAddr,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// The earlier deadline of caller and route.
    pub deadline: Instant,
    /// When the caller last received data: arrival, or the last event of a stream.
    pub idle_since: Instant,
    /// Hash of the request id.
    pub request_id_hash: u64,
    /// The prompt's prefixes.
    pub prompt_prefixes: prefixes::PrefixChain,
    /// How far the stream has come, if it is one.
    pub progress: continuations::Progress,
    /// Targets that were tried.
    pub tried_targets: Vec<targets::TargetKey>,
    /// Number of attempts that the target reported as not run.
    pub unexecuted_attempts: u32,
    /// Whether a target may have run the request.
    pub may_have_run: bool,
    /// Time of the last attempt.
    pub sent_at: Option<Instant>,
    /// Target of the last attempt, for the log.
    pub last_target: names::TargetId,
    /// Prompt tokens that were not cached at the last target.
    pub prefill_tokens: u64,
    /// Prefill backlog of the last target when the request was sent.
    pub prefill_backlog: Duration,
    /// Why the last attempt failed.
    pub last_failure: &'static str,
    /// The last complete error response of a target, for the caller if no other target does better.
    pub error_response: Option<ErrorResponse>,
    /// How often it was written to targets.
    pub sends: retries::Sends,
    /// Targets that it is sent to beside the last one in [`Self::tried_targets`].
    pub targets_beside: Rc<Cell<u32>>,
    /// Copy of the KV cache of its last attempt, if there is one.
    pub copy: Option<copies::Copy>,
    /// How often it was sent to an engine that keeps its copy.
    pub moves: u32,
    /// The copy from which the next attempt goes on.
    pub goes_on_from: Option<copies::Copy>,
    /// Computed when it is first needed.
    pub fingerprint: OnceCell<fingerprint::Fingerprint>,
}

impl Job {
    /// The same request for a second target, beside the first.
    pub fn for_second_target(&self) -> Self {
        Self {
            request: self.request.clone(),
            route: self.route.clone(),
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            prompt_prefixes: self.prompt_prefixes.clone(),
            progress: self.progress.clone(),
            tried_targets: self.tried_targets.clone(),
            may_have_run: true,
            last_target: self.last_target.clone(),
            error_response: self.error_response.clone(),
            sends: retries::Sends::after_first(),
            targets_beside: Rc::default(),
            copy: None,
            goes_on_from: None,
            fingerprint: self.fingerprint.clone(),
            ..*self
        }
    }

    /// The fingerprint of the request's content.
    pub fn fingerprint(&self) -> fingerprint::Fingerprint {
        *self.fingerprint.get_or_init(|| content::fingerprint(self))
    }

    /// Expected prompt and output tokens.
    pub fn expected_tokens(&self) -> u64 {
        if self.request.requested_model.is_none() {
            return 0;
        }
        self.request.prompt_tokens + self.expected_output_tokens()
    }

    /// Expected output tokens.
    pub fn expected_output_tokens(&self) -> u64 {
        let max = match self.request.max_output_tokens {
            0 => u64::MAX,
            max => max,
        };
        self.request.output_hint.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(max)
    }

    /// Prompt tokens that are not known to be cached at a target.
    pub fn uncached_tokens(&self, view: &view::View, key: targets::TargetKey) -> u64 {
        let cached =
            view.cached_prefixes.find(&self.prompt_prefixes).filter(|(holder, _)| *holder == key);
        self.request.prompt_tokens.saturating_sub(cached.map_or(0, |(_, tokens)| tokens))
    }

    /// Expected prefill time of the uncached tokens, if there are any: by the target's own pace where that is known.
    pub fn prefill_time<P>(
        &self,
        shared: &router::Shared<P>,
        view: &view::View,
        key: targets::TargetKey,
        now: Instant,
    ) -> Option<Duration> {
        let uncached = self.uncached_tokens(view, key);
        let model = self.model().filter(|_| uncached > 0)?;
        let own = pacing::reading_time(shared, view, now, &self.service, key, uncached);
        if own.is_some() {
            return own;
        }
        let measured = view.demand.model_demand(now, model).prefill_s_per_token;
        let s_per_token =
            if measured > 0.0 { measured } else { demand::DEFAULT_PREFILL_S_PER_TOKEN };
        Some(Duration::from_secs_f64(uncached as f64 * s_per_token))
    }

    /// When the caller is expected to leave if it receives nothing more.
    pub fn abandoned_at(&self) -> Instant {
        if !self.route.streams {
            return self.deadline;
        }
        self.deadline.min(self.idle_since + self.abandon_timeout())
    }

    /// Time without an event after which the caller of a stream is expected to leave.
    pub fn abandon_timeout(&self) -> Duration {
        let gaps = self.route.gap_objective.unwrap_or_default() * ABANDON_GAPS;
        ABANDON_TIMEOUT.max(self.route.latency_objective * ABANDON_LATENCY_OBJECTIVES).max(gaps)
    }

    /// A number in [0, 1) derived from the request id.
    pub fn jitter(&self) -> f64 {
        (self.request_id_hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// What it waits for if no target can take it.
    pub fn room(&self) -> rooms::Key {
        rooms::Key { service: self.service.clone(), model: self.model().cloned() }
    }

    /// The requested model.
    pub fn model(&self) -> Option<&names::ModelId> {
        self.request.requested_model.as_ref().map(|requested| &requested.model)
    }
}

/// Counts a request at a target until it is dropped.
pub struct InFlight<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    key: targets::TargetKey,
    target: Option<(targets::Incarnation, SocketAddr)>,
    version: Option<names::SoftwareVersion>,
    started_at: Instant,
    service: names::ServiceId,
    requested: Option<choose::RequestedModel>,
    expected_tokens: u64,
}

impl<P: router::Platform> InFlight<P> {
    /// Adds a request to a target's counts.
    pub fn begin(shared: &Rc<router::Shared<P>>, key: targets::TargetKey, job: &Job) -> Self {
        let requested = job.request.requested_model.clone();
        let mut view = shared.view.borrow_mut();
        let in_flight = Self {
            shared: shared.clone(),
            key,
            target: view
                .targets
                .get(key)
                .map(|target| (target.entry.incarnation(), target.entry.addr)),
            version: view.targets.get(key).and_then(|target| target.version().cloned()),
            started_at: shared.clock.now(),
            service: job.service.clone(),
            requested,
            expected_tokens: job.expected_tokens(),
        };
        if let Some(target) = view.targets.get_mut(key) {
            target.local_requests += 1;
            target.local_tokens += in_flight.expected_tokens;
            if let Some(requested) = &in_flight.requested {
                *target.in_flight.entry(requested.clone()).or_default() += 1;
            }
        }
        view.cached_prefixes.record(&job.prompt_prefixes, key);
        drop(view);
        in_flight
    }

    /// The target.
    pub const fn key(&self) -> targets::TargetKey {
        self.key
    }

    /// The target's incarnation and address when the request was sent; none if it was gone by then.
    pub const fn target(&self) -> Option<&(targets::Incarnation, SocketAddr)> {
        self.target.as_ref()
    }

    /// The target's software version when the request was sent, if it was known.
    pub const fn version(&self) -> Option<&names::SoftwareVersion> {
        self.version.as_ref()
    }

    /// When the request was sent.
    pub const fn started_at(&self) -> Instant {
        self.started_at
    }
}

impl<P: router::Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        let mut view = self.shared.view.borrow_mut();
        let view = &mut *view;
        let Some(target) = view.targets.get_mut(self.key) else { return };
        target.local_requests = target.local_requests.saturating_sub(1);
        target.local_tokens = target.local_tokens.saturating_sub(self.expected_tokens);
        if let Some(requested) = &self.requested
            && let Some(count) = target.in_flight.get_mut(requested)
        {
            *count -= 1;
            if *count == 0 {
                target.in_flight.remove(requested);
            }
        }
        let model = self.requested.as_ref().map(|requested| requested.model.clone());
        let resident = target.entry.holdings.resident.iter().map(|resident| &resident.model);
        let others: Vec<_> = resident.filter(|other| Some(*other) != model.as_ref()).collect();
        view.rooms.wake_freed(self.shared.clock.now(), &self.service, model.as_ref(), &others);
    }
}
