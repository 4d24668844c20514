use derive_more::{Display, Error};
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::{Distribution, Row};

const PLOT_SIZE_PX: (u32, u32) = (560, 260);
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 48;
const MEASURED_COLOR: RGBColor = RGBColor(31, 92, 153);
const BOUND_COLOR: RGBColor = RGBColor(176, 42, 42);
/// The axis of burn rates reaches at least this rate; 1 spends the budget exactly.
const MIN_RATE_AXIS: f64 = 2.0;

/// Error from the plotting library.
#[derive(Debug, Display, Error)]
#[display("a plot could not be drawn: {reason}")]
#[error(ignore)]
pub struct PlotError {
    /// Message of the plotting library.
    pub reason: String,
}

impl PlotError {
    fn new(error: impl std::fmt::Display) -> Self {
        Self { reason: error.to_string() }
    }
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Plots durations over quantiles, with the bound as a horizontal line, as SVG.
pub(crate) fn distribution(distribution: &Distribution) -> Result<String, PlotError> {
    let max_ms = distribution.quantiles.iter().map(|(_, ms)| *ms).max().unwrap_or(0);
    let axis_max_ms = max_ms.max(distribution.bound_ms).max(1) as f64 * 1.1;
    let curve = distribution.quantiles.iter().map(|(quantile, ms)| (*quantile, *ms as f64));
    let bound_ms = distribution.bound_ms as f64;
    render_svg(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..1.0, 0.0..axis_max_ms)
            .map_err(PlotError::new)?;
        chart.configure_mesh().x_desc("share").y_desc("ms").draw().map_err(PlotError::new)?;
        chart.draw_series(LineSeries::new(curve, MEASURED_COLOR)).map_err(PlotError::new)?;
        let bound = LineSeries::new([(0.0, bound_ms), (1.0, bound_ms)], BOUND_COLOR);
        chart.draw_series(bound).map_err(PlotError::new)?;
        Ok(())
    })
}

/// Plots two bars for each row, short window and long window, as SVG. A horizontal line marks the
/// rate that spends the budget exactly.
pub(crate) fn burn_rates(rows: &[&Row]) -> Result<String, PlotError> {
    let rates = |row: &Row| [row.short.rate.unwrap_or(0.0), row.long.rate.unwrap_or(0.0)];
    let max_rate = rows.iter().flat_map(|row| rates(row)).fold(MIN_RATE_AXIS, f64::max);
    let width = rows.len() as f64;
    let label = |x: &f64| {
        let row = rows.get(*x as usize);
        row.map(|row| row.indicator.to_string()).unwrap_or_default()
    };
    render_svg(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN_PX)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..width, 0.0..max_rate * 1.1)
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
                Rectangle::new([(left + 0.15, 0.0), (left + 0.45, short)], MEASURED_COLOR.filled()),
                Rectangle::new(
                    [(left + 0.5, 0.0), (left + 0.8, long)],
                    MEASURED_COLOR.mix(0.5).filled(),
                ),
            ]
        });
        chart.draw_series(bars).map_err(PlotError::new)?;
        let budget = LineSeries::new([(0.0, 1.0), (width, 1.0)], BOUND_COLOR);
        chart.draw_series(budget).map_err(PlotError::new)?;
        Ok(())
    })
}

fn render_svg(
    draw: impl FnOnce(&PlotArea<'_>) -> Result<(), PlotError>,
) -> Result<String, PlotError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
    draw(&area)?;
    area.present().map_err(PlotError::new)?;
    drop(area);
    Ok(svg)
}
