//! Simulated log, readers, agents and engines for randomized histories.

use crate::release::SlotReleaser;
use corianderstand_decide::ledger::Ledger;
use corianderstand_schema::records::{Body, Change, Record, TargetRecord};
use corianderstand_state::{
    checkpoint::{self, Collector},
    fold::{Outcome, State},
};
use corianderstand_types::{names::WriterId, units::Mib, weights::Weights};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

pub const LEASE_TTL_MS: u64 = 300;
pub const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];
pub const MODEL_MIB: u64 = 40;

pub fn lease() -> Body {
    Body::LeaseTaken { epoch: 1, ttl_ms: LEASE_TTL_MS }
}

pub fn settings(model: &str, replicas: u32, base: u64) -> Body {
    let change = |path: String, base, text: String| {
        let path = path.into();
        Change { path, base, value: Some(text) }
    };
    let team = serde_json::json!({ "replicas": replicas }).to_string();
    let mut changes = vec![change(format!("teams/t/models/{model}"), base, team)];
    if base == 0 {
        let facts = serde_json::json!({ "memory_mib": MODEL_MIB, "versions": ["1"],
            "adapter_memory_mib": 5 });
        changes.push(change(format!("shared/models/{model}"), 0, facts.to_string()));
    }
    if base == 0 && (model == "m0" || model == "quotes") {
        let team = serde_json::json!({ "key_hashes": ["0".repeat(64)],
            "default_urgency": "normal" });
        changes.push(change("teams/t/team".into(), 0, team.to_string()));
    }
    let (author, ticket) = ("ana".into(), "t".into());
    Body::Settings { changes, author, ticket, not_after_ms: u64::MAX }
}

pub fn target_up(name: &str, memory_mib: u64) -> Body {
    let target = TargetRecord {
        target: name.into(),
        host: format!("host-{name}").as_str().into(),
        place: format!("place-{}", name.len() % 2).as_str().into(),
        address: "127.0.0.1:1".into(),
        memory_mib: Mib(memory_mib),
        accelerators: 1,
        service: None,
    };
    Body::TargetUp { target }
}

#[derive(Clone, Debug)]
pub struct Reader {
    pub name: WriterId,
    pub incarnation: u64,
    pub sequence: u64,
    pub state: State,
    pub caught_up_at_ms: u64,
}

impl Reader {
    pub fn new(name: &str) -> Self {
        let state = State { next: 1, ..State::default() };
        Self { name: name.into(), incarnation: 1, sequence: 0, state, caught_up_at_ms: 0 }
    }

    pub fn record(&mut self, body: Body) -> Record {
        self.sequence += 1;
        let (writer, incarnation) = (self.name.clone(), self.incarnation);
        Record { writer, incarnation, sequence: self.sequence, body }
    }

    pub fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self { incarnation, ..Self::new(self.name.as_str()) };
    }
}

#[derive(Clone, Debug)]
pub struct EngineSim {
    pub memory_mib: u64,
    pub loaded: BTreeMap<Weights, u64>,
    /// Commands in transit: due time, whether to load, weights, memory.
    pub pending_commands: Vec<(u64, bool, Weights, u64)>,
}

impl EngineSim {
    pub fn execute(&mut self, load: bool, weights: &Weights, memory: u64) {
        if load {
            self.loaded.insert(weights.clone(), memory);
        } else {
            self.loaded.remove(weights);
        }
        let used: u64 = self.loaded.values().sum();
        assert!(used <= self.memory_mib, "engine memory {used} of {}", self.memory_mib);
    }

    pub fn deliver(&mut self, now_ms: u64) {
        let due: Vec<_> =
            self.pending_commands.extract_if(.., |(due, ..)| *due <= now_ms).collect();
        for (_, load, weights, memory) in due {
            self.execute(load, &weights, memory);
        }
    }
}

#[derive(Debug)]
pub struct AgentSim {
    pub reader: Reader,
    pub ledger: Ledger,
    pub releaser: SlotReleaser,
    pub engine: EngineSim,
    /// When the ledger may be rebuilt from the engine.
    pub rebuilt_at: Option<u64>,
    pub paused_until: u64,
    pub dead_since: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub offset: u64,
    pub at_ms: u64,
    pub record: Record,
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now_ms: u64,
    pub log: Vec<Entry>,
    pub oldest_offset: u64,
    pub down: bool,
    pub head: State,
    digests: HashMap<u64, u64>,
    pub restored: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let head = State { next: 1, ..State::default() };
        let (log, digests) = Default::default();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng, now_ms: 1000, log, oldest_offset: 1, down: false, head, digests, restored: 0 }
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Appends, sometimes twice, as after a lost response; returns false if the log is down.
    pub fn append(&mut self, record: &Record) -> bool {
        if self.down {
            return false;
        }
        let appends = if self.chance(10) { 2 } else { 1 };
        for _ in 0..appends {
            let (offset, at_ms) = (self.head.next, self.now_ms);
            self.log.push(Entry { offset, at_ms, record: record.clone() });
            self.head.apply(offset, at_ms, record);
        }
        true
    }

    /// Applies some unread entries to the reader and returns the outcomes of its own records.
    pub fn read(&mut self, reader: &mut Reader) -> Vec<(u64, Record, Outcome)> {
        if self.down {
            return Vec::new();
        }
        if self.oldest_offset > reader.state.next && !self.restore(reader) {
            return Vec::new();
        }
        let limit = self.rng.random_range(1..40);
        let mut own = Vec::new();
        let from = reader.state.next;
        for entry in self.log.iter().filter(|entry| entry.offset >= from).take(limit) {
            let outcome = reader.state.apply(entry.offset, entry.at_ms, &entry.record);
            let writer = (&entry.record.writer, entry.record.incarnation);
            if writer == (&reader.name, reader.incarnation) {
                own.push((entry.offset, entry.record.clone(), outcome));
            }
        }
        if reader.state.next == self.head.next {
            reader.caught_up_at_ms = self.now_ms;
        }
        self.check_digest(reader);
        own
    }

    fn restore(&mut self, reader: &mut Reader) -> bool {
        let mut collector = Collector::default();
        let states = self.log.iter().filter_map(|entry| collector.receive(&entry.record));
        let found = states.filter(|state| state.next >= self.oldest_offset).last();
        let found = found.filter(|state| state.next > reader.state.next);
        let Some(state) = found else { return false };
        reader.state = state;
        self.restored += 1;
        true
    }

    fn check_digest(&mut self, reader: &Reader) {
        let digest = checkpoint::digest(&checkpoint::encode(&reader.state));
        let known = *self.digests.entry(reader.state.next).or_insert(digest);
        assert_eq!(known, digest, "states diverge at offset {}", reader.state.next);
    }

    /// Drops the records covered by the last complete checkpoint, as limited retention does.
    pub fn truncate(&mut self) {
        let Some(last) = self.head.checkpoints.last else { return };
        self.oldest_offset = self.oldest_offset.max(last.as_of.min(last.first));
        self.log.retain(|entry| entry.offset >= self.oldest_offset);
    }
}
