//! SVG plots of the report.

use std::{collections::BTreeMap, time::Duration};

use cuminbank::{histogram::TimeHistogram, record::DayMinute};
use plotters::{coord::Shift, prelude::*};

use super::{minute_text, DayReport};

/// Width and height in pixels.
const RATE_SIZE: (u32, u32) = (960, 260);
/// Width and height in pixels.
const LATENCY_SIZE: (u32, u32) = (470, 220);
/// Bars for each doubling of the latency.
const BARS_PER_DOUBLING: f64 = 4.0;
/// Largest number of labels on the x axis.
const MAX_X_LABELS: usize = 8;
/// Largest number of labels on the y axis.
const MAX_Y_LABELS: usize = 10;
const CALL_COLOR: RGBColor = RGBColor(70, 110, 160);
const PEAK_COLOR: RGBColor = RGBColor(200, 80, 40);

/// Message of the plotting library.
pub type PlotError = String;

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A bar of width 1 on the x axis.
struct PlotBar {
    left: f64,
    calls: u64,
    color: RGBColor,
}

/// Axis captions and x labels of a bar plot.
struct PlotAxes<'a> {
    x_caption: &'a str,
    y_caption: &'a str,
    x_label: &'a dyn Fn(&f64) -> String,
}

/// Plots the calls of each minute, with the peak minutes in another colour.
pub fn rate_plot(report: &DayReport) -> Result<String, PlotError> {
    let bars = report.rate.iter().map(|(minute, calls)| {
        let peak = report.peak_minutes.contains(minute);
        let color = if peak { PEAK_COLOR } else { CALL_COLOR };
        PlotBar { left: f64::from(*minute), calls: *calls, color }
    });
    let axes = PlotAxes {
        x_caption: "minute (UTC)",
        y_caption: "calls per minute",
        x_label: &|minute| minute_text(*minute as DayMinute),
    };
    draw_bars(RATE_SIZE, &bars.collect::<Vec<_>>(), &axes)
}

/// Plots the latencies of one profile and customer on a logarithmic axis.
pub fn latency_plot(latency: &TimeHistogram) -> Result<String, PlotError> {
    let bars = latency_bars(latency).into_iter().map(|(bar, calls)| PlotBar {
        left: f64::from(bar),
        calls,
        color: CALL_COLOR,
    });
    // A linear axis over bar indices, labelled with the edges of the bars. The labels of the
    // library's own logarithmic axis are powers of ten, and a narrow plot may contain none of them.
    let axes = PlotAxes {
        x_caption: "time in ms (logarithmic)",
        y_caption: "number of calls",
        x_label: &|bar| format!("{:.1}", 2_f64.powf(bar / BARS_PER_DOUBLING)),
    };
    draw_bars(LATENCY_SIZE, &bars.collect::<Vec<_>>(), &axes)
}

fn draw_bars(size: (u32, u32), bars: &[PlotBar], axes: &PlotAxes<'_>) -> Result<String, PlotError> {
    let first = bars.first().map_or(0.0, |bar| bar.left);
    let last = bars.last().map_or(first, |bar| bar.left) + 1.0;
    let highest = bars.iter().map(|bar| bar.calls).max().unwrap_or(1).max(1);
    draw(size, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(first..last, 0_f64..highest as f64 * 1.05)
            .map_err(|error| error.to_string())?;
        // With more labels than bars or calls, the rounded numbers would repeat.
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(MAX_X_LABELS.min((last - first) as usize + 1))
            .y_labels(MAX_Y_LABELS.min(highest as usize + 1))
            .x_desc(axes.x_caption)
            .y_desc(axes.y_caption)
            .x_label_formatter(axes.x_label)
            .y_label_formatter(&whole_number)
            .draw()
            .map_err(|error| error.to_string())?;
        let shapes = bars.iter().map(|bar| {
            let corners = [(bar.left, 0.0), (bar.left + 1.0, bar.calls as f64)];
            Rectangle::new(corners, bar.color.filled())
        });
        chart.draw_series(shapes).map_err(|error| error.to_string())?;
        Ok(())
    })
}

fn whole_number(value: &f64) -> String {
    format!("{value:.0}")
}

/// Groups histogram buckets into bars of equal width on a logarithmic axis.
fn latency_bars(latency: &TimeHistogram) -> BTreeMap<i32, u64> {
    let mut bars = BTreeMap::new();
    for (time, count) in latency.buckets() {
        let millis = time.max(Duration::from_micros(100)).as_secs_f64() * 1_000.0;
        let bar = (millis.log2() * BARS_PER_DOUBLING).floor() as i32;
        *bars.entry(bar).or_default() += count;
    }
    bars
}

/// Draws a plot of the given width and height in pixels; returns it as SVG text.
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
