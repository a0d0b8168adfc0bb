use std::path::Path;

use plotters::coord::Shift;
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
    let caption = format!(
        "service by customer, {} ({})",
        report.scenario, report.policy
    );
    let lines: Vec<&[f64]> = report
        .series
        .iter()
        .map(|(_, line)| line.as_slice())
        .collect();
    draw_lines(&upper, &caption, &lines)?;
    draw_lines(
        &lower,
        "gap between backlogged customers",
        &[&report.gap_series],
    )?;
    area.present()?;
    Ok(())
}

/// Draws a line for each row of values, one value a second.
fn draw_lines(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    caption: &str,
    lines: &[&[f64]],
) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = lines.iter().map(|line| line.len()).max().unwrap_or(1);
    let most = lines
        .iter()
        .flat_map(|line| line.iter().copied())
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
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
    for (index, line) in lines.iter().enumerate() {
        let style = Palette99::pick(index);
        let points = line
            .iter()
            .enumerate()
            .map(|(second, value)| (second, *value));
        chart.draw_series(LineSeries::new(points, &style))?;
    }
    Ok(())
}
