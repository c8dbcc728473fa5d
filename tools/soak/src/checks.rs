//! Guarantees that must hold for each request regardless of the injected faults.

use crate::{
    callers::{CRASHING_ID_PREFIX, CrashCause, Outcome, RequestKind, RequestRecord},
    leavings::{Interference, Scope},
    sheds::Sheds,
    streams,
    workspaces::{self, Workspace},
};
use corianderstand_platform_standins::ledger::{Ledger, RequestRun};
use http::StatusCode;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Statuses that guarantee that a request was not and will not be executed.
const NOT_EXECUTED: [u16; 4] = [408, 421, 429, 503];
/// Time for which an engine may work on a run that goes on at another one.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// Time after a disruption during which the router's connections may still fail.
const DISRUPTION_AFTERMATH: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    pub router_index: usize,
    pub started_at: Instant,
    pub ended_at: Instant,
    pub is_graceful_shutdown: bool,
}

#[derive(Debug, Default)]
pub struct CheckReport {
    pub violations: Vec<String>,
    pub outcome_counts: BTreeMap<String, usize>,
}

/// Checks the guarantees that hold even if the router was disrupted.
pub fn find_violations(request: &RequestRecord, ledger: &Ledger) -> Vec<String> {
    let violations = [
        executed_twice(request, ledger),
        executed_though_rejected(request, ledger),
        wrong_response(request, ledger),
        streams::wrong_stream(request),
        workspaces::credential_violation(request, ledger),
    ];
    violations
        .into_iter()
        .flatten()
        .map(|violation| describe_violation(&violation, request))
        .collect()
}

fn describe_violation(violation: &str, request: &RequestRecord) -> String {
    format!("{violation}: {} {:?} at router {}", request.id, request.kind, request.router_index)
}

pub fn check_guarantees(
    requests: &[RequestRecord],
    ledger: &Ledger,
    disruptions: &[Disruption],
    sheds: &Sheds,
) -> CheckReport {
    let mut report = CheckReport::default();
    for request in requests {
        *report.outcome_counts.entry(outcome_label(&request.outcome)).or_default() += 1;
        report.violations.extend(find_violations(request, ledger));
        let missing_response = missing_response(request, ledger, disruptions, sheds);
        report
            .violations
            .extend(missing_response.map(|violation| describe_violation(&violation, request)));
    }
    let known: std::collections::BTreeSet<&str> =
        requests.iter().map(|request| request.id.as_str()).collect();
    for id in ledger.ids().iter().filter(|id| id.starts_with('c')) {
        if !known.contains(id.as_str()) {
            report.violations.push(format!("executed without a request: {id}"));
        }
    }
    report
}

fn outcome_label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Complete(status, _) => status.as_u16().to_string(),
        Outcome::Truncated(..) => "truncated".into(),
        Outcome::Closed => "closed".into(),
        Outcome::NoConnection => "no connection".into(),
        Outcome::TimedOut => "timed out".into(),
    }
}

fn executed_twice(request: &RequestRecord, ledger: &Ledger) -> Option<String> {
    let non_idempotent = matches!(request.kind, RequestKind::Pay | RequestKind::Draft);
    let runs = ledger.runs(&request.id);
    if let Some(early) = goes_on_early(&runs) {
        return Some(early);
    }
    let runs = runs.iter().filter(|run| !run.goes_on).count();
    (non_idempotent && runs > 1).then(|| format!("executed {runs} times"))
}

/// Checks that a run that goes on from a copy begins after its engine before has stopped.
fn goes_on_early(runs: &[RequestRun]) -> Option<String> {
    let pairs = runs.windows(2).filter(|pair| pair[1].goes_on);
    let mut early = pairs
        .filter(|pair| pair[0].ended_at.is_none_or(|ended_at| ended_at > pair[1].at + MAX_OVERLAP));
    early.next().map(|pair| format!("goes on while its engine works on it: {pair:?}"))
}

fn executed_though_rejected(request: &RequestRecord, ledger: &Ledger) -> Option<String> {
    let Outcome::Complete(status, _) = &request.outcome else { return None };
    let rejected = NOT_EXECUTED.contains(&status.as_u16());
    let executed = !ledger.runs(&request.id).is_empty();
    // An idempotent request may be rejected after an execution whose response was lost.
    let non_idempotent = matches!(request.kind, RequestKind::Pay | RequestKind::Draft);
    (rejected && executed && non_idempotent).then(|| format!("rejected with {status} but executed"))
}

fn wrong_response(request: &RequestRecord, ledger: &Ledger) -> Option<String> {
    let runs = ledger.runs(&request.id);
    let path_differs = runs.iter().any(|run| !run.request_line.starts_with("POST /"));
    let model_differs = runs.iter().any(|run| request.kind.streams() && run.model != request.model);
    if path_differs || model_differs {
        return Some(format!("executed with another path or model: {runs:?}"));
    }
    let Outcome::Complete(StatusCode::OK, body) = &request.outcome else { return None };
    if runs.is_empty() {
        return Some("answered but never executed".into());
    }
    let body = String::from_utf8_lossy(body);
    let expected =
        |run: &RequestRun| run.finished && body == format!("{} done by {}", request.id, run.target);
    let wrong = !request.kind.streams() && !runs.iter().any(expected);
    wrong.then(|| format!("body differs from the target's: {body:?}"))
}

/// Text of the refusals of requests that ended their targets.
const BLOCKED: &str = "ended the targets";
/// Ends that are needed as evidence against a request.
const EVIDENCE_ENDS: usize = 3;
/// Ends that are needed as evidence against a part of prompts.
const EVIDENCE_ENDS_OF_PART: usize = 5;
/// Arrivals at engines that are allowed after the evidence had time to spread.
const MAX_LATE_ARRIVALS: usize = 3;

/// Checks that a request that ends the engines that run it soon reaches none, and that nothing else is
/// refused for it.
pub fn crashing_request(
    requests: &[RequestRecord],
    ledger: &Ledger,
    disruptions: &[Disruption],
    cause: CrashCause,
) -> Vec<String> {
    let (crashing, others): (Vec<&RequestRecord>, Vec<&RequestRecord>) =
        requests.iter().partition(|request| request.id.starts_with(CRASHING_ID_PREFIX));
    let is_blocked = |request: &RequestRecord| {
        let Outcome::Complete(_, body) = &request.outcome else { return false };
        String::from_utf8_lossy(body).contains(BLOCKED)
    };
    let wrongly_blocked = others.into_iter().filter(|request| is_blocked(request));
    let mut violations: Vec<String> = wrongly_blocked
        .map(|request| describe_violation("blocked, but it ended no target", request))
        .collect();
    let evidence_ends = match cause {
        CrashCause::Body => EVIDENCE_ENDS,
        CrashCause::Part => EVIDENCE_ENDS_OF_PART,
    };
    let Some(evidence_at) = ledger.crashes().get(evidence_ends - 1).copied() else {
        return violations;
    };
    let late_arrivals = ledger.arrivals().into_iter().filter(|arrival| {
        let sender = crashing.iter().find(|request| request.id == arrival.id);
        arrival.at > evidence_at + DISRUPTION_AFTERMATH
            && sender
                .is_some_and(|sender| is_in_touch(sender.router_index, arrival.at, disruptions))
    });
    let late_arrivals: Vec<String> = late_arrivals.map(|arrival| arrival.id).collect();
    if late_arrivals.len() > MAX_LATE_ARRIVALS {
        violations
            .push(format!("reached engines after it ended {evidence_ends}: {late_arrivals:?}"));
    }
    violations
}

/// Sound requests begin at least at this ratio of what is usual.
const MIN_RATIO_OF_USUAL: f64 = 0.5;
/// Fewer requests say nothing.
const MIN_SOUND_REQUESTS: usize = 20;

/// Checks that sound requests with the same first part begin at their first attempt while the others are refused.
pub fn sound_requests(
    requests: &[RequestRecord],
    ledger: &Ledger,
    disruptions: &[Disruption],
    interferences: &[Interference],
) -> Option<String> {
    let crashes = ledger.crashes();
    let evidence_at = crashes.get(EVIDENCE_ENDS_OF_PART - 1).or(crashes.last()).copied()?;
    let crashing = || requests.iter().filter(|request| request.id.starts_with(CRASHING_ID_PREFIX));
    let first = crashing().map(|request| request.started_at).min()?;
    let last = crashing().map(|request| request.started_at).max()?;
    let sound = |from: Instant, to: Instant| {
        let counted = requests.iter().filter(move |request| {
            request.kind == RequestKind::Chat
                && request.workspace == Workspace::Steady
                && !request.id.starts_with(CRASHING_ID_PREFIX)
                && request.started_at >= from
                && request.started_at <= to
                && is_undisturbed(request, disruptions, interferences)
        });
        let begun = counted.clone().filter(|request| !ledger.runs(&request.id).is_empty()).count();
        (begun, counted.count())
    };
    let started_at = requests.iter().map(|request| request.started_at).min()?;
    let usual = sound(started_at, first);
    let blocked = sound(evidence_at + DISRUPTION_AFTERMATH * 2, last);
    println!("  sound requests that began: usually {usual:?}, beside blocked ones {blocked:?}");
    let ratio = |(begun, sent): (usize, usize)| begun as f64 / sent.max(1) as f64;
    let is_enough = usual.1 >= MIN_SOUND_REQUESTS && blocked.1 >= MIN_SOUND_REQUESTS;
    (is_enough && ratio(blocked) < ratio(usual) * MIN_RATIO_OF_USUAL)
        .then(|| format!("sound requests began {blocked:?} beside blocked ones, usually {usual:?}"))
}

/// Span in which requests to a target with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// What is allowed in it.
const ALLOWED_LIMIT_RATIO: f64 = 1.5;
const ALLOWED_BEYOND_LIMIT: f64 = 5.0;

/// Checks that targets get no more requests than the limit that they name allows.
pub fn request_limits(
    requests: &[RequestRecord],
    ledger: &Ledger,
    disruptions: &[Disruption],
) -> Vec<String> {
    let routers: BTreeMap<&str, usize> =
        requests.iter().map(|request| (request.id.as_str(), request.router_index)).collect();
    let arrivals = ledger.arrivals();
    let mut violations = Vec::new();
    for period in ledger.limits() {
        let counted = arrivals.iter().filter(|arrival| {
            let router = routers.get(arrival.id.as_str());
            arrival.target == period.target
                && arrival.at >= period.named_at + DISRUPTION_AFTERMATH
                && period.ended_at.is_none_or(|end| arrival.at <= end)
                && router.is_none_or(|router| is_in_touch(*router, arrival.at, disruptions))
        });
        let counted: Vec<Instant> = counted.map(|arrival| arrival.at).collect();
        let in_window = |from: Instant| {
            counted.iter().filter(move |at| **at >= from && **at < from + LIMIT_WINDOW)
        };
        let most = counted.iter().map(|from| in_window(*from).count()).max().unwrap_or(0);
        let allowed =
            period.per_s * LIMIT_WINDOW.as_secs_f64() * ALLOWED_LIMIT_RATIO + ALLOWED_BEYOND_LIMIT;
        if most as f64 > allowed {
            violations.push(format!(
                "{most} requests in {LIMIT_WINDOW:?}, allowed {allowed}: {period:?}"
            ));
        }
    }
    violations
}

/// Whether a router was not disrupted at a time and shortly before.
fn is_in_touch(router_index: usize, at: Instant, disruptions: &[Disruption]) -> bool {
    !disruptions.iter().any(|disruption| {
        disruption.router_index == router_index
            && at >= disruption.started_at
            && at <= disruption.ended_at + DISRUPTION_AFTERMATH
    })
}

/// Whether neither the router of a request nor the store was disturbed while it was handled, or shortly before.
pub fn is_undisturbed(
    request: &RequestRecord,
    disruptions: &[Disruption],
    interferences: &[Interference],
) -> bool {
    let router = request.router_index;
    [request.started_at, request.ended_at].into_iter().all(|at| {
        is_in_touch(router, at, disruptions)
            && !interferences.iter().any(|fault| fault.affects(Scope::Router(router), at))
    })
}

/// Checks that an undisrupted router responds in time unless it sheds connections, and that a router shutting down responds to
/// every request that it forwarded.
fn missing_response(
    request: &RequestRecord,
    ledger: &Ledger,
    disruptions: &[Disruption],
    sheds: &Sheds,
) -> Option<String> {
    let overlaps = |disruption: &&Disruption| {
        disruption.router_index == request.router_index
            && request.ended_at >= disruption.started_at
            && request.started_at <= disruption.ended_at + DISRUPTION_AFTERMATH
    };
    let overlapping: Vec<&Disruption> = disruptions.iter().filter(overlaps).collect();
    if overlapping.iter().any(|disruption| !disruption.is_graceful_shutdown) {
        return None;
    }
    let executed = !ledger.runs(&request.id).is_empty();
    let took = request.ended_at - request.started_at;
    match request.outcome {
        Outcome::TimedOut if overlapping.is_empty() => {
            Some("no response after the deadline".into())
        }
        Outcome::Closed if !executed && sheds.excuse(request) => None,
        Outcome::Closed if overlapping.is_empty() || executed => {
            Some(format!("closed without a response after {took:?}, executed: {executed}"))
        }
        Outcome::NoConnection if overlapping.is_empty() => Some("no connection".into()),
        _ => None,
    }
}
