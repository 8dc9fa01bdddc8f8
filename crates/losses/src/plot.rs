//! Draws a report as an SVG chart: a bar for each time window, stacked by cause,
//! with marks for starts of nodes and for losses and recoveries of their connections to the
//! platform.

use std::path::Path;

use anyhow::anyhow;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::report::Report;
use crate::request::Cause;

/// Width and height of the chart, in pixels.
const SIZE_PX: (u32, u32) = (1_200, 600);

/// Width of the legend, position of its first row and height of a row, in pixels.
const LEGEND_WIDTH_PX: u32 = 160;
const LEGEND_TOP_PX: i32 = 50;
const LEGEND_ROW_PX: i32 = 20;

/// Upper end of the y axis, as a multiple of the highest bar.
const HEADROOM: f64 = 1.05;

/// Descriptions of the marks in the legend.
const MARK_LABELS: [&str; 3] = ["started", "platform lost", "platform regained"];

/// Returns the colour of a cause: green for served in time, yellow to brown for
/// late, blue for refused, dark green for leaving, resting or unreachable endpoints, violet for
/// quotas and the retry budget, teal for a missing configuration, red for lost
/// or faulty endpoints and timeouts, and grey for disconnected callers and for
/// requests that are unfinished or not allowed.
fn colour(cause: Cause) -> RGBColor {
    match cause {
        Cause::InTime => RGBColor(120, 180, 120),
        Cause::LateWaited => RGBColor(250, 220, 120),
        Cause::LateEndpoint => RGBColor(230, 180, 70),
        Cause::LatePause => RGBColor(180, 130, 50),
        Cause::RefusedAtOnce => RGBColor(150, 190, 230),
        Cause::RefusedAfterWait => RGBColor(90, 140, 200),
        Cause::RefusedOnReturn => RGBColor(40, 80, 150),
        Cause::EndpointsLeaving => RGBColor(60, 110, 90),
        Cause::EndpointsResting => RGBColor(100, 150, 130),
        Cause::EndpointsUnreachable => RGBColor(30, 80, 60),
        Cause::Quota => RGBColor(150, 110, 190),
        Cause::NoConfiguration => RGBColor(70, 160, 170),
        Cause::RetryBudget => RGBColor(110, 60, 130),
        Cause::EndpointLost => RGBColor(220, 90, 90),
        Cause::EndpointFault => RGBColor(170, 40, 40),
        Cause::TimedOut => RGBColor(120, 20, 60),
        Cause::CallerLeft => RGBColor(190, 190, 190),
        Cause::Unfinished => RGBColor(60, 60, 60),
        Cause::NotAllowed => RGBColor(225, 225, 225),
    }
}

/// Draws a report into an SVG file.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn write_svg(report: &Report, path: &Path) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    draw(report, &root).map_err(|error| anyhow!("draw {}: {error}", path.display()))
}

/// An error while drawing.
type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// A drawing area of the chart.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw(report: &Report, root: &Area<'_>) -> Result<(), DrawError> {
    root.fill(&WHITE)?;
    let (chart, legend) = root.split_horizontally(SIZE_PX.0 - LEGEND_WIDTH_PX);
    draw_chart(report, &chart)?;
    draw_legend(report, &legend)?;
    root.present()
}

fn draw_chart(report: &Report, area: &Area<'_>) -> Result<(), DrawError> {
    let window_s = to_seconds(report.window_ms);
    let last = report.windows.last();
    let until_s = last.map_or(window_s, |window| to_seconds(window.from_ms) + window_s);
    let totals = report.windows.iter().map(|window| window.counts.total);
    let highest = totals.max().unwrap_or(0).max(1) as f64 * HEADROOM;
    let mut chart = ChartBuilder::on(area)
        .caption("Requests by what became of them", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..until_s, 0.0..highest)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds since the first line")
        .y_desc("requests in a window")
        .draw()?;
    for bars in to_bars(report) {
        chart.draw_series(bars)?;
    }
    let lines = report.marks.iter().map(|mark| {
        let at_s = to_seconds(mark.at_ms);
        let colour = mark_colour(&mark.what).mix(0.5);
        PathElement::new(vec![(at_s, 0.0), (at_s, highest)], colour)
    });
    chart.draw_series(lines)?;
    Ok(())
}

/// Returns the bars of each cause, stacked on those of the preceding causes.
fn to_bars(report: &Report) -> Vec<Vec<Rectangle<(f64, f64)>>> {
    let window_s = to_seconds(report.window_ms);
    let mut bases = vec![0.0; report.windows.len()];
    let bars = present_causes(report).map(|cause| {
        let windows = report.windows.iter().zip(&mut bases);
        let bars = windows.map(|(window, base)| {
            let from_s = to_seconds(window.from_ms);
            let below = *base;
            *base += window.counts.count(cause) as f64;
            Rectangle::new(
                [(from_s, below), (from_s + window_s, *base)],
                colour(cause).filled(),
            )
        });
        bars.collect()
    });
    bars.collect()
}

fn draw_legend(report: &Report, area: &Area<'_>) -> Result<(), DrawError> {
    let causes = present_causes(report).map(|cause| (colour(cause), cause.as_str()));
    let marks = MARK_LABELS.map(|what| (mark_colour(what), what));
    for (row, (colour, text)) in causes.chain(marks).enumerate() {
        let y = LEGEND_TOP_PX + row as i32 * LEGEND_ROW_PX;
        area.draw(&Rectangle::new([(0, y), (12, y + 12)], colour.filled()))?;
        area.draw(&Text::new(text, (18, y + 1), ("sans-serif", 13)))?;
    }
    Ok(())
}

/// Returns the causes that occur in the report, in stacking order.
fn present_causes(report: &Report) -> impl Iterator<Item = Cause> + '_ {
    let causes = Cause::ALL.into_iter();
    causes.filter(|cause| report.all.count(*cause) > 0)
}

fn mark_colour(what: &str) -> RGBColor {
    match what {
        "platform lost" => RED,
        "platform regained" => BLUE,
        _ => BLACK,
    }
}

fn to_seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
