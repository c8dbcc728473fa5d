//! Targets that leave: no request may reach them once the routers had time to learn of it.

use crate::callers::{Outcome, RequestRecord};
use corianderstand_platform_standins::ledger::{Arrival, LeavingTarget, Ledger};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time without interference after which a router and the store are in touch.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Late requests that a violation names.
const MAX_NAMED: usize = 5;

/// What an interference affects.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scope {
    /// All routers, or the store.
    All,
    /// A router, or its links.
    Router(usize),
    /// The link to an engine.
    Engine(usize),
}

/// A fault during which, and shortly after which, requests may reach a leaving target late.
#[derive(Clone, Copy, Debug)]
pub struct Interference {
    pub scope: Scope,
    pub started_at: Instant,
    pub ended_at: Instant,
}

impl Interference {
    /// Whether it affects a scope at a time.
    pub fn affects(&self, scope: Scope, at: Instant) -> bool {
        (self.scope == Scope::All || self.scope == scope)
            && at >= self.started_at
            && at <= self.ended_at + STABLE_TIME
    }
}

/// A start or a freeze of a router: what it was told before may be lost.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    pub router: usize,
    pub started_at: Instant,
    pub ended_at: Instant,
}

impl Restart {
    /// Whether it lies in a time of a router, or overlaps it.
    pub fn excuses(&self, router: usize, from: Instant, to: Instant) -> bool {
        self.router == router && self.started_at <= to && self.ended_at >= from
    }
}

/// What happened in a run.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    pub requests: &'a [RequestRecord],
    pub ledger: &'a Ledger,
    pub interferences: &'a [Interference],
}

#[derive(Debug, Default)]
pub struct LeavingReport {
    pub violations: Vec<String>,
    /// Time from the store's acknowledgement of each leaving to the last request that reached the target.
    pub delays: Vec<Duration>,
}

impl Observed<'_> {
    /// Checks that no request reaches a target later than `within` after the store accepted its leaving.
    pub fn check(&self, within: Duration) -> LeavingReport {
        let senders: BTreeMap<&str, &RequestRecord> =
            self.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        let arrivals = self.ledger.arrivals();
        let mut report = LeavingReport::default();
        for leaving in
            self.ledger.leaving().into_iter().flat_map(|leaving| known_spans(&leaving, within))
        {
            if self.is_affected(Scope::All, leaving.acknowledged_at) {
                continue;
            }
            let counted: Vec<&Arrival> = arrivals
                .iter()
                .filter(|arrival| is_after(arrival, &leaving) && self.counts(arrival, &senders))
                .collect();
            let delay = |arrival: &Arrival| arrival.at - leaving.acknowledged_at;
            report.delays.extend(counted.iter().map(|arrival| delay(arrival)).max());
            let late: Vec<&Arrival> =
                counted.into_iter().filter(|arrival| delay(arrival) > within).collect();
            if !late.is_empty() {
                let named = late.iter().take(MAX_NAMED);
                let named: Vec<String> = named
                    .map(|arrival| describe(arrival, delay(arrival), &senders, &arrivals))
                    .collect();
                report.violations.push(format!(
                    "{} requests reached {} later than {within:?} after its leaving: {}",
                    late.len(),
                    leaving.target,
                    named.join("; ")
                ));
            }
        }
        report
    }

    /// Checks that no request that a caller sent to a router later than `within` after that router passed on an answer
    /// of a target that says that it is leaving reaches the target, in touch or not.
    pub fn check_answered(&self, within: Duration, restarts: &[Restart]) -> Vec<String> {
        let senders: BTreeMap<&str, &RequestRecord> =
            self.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        let mut told: BTreeMap<(String, usize), Instant> = BTreeMap::new();
        for answer in self.ledger.leaving_answers() {
            let Some(request) = senders.get(answer.id.as_str()) else { continue };
            if !matches!(request.outcome, Outcome::Complete(..)) {
                continue;
            }
            let at = told.entry((answer.target, request.router_index)).or_insert(request.ended_at);
            *at = request.ended_at.min(*at);
        }
        let late = self.ledger.arrivals().into_iter().filter_map(|arrival| {
            let sender = senders.get(arrival.id.as_str())?;
            let router = sender.router_index;
            let told_at = *told.get(&(arrival.target.clone(), router))?;
            let is_late = !arrival.is_misdirected && sender.started_at > told_at + within;
            let is_excused =
                restarts.iter().any(|restart| restart.excuses(router, told_at, arrival.at));
            let after = sender.started_at.saturating_duration_since(told_at);
            (is_late && !is_excused)
                .then(|| format!("{} sent {after:?} after router {router} passed on an answer of {} that says that it leaves", arrival.id, arrival.target))
        });
        late.collect()
    }

    fn is_affected(&self, scope: Scope, at: Instant) -> bool {
        self.interferences.iter().any(|interference| interference.affects(scope, at))
    }

    /// Whether an arrival was taken and sent by a router in touch, over an unimpaired link.
    fn counts(&self, arrival: &Arrival, senders: &BTreeMap<&str, &RequestRecord>) -> bool {
        let Some(sender) = senders.get(arrival.id.as_str()) else { return false };
        let router = Scope::Router(sender.router_index);
        let link = engine_index(&arrival.target).map(Scope::Engine);
        !self.is_affected(router, sender.started_at)
            && !self.is_affected(router, arrival.at)
            && !link.is_some_and(|link| self.is_affected(link, arrival.at))
    }
}

/// The times in which routers must know of a leaving: from the store's last acknowledgement, and from the first one if it
/// was lost only after routers had time to learn of it.
fn known_spans(leaving: &LeavingTarget, within: Duration) -> Vec<LeavingTarget> {
    let first = leaving
        .lost_at
        .filter(|lost_at| *lost_at > leaving.first_acknowledged_at + within + STABLE_TIME);
    if first.is_some() {
        let acknowledged_at = leaving.first_acknowledged_at;
        return vec![LeavingTarget { acknowledged_at, ..leaving.clone() }];
    }
    if leaving.is_lost { Vec::new() } else { vec![leaving.clone()] }
}

fn is_after(arrival: &Arrival, leaving: &LeavingTarget) -> bool {
    !arrival.is_misdirected
        && arrival.target == leaving.target
        && arrival.at > leaving.acknowledged_at
        && leaving.ended_at.is_none_or(|ended_at| arrival.at <= ended_at)
}

/// Index of an engine, from its name.
pub fn engine_index(target: &str) -> Option<usize> {
    target.strip_prefix("engine-")?.split('-').next()?.parse().ok()
}

fn describe(
    arrival: &Arrival,
    delay: Duration,
    senders: &BTreeMap<&str, &RequestRecord>,
    arrivals: &[Arrival],
) -> String {
    let router = senders.get(arrival.id.as_str()).map(|sender| sender.router_index);
    let sent_before = arrivals.iter().any(|other| other.id == arrival.id && other.at < arrival.at);
    let way = match (arrival.is_resumed, sent_before) {
        (true, _) => "resumed",
        (false, true) => "sent again",
        (false, false) => "first sent",
    };
    format!("{} after {delay:?} from router {router:?}, {way}", arrival.id)
}

/// The middle, the 99th percentile and the longest of the delays.
pub fn summarize(delays: &mut [Duration]) -> Option<String> {
    delays.sort_unstable();
    let longest = delays.last()?;
    let quantile = |per_100: usize| delays[(delays.len() - 1) * per_100 / 100];
    Some(format!(
        "last request after a leaving, {} leavings: middle {:?}, 99 in 100 {:?}, longest {longest:?}",
        delays.len(),
        quantile(50),
        quantile(99)
    ))
}
