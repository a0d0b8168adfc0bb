use std::path::Path;

use plotters::prelude::*;

use super::TrialReport;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 640);

/// Draws the gap over time and the service by customer into an SVG file.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn draw_report(report: &TrialReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    let seconds = report
        .series
        .iter()
        .map(|(_, line)| line.len())
        .max()
        .unwrap_or(1);
    let most = report
        .series
        .iter()
        .filter_map(|(_, line)| line.last().copied());
    let most = most.fold(1.0, f64::max);
    let caption = format!(
        "service by customer, {} ({})",
        report.scenario, report.policy
    );
    let mut chart = ChartBuilder::on(&upper)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0..seconds, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("cost units")
        .draw()?;
    for (index, (_, line)) in report.series.iter().enumerate() {
        let style = Palette99::pick(index);
        let points = line
            .iter()
            .enumerate()
            .map(|(second, value)| (second, *value));
        chart.draw_series(LineSeries::new(points, &style))?;
    }
    let most = report.gap_series.iter().copied().fold(1.0, f64::max);
    let start = seconds.saturating_sub(report.gap_series.len());
    let mut chart = ChartBuilder::on(&lower)
        .caption("gap between backlogged customers", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0..seconds, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("cost units")
        .draw()?;
    let points = report.gap_series.iter().enumerate();
    let points = points.map(|(second, value)| (start + second, *value));
    chart.draw_series(LineSeries::new(points, &RED))?;
    area.present()?;
    Ok(())
}
