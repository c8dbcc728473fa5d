//! Straight lines through measured points, and how far repeats lie apart.

use corianderstand_derives::derives;

/// Points of one measure against one size.
#[derives(wire)]
pub struct Series {
    /// What was measured, with its unit.
    pub measure: String,
    /// Against what.
    pub against: String,
    /// Points: size, then the measure of each repeat.
    pub points: Vec<(f64, Vec<f64>)>,
    /// The line through the medians.
    pub line: Line,
}

/// A line by least squares.
#[derives(wire)]
#[derive(Copy)]
pub struct Line {
    /// Measure at size zero.
    pub intercept: f64,
    /// Measure for each one more.
    pub slope: f64,
    /// Largest distance of a repeat from its point's median, as a part of that median.
    pub spread: f64,
}

/// The middle of some values.
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
    /// A series with its line.
    pub fn new(measure: &str, against: &str, points: Vec<(f64, Vec<f64>)>) -> Self {
        let line = fit(&points);
        Self { measure: measure.into(), against: against.into(), points, line }
    }
}

/// The line through the medians of points.
pub fn fit(points: &[(f64, Vec<f64>)]) -> Line {
    let medians: Vec<(f64, f64)> = points.iter().map(|(x, ys)| (*x, median(ys))).collect();
    let count = medians.len().max(1) as f64;
    let mean_x = medians.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = medians.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xy: f64 = medians.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let sum_xx: f64 = medians.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if sum_xx == 0.0 { 0.0 } else { sum_xy / sum_xx };
    let intercept = mean_y - slope * mean_x;
    Line { intercept, slope, spread: spread(points) }
}

fn spread(points: &[(f64, Vec<f64>)]) -> f64 {
    let relative_deviation = |(_, ys): &(f64, Vec<f64>)| {
        let median_value = median(ys);
        let max_deviation = ys.iter().map(|y| (y - median_value).abs()).fold(0.0, f64::max);
        if median_value == 0.0 { 0.0 } else { max_deviation / median_value.abs() }
    };
    points.iter().map(relative_deviation).fold(0.0, f64::max)
}
