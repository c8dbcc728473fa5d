//! Randomized histories of crashes, pauses, lost responses and outages.

use super::world::{
    AgentSim, EngineSim, LEASE_TTL_MS, MODEL_MIB, MODELS, Reader, World, settings, target_up,
};
use crate::release::SlotReleaser;
use corianderstand_decide::ledger::{ABSENCE_TIMEOUT, Ledger, Stage};
use corianderstand_schema::records::{Body, Record};
use corianderstand_state::{checkpoint, fold::Outcome, plan, view::View};
use corianderstand_types::{
    names::{HostId, TargetId},
    units::Mib,
    weights::Weights,
};
use rand::RngExt;
use rstest::rstest;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

const HISTORIES_PER_CASE: u64 = 500;
const STEPS: u32 = 300;
const ENGINE_MIB: u64 = 100;
const HOST_LIST_LAG_MS: u64 = 400;
/// Maximum delay of a command in the socket of a broken connection.
const MAX_COMMAND_DELAY_MS: u64 = 480;
const REBUILD_MS: u64 = 500;

/// Prints the seed if the history panics.
struct SeedReporter(u64);

impl Drop for SeedReporter {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}", self.0);
        }
    }
}

/// Occurrences of each event, to check that the histories cover it.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    loads: u64,
    lost_commands: u64,
    hosts_gone: u64,
    agent_restarts: u64,
    delayed_records: u64,
    accepted: u64,
    refused: u64,
    restored: u64,
}

#[derive(Default)]
struct TicketAnswers {
    accepted: BTreeSet<String>,
    refused: BTreeSet<String>,
    pending: BTreeMap<String, u64>,
}

struct History {
    world: World,
    base: Instant,
    routers: Vec<Reader>,
    /// Records that a paused router appends when it resumes, with their due times.
    delayed: Vec<(u64, Record)>,
    agents: Vec<AgentSim>,
    answers: TicketAnswers,
    counts: Counts,
}

fn new_agent(index: usize) -> AgentSim {
    let (loaded, pending_commands) = Default::default();
    AgentSim {
        reader: Reader::new(&format!("e{index}{}", "x".repeat(index % 2))),
        ledger: Ledger::new(Mib(ENGINE_MIB)),
        releaser: SlotReleaser::default(),
        engine: EngineSim { memory_mib: ENGINE_MIB, loaded, pending_commands },
        rebuilt_at: Some(0),
        paused_until: 0,
        dead_since: None,
    }
}

impl History {
    fn new(seed: u64) -> Self {
        let routers = (0..3).map(|i| Reader::new(&format!("router-{i}"))).collect();
        let agents = (0..4).map(new_agent).collect();
        let (delayed, answers, base) = (Vec::new(), TicketAnswers::default(), Instant::now());
        let counts = Counts::default();
        Self { world: World::new(seed), base, routers, delayed, agents, answers, counts }
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.world.now_ms)
    }

    fn step(&mut self) {
        self.world.now_ms += self.world.rng.random_range(1..40);
        match self.world.rng.random_range(0..100) {
            0..4 => self.world.down = !self.world.down && self.world.chance(50),
            4..8 => self.world.truncate(),
            8..10 => self.crash_or_restart(),
            10..16 => self.change_settings(),
            16..38 => self.step_router(),
            _ => self.step_agent(),
        }
        self.append_delayed();
        for agent in &mut self.agents {
            agent.engine.deliver(self.world.now_ms);
        }
        self.check();
    }

    /// Checks that the owner of every slot is known and every loaded replica has a slot.
    fn check(&self) {
        let slots = &self.world.head.slots;
        let targets = &self.world.head.targets.by_name;
        let orphan = slots.by_key.iter().find(|(_, slot)| !targets.contains_key(&slot.target));
        assert!(orphan.is_none(), "slot without an owner: {orphan:?}");
        for agent in self.agents.iter().filter(|agent| agent.dead_since.is_none()) {
            let target = TargetId::from(agent.reader.name.as_str());
            for weights in agent.engine.loaded.keys() {
                let owned = slots.owned(&weights.model, &target);
                assert!(owned.is_some(), "{weights} is loaded at {target} without a slot");
            }
        }
    }

    fn change_settings(&mut self) {
        let model = MODELS[self.world.rng.random_range(0..MODELS.len())];
        let router = self.world.rng.random_range(0..self.routers.len());
        let reader = &mut self.routers[router];
        let base = reader.state.documents.version_of(&format!("teams/t/models/{model}"));
        let mut body = settings(model, self.world.rng.random_range(0..4), base);
        let name = format!("{}-{}", self.world.now_ms, reader.sequence);
        let until = self.world.now_ms + 200;
        if let Body::Settings { ticket, not_after_ms, .. } = &mut body {
            (*ticket, *not_after_ms) = (name.clone().into(), until);
        }
        let record = reader.record(body);
        self.answers.pending.insert(name, until);
        if self.world.chance(30) {
            let due = self.world.now_ms + self.world.rng.random_range(0..600);
            self.delayed.push((due, record));
        } else {
            self.world.append(&record);
        }
    }

    fn append_delayed(&mut self) {
        let now = self.world.now_ms;
        let due: Vec<_> = self.delayed.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, record) in due {
            self.counts.delayed_records += 1;
            if !self.world.append(&record) {
                self.delayed.push((now + 50, record));
            }
        }
    }

    fn step_router(&mut self) {
        let index = self.world.rng.random_range(0..self.routers.len());
        if self.world.chance(4) {
            self.routers[index].restart();
        }
        let mut reader = self.routers[index].clone();
        let own = self.world.read(&mut reader);
        for (_, record, outcome) in own {
            if let (Body::Settings { ticket, .. }, Outcome::Applied) = (&record.body, outcome) {
                self.answers.accepted.insert(ticket.to_string());
            }
        }
        self.resolve_tickets(&reader);
        for body in self.lease_holder_records(&reader) {
            let record = reader.record(body);
            // A holder paused here appends its records after its lease has expired.
            if self.world.chance(10) {
                let due = self.world.now_ms + self.world.rng.random_range(0..900);
                self.delayed.push((due, record));
            } else {
                self.world.append(&record);
            }
        }
        self.routers[index] = reader;
    }

    fn resolve_tickets(&mut self, reader: &Reader) {
        let pending: Vec<(String, u64)> =
            self.answers.pending.iter().map(|(ticket, until)| (ticket.clone(), *until)).collect();
        for (ticket, until) in pending {
            match reader.state.history.find(&ticket) {
                Some(entry) if entry.refused.is_none() => {
                    self.answers.accepted.insert(ticket);
                }
                Some(_) => {
                    self.answers.refused.insert(ticket);
                }
                None if reader.caught_up_at_ms > until => {
                    self.answers.refused.insert(ticket);
                }
                None => {}
            }
        }
    }

    fn lease_holder_records(&mut self, reader: &Reader) -> Vec<Body> {
        let (state, lease) = (&reader.state, &reader.state.lease);
        if !lease.held_by(&reader.name, reader.incarnation) {
            let free = lease.holder.is_none() || self.world.now_ms >= lease.until_ms;
            let acquire = Body::LeaseTaken { epoch: lease.epoch + 1, ttl_ms: LEASE_TTL_MS };
            return if free { vec![acquire] } else { Vec::new() };
        }
        let epoch = lease.epoch;
        let mut bodies = vec![Body::LeaseRenewed { epoch }];
        let is_gone = |a: &&AgentSim| {
            a.dead_since.is_some_and(|at| at + HOST_LIST_LAG_MS <= self.world.now_ms)
        };
        let gone_hosts: BTreeSet<HostId> = self
            .agents
            .iter()
            .filter(is_gone)
            .map(|a| format!("host-{}", a.reader.name.as_str()).as_str().into())
            .collect();
        for (name, target) in &state.targets.by_name {
            if gone_hosts.contains(&target.record.host) {
                let (target, target_offset) = (name.clone(), target.offset);
                bodies.push(Body::TargetGone { epoch, target, target_offset });
            }
        }
        bodies.extend(plan::plan(state, &View::new(&state.documents), &gone_hosts));
        if self.world.chance(15) {
            let mut parts = checkpoint::split(state);
            if self.world.chance(20) {
                parts.pop();
            }
            bodies.extend(parts);
        }
        bodies
    }

    fn crash_or_restart(&mut self) {
        let index = self.world.rng.random_range(0..self.agents.len());
        let (now_ms, fault) = (self.world.now_ms, self.world.rng.random_range(0..4));
        let agent = &mut self.agents[index];
        match (agent.dead_since, fault) {
            // A host is replaced only after it has left the host list.
            (Some(since), _) if since + 2 * HOST_LIST_LAG_MS <= now_ms => {
                let known = &self.world.head.targets.by_name;
                if !known.contains_key(&TargetId::from(agent.reader.name.as_str())) {
                    agent.dead_since = None;
                    agent.reader.restart();
                    self.start_agent(index);
                }
            }
            (Some(_), _) => {}
            (None, 0) => {
                agent.dead_since = Some(now_ms);
                self.counts.hosts_gone += 1;
                agent.engine.loaded.clear();
                agent.engine.pending_commands.clear();
            }
            (None, 1) => agent.paused_until = now_ms + 700,
            (None, _) => {
                agent.reader.restart();
                self.counts.agent_restarts += 1;
                self.start_agent(index);
            }
        }
    }

    fn start_agent(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.ledger = Ledger::new(Mib(ENGINE_MIB));
        agent.releaser = SlotReleaser::default();
        agent.rebuilt_at = Some(self.world.now_ms + REBUILD_MS);
    }

    fn step_agent(&mut self) {
        let index = self.world.rng.random_range(0..self.agents.len());
        let now_ms = self.world.now_ms;
        if self.agents[index].dead_since.is_some() || self.agents[index].paused_until > now_ms {
            return;
        }
        let now = self.now();
        let agent = &mut self.agents[index];
        if let Some(at) = agent.rebuilt_at {
            if at > now_ms {
                return;
            }
            let loaded = &agent.engine.loaded;
            agent.ledger.rebuild(loaded.iter().map(|(w, memory)| (w.clone(), Mib(*memory), true)));
            agent.rebuilt_at = None;
        }
        let caught_up = agent.reader.state.next > 1 || self.world.head.next == 1;
        self.world.read(&mut agent.reader);
        let target = TargetId::from(agent.reader.name.as_str());
        let known = agent.reader.state.targets.by_name.get(&target);
        if known.is_none_or(|known| known.incarnation < agent.reader.incarnation) {
            let body = target_up(agent.reader.name.as_str(), ENGINE_MIB);
            let record = agent.reader.record(body);
            self.world.append(&record);
            return;
        }
        if !caught_up {
            return;
        }
        self.manage_slots(index, now);
    }

    /// Runs one iteration of slot and memory management.
    fn manage_slots(&mut self, index: usize, now: Instant) {
        let agent = &mut self.agents[index];
        let state = agent.reader.state.clone();
        let target = TargetId::from(agent.reader.name.as_str());
        let (view, leaving) = (View::new(&state.documents), self.world.chance(5));
        let loadable =
            agent.releaser.loadable_models(&state, &view, &target, leaving, &BTreeSet::new());
        let unwanted = agent.ledger.entries().filter(|(weights, entry)| {
            entry.stage == Stage::Ready && !loadable.contains(&weights.model)
        });
        let unwanted: Vec<_> = unwanted.map(|(w, entry)| (w.clone(), entry.memory)).collect();
        for (weights, memory) in unwanted {
            agent.ledger.set_stage(&weights, Stage::Unloading);
            send_command(&mut self.world, agent, false, &weights, memory);
        }
        let ledger = &agent.ledger;
        let releases =
            agent.releaser.update_releases(&state, &target, &loadable, |model| ledger.holds(model));
        for (key, assigned) in releases.clone() {
            let (model, index) = (key.model, key.index);
            let body = Body::SlotReleased { model, index, assigned, epoch: None };
            let record = agent.reader.record(body);
            self.world.append(&record);
        }
        let model_index = self.world.rng.random_range(0..loadable.len().max(1));
        if let Some(model) = loadable.iter().nth(model_index) {
            let weights = Weights::model(model.clone(), "1".into());
            if agent.ledger.reserve(&weights, Mib(MODEL_MIB)).is_ok() {
                send_command(&mut self.world, agent, true, &weights, Mib(MODEL_MIB));
                self.counts.loads += 1;
                self.counts.lost_commands += u64::from(agent.ledger.has_unknown());
            }
        }
        if agent.ledger.has_unknown() || self.world.chance(10) {
            let loaded = &agent.engine.loaded;
            let loaded: Vec<_> = loaded.iter().map(|(w, m)| (w.clone(), Mib(*m), true)).collect();
            agent.ledger.reconcile(now, agent.ledger.version(), &loaded);
        }
    }

    fn finish(&self, total: &mut Counts) {
        total.loads += self.counts.loads;
        total.lost_commands += self.counts.lost_commands;
        total.hosts_gone += self.counts.hosts_gone;
        total.agent_restarts += self.counts.agent_restarts;
        total.delayed_records += self.counts.delayed_records;
        total.accepted += self.answers.accepted.len() as u64;
        total.refused += self.answers.refused.len() as u64;
        total.restored += self.world.restored;
        let history = &self.world.head.history;
        let accepted =
            |ticket: &String| history.find(ticket).is_some_and(|entry| entry.refused.is_none());
        for ticket in &self.answers.accepted {
            assert!(accepted(ticket), "reported as accepted, but not applied: {ticket}");
        }
        for ticket in &self.answers.refused {
            assert!(!accepted(ticket), "reported as refused, but applied: {ticket}");
        }
    }
}

/// Sends a command whose response may be lost and whose execution may be delayed.
fn send_command(
    world: &mut World,
    agent: &mut AgentSim,
    load: bool,
    weights: &Weights,
    memory: Mib,
) {
    assert!(ABSENCE_TIMEOUT > Duration::from_millis(MAX_COMMAND_DELAY_MS));
    let confirmed = if load { Some(Stage::Ready) } else { None };
    match world.rng.random_range(0..10) {
        0 => {
            let due = world.now_ms + world.rng.random_range(0..MAX_COMMAND_DELAY_MS);
            agent.engine.pending_commands.push((due, load, weights.clone(), memory.0));
            agent.ledger.set_stage(weights, Stage::Unknown);
        }
        1 => agent.ledger.set_stage(weights, Stage::Unknown),
        2 => {
            agent.engine.execute(load, weights, memory.0);
            agent.ledger.set_stage(weights, Stage::Unknown);
        }
        _ => {
            agent.engine.execute(load, weights, memory.0);
            match confirmed {
                Some(stage) => agent.ledger.set_stage(weights, stage),
                None => agent.ledger.remove(weights),
            }
        }
    }
}

/// Guards against extra replicas, overcommitted engine memory and wrong answers to operators under
/// crashes, pauses, lost responses, log outages and log truncation.
#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::third(2)]
#[case::fourth(3)]
fn random_histories_preserve_slot_ownership_memory_and_ticket_answers(#[case] part: u64) {
    let mut total = Counts::default();
    for seed in part * HISTORIES_PER_CASE..(part + 1) * HISTORIES_PER_CASE {
        let _seed = SeedReporter(seed);
        let mut history = History::new(seed);
        for _ in 0..STEPS {
            history.step();
        }
        history.finish(&mut total);
    }
    println!("{total:?}");
    let Counts { loads, lost_commands, hosts_gone, agent_restarts, delayed_records, .. } = total;
    let faults = [loads, lost_commands, hosts_gone, agent_restarts, delayed_records];
    let answers = [total.accepted, total.refused, total.restored];
    let all = faults.iter().chain(&answers);
    assert!(
        all.clone().all(|count| *count >= HISTORIES_PER_CASE),
        "insufficient coverage: {total:?}"
    );
}
