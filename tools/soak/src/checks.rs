//! Guarantees that must hold for each request regardless of the injected faults.

use crate::callers::{Asked, End, Kind};
use corianderstand_platform_standins::{ledger::Ledger, target::EVENTS};
use http::StatusCode;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Statuses that guarantee that a request was not and will not be executed.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Time after a disruption during which the router's connections may still fail.
const AFTERMATH: Duration = Duration::from_secs(3);

/// Disruption of a router by an injected fault.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Index of the router.
    pub router: usize,
    /// Start time.
    pub from: Instant,
    /// End time.
    pub to: Instant,
    /// Whether it was a graceful shutdown.
    pub planned: bool,
}

/// Violated guarantees and request counts.
#[derive(Debug, Default)]
pub struct Report {
    /// Descriptions of the violations.
    pub broken: Vec<String>,
    /// Number of requests by outcome.
    pub ends: BTreeMap<String, usize>,
}

/// Checks the guarantees that hold even if the router was disrupted. Also called during a run, so
/// that violations are printed next to the faults that caused them.
pub fn broken(one: &Asked, ledger: &Ledger) -> Vec<String> {
    let faults = [
        ran_twice(one, ledger),
        ran_though_refused(one, ledger),
        other_answer(one, ledger),
        wrong_stream(one),
    ];
    faults.into_iter().flatten().map(|fault| line(&fault, one)).collect()
}

fn line(fault: &str, one: &Asked) -> String {
    format!("{fault}: {} {:?} at router {}", one.id, one.kind, one.router)
}

/// Checks all requests against the ledger of executions.
pub fn check(asked: &[Asked], ledger: &Ledger, troubles: &[Trouble]) -> Report {
    let mut report = Report::default();
    for one in asked {
        *report.ends.entry(name(&one.end)).or_default() += 1;
        report.broken.extend(broken(one, ledger));
        let left = left_without_answer(one, ledger, troubles);
        report.broken.extend(left.map(|fault| line(&fault, one)));
    }
    let known: std::collections::BTreeSet<&str> = asked.iter().map(|one| one.id.as_str()).collect();
    for id in ledger.ids().iter().filter(|id| id.starts_with('c')) {
        if !known.contains(id.as_str()) {
            report.broken.push(format!("ran though nobody asked: {id}"));
        }
    }
    report
}

fn name(end: &End) -> String {
    match end {
        End::Whole(status, _) => status.as_u16().to_string(),
        End::Cut(..) => "cut".into(),
        End::Closed => "closed".into(),
        End::NoConnection => "no connection".into(),
        End::Held => "held".into(),
    }
}

fn ran_twice(one: &Asked, ledger: &Ledger) -> Option<String> {
    let once = matches!(one.kind, Kind::Pay | Kind::Draft);
    let runs = ledger.of(&one.id);
    (once && runs.len() > 1).then(|| format!("ran {} times", runs.len()))
}

fn ran_though_refused(one: &Asked, ledger: &Ledger) -> Option<String> {
    let End::Whole(status, _) = &one.end else { return None };
    let refused = NOT_RUN.contains(&status.as_u16());
    let ran = !ledger.of(&one.id).is_empty();
    // An idempotent request may be rejected after an execution whose response was lost.
    let once = matches!(one.kind, Kind::Pay | Kind::Draft);
    (refused && ran && once).then(|| format!("answered {status} and ran"))
}

fn other_answer(one: &Asked, ledger: &Ledger) -> Option<String> {
    let runs = ledger.of(&one.id);
    let path_differs = runs.iter().any(|run| !run.asked.starts_with("POST /"));
    let model_differs = runs.iter().any(|run| one.kind.streams() && run.model != one.model);
    if path_differs || model_differs {
        return Some(format!("ran as something else: {runs:?}"));
    }
    let End::Whole(StatusCode::OK, body) = &one.end else { return None };
    if runs.is_empty() {
        return Some("answered and never ran".into());
    }
    let body = String::from_utf8_lossy(body);
    let expected = |run: &corianderstand_platform_standins::ledger::Run| {
        run.done && body == format!("{} done by {}", one.id, run.target)
    };
    let wrong = !one.kind.streams() && !runs.iter().any(expected);
    wrong.then(|| format!("another body than its target's: {body:?}"))
}

/// Checks that events arrive in order and once, and that a complete stream has all of them.
fn wrong_stream(one: &Asked) -> Option<String> {
    let (whole, body) = match &one.end {
        End::Whole(StatusCode::OK, body) => (true, body),
        End::Cut(StatusCode::OK, body) => (false, body),
        _ => return None,
    };
    if !one.kind.streams() {
        return None;
    }
    let text = String::from_utf8_lossy(body);
    let expected: String =
        (1..=EVENTS).map(|n| format!("id: {n}\ndata: {} {n}\n\n", one.id)).collect();
    let right = if whole { text == expected } else { expected.starts_with(&*text) };
    (!right).then(|| format!("a stream of other events (whole: {whole}): {text:?}"))
}

/// Checks that an undisrupted router responds in time and that a router shutting down responds to
/// every request that it forwarded.
fn left_without_answer(one: &Asked, ledger: &Ledger, troubles: &[Trouble]) -> Option<String> {
    let meanwhile = |trouble: &&Trouble| {
        trouble.router == one.router
            && one.ended >= trouble.from
            && one.began <= trouble.to + AFTERMATH
    };
    let met: Vec<&Trouble> = troubles.iter().filter(meanwhile).collect();
    if met.iter().any(|trouble| !trouble.planned) {
        return None;
    }
    let ran = !ledger.of(&one.id).is_empty();
    let took = one.ended - one.began;
    match one.end {
        End::Held if met.is_empty() => Some("no answer long after its deadline".into()),
        End::Closed if met.is_empty() || ran => {
            Some(format!("closed without an answer after {took:?}, ran: {ran}"))
        }
        End::NoConnection if met.is_empty() => Some("no connection".into()),
        _ => None,
    }
}
