//! Plots of stalls and token gaps against load.

use std::path::Path;

use plotters::prelude::*;

use crate::summary::{Spread, Summary};
use crate::tables::{RequestSubset, Row};

const SIZE: (u32, u32) = (720, 420);

/// A policy's name with its points: load in percent and the measure in milliseconds.
type Series = (String, Vec<(f64, f64)>);

/// The measure that a series shows.
type Measure = fn(&Summary) -> f64;

/// A plot could not be written.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot write the plot: {reason}")]
pub struct PlotError {
    /// The error of the plotting library.
    reason: String,
}

/// Writes one plot for each deployment and measure of the table `load` into `folder`.
///
/// # Errors
///
/// [`PlotError`] when a file cannot be written.
pub fn plot_load(rows: &[Row], folder: &Path) -> Result<(), PlotError> {
    let measures: [(&str, &str, Measure); 2] = [
        ("stall", "99th percentile of the longest wait in a stream, ms", |summary| {
            summary.stall_p99_ms
        }),
        ("gap", "99th percentile of the time between tokens, ms", |summary| summary.gap_p99_ms),
    ];
    for (deployment, file) in [("Bogotá", "bogota"), ("Jutland", "jutland")] {
        for (name, title, measure) in measures {
            let path = folder.join(format!("{file}-{name}.svg"));
            let series = series(rows, deployment, measure);
            let title = format!("{deployment}: {title}");
            draw(&path, &title, &series, name == "stall")
                .map_err(|error| PlotError { reason: error.to_string() })?;
        }
    }
    Ok(())
}

fn series(rows: &[Row], deployment: &str, measure: Measure) -> Vec<Series> {
    let mut series: Vec<Series> = Vec::new();
    for row in
        rows.iter().filter(|row| row.subset == RequestSubset::All && row.deployment == deployment)
    {
        let point = (row.load * 100.0, Spread::of(&row.streamed, measure).median.max(1.0));
        match series.iter_mut().find(|(name, _)| *name == row.name) {
            Some((_, points)) => points.push(point),
            None => series.push((row.name.clone(), vec![point])),
        }
    }
    series
}

fn draw(
    path: &Path,
    title: &str,
    series: &[Series],
    logarithmic: bool,
) -> Result<(), Box<dyn std::error::Error>> {
    const MARGIN: f64 = 1.1;
    let max_value =
        series.iter().flat_map(|(_, points)| points).map(|(_, y)| *y).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut builder = ChartBuilder::on(&root);
    builder.caption(title, ("sans-serif", 16)).margin(10);
    builder.x_label_area_size(36).y_label_area_size(64);
    macro_rules! draw_on {
        ($chart:expr) => {{
            let mut chart = $chart;
            chart.configure_mesh().x_desc("load, % of what the engines carry").draw()?;
            for (index, (name, points)) in series.iter().enumerate() {
                let colour = Palette99::pick(index).to_rgba();
                chart
                    .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                    .label(name)
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
                let dots = points.iter().map(|point| Circle::new(*point, 3, colour.filled()));
                chart.draw_series(dots)?;
            }
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperLeft)
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()?;
        }};
    }
    if logarithmic {
        let top = max_value * MARGIN;
        draw_on!(builder.build_cartesian_2d(65.0..135.0, (10.0..top).log_scale())?);
    } else {
        draw_on!(builder.build_cartesian_2d(65.0..135.0, 0.0..max_value * MARGIN)?);
    }
    root.present()?;
    Ok(())
}
