//! Membership of the other routers, and selection of the planner.
//!
//! The strongest responsive router that is fit to plan is the planner. No election is needed: if there
//! are two, each agent follows the one of higher rank. Only the planner receives the demand of each
//! router, as broadcasts would saturate slow links.
//!
//! In large deployments a router hears only its contacts ([`hubs`]). The others count as responsive, because
//! nothing tells otherwise, until they are expected to send updates and send none.

mod limit_view;

use crate::{dialect, hubs, readers, replicated_records::Progress};
use corianderstand_derives::derives;
use corianderstand_fleet::demand;
use corianderstand_schema::peers;
use corianderstand_types::{
    names,
    position::{Era, Position},
};
use smol_str::SmolStr;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// Spans four updates of the planner, so that packet loss alone does not cause a change.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Each router sends a hello every second.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_600);
const PEER_EXPIRY: Duration = Duration::from_secs(30);
/// Limits the cost of selecting hubs while routers come and go.
const HUB_SELECTION_INTERVAL: Duration = Duration::from_millis(200);

/// Order of routers for selecting the planner: by strength, then by least name.
#[derives(name)]
pub struct Rank {
    strength: u32,
    name: std::cmp::Reverse<SmolStr>,
}

impl Rank {
    /// Creates the rank of a router.
    pub fn new(strength: u32, name: &str) -> Self {
        Self { strength, name: std::cmp::Reverse(name.into()) }
    }
}

/// This router, as the other routers know it.
#[derives(data)]
pub struct Own {
    /// Its name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: names::AvailabilityZoneId,
    /// Its processor capacity, in thousandths of a core.
    pub strength: u32,
    /// Its address for datagrams and transfers.
    pub addr: SocketAddr,
}

impl Own {
    fn rank(&self) -> Rank {
        Rank::new(self.strength, &self.name)
    }
}

/// Another router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address for datagrams and transfers.
    pub addr: SocketAddr,
    /// Its availability zone, if known.
    pub zone: Option<names::AvailabilityZoneId>,
    /// Its processor capacity, in thousandths of a core.
    pub strength: u32,
    /// When its last update was received.
    pub last_received_at: Option<Instant>,
    /// Its last update.
    pub update: Option<peers::RouterUpdate>,
    /// How far it knows the store's records, if it told.
    records: Option<peers::RecordsUpdate>,
    announced_at: Instant,
    /// When the first update of its current incarnation was received.
    incarnation_seen_at: Option<Instant>,
    /// When it last sent an update and expected this router's in return.
    greeted_at: Option<Instant>,
    /// Since when its updates are expected; none while it is not expected to send any.
    expected_since: Option<Instant>,
    /// Whether it has sent nothing since its updates were expected in vain.
    is_suspect: bool,
    standing: limit_view::Standing,
}

impl Peer {
    fn new(now: Instant, addr: SocketAddr) -> Self {
        Self {
            addr,
            zone: None,
            strength: 0,
            last_received_at: None,
            update: None,
            records: None,
            announced_at: now,
            incarnation_seen_at: None,
            greeted_at: None,
            expected_since: None,
            is_suspect: false,
            standing: limit_view::Standing::new(now),
        }
    }

    fn last_active_at(&self) -> Instant {
        self.last_received_at.unwrap_or(self.announced_at).max(self.announced_at)
    }

    /// How far it knows a subject. A router of an earlier version tells no era: its offsets count as of `era`.
    fn progress(&self, subject: dialect::Subject, era: Era) -> Option<Progress> {
        let update = self.update.as_ref()?;
        let (config_version, era, offsets) = match &self.records {
            Some(records) => (
                records.config_version,
                Era(records.era),
                [records.config_next, records.targets_next, records.routers_next],
            ),
            None => (0, era, [update.config_next, update.targets_next, update.routers_next]),
        };
        let [config_next, targets_next, routers_next] =
            offsets.map(|offset| Position::new(era, offset));
        Some(match subject {
            dialect::Subject::Config => Progress { config_version, next: config_next },
            dialect::Subject::Targets => Progress { config_version: 0, next: targets_next },
            dialect::Subject::Routers => Progress { config_version: 0, next: routers_next },
        })
    }

    fn is_unresponsive(&self, now: Instant) -> bool {
        !is_within(now, self.last_received_at, PEER_TIMEOUT)
    }

    fn expect(&mut self, now: Instant, is_expected: bool) {
        if !is_expected {
            self.expected_since = None;
            return;
        }
        let since = *self.expected_since.get_or_insert(now);
        let since = self.last_received_at.map_or(since, |at| at.max(since));
        self.is_suspect |= !is_within(now, Some(since), PEER_TIMEOUT);
    }
}

fn is_within(now: Instant, at: Option<Instant>, time: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < time)
}

/// The router that plans.
#[derives(key)]
pub enum Planner {
    /// This router.
    Own,
    /// Another router, at this address if it is known.
    Other(Option<SocketAddr>),
}

/// Where a message for all routers is sent.
#[derives(data)]
#[derive(Default)]
pub struct FanOut {
    /// Routers that receive it directly.
    pub direct: Vec<SocketAddr>,
    /// Hubs that pass it on to the routers of their zone.
    pub relays: Vec<SocketAddr>,
}

/// The other routers.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    own: Option<Own>,
    by_name: BTreeMap<SmolStr, Peer>,
    needs_mesh: bool,
    is_mesh: bool,
    hubs: hubs::Hubs,
    /// The hubs if no router were suspect. They are greeted, so that two routers that suspect each other after
    /// both were cut off hear of each other again.
    hubs_with_suspects: hubs::Hubs,
    selected_at: Option<Instant>,
    list: limit_view::List,
}

impl Peers {
    /// Creates a list without other routers.
    pub fn new(own: Own) -> Self {
        Self { own: Some(own), is_mesh: true, ..Self::default() }
    }

    /// Sets whether each router has to hear all others, whatever their number.
    pub fn set_needs_mesh(&mut self, needs_mesh: bool) {
        self.needs_mesh = needs_mesh;
        self.selected_at = None;
    }

    /// Whether each router has to hear all others, as they share limits.
    pub const fn needs_mesh(&self) -> bool {
        self.needs_mesh
    }

    /// Adds a router, or changes its address.
    pub fn add(&mut self, now: Instant, name: SmolStr, addr: SocketAddr) -> &mut Peer {
        let selected_at = &mut self.selected_at;
        let peer = self.by_name.entry(name).or_insert_with(|| {
            *selected_at = None;
            Peer::new(now, addr)
        });
        peer.addr = addr;
        peer.announced_at = now;
        peer
    }

    /// Adds a router that the store lists.
    pub fn add_announced(&mut self, now: Instant, entry: dialect::RouterEntry) {
        let dialect::RouterEntry { router, addr, zone, strength, is_suspected, .. } = entry;
        let list = self.list.clone();
        if is_suspected && let Some(peer) = self.by_name.get_mut(&router) {
            peer.standing.record_suspected(now);
            return;
        }
        let peer = self.add(now, router, addr);
        peer.standing.record_listed(&list);
        if is_suspected {
            peer.standing.record_suspected(now);
        }
        if zone.is_some() {
            (peer.zone, peer.strength) = (zone, strength);
        }
    }

    /// Removes a router that has stopped, unless it has started again meanwhile and is heard.
    pub fn remove(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.standing.record_withdrawn();
        }
        self.by_name.retain(|other, peer| other != name || !peer.is_unresponsive(now));
        self.selected_at = None;
    }

    /// Records an update, unless it is of an earlier incarnation. After a timeout any incarnation is
    /// accepted, as a clock set back makes a restarted router look older. Returns whether it is the first of its
    /// incarnation.
    pub fn on_update(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        update: peers::RouterUpdate,
    ) -> bool {
        let peer = self.add(now, update.router.0.clone(), addr);
        let unresponsive = peer.is_unresponsive(now);
        if unresponsive
            || peer.update.as_ref().is_none_or(|last| last.incarnation <= update.incarnation)
        {
            let last = peer.update.as_ref().map(|last| last.incarnation);
            let is_new = last != Some(update.incarnation);
            if is_new {
                peer.incarnation_seen_at = Some(now);
            }
            if update.expects_updates {
                peer.greeted_at = Some(now);
            }
            (peer.zone, peer.strength) = (Some(update.zone.clone()), update.strength);
            peer.last_received_at = Some(now);
            peer.standing.record_heard();
            peer.update = Some(update);
            if std::mem::take(&mut peer.is_suspect) {
                self.selected_at = None;
            }
            return is_new;
        }
        false
    }

    /// Selects the hubs anew if the routers may have changed, and updates whose updates are expected.
    pub fn select_hubs(&mut self, now: Instant) {
        if is_within(now, self.selected_at, HUB_SELECTION_INTERVAL) {
            return;
        }
        self.selected_at = Some(now);
        self.is_mesh = self.needs_mesh || self.by_name.len() < hubs::MAX_MESH_ROUTERS;
        let Some(own) = self.own.clone().filter(|_| !self.is_mesh) else {
            self.by_name.values_mut().for_each(|peer| peer.expect(now, false));
            return;
        };
        let candidate = |name: &SmolStr, zone: &names::AvailabilityZoneId, strength| {
            let rank = Rank::new(strength, name);
            hubs::Candidate { name: name.clone(), zone: zone.clone(), rank }
        };
        let select = |with_suspects: bool| {
            let others = self.by_name.iter().filter(|(_, p)| with_suspects || !p.is_suspect);
            let others =
                others.filter_map(|(name, p)| Some(candidate(name, p.zone.as_ref()?, p.strength)));
            let own_candidate = candidate(&own.name, &own.zone, own.strength);
            hubs::Hubs::select(others.chain([own_candidate]))
        };
        (self.hubs, self.hubs_with_suspects) = (select(false), select(true));
        for (name, peer) in &mut self.by_name {
            let is_contact = is_contact(&self.hubs, &own, name, peer);
            peer.expect(now, is_contact);
        }
    }

    /// Whether each router sends its status to all others, and agents to all routers.
    pub const fn is_mesh(&self) -> bool {
        self.is_mesh
    }

    /// When the first update of a router's current incarnation was received.
    pub fn incarnation_seen_at(&self, name: &str) -> Option<Instant> {
        self.by_name.get(name)?.incarnation_seen_at
    }

    /// The address of another router, if it is known.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.by_name.get(name).map(|peer| peer.addr)
    }

    /// Addresses of all known routers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.by_name.values().map(|peer| peer.addr)
    }

    /// The routers that this one exchanges status with.
    pub fn contacts(&self, now: Instant) -> Vec<SocketAddr> {
        let contacts = self.by_name.iter().filter(|(name, peer)| {
            self.is_contact(name, peer) || is_within(now, peer.greeted_at, PEER_TIMEOUT)
        });
        contacts.map(|(_, peer)| peer.addr).collect()
    }

    /// The hubs of all zones, or all routers without hubs.
    pub fn hub_addresses(&self) -> Vec<SocketAddr> {
        let hubs = self.by_name.iter().filter(|(name, peer)| {
            self.is_mesh || peer.zone.as_ref().is_some_and(|zone| self.hubs.is_hub(zone, name))
        });
        hubs.map(|(_, peer)| peer.addr).collect()
    }

    /// The other routers of this router's zone.
    pub fn zone_addresses(&self) -> Vec<SocketAddr> {
        let own_zone = self.own.as_ref().map(|own| &own.zone);
        let members = self.by_name.values().filter(|peer| peer.zone.as_ref() == own_zone);
        members.map(|peer| peer.addr).collect()
    }

    /// Some routers of this router's zone, others for each `round`.
    pub fn sample_of_zone(&self, round: u64, count: usize) -> Vec<SocketAddr> {
        let rank = |addr: &SocketAddr| xxh3::xxh3_64_with_seed(addr.to_string().as_bytes(), round);
        let mut addresses = self.zone_addresses();
        addresses.sort_unstable_by_key(rank);
        addresses.truncate(count);
        addresses
    }

    /// Where to send a message for all other routers.
    pub fn fan_out(&self) -> FanOut {
        let Some(own) = self.own.as_ref().filter(|_| !self.is_mesh) else {
            return FanOut { direct: self.addresses().collect(), relays: Vec::new() };
        };
        let mut fan_out = FanOut::default();
        for (zone, relays) in self.hubs.relays() {
            if *zone == own.zone && self.is_relay() {
                fan_out.direct = self.zone_addresses();
            } else {
                fan_out.relays.extend(self.addresses_of(relays));
            }
        }
        fan_out
    }

    /// Where agents send what changes at their engines, besides the planner.
    pub fn report_recipients(&self) -> FanOut {
        if self.is_mesh {
            return self.fan_out();
        }
        let relays = self.hubs.relays().flat_map(|(_, relays)| self.addresses_of(relays));
        FanOut { direct: Vec::new(), relays: relays.collect() }
    }

    /// Addresses of routers, this one among them.
    fn addresses_of(&self, names: &[SmolStr]) -> impl Iterator<Item = SocketAddr> {
        names.iter().filter_map(|name| match &self.own {
            Some(own) if own.name == *name => Some(own.addr),
            _ => Some(self.by_name.get(name)?.addr),
        })
    }

    /// Whether this router passes messages on to the routers of its zone.
    pub fn is_relay(&self) -> bool {
        let Some(own) = self.own.as_ref().filter(|_| !self.is_mesh) else { return false };
        self.hubs.of_zone(&own.zone).iter().take(hubs::RELAY_COUNT).any(|hub| *hub == own.name)
    }

    fn is_contact(&self, name: &str, peer: &Peer) -> bool {
        let Some(own) = self.own.as_ref().filter(|_| !self.is_mesh) else { return true };
        [&self.hubs, &self.hubs_with_suspects]
            .into_iter()
            .any(|hubs| is_contact(hubs, own, name, peer))
    }

    fn is_live(&self, now: Instant, peer: &Peer) -> bool {
        if self.is_mesh || self.own.is_none() {
            return !peer.is_unresponsive(now);
        }
        !peer.is_unresponsive(now) || !peer.is_suspect
    }

    /// Routers that are responsive, or not expected to send updates to this one.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        self.by_name.iter().filter(move |(_, peer)| self.is_live(now, peer))
    }

    /// How late the timers of other routers are, as they reported.
    pub fn delays(&self, now: Instant) -> impl Iterator<Item = Duration> {
        let updates = self.live(now).filter_map(|(_, peer)| peer.update.as_ref());
        updates.map(|update| Duration::from_millis(u64::from(update.delay_ms)))
    }

    /// Routers that greet a router of this zone that starts.
    pub fn greeters(&self, now: Instant) -> impl Iterator<Item = &SmolStr> {
        let zone = self.own.as_ref().map(|own| &own.zone);
        let is_greeter =
            move |name: &str| self.is_mesh || zone.is_some_and(|zone| self.hubs.is_hub(zone, name));
        self.live(now).map(|(name, _)| name).filter(move |name| is_greeter(name))
    }

    /// Routers that sent an update lately.
    fn heard(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        self.by_name.iter().filter(move |(_, peer)| !peer.is_unresponsive(now))
    }

    /// Records how far a router knows the store's records; false if the router is unknown.
    pub fn on_records(&mut self, update: peers::RecordsUpdate) -> bool {
        let peer = self.by_name.get_mut(update.router.as_str());
        peer.map(|peer| peer.records = Some(update)).is_some()
    }

    /// Responsive routers that know a subject further than this one.
    pub fn ahead(
        &self,
        now: Instant,
        subject: dialect::Subject,
        known: Progress,
    ) -> impl Iterator<Item = (Progress, SocketAddr)> {
        self.heard(now).filter_map(move |(_, peer)| {
            let progress = peer.progress(subject, known.next.era())?;
            progress.is_ahead_of(&known).then_some((progress, peer.addr))
        })
    }

    /// Whether a router reads the store for others of this router's zone.
    pub fn reads_for_zone(&self, name: &str) -> bool {
        let zone = self.own.as_ref().map(|own| &own.zone);
        let update = self.by_name.get(name).and_then(|peer| peer.update.as_ref());
        update.is_some_and(|update| {
            update.store == peers::StoreUse::Reads && Some(&update.zone) == zone
        })
    }

    /// This router's role in reading the store.
    pub fn role(&self, now: Instant) -> readers::Role {
        let Some(own) = &self.own else { return readers::Role::Reads };
        let in_zone = self.live(now).filter(|(_, peer)| peer.zone.as_ref() == Some(&own.zone));
        let in_zone: Vec<_> = in_zone.collect();
        let may_read = |name: &str| self.is_mesh || self.hubs.is_hub(&own.zone, name);
        let neighbours = in_zone.iter().filter(|(name, _)| may_read(name));
        let neighbours = neighbours.map(|(name, peer)| readers::Neighbour {
            rank: Rank::new(peer.strength, name),
            addr: peer.addr,
            store_use: peer.update.as_ref().map_or(peers::StoreUse::Reads, |update| update.store),
        });
        let neighbours: Vec<_> = neighbours.collect();
        let zone = readers::Zone {
            size: 1 + in_zone.len(),
            store_readers: if self.is_mesh { readers::READER_COUNT } else { 1 },
            neighbours: &neighbours,
        };
        readers::role(&own.rank(), &own.name, &zone)
    }

    /// Last updates of responsive routers.
    pub fn updates(&self, now: Instant) -> impl Iterator<Item = &peers::RouterUpdate> {
        self.heard(now).filter_map(|(_, peer)| peer.update.as_ref())
    }

    /// Returns the router that plans.
    pub fn planner(&self, now: Instant) -> Planner {
        let Some(own) = &self.own else { return Planner::Own };
        if !self.is_mesh && !self.hubs.is_hub(&own.zone, &own.name) {
            return Planner::Other(self.planner_of_hubs(now, &own.zone));
        }
        let own = own.rank();
        let candidates = self.heard(now).filter_map(|(name, peer)| {
            let update = peer.update.as_ref().filter(|update| update.fit)?;
            let rank = Rank::new(update.strength, name);
            (rank > own).then_some((rank, peer))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by(|a, b| b.0.cmp(&a.0));
        // Only the planner sends updates often enough for the shorter timeout.
        let Some((_, best)) = candidates.first() else { return Planner::Own };
        let unresponsive = !is_within(now, best.last_received_at, PLANNER_TIMEOUT);
        match candidates.get(usize::from(unresponsive)) {
            Some((_, peer)) => Planner::Other(Some(peer.addr)),
            None => Planner::Own,
        }
    }

    /// The planner that the first hub of a zone names.
    fn planner_of_hubs(
        &self,
        now: Instant,
        zone: &names::AvailabilityZoneId,
    ) -> Option<SocketAddr> {
        let hubs = self.hubs.of_zone(zone).iter().filter_map(|name| self.by_name.get(name));
        let updates = hubs.filter(|peer| !peer.is_unresponsive(now));
        let mut updates = updates.filter_map(|peer| peer.update.as_ref());
        updates.find_map(|update| update.planner.parse().ok())
    }

    /// Removes routers that have been unresponsive for long.
    pub fn expire(&mut self, now: Instant) {
        let (is_mesh, needs_mesh) = (self.is_mesh, self.needs_mesh);
        self.by_name.retain(|_, peer| match needs_mesh {
            true => Self::counts(now, peer),
            false => {
                (!is_mesh && !peer.is_suspect)
                    || is_within(now, Some(peer.last_active_at()), PEER_EXPIRY)
            }
        });
    }

    /// Sums the demand and the waiting requests of the other routers by model.
    pub fn demand(&self, now: Instant) -> BTreeMap<names::ModelId, (demand::ModelDemand, u32)> {
        let mut sums: BTreeMap<names::ModelId, (demand::ModelDemand, u32)> = BTreeMap::new();
        for model in self.updates(now).flat_map(|update| &update.models) {
            let sum = sums.entry(model.model.clone()).or_default();
            sum.0 = sum.0.combine(demand::ModelDemand {
                requests_per_s: f64::from(model.per_1000_s) / 1_000.0,
                adapter_requests_per_s: f64::from(model.adapted_per_1000_s) / 1_000.0,
                prompt_tokens_per_s: f64::from(model.prompt_tokens_per_s),
                prefill_s_per_token: f64::from(model.read_ns_per_token) / 1e9,
                latency_objective: Duration::from_millis(u64::from(model.aim_ms)),
            });
            sum.1 += model.waiting;
        }
        sums
    }
}

fn is_contact(hubs: &hubs::Hubs, own: &Own, name: &str, peer: &Peer) -> bool {
    let Some(zone) = &peer.zone else { return false };
    let same_zone = *zone == own.zone;
    if hubs.is_hub(&own.zone, &own.name) {
        same_zone || hubs.is_hub(zone, name)
    } else {
        same_zone && hubs.is_hub(zone, name)
    }
}
