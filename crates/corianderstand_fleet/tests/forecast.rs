//! Forecasts of demand from its rise.

mod common;

use corianderstand_fleet::{demand, forecast, snapshot};
use corianderstand_types::names::ModelId;
use rand::{RngExt, SeedableRng, rngs};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(10);
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
const READY_IN: Duration = Duration::from_millis(500);
/// Longer than a new planner's forecast waits for the routers' reports.
const SETTLED: Duration = Duration::from_secs(5);

/// Requests for models at given rates, observed at the planner's interval.
struct Play {
    now: Instant,
    rates: BTreeMap<ModelId, f64>,
    demand: demand::Demand,
    forecast: forecast::Forecast,
    next_plan_at: Instant,
    rng: rngs::StdRng,
}

impl Play {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            rates: BTreeMap::new(),
            demand: demand::Demand::default(),
            forecast: forecast::Forecast::default(),
            next_plan_at: now,
            rng: rngs::StdRng::seed_from_u64(seed),
        }
    }

    /// Runs, and returns the largest forecast rate and growth of a model in that time.
    fn run(&mut self, time: Duration, watched: &ModelId) -> (f64, f64) {
        let end = self.now + time;
        let mut largest: (f64, f64) = (0.0, 0.0);
        while self.now < end {
            self.now += STEP;
            self.generate();
            if self.now >= self.next_plan_at {
                self.next_plan_at = self.now + PLAN_INTERVAL;
                let models = self.views();
                self.forecast.observe(self.now, &models, |_| READY_IN);
                let growth = self.forecast.growth(watched);
                let rate = models[watched].demand.requests_per_s * growth;
                largest = (largest.0.max(rate), largest.1.max(growth));
            }
        }
        largest
    }

    fn generate(&mut self) {
        let profile = demand::RequestProfile {
            prompt_tokens: 600,
            uses_adapter: false,
            latency_objective: Duration::from_millis(500),
        };
        for (model, per_s) in &self.rates {
            if self.rng.random::<f64>() < per_s * STEP.as_secs_f64() {
                self.demand.record_request(self.now, model, profile);
            }
        }
    }

    fn views(&self) -> snapshot::Models {
        let views = self.rates.keys().map(|model| {
            let demand = self.demand.model_demand(self.now, model);
            let view = snapshot::ModelView { spec: common::spec(model), demand, waiting: 0 };
            (model.clone(), view)
        });
        views.collect()
    }
}

/// Guards against replicas that are planned only once the measured rate has followed the demand.
#[rstest::rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_sudden_demand_is_expected_before_the_rate_has_followed(#[case] seed: u64) {
    let model = ModelId::from("m");
    let mut play = Play::new(seed);
    play.rates.insert(model.clone(), 0.0);
    play.run(SETTLED, &model);
    play.rates.insert(model.clone(), 30.0);
    let (expected, growth) = play.run(Duration::from_millis(1_000), &model);
    let measured = play.views()[&model].demand.requests_per_s;
    assert!(measured < 15.0, "the rate alone has followed to {measured}");
    assert!(expected > 16.0, "{expected} of 30 are expected, growth {growth}");
    assert!(expected < 60.0, "{expected} of 30 are expected");
}

/// Guards against replicas for models whose requests come unevenly but no more often.
#[test]
fn steady_demand_is_rarely_taken_for_a_rise() {
    let mut rises = 0;
    for seed in 0..50 {
        let model = ModelId::from("m");
        let mut play = Play::new(seed);
        play.rates.insert(model.clone(), 10.0);
        play.run(Duration::from_secs(12), &model);
        let (_, growth) = play.run(Duration::from_secs(2), &model);
        rises += u32::from(growth > 1.5);
    }
    assert!(rises <= 8, "{rises} of 50 steady demands are expected to rise by half within 2 s");
}

/// Guards against replicas that are given up at the first pause of a demand that comes back.
#[test]
fn a_fall_is_followed_slowly() {
    let model = ModelId::from("m");
    let mut play = Play::new(4);
    play.rates.insert(model.clone(), 0.0);
    play.run(SETTLED, &model);
    play.rates.insert(model.clone(), 30.0);
    let (peak, _) = play.run(Duration::from_millis(1_500), &model);
    play.rates.insert(model.clone(), 0.0);
    let (soon, _) = play.run(Duration::from_millis(300), &model);
    play.run(Duration::from_secs(6), &model);
    let (late, _) = play.run(PLAN_INTERVAL * 2, &model);
    assert!(soon > peak * 0.5, "{soon} after a peak of {peak}");
    assert!(late < peak * 0.3, "{late} after a peak of {peak}");
}

/// Guards against a new planner that takes the routers' first reports for a rise of all demand.
#[test]
fn a_new_planner_forecasts_nothing_from_its_first_reports() {
    let model = ModelId::from("m");
    let mut forecast = forecast::Forecast::default();
    let start = Instant::now();
    for (index, per_s) in [0.0, 2.0, 9.0, 16.0, 24.0, 30.0, 30.0].into_iter().enumerate() {
        let now = start + PLAN_INTERVAL * index as u32;
        forecast.observe(now, &one(&model, per_s), |_| READY_IN);
        assert!((forecast.growth(&model) - 1.0).abs() < f64::EPSILON, "at {per_s} a second");
    }
}

/// Guards against an unbounded or undefined forecast where reports are missing or absurd.
#[rstest::rstest]
#[case::missing(0.0)]
#[case::undefined(f64::NAN)]
#[case::negative(-5.0)]
#[case::infinite(f64::INFINITY)]
fn absurd_demand_gives_a_bounded_forecast(#[case] absurd: f64) {
    let model = ModelId::from("m");
    let mut forecast = forecast::Forecast::default();
    let mut now = Instant::now();
    for round in 0..40 {
        let per_s = if round % 4 == 3 { absurd } else { 20.0 };
        forecast.observe(now, &one(&model, per_s), |_| READY_IN);
        let growth = forecast.growth(&model);
        assert!((1.0..=3.0).contains(&growth), "growth {growth}");
        now += PLAN_INTERVAL;
    }
}

/// Guards against a rise that is measured from before a long silence of the planner.
#[test]
fn samples_from_before_a_silence_are_forgotten() {
    let model = ModelId::from("m");
    let mut forecast = forecast::Forecast::default();
    let mut now = Instant::now();
    for _ in 0..20 {
        forecast.observe(now, &one(&model, 1.0), |_| READY_IN);
        now += PLAN_INTERVAL;
    }
    now += Duration::from_secs(10);
    forecast.observe(now, &one(&model, 30.0), |_| READY_IN);
    assert!((forecast.growth(&model) - 1.0).abs() < f64::EPSILON);
}

fn one(model: &ModelId, per_s: f64) -> snapshot::Models {
    let demand = demand::ModelDemand { requests_per_s: per_s, ..Default::default() };
    let view = snapshot::ModelView { spec: common::spec(model), demand, waiting: 0 };
    BTreeMap::from([(model.clone(), view)])
}
