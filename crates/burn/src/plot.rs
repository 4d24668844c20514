use derive_more::{Display, Error};
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::{Distribution, Row};

const SIZE: (u32, u32) = (560, 260);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;
const OWN: RGBColor = RGBColor(31, 92, 153);
const BOUND: RGBColor = RGBColor(176, 42, 42);
/// The height of the plot of burn rates, in budgets.
const MIN_RATE_AXIS: f64 = 2.0;

/// A plot could not be drawn.
#[derive(Debug, Display, Error)]
#[display("a plot could not be drawn: {reason}")]
#[error(ignore)]
pub struct PlotError {
    /// What the plotting library said.
    pub reason: String,
}

impl PlotError {
    fn new(error: impl std::fmt::Display) -> Self {
        Self { reason: error.to_string() }
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Durations over quantiles with the bound across, as SVG.
pub(crate) fn distribution(distribution: &Distribution) -> Result<String, PlotError> {
    let longest_ms = distribution.quantiles.iter().map(|(_, ms)| *ms).max().unwrap_or(0);
    let top_ms = longest_ms.max(distribution.bound_ms).max(1) as f64 * 1.1;
    let curve = distribution.quantiles.iter().map(|(quantile, ms)| (*quantile, *ms as f64));
    let bound_ms = distribution.bound_ms as f64;
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..1.0, 0.0..top_ms)
            .map_err(PlotError::new)?;
        chart.configure_mesh().x_desc("share").y_desc("ms").draw().map_err(PlotError::new)?;
        chart.draw_series(LineSeries::new(curve, OWN)).map_err(PlotError::new)?;
        let bound = LineSeries::new([(0.0, bound_ms), (1.0, bound_ms)], BOUND);
        chart.draw_series(bound).map_err(PlotError::new)?;
        Ok(())
    })
}

/// Two bars for each row, the short window beside the long one, with the budget across.
pub(crate) fn burn_rates(rows: &[&Row]) -> Result<String, PlotError> {
    let rates = |row: &Row| [row.short.rate.unwrap_or(0.0), row.long.rate.unwrap_or(0.0)];
    let highest = rows.iter().flat_map(|row| rates(row)).fold(MIN_RATE_AXIS, f64::max);
    let width = rows.len() as f64;
    let label = |at: &f64| {
        let row = rows.get(*at as usize);
        row.map(|row| row.indicator.to_string()).unwrap_or_default()
    };
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..width, 0.0..highest * 1.1)
            .map_err(PlotError::new)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(rows.len() + 1)
            .x_label_formatter(&label)
            .y_desc("burn rate")
            .draw()
            .map_err(PlotError::new)?;
        let bars = rows.iter().enumerate().flat_map(|(index, row)| {
            let [short, long] = rates(row);
            let left = index as f64;
            [
                Rectangle::new([(left + 0.15, 0.0), (left + 0.45, short)], OWN.filled()),
                Rectangle::new([(left + 0.5, 0.0), (left + 0.8, long)], OWN.mix(0.5).filled()),
            ]
        });
        chart.draw_series(bars).map_err(PlotError::new)?;
        let budget = LineSeries::new([(0.0, 1.0), (width, 1.0)], BOUND);
        chart.draw_series(budget).map_err(PlotError::new)?;
        Ok(())
    })
}

fn draw(paint: impl FnOnce(&Area<'_>) -> Result<(), PlotError>) -> Result<String, PlotError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    paint(&area)?;
    area.present().map_err(PlotError::new)?;
    drop(area);
    Ok(svg)
}
