//! State of all targets, merged from registrations, agent reports and request outcomes.
//!
//! Any source may be delayed or stale. Incarnations of a target are ordered by their start time,
//! and entries of one incarnation by their renewal count; older data never replaces newer data.
//! While an agent is responsive, its reports take precedence over the registered holdings. A
//! draining incarnation never becomes available again.

mod entry;
mod limit;
mod load;
mod refusal;
mod rest;
mod target;

pub use entry::{
    AgentReport, EngineReplacement, Entry, Holdings, Incarnation, Load, OngoingCommand, Resident,
};
pub use limit::RequestLimit;
pub use refusal::{Answer, Refusal};
pub use target::{AGENT_RESPONSE_TIMEOUT, Target};

use corianderstand_derives::derives;
use corianderstand_types::names;
use slotmap::SlotMap;
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

slotmap::new_key_type! {
    /// Key of a target in [`Targets`].
    pub struct TargetKey;
}

/// Time in which an engine that started writes its entry.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a removed entry can be inherited by a restart under another name, and reports of a removed
/// target don't bring it back.
const REMOVED_ENTRY_TTL: Duration = Duration::from_secs(15);

/// Effect of applying a target's registered entry.
#[derives(key)]
pub enum RegistrationChange {
    /// A new target or incarnation.
    New,
    /// The target started draining.
    Draining,
    /// Its holdings changed.
    Holdings,
    /// No relevant change.
    Nothing,
    /// The entry is outdated and was ignored.
    Stale,
}

/// A target that was removed.
#[derive(Clone, Debug)]
struct Removed {
    at: Instant,
    /// Its last entry; none if it was not known.
    entry: Option<Entry>,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    arena: SlotMap<TargetKey, Target>,
    by_id: HashMap<names::TargetId, TargetKey>,
    by_host: HashMap<IpAddr, Vec<TargetKey>>,
    drained: HashMap<names::TargetId, u64>,
    removed: HashMap<names::TargetId, Removed>,
    replaced: Vec<Incarnation>,
    early_limits: limit::EarlyLimits,
}

impl Targets {
    /// Returns a target.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Returns a target for modification.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.arena.get_mut(key)
    }

    /// Returns the key of a target.
    pub fn key(&self, id: &names::TargetId) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the incarnations that were replaced by another since the last call.
    pub fn take_replaced(&mut self) -> Vec<Incarnation> {
        std::mem::take(&mut self.replaced)
    }

    /// Whether a target is expected to shut down, or has left without failing.
    pub fn is_leaving(&self, id: &names::TargetId) -> bool {
        let Some(key) = self.key(id) else { return self.drained.contains_key(id) };
        let target = &self.arena[key];
        target.is_leaving()
            || target.shutdown_at.is_some()
            || (target.missing_since.is_some() && target.inferred_at.is_none())
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.arena.iter()
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Applies an agent's report that its engine restarted under another name, which inherits the
    /// previous entry until it registers. Returns false if the report changes nothing.
    pub fn replace(&mut self, now: Instant, replacement: &EngineReplacement) -> bool {
        let EngineReplacement { id, started_at_ms, previous_id } = replacement;
        if self.key(id).is_some() || self.has_ended(id) {
            return false;
        }
        let current = self.key(previous_id).map(|key| self.arena[key].entry.clone());
        let removed = || self.removed.get(previous_id)?.entry.clone();
        let Some(previous) = current.or_else(removed) else { return false };
        if let Some(key) = self.key(previous_id) {
            self.remove_target(now, key);
        }
        self.replaced.push(previous.incarnation());
        self.removed.remove(previous_id);
        self.drained.insert(previous_id.clone(), previous.started_at_ms);
        self.insert_successor(now, id, *started_at_ms, previous);
        true
    }

    /// Infers that an unknown engine replaced the only known one on its host, as seen by a router that
    /// starts after the engine restarted; returns false if not.
    ///
    /// If the previous engine is alive, its next entry removes the inferred one.
    pub fn infer_successor(
        &mut self,
        now: Instant,
        id: &names::TargetId,
        started_at_ms: u64,
        host: IpAddr,
        runs_on_engines: impl Fn(&names::ServiceId) -> bool,
    ) -> bool {
        // The report may be late, from an engine that has already been replaced.
        if self.has_ended(id) || self.by_id.contains_key(id) {
            return false;
        }
        let Some(&[key]) = self.by_host.get(&host).map(Vec::as_slice) else { return false };
        let previous = self.arena[key].entry.clone();
        if !runs_on_engines(&previous.service) {
            return false;
        }
        self.remove_target(now, key);
        self.replaced.push(previous.incarnation());
        self.insert_successor(now, id, started_at_ms, previous);
        true
    }

    /// Whether a target has left, or was removed recently.
    fn has_ended(&self, id: &names::TargetId) -> bool {
        self.removed.contains_key(id) || self.drained.contains_key(id)
    }

    /// Inserts a target that inherits the entry of the previous engine.
    fn insert_successor(
        &mut self,
        now: Instant,
        id: &names::TargetId,
        started_at_ms: u64,
        previous: Entry,
    ) {
        let holdings =
            Holdings { on_disk: previous.holdings.on_disk.clone(), ..Default::default() };
        let entry = Entry {
            id: id.clone(),
            started_at_ms,
            renewals: 0,
            draining: false,
            shutdown_in: None,
            version: None,
            holdings,
            ..previous
        };
        let key = self.insert(now, entry);
        let target = &mut self.arena[key];
        target.inferred_at = Some(now);
        target.missing_since = Some(now);
    }

    /// Applies a registered entry. Entries must arrive in the order in which they were written, as a
    /// new one removes other targets with its address.
    pub fn register(&mut self, now: Instant, entry: Entry) -> RegistrationChange {
        if self
            .drained
            .get(&entry.id)
            .is_some_and(|&started_at_ms| entry.started_at_ms <= started_at_ms)
        {
            return RegistrationChange::Stale;
        }
        let Some(key) = self.key(&entry.id) else {
            self.remove_at_addr(now, entry.addr);
            self.insert(now, entry);
            return RegistrationChange::New;
        };
        let target = &mut self.arena[key];
        let starts_draining = entry.draining && !target.entry.draining;
        let has_other_version = has_other_version(&entry, target);
        if entry.started_at_ms < target.entry.started_at_ms
            || (entry.started_at_ms == target.entry.started_at_ms
                && entry.renewals < target.entry.renewals
                && !starts_draining
                && !has_other_version)
        {
            return RegistrationChange::Stale;
        }
        if entry.started_at_ms > target.entry.started_at_ms || has_other_version {
            self.replaced.push(target.entry.incarnation());
            self.remove_target(now, key);
            self.insert(now, entry);
            return RegistrationChange::New;
        }
        target.inferred_at = None;
        target.missing_since = None;
        let changed = target.entry.holdings != entry.holdings;
        target.entry.draining |= entry.draining;
        target.entry.slots = entry.slots;
        target.entry.version = entry.version;
        target.may_be_replaced = false;
        if let Some(shutdown_in) = entry.shutdown_in {
            target.shutdown_at.get_or_insert(now + shutdown_in);
        }
        target.entry.renewals = entry.renewals;
        let is_superseded = changed && target.agent_is_responsive(now);
        let changed = changed && !is_superseded;
        target.superseded_holdings = is_superseded.then(|| entry.holdings.clone());
        if changed {
            target.set_holdings(entry.holdings);
        } else {
            target.entry.holdings.in_memory = entry.holdings.in_memory;
            target.entry.holdings.on_disk = entry.holdings.on_disk;
        }
        match (starts_draining, changed) {
            (true, _) => RegistrationChange::Draining,
            (false, true) => RegistrationChange::Holdings,
            (false, false) => RegistrationChange::Nothing,
        }
    }

    /// Applies an agent's report; returns false if the engine is unknown or the report is outdated.
    pub fn report(&mut self, now: Instant, report: AgentReport) -> bool {
        let Some(key) = self.key(&report.id) else { return false };
        let target = &mut self.arena[key];
        let starts_known = report.started_at_ms > 0 && target.entry.started_at_ms > 0;
        if starts_known && report.started_at_ms < target.entry.started_at_ms {
            return false;
        }
        if starts_known && report.started_at_ms > target.entry.started_at_ms {
            // The engine restarted under the same name; its new entry will follow.
            let entry = Entry {
                started_at_ms: report.started_at_ms,
                renewals: 0,
                holdings: Holdings::default(),
                draining: false,
                shutdown_in: None,
                version: None,
                ..target.entry.clone()
            };
            self.replaced.push(self.arena[key].entry.incarnation());
            self.remove_target(now, key);
            self.insert(now, entry);
            return self.report(now, report);
        }
        // Datagrams may be reordered.
        let responsive = target.agent_is_responsive(now);
        if responsive && report.holdings.commands_accepted < target.entry.holdings.commands_accepted
        {
            return false;
        }
        target.agent_last_received_at = Some(now);
        target.superseded_holdings = None;
        if target.inferred_at.is_some() {
            // It stays known while its agent reports.
            target.missing_since = Some(now);
        }
        target.ejected_until = None;
        target.ongoing = report.ongoing;
        target.record_load(now, report.load);
        let mut holdings = report.holdings;
        if !report.cached_weights_reported {
            let previous = &mut target.entry.holdings;
            holdings.in_memory = std::mem::take(&mut previous.in_memory);
            holdings.on_disk = std::mem::take(&mut previous.on_disk);
        }
        target.set_holdings(holdings);
        true
    }

    /// Ejects an incarnation that its agent reported as ended; returns false if it is not current.
    pub fn record_exit(&mut self, now: Instant, id: &names::TargetId, started_at_ms: u64) -> bool {
        let Some(key) = self.key(id) else { return false };
        let target = &mut self.arena[key];
        let same = started_at_ms == target.entry.started_at_ms || started_at_ms == 0;
        if same {
            target.record_unreachable(now);
        }
        same
    }

    /// Removes a target without an entry. If the store has recovered lately and the entry may return, the target
    /// stays until [`Self::expire`], where the grace period counts from `recovered_at`.
    pub fn remove(&mut self, now: Instant, id: &names::TargetId, recovered_at: Option<Instant>) {
        let Some(key) = self.key(id) else { return self.record_removed(now, id.clone(), None) };
        let Some(recovered_at) = recovered_at else { return self.remove_target(now, key) };
        let target = &mut self.arena[key];
        // It has had an entry; from here on reports of its agent don't count.
        if target.inferred_at.take().is_some() {
            target.missing_since = None;
        }
        target.missing_since.get_or_insert(recovered_at);
    }

    /// Applies registered holdings that agents' reports no longer supersede.
    pub fn apply_superseded(&mut self, now: Instant) {
        for target in self.arena.values_mut().filter(|target| target.superseded_holdings.is_some())
        {
            if !target.agent_is_responsive(now)
                && let Some(holdings) = target.superseded_holdings.take()
            {
                target.set_holdings(holdings);
            }
        }
    }

    /// Removes targets whose entries have been missing for `grace` and returns their names; of those that only
    /// agents report, also those that have no entry in a later read of the store.
    pub fn expire(
        &mut self,
        now: Instant,
        grace: Duration,
        store_read_at: Option<Instant>,
    ) -> Vec<names::TargetId> {
        let expired = |target: &Target| {
            let has_left = target.inferred_at.is_some_and(|at| {
                now >= at + grace
                    && store_read_at.is_some_and(|read| read >= at + REGISTRATION_TIME)
            });
            let is_missing =
                target.missing_since.is_some_and(|at| now.saturating_duration_since(at) >= grace);
            has_left || is_missing
        };
        let expired_keys = self.arena.iter().filter(|(_, target)| expired(target));
        let expired_keys: Vec<TargetKey> = expired_keys.map(|(key, _)| key).collect();
        let ids = expired_keys.iter().map(|&key| self.arena[key].entry.id.clone()).collect();
        expired_keys.into_iter().for_each(|key| self.remove_target(now, key));
        ids
    }

    /// Removes ended targets at the address of a new one; the store may still list their entries.
    fn remove_at_addr(&mut self, now: Instant, addr: SocketAddr) {
        let at_host = self.by_host.get(&addr.ip()).into_iter().flatten().copied();
        let ended: Vec<_> = at_host.filter(|key| self.arena[*key].entry.addr == addr).collect();
        for key in ended {
            self.replaced.push(self.arena[key].entry.incarnation());
            self.remove_target(now, key);
        }
    }

    fn insert(&mut self, now: Instant, entry: Entry) -> TargetKey {
        let (id, host) = (entry.id.clone(), entry.addr.ip());
        let shutdown_at = entry.shutdown_in.map(|shutdown_in| now + shutdown_in);
        let request_limit = self.early_limits.take(now, &id);
        let target = Target { shutdown_at, request_limit, ..Target::new(entry) };
        let key = self.arena.insert(target);
        self.by_id.insert(id, key);
        self.by_host.entry(host).or_default().push(key);
        key
    }

    fn remove_target(&mut self, now: Instant, key: TargetKey) {
        let Some(target) = self.arena.remove(key) else { return };
        self.by_id.remove(&target.entry.id);
        let host = target.entry.addr.ip();
        if let Some(keys) = self.by_host.get_mut(&host) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_host.remove(&host);
            }
        }
        if target.is_leaving() {
            self.drained.insert(target.entry.id.clone(), target.entry.started_at_ms);
        }
        self.record_removed(now, target.entry.id.clone(), Some(target.entry));
    }

    fn record_removed(&mut self, now: Instant, id: names::TargetId, entry: Option<Entry>) {
        self.removed
            .retain(|_, removed| now.saturating_duration_since(removed.at) < REMOVED_ENTRY_TTL);
        let removed = self.removed.entry(id).or_insert(Removed { at: now, entry: None });
        removed.at = now;
        if entry.is_some() {
            removed.entry = entry;
        }
    }
}

/// Whether an entry is that of another process at the same name, which doesn't report when it started.
fn has_other_version(entry: &Entry, target: &Target) -> bool {
    match (&entry.version, &target.entry.version) {
        (Some(new), Some(known)) => new != known,
        _ => false,
    }
}
