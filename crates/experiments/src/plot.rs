//! Stall and gaps against load, as pictures.

use std::path::Path;

use plotters::prelude::*;

use crate::summary::{Spread, Summary};
use crate::tables::{Line, Rows};

const SIZE: (u32, u32) = (720, 420);

/// One series: a policy's name with its points of load in percent and milliseconds.
type Series = (String, Vec<(f64, f64)>);

/// What a series shows of a run.
type Measure = fn(&Summary) -> f64;

/// A picture could not be written.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot write the plot: {reason}")]
pub struct PlotError {
    /// What the library said.
    reason: String,
}

/// Writes one picture for each deployment and measure of the table `load` into `folder`.
///
/// # Errors
///
/// [`PlotError`] when a file cannot be written.
pub fn plot_load(lines: &[Line], folder: &Path) -> Result<(), PlotError> {
    let measures: [(&str, &str, Measure); 2] = [
        ("stall", "99th percentile of the longest wait in a stream, ms", |s| s.stall_p99_ms),
        ("gap", "99th percentile of the time between tokens, ms", |s| s.gap_p99_ms),
    ];
    for (deployment, file) in [("Bogotá", "bogota"), ("Jutland", "jutland")] {
        for (name, title, measure) in measures {
            let path = folder.join(format!("{file}-{name}.svg"));
            let series = series(lines, deployment, measure);
            let title = format!("{deployment}: {title}");
            draw(&path, &title, &series, name == "stall")
                .map_err(|error| PlotError { reason: error.to_string() })?;
        }
    }
    Ok(())
}

fn series(lines: &[Line], deployment: &str, measure: Measure) -> Vec<Series> {
    let mut series: Vec<Series> = Vec::new();
    for line in lines.iter().filter(|l| l.rows == Rows::All && l.deployment == deployment) {
        let point = (line.load * 100.0, Spread::of(&line.streamed, measure).median.max(1.0));
        match series.iter_mut().find(|(name, _)| *name == line.name) {
            Some((_, points)) => points.push(point),
            None => series.push((line.name.clone(), vec![point])),
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
    let highest = series.iter().flat_map(|(_, points)| points).map(|(_, y)| *y).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut builder = ChartBuilder::on(&root);
    builder.caption(title, ("sans-serif", 16)).margin(10);
    builder.x_label_area_size(36).y_label_area_size(64);
    macro_rules! draw_on {
        ($chart:expr) => {{
            let mut chart = $chart;
            chart.configure_mesh().x_desc("load, % of what the engines carry").draw()?;
            for (at, (name, points)) in series.iter().enumerate() {
                let colour = Palette99::pick(at).to_rgba();
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
        let top = highest * MARGIN;
        draw_on!(builder.build_cartesian_2d(65.0..135.0, (10.0..top).log_scale())?);
    } else {
        draw_on!(builder.build_cartesian_2d(65.0..135.0, 0.0..highest * MARGIN)?);
    }
    root.present()?;
    Ok(())
}
