//! Least-squares fit of measured points, and the spread of repeated measurements.

use corianderstand_derives::derives;

/// Repeated measurements of one quantity at several sizes.
#[derives(wire)]
pub struct Series {
    /// Quantity on the y axis, with its unit.
    pub measure: String,
    /// Quantity on the x axis, with its unit.
    pub against: String,
    /// For each size, the value of each repeat.
    pub points: Vec<(f64, Vec<f64>)>,
    pub line: Line,
}

/// A least-squares line through the medians.
#[derives(wire)]
#[derive(Copy)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    /// Maximum deviation of a repeat from its point's median, relative to that median.
    pub spread: f64,
}

pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => 0.0,
        n if n % 2 == 1 => sorted[middle],
        _ => f64::midpoint(sorted[middle - 1], sorted[middle]),
    }
}

impl Series {
    pub fn new(measure: &str, against: &str, points: Vec<(f64, Vec<f64>)>) -> Self {
        let line = fit_line(&points);
        Self { measure: measure.into(), against: against.into(), points, line }
    }
}

pub fn fit_line(points: &[(f64, Vec<f64>)]) -> Line {
    let medians: Vec<(f64, f64)> = points.iter().map(|(x, ys)| (*x, median(ys))).collect();
    let count = medians.len().max(1) as f64;
    let mean_x = medians.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = medians.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xy: f64 = medians.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let sum_xx: f64 = medians.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if sum_xx == 0.0 { 0.0 } else { sum_xy / sum_xx };
    let intercept = mean_y - slope * mean_x;
    Line { intercept, slope, spread: max_relative_spread(points) }
}

fn max_relative_spread(points: &[(f64, Vec<f64>)]) -> f64 {
    let relative_deviation = |(_, ys): &(f64, Vec<f64>)| {
        let median_value = median(ys);
        let max_deviation = ys.iter().map(|y| (y - median_value).abs()).fold(0.0, f64::max);
        if median_value == 0.0 { 0.0 } else { max_deviation / median_value.abs() }
    };
    points.iter().map(relative_deviation).fold(0.0, f64::max)
}
