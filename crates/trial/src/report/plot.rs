use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::TrialReport;

/// Width and height.
const PLOT_SIZE_PX: (u32, u32) = (900, 640);

/// Plots the service by customer and the fairness gap over time into an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn plot_report(report: &TrialReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(PLOT_SIZE_PX.1 / 2);
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

/// Draws one line for each series, which has one value per second.
fn draw_lines(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    caption: &str,
    lines: &[&[f64]],
) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = lines.iter().map(|line| line.len()).max().unwrap_or(1);
    let max_value = lines
        .iter()
        .flat_map(|line| line.iter().copied())
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0..seconds, 0.0..max_value)?;
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
