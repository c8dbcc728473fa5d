//! Checks of the events of streams, also of those that callers take up again at other routers.

use crate::callers::{Outcome, RequestRecord};
use bytes::Bytes;
use corianderstand_platform_standins::{ledger::Ledger, target::EVENTS_PER_STREAM};
use http::StatusCode;
use std::collections::{BTreeMap, BTreeSet};

/// Streams that may hold events of two software versions.
const MAX_MIXED_STREAMS: usize = 2;

/// Where a caller takes up a stream.
#[derive(Clone, Debug)]
pub struct TakeUp {
    /// Id of the request that brought the first event.
    pub began: String,
    /// The last event that the caller has.
    pub last_event: u64,
}

/// What a caller takes up after a request, if its stream broke off after an event; else what it took up before.
pub fn take_up(id: &str, before: Option<&TakeUp>, outcome: &Outcome) -> Option<TakeUp> {
    let (Outcome::Truncated(StatusCode::OK, body), first) = (outcome, first_event(before)) else {
        return before.cloned();
    };
    let Some(last_event) = versions(id, first, body).0.len().checked_sub(1) else {
        return before.cloned();
    };
    let began = before.map_or(id, |before| &before.began).to_owned();
    Some(TakeUp { began, last_event: first + last_event as u64 })
}

fn first_event(take_up: Option<&TakeUp>) -> u64 {
    take_up.map_or(1, |take_up| take_up.last_event + 1)
}

/// The version of each whole event from `first` on, and what follows the last one that is as expected.
fn versions<'a>(id: &str, first: u64, body: &'a Bytes) -> (Vec<&'a str>, &'a str) {
    let mut rest = std::str::from_utf8(body).unwrap_or("not UTF-8");
    let mut versions = Vec::new();
    for number in first.. {
        let event = rest.strip_prefix(event_start(id, number).as_str());
        let Some((version, after)) = event.and_then(|event| event.split_once("\n\n")) else {
            break;
        };
        versions.push(version);
        rest = after;
    }
    (versions, rest)
}

fn event_start(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number} ")
}

/// Checks that events arrive in order and once, and that a complete stream has all of them.
pub fn wrong_stream(request: &RequestRecord) -> Option<String> {
    let (complete, body) = match &request.outcome {
        Outcome::Complete(StatusCode::OK, body) => (true, body),
        Outcome::Truncated(StatusCode::OK, body) => (false, body),
        _ => return None,
    };
    if !request.kind.streams() {
        return None;
    }
    let first = first_event(request.take_up.as_ref());
    let (versions, rest) = versions(&request.id, first, body);
    let next = first + versions.len() as u64;
    let start = event_start(&request.id, next);
    let correct = if complete {
        next == EVENTS_PER_STREAM + 1 && rest.is_empty()
    } else {
        next <= EVENTS_PER_STREAM + 1 && (start.starts_with(rest) || rest.starts_with(&start))
    };
    (!correct).then(|| {
        format!("wrong events in the stream from {first} on (complete: {complete}): {body:?}")
    })
}

/// Runs that went on from copies, and those of them that came to their end.
pub fn moved(requests: &[RequestRecord], ledger: &Ledger) -> (usize, usize) {
    let runs = requests.iter().flat_map(|request| ledger.runs(&request.id));
    let moved: Vec<_> = runs.filter(|run| run.goes_on).collect();
    (moved.len(), moved.iter().filter(|run| run.finished).count())
}

/// What became of streams that callers took up.
#[derive(Debug, Default)]
pub struct TakenUp {
    /// Requests that took up a stream.
    pub requests: usize,
    /// Those that brought an event.
    pub went_on: usize,
    /// Streams with events of two versions.
    pub mixed: Vec<String>,
}

impl TakenUp {
    /// Counts the streams of all requests.
    pub fn count(requests: &[RequestRecord]) -> Self {
        let mut taken_up = Self::default();
        let mut by_stream: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for request in requests.iter().filter(|request| request.kind.streams()) {
            let (Outcome::Complete(StatusCode::OK, body)
            | Outcome::Truncated(StatusCode::OK, body)) = &request.outcome
            else {
                taken_up.requests += usize::from(request.take_up.is_some());
                continue;
            };
            let take_up = request.take_up.as_ref();
            let (versions, _) = versions(&request.id, first_event(take_up), body);
            if take_up.is_some() {
                taken_up.requests += 1;
                taken_up.went_on += usize::from(!versions.is_empty());
            }
            let stream = take_up.map_or(request.id.as_str(), |take_up| &take_up.began);
            by_stream.entry(stream).or_default().extend(versions);
        }
        let mixed = by_stream.into_iter().filter(|(_, versions)| versions.len() > 1);
        taken_up.mixed = mixed.map(|(id, versions)| format!("{id}: {versions:?}")).collect();
        taken_up
    }

    /// The violation, if too many streams hold events of two software versions.
    pub fn violation(&self) -> Option<String> {
        (self.mixed.len() > MAX_MIXED_STREAMS)
            .then(|| format!("streams with events of two software versions: {:?}", self.mixed))
    }
}
