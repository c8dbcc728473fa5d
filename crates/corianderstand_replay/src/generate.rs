//! Generates the committed traces from assumed sizes and call patterns of two deployments.
//!
//! The same seed gives the same trace. Recorded traces in the same format can replace them.

use crate::trace::{
    Call, EngineSpec, Fault, Header, Line, ModelSpec, StoreSpec, Trace, TraceEvent, WorkspaceSpec,
};
use corianderstand_types::names::{ModelId, TargetId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND_MS: u64 = 1000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;
const ENGINE_MEMORY_MIB: u64 = 81_920;
const MIB_PER_GIB: u64 = 1024;
const TRACE_DAYS: u64 = 10;

struct Deployment {
    zones: [&'static str; 3],
    engine: &'static str,
    models: usize,
    teams: &'static [(&'static str, u32)],
    store: StoreSpec,
    weights: (u32, u32),
}

const VIDRIO: Deployment = Deployment {
    zones: ["conce", "talca-hall", "losangeles"],
    engine: "redactor",
    models: 30,
    teams: &[("crews", 600), ("office", 400)],
    store: StoreSpec { per_second: 2, concurrent: 4 },
    weights: (80, 20),
};

const HINOKUNI: Deployment = Deployment {
    zones: ["kumamoto-a", "kumamoto-b", "fukuoka-c"],
    engine: "kit-assistant",
    models: 20,
    teams: &[("design", 500), ("managers", 300), ("parents", 200)],
    store: StoreSpec { per_second: 3, concurrent: 4 },
    weights: (20, 80),
};

const ENGINE_COUNT: usize = 9;
const SLOTS_PER_MODEL: usize = 2;

fn header(deployment: &Deployment, trace: &str, about: &str, begins_ms: u64) -> Header {
    let engine =
        |number: usize| -> TargetId { format!("{}-{number}", deployment.engine).as_str().into() };
    let engines = (0..ENGINE_COUNT).map(|number| EngineSpec {
        name: engine(number),
        zone: deployment.zones[number % deployment.zones.len()].into(),
        memory_mib: ENGINE_MEMORY_MIB,
        concurrency: 16,
        accelerators: 1,
    });
    let models = (0..deployment.models).map(|number| ModelSpec {
        name: model(number),
        memory_mib: (12 + number as u64 * 7 % 20) * MIB_PER_GIB,
        load_ms: (12 + number as u64 * 7 % 20) * SECOND_MS,
        token_ms: 20,
        slots: (0..SLOTS_PER_MODEL)
            .map(|slot| engine((number + slot * 4) % ENGINE_COUNT))
            .collect(),
        weight_tail: deployment.weights.0,
        weight_idle: deployment.weights.1,
    });
    Header {
        trace: trace.into(),
        about: about.into(),
        begins: begins_ms / SECOND_MS,
        routers: deployment.zones.iter().map(|zone| (*zone).into()).collect(),
        engines: engines.collect(),
        models: models.collect(),
        teams: deployment
            .teams
            .iter()
            .map(|(name, share)| WorkspaceSpec { name: (*name).into(), share: *share })
            .collect(),
        store: deployment.store,
    }
}

fn model(number: usize) -> ModelId {
    format!("model-{number}").as_str().into()
}

struct TraceBuilder {
    rng: ChaCha8Rng,
    header: Header,
    lines: Vec<Line>,
}

impl TraceBuilder {
    fn new(seed: u64, header: Header) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), header, lines: Vec::new() }
    }

    fn call(&mut self, at_ms: u64, number: usize, tokens: u64, deadline_ms: u64) {
        let team = self.rng.random_range(0..self.header.teams.len());
        let call = Call {
            router: self.rng.random_range(0..self.header.routers.len()),
            team: self.header.teams[team].name.clone(),
            model: model(number),
            adapter: None,
            tokens,
            urgency: 1,
            deadline_ms,
            session: None,
        };
        self.lines.push(Line { at_ms, event: TraceEvent::Call(call) });
    }

    fn fault(&mut self, at_ms: u64, fault: Fault) {
        self.lines.push(Line { at_ms, event: TraceEvent::Fault(fault) });
    }

    /// Adds calls of one model at random times within a window.
    fn burst(&mut self, at_ms: u64, window_ms: u64, number: usize, calls: usize) {
        for _ in 0..calls {
            let at = at_ms + self.rng.random_range(0..window_ms);
            let tokens = self.rng.random_range(40..160);
            self.call(at, number, tokens, 120 * SECOND_MS);
        }
    }

    fn build(mut self) -> Trace {
        self.lines.sort_by_key(|line| line.at_ms);
        Trace { header: self.header, lines: self.lines }
    }
}

/// Cold burst: first requests for sixteen cold models within 90 s.
pub fn crew_morning(seed: u64) -> Trace {
    let about = "a crew's morning at Vidrio Sur: sixteen cold models within 90 s";
    let mut builder = TraceBuilder::new(seed, header(&VIDRIO, "crew-morning", about, 7 * HOUR_MS));
    crew_burst(&mut builder);
    builder.build()
}

fn crew_burst(builder: &mut TraceBuilder) {
    for number in 0..16 {
        let first = builder.rng.random_range(0..20 * SECOND_MS);
        builder.burst(first, 70 * SECOND_MS, number, 15);
    }
}

/// Long chats with adapters, mixed with short summaries.
pub fn evening_meeting(seed: u64) -> Trace {
    let about = "an evening meeting at Hinokuni: long chats with adapters, short summaries";
    let mut builder =
        TraceBuilder::new(seed, header(&HINOKUNI, "evening-meeting", about, 18 * HOUR_MS));
    for session in 0..60 {
        let number = (session % 8) as usize;
        let mut at = builder.rng.random_range(0..2 * MINUTE_MS);
        for _ in 0..4 {
            let tokens = builder.rng.random_range(400..1200);
            builder.call(at, number, tokens, 10 * MINUTE_MS);
            if let Some(Line { event: TraceEvent::Call(call), .. }) = builder.lines.last_mut() {
                call.session = Some(session);
                call.adapter = Some(format!("club-{}", session % 14).into());
                call.team = "design".into();
            }
            at += tokens * 20 + builder.rng.random_range(10 * SECOND_MS..60 * SECOND_MS);
        }
    }
    (0..8).for_each(|number| builder.burst(10 * SECOND_MS, 8 * MINUTE_MS, number, 30));
    builder.build()
}

/// Ten days with daily morning and evening peaks.
pub fn quiet_nights(seed: u64) -> Trace {
    let about = "ten days at Hinokuni: mornings and evenings by habit, quiet nights";
    let mut builder = TraceBuilder::new(seed, header(&HINOKUNI, "quiet-nights", about, 0));
    for day in 0..TRACE_DAYS {
        for number in 0..10 {
            let scatter = builder.rng.random_range(0..10 * MINUTE_MS);
            let morning = 8 * HOUR_MS + 30 * MINUTE_MS + number as u64 * 2 * MINUTE_MS;
            builder.burst(day * DAY_MS + morning + scatter, 15 * MINUTE_MS, number, 6);
            let scatter = builder.rng.random_range(0..12 * MINUTE_MS);
            let evening = 18 * HOUR_MS + number as u64 * 2 * MINUTE_MS;
            builder.burst(day * DAY_MS + evening + scatter, 40 * MINUTE_MS, number, 6);
        }
    }
    builder.build()
}

/// Ten days of short sessions at random times.
pub fn market_days(seed: u64) -> Trace {
    let about = "ten market days at Vidrio Sur: sessions at any time, without pattern";
    let mut builder = TraceBuilder::new(seed, header(&VIDRIO, "market-days", about, 0));
    for number in 0..12 {
        let mean = (2 + number as u64) * HOUR_MS;
        let mut at = builder.rng.random_range(0..mean);
        while at < TRACE_DAYS * DAY_MS {
            builder.burst(at, 8 * MINUTE_MS, number, 4);
            at += exponential(&mut builder.rng, mean);
        }
    }
    builder.build()
}

fn exponential(rng: &mut impl Rng, mean: u64) -> u64 {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    (-uniform.ln() * mean as f64) as u64
}

/// The cold burst, with a host reclaimed in the middle of it.
pub fn reclaimed_host(seed: u64) -> Trace {
    let about = "a crew's morning at Vidrio Sur, in which a host is reclaimed";
    let mut builder =
        TraceBuilder::new(seed, header(&VIDRIO, "reclaimed-host", about, 7 * HOUR_MS));
    crew_burst(&mut builder);
    builder.fault(30 * SECOND_MS, Fault::HostGone("redactor-5".into()));
    builder.build()
}

/// The cold burst with a weight store four times slower than configured.
pub fn slow_store(seed: u64) -> Trace {
    let about = "a crew's morning at Vidrio Sur, with a weight store four times slower than stated";
    let mut builder = TraceBuilder::new(seed, header(&VIDRIO, "slow-store", about, 7 * HOUR_MS));
    builder.fault(0, Fault::StoreSlower(4.0));
    crew_burst(&mut builder);
    builder.build()
}

/// Calls at a multiple of the total capacity of all engines.
pub fn overload(seed: u64, load_factor: f64) -> Trace {
    let about = "all engines of Vidrio Sur warm, and calls at a multiple of what they can serve";
    let mut builder = TraceBuilder::new(seed, header(&VIDRIO, "overload", about, 12 * HOUR_MS));
    // 9 engines * 16 concurrent requests / (100 tokens * 20 ms) = 72 requests per second.
    let per_second = 72.0 * load_factor;
    let first = 2 * MINUTE_MS;
    (0..ENGINE_COUNT).for_each(|number| builder.call(0, number, 100, 300 * SECOND_MS));
    for index in 0..(per_second * 180.0) as u64 {
        let at = first + (index as f64 * 1000.0 / per_second) as u64;
        let number = builder.rng.random_range(0..ENGINE_COUNT);
        builder.call(at, number, 100, 10 * SECOND_MS);
    }
    builder.build()
}

/// Steady load while one engine becomes eight times slower.
pub fn slow_engine(seed: u64) -> Trace {
    let about = "steady calls at Vidrio Sur; after a while one engine is eight times slower";
    let mut builder = TraceBuilder::new(seed, header(&VIDRIO, "slow-engine", about, 12 * HOUR_MS));
    for index in 0..6000 {
        let number = builder.rng.random_range(0..ENGINE_COUNT);
        builder.call(index * 100, number, 100, 30 * SECOND_MS);
    }
    let engine = "redactor-3".into();
    builder.fault(3 * MINUTE_MS, Fault::EngineSlower { engine, times: 8.0 });
    builder.build()
}

/// Skewed demand: one team floods a model that another team calls at a steady rate.
pub fn flood(seed: u64) -> Trace {
    let about = "the office floods a model of Vidrio Sur that the crews use too";
    let mut builder = TraceBuilder::new(seed, header(&VIDRIO, "flood", about, 12 * HOUR_MS));
    for index in 0..1200 {
        builder.call(index * 200, 0, 100, 20 * SECOND_MS);
    }
    for line in &mut builder.lines {
        if let TraceEvent::Call(call) = &mut line.event {
            call.team = "crews".into();
        }
    }
    let steady = builder.lines.len();
    for _ in 0..12_000 {
        let at = builder.rng.random_range(60 * SECOND_MS..180 * SECOND_MS);
        builder.call(at, 0, 100, 20 * SECOND_MS);
    }
    for line in &mut builder.lines[steady..] {
        if let TraceEvent::Call(call) = &mut line.event {
            call.team = "office".into();
            call.urgency = 2;
        }
    }
    builder.build()
}

/// All traces stored in `traces/`.
pub fn committed() -> Vec<Trace> {
    vec![
        crew_morning(1),
        evening_meeting(1),
        quiet_nights(1),
        market_days(1),
        reclaimed_host(1),
        slow_store(1),
    ]
}
