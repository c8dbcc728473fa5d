//! Proof that the configuration in force is complete, from reads of the store and from other routers
//! ([`corianderstand_fleet::freshness`]).
//!
//! A router whose store turns it away, or that follows other routers, asks its peers. An unsolicited
//! report would prove nothing: it may have waited in the socket of a router that stood still.

use crate::{dialect::Subject, peers, readers, replicated_records::Progress, router};
use corianderstand_fleet::freshness;
use corianderstand_schema::peers::{self as wire, PeerMessage, StoreUse};
use corianderstand_types::position::{Era, Position};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::Notify;
use xxhash_rust::xxh3;

/// Share of the limit for revocations from which peers are asked for a younger proof, and the same of the
/// time for changes.
const ASK_AGE_RATIOS: [f64; 2] = [0.4, 0.7];
/// Shares of these for which a read of the configuration waits for a change.
const LONG_POLL_RATIOS: [f64; 2] = [0.2, 0.35];
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Limits the questions that requests cause.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(30);
const ASKED_PEERS: usize = 2;
/// Time in which a peer's answer is expected, from a busy host too.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// A router's proof and the questions about it.
#[derive(Default)]
pub struct State {
    freshness: RefCell<freshness::Freshness>,
    changed: Notify,
    wanted: Notify,
    /// Since when the proof has been too old for the requests that arrive.
    too_old_since: Cell<Option<Instant>>,
}

/// Starts asking peers whenever the proof grows old.
pub fn start<P: router::Platform>(shared: &Rc<router::Shared<P>>) {
    tokio::task::spawn_local(run(shared.clone()));
}

async fn run<P: router::Platform>(shared: Rc<router::Shared<P>>) {
    let mut round = 0;
    loop {
        let wanted = shared.config_proof.wanted.notified();
        drop(tokio::time::timeout(ASK_INTERVAL, wanted).await);
        let max_age = shares(&shared, ASK_AGE_RATIOS);
        if max_age.is_some_and(|max_age| !is_proven_within(&shared, max_age)) {
            round += 1;
            ask(&shared, round);
        }
        tokio::time::sleep(MIN_ASK_INTERVAL).await;
    }
}

fn ask<P: router::Platform>(shared: &router::Shared<P>, round: u64) {
    for peer in peers_to_ask(shared, round) {
        let id = shared.config_proof.freshness.borrow_mut().ask(shared.clock.since_boot());
        shared.outbox.send(peer, &PeerMessage::FreshnessAsked(wire::FreshnessQuestion { id }));
    }
}

/// The routers that read the store for this one, then others; a different choice each round.
fn peers_to_ask<P: router::Platform>(shared: &router::Shared<P>, round: u64) -> Vec<SocketAddr> {
    let now = shared.clock.now();
    let peers = shared.peers.borrow();
    let has_store = |peer: &peers::Peer| {
        peer.update.as_ref().is_some_and(|update| update.store != StoreUse::Lost)
    };
    let rank = |name: &str| {
        let key = format!("{} {name}", shared.settings.name);
        xxh3::xxh3_64_with_seed(key.as_bytes(), round)
    };
    let mut others: Vec<_> =
        peers.live(now).map(|(name, peer)| ((!has_store(peer), rank(name)), peer.addr)).collect();
    others.sort_unstable();
    let reader = match shared.role(now) {
        readers::Role::Follows(readers) => readers.into_iter().next(),
        _ => None,
    };
    let others = others.into_iter().map(|(_, addr)| addr).filter(|addr| Some(*addr) != reader);
    reader.into_iter().chain(others).take(ASKED_PEERS).collect()
}

/// Answers a peer's question; without a proof there is nothing to answer.
pub fn on_question<P: router::Platform>(
    shared: &router::Shared<P>,
    from: SocketAddr,
    question: &wire::FreshnessQuestion,
) {
    let Some(age) = age(shared) else { return };
    let known = shared.replicated_records.borrow().progress(Subject::Config);
    let answer = wire::ConfigProof {
        id: question.id,
        era: known.next.era().0,
        config_next: known.next.offset(),
        config_version: known.config_version,
        age_ms: u32::try_from(age.as_millis() + 1).unwrap_or(u32::MAX),
    };
    shared.outbox.send(from, &PeerMessage::ConfigProven(answer));
}

/// Applies a peer's answer. In another era than this router's it says nothing of the records that this one reads.
pub fn on_answer<P: router::Platform>(shared: &router::Shared<P>, answer: &wire::ConfigProof) {
    let known = shared.replicated_records.borrow().progress(Subject::Config);
    let peer = Progress {
        config_version: answer.config_version,
        next: Position::new(Era(answer.era), answer.config_next),
    };
    let answer = freshness::Answer {
        id: answer.id,
        is_known: peer.next.era() == known.next.era() && !peer.is_ahead_of(&known),
        age: Duration::from_millis(u64::from(answer.age_ms)),
    };
    if shared.config_proof.freshness.borrow_mut().apply(&answer) {
        shared.config_proof.changed.notify_waiters();
    }
}

/// Records a read of the store, sent at a time since boot, that returned everything up to the log's end. It proves
/// nothing while a configuration may be missing that was acknowledged before the store came back from a copy.
pub fn record_read<P: router::Platform>(shared: &router::Shared<P>, sent_at: Duration) {
    if shared.replicated_records.borrow().is_recovering(shared.clock.now()) {
        return;
    }
    shared.config_proof.freshness.borrow_mut().record_read(sent_at);
    shared.config_proof.changed.notify_waiters();
}

/// Records whether the newest configuration could be applied.
pub fn record_applied<P: router::Platform>(shared: &router::Shared<P>, is_applied: bool) {
    shared.config_proof.freshness.borrow_mut().record_applied(is_applied);
}

/// Age of the proof; none without a proof.
pub fn age<P: router::Platform>(shared: &router::Shared<P>) -> Option<Duration> {
    shared.config_proof.freshness.borrow().age(shared.clock.since_boot())
}

/// Whether the proof is at most this old.
pub fn is_proven_within<P: router::Platform>(
    shared: &router::Shared<P>,
    max_age: Duration,
) -> bool {
    let freshness = shared.config_proof.freshness.borrow();
    freshness.is_proven_within(shared.clock.since_boot(), max_age)
}

/// Waits for a younger proof, unless requests have waited in vain for it lately.
pub async fn wait_for_younger<P: router::Platform>(shared: &router::Shared<P>, max_age: Duration) {
    let state = &shared.config_proof;
    let changed = state.changed.notified();
    tokio::pin!(changed);
    changed.as_mut().enable();
    if is_proven_within(shared, max_age) {
        state.too_old_since.set(None);
        return;
    }
    let now = shared.clock.now();
    let since = state.too_old_since.get().unwrap_or(now);
    state.too_old_since.set(Some(since));
    state.wanted.notify_one();
    if now.saturating_duration_since(since) < ANSWER_TIME {
        drop(tokio::time::timeout(ANSWER_TIME, changed).await);
    }
    if is_proven_within(shared, max_age) {
        state.too_old_since.set(None);
    }
}

/// How long a read of the configuration waits for a change, if a proof is needed.
pub fn long_poll_wait<P: router::Platform>(shared: &router::Shared<P>) -> Option<Duration> {
    shares(shared, LONG_POLL_RATIOS)
}

/// The lesser of the shares of the limit for revocations and of the time for changes; none if requests need
/// no credential.
fn shares<P: router::Platform>(shared: &router::Shared<P>, ratios: [f64; 2]) -> Option<Duration> {
    let view = shared.view.borrow();
    view.route_table.as_ref()?.workspaces()?;
    let bounds = shared.bounds.borrow();
    let for_changes = bounds.config_within.mul_f64(ratios[1]);
    let for_revocations = bounds.revoke_within.map(|within| within.mul_f64(ratios[0]));
    Some(for_revocations.map_or(for_changes, |within| within.min(for_changes)))
}
