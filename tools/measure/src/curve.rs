//! Cold-start latency against idle hours, for adaptive and fixed keep-alive times.

use corianderstand_replay::{generate, replay, strategies::Strategy, trace::Trace};
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE,
};
use std::{path::Path, time::Duration};

/// Cost factors of cold-start latency and of idle hours.
const COST_FACTORS: [(u32, u32); 6] = [(5, 95), (20, 80), (50, 50), (80, 20), (95, 5), (99, 1)];
const FIXED_KEEP_ALIVE_MINUTES: [u64; 6] = [2, 5, 10, 40, 160, 640];

struct StrategyResult {
    strategy: String,
    idle_hours: f64,
    mean_cold_start_ms: u64,
    p99_cold_start_ms: u64,
    cold_starts: u64,
}

fn replay_strategies(
    trace: &Trace,
    strategies: impl Iterator<Item = Strategy>,
) -> Vec<StrategyResult> {
    strategies
        .map(|strategy| {
            let outcome = replay::run(trace, &strategy);
            StrategyResult {
                strategy: strategy.name.to_string(),
                idle_hours: outcome.idle_hours,
                mean_cold_start_ms: outcome.cold_mean_ms,
                p99_cold_start_ms: outcome.cold_p99_ms,
                cold_starts: outcome.cold,
            }
        })
        .collect()
}

/// Prints the results of both traces and draws a chart of the last one.
pub fn draw(path: &Path) {
    for trace in [generate::market_days(1), generate::quiet_nights(1)] {
        let adaptive = replay_strategies(
            &trace,
            COST_FACTORS.into_iter().map(|(tail, idle)| Strategy::with_cost_factors(tail, idle)),
        );
        let fixed = FIXED_KEEP_ALIVE_MINUTES
            .into_iter()
            .map(|minutes| Strategy::fixed_keep_alive(Duration::from_secs(minutes * 60)));
        let fixed = replay_strategies(&trace, fixed);
        println!("{}", trace.header.trace);
        for point in adaptive.iter().chain(&fixed) {
            println!(
                "  {:<14} idle {:>8.2} h  mean {:>6} ms  p99 {:>6} ms  cold {:>5}",
                point.strategy,
                point.idle_hours,
                point.mean_cold_start_ms,
                point.p99_cold_start_ms,
                point.cold_starts
            );
        }
        draw_chart(path, &trace, &adaptive, &fixed);
    }
}

fn draw_chart(path: &Path, trace: &Trace, adaptive: &[StrategyResult], fixed: &[StrategyResult]) {
    let all = || adaptive.iter().chain(fixed);
    let max_hours = all().map(|point| point.idle_hours).fold(1.0, f64::max);
    let max_ms = all().map(|point| point.mean_cold_start_ms).max().unwrap_or(1) as f64;
    let root = SVGBackend::new(path, (800, 500)).into_drawing_area();
    root.fill(&WHITE).expect("the chart can be drawn");
    let caption = format!("{}: blue adaptive, red fixed keep-alive", trace.header.trace);
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_hours * 1.05, 0.0..max_ms * 1.05)
        .expect("the ranges are not empty");
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc("mean cold-start latency of wakes, ms")
        .axis_style(BLACK)
        .draw()
        .expect("the chart can be drawn");
    for (points, color) in [(adaptive, BLUE), (fixed, RED)] {
        let mut line: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (point.idle_hours, point.mean_cold_start_ms as f64))
            .collect();
        line.sort_by(|a, b| a.0.total_cmp(&b.0));
        chart.draw_series(LineSeries::new(line.clone(), color)).expect("the chart can be drawn");
        let dots = line.into_iter().map(|at| Circle::new(at, 4, color.filled()));
        chart.draw_series(dots).expect("the chart can be drawn");
    }
    root.present().expect("the chart can be drawn");
}
