//! What the choice of a target by predicted time needs of a request, and where it is used.

use crate::{job, router, view};
use corianderstand_fleet::{features, predict, targets};
use corianderstand_types::names;
use std::time::{Duration, Instant};

/// Whether the paces of a service's targets decide: its targets state them, or the operator says so.
pub fn is_used<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    service: &names::ServiceId,
) -> bool {
    let switch = shared.bounds.borrow().features.pace;
    let states_pace = |(_, target): (targets::TargetKey, &targets::Target)| {
        target.entry.service == *service && target.pace.is_stated()
    };
    features::is_used(switch, view.targets.iter().any(states_pace))
}

/// What the times of a request are predicted from; none if the paces do not decide.
pub fn work<P>(
    shared: &router::Shared<P>,
    view: &view::View,
    now: Instant,
    job: &job::Job,
) -> Option<predict::Work> {
    is_used(shared, view, &job.service).then(|| predict::Work {
        prompt_tokens: job.request.prompt_tokens,
        events: job.model().map_or(0.0, |_| view.event_size.events(job.expected_output_tokens())),
        first_event_in: (job.idle_since + job.route.latency_objective)
            .saturating_duration_since(now),
        gap_objective: job.route.gap_objective,
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
    let service = predict::ServicePace::of(&view.targets, &job.service);
    let cached_tokens = job.request.prompt_tokens - job.uncached_tokens(view, key);
    Some(service.predict(now, target, &shared.settings.zone, &work, cached_tokens))
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
    if !is_used(shared, view, service) {
        return None;
    }
    let target = view.targets.get(key)?;
    let usual = predict::ServicePace::of(&view.targets, service);
    let s_per_token = usual.reading_s_per_token(&target.pace)?;
    Some(Duration::from_secs_f64(tokens as f64 * s_per_token * target.pace.slowdown(now)))
}
