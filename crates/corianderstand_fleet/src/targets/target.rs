//! What is known of one target.

use super::{Entry, Holdings, OngoingCommand, RequestLimit, load, rest};
use crate::{choose, health, pace};
use corianderstand_types::names;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Time for which a model counts as absent after its engine refused a request for it.
const ABSENT_MODEL_TTL: Duration = Duration::from_millis(400);
/// Time without reports after which an agent counts as unresponsive.
pub const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which an agent is asked again that did not answer and sends no reports.
const AGENT_RETRY_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time for which a target that refused a connection is ejected, before it is probed again.
const UNREACHABLE_EJECTION_TIME: Duration = Duration::from_millis(700);

/// State of one target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Registered entry, updated by agent reports.
    pub entry: Entry,
    /// Command that its engine is executing, as reported by its agent.
    pub ongoing: Option<OngoingCommand>,
    /// When its agent's last report was received.
    pub agent_last_received_at: Option<Instant>,
    /// Serial number of the plan that its agent follows; 0 if it has reported none.
    pub confirmed_plan: u64,
    /// When its agent was last asked in vain.
    pub(super) agent_unanswered_at: Option<Instant>,
    /// Registered holdings that its agent's reports took precedence over.
    pub(super) superseded_holdings: Option<Holdings>,
    /// Failure score of recent requests.
    pub health: health::Health,
    /// In-flight requests of this process, by requested model.
    pub in_flight: BTreeMap<choose::RequestedModel, u32>,
    /// Total of [`Self::in_flight`].
    pub local_requests: u32,
    /// Expected tokens of the in-flight requests of this process.
    pub local_tokens: u64,
    /// Requests of this process that were given a place and are not sent yet.
    pub placing_requests: u32,
    /// Expected tokens of these.
    pub placing_tokens: u64,
    /// How fast it works.
    pub pace: pace::Pace,
    /// Mean time between events of its streams.
    pub event_interval: health::EventInterval,
    /// Limit of requests that it named in its last response, if any.
    pub request_limit: Option<RequestLimit>,
    /// Rest that it asked for, until a response shows that it is over.
    pub(super) rest: Option<rest::Rest>,
    /// When the next request may be sent to it, if it limits them and the time is known.
    pub(super) next_slot_at: Option<Instant>,
    /// Whether it said in a response that it is leaving; holds for its incarnation.
    pub(super) answered_leaving: bool,
    /// When it will have shut down, if known.
    pub shutdown_at: Option<Instant>,
    pub(super) reported_load: load::ReportedLoad,
    pub(super) absent_until: HashMap<names::ModelId, Instant>,
    pub(super) prefill_until: Option<Instant>,
    pub(super) missing_since: Option<Instant>,
    /// When its agent reported it, if nobody else has.
    pub(super) inferred_at: Option<Instant>,
    pub(super) ejected_until: Option<Instant>,
    /// Whether its process may have been replaced since its entry was read.
    pub(super) may_be_replaced: bool,
}

impl Target {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            entry,
            ongoing: None,
            agent_last_received_at: None,
            confirmed_plan: 0,
            agent_unanswered_at: None,
            superseded_holdings: None,
            health: health::Health::default(),
            in_flight: BTreeMap::new(),
            local_requests: 0,
            local_tokens: 0,
            placing_requests: 0,
            placing_tokens: 0,
            pace: pace::Pace::default(),
            event_interval: health::EventInterval::default(),
            request_limit: None,
            rest: None,
            next_slot_at: None,
            answered_leaving: false,
            shutdown_at: None,
            reported_load: load::ReportedLoad::default(),
            absent_until: HashMap::new(),
            prefill_until: None,
            missing_since: None,
            inferred_at: None,
            ejected_until: None,
            may_be_replaced: false,
        }
    }

    /// Whether new requests may be sent to it.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        !self.is_leaving() && self.ejected_until.is_none_or(|until| now >= until)
    }

    /// Whether it takes no new requests any more, by its entry or by a response of its own.
    pub const fn is_leaving(&self) -> bool {
        self.entry.draining || self.answered_leaving
    }

    /// Records that it said in a response that it is leaving; false if that was known. No entry of the same incarnation
    /// undoes it, as an entry may have been written before.
    pub const fn record_answered_leaving(&mut self) -> bool {
        let was_leaving = self.is_leaving();
        self.answered_leaving = true;
        !was_leaving
    }

    /// Ejects the target after it refused a connection.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.ejected_until = Some(now + UNREACHABLE_EJECTION_TIME);
        self.may_be_replaced = true;
    }

    /// Version of the software that it runs. Unknown after its process ended, until its entry is renewed: a release
    /// may start it again under its name.
    pub fn version(&self) -> Option<&names::SoftwareVersion> {
        self.entry.version.as_ref().filter(|_| !self.may_be_replaced)
    }

    /// Number of in-flight requests of this process, by model.
    pub fn running(&self) -> BTreeMap<names::ModelId, u32> {
        let mut running = BTreeMap::new();
        for (requested, count) in &self.in_flight {
            *running.entry(requested.model.clone()).or_default() += count;
        }
        running
    }

    /// Whether its agent reported recently.
    pub fn agent_is_responsive(&self, now: Instant) -> bool {
        self.agent_last_received_at
            .is_some_and(|at| now.saturating_duration_since(at) < AGENT_RESPONSE_TIMEOUT)
    }

    /// Whether its agent can be asked. Agents that report to few routers are asked without a report.
    pub fn agent_may_answer(&self, now: Instant, reports_to_all: bool) -> bool {
        let is_unanswering = self
            .agent_unanswered_at
            .is_some_and(|at| now.saturating_duration_since(at) < AGENT_RETRY_INTERVAL);
        self.agent_is_responsive(now) || !(reports_to_all || is_unanswering)
    }

    /// Records that its agent did not answer.
    pub fn record_agent_unanswered(&mut self, now: Instant) {
        self.agent_unanswered_at = Some(now);
    }

    /// Command that its engine is executing. A load is expected to go on although its agent no longer
    /// reports, or reports to few routers.
    pub fn ongoing_command(&self, now: Instant) -> Option<&OngoingCommand> {
        self.ongoing.as_ref().filter(|ongoing| {
            let is_loading =
                matches!(ongoing, OngoingCommand::Loading { ready_at, .. } if now < *ready_at);
            is_loading || self.agent_is_responsive(now)
        })
    }

    /// Whether requests for the model may be sent to it.
    pub fn serves(&self, now: Instant, model: &names::ModelId) -> bool {
        let unloading = matches!(
            self.ongoing_command(now), Some(OngoingCommand::Unloading { model: own }) if own == model
        );
        let absent = self.absent_until.get(model).is_some_and(|until| now < *until);
        !unloading && !absent && self.entry.holdings.resident(model).is_some()
    }

    /// Records the reported prefill backlog.
    pub fn record_prefill_backlog(&mut self, now: Instant, backlog: Duration) {
        self.prefill_until = Some(now + backlog);
    }

    /// Estimated time until its prefill backlog is processed.
    pub fn prefill_backlog(&self, now: Instant) -> Duration {
        self.prefill_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that it refused a request because the model is absent.
    pub fn record_absent_model(&mut self, now: Instant, model: &names::ModelId) {
        self.absent_until.insert(model.clone(), now + ABSENT_MODEL_TTL);
    }

    pub(super) fn set_holdings(&mut self, holdings: Holdings) {
        if holdings != self.entry.holdings {
            self.absent_until.clear();
            self.entry.holdings = holdings;
        }
    }
}
