//! Plots of the report as SVG.

use std::{collections::BTreeMap, time::Duration};

use cuminbank::{histogram::TimeHistogram, record::DayMinute};
use plotters::{coord::Shift, prelude::*};

use super::{minute_text, DayReport};

const RATE_SIZE: (u32, u32) = (960, 260);
const LATENCY_SIZE: (u32, u32) = (470, 220);
/// Bars for each doubling of the time.
const BARS_PER_DOUBLING: f64 = 4.0;
/// Most labels on the axis of a latency plot.
const MAX_LABELS: usize = 8;
const CALL_COLOR: RGBColor = RGBColor(70, 110, 160);
const CREST_COLOR: RGBColor = RGBColor(200, 80, 40);

/// Why a plot could not be drawn.
pub type PlotError = String;

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Returns the calls of each minute, with the crest in another colour.
pub fn rate_plot(report: &DayReport) -> Result<String, PlotError> {
    draw(RATE_SIZE, |area| {
        let first = report.rate.keys().next().copied().unwrap_or(0);
        let last = report.rate.keys().next_back().copied().unwrap_or(first) + 1;
        let highest = report.rate.values().max().copied().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(f64::from(first)..f64::from(last), 0_f64..highest as f64 * 1.05)
            .map_err(|error| error.to_string())?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("minute (UTC)")
            .y_desc("calls per minute")
            .x_label_formatter(&|minute| minute_text(*minute as DayMinute))
            .y_label_formatter(&whole_number)
            .draw()
            .map_err(|error| error.to_string())?;
        let bars = report.rate.iter().map(|(minute, calls)| {
            let crest = report.crest.contains(minute);
            let color = if crest { CREST_COLOR } else { CALL_COLOR };
            let left = f64::from(*minute);
            Rectangle::new([(left, 0.0), (left + 1.0, *calls as f64)], color.filled())
        });
        chart.draw_series(bars).map_err(|error| error.to_string())?;
        Ok(())
    })
}

/// Returns the times of a profile and customer on a logarithmic axis.
pub fn latency_plot(latency: &TimeHistogram) -> Result<String, PlotError> {
    let bars = latency_bars(latency);
    // The axis counts bars and is labelled with their edges: the labels of the library's own
    // logarithmic axis are powers of ten, of which a narrow plot shows none.
    let edge = |bar: &f64| format!("{:.1}", 2_f64.powf(bar / BARS_PER_DOUBLING));
    let first = bars.keys().next().copied().unwrap_or(0);
    let last = bars.keys().next_back().copied().unwrap_or(first) + 1;
    let highest = bars.values().max().copied().unwrap_or(1).max(1);
    draw(LATENCY_SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(f64::from(first)..f64::from(last), 0_f64..highest as f64 * 1.05)
            .map_err(|error| error.to_string())?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(MAX_LABELS.min((last - first) as usize + 1))
            .x_desc("time in ms (logarithmic)")
            .y_desc("number of calls")
            .x_label_formatter(&edge)
            .y_label_formatter(&whole_number)
            .draw()
            .map_err(|error| error.to_string())?;
        let bars = bars.iter().map(|(bar, calls)| {
            let left = f64::from(*bar);
            let corners = [(left, 0.0), (left + 1.0, *calls as f64)];
            Rectangle::new(corners, CALL_COLOR.filled())
        });
        chart.draw_series(bars).map_err(|error| error.to_string())?;
        Ok(())
    })
}

fn whole_number(value: &f64) -> String {
    format!("{value:.0}")
}

/// Groups the buckets into bars of equal width on a logarithmic axis.
fn latency_bars(latency: &TimeHistogram) -> BTreeMap<i32, u64> {
    let mut bars = BTreeMap::new();
    for (time, count) in latency.buckets() {
        let millis = time.max(Duration::from_micros(100)).as_secs_f64() * 1_000.0;
        let bar = (millis.log2() * BARS_PER_DOUBLING).floor() as i32;
        *bars.entry(bar).or_default() += count;
    }
    bars
}

fn draw(
    size: (u32, u32),
    content: impl FnOnce(&SvgArea<'_>) -> Result<(), PlotError>,
) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        content(&area)?;
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}
