//! Questions to other routers for where a stream began, their answers, and what routers tell without being asked.

use super::{history, keepers, version_of};
use crate::router;
use corianderstand_fleet::{streams, targets};
use corianderstand_schema::peers::{self as wire, PeerMessage};
use corianderstand_types::names;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time for another router's answer, across availability zones and from a busy host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
const MAX_UNANSWERED_QUESTIONS: u32 = 2;
/// Keeps a datagram within the usual maximum transmission unit.
const MAX_ORIGINS_PER_DATAGRAM: usize = 16;

/// Asks a router where a stream began, and for the only version of a service.
pub(super) async fn ask<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    keeper: SocketAddr,
    key: Option<streams::StreamKey>,
    service: &names::ServiceId,
) -> Option<wire::OriginAnswer> {
    let asked_at = shared.clock.now();
    let waiter = shared.continuations.pending.register(shared.incarnation);
    let question = wire::OriginQuestion {
        id: waiter.id(),
        stream: key.map_or(0, |key| key.0),
        service: service.clone(),
    };
    for _ in 0..MAX_UNANSWERED_QUESTIONS {
        shared.outbox.send(keeper, &PeerMessage::OriginAsked(question.clone()));
        if let Some(answer) = waiter.response(ANSWER_TIMEOUT).await {
            if let Some(sole) = non_empty(&answer.sole) {
                let mut history = shared.continuations.history.borrow_mut();
                history.record_sole(asked_at, service, &sole);
            }
            return Some(answer);
        }
    }
    tracing::debug!(%keeper, "a router did not answer where a stream began");
    None
}

/// Answers another router's question.
pub fn on_question<P: router::Platform>(
    shared: &router::Shared<P>,
    now: Instant,
    from: SocketAddr,
    question: &wire::OriginQuestion,
) {
    let key = streams::StreamKey(question.stream);
    let known = {
        let origins = shared.continuations.origins.borrow();
        origins.get(now, key).map(|(origin, _)| {
            let version = version_of(shared, origin);
            to_wire(key, &streams::Origin { version, ..origin.clone() })
        })
    };
    let sole = history::sole_version(shared, &question.service).map(|version| version.0);
    let answer = wire::OriginAnswer {
        id: question.id,
        known: known.into_iter().collect(),
        sole: sole.unwrap_or_default(),
    };
    shared.outbox.send(from, &PeerMessage::OriginAnswer(answer));
}

/// Passes an answer to the request that waits for it.
pub fn on_answer<P>(shared: &router::Shared<P>, answer: wire::OriginAnswer) {
    shared.continuations.pending.resolve(answer.id, answer);
}

/// Remembers where streams of another router began.
pub fn on_origins<P>(shared: &router::Shared<P>, now: Instant, origins: wire::StreamOrigins) {
    let mut kept = shared.continuations.origins.borrow_mut();
    let mut history = shared.continuations.history.borrow_mut();
    for (key, origin) in origins.streams.into_iter().map(from_wire) {
        history.record(now, &origin.service, &origin.target.id, origin.version.as_ref());
        kept.record(now, key, origin);
    }
}

/// Tells the routers that keep them where streams began.
pub(super) fn tell<P: router::Platform>(
    shared: &router::Shared<P>,
    origins: impl Iterator<Item = (streams::StreamKey, streams::Origin)>,
) {
    let mut by_keeper: BTreeMap<SocketAddr, Vec<wire::StreamOrigin>> = BTreeMap::new();
    for (key, origin) in origins {
        for keeper in keepers::to_tell(shared, key) {
            by_keeper.entry(keeper).or_default().push(to_wire(key, &origin));
        }
    }
    for (keeper, origins) in by_keeper {
        for streams in origins.chunks(MAX_ORIGINS_PER_DATAGRAM) {
            let message = wire::StreamOrigins { streams: streams.to_vec() };
            shared.outbox.send(keeper, &PeerMessage::StreamsBegan(message));
        }
    }
}

pub(super) fn non_empty(version: &smol_str::SmolStr) -> Option<names::SoftwareVersion> {
    (!version.is_empty()).then(|| names::SoftwareVersion(version.clone()))
}

fn to_wire(key: streams::StreamKey, origin: &streams::Origin) -> wire::StreamOrigin {
    wire::StreamOrigin {
        stream: key.0,
        service: origin.service.clone(),
        target: origin.target.id.clone(),
        born: origin.target.started_at_ms,
        version: origin.version.as_ref().map(|version| version.0.clone()).unwrap_or_default(),
    }
}

pub(super) fn from_wire(origin: wire::StreamOrigin) -> (streams::StreamKey, streams::Origin) {
    let wire::StreamOrigin { stream, service, target, born, version } = origin;
    let target = targets::Incarnation { id: target, started_at_ms: born };
    let version = non_empty(&version);
    (streams::StreamKey(stream), streams::Origin { service, target, version })
}
