//! What the choice of a target by predicted time needs of a request, and where it is used.

use crate::{job, router, view};
use corianderstand_fleet::{features, pace, predict, targets};
use corianderstand_types::names;
use std::{
    cell::RefCell,
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time for which the usual times of a service are kept: they change slowly, and there may be hundreds of targets.
const USUAL_TIMES_TTL: Duration = Duration::from_millis(200);

/// What was worked out of a service's targets.
#[derive(Clone, Copy, Debug)]
struct Known {
    at: Instant,
    states_pace: bool,
    usual: predict::ServicePace,
}

/// Usual times of services, worked out now and then.
#[derive(Debug, Default)]
pub struct Services(RefCell<HashMap<names::ServiceId, Known>>);

impl Services {
    fn get(&self, targets: &targets::Targets, service: &names::ServiceId, now: Instant) -> Known {
        let mut services = self.0.borrow_mut();
        let known = services.get(service).copied();
        let is_recent = |known: &Known| now.saturating_duration_since(known.at) < USUAL_TIMES_TTL;
        known.filter(is_recent).unwrap_or_else(|| {
            // Also drops services that are gone.
            services.retain(|_, known| is_recent(known));
            let members = targets.iter().filter(|(_, target)| target.entry.service == *service);
            let states_pace = members.into_iter().any(|(_, target)| target.pace.is_stated());
            let usual = predict::ServicePace::of(targets, service);
            let known = Known { at: now, states_pace, usual };
            services.insert(service.clone(), known);
            known
        })
    }
}

/// Usual times of a service, if the paces of its targets decide: they state them, or the operator says so.
pub fn usual<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    now: Instant,
    service: &names::ServiceId,
) -> Option<predict::ServicePace> {
    let switch = shared.bounds.borrow().features.pace;
    let known = view.service_paces.get(&view.targets, service, now);
    features::is_used(switch, known.states_pace).then_some(known.usual)
}

/// Whether targets of a service are chosen by predicted time.
pub fn is_used<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    now: Instant,
    service: &names::ServiceId,
) -> bool {
    usual(shared, view, now, service).is_some()
}

/// What the times of a request are predicted from; none if the paces do not decide.
pub fn work<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    now: Instant,
    job: &job::Job,
) -> Option<predict::Work> {
    let usual = usual(shared, view, now, &job.service)?;
    Some(predict::Work {
        prompt_tokens: job.request.prompt_tokens,
        events: job.model().map_or(0.0, |_| view.event_size.events(job.expected_output_tokens())),
        first_event_in: (job.idle_since + job.route.latency_objective)
            .saturating_duration_since(now),
        gap_objective: job.route.gap_objective,
        usual,
    })
}

/// Times of a request at a target, for the log; none if the paces do not decide.
pub fn predict<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    now: Instant,
    job: &job::Job,
    key: targets::TargetKey,
) -> Option<predict::Prediction> {
    let work = work(shared, view, now, job)?;
    let target = view.targets.get(key)?;
    let cached_tokens = job.request.prompt_tokens.saturating_sub(job.uncached_tokens(view, key));
    let is_near = target.entry.zone == shared.settings.zone;
    Some(work.usual.predict(now, target, is_near, &work, cached_tokens))
}

/// Expected time in which a target reads prompt tokens now, by its own pace; none if that is not known, or the paces
/// do not decide.
pub fn reading_time<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    now: Instant,
    service: &names::ServiceId,
    key: targets::TargetKey,
    tokens: u64,
) -> Option<Duration> {
    let usual = usual(shared, view, now, service)?;
    let target = view.targets.get(key)?;
    let s_per_token = usual.reading_s_per_token(&target.pace)?;
    Some(Duration::from_secs_f64(tokens as f64 * s_per_token * target.pace.slowdown(now)))
}

/// Times of a prompt at a target in a usual moment of its host.
#[derive(Clone, Copy, Default, Debug)]
pub struct PromptTimes {
    /// To read what is not cached, without the events of other streams in between.
    pub reading: Duration,
    /// Between events of the target's streams.
    pub event: Duration,
}

/// Times by which the target's agent grants a permit if its engine states its pace; none if the paces do not decide, or no pause is too long for the
/// route.
pub fn prompt_times<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    now: Instant,
    job: &job::Job,
    key: targets::TargetKey,
) -> Option<PromptTimes> {
    job.route.gap_objective?;
    let usual = usual(shared, view, now, &job.service)?;
    let target = view.targets.get(key)?;
    let tokens = job.uncached_tokens(view, key) as f64;
    let requests = target.estimated_requests(now);
    let event_s = usual.event_s(&target.pace) * pace::batch_growth(requests, target.entry.slots);
    Some(PromptTimes {
        reading: Duration::from_secs_f64(tokens * usual.pure_reading_s_per_token(&target.pace)),
        event: Duration::from_secs_f64(event_s),
    })
}
