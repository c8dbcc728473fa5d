//! Plots of measured series.

use crate::slope::Series;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, RED, SVGBackend, ShapeStyle, WHITE,
};
use std::{error::Error, path::Path};

/// Width and height.
const CHART_SIZE_PX: (u32, u32) = (480, 300);
const CHARTS_PER_ROW: usize = 3;

/// Draws one chart per series to an SVG file.
pub fn draw(path: &Path, series: &[Series]) -> Result<(), Box<dyn Error>> {
    let rows = series.len().div_ceil(CHARTS_PER_ROW);
    let size = (CHART_SIZE_PX.0 * CHARTS_PER_ROW as u32, CHART_SIZE_PX.1 * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, series) in root.split_evenly((rows, CHARTS_PER_ROW)).iter().zip(series) {
        draw_chart(area, series)?;
    }
    root.present()?;
    Ok(())
}

type Area<'a> = plotters::drawing::DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_chart(area: &Area<'_>, series: &Series) -> Result<(), Box<dyn Error>> {
    let points = || series.points.iter().flat_map(|(x, ys)| ys.iter().map(move |y| (*x, *y)));
    let max_x = points().map(|(x, _)| x).fold(1.0, f64::max);
    let max_y = points().map(|(_, y)| y).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(&series.measure, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().x_desc(&series.against).x_labels(5).y_labels(5).draw()?;
    let style = ShapeStyle::from(RED.mix(0.6)).filled();
    chart.draw_series(points().map(|point| Circle::new(point, 3, style)))?;
    let line = series.line;
    let point_at = |x: f64| (x, (line.intercept + line.slope * x).clamp(0.0, max_y));
    chart.draw_series(LineSeries::new([point_at(0.0), point_at(max_x)], &RED))?;
    Ok(())
}
