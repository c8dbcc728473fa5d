//! What the sharing of limits needs to know of the other routers ([`limit_shares`]).
//!
//! A router that is listed in the store counts until it is withdrawn there, heard or not.

use super::{PEER_EXPIRY, PEER_TIMEOUT, Peer, Peers, is_within};
use crate::{dialect, silent_routers::Silent};
use corianderstand_derives::derives;
use corianderstand_fleet::{
    limit_shares::{Router, RouterHash, View},
    removal,
};
use corianderstand_schema::peers;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time in which all routers, followers too, have learnt from the store that another one has come.
const JOIN_TIME: Duration = Duration::from_secs(25);
/// Time for which a router counts that was heard and is in no list, as the store may turn it away.
const UNLISTED_EXPIRY: Duration = Duration::from_secs(600);

/// How a router is known to the sharing of limits.
#[derives(data)]
pub struct Standing {
    /// Whether the store lists it.
    pub is_listed: bool,
    /// Whether it was withdrawn from the store and not listed since.
    pub is_withdrawn: bool,
    /// Since when its entry has been marked as suspected.
    suspected_since: Option<Instant>,
    /// Since when it is known, unless it was listed before this router started.
    known_since: Option<Instant>,
    /// Whom it doesn't hear, and when it reported that.
    unheard: Option<(Instant, BTreeSet<RouterHash>)>,
    /// When its process was found to have ended, unless it was heard since.
    down_since: Option<Instant>,
}

impl Standing {
    /// Of a router that becomes known now.
    pub const fn new(now: Instant) -> Self {
        Self {
            is_listed: false,
            is_withdrawn: false,
            suspected_since: None,
            known_since: Some(now),
            unheard: None,
            down_since: None,
        }
    }

    /// Records that the store lists the router.
    pub const fn record_listed(&mut self, list: &List) {
        (self.is_listed, self.is_withdrawn, self.suspected_since) = (true, false, None);
        if !list.is_read {
            self.known_since = None;
        }
    }

    /// Records that the router's entry is marked as suspected.
    pub fn record_suspected(&mut self, now: Instant) {
        self.is_listed = true;
        self.suspected_since.get_or_insert(now);
    }

    /// Records that the router was withdrawn from the store.
    pub const fn record_withdrawn(&mut self) {
        (self.is_listed, self.is_withdrawn, self.suspected_since) = (false, true, None);
    }

    /// Records that the router was heard.
    pub const fn record_heard(&mut self) {
        self.down_since = None;
    }
}

/// What this router knows of the store's list of routers.
#[derives(data)]
#[derive(Default)]
pub struct List {
    /// Whether it was read as a whole since the start.
    is_read: bool,
    /// Whether it names this router.
    names_own: bool,
    /// Since when the list names this router, unless it did when it was first read.
    named_since: Option<Instant>,
}

impl List {
    /// Whether all other routers have had time to learn of this one.
    fn is_own_settled(&self, now: Instant) -> bool {
        self.names_own && !is_within(now, self.named_since, JOIN_TIME)
    }
}

impl Peers {
    /// Records that the store's list was read to its end.
    pub const fn record_list_read(&mut self) {
        self.list.is_read = true;
    }

    /// Whether the store's list was read to its end since the start.
    pub const fn has_list(&self) -> bool {
        self.list.is_read
    }

    /// Records whether the store's list names this router.
    pub fn record_own_listed(&mut self, now: Instant, is_listed: bool) {
        if is_listed && !self.list.names_own {
            self.list.named_since = self.list.is_read.then_some(now);
        }
        self.list.names_own = is_listed;
    }

    /// Records whom a router does not hear.
    pub fn on_unheard(&mut self, now: Instant, report: &peers::UnheardRouters) {
        let Some(peer) = self.by_name.get_mut(report.router.as_str()) else { return };
        let is_outdated =
            peer.update.as_ref().is_some_and(|last| last.incarnation > report.incarnation);
        if !is_outdated {
            let unheard = report.unheard.iter().copied().map(RouterHash).collect();
            peer.standing.unheard = Some((now, unheard));
        }
    }

    /// The routers that this one should hear and doesn't.
    pub fn unheard(&self, now: Instant) -> BTreeSet<RouterHash> {
        let silent = self.by_name.iter().filter(|(_, peer)| peer.is_unresponsive(now));
        silent.map(|(name, _)| RouterHash::of(name)).collect()
    }

    /// Records that no process runs at a router's address. `asked_at` is when it was asked.
    pub fn record_down(&mut self, asked_at: Instant, addr: SocketAddr) {
        let peers = self.by_name.values_mut().filter(|peer| peer.addr == addr);
        for peer in peers.filter(|peer| peer.last_received_at < Some(asked_at)) {
            peer.standing.down_since = Some(asked_at);
        }
    }

    /// The routers that may use parts of limits. `is_fit` tells of this one.
    pub fn limit_view(&self, now: Instant, is_fit: bool) -> Option<View> {
        let own = self.own.as_ref()?;
        let hash = RouterHash::of(&own.name);
        let others =
            self.by_name.iter().map(|(name, peer)| (name.clone(), peer.limit_router(now, hash)));
        Some(View {
            own: own.name.clone(),
            strength: own.strength,
            is_fit,
            is_settled: self.list.is_own_settled(now),
            others: others.collect(),
        })
    }

    /// The listed routers that are not heard, if this router is the first by name of those that hear each other.
    pub fn silent(&self, now: Instant, list_age: Duration) -> Vec<Silent> {
        let Some(view) = self.limit_view(now, true) else { return Vec::new() };
        let connected = || view.others.iter().filter(|(_, router)| router.is_connected);
        if connected().any(|(name, router)| router.is_fit && *name < view.own) {
            return Vec::new();
        }
        let listed = self.by_name.iter().filter(|(_, peer)| peer.standing.is_listed);
        let silent = listed.map(|(name, peer)| Silent {
            entry: dialect::RouterEntry {
                router: name.clone(),
                addr: peer.addr,
                zone: peer.zone.clone(),
                strength: peer.strength,
                is_suspected: false,
                versions: Default::default(),
            },
            evidence: removal::Evidence {
                silent_for: now.saturating_duration_since(peer.last_active_at()),
                suspected_for: peer
                    .standing
                    .suspected_since
                    .map(|since| now.saturating_duration_since(since)),
                list_age,
                connected: 1 + connected().count(),
                routers: view.parts(),
            },
        });
        silent.collect()
    }

    /// Whether a router that limits are shared with still counts.
    pub(super) fn counts(now: Instant, peer: &Peer) -> bool {
        let standing = &peer.standing;
        if standing.is_listed || !peer.is_unresponsive(now) {
            return true;
        }
        // One that is stopping uses no part, and one that was withdrawn has ended.
        let may_return =
            !standing.is_withdrawn && peer.update.as_ref().is_some_and(|update| update.fit);
        let expiry = if may_return { UNLISTED_EXPIRY } else { PEER_EXPIRY };
        !standing.is_withdrawn && is_within(now, Some(peer.last_active_at()), expiry)
    }
}

impl Peer {
    fn limit_router(&self, now: Instant, own: RouterHash) -> Router {
        let reported = self.standing.unheard.as_ref();
        let reported = reported.filter(|(at, _)| is_within(now, Some(*at), PEER_TIMEOUT));
        let unheard = reported.map(|(_, unheard)| unheard.clone()).unwrap_or_default();
        Router {
            strength: self.strength,
            is_connected: !self.is_unresponsive(now) && !unheard.contains(&own),
            is_fit: self.update.as_ref().is_some_and(|update| update.fit),
            is_down: self.standing.down_since.is_some(),
            is_settled: self.standing.is_listed
                && !is_within(now, self.standing.known_since, JOIN_TIME),
            unheard,
        }
    }
}
